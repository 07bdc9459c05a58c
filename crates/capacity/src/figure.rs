//! The figures that one simulation of an experiment returns.

use serde::Serialize;

/// Whether a figure is deterministic.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum FigureKind {
    /// Operations, bytes or simulated times: deterministic for a seed.
    Counted,
    /// Processor time: varies between repetitions.
    Timed,
}

/// One figure of a simulation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Figure {
    /// Its name.
    pub name: &'static str,
    /// Its unit.
    pub unit: &'static str,
    /// Whether it is deterministic for a seed.
    pub kind: FigureKind,
    /// Its value.
    pub value: f64,
}

impl Figure {
    /// A figure that is deterministic for a seed.
    pub fn counted(name: &'static str, unit: &'static str, value: f64) -> Figure {
        Figure { name, unit, kind: FigureKind::Counted, value }
    }

    /// A processor time in microseconds.
    pub fn timed(name: &'static str, unit: &'static str, value: f64) -> Figure {
        Figure { name, unit, kind: FigureKind::Timed, value }
    }
}
