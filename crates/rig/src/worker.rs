//! A worker's state: whether it is up, what it runs, what waits there, and its connections.

use crate::time::Micros;
use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

/// See [`Worker`].
#[derive(Default)]
pub(crate) struct State {
    /// When its process started; none: long ago.
    pub(crate) started_at: Option<Micros>,
    /// Its life: what runs in a former one is lost.
    pub(crate) incarnation: u32,
    /// Its address: nobody listens at a former one.
    pub(crate) address: u32,
    pub(crate) up: bool,
    pub(crate) running: Vec<String>,
    pub(crate) waiting: VecDeque<String>,
    pub(crate) open_connections: usize,
}

/// A worker.
pub struct Worker {
    state: Mutex<State>,
}

impl Default for Worker {
    /// One that has been up for long.
    fn default() -> Worker {
        Worker { state: Mutex::new(State { up: true, ..State::default() }) }
    }
}

impl Worker {
    /// Its name.
    pub fn uid(number: usize) -> String {
        format!("s-{number:04}")
    }

    pub(crate) fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Its process starts.
    pub fn start(&self, now: Micros) {
        let mut state = self.state();
        let (life, address) = (state.incarnation + 1, state.address);
        *state = State { started_at: Some(now), incarnation: life, address, up: true, ..State::default() };
    }

    /// Its process ends, with all that it has.
    pub fn kill(&self) {
        let mut state = self.state();
        let (life, address) = (state.incarnation + 1, state.address);
        *state = State { incarnation: life, address, started_at: state.started_at, ..State::default() };
    }

    /// It goes on at another address; the number of that.
    pub fn change_address(&self) -> u32 {
        let mut state = self.state();
        state.address += 1;
        state.address
    }

    /// Free slots, and the length of its queue.
    pub fn load(&self, slots: usize) -> (usize, usize) {
        let state = self.state();
        (slots.saturating_sub(state.running.len()), state.waiting.len())
    }
}
