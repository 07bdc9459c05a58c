//! Outliers: ejection of unresponsive or unreachable workers, health checks, and inferred restarts.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::state::resources::SLOT;
use crate::state::workers::Worker;

/// Failures of workers within this time, in microseconds, count as one event.
const CORRELATED_FAILURE_WINDOW: Micros = SECOND / 2;
/// Minimum number of failed workers from which a failure of their whole zone or kind is inferred.
const MIN_CORRELATED_FAILURES: usize = 3;

impl Dispatcher {
    /// Ejects an unresponsive or unreachable worker: it is sent nothing during a backoff, then trial jobs.
    /// Idle connections are closed so that trials use new ones: if a new connection cannot be established,
    /// that proves that the job never ran.
    pub(crate) fn eject(&mut self, index: usize, out: &mut Vec<Action>) {
        let worker = &mut self.workers[index];
        if worker.health.ejected_until.is_some_and(|until| until > self.now) {
            return;
        }
        if worker.health.ejection_backoff == 0 {
            out.push(Action::Log { message: "worker ejected", worker: worker.endpoint.worker });
        }
        worker.health.eject(self.now);
        worker.changed = true;
        if !worker.connections.idle_since.is_empty() {
            worker.connections.idle_since.clear();
            out.push(Action::CloseIdleConnections(worker.endpoint.worker));
        }
    }

    /// Handles a passed health check.
    pub(crate) fn health_check_passed(&mut self, worker: WorkerId, report: &LoadReport) {
        let Some(&index) = self.worker_index.get(&worker) else { return };
        let worker = &mut self.workers[index];
        // A process that died cannot be back within this window, so it was up all the time.
        let recently_down = worker.health.down_within(CORRELATED_FAILURE_WINDOW, self.now);
        worker.record_response(recently_down.unwrap_or(self.now), self.now);
        worker.apply_report(report, self.now);
    }

    /// Infers a restart of a worker that reset or refused a connection. It may be back and warming up before
    /// the list says so, and all dispatchers together would overload it, so the slow-start budget applies
    /// from now on. It also applies to the worker's whole zone or kind if most of that has failed.
    pub(crate) fn infer_restart(&mut self, index: usize) {
        let health = &mut self.workers[index].health;
        health.down_at = Some(self.now);
        health.reset_is_only_sign = false;
        let failed = self.workers[index].endpoint.clone();
        self.infer_group_restart(|worker| worker.endpoint.zone == failed.zone);
        self.infer_group_restart(|worker| worker.endpoint.kind == failed.kind);
    }

    /// Infers a restart of a whole group if at least as many of its members failed as others hold jobs of
    /// this dispatcher.
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
