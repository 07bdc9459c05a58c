//! `[start]` of the operators' file: how a dispatcher starts beside hundreds of others.

use super::settings_error::ConfigError;
use roselock::{Micros, SECOND};
use roselock_dial_limiter::DialLimits;
use serde::Deserialize;
use toml::Spanned;

/// What a first guess may be, in milliseconds.
const GUESSES: std::ops::RangeInclusive<f64> = 1.0..=1000.0;
/// What a bound of new connections may be, a second at one worker.
const CONNECTIONS: std::ops::RangeInclusive<f64> = 0.1..=100_000.0;
/// When the whole list may be asked for after a move, in seconds.
const RESYNCS: std::ops::RangeInclusive<f64> = 0.1..=3600.0;
/// The same where nothing is told: it costs the list service one whole list for each dispatcher.
const RESYNC: Micros = 30 * SECOND;

/// The section; what is missing is as on the platform.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct File {
    /// What one call is taken to cost the list service before any was made, in milliseconds.
    list_call_ms: Option<Spanned<f64>>,
    /// A list that one comes up with is taken with care until the list service has answered.
    pub careful: bool,
    /// A list service that has moved is called at one's place in a first round, not at once.
    pub spread_moves: bool,
    /// How long after a move the whole list is asked for, in seconds; at once, changes alone are.
    resync_after_s: Option<Spanned<f64>>,
    /// Workers that reject new connections are dialled again after a backoff; what needs one waits meanwhile, and kept
    /// connections that are not used go sooner.
    dial_backoff: bool,
    /// The former name of `dial_backoff`.
    door: Option<Spanned<bool>>,
    /// New connections a second that all dispatchers together may open at one worker; turns `dial_backoff` on, too.
    connections_per_s: Option<Spanned<f64>>,
}

impl File {
    /// The first guess of the pace, if it is told, or what is wrong with it.
    pub fn list_call(&self) -> Result<Option<Micros>, ConfigError> {
        let Some(told) = &self.list_call_ms else { return Ok(None) };
        let ms = *told.as_ref();
        if GUESSES.contains(&ms) {
            return Ok(Some((ms * 1e3) as Micros));
        }
        let cure = "the milliseconds that one call takes the list service, from 1 to 1000";
        Err(ConfigError::new(told.span(), "list_call_ms", format!("{ms} makes no sense"), cure))
    }
    /// The bound of new connections, if it is told, or what is wrong with it.
    fn connections(&self) -> Result<Option<f64>, ConfigError> {
        let Some(told) = &self.connections_per_s else { return Ok(None) };
        let n = *told.as_ref();
        if CONNECTIONS.contains(&n) {
            return Ok(Some(n));
        }
        let cure = "new connections a second that all dispatchers may open at one worker, from 0.1 to 100000";
        Err(ConfigError::new(told.span(), "connections_per_s", format!("{n} makes no sense"), cure))
    }
    /// How long after a move the whole list is asked for, or what is wrong with it.
    pub fn resync_after(&self) -> Result<Micros, ConfigError> {
        let Some(told) = &self.resync_after_s else { return Ok(RESYNC) };
        let seconds = *told.as_ref();
        if RESYNCS.contains(&seconds) {
            return Ok((seconds * SECOND as f64) as Micros);
        }
        let cure = "the seconds after a move of the list service until the whole list is asked for, from 0.1 to 3600";
        Err(ConfigError::new(told.span(), "resync_after_s", format!("{seconds} makes no sense"), cure))
    }
    /// What is wrong with the section, if anything.
    pub fn check(&self) -> Result<(), ConfigError> {
        self.list_call().and(self.connections()).and(self.resync_after()).map(|_| ())
    }
    /// A key that has another name now, if the file has one.
    pub fn deprecated(&self) -> Option<ConfigError> {
        let door = self.door.as_ref()?;
        Some(ConfigError::new(door.span(), "door", "this key has another name now", "start.dial_backoff"))
    }
    /// Limits of new connections, for one of `all` dispatchers; none: they are not limited.
    pub fn dial_limits(&self, all: u32) -> Option<DialLimits> {
        let bound = self.connections().ok().flatten();
        let backoff = self.dial_backoff || self.door.as_ref().is_some_and(|door| *door.as_ref());
        (backoff || bound.is_some()).then(|| DialLimits::share_of(bound, all))
    }
}
