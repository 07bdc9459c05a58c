//! The events of a scenario, applied to dispatchers and workers.

use super::{Run, RunError, setup};
use crate::ledger::Observation;
use crate::list::ListEntry;
use crate::scenario::{Event, EventKind};
use crate::worker_service;
use nix::sys::signal::Signal;
use std::io;
use std::ops::Range;
use std::time::{SystemTime, UNIX_EPOCH};

impl Run {
    /// Applies an event to all its targets.
    pub(super) fn apply_event(&mut self, event: &Event) -> Result<(), RunError> {
        if event.kind == EventKind::EndWatches {
            self.environment.list.end_watches();
            return Ok(());
        }
        if event.targets.is_of_dispatchers() {
            for number in event.targets.members(self.processes.len()) {
                self.apply_to_dispatcher(number, event.kind)?;
            }
            return Ok(());
        }
        let workers = event.targets.members(self.environment.workers.len());
        self.apply_to_workers(workers, event.kind)
    }

    fn apply_to_workers(&self, workers: Range<usize>, kind: EventKind) -> Result<(), RunError> {
        match kind {
            EventKind::Kill => self.kill_workers(workers),
            EventKind::Start => self.start_workers(workers),
            EventKind::Replace => self.replace_workers(workers).map_err(RunError::Replace)?,
            EventKind::Drain => self.list_as("draining", workers),
            EventKind::Gone => {
                self.kill_workers(workers.clone());
                self.list_as("gone", workers);
            }
            kind => return Err(RunError::NotForWorkers { kind }),
        }
        Ok(())
    }

    fn kill_workers(&self, workers: Range<usize>) {
        for number in workers {
            self.environment.workers[number].kill();
        }
    }

    fn list_as(&self, state: &'static str, workers: Range<usize>) {
        self.environment.list.update_entries(|_, entry| entry.state = state, workers.clone());
        for worker in workers {
            self.environment.record(Observation::WorkerListed { worker, is_ready: false });
        }
    }

    /// Starts workers cold, and lists them as ready.
    pub(super) fn start_workers(&self, workers: Range<usize>) {
        self.start_and_list(workers, |_, _| {});
    }

    /// Starts workers cold, and lists them as ready, with further changes of their entries, in one revision of the list. A
    /// revision between these would report a worker that was draining as such once more.
    fn start_and_list(&self, workers: Range<usize>, change: impl Fn(usize, &mut ListEntry)) {
        let boot_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64);
        for number in workers.clone() {
            worker_service::start(&self.environment, number);
        }
        let list_as_started = |number, entry: &mut ListEntry| {
            change(number, entry);
            entry.state = "ready";
            entry.boot_ms = boot_ms;
        };
        for worker in workers.clone() {
            self.environment.record(Observation::WorkerListed { worker, is_ready: true });
        }
        self.environment.list.update_entries(list_as_started, workers);
    }

    /// Replaces each worker by a new process at another address; connections to its old address are closed at once.
    fn replace_workers(&self, workers: Range<usize>) -> io::Result<()> {
        let listeners = setup::bind_listeners(workers.len())?;
        let mut endpoints = Vec::new();
        for listener in &listeners {
            endpoints.push(listener.local_addr()?.to_string());
        }
        for (number, listener) in workers.clone().zip(listeners) {
            let environment = self.environment.clone();
            let address = environment.workers[number].change_address();
            may::go!(move || worker_service::serve(&environment, number, &listener, address));
        }
        let first = workers.start;
        let list_at = |number: usize, entry: &mut ListEntry| {
            entry.endpoint.clone_from(&endpoints[number - first]);
        };
        self.start_and_list(workers, list_at);
        Ok(())
    }

    fn apply_to_dispatcher(&mut self, number: usize, kind: EventKind) -> Result<(), RunError> {
        let environment = self.environment.clone();
        if kind == EventKind::Start {
            // A dispatcher's name belongs to at most one process, so the previous one is killed first.
            environment.record_kill(number);
            self.processes[number] = None;
            return self.start_dispatcher(number);
        }
        let Some(dispatcher) = &mut self.processes[number] else { return Ok(()) };
        let process = &mut dispatcher.process;
        match kind {
            // It may have exited by itself since its shutdown request.
            EventKind::Term | EventKind::Reload if process.has_ended() => {}
            EventKind::Term => {
                environment.process_histories[number].record_shutdown_request(environment.clock.now());
                process.signal(Signal::SIGTERM)?;
            }
            EventKind::Reload => process.signal(Signal::SIGHUP)?,
            EventKind::Kill => {
                environment.record_kill(number);
                if let Some(status) = process.exit_status()
                    && !status.success()
                {
                    let last_lines = process.last_log_lines();
                    self.failures.push(format!("n{number} crashed: {status}: {last_lines:?}"));
                }
                process.kill();
            }
            EventKind::Move => {
                dispatcher.move_list_service()?;
                environment.record(Observation::DiscoveryMoved(number));
            }
            EventKind::Stop => process.signal(Signal::SIGSTOP)?,
            EventKind::Continue => {
                process.signal(Signal::SIGCONT)?;
                environment.record(Observation::DispatcherResumed(number));
            }
            kind => return Err(RunError::NotForDispatchers { kind }),
        }
        Ok(())
    }
}
