//! One function's queues, and how many of its jobs the decisions are given at a time.

use crate::Micros;
use crate::job::QueueEntry;
use std::collections::VecDeque;

/// How many jobs of a function the decisions have at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Window {
    /// As many as its workers can take within an aim.
    Workers {
        /// The aim of the function's class.
        aim: Micros,
    },
    /// So many.
    Fixed(usize),
    /// All.
    Unlimited,
}

/// A function's settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FunctionSettings {
    /// Foreground jobs wait too; else a refusal is their last word.
    pub queued: bool,
    /// Most that wait, by priority.
    pub max_queue: [usize; 3],
    /// How long a foreground job waits.
    pub max_wait: Micros,
    /// How long a background job waits, from its submission or its scheduled time.
    pub max_wait_background: Micros,
    /// How long the decisions may take for one release, of a foreground and of a background job.
    pub run_timeout: [Micros; 2],
    /// Most attempts that may have run.
    pub max_attempts: u32,
    /// How many the decisions have at a time.
    pub window: Window,
}

/// A function's figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Queued jobs by priority, without scheduled ones.
    pub queued: [usize; 3],
    /// Scheduled jobs.
    pub scheduled: usize,
    /// Released jobs.
    pub released: usize,
    /// Of those, jobs that a worker has.
    pub running: usize,
    /// Workers that take this function.
    pub able: usize,
    /// It is not taken any more.
    pub closed: bool,
}

impl Counts {
    /// All of its jobs.
    pub fn jobs(&self) -> usize {
        self.queued.iter().sum::<usize>() + self.scheduled + self.released
    }
    /// Whether a job waits for a worker, here or with the decisions.
    pub fn wants_workers(&self) -> bool {
        self.released > self.running || self.queued.iter().any(|n| *n > 0)
    }
}

/// One function's settings, queues and workers.
pub(crate) struct FunctionQueues {
    pub settings: FunctionSettings,
    /// Queue entries by priority, stale ones included.
    pub entries: [VecDeque<QueueEntry>; 3],
    pub queued: [usize; 3],
    pub scheduled: [usize; 3],
    pub released: usize,
    pub running: usize,
    /// Workers that take this function; those of them that are free; those that have a job of it.
    pub able: usize,
    pub free: usize,
    pub engaged: usize,
    pub closed: bool,
    /// After a refusal nothing is released for this long, until then.
    pub backoff: Micros,
    pub backoff_until: Micros,
    /// Releases so far, for fairness among functions; raised to the virtual time after an absence.
    pub service: u64,
    /// Moving average of the time that a run takes; 0 before the first.
    mean_run: f64,
}

/// Weight of a new run in the moving average.
const MEAN_WEIGHT: f64 = 0.1;

impl FunctionQueues {
    pub fn new(settings: FunctionSettings) -> FunctionQueues {
        FunctionQueues {
            settings,
            entries: Default::default(),
            queued: [0; 3],
            scheduled: [0; 3],
            released: 0,
            running: 0,
            able: 0,
            free: 0,
            engaged: 0,
            closed: false,
            backoff: 0,
            backoff_until: 0,
            service: 0,
            mean_run: 0.0,
        }
    }

    /// Jobs of a priority that count towards its bound.
    pub fn waiting(&self, priority: usize) -> usize {
        self.queued[priority] + self.scheduled[priority]
    }

    /// Takes a run of this length into the average.
    pub fn record_run(&mut self, span: Micros) {
        let span = span.max(1) as f64;
        self.mean_run =
            if self.mean_run == 0.0 { span } else { self.mean_run + MEAN_WEIGHT * (span - self.mean_run) };
    }

    /// Most jobs that are released at a time: one for each worker that is free or has one, and as many again as the
    /// busy ones will be free for within half of the aim, a second one each at most. The other half is for the run.
    pub fn window(&self) -> usize {
        match self.settings.window {
            Window::Unlimited => usize::MAX,
            Window::Fixed(n) => n,
            Window::Workers { aim } => {
                let ahead =
                    if self.mean_run > 0.0 { (aim as f64 / 2.0 / self.mean_run).min(1.0) } else { 0.0 };
                self.free + self.engaged + (self.engaged as f64 * ahead) as usize
            }
        }
    }

    pub fn counts(&self) -> Counts {
        Counts {
            queued: self.queued,
            scheduled: self.scheduled.iter().sum(),
            released: self.released,
            running: self.running,
            able: self.able,
            closed: self.closed,
        }
    }

    /// Drops stale entries once they are most of the queues.
    pub fn sweep(&mut self, live: impl Fn(&QueueEntry) -> bool) {
        let entries: usize = self.entries.iter().map(VecDeque::len).sum();
        if entries > 64 && entries > 2 * self.queued.iter().sum::<usize>() {
            self.entries.iter_mut().for_each(|queue| queue.retain(&live));
        }
    }
}
