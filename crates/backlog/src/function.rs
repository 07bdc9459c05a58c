//! One function's queues, and how many of its jobs are released at a time.

use crate::Micros;
use crate::job::QueueEntry;
use std::collections::VecDeque;

/// How many jobs of a function are released at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Window {
    /// As many as its workers can take within the latency objective.
    Workers {
        /// The latency objective of the function's class, in microseconds.
        latency_objective: Micros,
    },
    /// This number.
    Fixed(usize),
    /// All.
    Unlimited,
}

/// A function's settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FunctionSettings {
    /// Whether foreground jobs wait, too; otherwise a rejection ends them.
    pub queued: bool,
    /// Most queued and scheduled jobs, by priority.
    pub max_queue: [usize; 3],
    /// How long a foreground job waits for a worker, in microseconds.
    pub max_wait: Micros,
    /// How long a background job waits for a worker, from its submission or its scheduled time, in microseconds.
    pub max_wait_background: Micros,
    /// How long one release of a job may take, of a foreground and of a background job, in microseconds.
    pub run_timeout: [Micros; 2],
    /// Most attempts that may have run.
    pub max_attempts: u32,
    /// How many of its jobs are released at a time.
    pub window: Window,
}

impl FunctionSettings {
    /// How long a job waits for a worker, in microseconds.
    pub(crate) fn max_wait(&self, is_background: bool) -> Micros {
        if is_background { self.max_wait_background } else { self.max_wait }
    }
}

/// The counts of a function.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Queued jobs by priority, without scheduled ones.
    pub queued: [usize; 3],
    /// Scheduled jobs.
    pub scheduled: usize,
    /// Released jobs.
    pub released: usize,
    /// Of those, jobs that a worker runs.
    pub running: usize,
    /// Workers that have registered this function.
    pub able: usize,
    /// Whether it accepts no further jobs.
    pub closed: bool,
}

impl Counts {
    /// All of its jobs.
    pub fn jobs(&self) -> usize {
        self.queued.iter().sum::<usize>() + self.scheduled + self.released
    }
    /// Whether a job waits for a worker, queued or released.
    pub fn wants_workers(&self) -> bool {
        self.released > self.running || self.queued.iter().any(|queued| *queued > 0)
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
    /// Workers that have registered this function.
    pub able: usize,
    /// Those of them that are free.
    pub free: usize,
    /// Workers that have a job of this function.
    pub engaged: usize,
    pub closed: bool,
    /// The length of the backoff after the last rejection; 0 without one.
    pub backoff: Micros,
    /// Until then nothing is released.
    pub backoff_until: Micros,
    /// Releases so far, for fairness among functions; raised to the virtual time after an absence.
    pub service: u64,
    /// Moving average of the duration of a run, in microseconds; 0 before the first.
    mean_run: f64,
}

/// Queue entries up to which stale ones are left.
const MIN_SWEEP: usize = 64;
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

    /// Adds a run of this duration to the average.
    pub fn record_run(&mut self, duration: Micros) {
        let duration = duration.max(1) as f64;
        if self.mean_run == 0.0 {
            self.mean_run = duration;
        } else {
            self.mean_run += MEAN_WEIGHT * (duration - self.mean_run);
        }
    }

    /// Most jobs that are released at a time: one for each worker that is free or has a job, and as many more as the
    /// busy ones will be free for within half of the latency objective, at most one more each. The other half is for the
    /// run.
    pub fn window(&self) -> usize {
        match self.settings.window {
            Window::Unlimited => usize::MAX,
            Window::Fixed(jobs) => jobs,
            Window::Workers { latency_objective } => {
                let ahead = self.jobs_ahead(latency_objective);
                self.free + self.engaged + (self.engaged as f64 * ahead) as usize
            }
        }
    }

    /// Jobs that a busy worker can take next within half of the latency objective, from 0 to 1.
    fn jobs_ahead(&self, latency_objective: Micros) -> f64 {
        if self.mean_run > 0.0 { (latency_objective as f64 / 2.0 / self.mean_run).min(1.0) } else { 0.0 }
    }

    /// Ends the backoff.
    pub fn reset_backoff(&mut self) {
        self.backoff = 0;
        self.backoff_until = 0;
    }

    /// Whether it has a queued job.
    pub fn has_queued(&self) -> bool {
        self.queued.iter().any(|queued| *queued > 0)
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

    /// Drops stale entries once they are most of the entries.
    pub fn sweep(&mut self, live: impl Fn(&QueueEntry) -> bool) {
        let entries: usize = self.entries.iter().map(VecDeque::len).sum();
        if entries > MIN_SWEEP && entries > 2 * self.queued.iter().sum::<usize>() {
            for queue in &mut self.entries {
                queue.retain(&live);
            }
        }
    }
}
