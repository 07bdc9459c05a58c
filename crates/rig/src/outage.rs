//! How the list service fails, and when.

use serde::{Deserialize, Serialize};

/// How a call ends that waited too long, or that arrives during an outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// With a 503.
    #[default]
    Answer503,
    /// The connection is closed.
    Reset,
    /// It stays open and silent.
    Silence,
    /// With a complete list without workers.
    Empty,
}

/// A span in which the service fails.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outage {
    /// From when, in seconds since the start.
    pub from_s: f64,
    /// Until when, in seconds since the start.
    pub until_s: f64,
    /// How calls end; open watches end, too, except with [`Failure::Silence`].
    pub failure: Failure,
}
