//! How the lives of a dispatcher end, and what it owes its clients then.

use crate::time::{Micros, SECOND};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// What a process that was told to end may leave unanswered came at most so long after that, and SIGKILL found it.
const TAKEN_BEFORE: Micros = SECOND * 7 / 10;
/// For so long after SIGTERM new connections keep arriving.
pub const NEW_CONNECTIONS: Micros = SECOND * 3 / 10;

/// One life: when it was told to end, and when it was killed.
#[derive(Clone, Copy, Debug, Default)]
struct Incarnation {
    told: Option<Micros>,
    killed: Option<Micros>,
}

/// The lives of one dispatcher, the present one last.
#[derive(Debug, Default)]
pub struct ProcessHistory(Mutex<Vec<Incarnation>>);

impl ProcessHistory {
    fn lives(&self) -> MutexGuard<'_, Vec<Incarnation>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
    /// It starts (again).
    pub fn record_start(&self) {
        self.lives().push(Incarnation::default());
    }
    /// It is told to end.
    pub fn record_shutdown_request(&self, now: Micros) {
        self.lives().last_mut().into_iter().for_each(|life| life.told = life.told.or(Some(now)));
    }
    /// It is killed.
    pub fn record_kill(&self, now: Micros) {
        self.lives().last_mut().into_iter().for_each(|life| life.killed = life.killed.or(Some(now)));
    }
    /// The number of its present life.
    pub fn life(&self) -> usize {
        self.lives().len()
    }
    /// Whether the rig has ended the present life, or told it to end.
    pub fn is_shutting_down(&self) -> bool {
        self.lives().last().is_some_and(|life| life.told.or(life.killed).is_some())
    }
    /// Whether it was told to end so long ago that only connections that are open are used.
    pub fn accepts_new_connections(&self, now: Micros) -> bool {
        self.lives()
            .last()
            .is_some_and(|l| l.killed.is_none() && l.told.is_none_or(|t| now - t < NEW_CONNECTIONS))
    }
    /// Whether a request that came in that life, at that time, may stay without an answer.
    pub fn may_leave_unanswered(&self, life: usize, came: Micros) -> bool {
        let lives = self.lives();
        let Some(life) = life.checked_sub(1).and_then(|index| lives.get(index)) else { return true };
        match (life.told, life.killed) {
            (None, killed) => killed.is_some(),
            (Some(told), killed) => killed.is_some() && came <= told + TAKEN_BEFORE,
        }
    }
}
