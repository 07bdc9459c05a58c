//! The interface of the decision module: settings, events in, actions out.
//!
//! Times are whole microseconds ([`Micros`]) on the caller's clock, which may start anywhere but never runs
//! back. Work is in seconds on a core of speed 1. Nothing here decides anything.
//!
//! The caller owes the dispatcher one [`Event::Verdict`] for each [`Action::Send`], cancelled or not, and an
//! [`Event::Alarm`] for each [`Action::Timer`]. For each [`Event::Job`] the dispatcher owes one final answer, unless
//! a verdict said `last`, its stream was accepted, or the client left.

use roselock_discovery_client::poll_schedule::Round;
pub use roselock_discovery_client::poll_schedule::{EndReason, WatchEnd};
use std::fmt;

/// A point in time or a span, in microseconds.
pub type Micros = i64;

/// One second in [`Micros`].
pub const SECOND: Micros = 1_000_000;

/// What one call is taken to cost discovery where nothing is told: a share of a second that slow ones need, too.
pub const LIST_CALL: Micros = SECOND / 12;

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
    pub fn joins(self, a: &FleetEntry, b: &FleetEntry) -> bool {
        match self {
            KeyScope::All => true,
            KeyScope::Zone => a.zone == b.zone,
            KeyScope::Cell => a.cell == b.cell,
        }
    }
}

/// What a repeat of a request does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: repeat at will.
    Safe,
    /// Dropped by the workers of `scope` for `window` after the first attempt that may have run was sent.
    Keyed {
        /// Who drops repeats.
        scope: KeyScope,
        /// For how long.
        window: Micros,
    },
    /// It would take effect twice.
    #[default]
    Unsafe,
}

/// A request class.
#[derive(Clone, Debug)]
pub struct Class {
    /// Worth of a request, or of a unit of its work with [`Settings::counted_by_work`].
    pub worth: f64,
    /// Share of the worth that an answer after the aim and before the deadline earns.
    pub late_value: f64,
    /// The aim: an answer within this span (plus the stretch) earns the full worth.
    pub promise: Micros,
    /// The aim grows by this multiple of the job's own work.
    pub stretch: f64,
    /// The client's whole patience over all of its tries.
    pub give_up: Micros,
    /// What a repeat does.
    pub effect: Effect,
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
    pub may_probe: bool,
    /// Two attempts of one request may be out together.
    pub second_copies: bool,
    /// Most attempts of one request.
    pub send_cap: u32,
    /// Idle connections close after this span.
    pub conn_idle: Micros,
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
            may_probe: false,
            second_copies: false,
            send_cap: 1,
            conn_idle: 0,
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
    pub origin: f64,
    /// Work that serves no answer, as a share of the work.
    pub waste: f64,
    /// Ending unserved after the aim has passed, as a share of the job's worth.
    pub late_fail: f64,
    /// A probe.
    pub probe: f64,
}

/// Figures of the rules on answers, discovery and cold workers. By default workers start warm.
#[derive(Clone, Debug)]
pub struct Safety {
    /// How long after the client's deadline a final answer still counts.
    pub grace_to_answer: Micros,
    /// Without a subscription, the longest time between two questions to discovery.
    pub ask_within: Micros,
    /// The least share of its capacity with which a worker starts.
    pub cold_share: f64,
    /// A worker is warm no later than this after its start.
    pub cold: Micros,
    /// Sent more than this multiple of its present capacity ...
    pub fall_multiple: f64,
    /// ... for this span, a cold worker falls over.
    pub fall: Micros,
    /// Bound on attempts beyond each request's first, where the site has one.
    pub allowance: Option<Allowance>,
    /// Idle connections to a draining worker are closed within this span, where the site asks for it.
    pub close_within: Option<Micros>,
    /// A worker may answer [`Outcome::Full`] for work that it had begun.
    pub full_unproven: bool,
}

/// Attempts beyond each request's first that one scheduler may make: in any `window` at most `floor` plus
/// `ratio` for each request it took in that window.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Attempts allowed however low the traffic.
    pub floor: f64,
    /// Attempts allowed for each request taken.
    pub ratio: f64,
    /// The span that is counted.
    pub window: Micros,
}

impl Default for Safety {
    fn default() -> Safety {
        Safety {
            grace_to_answer: 0,
            ask_within: 10 * SECOND,
            cold_share: 1.0,
            cold: 0,
            fall_multiple: 1.0,
            fall: SECOND,
            allowance: None,
            close_within: None,
            full_unproven: false,
        }
    }
}

