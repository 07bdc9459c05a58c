//! Sends: the booking at the worker, and the start timeout after which the attempt may be withdrawn.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::state::jobs::Attempt;
use crate::state::resources::{RESOURCES, SLOT};
use crate::state::timers::MIGRATION_TOKEN;
use crate::state::workers::Worker;

/// Time that a worker may take to accept a new connection, in microseconds, beyond the network delay.
const CONNECT_ALLOWANCE: Micros = SECOND / 100;
/// Start timeout on a new connection, as a multiple of the minimum start delay.
const NEW_CONNECTION_START_MULTIPLE: f64 = 4.0;
/// Start timeout on an idle connection, as a multiple of the minimum start delay.
const IDLE_CONNECTION_START_MULTIPLE: f64 = 2.0;

impl Dispatcher {
    /// Sends a job to a worker if the send guard allows it.
    pub(crate) fn send(&mut self, id: JobId, index: usize, out: &mut Vec<Action>) {
        let allowed = self.jobs.get(id).filter(|job| self.may_send(job, index));
        if allowed.is_none() {
            return;
        }
        let start_timeout = self.start_timeout(&self.workers[index]);
        self.jobs.stop_waiting(id);
        let Some(job) = self.jobs.get_mut(id) else { return };
        if !job.attempts.is_empty() {
            self.retry_counter.record_retry(self.settings.safety.retry_budget.as_ref(), self.now);
        }
        let worker = &mut self.workers[index];
        job.attempts.push(Attempt {
            worker: index,
            sent_at: self.now,
            last_update_at: self.now,
            expected_run: job.work * worker.snapshot.run_time_per_work,
            booked_before: worker.bookings.booked[SLOT],
            in_flight: true,
            booked: true,
            start_timeout,
            ..Attempt::default()
        });
        let slow_start_work = job.work.max(self.work.classes[job.class].mean_work.mean);
        worker.bookings.book(job.need, !self.settings.reports_start, self.now);
        reserve_capacity(worker, job.need);
        worker.connections.idle_since.pop();
        worker.connections.may_be_open = true;
        let remembered_from = self.now - self.settings.safety.overload_window;
        worker.record_send(slow_start_work, self.now, remembered_from);
        if let Some(key) = job.key {
            worker.remember_key(key);
        }
        out.push(Action::Send { job: id, worker: worker.endpoint.worker, timeout: 0 });
        if self.may_migrate(&self.jobs.by_id[&id]) {
            out.push(Action::Timer { delay: start_timeout, token: MIGRATION_TOKEN });
        }
    }

    /// How long an attempt may go without a start, in microseconds: a multiple of the minimum start delay in
    /// its zone, longer on a new connection.
    fn start_timeout(&self, worker: &Worker) -> Micros {
        let min_delay = self.min_start_delay.get(&worker.endpoint.zone).copied();
        let min_delay = min_delay.unwrap_or(self.prices.tick / 8) as f64;
        let is_new_connection = worker.connections.idle_since.is_empty();
        let multiple =
            if is_new_connection { NEW_CONNECTION_START_MULTIPLE } else { IDLE_CONNECTION_START_MULTIPLE };
        let connect = if is_new_connection { CONNECT_ALLOWANCE } else { 0 };
        (min_delay * multiple) as Micros + 2 * self.settings.tick + connect
    }
}

/// Subtracts a job's need from the free capacity in the worker's snapshot for the current pass.
fn reserve_capacity(worker: &mut Worker, need: [f64; 2]) {
    for resource in RESOURCES {
        worker.snapshot.free[resource] -= need[resource];
    }
    worker.health.trial_in_flight = worker.health.is_ejected();
    if worker.snapshot.free[SLOT].is_infinite() {
        // Only the first job at an idle worker is sent without regard to its capacity.
        let left = worker.capacity[SLOT].latest - worker.bookings.booked[SLOT];
        worker.snapshot.free[SLOT] = if worker.health.trial_in_flight { 0.0 } else { left };
    }
}
