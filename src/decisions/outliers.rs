//! Outliers: ejection of silent or unreachable workers, health checks, and inferred restarts.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::state::resources::SLOT;
use crate::state::workers::Worker;

/// Failures of workers within this span, in microseconds, are one event.
const CORRELATED_FAILURE_WINDOW: Micros = SECOND / 2;
/// Least number of failed workers that speak for a failure of their whole zone or kind.
const MIN_CORRELATED_FAILURES: usize = 3;

impl Dispatcher {
    /// Ejects a silent or unreachable worker: no sends for a while, then trials. These go on new connections,
    /// as one that doesn't come up proves that the job never ran.
    pub(crate) fn eject(&mut self, index: usize, out: &mut Vec<Action>) {
        let worker = &mut self.workers[index];
        if worker.health.ejected_until.is_some_and(|until| until > self.now) {
            return;
        }
        if worker.health.ejection_backoff == 0 {
            out.push(Action::Log { message: "worker ejected", worker: worker.listed.worker });
        }
        worker.health.eject(self.now);
        worker.changed = true;
        if !worker.connections.idle_since.is_empty() {
            worker.connections.idle_since.clear();
            out.push(Action::CloseIdleConnections(worker.listed.worker));
        }
    }

    /// A worker has answered a health check.
    pub(crate) fn health_check_passed(&mut self, worker: WorkerId, report: &LoadReport) {
        let Some(&index) = self.worker_index.get(&worker) else { return };
        let worker = &mut self.workers[index];
        // A process that died is not back so soon: it was up all the time.
        let recently_down = worker.health.down_within(CORRELATED_FAILURE_WINDOW, self.now);
        worker.record_response(recently_down.unwrap_or(self.now), self.now);
        worker.apply_report(report, self.now);
    }

    /// A worker's process reset a connection or refuses them: it comes back warming up before the list says
    /// so, and all dispatchers would overload it. So the slow-start budget holds from now on; for its zone or
    /// kind too, if most of that failed.
    pub(crate) fn infer_restart(&mut self, index: usize) {
        let health = &mut self.workers[index].health;
        health.down_at = Some(self.now);
        health.reset_is_only_sign = false;
        let failed = self.workers[index].listed.clone();
        self.infer_group_restart(|worker| worker.listed.zone == failed.zone);
        self.infer_group_restart(|worker| worker.listed.kind == failed.kind);
    }

    /// Infers a restart of all members of a group, if as many of them failed as still hold jobs of ours.
    fn infer_group_restart(&mut self, is_member: impl Fn(&Worker) -> bool) {
        let mut failed = 0;
        let mut holding = 0;
        for worker in self.workers.iter().filter(|worker| is_member(worker)) {
            if worker.health.down_within(CORRELATED_FAILURE_WINDOW, self.now).is_some() {
                failed += 1;
            } else if worker.bookings.booked[SLOT] > 0.0 {
                holding += 1;
            }
        }
        if failed < holding.max(MIN_CORRELATED_FAILURES) {
            return;
        }
        for worker in self.workers.iter_mut().filter(|worker| is_member(worker)) {
            worker.health.down_at = Some(self.now);
        }
    }
}
