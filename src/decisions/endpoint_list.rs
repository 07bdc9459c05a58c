//! The endpoint list: applying lists, ended watches and operator suspensions to the known workers.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::state::capacity::DEFAULT_MEMORY;
use crate::state::placement::WARMING_UP;
use crate::state::prices::ResourceTimeline;
use crate::state::resources::{RESOURCES, SLOT};
use crate::state::timers::POLL_TOKEN;
use crate::state::workers::{InitialEstimates, Worker};
use std::collections::BTreeSet;

impl Dispatcher {
    /// Handles an endpoint list from the discovery service or from the cache.
    pub(crate) fn list_received(&mut self, mode: ListMode, endpoints: &[Endpoint], out: &mut Vec<Action>) {
        let from_discovery = mode != ListMode::Cached;
        if from_discovery && self.discovery.record_answer(self.now) {
            self.lift_initial_ejections();
        }
        self.update_workers(mode, endpoints, out);
        self.discovery.synchronized |= from_discovery;
    }

    /// Lifts the initial ejection of the workers that were ejected only because the list was unconfirmed.
    fn lift_initial_ejections(&mut self) {
        for worker in &mut self.workers {
            if worker.health.ejection_backoff == 0 {
                worker.health.ejected_until = None;
                worker.changed = true;
            }
        }
    }

    /// Schedules the next poll: backed off to limit the load on the discovery service, but within the
    /// notification deadline.
    pub(crate) fn watch_ended(&mut self, end: WatchEnd, out: &mut Vec<Action>) {
        let parameters = self.settings.poll_parameters();
        let draw = self.rng.rand_float();
        let delay = self.discovery.poll_schedule.delay_after_watch_end(self.now, parameters, draw, end);
        self.discovery.lease.watch_ended(end, self.now + delay);
        out.push(Action::Timer { delay, token: POLL_TOKEN });
    }

    /// Suspends a worker on an operator's request: it counts as draining, whatever its listed state.
    /// Idempotent.
    pub(crate) fn suspend(&mut self, worker: WorkerId, out: &mut Vec<Action>) {
        if self.discovery.suspended.insert(worker) {
            self.reapply_entry(worker, out);
        }
    }

    /// Ends a suspension: the listed state of the worker counts again. Idempotent.
    pub(crate) fn restore(&mut self, worker: WorkerId, out: &mut Vec<Action>) {
        if self.discovery.suspended.remove(&worker) {
            self.reapply_entry(worker, out);
        }
    }

    /// Applies the entry of a worker once more, after a change of its suspension.
    fn reapply_entry(&mut self, worker: WorkerId, out: &mut Vec<Action>) {
        let Some(&index) = self.worker_index.get(&worker) else { return };
        let entry = self.workers[index].endpoint.clone();
        self.update_workers(ListMode::Changes, &[entry], out);
    }

    /// Updates the workers from a list. Rule 7: idle connections to a draining worker are closed at once,
    /// those with an attempt in flight when it ends.
    fn update_workers(&mut self, mode: ListMode, endpoints: &[Endpoint], out: &mut Vec<Action>) {
        let mut order_changed = mode.is_complete();
        if mode.is_complete() {
            let listed: BTreeSet<WorkerId> = endpoints.iter().map(|endpoint| endpoint.worker).collect();
            for worker in &mut self.workers {
                if !listed.contains(&worker.endpoint.worker) {
                    worker.endpoint.state = EndpointState::Gone;
                    worker.ready = false;
                }
            }
        }
        let mut initial = None;
        for endpoint in endpoints {
            let known = self.worker_index.get(&endpoint.worker).copied();
            match known.filter(|index| endpoint.started_at == self.workers[*index].endpoint.started_at) {
                Some(index) => order_changed |= self.update_worker(index, endpoint),
                None => {
                    let initial = *initial.get_or_insert_with(|| self.initial_estimates());
                    self.add_worker(known, endpoint, initial);
                    order_changed = true;
                }
            }
        }
        if order_changed {
            self.rebuild_order();
        }
        for index in 0..self.workers.len() {
            self.close_if_draining(index, out);
        }
    }

