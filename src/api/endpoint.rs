//! Entries of the endpoint list, and load reports.

use super::ids::{CellId, KindId, Micros, WorkerId, ZoneId};

/// State of a worker in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts requests.
    Ready,
    /// Completes the requests in flight; no new ones may be sent.
    Draining,
    /// Removed from the list.
    Gone,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The worker.
    pub worker: WorkerId,
    /// Its state.
    pub state: EndpointState,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its machine kind.
    pub kind: KindId,
    /// Its dimensionless relative weight.
    pub units: f64,
    /// When its process last started; `None` means long ago.
    pub started_at: Option<Micros>,
}

/// How to interpret the entries of an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListMode {
    /// Only the entries that changed.
    Changes,
    /// The complete list: workers absent from it are gone.
    Complete,
    /// A complete list that was cached by an earlier process and does not come from the discovery
    /// service.
    Cached,
}

impl ListMode {
    /// Whether workers absent from the list are gone.
    #[must_use]
    pub fn is_complete(self) -> bool {
        matches!(self, ListMode::Complete | ListMode::Cached)
    }
}

/// A worker's load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory units.
    pub free_memory: Option<f64>,
    /// The values were measured some time before the report arrived.
    pub delayed: bool,
    /// CPU utilization, as the fraction of its cores in use, 0 to 1.
    pub utilization: Option<f64>,
    /// Recent service time, excluding queueing, in microseconds.
    pub service_time: Option<Micros>,
}
