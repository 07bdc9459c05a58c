//! `[start]` of the operators' file: how a dispatcher starts beside hundreds of others.

use super::settings_error::ConfigError;
use roselock::{Micros, SECOND};
use roselock_dial_limiter::DialLimits;
use serde::Deserialize;
use std::ops::RangeInclusive;
use toml::Spanned;

/// What the estimate of one list call may be, in milliseconds.
const LIST_CALL_MS: RangeInclusive<f64> = 1.0..=1000.0;
/// What the limit of new connections may be, a second at one worker.
const CONNECTIONS_PER_S: RangeInclusive<f64> = 0.1..=100_000.0;
/// When the full list may be polled after a move, in seconds.
const RESYNC_AFTER_S: RangeInclusive<f64> = 0.1..=3600.0;
/// The same by default: it costs discovery one full list for each dispatcher.
const DEFAULT_RESYNC_AFTER: Micros = 30 * SECOND;

/// The section; what is missing is as on the platform.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StartupSettings {
    /// What one poll is estimated to cost discovery before any was made, in milliseconds.
    list_call_ms: Option<Spanned<f64>>,
    /// The cached list is unconfirmed until discovery has answered.
    careful: bool,
    /// A discovery that has moved is polled at this dispatcher's place in a first round, not at once.
    spread_moves: bool,
    /// How long after a move the full list is polled, in seconds; until then, changes alone are watched.
    resync_after_s: Option<Spanned<f64>>,
    /// Workers that reject new connections are dialled again after a backoff; what needs one waits meanwhile, and cached
    /// connections that are not used are closed sooner.
    dial_backoff: bool,
    /// The former name of `dial_backoff`.
    door: Option<Spanned<bool>>,
    /// New connections a second that all dispatchers together may open at one worker; turns `dial_backoff` on, too.
    connections_per_s: Option<Spanned<f64>>,
}

/// What follows from the section, checked.
#[derive(Clone, Debug)]
pub struct StartupParameters {
    /// What one poll is estimated to cost discovery, unless the settings of the decisions hold.
    pub list_call_time: Option<Micros>,
    /// Whether the cached list is unconfirmed until discovery has answered.
    pub list_unconfirmed: bool,
    /// Whether a discovery that has moved is polled at this dispatcher's place in a first round, not at once.
    pub spread_moves: bool,
    /// How long after a move the full list is polled at the earliest.
    pub resync_after: Micros,
    dial_backoff: bool,
    connections_per_s: Option<f64>,
}

impl Default for StartupParameters {
    fn default() -> StartupParameters {
        StartupParameters {
            list_call_time: None,
            list_unconfirmed: false,
            spread_moves: false,
            resync_after: DEFAULT_RESYNC_AFTER,
            dial_backoff: false,
            connections_per_s: None,
        }
    }
}

impl StartupParameters {
    /// Limits of new connections, for one of `dispatchers`; none: they are not limited.
    pub fn dial_limits(&self, dispatchers: u32) -> Option<DialLimits> {
        let is_limited = self.dial_backoff || self.connections_per_s.is_some();
        is_limited.then(|| DialLimits::share_of(self.connections_per_s, dispatchers))
    }
}

impl StartupSettings {
    /// Checks the section.
    ///
    /// # Errors
    /// A value is out of its range.
    pub fn parameters(&self) -> Result<StartupParameters, ConfigError> {
        let list_call_ms = self.list_call_ms()?;
        let connections_per_s = self.connections_per_s()?;
        let resync_after_s = self.resync_after_s()?;
        let former_dial_backoff = self.door.as_ref().is_some_and(|door| *door.as_ref());
        Ok(StartupParameters {
            list_call_time: list_call_ms.map(|ms| (ms * 1e3) as Micros),
            list_unconfirmed: self.careful,
            spread_moves: self.spread_moves,
            resync_after: resync_after_s
                .map_or(DEFAULT_RESYNC_AFTER, |seconds| (seconds * SECOND as f64) as Micros),
            dial_backoff: self.dial_backoff || former_dial_backoff,
            connections_per_s,
        })
    }

    /// A key that has another name now, if the section has one.
    pub fn deprecated_key(&self) -> Option<ConfigError> {
        let door = self.door.as_ref()?;
        Some(ConfigError::new(door.span(), "door", "this key has another name now", "start.dial_backoff"))
    }

    fn list_call_ms(&self) -> Result<Option<f64>, ConfigError> {
        let expected = "the milliseconds that one call takes the list service, from 1 to 1000";
        checked("list_call_ms", self.list_call_ms.as_ref(), &LIST_CALL_MS, expected)
    }

    fn connections_per_s(&self) -> Result<Option<f64>, ConfigError> {
        let expected =
            "new connections a second that all dispatchers may open at one worker, from 0.1 to 100000";
        checked("connections_per_s", self.connections_per_s.as_ref(), &CONNECTIONS_PER_S, expected)
    }

    fn resync_after_s(&self) -> Result<Option<f64>, ConfigError> {
        let expected = "the seconds after a move of the list service until the whole list is asked for, from 0.1 to 3600";
        checked("resync_after_s", self.resync_after_s.as_ref(), &RESYNC_AFTER_S, expected)
    }
}

/// The value of a key, if it has one and it is in its range.
fn checked(
    key: &str,
    value: Option<&Spanned<f64>>,
    range: &RangeInclusive<f64>,
    expected: &str,
) -> Result<Option<f64>, ConfigError> {
    let Some(value) = value else { return Ok(None) };
    let number = *value.as_ref();
    if range.contains(&number) {
        return Ok(Some(number));
    }
    Err(ConfigError::new(value.span(), key, format!("{number} makes no sense"), expected))
}
