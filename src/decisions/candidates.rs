//! Candidates: the order in which this dispatcher prefers workers, and which of them a pass looks at.

use crate::dispatcher::Dispatcher;
use crate::state::placement::{LOCAL, REMOTE, RingEntry, WARMING_UP};
use crate::state::resources::SLOT;
use crate::state::sequence::mix_bits;
use crate::state::workers::Worker;
use roselock_discovery_client::poll_schedule::GOLDEN_RATIO;

/// Candidates with free capacity that a pass looks at: in our zone, in others, and of those that may be
/// warming up.
const CANDIDATES_WITH_ROOM: [usize; 3] = [5, 3, usize::MAX];
/// Workers of a zone that are tried where jobs wait for a mean run there.
const QUEUED_REACH: f64 = 4.0;
/// Least workers of a zone that are tried.
const MIN_REACH: f64 = 2.0;

impl Dispatcher {
    /// Sorts the ready workers of our zone, then those of others, into one ring at all dispatchers, where
    /// each begins at a place of its own (the golden ratio spreads any numbers) and overflows into few
    /// neighbours.
    pub(crate) fn rebuild_order(&mut self) {
        let ready = self.workers.iter().enumerate().filter(|(_, worker)| worker.ready);
        let entry = |(index, worker): (usize, &Worker)| RingEntry {
            hash: mix_bits(worker.listed.worker.0),
            worker: index,
        };
        self.placement.hash_ring = ready.map(entry).collect();
        self.placement.hash_ring.sort_unstable();
        self.placement.order[LOCAL] = self.rotated_zone_order(false);
        self.placement.order[REMOTE] = self.rotated_zone_order(true);
        let ready_count = self.placement.hash_ring.len();
        let part = (ready_count as f64 / self.settings.fleet_size as f64).round().max(1.0) as usize;
        for (position, &index) in self.placement.order[LOCAL].iter().enumerate() {
            self.workers[index].locality_tier = if position < part { 0 } else { 1 };
        }
        for &index in &self.placement.order[REMOTE] {
            self.workers[index].locality_tier = 2;
        }
    }

    /// The ready workers of our zone or of others, from our place in the ring on.
    fn rotated_zone_order(&self, remote: bool) -> Vec<usize> {
        let is_remote = |index: usize| self.workers[index].listed.zone != self.settings.zone;
        let ring = self.placement.hash_ring.iter().map(|entry| entry.worker);
        let mut order: Vec<usize> = ring.filter(|index| is_remote(*index) == remote).collect();
        let start = (self.settings.instance_index as f64 * GOLDEN_RATIO).fract();
        let first = (start * order.len() as f64) as usize;
        order.rotate_left(first);
        order
    }

    /// Picks the workers of a pass: the first of our order, and past them until enough have free capacity. In
    /// a `full` pass all snapshots are taken anew, otherwise those of workers that changed.
    pub(crate) fn refresh_candidates(&mut self, full: bool) {
        self.slowdown.refresh(self.now);
        let mean_run_time = self.mean_run_time();
        self.placement.begin_pass(mean_run_time, self.now);
        self.drop_warmed_up();
        self.placement.candidates.clear();
        // A zone short of workers makes jobs wait that others would start at once. Queues that all
        // dispatchers fill never drain: the longer the wait, the fewer workers are tried.
        let [_, local_delay, remote_delay] = self.placement.pass.start_delays;
        self.select_candidates(LOCAL, QUEUED_REACH * mean_run_time / local_delay, full);
        self.select_candidates(REMOTE, QUEUED_REACH * mean_run_time / remote_delay, full);
        self.select_candidates(WARMING_UP, f64::INFINITY, full);
        let mut best = f64::MIN_POSITIVE;
        for &index in &self.placement.candidates {
            best = best.max(self.workers[index].snapshot.success);
        }
        self.placement.best_success = best;
    }

    /// Forgets workers that have warmed up.
    fn drop_warmed_up(&mut self) {
        let safety = &self.settings.safety;
        let warmed_up_before = self.now - safety.slow_start_window - safety.overload_window;
        let workers = &self.workers;
        let may_warm_up = |index: &usize| {
            workers[*index].started_at.is_some_and(|started_at| started_at > warmed_up_before)
        };
        self.placement.order[WARMING_UP].retain(may_warm_up);
    }

    /// Adds the candidates of one part of the order, the first `reach` workers at most.
    fn select_candidates(&mut self, part: usize, reach: f64, full: bool) {
        let most = CANDIDATES_WITH_ROOM[part];
        let reach = self.placement.order[part].len().min(reach.max(MIN_REACH) as usize);
        let mut with_room = 0;
        for position in 0..reach {
            let index = self.placement.order[part][position];
            if full || self.workers[index].changed {
                self.refresh_snapshot(index);
            }
            let worker = &self.workers[index];
            let may_send = !self.is_warming_up(worker) || self.is_slow_start_sender(worker);
            let has_room = may_send && worker.snapshot.free[SLOT] > 0.0;
            if has_room && !worker.rejects_any_class() {
                with_room += 1;
            }
            let is_new = part != WARMING_UP || (may_send && !self.placement.candidates.contains(&index));
            if (has_room || position < most) && is_new {
                self.placement.candidates.push(index);
            }
            if with_room == most {
                break;
            }
        }
    }
}

#[cfg(test)]
#[path = "candidates_tests.rs"]
mod tests;
