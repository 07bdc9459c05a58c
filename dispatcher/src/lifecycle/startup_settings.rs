//! The `[start]` section of the operator file: limits the load on the discovery service and workers when
//! hundreds of dispatchers start together.

use super::settings_error::ConfigError;
use roselock::{Micros, SECOND};
use roselock_dial_limiter::DialLimits;
use serde::Deserialize;
use std::ops::RangeInclusive;
use toml::Spanned;

/// Allowed values of `list_call_ms`, in milliseconds.
const LIST_CALL_MS_RANGE: RangeInclusive<f64> = 1.0..=1000.0;
/// Allowed values of `connections_per_s`, in new connections per second to one worker.
const CONNECTIONS_PER_S_RANGE: RangeInclusive<f64> = 0.1..=100_000.0;
/// Allowed values of `resync_after_s`, in seconds.
const RESYNC_AFTER_S_RANGE: RangeInclusive<f64> = 0.1..=3600.0;
/// Default of `resync_after_s`. The poll costs the discovery service one full list per dispatcher.
const DEFAULT_RESYNC_AFTER: Micros = 30 * SECOND;

/// The `[start]` section. Missing keys behave as on the platform, where no operator file is used.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StartupSettings {
    /// Estimate of the service time of the discovery service per poll before any poll was made, in
    /// milliseconds.
    list_call_ms: Option<Spanned<f64>>,
    /// Whether the cached list is unconfirmed until the discovery service has answered.
    #[serde(rename = "careful")]
    list_unconfirmed: bool,
    /// Whether a new discovery address is first polled in this dispatcher's slot of a polling round, rather
    /// than immediately.
    spread_moves: bool,
    /// Delay from a change of the discovery address to the poll of the full list, in seconds; until then,
    /// only changes are watched.
    resync_after_s: Option<Spanned<f64>>,
    /// Whether workers that reject new connections are dialled again after a backoff. Requests that need a
    /// connection wait meanwhile, and unused cached connections are closed sooner.
    dial_backoff: bool,
    /// Deprecated key for `dial_backoff`.
    #[serde(rename = "door")]
    former_dial_backoff: Option<Spanned<bool>>,
    /// Maximum rate at which all dispatchers together open new connections to one worker, per second; also
    /// enables `dial_backoff`.
    connections_per_s: Option<Spanned<f64>>,
}

/// Validated parameters from the section.
#[derive(Clone, Debug)]
pub struct StartupParameters {
    /// Estimate of the service time of the discovery service per poll before any poll was made; if absent,
    /// the scheduling settings apply.
    pub list_call_time: Option<Micros>,
    /// Whether the cached list is unconfirmed until the discovery service has answered.
    pub list_unconfirmed: bool,
    /// Whether a new discovery address is first polled in this dispatcher's slot of a polling round, rather
    /// than immediately.
    pub spread_moves: bool,
    /// Minimum delay from a change of the discovery address to the poll of the full list.
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
    /// The limits on new connections for one of `dispatchers` dispatchers; `None` if they are unlimited.
    pub fn dial_limits(&self, dispatchers: u32) -> Option<DialLimits> {
        let is_limited = self.dial_backoff || self.connections_per_s.is_some();
        is_limited.then(|| DialLimits::share_of(self.connections_per_s, dispatchers))
    }
}

impl StartupSettings {
    /// Validates the section.
    ///
    /// # Errors
    /// Fails if a value is out of its range.
    pub fn parameters(&self) -> Result<StartupParameters, ConfigError> {
        let list_call_ms = self.list_call_ms()?;
        let connections_per_s = self.connections_per_s()?;
        let resync_after_s = self.resync_after_s()?;
        let former_dial_backoff = self.former_dial_backoff.as_ref().is_some_and(|enabled| *enabled.as_ref());
        Ok(StartupParameters {
            list_call_time: list_call_ms.map(|ms| (ms * 1e3) as Micros),
            list_unconfirmed: self.list_unconfirmed,
            spread_moves: self.spread_moves,
            resync_after: resync_after_s
                .map_or(DEFAULT_RESYNC_AFTER, |seconds| (seconds * SECOND as f64) as Micros),
            dial_backoff: self.dial_backoff || former_dial_backoff,
            connections_per_s,
        })
    }

    /// A warning about a deprecated key, if the section has one.
    pub fn deprecated_key(&self) -> Option<ConfigError> {
        let former_dial_backoff = self.former_dial_backoff.as_ref()?;
        Some(ConfigError::new(
            former_dial_backoff.span(),
            "door",
            "this key has been renamed",
            "start.dial_backoff",
        ))
    }

    fn list_call_ms(&self) -> Result<Option<f64>, ConfigError> {
        let expected = "the duration of one call to discovery in milliseconds, from 1 to 1000";
        check_range("list_call_ms", self.list_call_ms.as_ref(), &LIST_CALL_MS_RANGE, expected)
    }

    fn connections_per_s(&self) -> Result<Option<f64>, ConfigError> {
        let expected = "new connections per second from all dispatchers to one worker, from 0.1 to 100000";
        check_range("connections_per_s", self.connections_per_s.as_ref(), &CONNECTIONS_PER_S_RANGE, expected)
    }

    fn resync_after_s(&self) -> Result<Option<f64>, ConfigError> {
        let expected =
            "the seconds from a change of the discovery address to the full poll, from 0.1 to 3600";
        check_range("resync_after_s", self.resync_after_s.as_ref(), &RESYNC_AFTER_S_RANGE, expected)
    }
}

/// Returns the value of a key, if it is set, or an error if it is out of range.
fn check_range(
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
    Err(ConfigError::new(value.span(), key, format!("{number} is out of range"), expected))
}
