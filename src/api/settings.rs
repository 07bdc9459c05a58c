//! The settings of one scheduler.

use super::class::{Class, Tenant};
use super::ids::{Micros, SECOND, ZoneId};
use super::limits::{Costs, Limits, Safety};
use roselock_discovery_client::poll_schedule::PollParameters;

/// Assumed duration of one call to discovery, in microseconds, where no other is configured: a twelfth of a
/// second, which slow discovery services need, too.
pub const DEFAULT_LIST_CALL_TIME: Micros = SECOND / 12;

/// Everything that a scheduler is configured with at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How many schedulers share the workers, this one included.
    pub fleet_size: u32,
    /// This scheduler's number among them, from 0.
    pub instance_index: u32,
    /// This scheduler's zone.
    pub zone: ZoneId,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The value of a request counts for each unit of its work in place of each request.
    pub weighted_by_work: bool,
    /// Value of a request beyond its tenant's quota, as a fraction of its value, 0 to 1.
    pub over_quota_weight: f64,
    /// Where the site scores tail latency: the share of requests, by class and over some seconds, that may
    /// miss their latency objective before all of them lose value. A rejection within the latency objective
    /// is no miss.
    pub tail_miss_fraction: Option<f64>,
    /// Discovery must be called ([`Action::WatchEndpoints`](crate::Action::WatchEndpoints)); otherwise
    /// changes come unasked.
    pub watch_required: bool,
    /// Whether changes count as notified, received or not, once the watch has been closed for some time, so
    /// that the endpoint list is held under a lease ([`roselock_discovery_client::lease`]).
    pub list_lease_enabled: bool,
    /// Assumed duration of one call to discovery before the first one, in microseconds; the estimate then
    /// follows the calls.
    pub list_call_time: Micros,
    /// Until discovery has answered, each worker is tried with one request first, and non-idempotent requests
    /// go only to workers that have answered one.
    pub list_unconfirmed: bool,
    /// [`Endpoint::units`](crate::Endpoint::units) falls as a worker has more requests in flight.
    pub units_fall_with_load: bool,
    /// Workers report the start of a request.
    pub reports_start: bool,
    /// Time between two progress updates, in microseconds; 0 if there are none.
    pub progress_interval: Micros,
    /// Least time between two steps of this scheduler, in microseconds.
    pub tick: Micros,
    /// What is permitted.
    pub limits: Limits,
    /// What is charged.
    pub costs: Costs,
    /// Parameters of the safety rules.
    pub safety: Safety,
}

impl Settings {
    /// Settings of a scheduler that has the workers to itself, without tenants, costs or load reports, at a
    /// site that permits nothing beyond a single attempt. Change the fields that differ.
    #[must_use]
    pub fn new(classes: Vec<Class>) -> Settings {
        Settings {
            fleet_size: 1,
            instance_index: 0,
            zone: ZoneId(0),
            classes,
            tenants: Vec::new(),
            weighted_by_work: false,
            over_quota_weight: 1.0,
            tail_miss_fraction: None,
            watch_required: false,
            list_lease_enabled: false,
            list_call_time: DEFAULT_LIST_CALL_TIME,
            list_unconfirmed: false,
            units_fall_with_load: false,
            reports_start: false,
            progress_interval: 0,
            tick: SECOND / 1000,
            limits: Limits::default(),
            costs: Costs::default(),
            safety: Safety::default(),
        }
    }

    /// The parameters of the poll schedule: how many schedulers call discovery, which one this is, and how
    /// often at least.
    #[must_use]
    pub fn poll_parameters(&self) -> PollParameters {
        PollParameters {
            instance_count: self.fleet_size,
            instance_index: self.instance_index,
            poll_interval: self.safety.poll_interval,
        }
    }
}
