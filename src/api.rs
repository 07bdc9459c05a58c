//! The interface of the decision module: settings, events in, actions out.
//!
//! Times are whole microseconds ([`Micros`]) on the caller's clock, which may start anywhere but never runs
//! back. Work is in seconds on a core of speed 1. Nothing here decides anything.
//!
//! The caller owes the dispatcher one [`Event::Verdict`] for each [`Action::Send`], cancelled or not, and an
//! [`Event::Alarm`] for each [`Action::Timer`]. For each [`Event::Job`] the dispatcher owes one final answer, unless
//! a verdict said `last`, its stream was accepted, or the client left.

use roselock_discovery_client::poll_schedule::PollParameters;
pub use roselock_discovery_client::poll_schedule::{WatchEnd, WatchEndReason};
use std::fmt;

/// A point in time or a span, in microseconds.
pub type Micros = i64;

/// One second in [`Micros`].
pub const SECOND: Micros = 1_000_000;

/// What one call is taken to cost discovery where nothing is told: a share of a second that slow ones need, too.
pub const DEFAULT_LIST_CALL_TIME: Micros = SECOND / 12;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// A client request; never used again once it was given.
    JobId(u32);
    /// A worker, the same across restarts of its process and at every scheduler (a hash of its address, say).
    WorkerId(u64);
    /// Index into [`Settings::classes`].
    ClassId(u16);
    /// Index into [`Settings::tenants`].
    TenantId(u16);
    /// A zone (server room).
    ZoneId(u16);
    /// A machine kind.
    KindId(u16);
    /// A group of workers that share which keyed requests they have seen.
    CellId(u32);
    /// The subject of a request: the data it needs. Equal subjects have equal ids.
    KeyId(u64);
}

/// Which workers drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyScope {
    /// Every worker.
    All,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

impl KeyScope {
    /// Whether two workers know of each other's requests.
    pub fn shares_keys(self, a: &Endpoint, b: &Endpoint) -> bool {
        match self {
            KeyScope::All => true,
            KeyScope::Zone => a.zone == b.zone,
            KeyScope::Cell => a.cell == b.cell,
        }
    }
}

/// What a repeat of a request does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Nothing: repeat at will.
    Idempotent,
    /// Dropped by the workers of `scope` for `window` after the first attempt that may have run was sent.
    IdempotencyKey {
        /// Who drops repeats.
        scope: KeyScope,
        /// For how long.
        window: Micros,
    },
    /// It would take effect twice.
    #[default]
    NonIdempotent,
}

/// A request class.
#[derive(Clone, Debug)]
pub struct Class {
    /// Worth of a request, or of a unit of its work with [`Settings::counted_by_work`].
    pub priority_weight: f64,
    /// Share of the worth that an answer after the aim and before the deadline earns.
    pub late_answer_fraction: f64,
    /// The aim: an answer within this span (plus the stretch) earns the full worth.
    pub latency_objective: Micros,
    /// The aim grows by this multiple of the job's own work.
    pub objective_per_work: f64,
    /// The client's whole patience over all of its tries.
    pub client_timeout: Micros,
    /// What a repeat does.
    pub idempotency: Idempotency,
    /// The answer is a stream, announced by [`Event::Accepted`].
    pub streaming: bool,
    /// The only machine kind that can run it.
    pub kind: Option<KindId>,
}

/// A tenant and its share.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests a second within its share, over all schedulers together.
    pub quota_per_s: f64,
}

/// What the site permits. The default permits nothing beyond a single attempt of each request.
#[derive(Clone, Debug)]
pub struct Limits {
    /// [`Action::Cancel`] is permitted.
    pub cancel: bool,
    /// [`Action::Probe`] is permitted.
    pub health_checks_allowed: bool,
    /// Two attempts of one request may be out together.
    pub hedged_requests: bool,
    /// Most attempts of one request.
    pub max_attempts: u32,
    /// Idle connections close after this span.
    pub idle_timeout: Micros,
    /// Attempts that share one connection.
    pub max_streams: u32,
    /// A connection not made within this span fails.
    pub connect_timeout: Micros,
    /// Advice to stay away is passed on to clients.
    pub retry_after: bool,
    /// The longest such advice that clients follow.
    pub max_retry_after: Micros,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            cancel: false,
            health_checks_allowed: false,
            hedged_requests: false,
            max_attempts: 1,
            idle_timeout: 0,
            max_streams: 1,
            connect_timeout: SECOND / 4,
            retry_after: false,
            max_retry_after: 0,
        }
    }
}

