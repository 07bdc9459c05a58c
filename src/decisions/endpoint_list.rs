//! The endpoint list: what follows from a list, from the end of a watch, and from a suspension by hand.

use crate::api::*;
use crate::dispatcher::Dispatcher;
use crate::state::capacity::DEFAULT_CAPACITY;
use crate::state::placement::WARMING_UP;
use crate::state::prices::ResourceTimeline;
use crate::state::resources::{RESOURCES, SLOT};
use crate::state::timers::POLL_TOKEN;
use crate::state::workers::{InitialEstimates, Worker};
use std::collections::BTreeSet;

impl Dispatcher {
    /// A list of endpoints came, from discovery or from the cache.
    pub(crate) fn list_received(&mut self, mode: ListMode, endpoints: &[Endpoint], out: &mut Vec<Action>) {
        let from_discovery = mode != ListMode::Cached;
        if from_discovery && self.discovery.record_answer(self.now) {
            self.end_care_of_unconfirmed_list();
        }
        self.apply_list(mode, endpoints, out);
        self.discovery.synchronized |= from_discovery;
    }

    /// Workers that were put off only because the list was unconfirmed take jobs from now on.
    fn end_care_of_unconfirmed_list(&mut self) {
        for worker in &mut self.workers {
            if worker.health.ejection_backoff == 0 {
                worker.health.ejected_until = None;
                worker.changed = true;
            }
        }
    }

    /// Polls again, more slowly so as not to crowd discovery, but within the notification deadline.
    pub(crate) fn watch_ended(&mut self, end: WatchEnd, out: &mut Vec<Action>) {
        let parameters = self.settings.poll_parameters();
        let draw = self.rng.rand_float();
        let delay = self.discovery.poll_schedule.delay_after_end(self.now, parameters, draw, end);
        self.discovery.lease.watch_ended(end, self.now + delay);
        out.push(Action::Timer { delay, token: POLL_TOKEN });
    }

    /// Applies a list, with suspended workers draining.
    fn apply_list(&mut self, mode: ListMode, endpoints: &[Endpoint], out: &mut Vec<Action>) {
        if self.discovery.suspended.is_empty() {
            return self.update_workers(mode, endpoints, out);
        }
        let applied = self.discovery.apply_suspensions(endpoints);
        self.update_workers(mode, &applied, out);
    }

    /// Suspends a worker by hand; a second call changes nothing.
    pub(crate) fn suspend(&mut self, worker: WorkerId, out: &mut Vec<Action>) {
        if self.discovery.suspended.contains_key(&worker) {
            return;
        }
        let listed = self.listed_endpoint(worker);
        self.discovery.suspended.insert(worker, listed.as_ref().map(|endpoint| endpoint.state));
        if let Some(endpoint) = listed {
            self.apply_list(ListMode::Changes, &[endpoint], out);
        }
    }

    /// Ends a suspension: the worker is again what the list said of it last; a second call changes nothing.
    pub(crate) fn resume(&mut self, worker: WorkerId, out: &mut Vec<Action>) {
        let Some(Some(state)) = self.discovery.suspended.remove(&worker) else { return };
        let Some(endpoint) = self.listed_endpoint(worker) else { return };
        self.update_workers(ListMode::Changes, &[Endpoint { state, ..endpoint }], out);
    }

    fn listed_endpoint(&self, worker: WorkerId) -> Option<Endpoint> {
        let index = *self.worker_index.get(&worker)?;
        Some(self.workers[index].listed.clone())
    }

    /// Updates the workers. Rule 7: a drain closes what is idle; what is in flight closes with its outcome.
    fn update_workers(&mut self, mode: ListMode, endpoints: &[Endpoint], out: &mut Vec<Action>) {
        let mut order_changed = mode.is_complete();
        if mode.is_complete() {
            let listed: BTreeSet<WorkerId> = endpoints.iter().map(|endpoint| endpoint.worker).collect();
            for worker in &mut self.workers {
                worker.ready &= listed.contains(&worker.listed.worker);
            }
        }
        let mut initial = None;
        for endpoint in endpoints {
            let known = self.worker_index.get(&endpoint.worker).copied();
            match known.filter(|index| endpoint.started_at == self.workers[*index].listed.started_at) {
                Some(index) => order_changed |= self.refresh_worker(index, endpoint),
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

    /// Takes a new line of a known process; whether its place in the order changes.
    fn refresh_worker(&mut self, index: usize, endpoint: &Endpoint) -> bool {
        let mean_run_time = if self.settings.units_fall_with_load { self.mean_run_time() } else { 0.0 };
        let worker = &mut self.workers[index];
        let ready = endpoint.state == EndpointState::Ready;
        let order_changed = ready != worker.ready || endpoint.zone != worker.listed.zone;
        if order_changed {
            worker.ready = ready;
            worker.changed = true;
        }
        worker.listed = endpoint.clone();
        let report_age = self.now - worker.capacity[SLOT].updated_at;
        if self.settings.units_fall_with_load && report_age > (mean_run_time / 2.0) as Micros {
            let slots = self.slots_of_kind.entry(endpoint.kind).or_insert(0.0);
            *slots = slots.max(worker.capacity[SLOT].total);
            worker.apply_listed_units(*slots, self.now);
        }
        order_changed
    }

    /// Adds a worker, or replaces a `known` one whose process is new. What was learned of the old process and
    /// what it held is void; what was sent to it recently still counts.
    fn add_worker(&mut self, known: Option<usize>, endpoint: &Endpoint, initial: InitialEstimates) {
        let mut worker = Worker::new(endpoint, initial, self.now);
        // A changed time is a start, whatever it says; one that was long ago when first listed is none.
        let has_started = known.is_some() || endpoint.started_at.is_some();
        worker.started_at =
            if has_started { self.discovery.start_time(endpoint.started_at, self.now) } else { None };
        if self.discovery.unconfirmed {
            // Tried by one job first.
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

    /// Mean capacity and prices of the ready workers, or a first guess.
    fn initial_estimates(&self) -> InitialEstimates {
        let ready: Vec<&Worker> = self.workers.iter().filter(|worker| worker.ready).collect();
        let count = ready.len() as f64;
        if ready.is_empty() {
            return InitialEstimates { capacity: [DEFAULT_CAPACITY; 2], price: ResourceTimeline::default() };
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

    /// Closes the idle connections to a worker that is draining or gone, where the site asks for it.
    pub(crate) fn close_if_draining(&mut self, index: usize, out: &mut Vec<Action>) {
        let worker = &mut self.workers[index];
        if self.settings.safety.drain_close_timeout.is_none() || worker.ready {
            return;
        }
        if std::mem::take(&mut worker.connections.may_be_open) {
            worker.connections.idle_since.clear();
            out.push(Action::CloseIdleConnections(worker.listed.worker));
        }
    }
}

#[cfg(test)]
#[path = "endpoint_list_tests.rs"]
mod tests;
