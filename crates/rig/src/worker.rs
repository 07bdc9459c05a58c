//! A worker's state: whether it is up, what it runs, what waits there, and its connections.

use crate::time::Micros;
use parking_lot::{Mutex, MutexGuard};
use std::collections::VecDeque;

/// The state of a worker.
#[derive(Default)]
pub(crate) struct WorkerState {
    /// When its process started; none: long ago.
    pub(crate) started_at: Option<Micros>,
    /// Its incarnation: jobs of a former one are lost.
    pub(crate) incarnation: u32,
    /// The number of its address: nobody listens at a former one.
    pub(crate) address: u32,
    pub(crate) up: bool,
    /// Ids of the jobs that run.
    pub(crate) running: Vec<String>,
    /// Ids of the jobs in its queue.
    pub(crate) waiting: VecDeque<String>,
    pub(crate) open_connections: usize,
}

/// The load that a worker reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerLoad {
    /// Slots without a job.
    pub free_slots: usize,
    /// Jobs in its queue.
    pub queue_length: usize,
}

/// A worker.
pub struct Worker {
    state: Mutex<WorkerState>,
}

impl Default for Worker {
    /// A worker that has been up for long.
    fn default() -> Worker {
        Worker { state: Mutex::new(WorkerState { up: true, ..WorkerState::default() }) }
    }
}

impl Worker {
    /// The name of a worker.
    #[must_use]
    pub fn uid(number: usize) -> String {
        format!("s-{number:04}")
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock()
    }

    /// Its process starts.
    pub fn start(&self, now: Micros) {
        let mut state = self.state();
        *state = WorkerState {
            started_at: Some(now),
            incarnation: state.incarnation + 1,
            address: state.address,
            up: true,
            ..WorkerState::default()
        };
    }

    /// Its process ends, with all its jobs and connections.
    pub fn kill(&self) {
        let mut state = self.state();
        *state = WorkerState {
            started_at: state.started_at,
            incarnation: state.incarnation + 1,
            address: state.address,
            ..WorkerState::default()
        };
    }

    /// It continues at another address; the number of that.
    pub fn change_address(&self) -> u32 {
        let mut state = self.state();
        state.address += 1;
        state.address
    }

    /// Its load, with so many slots.
    #[must_use]
    pub fn load(&self, slots: usize) -> WorkerLoad {
        let state = self.state();
        WorkerLoad {
            free_slots: slots.saturating_sub(state.running.len()),
            queue_length: state.waiting.len(),
        }
    }
}
