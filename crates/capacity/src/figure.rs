//! The figures that one play of an experiment returns.

use serde::Serialize;

/// Whether a figure is the same for the same seed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Operations, bytes or simulated times: the same for the same seed.
    Counted,
    /// Processor time: varies from play to play.
    Timed,
}

/// One figure of a play.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figure {
    /// Its name.
    pub name: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// Whether it is the same for the same seed.
    pub kind: Kind,
    /// Its value.
    pub value: f64,
}

impl Figure {
    /// A figure that is the same for the same seed.
    pub fn counted(name: &'static str, unit: &'static str, value: f64) -> Figure {
        Figure { name, unit, kind: Kind::Counted, value }
    }

    /// A processor time in microseconds.
    pub fn timed(name: &'static str, unit: &'static str, value: f64) -> Figure {
        Figure { name, unit, kind: Kind::Timed, value }
    }
}
