//! The queues of one function, and its release window: how many of its jobs are released at a time.

use crate::Micros;
use crate::job::QueueEntry;
use std::collections::VecDeque;

/// How many jobs of a function are released at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Window {
    /// As many as its workers can take within the latency objective.
    Workers {
        /// Latency objective of the function's class, in microseconds.
        latency_objective: Micros,
    },
    /// A fixed number of jobs.
    Fixed(usize),
    /// All jobs.
    Unlimited,
}

/// The settings of a function.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FunctionSettings {
    /// Whether foreground jobs wait for a worker like background jobs; otherwise a rejection ends them.
    pub queued: bool,
    /// Maximum number of queued and scheduled jobs, by priority.
    pub max_queue: [usize; 3],
    /// Maximum time for which a foreground job waits for a worker, in microseconds.
    pub max_wait: Micros,
    /// Maximum time for which a background job waits for a worker, from its submission or its scheduled time on, in
    /// microseconds.
    pub max_wait_background: Micros,
    /// Maximum duration of one release, of a foreground job and of a background job, in microseconds.
    pub run_timeout: [Micros; 2],
    /// Maximum number of attempts that may have run; a job that has reached it is not queued again.
    pub max_attempts: u32,
    /// How many of its jobs are released at a time.
    pub window: Window,
}

impl FunctionSettings {
    /// Maximum time for which a job waits for a worker, in microseconds.
    pub(crate) fn max_wait(&self, is_background: bool) -> Micros {
        if is_background { self.max_wait_background } else { self.max_wait }
    }
}

/// The job and worker counts of a function.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Queued jobs by priority, excluding scheduled ones.
    pub queued: [usize; 3],
    /// Scheduled jobs.
    pub scheduled: usize,
    /// Released jobs.
    pub released: usize,
    /// Released jobs that a worker is running.
    pub running: usize,
    /// Workers that have registered this function.
    pub registered_workers: usize,
    /// Whether the function accepts no further jobs.
    pub closed: bool,
}

impl Counts {
    /// Number of all jobs of the function.
    pub fn jobs(&self) -> usize {
        self.queued.iter().sum::<usize>() + self.scheduled + self.released
    }
    /// Whether a job waits for a worker, queued or released.
    pub fn has_waiting_jobs(&self) -> bool {
        self.released > self.running || self.queued.iter().any(|queued| *queued > 0)
    }
}

/// The settings, queues and worker counts of one function.
pub(crate) struct FunctionQueues {
    pub settings: FunctionSettings,
    /// Queue entries by priority, including stale ones.
    pub entries: [VecDeque<QueueEntry>; 3],
    pub queued: [usize; 3],
    pub scheduled: [usize; 3],
    pub released: usize,
    pub running: usize,
    /// Workers that have registered this function.
    pub registered_workers: usize,
    /// Registered workers that are free.
    pub free_workers: usize,
    /// Workers that have a job of this function.
    pub busy_workers: usize,
    pub closed: bool,
    /// Length of the backoff after the last rejection; 0 without a backoff.
    pub backoff: Micros,
    /// No job is released before this time.
    pub backoff_until: Micros,
    /// Start tag of the next release, as in start-time fair queuing: one more for each release, and raised to the
    /// virtual time when the function becomes ready again.
    pub start_tag: u64,
    /// Moving average of the duration of a run, in microseconds; 0 before the first run.
    mean_run_time: f64,
}

/// Number of queue entries up to which stale entries are not removed.
const MIN_ENTRIES_TO_COMPACT: usize = 64;
/// Weight of a new run in the moving average of the run time.
const RUN_TIME_EMA_WEIGHT: f64 = 0.1;

impl FunctionQueues {
    pub fn new(settings: FunctionSettings) -> FunctionQueues {
        FunctionQueues {
            settings,
            entries: Default::default(),
            queued: [0; 3],
            scheduled: [0; 3],
            released: 0,
            running: 0,
            registered_workers: 0,
            free_workers: 0,
            busy_workers: 0,
            closed: false,
            backoff: 0,
            backoff_until: 0,
            start_tag: 0,
            mean_run_time: 0.0,
        }
    }

    /// Number of jobs of a priority that count towards its queue limit.
    pub fn waiting_jobs(&self, priority: usize) -> usize {
        self.queued[priority] + self.scheduled[priority]
    }

    /// Adds the duration of a run to the moving average.
    pub fn record_run(&mut self, duration: Micros) {
        let duration = duration.max(1) as f64;
        if self.mean_run_time == 0.0 {
            self.mean_run_time = duration;
        } else {
            self.mean_run_time += RUN_TIME_EMA_WEIGHT * (duration - self.mean_run_time);
        }
    }

    /// Maximum number of jobs that are released at a time: one for each free or busy worker, plus the jobs that the busy
    /// workers are expected to start within half of the latency objective, at most one each. The other half is left
    /// for the run.
    pub fn release_window(&self) -> usize {
        match self.settings.window {
            Window::Unlimited => usize::MAX,
            Window::Fixed(jobs) => jobs,
            Window::Workers { latency_objective } => {
                let ahead = self.prefetch_factor(latency_objective);
                self.free_workers + self.busy_workers + (self.busy_workers as f64 * ahead) as usize
            }
        }
    }

    /// Number of further jobs that a busy worker can start within half of the latency objective, from 0 to 1.
    fn prefetch_factor(&self, latency_objective: Micros) -> f64 {
        if self.mean_run_time > 0.0 {
            (latency_objective as f64 / 2.0 / self.mean_run_time).min(1.0)
        } else {
            0.0
        }
    }

    /// Ends the backoff.
    pub fn reset_backoff(&mut self) {
        self.backoff = 0;
        self.backoff_until = 0;
    }

    /// Whether the function has a queued job.
    pub fn has_queued_jobs(&self) -> bool {
        self.queued.iter().any(|queued| *queued > 0)
    }

    pub fn counts(&self) -> Counts {
        Counts {
            queued: self.queued,
            scheduled: self.scheduled.iter().sum(),
            released: self.released,
            running: self.running,
            registered_workers: self.registered_workers,
            closed: self.closed,
        }
    }

    /// Removes stale entries once they outnumber the live ones.
    pub fn remove_stale_entries(&mut self, is_live: impl Fn(&QueueEntry) -> bool) {
        let entries: usize = self.entries.iter().map(VecDeque::len).sum();
        if entries > MIN_ENTRIES_TO_COMPACT && entries > 2 * self.queued.iter().sum::<usize>() {
            for queue in &mut self.entries {
                queue.retain(&is_live);
            }
        }
    }
}
