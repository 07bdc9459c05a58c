//! The Gearman front end: submitted jobs wait in the backlog and are released as streams, and registered workers become
//! upstream hosts. It translates the protocol and makes no scheduling decisions. The settings of a function determine
//! whether its jobs run on Gearman workers or on HTTP hosts.

mod admin;
mod connection;
mod function;
mod job_clients;
mod job_endings;
mod job_source;
mod job_status;
mod number_settings;
mod outbox;
mod packet_handler;
mod payload;
mod peer;
mod registration;
mod replies;
mod resolved_settings;
mod settings;
mod submission;
mod timers;
mod worker_jobs;
mod worker_registration;
mod worker_reports;
mod worker_state;

use super::connection_limiter::ConnectionLimiter;
use crate::core::{FleetId, Inbox, Input, Payload, ResourceLimit};
use arc_swap::ArcSwap;
pub use connection::accept;
use function::FunctionRegistry;
pub use function::resolve_functions;
use job_clients::WaitingClient;
use job_endings::EndedJobCounts;
pub use job_source::GearmanJobSource;
use parking_lot::Mutex;
use peer::Peer;
pub use registration::AddFunctionError;
pub use resolved_settings::ResolvedSettings;
use roselock::settings::Site;
use roselock::{Micros, SECOND};
use roselock_backlog::Backlog;
pub use settings::GearmanSettings;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use timers::Timer;
pub use timers::run as run_timers;
use worker_state::WorkerCounts;

/// Timeout for writing a batch of packets to a connection, in microseconds.
const WRITE_TIMEOUT: Micros = 10 * SECOND;

/// State shared by the coroutines of the front end and the event loop. Sections that hold the lock are short and never
/// block.
struct Jobs {
    backlog: Backlog<WaitingClient, Payload>,
    /// The worker counts of each function, by function index.
    worker_counts: Vec<WorkerCounts>,
    /// Whether the event loop has been notified that there may be a job to release.
    is_event_loop_notified: bool,
    /// The ended jobs since the process started, by outcome.
    ended_counts: EndedJobCounts,
}

/// State shared by all connections of the Gearman front end.
pub struct Gearman {
    /// The inbox of the event loop.
    pub inbox: Inbox,
    settings: ResolvedSettings,
    site: ArcSwap<Site>,
    seed: u64,
    function_registry: ArcSwap<FunctionRegistry>,
    /// The unresolved settings, kept for the default function entry and the fleet settings.
    file_settings: ArcSwap<GearmanSettings>,
    /// The ID for the next worker fleet. Locked while a function is added, including the wait for capacity in the event
    /// loop's input queue.
    next_fleet_id: may::sync::Mutex<FleetId>,
    http_fleet: FleetId,
    jobs: Mutex<Jobs>,
    peers: Mutex<BTreeMap<u64, Arc<Peer>>>,
    next_peer_number: AtomicU64,
    timers: Mutex<BTreeSet<Timer>>,
    /// The prefix of job handles and request IDs, different in each process.
    incarnation: u64,
    connections: Arc<ConnectionLimiter>,
    verbosity: AtomicUsize,
    /// Whether an administrator has requested the shutdown.
    is_shutdown_requested: AtomicBool,
    /// Whether the waiting jobs have been dropped because the process is about to end.
    is_drained: AtomicBool,
}

/// The parameters of a [`Gearman`] front end.
pub struct GearmanParameters {
    /// The settings as read from the settings file.
    pub file: GearmanSettings,
    /// The same settings, resolved.
    pub settings: ResolvedSettings,
    /// The scheduling settings.
    pub site: Arc<Site>,
    /// The inbox of the event loop.
    pub inbox: Inbox,
    /// The fleet of the HTTP hosts.
    pub http_fleet: FleetId,
    /// The ID of the first worker fleet. This ID and all higher ones belong to the front end.
    pub first_worker_fleet: FleetId,
    /// The random seed of the decision logic.
    pub seed: u64,
    /// The prefix of job handles and request IDs, different in each process.
    pub incarnation: u64,
    /// Limit on connections.
    pub connection_limit: ResourceLimit,
}

impl Gearman {
    /// Creates a front end without connections or functions.
    pub fn new(parameters: GearmanParameters) -> Gearman {
        let jobs = Jobs {
            backlog: Backlog::new(parameters.settings.bounds),
            worker_counts: Vec::new(),
            is_event_loop_notified: false,
            ended_counts: EndedJobCounts::default(),
        };
        Gearman {
            inbox: parameters.inbox,
            settings: parameters.settings,
            site: ArcSwap::new(parameters.site),
            seed: parameters.seed,
            function_registry: ArcSwap::default(),
            file_settings: ArcSwap::from_pointee(parameters.file),
            next_fleet_id: may::sync::Mutex::new(parameters.first_worker_fleet),
            http_fleet: parameters.http_fleet,
            jobs: Mutex::new(jobs),
            peers: Mutex::default(),
            next_peer_number: AtomicU64::new(1),
            timers: Mutex::default(),
            incarnation: parameters.incarnation,
            connections: ConnectionLimiter::new(parameters.connection_limit),
            verbosity: AtomicUsize::new(0),
            is_shutdown_requested: AtomicBool::new(false),
            is_drained: AtomicBool::new(false),
        }
    }

    /// A snapshot of the functions.
    fn function_registry(&self) -> Arc<FunctionRegistry> {
        self.function_registry.load_full()
    }

    /// Whether the event loop must be notified that there may be a job to release; marks it as notified. Call it with
    /// the jobs locked, and pass the result to [`Gearman::notify_event_loop_if`] after unlocking.
    fn should_notify_event_loop(&self, jobs: &mut Jobs) -> bool {
        if jobs.is_event_loop_notified || jobs.backlog.next_release_at().is_none() {
            return false;
        }
        jobs.is_event_loop_notified = true;
        true
    }

    fn notify_event_loop_if(&self, should_notify: bool) {
        if should_notify {
            self.inbox.post(Input::JobsAvailable);
        }
    }

    /// Formats the handle by which clients refer to a job.
    fn job_handle(&self, job_no: u64) -> String {
        format!("H:roselock-{:08x}:{job_no}", self.incarnation as u32)
    }

    /// Parses a job handle. Returns `None` if this process did not issue it.
    fn job_no(&self, handle: &[u8]) -> Option<u64> {
        let text = std::str::from_utf8(handle).ok()?;
        let (incarnation, job_no) = text.strip_prefix("H:roselock-")?.split_once(':')?;
        if u32::from_str_radix(incarnation, 16).ok()? != self.incarnation as u32 {
            return None;
        }
        job_no.parse().ok()
    }

    /// Starts the graceful shutdown of the process, like SIGTERM.
    fn request_shutdown(&self) {
        if !self.is_shutdown_requested.swap(true, Ordering::SeqCst) {
            tracing::info!("Gearman administrator requested a shutdown");
            self.inbox.request_shutdown();
        }
    }
}