    /// Applies a list entry of a known process. Returns whether the order has to be rebuilt.
    fn update_worker(&mut self, index: usize, endpoint: &Endpoint) -> bool {
        let mean_run_time = if self.settings.units_fall_with_load { self.mean_run_time() } else { 0.0 };
        let ready = self.discovery.is_ready(endpoint);
        let worker = &mut self.workers[index];
        let order_changed = ready != worker.ready || endpoint.zone != worker.endpoint.zone;
        if order_changed {
            worker.ready = ready;
            worker.changed = true;
        }
        worker.endpoint = endpoint.clone();
        let report_age = self.now - worker.capacity[SLOT].updated_at;
        if self.settings.units_fall_with_load && report_age > (mean_run_time / 2.0) as Micros {
            let slots = self.max_slots_by_kind.entry(endpoint.kind).or_insert(0.0);
            *slots = slots.max(worker.capacity[SLOT].total);
            worker.apply_listed_units(*slots, self.now);
        }
        order_changed
    }

    /// Adds a worker, or replaces a `known` one whose process is new. Estimates and bookings of the old
    /// process are discarded; the recent sends to it still count.
    fn add_worker(&mut self, known: Option<usize>, endpoint: &Endpoint, initial: InitialEstimates) {
        let ready = self.discovery.is_ready(endpoint);
        let mut worker = Worker::new(endpoint, ready, initial, self.now);
        // A changed start time means a restart, whatever its value. A worker first listed without a start
        // time has been up for long.
        let has_started = known.is_some() || endpoint.started_at.is_some();
        worker.started_at =
            if has_started { self.discovery.start_time(endpoint.started_at, self.now) } else { None };
        if self.discovery.unconfirmed {
            // Ejected until now, so that the first job is a trial.
            worker.health.ejected_until = Some(self.now);
        }
        let index = known.unwrap_or(self.workers.len());
        if worker.started_at.is_some() {
            self.placement.order[WARMING_UP].push(index);
        }
        if let Some(old) = self.workers.get_mut(index) {
            worker.recent_sends = std::mem::take(&mut old.recent_sends);
            worker.connections.may_be_open = old.connections.may_be_open;
            *old = worker;
            self.jobs.void_bookings(index);
        } else {
            self.worker_index.insert(endpoint.worker, index);
            self.workers.push(worker);
        }
    }

    /// Mean capacity and prices of the ready workers, or defaults if there are none.
    fn initial_estimates(&self) -> InitialEstimates {
        let ready: Vec<&Worker> = self.workers.iter().filter(|worker| worker.ready).collect();
        let count = ready.len() as f64;
        if ready.is_empty() {
            let mut capacity = [DEFAULT_MEMORY; RESOURCES.len()];
            capacity[SLOT] = self.settings.initial_slots;
            return InitialEstimates { capacity, price: ResourceTimeline::default() };
        }
        let capacity =
            |resource: usize| ready.iter().map(|worker| worker.capacity[resource].total).sum::<f64>() / count;
        let price = |resource: usize, tick: usize| {
            ready.iter().map(|worker| worker.prices.price[resource][tick]).sum::<f64>() / count
        };
        InitialEstimates {
            capacity: RESOURCES.map(capacity),
            price: RESOURCES.map(|resource| std::array::from_fn(|tick| price(resource, tick))),
        }
    }

    /// Closes the idle connections to a worker that is draining or gone, where the site requires it.
    pub(crate) fn close_if_draining(&mut self, index: usize, out: &mut Vec<Action>) {
        let worker = &mut self.workers[index];
        if self.settings.safety.drain_close_timeout.is_none() || worker.ready {
            return;
        }
        if std::mem::take(&mut worker.connections.may_be_open) {
            worker.connections.idle_since.clear();
            out.push(Action::CloseIdleConnections(worker.endpoint.worker));
        }
    }
}

#[cfg(test)]
#[path = "endpoint_list_tests.rs"]
mod tests;