/// Costs, as shares of the mean worth of a request.
#[derive(Clone, Debug, Default)]
pub struct Costs {
    /// An attempt that crosses zones.
    pub cross_zone: f64,
    /// A new connection.
    pub handshake: f64,
    /// A fetch of the job's data from its origin.
    pub origin_fetch: f64,
    /// Work that serves no answer, as a share of the work.
    pub wasted_work: f64,
    /// Ending unserved after the aim has passed, as a share of the job's worth.
    pub late_failure: f64,
    /// A probe.
    pub health_check: f64,
}

/// Figures of the rules on answers, discovery and cold workers. By default workers start warm.
#[derive(Clone, Debug)]
pub struct Safety {
    /// How long after the client's deadline a final answer still counts.
    pub answer_grace: Micros,
    /// Without a subscription, the longest time between two questions to discovery.
    pub poll_interval: Micros,
    /// The least share of its capacity with which a worker starts.
    pub initial_capacity_fraction: f64,
    /// A worker is warm no later than this after its start.
    pub slow_start_window: Micros,
    /// Sent more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this span, a cold worker falls over.
    pub overload_window: Micros,
    /// Bound on attempts beyond each request's first, where the site has one.
    pub retry_budget: Option<RetryBudget>,
    /// Idle connections to a draining worker are closed within this span, where the site asks for it.
    pub drain_close_timeout: Option<Micros>,
    /// A worker may answer [`Outcome::Full`] for work that it had begun.
    pub rejection_may_have_run: bool,
}

/// Attempts beyond each request's first that one scheduler may make: in any `window` at most `floor` plus
/// `ratio` for each request it took in that window.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Attempts allowed however low the traffic.
    pub min_retries: f64,
    /// Attempts allowed for each request taken.
    pub ratio: f64,
    /// The span that is counted.
    pub window: Micros,
}

impl Default for Safety {
    fn default() -> Safety {
        Safety {
            answer_grace: 0,
            poll_interval: 10 * SECOND,
            initial_capacity_fraction: 1.0,
            slow_start_window: 0,
            overload_multiple: 1.0,
            overload_window: SECOND,
            retry_budget: None,
            drain_close_timeout: None,
            rejection_may_have_run: false,
        }
    }
}

/// Everything an instance is told at its start.
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
    /// Worth counts for each unit of work instead of each request.
    pub weighted_by_work: bool,
    /// Worth of a request beyond its tenant's share, as a fraction.
    pub over_quota_weight: f64,
    /// Where the result counts its slow end: the share of requests, by class and some seconds, that may miss
    /// their aim before the credit of all of them falls. A refusal within the aim is no miss.
    pub tail_miss_fraction: Option<f64>,
    /// Discovery must be asked ([`Action::Watch`]); otherwise changes come by themselves.
    pub watch_required: bool,
    /// Whether changes count as told unheard once the watch has been closed for a while, so that the list is held under a
    /// lease ([`roselock_discovery_client::lease`]).
    pub list_lease_enabled: bool,
    /// What one call is taken to cost discovery before any was made; then the pace follows what calls show.
    pub list_call_time: Micros,
    /// Until discovery has answered, each worker is tried by one job first, and what must not run twice goes only to
    /// those that have answered.
    pub list_unconfirmed: bool,
    /// [`FleetEntry::units`] falls as a worker holds more requests.
    pub units_fall_with_load: bool,
    /// Workers report when a job starts.
    pub reports_start: bool,
    /// Span between progress notes; 0 if there are none.
    pub progress_interval: Micros,
    /// Least span between two steps of this instance.
    pub tick: Micros,
    /// What is permitted.
    pub limits: Limits,
    /// What costs.
    pub costs: Costs,
    /// Figures of the rules.
    pub safety: Safety,
}

impl Settings {
    /// Settings of a scheduler that has the workers to itself, without tenants, costs or load reports, at a site
    /// that permits nothing beyond a single attempt. Change the fields that differ.
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

    /// Who calls discovery, and within what time, for the pace of the calls.
    pub fn poll_parameters(&self) -> PollParameters {
        PollParameters {
            instance_count: self.fleet_size,
            instance_index: self.instance_index,
            poll_interval: self.safety.poll_interval,
        }
    }

