//! The settings of one dispatcher.

use super::class::{Class, Tenant};
use super::ids::{Micros, SECOND, ZoneId};
use super::limits::{Costs, Limits, Safety};
use roselock_discovery_client::poll_schedule::PollParameters;

/// Default of [`Settings::list_call_time`], in microseconds: a twelfth of a second, which slow discovery
/// services need as well.
pub const DEFAULT_LIST_CALL_TIME: Micros = SECOND / 12;

/// Default of [`Settings::initial_slots`].
pub const DEFAULT_INITIAL_SLOTS: f64 = 2.0;

/// Configuration of a dispatcher.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of dispatchers that share the workers, including this one.
    pub fleet_size: u32,
    /// Index of this dispatcher among them, from 0.
    pub instance_index: u32,
    /// This dispatcher's zone.
    pub zone: ZoneId,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The value of a request is per second of its work rather than per request.
    pub weighted_by_work: bool,
    /// Fraction of its value, 0 to 1, that a request beyond its tenant's quota has.
    pub over_quota_weight: f64,
    /// If the site scores tail latency: the fraction of requests, by class and over some seconds, that may
    /// miss their latency objective before all of them lose value. A rejection within the latency objective
    /// is not a miss.
    pub tail_miss_fraction: Option<f64>,
    /// The discovery service must be called ([`Action::WatchEndpoints`](crate::Action::WatchEndpoints));
    /// otherwise it pushes changes unsolicited.
    pub watch_required: bool,
    /// The endpoint list is held under a lease ([`roselock_discovery_client::lease`]): once the watch has
    /// been closed for some time, changes count as notified even if they were not received.
    pub list_lease_enabled: bool,
    /// Initial estimate of the duration of a call to the discovery service, in microseconds. It is updated
    /// from the calls.
    pub list_call_time: Micros,
    /// Until the discovery service has answered, each worker first gets a single trial request, and
    /// non-idempotent requests go only to workers that have answered one.
    pub list_unconfirmed: bool,
    /// [`Endpoint::units`](crate::Endpoint::units) falls as a worker has more requests in flight.
    pub units_fall_with_load: bool,
    /// Number of slots that a worker is assumed to have until it or other workers show how many there are.
    pub initial_slots: f64,
    /// Workers report when a request starts.
    pub reports_start: bool,
    /// Interval between progress updates, in microseconds; 0 if there are none.
    pub progress_interval: Micros,
    /// Minimum time between two steps of this dispatcher, in microseconds.
    pub tick: Micros,
    /// What the site permits.
    pub limits: Limits,
    /// Costs of attempts, connections and failures.
    pub costs: Costs,
    /// Parameters of the safety rules.
    pub safety: Safety,
}

impl Settings {
    /// Settings of the only dispatcher of a site without tenants, costs or load reports that permits
    /// nothing but a single attempt per request. Callers change the fields that differ.
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
            initial_slots: DEFAULT_INITIAL_SLOTS,
            reports_start: false,
            progress_interval: 0,
            tick: SECOND / 1000,
            limits: Limits::default(),
            costs: Costs::default(),
            safety: Safety::default(),
        }
    }

    /// The parameters of the schedule by which this dispatcher polls the discovery service.
    #[must_use]
    pub fn poll_parameters(&self) -> PollParameters {
        PollParameters {
            instance_count: self.fleet_size,
            instance_index: self.instance_index,
            poll_interval: self.safety.poll_interval,
        }
    }
}
