//! What time does to jobs and workers.

use super::{Gearman, jobs};
use crate::core::clock;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How often it is looked at: set times and limits are met this exactly.
const LOOK: Duration = Duration::from_millis(10);

/// Lets time pass until the process ends.
pub fn run(front: &Arc<Gearman>) {
    loop {
        may::coroutine::sleep(LOOK);
        let now = clock::now();
        loop {
            let due = {
                let mut timed = front.timed.lock();
                let first = timed.first().copied().filter(|t| t.0 <= now);
                first.inspect(|t| _ = timed.remove(t))
            };
            let Some((_, number)) = due else { break };
            let peer = front.peers.lock().get(&number).cloned();
            if let Some(peer) = peer {
                peer.timed.store(0, Ordering::Relaxed);
                // Whatever is still due is timed anew by the change.
                peer.expire(front, now);
            }
        }
        let mut jobs = front.jobs.lock();
        let late = jobs.backlog.tick(now, jobs::wall());
        jobs.ends.expired += late.len() as u64;
        jobs.ends.lost += late.iter().filter(|e| e.background).count() as u64;
        let nudge = front.nudge(&mut jobs);
        drop(jobs);
        front.wake_owner(nudge);
        for ended in &late {
            front.last_words(ended, b"refused; no worker was free in time; trying again is harmless");
            if ended.background {
                front.log_lost(ended, "no worker was free in time");
            }
        }
    }
}