    /// Names the first field whose value makes no sense. [`Dispatcher::new`](crate::Dispatcher::new) asks this.
    pub fn check(&self) -> Result<(), SettingsError> {
        let mut checks = vec![
            ("fleet_size".into(), self.fleet_size > 0, "must be at least 1"),
            ("classes".into(), !self.classes.is_empty(), "must not be empty"),
            share("over_share_worth", self.over_quota_weight),
            span("progress", self.progress_interval),
            span("list_call", self.list_call_time),
            ("tick".into(), self.tick > 0, "must be above 0"),
            ("limits.send_cap".into(), self.limits.max_attempts > 0, "must be at least 1"),
            span("limits.conn_idle", self.limits.idle_timeout),
            ("limits.max_streams".into(), self.limits.max_streams > 0, "must be at least 1"),
            span("limits.connect_timeout", self.limits.connect_timeout),
            span("limits.max_retry_after", self.limits.max_retry_after),
            amount("costs.cross_zone", self.costs.cross_zone),
            amount("costs.handshake", self.costs.handshake),
            amount("costs.origin", self.costs.origin_fetch),
            amount("costs.waste", self.costs.wasted_work),
            amount("costs.late_fail", self.costs.late_failure),
            amount("costs.probe", self.costs.health_check),
            span("safety.grace_to_answer", self.safety.answer_grace),
            span("safety.ask_within", self.safety.poll_interval),
            share("safety.cold_share", self.safety.initial_capacity_fraction),
            span("safety.cold", self.safety.slow_start_window),
            amount("safety.fall_multiple", self.safety.overload_multiple),
            span("safety.fall", self.safety.overload_window),
            span("safety.close_within", self.safety.drain_close_timeout.unwrap_or(0)),
            share("tail_misses", self.tail_miss_fraction.unwrap_or(0.0)),
        ];
        for (i, class) in self.classes.iter().enumerate() {
            let name = |field| format!("classes[{i}].{field}");
            checks.push(amount(&name("worth"), class.priority_weight));
            checks.push(share(&name("late_value"), class.late_answer_fraction));
            checks.push(span(&name("promise"), class.latency_objective));
            checks.push(amount(&name("stretch"), class.objective_per_work));
            checks.push(span(&name("give_up"), class.client_timeout));
            if let Idempotency::IdempotencyKey { window, .. } = class.idempotency {
                checks.push(span(&name("effect.window"), window));
            }
        }
        if let Some(a) = &self.safety.retry_budget {
            checks.push(amount("safety.allowance.floor", a.min_retries));
            checks.push(amount("safety.allowance.ratio", a.ratio));
            checks.push(span("safety.allowance.window", a.window));
        }
        for (i, tenant) in self.tenants.iter().enumerate() {
            checks.push(amount(&format!("tenants[{i}].quota_per_s"), tenant.quota_per_s));
        }
        match checks.into_iter().find(|(_, fine, _)| !fine) {
            Some((field, _, problem)) => Err(SettingsError { field, problem }),
            None => Ok(()),
        }
    }
}

type Check = (String, bool, &'static str);

fn amount(field: &str, x: f64) -> Check {
    (field.into(), x.is_finite() && x >= 0.0, "must be a number of at least 0")
}

fn share(field: &str, x: f64) -> Check {
    (field.into(), (0.0..=1.0).contains(&x), "must be between 0 and 1")
}

fn span(field: &str, t: Micros) -> Check {
    (field.into(), t >= 0, "must not be negative")
}

/// A setting that makes no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Its path in [`Settings`], such as `classes[2].promise`.
    pub field: String,
    /// What is wrong with it.
    pub problem: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.field, self.problem)
    }
}

impl std::error::Error for SettingsError {}

/// What discovery says of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes work.
    Ready,
    /// Completes what it has; send nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// One line of discovery's list.
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
    /// A figure to compare it by.
    pub units: f64,
    /// Its latest start, `None`: long ago.
    pub started_at: Option<Micros>,
}

/// How the lines of a list are meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListMode {
    /// Only what changed.
    Changes,
    /// The complete list: who is absent is gone.
    Complete,
    /// The complete list as of before the start: no word of discovery.
    Cached,
}

impl ListMode {
    /// Whether who is absent is gone.
    pub fn is_complete(self) -> bool {
        matches!(self, ListMode::Complete | ListMode::Cached)
    }
}

/// A load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory units.
    pub free_memory: Option<f64>,
    /// The figures were taken some time before they came.
    pub delayed: bool,
    /// Share of its cores in use.
    pub utilization: Option<f64>,
    /// Recent service time without waiting.
    pub service_time: Option<Micros>,
}

