//! Guards against changes of behaviour when the code of the backlog is refactored: random calls are made through the
//! public interface, each result is encoded as numbers, and the hash of all results is compared with the recorded hash.

use oorandom::Rand32;
use roselock_backlog::{
    Backlog, Bounds, Cancellation, ClientNo, Completion, Counts, EndedJob, Ending, FunctionSettings, Job,
    JobNo, Micros, NewJob, Rejection, State, Waiter, Window,
};
use rstest::rstest;
use sha2::{Digest, Sha256};
use std::collections::BTreeSet;
use std::sync::Arc;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Number of calls in one trace.
const CALLS_PER_TRACE: usize = 30_000;
/// Number of functions of the backlog.
const FUNCTION_COUNT: u32 = 4;
/// Number of client connections.
const CLIENT_COUNT: u32 = 6;

/// A job that is released to the decision logic.
#[derive(Clone, Copy)]
struct ReleasedJob {
    no: JobNo,
    stream: u32,
}

/// Makes random calls and hashes their results.
struct TraceRecorder {
    random: Rand32,
    hasher: Sha256,
    now: Micros,
    wall: Micros,
    next_stream: u32,
    backlog: Backlog<u32, u64>,
    released: Vec<ReleasedJob>,
    /// The highest job number that was assigned.
    last_job_no: JobNo,
}

fn function_settings(index: u32, window: Window) -> FunctionSettings {
    FunctionSettings {
        queued: index != 3,
        max_queue: [6, 12, 5 + index as usize],
        max_wait: 10 * SECOND,
        max_wait_background: 60 * SECOND,
        run_timeout: [2 * SECOND, 5 * SECOND],
        max_attempts: 2 + index % 3,
        window,
    }
}

impl TraceRecorder {
    fn new(seed: u64, windows: [Window; 4]) -> TraceRecorder {
        let mut backlog = Backlog::new(Bounds { max_jobs: 40, max_bytes: 48 << 10 });
        for (index, window) in (0..).zip(windows) {
            backlog.add(function_settings(index, window));
        }
        TraceRecorder {
            random: Rand32::new(seed),
            hasher: Sha256::new(),
            now: SECOND,
            wall: 1000 * SECOND,
            next_stream: 0,
            backlog,
            released: Vec::new(),
            last_job_no: 0,
        }
    }

    fn draw(&mut self, end: u32) -> u32 {
        self.random.rand_range(0..end)
    }

    fn draw_bool(&mut self) -> bool {
        self.draw(2) == 1
    }

    fn draw_duration(&mut self, max: Micros) -> Micros {
        Micros::from(self.draw(max as u32))
    }

    fn record(&mut self, number: u64) {
        self.hasher.update(number.to_le_bytes());
    }

    fn record_time(&mut self, time: Option<Micros>) {
        self.record(u64::from(time.is_some()));
        self.record(time.unwrap_or_default() as u64);
    }

    fn record_bytes(&mut self, bytes: &[u8]) {
        self.record(bytes.len() as u64);
        self.hasher.update(bytes);
    }

    fn record_result(&mut self, result: Result<(), Rejection>) {
        self.record(match result {
            Ok(()) => 0,
            Err(Rejection::QueueFull) => 1,
            Err(Rejection::TooManyJobs) => 2,
            Err(Rejection::TooManyBytes) => 3,
            Err(Rejection::TooManyWaiters) => 4,
            Err(Rejection::Closed) => 5,
        });
    }

    fn record_waiters(&mut self, waiters: &[Waiter<u32>]) {
        self.record(waiters.len() as u64);
        for waiter in waiters {
            self.record(waiter.client);
            self.record(u64::from(waiter.context));
        }
    }

    fn record_ended(&mut self, ended: &EndedJob<u32>) {
        self.record(ended.no);
        self.record(ended.function as u64);
        self.record_bytes(&ended.unique);
        self.record(u64::from(ended.background));
        self.record_waiters(&ended.waiters);
        self.record(u64::from(ended.exception.is_some()));
        self.record_bytes(ended.exception.as_deref().unwrap_or_default());
        self.record(u64::from(ended.attempts));
        self.record(u64::from(ended.failed));
    }

    fn record_job(&mut self, no: JobNo, job: &RecordedJob) {
        self.record(no);
        for number in job.numbers {
            self.record(number);
        }
        self.record_bytes(&job.unique);
        self.record_waiters(&job.waiters);
        self.record(u64::from(job.exception.is_some()));
        self.record_bytes(job.exception.as_deref().unwrap_or_default());
    }

    fn record_counts(&mut self, counts: Counts) {
        for queued in counts.queued {
            self.record(queued as u64);
        }
        self.record(counts.scheduled as u64);
        self.record(counts.released as u64);
        self.record(counts.running as u64);
        self.record(counts.registered_workers as u64);
        self.record(u64::from(counts.closed));
        self.record(counts.jobs() as u64);
        self.record(u64::from(counts.has_waiting_jobs()));
    }

