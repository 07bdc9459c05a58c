//! The Gearman front: clients' jobs wait in the backlog and become streams, workers that register become upstream
//! hosts. It translates and decides nothing; a function's entry says whether its jobs go to Gearman workers or to
//! HTTP hosts.

mod admin;
mod connection;
pub mod file;
mod jobs;
mod outbox;
mod reload;
mod timers;
mod worker;

use super::connection_limiter::ConnectionLimiter;
use crate::core::{FleetId, Inbox, Input};
use arc_swap::ArcSwap;
pub use connection::accept;
pub use file::File;
use file::Registry;
pub use jobs::Queue;
use jobs::Seat;
use outbox::{Outbox, OutboxMessage, Tail};
use parking_lot::Mutex;
use roselock::settings::Site;
use roselock::{Micros, SECOND};
use roselock_backlog::Backlog;
use roselock_gearman::server;
use roselock_gearman::{Kind, Magic, packet};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, AtomicUsize, Ordering};
pub use timers::run as run_timers;
use worker::{Held, Tally};

/// How long a packet may take to go out.
const TRANSFER: Micros = 10 * SECOND;

/// What the front's coroutines and the owner of the decisions share, in short sections without waits inside.
struct Jobs {
    backlog: Backlog<Seat, crate::core::Payload>,
    /// By function: workers that take it, those free for it, those that have a job of it.
    tally: Vec<Tally>,
    /// The owner knows that there is something to release.
    nudged: bool,
    /// Jobs that have ended, by how: told to administrators and the log.
    ends: Ends,
}

/// Jobs by their ends.
#[derive(Clone, Copy, Debug, Default)]
struct Ends {
    served: u64,
    failed: u64,
    refused: u64,
    expired: u64,
    cancelled: u64,
    left: u64,
    /// Background jobs among them that ended without a worker's word.
    lost: u64,
}

/// What all connections of the front share.
pub struct Gearman {
    /// The way to the decisions.
    pub inbox: Inbox,
    figures: file::Figures,
    site: ArcSwap<Site>,
    seed: u64,
    functions: ArcSwap<Registry>,
    /// The entry for functions that are not named, and what makes their fleets.
    file: ArcSwap<File>,
    /// Held by whoever makes a function, while it waits for room in the owner's queue.
    making: may::sync::Mutex<FleetId>,
    /// The fleet of the HTTP hosts.
    http: FleetId,
    jobs: Mutex<Jobs>,
    peers: Mutex<BTreeMap<u64, Arc<Peer>>>,
    next_peer: AtomicU64,
    timed: Mutex<std::collections::BTreeSet<(Micros, u64)>>,
    /// What handles and ids begin with: new with every life.
    life: u64,
    connections: Arc<ConnectionLimiter>,
    verbose: AtomicUsize,
    /// Told by an administrator to end.
    told_to_stop: AtomicBool,
    parted: AtomicBool,
}

/// A connection, of a client, a worker, or both.
pub struct Peer {
    number: u64,
    address: SocketAddr,
    outbox: Outbox,
    name: Mutex<String>,
    worker: Mutex<server::Worker<usize, Held>>,
    /// When the timers look at it next, if they do.
    timed: AtomicI64,
    is_worker: AtomicBool,
}

impl Gearman {
    /// A front without connections or functions.
    #[allow(clippy::too_many_arguments)]
    pub fn new(
        file: File,
        figures: file::Figures,
        site: Arc<Site>,
        inbox: Inbox,
        (http, fleets): (FleetId, FleetId),
        seed: u64,
        life: u64,
        most: usize,
    ) -> Gearman {
        let backlog = Backlog::new(figures.bounds);
        let jobs = Jobs { backlog, tally: Vec::new(), nudged: false, ends: Ends::default() };
        Gearman {
            inbox,
            figures,
            site: ArcSwap::new(site),
            seed,
            functions: ArcSwap::default(),
            file: ArcSwap::from_pointee(file),
            making: may::sync::Mutex::new(fleets),
            http,
            jobs: Mutex::new(jobs),
            peers: Mutex::default(),
            next_peer: AtomicU64::new(1),
            timed: Mutex::default(),
            life,
            connections: ConnectionLimiter::new(most),
            verbose: AtomicUsize::new(0),
            told_to_stop: AtomicBool::new(false),
            parted: AtomicBool::new(false),
        }
    }

    /// The functions that are taken.
    pub fn functions(&self) -> Arc<Registry> {
        self.functions.load_full()
    }

    /// Wakes the owner if it may release something and does not know. Called with the jobs locked; what it returns is
    /// posted after that.
    fn nudge(&self, jobs: &mut Jobs) -> bool {
        !jobs.nudged && jobs.backlog.next_release_at().is_some() && {
            jobs.nudged = true;
            true
        }
    }

    fn wake_owner(&self, nudge: bool) {
        if nudge {
            self.inbox.post(Input::JobsAvailable);
        }
    }

    /// A job's handle, to clients.
    fn handle(&self, no: u64) -> String {
        format!("H:roselock-{:08x}:{no}", self.life as u32)
    }

    /// The job under a handle.
    fn job_no(&self, handle: &[u8]) -> Option<u64> {
        let text = std::str::from_utf8(handle).ok()?;
        let (life, no) = text.strip_prefix("H:roselock-")?.split_once(':')?;
        (u32::from_str_radix(life, 16).ok()? == self.life as u32).then(|| no.parse().ok())?
    }

    /// Has the timers look at a connection at a time.
    fn time(&self, peer: &Peer, at: Option<Micros>) {
        let Some(at) = at else { return };
        let mut timed = self.timed.lock();
        let was = peer.timed.load(Ordering::Relaxed);
        if was == 0 || at < was {
            timed.remove(&(was, peer.number));
            timed.insert((at, peer.number));
            peer.timed.store(at, Ordering::Relaxed);
        }
    }
}

/// A packet to a peer.
fn reply(kind: Kind, args: &[&[u8]]) -> Vec<u8> {
    packet(Magic::Res, kind, args)
}

fn error(code: &str, text: &str) -> Vec<u8> {
    reply(Kind::Error, &[code.as_bytes(), text.as_bytes()])
}

impl Peer {
    fn send(&self, bytes: Vec<u8>) {
        self.outbox.write(bytes, Tail::None, false);
    }
    /// Hands over a job's last word; the process does not end before it is written.
    fn last_word(&self, front: &Gearman, head: Vec<u8>, tail: Tail) {
        front.inbox.response_pending();
        if !self.outbox.write(head, tail, true) {
            front.inbox.response_written();
        }
    }
}
