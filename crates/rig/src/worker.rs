//! The state of a worker: whether it is up, its running and queued jobs, and its connections.

use crate::time::Micros;
use parking_lot::{Mutex, MutexGuard};
use std::collections::VecDeque;

/// The state of a worker.
#[derive(Default)]
pub(crate) struct WorkerState {
    /// When its process started; none if that was before the run.
    pub(crate) started_at: Option<Micros>,
    /// Its incarnation: jobs of an earlier one are lost.
    pub(crate) incarnation: u32,
    /// The number of its address: it no longer listens at earlier ones.
    pub(crate) address: u32,
    pub(crate) is_up: bool,
    /// Ids of the running jobs.
    pub(crate) running_jobs: Vec<String>,
    /// Ids of the queued jobs.
    pub(crate) queued_jobs: VecDeque<String>,
    pub(crate) open_connections: usize,
}

/// The load that a worker reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerLoad {
    /// Free slots.
    pub free_slots: usize,
    /// Queued jobs.
    pub queue_length: usize,
}

/// A worker.
pub struct Worker {
    state: Mutex<WorkerState>,
}

impl Default for Worker {
    /// A worker that started before the run and is warm.
    fn default() -> Worker {
        Worker { state: Mutex::new(WorkerState { is_up: true, ..WorkerState::default() }) }
    }
}

impl Worker {
    /// The unique name of a worker in the endpoint list.
    #[must_use]
    pub fn uid(number: usize) -> String {
        format!("s-{number:04}")
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock()
    }

    /// Starts its process, as a new incarnation.
    pub fn start(&self, now: Micros) {
        let mut state = self.state();
        *state = WorkerState {
            started_at: Some(now),
            incarnation: state.incarnation + 1,
            address: state.address,
            is_up: true,
            ..WorkerState::default()
        };
    }

    /// Ends its process, with all its jobs and connections.
    pub fn kill(&self) {
        let mut state = self.state();
        *state = WorkerState {
            started_at: state.started_at,
            incarnation: state.incarnation + 1,
            address: state.address,
            ..WorkerState::default()
        };
    }

    /// Moves the worker to another address and returns the number of that.
    pub fn change_address(&self) -> u32 {
        let mut state = self.state();
        state.address += 1;
        state.address
    }

    /// Its load, with the given number of slots.
    #[must_use]
    pub fn load(&self, slots: usize) -> WorkerLoad {
        let state = self.state();
        WorkerLoad {
            free_slots: slots.saturating_sub(state.running_jobs.len()),
            queue_length: state.queued_jobs.len(),
        }
    }
}