    fn advance_time(&mut self) {
        self.now += match self.draw(10) {
            0 => self.draw_duration(10 * SECOND),
            1 | 2 => self.draw_duration(SECOND),
            _ => self.draw_duration(5 * MILLISECOND),
        };
        // The wall clock steps forwards and backwards.
        self.wall += match self.draw(20) {
            0 => -self.draw_duration(3 * SECOND),
            1 => self.draw_duration(6 * SECOND),
            _ => self.draw_duration(100 * MILLISECOND),
        };
    }

    fn submit(&mut self) {
        let function = self.draw(FUNCTION_COUNT) as usize;
        let priority = self.draw(3) as usize;
        let background = self.draw(3) == 0;
        let unique = if self.draw(3) == 0 { vec![b'u', self.draw(5) as u8] } else { Vec::new() };
        let context = self.draw(1000);
        let client = ClientNo::from(self.draw(CLIENT_COUNT));
        let waiter = (!background).then_some(Waiter { client, context });
        let no = self.backlog.by_unique(function, &unique);
        self.record(no.unwrap_or_default());
        if let Some(no) = no {
            let joined = self.backlog.join(no, priority, background, waiter);
            return self.record_result(joined);
        }
        let delay = self.draw_duration(20 * SECOND);
        let not_before = (self.draw(6) == 0).then_some(self.wall + delay);
        let bytes = self.draw(2000) as usize;
        let check = self.backlog.check_capacity(function, priority, bytes);
        self.record_result(check);
        let payload = Arc::new(u64::from(self.draw(1000)));
        let new = NewJob { function, priority, unique, background, waiter, not_before, bytes, payload };
        match self.backlog.submit(new, self.now) {
            Ok(no) => {
                self.last_job_no = no;
                self.record(no);
            }
            Err(rejection) => self.record_result(Err(rejection)),
        }
    }

    fn release(&mut self) {
        self.next_stream += 1;
        let stream = self.next_stream;
        let Some(released) = self.backlog.release(self.now, || stream) else { return self.record(0) };
        self.record(released.no);
        self.record(u64::from(released.earlier_releases));
        self.record(u64::from(released.attempts));
        self.record(released.priority as u64);
        self.record(released.deadline as u64);
        self.record(*released.payload);
        self.released.push(ReleasedJob { no: released.no, stream });
    }

    /// Returns a released job, or sometimes a random job number and stream, which may have ended or may not exist.
    fn draw_released_job(&mut self) -> ReleasedJob {
        if self.released.is_empty() || self.draw(20) == 0 {
            return ReleasedJob { no: self.draw_job_no(), stream: self.draw(self.next_stream + 1) };
        }
        let index = self.draw(self.released.len() as u32) as usize;
        self.released[index]
    }

    fn draw_job_no(&mut self) -> JobNo {
        let recent = JobNo::from(self.draw(60));
        self.last_job_no.saturating_sub(recent) + 1
    }

    fn complete(&mut self) {
        let job = self.draw_released_job();
        let endings = [Ending::Served, Ending::Rejected, Ending::Failed, Ending::TimedOut];
        let ending = endings[self.draw(4) as usize];
        let attempts = self.draw(3);
        let is_repeatable = self.draw_bool();
        let completion = self.backlog.complete(job.no, job.stream, ending, attempts, is_repeatable, self.now);
        match completion {
            None => self.record(0),
            Some(Completion::Requeued) => self.record(1),
            Some(Completion::Final(ended)) => {
                self.record(2);
                self.record_ended(&ended);
            }
        }
        self.released.retain(|released| released.stream != job.stream);
    }

    fn cancel(&mut self) {
        let no = self.draw_job_no();
        match self.backlog.cancel(no) {
            Cancellation::Cancelled(ended, stream) => {
                self.record(1 + u64::from(stream.unwrap_or_default()));
                self.record_ended(&ended);
            }
            Cancellation::Running => self.record(u64::MAX),
            Cancellation::Unknown => self.record(0),
        }
    }

    fn change_job(&mut self) {
        let job = self.draw_released_job();
        match self.draw(5) {
            0 => {
                let numerator = u64::from(self.draw(100));
                self.backlog.set_progress(job.no, numerator, 100);
            }
            1 => self.backlog.set_exception(job.no, vec![b'e', job.stream as u8]),
            2 => self.backlog.set_failed(job.no),
            _ => {
                let runs = self.draw(4) != 0;
                self.backlog.set_running(job.no, job.stream, runs);
            }
        }
    }

