//! One function's queues, and how many of its jobs the decisions are given at a time.

use crate::Micros;
use crate::job::Entry;
use std::collections::VecDeque;

/// How many jobs of a function the decisions have at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Window {
    /// As many as its workers could take within this aim.
    Workers {
        /// The aim of its class.
        aim: Micros,
    },
    /// So many.
    Fixed(usize),
    /// All.
    Unlimited,
}

/// A function's settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Function {
    /// Foreground jobs wait too; else a refusal is their last word.
    pub queued: bool,
    /// Most that wait, by priority.
    pub max_queue: [usize; 3],
    /// How long a foreground job waits.
    pub wait: Micros,
    /// How long a background job waits, from its creation or its set time.
    pub background: Micros,
    /// How long one turn with the decisions may take, of a foreground and of a background job.
    pub run: [Micros; 2],
    /// Most attempts that may have run.
    pub attempts: u32,
    /// How many the decisions have at a time.
    pub window: Window,
}

/// A function's figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Jobs that wait, by priority; those with a set time that has not come are not among them.
    pub queued: [usize; 3],
    /// Jobs whose set time has not come.
    pub set: usize,
    /// Jobs that the decisions have.
    pub out: usize,
    /// Of those, jobs that a worker has.
    pub running: usize,
    /// Workers that take it.
    pub able: usize,
    /// It is not taken any more.
    pub closed: bool,
}

impl Counts {
    /// All of its jobs.
    pub fn jobs(&self) -> usize {
        self.queued.iter().sum::<usize>() + self.set + self.out
    }
    /// Whether a job waits for a worker, here or with the decisions.
    pub fn wants_workers(&self) -> bool {
        self.out > self.running || self.queued.iter().any(|n| *n > 0)
    }
}

pub(crate) struct Queues {
    pub set: Function,
    pub lines: [VecDeque<Entry>; 3],
    pub queued: [usize; 3],
    pub set_waiting: [usize; 3],
    pub out: usize,
    pub running: usize,
    pub able: usize,
    pub free: usize,
    pub engaged: usize,
    pub closed: bool,
    /// After refusals it rests.
    pub rest: Micros,
    pub rest_until: Micros,
    /// Releases so far, for turns among functions.
    pub served: u64,
    /// Mean span of a run; 0 before the first.
    mean: f64,
}

/// Weight of a new run in the mean.
const NEW: f64 = 0.1;

impl Queues {
    pub fn new(set: Function) -> Queues {
        Queues {
            set,
            lines: Default::default(),
            queued: [0; 3],
            set_waiting: [0; 3],
            out: 0,
            running: 0,
            able: 0,
            free: 0,
            engaged: 0,
            closed: false,
            rest: 0,
            rest_until: 0,
            served: 0,
            mean: 0.0,
        }
    }

    pub fn waiting(&self, priority: usize) -> usize {
        self.queued[priority] + self.set_waiting[priority]
    }

    pub fn took(&mut self, span: Micros) {
        let span = span.max(1) as f64;
        self.mean = if self.mean == 0.0 { span } else { self.mean + NEW * (span - self.mean) };
    }

    /// Most jobs that the decisions are given: one for each worker that is free or has one, and as many again as the
    /// busy ones will be free for within half of the aim, a second one each at most. The other half is for the run.
    pub fn window(&self) -> usize {
        match self.set.window {
            Window::Unlimited => usize::MAX,
            Window::Fixed(n) => n,
            Window::Workers { aim } => {
                let turns = if self.mean > 0.0 { (aim as f64 / 2.0 / self.mean).min(1.0) } else { 0.0 };
                self.free + self.engaged + (self.engaged as f64 * turns) as usize
            }
        }
    }

    pub fn counts(&self) -> Counts {
        Counts {
            queued: self.queued,
            set: self.set_waiting.iter().sum(),
            out: self.out,
            running: self.running,
            able: self.able,
            closed: self.closed,
        }
    }

    /// Drops places that were left behind once they are most of the lines.
    pub fn sweep(&mut self, live: impl Fn(&Entry) -> bool) {
        let places: usize = self.lines.iter().map(VecDeque::len).sum();
        if places > 64 && places > 2 * self.queued.iter().sum::<usize>() {
            self.lines.iter_mut().for_each(|line| line.retain(&live));
        }
    }
}
