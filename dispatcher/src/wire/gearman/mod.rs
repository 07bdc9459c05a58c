//! The Gearman front: clients' jobs wait in the backlog and are released as streams, and workers that register become
//! upstream hosts. It translates and decides nothing. The entry of a function says whether its jobs go to Gearman
//! workers or to HTTP hosts.

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
use crate::core::{FleetId, Inbox, Input, Payload};
use arc_swap::ArcSwap;
pub use connection::accept;
use function::FunctionRegistry;
pub use function::resolve_functions;
use job_clients::WaitingClient;
use job_endings::EndCounts;
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

/// How long writing a batch of packets to a connection may take, in microseconds.
const WRITE_TIMEOUT: Micros = 10 * SECOND;

/// What the coroutines of the front and the owner of the decisions share. It is locked for short sections that never
/// wait.
struct Jobs {
    backlog: Backlog<WaitingClient, Payload>,
    /// The workers of each function, by its index.
    worker_counts: Vec<WorkerCounts>,
    /// Whether the owner has been notified that there may be a job to release.
    is_owner_notified: bool,
    /// How jobs have ended since the start.
    ends: EndCounts,
}

/// What all connections of the front share.
pub struct Gearman {
    /// The way to the decisions.
    pub inbox: Inbox,
    settings: ResolvedSettings,
    site: ArcSwap<Site>,
    seed: u64,
    functions: ArcSwap<FunctionRegistry>,
    /// The settings as the file has them: the entry for functions that are not named, and the settings of fleets.
    file: ArcSwap<GearmanSettings>,
    /// The fleet of the next function that gets one. Locked while a function is added, also while that waits for
    /// capacity in the owner's queue.
    next_fleet: may::sync::Mutex<FleetId>,
    http_fleet: FleetId,
    jobs: Mutex<Jobs>,
    peers: Mutex<BTreeMap<u64, Arc<Peer>>>,
    next_peer: AtomicU64,
    timers: Mutex<BTreeSet<Timer>>,
    /// Job handles and request ids begin with it: each process has another.
    incarnation: u64,
    connections: Arc<ConnectionLimiter>,
    verbosity: AtomicUsize,
    /// An administrator has requested the shutdown.
    is_shutdown_requested: AtomicBool,
    /// The waiting jobs have been given up, since the process is about to end.
    is_drained: AtomicBool,
}

/// What a front is made of.
pub struct GearmanParameters {
    /// The settings as the file has them.
    pub file: GearmanSettings,
    /// The same settings, resolved.
    pub settings: ResolvedSettings,
    /// The settings of the decisions.
    pub site: Arc<Site>,
    /// The way to the decisions.
    pub inbox: Inbox,
    /// The fleet of the HTTP hosts.
    pub http_fleet: FleetId,
    /// The fleet of the first function that Gearman workers run; the numbers from it on are those of the front.
    pub first_worker_fleet: FleetId,
    /// The seed of the decisions.
    pub seed: u64,
    /// What job handles and request ids begin with: another in each process.
    pub incarnation: u64,
    /// Most connections.
    pub max_connections: usize,
}

impl Gearman {
    /// A front without connections or functions.
    pub fn new(parameters: GearmanParameters) -> Gearman {
        let jobs = Jobs {
            backlog: Backlog::new(parameters.settings.bounds),
            worker_counts: Vec::new(),
            is_owner_notified: false,
            ends: EndCounts::default(),
        };
        Gearman {
            inbox: parameters.inbox,
            settings: parameters.settings,
            site: ArcSwap::new(parameters.site),
            seed: parameters.seed,
            functions: ArcSwap::default(),
            file: ArcSwap::from_pointee(parameters.file),
            next_fleet: may::sync::Mutex::new(parameters.first_worker_fleet),
            http_fleet: parameters.http_fleet,
            jobs: Mutex::new(jobs),
            peers: Mutex::default(),
            next_peer: AtomicU64::new(1),
            timers: Mutex::default(),
            incarnation: parameters.incarnation,
            connections: ConnectionLimiter::new(parameters.max_connections),
            verbosity: AtomicUsize::new(0),
            is_shutdown_requested: AtomicBool::new(false),
            is_drained: AtomicBool::new(false),
        }
    }

    /// The functions that it has now.
    fn functions(&self) -> Arc<FunctionRegistry> {
        self.functions.load_full()
    }

    /// Whether the owner is to be notified that it may release a job, and has not been yet. Called with the jobs locked;
    /// the result goes to [`Gearman::notify_owner_if`] after that.
    fn should_notify_owner(&self, jobs: &mut Jobs) -> bool {
        if jobs.is_owner_notified || jobs.backlog.next_release_at().is_none() {
            return false;
        }
        jobs.is_owner_notified = true;
        true
    }

    fn notify_owner_if(&self, should_notify: bool) {
        if should_notify {
            self.inbox.post(Input::JobsAvailable);
        }
    }

    /// The handle of a job, for clients.
    fn job_handle(&self, job_no: u64) -> String {
        format!("H:roselock-{:08x}:{job_no}", self.incarnation as u32)
    }

    /// The number of the job with a handle, if it is a handle of this process.
    fn job_no(&self, handle: &[u8]) -> Option<u64> {
        let text = std::str::from_utf8(handle).ok()?;
        let (incarnation, job_no) = text.strip_prefix("H:roselock-")?.split_once(':')?;
        if u32::from_str_radix(incarnation, 16).ok()? != self.incarnation as u32 {
            return None;
        }
        job_no.parse().ok()
    }

    /// Begins the graceful shutdown of the process, as SIGTERM does.
    fn request_shutdown(&self) {
        if !self.is_shutdown_requested.swap(true, Ordering::SeqCst) {
            tracing::info!("Gearman administrator requested a shutdown");
            self.inbox.request_shutdown();
        }
    }
}
