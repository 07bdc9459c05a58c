//! The timers of jobs and workers.

use super::peer::Peer;
use super::{Gearman, submission};
use crate::core::clock;
use roselock::Micros;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;

/// Time between two checks: scheduled times and time limits are met with this precision.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// When a connection is to be checked. The earliest is the first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timer {
    /// The time of the check.
    at: Micros,
    /// The number of the connection.
    peer: u64,
}

/// The time of a connection's own [`Timer`].
#[derive(Default)]
pub struct PeerTimer(
    /// 0 if it has none.
    AtomicI64,
);

/// Runs the timers until the process ends.
pub fn run(front: &Arc<Gearman>) {
    loop {
        may::coroutine::sleep(CHECK_INTERVAL);
        let now = clock::now();
        while let Some(timer) = front.take_due_timer(now) {
            let peer = front.peers.lock().get(&timer.peer).cloned();
            if let Some(peer) = peer {
                peer.timer.0.store(0, Ordering::Relaxed);
                // Whatever is due later gets a new timer by the change.
                peer.expire(front, now);
            }
        }
        front.expire_jobs(now);
    }
}

impl Gearman {
    /// Sets a connection's timer, unless it has an earlier one.
    pub(super) fn set_timer(&self, peer: &Peer, at: Option<Micros>) {
        let Some(at) = at else { return };
        let mut timers = self.timers.lock();
        let current = peer.timer.0.load(Ordering::Relaxed);
        if current == 0 || at < current {
            timers.remove(&Timer { at: current, peer: peer.number });
            timers.insert(Timer { at, peer: peer.number });
            peer.timer.0.store(at, Ordering::Relaxed);
        }
    }

    fn take_due_timer(&self, now: Micros) -> Option<Timer> {
        let mut timers = self.timers.lock();
        let first = timers.first().copied()?;
        if first.at > now {
            return None;
        }
        timers.remove(&first);
        Some(first)
    }

    /// Queues the scheduled jobs whose time has come, and ends those that have waited too long for a worker.
    fn expire_jobs(&self, now: Micros) {
        let mut jobs = self.jobs.lock();
        let expired = jobs.backlog.tick(now, submission::wall_clock());
        jobs.ends.expired += expired.len() as u64;
        jobs.ends.lost += expired.iter().filter(|ended| ended.background).count() as u64;
        let should_notify = self.should_notify_owner(&mut jobs);
        drop(jobs);
        self.notify_owner_if(should_notify);
        for ended in &expired {
            self.notify_failed(ended, b"refused; no worker was free in time; trying again is harmless");
            if ended.background {
                self.log_lost(ended, "no worker was free in time");
            }
        }
    }
}
