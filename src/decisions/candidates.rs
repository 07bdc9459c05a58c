//! Candidates: this dispatcher's preference order of the workers, and which of them a pass considers.

use crate::dispatcher::Dispatcher;
use crate::state::placement::{LOCAL, REMOTE, RingEntry, WARMING_UP};
use crate::state::resources::SLOT;
use crate::state::sequence::mix_bits;
use crate::state::workers::Worker;
use roselock_discovery_client::poll_schedule::GOLDEN_RATIO_CONJUGATE;

/// Maximum number of candidates with free capacity in a pass: in the local zone, in remote zones, and among
/// workers that may be warming up.
const MAX_CANDIDATES_WITH_CAPACITY: [usize; 3] = [5, 3, usize::MAX];
/// Workers of a zone that a pass scans when the start delay there equals the mean run time.
const SCAN_LIMIT_AT_ONE_RUN_DELAY: f64 = 4.0;
/// Minimum number of workers of a zone that a pass scans.
const MIN_SCAN_LIMIT: f64 = 2.0;

impl Dispatcher {
    /// Rebuilds the hash ring of ready workers, which is the same at all dispatchers, and this dispatcher's
    /// order of local and remote workers on it. Each dispatcher starts at a different position of the ring
    /// (multiples of the golden ratio are evenly spread for any fleet size), so it shares its preferred
    /// workers with only a few other dispatchers.
    pub(crate) fn rebuild_order(&mut self) {
        let ready = self.workers.iter().enumerate().filter(|(_, worker)| worker.ready);
        let entry = |(index, worker): (usize, &Worker)| RingEntry {
            hash: mix_bits(worker.endpoint.worker.0),
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

    /// The ready workers of the local or the remote zones, in ring order from this dispatcher's position on.
    fn rotated_zone_order(&self, remote: bool) -> Vec<usize> {
        let is_remote = |index: usize| self.workers[index].endpoint.zone != self.settings.zone;
        let ring = self.placement.hash_ring.iter().map(|entry| entry.worker);
        let mut order: Vec<usize> = ring.filter(|index| is_remote(*index) == remote).collect();
        let start = (self.settings.instance_index as f64 * GOLDEN_RATIO_CONJUGATE).fract();
        let first = (start * order.len() as f64) as usize;
        order.rotate_left(first);
        order
    }

    /// Selects the candidates of a pass: the first workers in the preference order, and further ones until
    /// enough have free capacity. A `full` pass refreshes the snapshot of every worker that it scans, any
    /// other pass only those of workers that have changed.
    pub(crate) fn refresh_candidates(&mut self, full: bool) {
        self.slowdown.refresh(self.now);
        let mean_run_time = self.mean_run_time();
        self.placement.begin_pass(mean_run_time, self.now);
        self.drop_warmed_up();
        self.placement.candidates.clear();
        // In a zone that is short of workers, jobs wait although other zones would start them at once.
        // Queues that every dispatcher fills never drain, so the longer the start delay in a zone, the fewer
        // of its workers are scanned.
        let [_, local_delay, remote_delay] = self.placement.pass.start_delays;
        self.select_candidates(LOCAL, SCAN_LIMIT_AT_ONE_RUN_DELAY * mean_run_time / local_delay, full);
        self.select_candidates(REMOTE, SCAN_LIMIT_AT_ONE_RUN_DELAY * mean_run_time / remote_delay, full);
        self.select_candidates(WARMING_UP, f64::INFINITY, full);
        let mut best = f64::MIN_POSITIVE;
        for &index in &self.placement.candidates {
            best = best.max(self.workers[index].snapshot.success);
        }
        self.placement.best_success = best;
    }

    /// Removes workers that have finished warming up from the warm-up order.
    fn drop_warmed_up(&mut self) {
        let safety = &self.settings.safety;
        let warmed_up_before = self.now - safety.slow_start_window - safety.overload_window;
        let workers = &self.workers;
        let may_warm_up = |index: &usize| {
            workers[*index].started_at.is_some_and(|started_at| started_at > warmed_up_before)
        };
        self.placement.order[WARMING_UP].retain(may_warm_up);
    }

    /// Adds candidates from one part of the order, scanning at most its first `scan_limit` workers.
    fn select_candidates(&mut self, part: usize, scan_limit: f64, full: bool) {
        let max_with_capacity = MAX_CANDIDATES_WITH_CAPACITY[part];
        let scan_limit = self.placement.order[part].len().min(scan_limit.max(MIN_SCAN_LIMIT) as usize);
        let mut with_capacity = 0;
        for position in 0..scan_limit {
            let index = self.placement.order[part][position];
            if full || self.workers[index].changed {
                self.refresh_snapshot(index);
            }
            let worker = &self.workers[index];
            let may_send = !self.is_warming_up(worker) || self.is_slow_start_sender(worker);
            let has_capacity = may_send && worker.snapshot.free[SLOT] > 0.0;
            if has_capacity && !worker.rejects_any_class() {
                with_capacity += 1;
            }
            let is_new = part != WARMING_UP || (may_send && !self.placement.candidates.contains(&index));
            if (has_capacity || position < max_with_capacity) && is_new {
                self.placement.candidates.push(index);
            }
            if with_capacity == max_with_capacity {
                break;
            }
        }
    }
}

#[cfg(test)]
#[path = "candidates_tests.rs"]
mod tests;
