//! The figures that are measured at each size.

use serde::{Deserialize, Serialize};

/// What is measured. Processor time, memory and descriptors are those of a dispatcher as the system counts them; bytes
/// and connections are counted by the stand-ins at the other end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Figure {
    /// Processor time with the list watched and no requests, as a share of a core in percent; the mean.
    IdleProcessor,
    /// Processor time of a request in microseconds, beyond what is used at rest; the mean.
    RequestProcessor,
    /// Processor time of a change of the list in microseconds, beyond what is used at rest; the mean.
    ChangeProcessor,
    /// Resident memory at rest in KiB; the largest dispatcher.
    ResidentAtRest,
    /// Its peak since the start of the process in KiB; the largest dispatcher.
    ResidentPeak,
    /// Open descriptors at rest; the most.
    DescriptorsAtRest,
    /// Open descriptors under requests; the most.
    DescriptorsPeak,
    /// Bytes that the list service wrote up to the end of the first list, for a dispatcher; the mean.
    FirstListBytes,
    /// Bytes that it wrote for a change, for a dispatcher.
    ChangeBytes,
    /// Bytes that it wrote in a second at rest, for a dispatcher.
    RestBytesPerSecond,
    /// Bytes that it read up to the end of the first list, from a dispatcher.
    CallBytes,
    /// Bytes that workers read for a request.
    WorkerReadBytes,
    /// Bytes that workers wrote for a request, call-backs included.
    WorkerWrittenBytes,
    /// Connections that came up at workers, over the requests.
    WorkerConnections,
    /// From the start of a dispatcher to its confirmed list in seconds, by its own figures; the last one.
    ConfirmedAfter,
    /// Bytes that the list service wrote after it moved and all dispatchers reloaded, for a dispatcher.
    MoveBytes,
    /// From then until all watched the list at the new address, in seconds.
    MoveAfter,
    /// Bytes that the list service wrote when all dispatchers were killed and started together, for a dispatcher.
    RestartBytes,
    /// From then until all had the list confirmed, in seconds.
    RestartAfter,
}

impl Figure {
    /// All of them, in the order in which they are shown.
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

    /// Its name with its unit.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Figure::IdleProcessor => "processor at rest, % of a core",
            Figure::RequestProcessor => "processor a request, us",
            Figure::ChangeProcessor => "processor a change, us",
            Figure::ResidentAtRest => "resident at rest, KiB",
            Figure::ResidentPeak => "resident peak, KiB",
            Figure::DescriptorsAtRest => "descriptors at rest",
            Figure::DescriptorsPeak => "descriptors under requests",
            Figure::FirstListBytes => "first list, bytes",
            Figure::ChangeBytes => "a change, bytes",
            Figure::RestBytesPerSecond => "list service at rest, bytes/s",
            Figure::CallBytes => "list call, bytes",
            Figure::WorkerReadBytes => "workers read a request, bytes",
            Figure::WorkerWrittenBytes => "workers wrote a request, bytes",
            Figure::WorkerConnections => "worker connections a request",
            Figure::ConfirmedAfter => "list confirmed, s",
            Figure::MoveBytes => "move of the list service, bytes",
            Figure::MoveAfter => "move of the list service, s",
            Figure::RestartBytes => "restart of all, bytes",
            Figure::RestartAfter => "restart of all, s",
        }
    }
}

/// A figure with its value: the median of the repetitions, and their range.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Measured {
    /// Which figure.
    pub figure: Figure,
    /// Its value, in the unit of the figure.
    pub value: f64,
    /// The least value of a repetition.
    pub least: f64,
    /// The largest value of a repetition.
    pub most: f64,
}

impl Measured {
    /// The value of one repetition.
    #[must_use]
    pub fn once(figure: Figure, value: f64) -> Measured {
        Measured { figure, value, least: value, most: value }
    }

    /// The median of several repetitions; none without any.
    #[must_use]
    pub fn of(figure: Figure, mut values: Vec<f64>) -> Option<Measured> {
        values.sort_by(f64::total_cmp);
        let least = *values.first()?;
        let most = *values.last()?;
        let middle = values.len() / 2;
        let is_odd = values.len() % 2 == 1;
        let value = if is_odd { values[middle] } else { (values[middle - 1] + values[middle]) / 2.0 };
        Some(Measured { figure, value, least, most })
    }
}
