//! Timers for the deadlines of jobs and workers.

use super::peer::Peer;
use super::{Gearman, submission};
use crate::core::clock;
use roselock::Micros;
use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;

/// Interval between checks, which is the precision of scheduled times and time limits.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// A check of a connection's worker state for timeouts. Timers are ordered by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Timer {
    /// When the check is due.
    due_at: Micros,
    /// The number of the connection.
    peer_number: u64,
}

/// When the [`Timer`] of a connection is due.
#[derive(Default)]
pub struct PeerTimer(
    /// The time, or 0 if no timer is set.
    AtomicI64,
);

/// Runs the timers until the process ends.
pub fn run(front: &Arc<Gearman>) {
    loop {
        clock::sleep(CHECK_INTERVAL);
        let now = clock::now();
        while let Some(timer) = front.pop_due_timer(now) {
            let peer = front.peers.lock().get(&timer.peer_number).cloned();
            if let Some(peer) = peer {
                peer.timer.0.store(0, Ordering::Relaxed);
                // Updating the worker state sets a new timer for any later deadline.
                peer.expire(front, now);
            }
        }
        front.expire_jobs(now);
    }
}

impl Gearman {
    /// Sets the timer of a connection, unless an earlier one is set.
    pub(super) fn set_timer(&self, peer: &Peer, due_at: Option<Micros>) {
        let Some(due_at) = due_at else { return };
        let mut timers = self.timers.lock();
        let current = peer.timer.0.load(Ordering::Relaxed);
        if current == 0 || due_at < current {
            timers.remove(&Timer { due_at: current, peer_number: peer.number });
            timers.insert(Timer { due_at, peer_number: peer.number });
            peer.timer.0.store(due_at, Ordering::Relaxed);
        }
    }

    fn pop_due_timer(&self, now: Micros) -> Option<Timer> {
        let mut timers = self.timers.lock();
        let first = timers.first().copied()?;
        if first.due_at > now {
            return None;
        }
        timers.remove(&first);
        Some(first)
    }

    /// Queues the scheduled jobs that are due, and ends the jobs that have exceeded their maximum wait for a worker.
    fn expire_jobs(&self, now: Micros) {
        let mut jobs = self.jobs.lock();
        let expired = jobs.backlog.tick(now, submission::wall_clock_now());
        jobs.ended_counts.expired += expired.len() as u64;
        jobs.ended_counts.lost += expired.iter().filter(|ended| ended.background).count() as u64;
        let should_notify = self.should_notify_event_loop(&mut jobs);
        drop(jobs);
        self.notify_event_loop_if(should_notify);
        for ended in &expired {
            self.notify_failed(ended, b"refused; no worker was free in time; trying again is harmless");
            if ended.background {
                self.log_lost(ended, "no worker was free in time");
            }
        }
    }
}