/// Everything an instance is told at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How many schedulers share the workers, this one included.
    pub fleet_size: u32,
    /// This scheduler's number among them, from 0.
    pub me: u32,
    /// This scheduler's zone.
    pub zone: ZoneId,
    /// The request classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth counts for each unit of work instead of each request.
    pub counted_by_work: bool,
    /// Worth of a request beyond its tenant's share, as a fraction.
    pub over_share_worth: f64,
    /// Where the result counts its slow end: the share of requests, by class and some seconds, that may miss
    /// their aim before the credit of all of them falls. A refusal within the aim is no miss.
    pub tail_misses: Option<f64>,
    /// Discovery must be asked ([`Action::Watch`]); otherwise changes come by themselves.
    pub must_watch: bool,
    /// Whether changes count as told unheard once the watch has been closed for a while, so that the list is held under a
    /// lease ([`roselock_discovery_client::lease`]).
    pub lease_list: bool,
    /// What one call is taken to cost discovery before any was made; then the pace follows what calls show.
    pub list_call: Micros,
    /// Until discovery has answered, each worker is tried by one job first, and what must not run twice goes only to
    /// those that have answered.
    pub careful: bool,
    /// [`FleetEntry::units`] falls as a worker holds more requests.
    pub live_units: bool,
    /// Workers report when a job starts.
    pub tells_start: bool,
    /// Span between progress notes; 0 if there are none.
    pub progress: Micros,
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
            me: 0,
            zone: ZoneId(0),
            classes,
            tenants: Vec::new(),
            counted_by_work: false,
            over_share_worth: 1.0,
            tail_misses: None,
            must_watch: false,
            lease_list: false,
            list_call: LIST_CALL,
            careful: false,
            live_units: false,
            tells_start: false,
            progress: 0,
            tick: SECOND / 1000,
            limits: Limits::default(),
            costs: Costs::default(),
            safety: Safety::default(),
        }
    }

    /// Who calls discovery, and within what time, for the pace of the calls.
    pub fn round(&self) -> Round {
        Round { all: self.fleet_size, me: self.me, within: self.safety.ask_within }
    }

    /// Names the first field whose value makes no sense. [`Dispatcher::new`](crate::Dispatcher::new) asks this.
    pub fn check(&self) -> Result<(), SettingsError> {
        let mut checks = vec![
            ("fleet_size".into(), self.fleet_size > 0, "must be at least 1"),
            ("classes".into(), !self.classes.is_empty(), "must not be empty"),
            share("over_share_worth", self.over_share_worth),
            span("progress", self.progress),
            span("list_call", self.list_call),
            ("tick".into(), self.tick > 0, "must be above 0"),
            ("limits.send_cap".into(), self.limits.send_cap > 0, "must be at least 1"),
            span("limits.conn_idle", self.limits.conn_idle),
            ("limits.max_streams".into(), self.limits.max_streams > 0, "must be at least 1"),
            span("limits.connect_timeout", self.limits.connect_timeout),
            span("limits.max_retry_after", self.limits.max_retry_after),
            amount("costs.cross_zone", self.costs.cross_zone),
            amount("costs.handshake", self.costs.handshake),
            amount("costs.origin", self.costs.origin),
            amount("costs.waste", self.costs.waste),
            amount("costs.late_fail", self.costs.late_fail),
            amount("costs.probe", self.costs.probe),
            span("safety.grace_to_answer", self.safety.grace_to_answer),
            span("safety.ask_within", self.safety.ask_within),
            share("safety.cold_share", self.safety.cold_share),
            span("safety.cold", self.safety.cold),
            amount("safety.fall_multiple", self.safety.fall_multiple),
            span("safety.fall", self.safety.fall),
            span("safety.close_within", self.safety.close_within.unwrap_or(0)),
            share("tail_misses", self.tail_misses.unwrap_or(0.0)),
        ];
        for (i, class) in self.classes.iter().enumerate() {
            let name = |field| format!("classes[{i}].{field}");
            checks.push(amount(&name("worth"), class.worth));
            checks.push(share(&name("late_value"), class.late_value));
            checks.push(span(&name("promise"), class.promise));
            checks.push(amount(&name("stretch"), class.stretch));
            checks.push(span(&name("give_up"), class.give_up));
            if let Effect::Keyed { window, .. } = class.effect {
                checks.push(span(&name("effect.window"), window));
            }
        }
        if let Some(a) = &self.safety.allowance {
            checks.push(amount("safety.allowance.floor", a.floor));
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
pub enum Listed {
    /// Takes work.
    Ready,
    /// Completes what it has; send nothing new.
    Draining,
    /// Removed.
    Gone,
}

/// One line of discovery's list.
#[derive(Clone, Debug)]
pub struct FleetEntry {
    /// The worker.
    pub worker: WorkerId,
    /// Its state.
    pub state: Listed,
    /// Its zone.
    pub zone: ZoneId,
    /// Its cell.
    pub cell: CellId,
    /// Its machine kind.
    pub kind: KindId,
    /// A figure to compare it by.
    pub units: f64,
    /// Its latest start, `None`: long ago.
    pub up_since: Option<Micros>,
}

/// How the lines of a list are meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListMode {
    /// Only what changed.
    Changes,
    /// The complete list: who is absent is gone.
    Complete,
    /// The complete list as of before the start: no word of discovery.
    Known,
}

impl ListMode {
    /// Whether who is absent is gone.
    pub fn is_complete(self) -> bool {
        matches!(self, ListMode::Complete | ListMode::Known)
    }
}

/// A load report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauge {
    /// Free slots.
    pub free_slots: Option<f64>,
    /// Free memory units.
    pub free_memory: Option<f64>,
    /// The figures were taken some time before they came.
    pub delayed: bool,
    /// Share of its cores in use.
    pub util: Option<f64>,
    /// Recent service time without waiting.
    pub latency: Option<Micros>,
}