    fn change_function(&mut self) {
        let index = self.draw(FUNCTION_COUNT);
        let function_index = index as usize;
        match self.draw(12) {
            0 => self.backlog.close(function_index),
            1 | 2 => {
                let window = self.backlog.settings(function_index).window;
                self.backlog.reconfigure(function_index, function_settings(index, window));
            }
            3 => {
                let bound = self.draw(15) as usize;
                self.backlog.set_max_queue(function_index, [bound, bound + 1, bound + 2]);
            }
            4 | 5 => {
                let run = self.draw_duration(SECOND);
                self.backlog.record_run(function_index, run);
            }
            _ => {
                let registered = self.draw(6) as usize;
                let free = self.draw(6) as usize;
                let busy = self.draw(6) as usize;
                self.backlog.set_workers(function_index, registered, free, busy);
            }
        }
    }

    fn disconnect_client(&mut self) {
        let client = ClientNo::from(self.draw(CLIENT_COUNT));
        let awaited = self.backlog.jobs_awaited_by(client);
        self.record(awaited as u64);
        for stream in self.backlog.disconnect_client(client) {
            self.record(u64::from(stream));
        }
    }

    fn tick(&mut self) {
        for ended in self.backlog.tick(self.now, self.wall) {
            self.record_ended(&ended);
        }
        let (deadline, scheduled) = self.backlog.next_deadlines();
        self.record_time(deadline);
        self.record_time(scheduled);
    }

    fn drain(&mut self) {
        for ended in self.backlog.drain() {
            self.record_ended(&ended);
        }
    }

    fn step(&mut self, call: usize) {
        self.advance_time();
        match self.draw(100) {
            0..=29 => self.submit(),
            30..=54 => self.release(),
            55..=71 => self.complete(),
            72..=79 => self.change_job(),
            80..=87 => self.change_function(),
            88 | 89 => self.cancel(),
            90 => self.disconnect_client(),
            _ => self.tick(),
        }
        if call % 5000 == 4999 {
            self.drain();
        }
        self.record(self.backlog.len() as u64);
        self.record(self.backlog.bytes() as u64);
        self.record(u64::from(self.backlog.is_empty()));
        let next_release_at = self.backlog.next_release_at();
        self.record_time(next_release_at);
        let index = self.draw(FUNCTION_COUNT) as usize;
        let counts = self.backlog.counts(index);
        self.record_counts(counts);
        if call.is_multiple_of(100) {
            self.record_all_jobs();
        }
    }

    fn record_all_jobs(&mut self) {
        let nos: BTreeSet<JobNo> = self.backlog.iter().map(|(no, _)| no).collect();
        for no in nos {
            let job = RecordedJob::from_job(self.backlog.job(no).expect("a job of `iter` exists"));
            self.record_job(no, &job);
        }
        self.backlog.check_invariants();
    }

    fn into_hex_digest(self) -> String {
        self.hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

/// The public fields of a job, encoded for the hash.
struct RecordedJob {
    numbers: [u64; 10],
    unique: Arc<[u8]>,
    waiters: Vec<Waiter<u32>>,
    exception: Option<Vec<u8>>,
}

impl RecordedJob {
    fn from_job(job: &Job<u32, u64>) -> RecordedJob {
        let state = match job.state {
            State::Scheduled => 0,
            State::Queued => 1,
            State::Released(stream) => 2 + u64::from(stream),
        };
        let numbers = [
            job.function as u64,
            job.priority as u64,
            u64::from(job.background),
            state,
            job.submitted_at as u64,
            job.wait_deadline as u64,
            u64::from(job.attempts),
            u64::from(job.running),
            job.progress.0 << 32 | job.progress.1,
            u64::from(job.failed),
        ];
        RecordedJob {
            numbers,
            unique: job.unique.clone(),
            waiters: job.waiters.clone(),
            exception: job.exception.clone(),
        }
    }
}

#[rstest]
#[case(1, [Window::Unlimited; 4], "8bd25a1492e45800e9b75b6c5583dc4eaa19b0e3eac4bb754ce03223c6407aed")]
#[case(2, [Window::Fixed(5); 4], "aa68d5abc5129306d69824a97eb01887de4cec1a50933f17124e26e227ce4ed2")]
#[case(3, [Window::Workers { latency_objective: SECOND / 5 }; 4], "ab067b347f54618203d9f6fb247f811c0f54e67091d735ea3c05d9f7caa7b0ee")]
#[case(4, [Window::Workers { latency_objective: SECOND }, Window::Fixed(2), Window::Workers { latency_objective: SECOND / 5 }, Window::Unlimited], "8e4ed7924d4bd0747e4a9eb62098bbf60e537672520ab46e658e547506629c87")]
fn the_backlog_returns_the_same_results(#[case] seed: u64, #[case] windows: [Window; 4], #[case] hash: &str) {
    let mut recorder = TraceRecorder::new(seed, windows);
    for call in 0..CALLS_PER_TRACE {
        recorder.step(call);
    }
    assert_eq!(recorder.into_hex_digest(), hash, "seed {seed}: the behaviour of the backlog has changed");
}
