//! How the list service fails, and when.

use serde::{Deserialize, Serialize};

/// How a call ends that waited too long, or that comes while the service is out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// A 503.
    #[default]
    Answer503,
    /// The connection is closed.
    Reset,
    /// Nothing is said.
    Silence,
    /// A whole list of nobody.
    Empty,
}

/// A span in which the service does not do what it should.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outage {
    /// From when, in seconds since the start.
    pub from_s: f64,
    /// Until when.
    pub until_s: f64,
    /// How calls end; watches that are open end, too, but for silence.
    pub failure: Failure,
}