/// A client request.
#[derive(Clone, Debug)]
pub struct JobRequest {
    /// Its id.
    pub job: JobId,
    /// Its class.
    pub class: ClassId,
    /// Its tenant, if any.
    pub tenant: Option<TenantId>,
    /// Slots it takes while it runs.
    pub slots: f64,
    /// Memory units it takes while it runs; 0 where memory is not counted.
    pub memory: f64,
    /// Its expected work in seconds on a core of speed 1, if hinted.
    pub work_hint: Option<f64>,
    /// Data it needs.
    pub key: Option<KeyId>,
    /// Time until the client gives this try up.
    pub budget: Micros,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// Answered with an error; it may have run.
    Error,
    /// Turned away; unseen, unless [`Safety::full_unproven`] says otherwise.
    Rejected,
    /// No answer in time; it may have run or be running.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    NotStarted,
}

impl Outcome {
    /// Whether it proves that the attempt never ran, given [`Safety::full_unproven`].
    pub fn never_ran(self, full_unproven: bool) -> bool {
        match self {
            Outcome::Rejected => !full_unproven,
            outcome => matches!(outcome, Outcome::ConnectFailed | Outcome::NotStarted),
        }
    }
}

/// What a note about an attempt says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptUpdate {
    /// The worker has started the job.
    Started,
    /// This share of it is done.
    Progress(f64),
}

/// Something that happened. `round` numbers a job's attempts from 0 in the order of [`Action::Send`].
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the workers.
    EndpointList {
        /// How to read the entries.
        mode: ListMode,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// The watch on the workers, or a call for one, ended; the earlier list remains.
    WatchEnded(WatchEnd),
    /// The operators have moved discovery to another address, at that time.
    DiscoveryMoved(Micros),
    /// A client request arrived; exactly one final answer is owed.
    JobArrived(JobRequest),
    /// An attempt's stream has begun: it belongs to the client now.
    StreamAccepted {
        /// The request.
        job: JobId,
        /// The attempt.
        attempt: u32,
    },
    /// A note about an attempt that is out.
    AttemptProgress {
        /// The request.
        job: JobId,
        /// The attempt.
        attempt: u32,
        /// What it says.
        update: AttemptUpdate,
    },
    /// The worker of a job's attempt may still tell of it, though it is about to end: a call-back that comes late, or again.
    /// Nothing would tell that word from one of a further attempt there. Comes before the attempt's `Verdict`.
    LateReportPossible {
        /// The job.
        job: JobId,
        /// The worker of the attempt.
        worker: WorkerId,
    },
    /// An attempt ended; each has exactly one such event.
    AttemptEnded {
        /// The request.
        job: JobId,
        /// The attempt.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// The request has concluded: nothing is owed any more.
        concluded: bool,
        /// The worker's report, if one came along.
        report: LoadReport,
    },
    /// The client left; nothing is owed any more.
    ClientDisconnected(JobId),
    /// A timer set with [`Action::Timer`] fell due.
    TimerFired(u64),
    /// A worker is taken out by hand, or given back: while out, it counts as draining whatever the list says.
    SuspensionChanged {
        /// The worker, listed or not yet.
        worker: WorkerId,
        /// Out, or back.
        suspended: bool,
    },
    /// The answer to a probe.
    HealthCheckEnded {
        /// The worker.
        worker: WorkerId,
        /// It answered.
        ok: bool,
        /// Its report.
        report: LoadReport,
    },
}

/// Something to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; `max_wait` 0 waits until the client quits.
    Send {
        /// The request.
        job: JobId,
        /// Where to.
        worker: WorkerId,
        /// Time-out of the attempt.
        timeout: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        job: JobId,
        /// The attempt.
        attempt: u32,
    },
    /// Final answer: declined, trying again is harmless. `backoff` 0 gives no advice.
    Reject {
        /// The request.
        job: JobId,
        /// How long the client ought to stay away.
        retry_after: Micros,
    },
    /// Final answer: failed, nothing promised.
    Fail {
        /// The request.
        job: JobId,
    },
    /// Ask for [`Event::Alarm`] with `token` after `after`.
    Timer {
        /// From now.
        delay: Micros,
        /// Comes back with the alarm.
        token: u64,
    },
    /// Subscribe to discovery's changes.
    WatchEndpoints,
    /// Probe a worker.
    HealthCheck(WorkerId),
    /// Close idle connections to a worker.
    CloseIdleConnections(WorkerId),
    /// A line for the operators' log about a worker.
    Log {
        /// What is said of it.
        message: &'static str,
        /// Of whom.
        worker: WorkerId,
    },
}
