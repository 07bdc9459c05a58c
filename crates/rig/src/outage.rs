//! Outages of the discovery service.

use serde::{Deserialize, Serialize};

/// How a call fails that timed out in the queue or that arrives during an outage.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// A response with status 503.
    #[default]
    Answer503,
    /// The connection is closed.
    Reset,
    /// The connection stays open without a response.
    Silence,
    /// A complete list without workers.
    Empty,
}

/// A period in which calls to the discovery service fail.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outage {
    /// Its start, in seconds since the start of the run.
    pub from_s: f64,
    /// Its end, in seconds since the start of the run.
    pub until_s: f64,
    /// How calls fail; open watches end as well, except with [`Failure::Silence`].
    pub failure: Failure,
}
