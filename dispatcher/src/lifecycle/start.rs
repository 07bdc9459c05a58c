//! `[start]` of the operators' file: how a dispatcher starts beside hundreds of others.

use super::problem::Problem;
use roselock::Micros;
use serde::Deserialize;
use toml::Spanned;

/// What a first guess may be, in milliseconds.
const GUESSES: std::ops::RangeInclusive<f64> = 1.0..=1000.0;

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
}

impl File {
    /// The first guess of the pace, if it is told, or what is wrong with it.
    pub fn list_call(&self) -> Result<Option<Micros>, Problem> {
        let Some(told) = &self.list_call_ms else { return Ok(None) };
        let ms = *told.as_ref();
        if GUESSES.contains(&ms) {
            return Ok(Some((ms * 1e3) as Micros));
        }
        let cure = "the milliseconds that one call takes the list service, from 1 to 1000";
        Err(Problem::new(told.span(), "list_call_ms", format!("{ms} makes no sense"), cure))
    }
}