/// A client request.
#[derive(Clone, Debug)]
pub struct JobIn {
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
    Full,
    /// No answer in time; it may have run or be running.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Cancelled; it may have run.
    Cancelled,
    /// Never sent.
    Moot,
}

impl Outcome {
    /// Whether it proves that the attempt never ran, given [`Safety::full_unproven`].
    pub fn never_ran(self, full_unproven: bool) -> bool {
        match self {
            Outcome::Full => !full_unproven,
            outcome => matches!(outcome, Outcome::ConnectFailed | Outcome::Moot),
        }
    }
}

/// What a note about an attempt says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Note {
    /// The worker has started the job.
    Started,
    /// This share of it is done.
    Progress(f64),
}

/// Something that happened. `round` numbers a job's attempts from 0 in the order of [`Action::Send`].
#[derive(Clone, Debug)]
pub enum Event {
    /// News of the workers.
    Fleet {
        /// How to read the entries.
        mode: ListMode,
        /// The entries.
        entries: Vec<FleetEntry>,
    },
    /// The watch on the workers, or a call for one, ended; the earlier list remains.
    WatchEnded(WatchEnd),
    /// The operators have moved discovery to another address, at that time.
    ListMoved(Micros),
    /// A client request arrived; exactly one final answer is owed.
    Job(JobIn),
    /// An attempt's stream has begun: it belongs to the client now.
    Accepted {
        /// The request.
        job: JobId,
        /// The attempt.
        round: u32,
    },
    /// A note about an attempt that is out.
    Notice {
        /// The request.
        job: JobId,
        /// The attempt.
        round: u32,
        /// What it says.
        note: Note,
    },
    /// The worker of a job's attempt may still tell of it, though it is about to end: a call-back that comes late, or again.
    /// Nothing would tell that word from one of a further attempt there. Comes before the attempt's `Verdict`.
    Unsettled {
        /// The job.
        job: JobId,
        /// The worker of the attempt.
        worker: WorkerId,
    },
    /// An attempt ended; each has exactly one such event.
    Verdict {
        /// The request.
        job: JobId,
        /// The attempt.
        round: u32,
        /// How it ended.
        outcome: Outcome,
        /// The request has concluded: nothing is owed any more.
        last: bool,
        /// The worker's report, if one came along.
        gauge: Gauge,
    },
    /// The client left; nothing is owed any more.
    CancelledByClient(JobId),
    /// A timer set with [`Action::Timer`] fell due.
    Alarm(u64),
    /// A worker is taken out by hand, or given back: while out, it counts as draining whatever the list says.
    Suspend {
        /// The worker, listed or not yet.
        worker: WorkerId,
        /// Out, or back.
        out: bool,
    },
    /// The answer to a probe.
    Health {
        /// The worker.
        worker: WorkerId,
        /// It answered.
        ok: bool,
        /// Its report.
        gauge: Gauge,
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
        max_wait: Micros,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        job: JobId,
        /// The attempt.
        round: u32,
    },
    /// Final answer: declined, trying again is harmless. `backoff` 0 gives no advice.
    Refuse {
        /// The request.
        job: JobId,
        /// How long the client ought to stay away.
        backoff: Micros,
    },
    /// Final answer: failed, nothing promised.
    Fail {
        /// The request.
        job: JobId,
    },
    /// Ask for [`Event::Alarm`] with `token` after `after`.
    Timer {
        /// From now.
        after: Micros,
        /// Comes back with the alarm.
        token: u64,
    },
    /// Subscribe to discovery's changes.
    Watch,
    /// Probe a worker.
    Probe(WorkerId),
    /// Close idle connections to a worker.
    Close(WorkerId),
    /// A line for the operators' log about a worker.
    Log {
        /// What is said of it.
        text: &'static str,
        /// Of whom.
        worker: WorkerId,
    },
}
