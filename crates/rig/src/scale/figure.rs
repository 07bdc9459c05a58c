//! Figures that are measured at each size.

use serde::{Deserialize, Serialize};

/// A measured quantity. Processor time, memory and descriptors of the dispatchers are read from the operating system;
/// bytes and connections are counted by the stand-ins at the other end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Figure {
    /// Processor time without requests, while the list is watched, in percent of a core; mean of all dispatchers.
    IdleProcessor,
    /// Processor time per request, in microseconds, in addition to the idle usage; mean of all dispatchers.
    RequestProcessor,
    /// Processor time per change of the list, in microseconds, in addition to the idle usage; mean of all dispatchers.
    ChangeProcessor,
    /// Resident memory when idle, in KiB; maximum of all dispatchers.
    ResidentAtRest,
    /// Peak resident memory since the start of the process, in KiB; maximum of all dispatchers.
    ResidentPeak,
    /// Open descriptors when idle; maximum of all dispatchers.
    DescriptorsAtRest,
    /// Open descriptors after the phase with requests; maximum of all dispatchers.
    DescriptorsPeak,
    /// Bytes that the discovery service wrote up to the end of the first list; mean per dispatcher.
    FirstListBytes,
    /// Bytes that the discovery service wrote per change; mean per dispatcher.
    ChangeBytes,
    /// Bytes that the discovery service wrote per second when idle; mean per dispatcher.
    RestBytesPerSecond,
    /// Bytes that the discovery service read up to the end of the first list; mean per dispatcher.
    CallBytes,
    /// Bytes that workers read per request, including responses to callbacks.
    WorkerReadBytes,
    /// Bytes that workers wrote per request, including callbacks.
    WorkerWrittenBytes,
    /// Connections opened to workers, per request.
    WorkerConnections,
    /// Seconds from the start of a dispatcher to its confirmed list, from its own metrics; maximum of all dispatchers.
    ConfirmedAfter,
    /// Bytes that the discovery service wrote after it moved and all dispatchers reloaded; mean per dispatcher.
    MoveBytes,
    /// Seconds from the move until all dispatchers watched the list at the new address.
    MoveAfter,
    /// Bytes that the discovery service wrote after all dispatchers were killed and restarted together; mean per
    /// dispatcher.
    RestartBytes,
    /// Seconds from the restart until all dispatchers had a confirmed list.
    RestartAfter,
}

impl Figure {
    /// All figures, in the order of the table and the chart.
    pub const ALL: [Figure; 19] = [
        Figure::IdleProcessor,
        Figure::RequestProcessor,
        Figure::ChangeProcessor,
        Figure::ResidentAtRest,
        Figure::ResidentPeak,
        Figure::DescriptorsAtRest,
        Figure::DescriptorsPeak,
        Figure::FirstListBytes,
        Figure::ChangeBytes,
        Figure::RestBytesPerSecond,
        Figure::CallBytes,
        Figure::WorkerReadBytes,
        Figure::WorkerWrittenBytes,
        Figure::WorkerConnections,
        Figure::ConfirmedAfter,
        Figure::MoveBytes,
        Figure::MoveAfter,
        Figure::RestartBytes,
        Figure::RestartAfter,
    ];

    /// Display name with the unit.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Figure::IdleProcessor => "processor when idle, % of a core",
            Figure::RequestProcessor => "processor per request, us",
            Figure::ChangeProcessor => "processor per change, us",
            Figure::ResidentAtRest => "resident memory when idle, KiB",
            Figure::ResidentPeak => "peak resident memory, KiB",
            Figure::DescriptorsAtRest => "descriptors when idle",
            Figure::DescriptorsPeak => "descriptors after requests",
            Figure::FirstListBytes => "first list, bytes",
            Figure::ChangeBytes => "list service per change, bytes",
            Figure::RestBytesPerSecond => "list service when idle, bytes/s",
            Figure::CallBytes => "list call, bytes",
            Figure::WorkerReadBytes => "workers read per request, bytes",
            Figure::WorkerWrittenBytes => "workers wrote per request, bytes",
            Figure::WorkerConnections => "worker connections per request",
            Figure::ConfirmedAfter => "list confirmed, s",
            Figure::MoveBytes => "move of the list service, bytes",
            Figure::MoveAfter => "move of the list service, s",
            Figure::RestartBytes => "restart of all dispatchers, bytes",
            Figure::RestartAfter => "restart of all dispatchers, s",
        }
    }
}

/// Value of a figure: the median of the repetitions, and their range.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct FigureValue {
    /// The figure.
    pub figure: Figure,
    /// Median, in the unit of the figure.
    pub value: f64,
    /// Smallest value of any repetition.
    pub least: f64,
    /// Largest value of any repetition.
    pub most: f64,
}

impl FigureValue {
    /// Value of a single repetition.
    #[must_use]
    pub fn single(figure: Figure, value: f64) -> FigureValue {
        FigureValue { figure, value, least: value, most: value }
    }

    /// Median and range of several repetitions; `None` if there are none.
    #[must_use]
    pub fn median_of(figure: Figure, mut values: Vec<f64>) -> Option<FigureValue> {
        values.sort_by(f64::total_cmp);
        let least = *values.first()?;
        let most = *values.last()?;
        let middle = values.len() / 2;
        let is_odd = values.len() % 2 == 1;
        let value = if is_odd { values[middle] } else { (values[middle - 1] + values[middle]) / 2.0 };
        Some(FigureValue { figure, value, least, most })
    }
}
