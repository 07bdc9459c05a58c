//! Holds the backlog still while the code is renamed and split: drawn calls are made through the public interface, each
//! result is encoded as numbers, and the hash of all is compared with the one written down.

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
/// Calls of one sequence.
const CALLS: usize = 30_000;
/// Functions of the backlog.
const FUNCTIONS: u32 = 4;
/// Connections of clients.
const CLIENTS: u32 = 6;

/// A job that is released to the decisions.
#[derive(Clone, Copy)]
struct ReleasedJob {
    no: JobNo,
    stream: u32,
}

/// Draws the calls and hashes the results.
struct Player {
    random: Rand32,
    hash: Sha256,
    now: Micros,
    wall: Micros,
    next_stream: u32,
    backlog: Backlog<u32, u64>,
    released: Vec<ReleasedJob>,
    /// All job numbers that were assigned, ended ones included.
    assigned: JobNo,
}

fn function(index: u32, window: Window) -> FunctionSettings {
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

impl Player {
    fn new(seed: u64, windows: [Window; 4]) -> Player {
        let mut backlog = Backlog::new(Bounds { jobs: 40, bytes: 48 << 10 });
        for (index, window) in (0..).zip(windows) {
            backlog.add(function(index, window));
        }
        Player {
            random: Rand32::new(seed),
            hash: Sha256::new(),
            now: SECOND,
            wall: 1000 * SECOND,
            next_stream: 0,
            backlog,
            released: Vec::new(),
            assigned: 0,
        }
    }

    fn draw(&mut self, n: u32) -> u32 {
        self.random.rand_range(0..n)
    }

    fn flag(&mut self) -> bool {
        self.draw(2) == 1
    }

    fn span(&mut self, most: Micros) -> Micros {
        Micros::from(self.draw(most as u32))
    }

    fn note(&mut self, number: u64) {
        self.hash.update(number.to_le_bytes());
    }

    fn note_time(&mut self, time: Option<Micros>) {
        self.note(u64::from(time.is_some()));
        self.note(time.unwrap_or_default() as u64);
    }

    fn note_bytes(&mut self, bytes: &[u8]) {
        self.note(bytes.len() as u64);
        self.hash.update(bytes);
    }

    fn note_result(&mut self, result: Result<(), Rejection>) {
        self.note(match result {
            Ok(()) => 0,
            Err(Rejection::Queue) => 1,
            Err(Rejection::Jobs) => 2,
            Err(Rejection::Bytes) => 3,
            Err(Rejection::Waiters) => 4,
            Err(Rejection::Closed) => 5,
        });
    }

    fn note_waiters(&mut self, waiters: &[Waiter<u32>]) {
        self.note(waiters.len() as u64);
        for waiter in waiters {
            self.note(waiter.client);
            self.note(u64::from(waiter.context));
        }
    }

    fn note_ended(&mut self, ended: &EndedJob<u32>) {
        self.note(ended.no);
        self.note(ended.function as u64);
        self.note_bytes(&ended.unique);
        self.note(u64::from(ended.background));
        self.note_waiters(&ended.waiters);
        self.note(u64::from(ended.exception.is_some()));
        self.note_bytes(ended.exception.as_deref().unwrap_or_default());
        self.note(u64::from(ended.attempts));
        self.note(u64::from(ended.failed));
    }

    fn note_job(&mut self, no: JobNo, job: &NotedJob) {
        self.note(no);
        for number in job.numbers {
            self.note(number);
        }
        self.note_bytes(&job.unique);
        self.note_waiters(&job.waiters);
        self.note(u64::from(job.exception.is_some()));
        self.note_bytes(job.exception.as_deref().unwrap_or_default());
    }

    fn note_counts(&mut self, counts: Counts) {
        for queued in counts.queued {
            self.note(queued as u64);
        }
        self.note(counts.scheduled as u64);
        self.note(counts.released as u64);
        self.note(counts.running as u64);
        self.note(counts.able as u64);
        self.note(u64::from(counts.closed));
        self.note(counts.jobs() as u64);
        self.note(u64::from(counts.wants_workers()));
    }

    fn pass_time(&mut self) {
        self.now += match self.draw(10) {
            0 => self.span(10 * SECOND),
            1 | 2 => self.span(SECOND),
            _ => self.span(5 * MILLISECOND),
        };
        // The wall clock steps either way.
        self.wall += match self.draw(20) {
            0 => -self.span(3 * SECOND),
            1 => self.span(6 * SECOND),
            _ => self.span(100 * MILLISECOND),
        };
    }

    fn submit(&mut self) {
        let function = self.draw(FUNCTIONS) as usize;
        let priority = self.draw(3) as usize;
        let background = self.draw(3) == 0;
        let unique = if self.draw(3) == 0 { vec![b'u', self.draw(5) as u8] } else { Vec::new() };
        let with = self.draw(1000);
        let client = ClientNo::from(self.draw(CLIENTS));
        let waiter = (!background).then_some(Waiter { client, context: with });
        let no = self.backlog.by_unique(function, &unique);
        self.note(no.unwrap_or_default());
        if let Some(no) = no {
            let joined = self.backlog.join(no, priority, background, waiter);
            return self.note_result(joined);
        }
        let ahead = self.span(20 * SECOND);
        let not_before = (self.draw(6) == 0).then_some(self.wall + ahead);
        let bytes = self.draw(2000) as usize;
        let check = self.backlog.check_capacity(function, priority, bytes);
        self.note_result(check);
        let payload = Arc::new(u64::from(self.draw(1000)));
        let new = NewJob { function, priority, unique, background, waiter, not_before, bytes, payload };
        match self.backlog.submit(new, self.now) {
            Ok(no) => {
                self.assigned = no;
                self.note(no);
            }
            Err(rejection) => self.note_result(Err(rejection)),
        }
    }

    fn release(&mut self) {
        self.next_stream += 1;
        let stream = self.next_stream;
        let Some(released) = self.backlog.release(self.now, || stream) else { return self.note(0) };
        self.note(released.no);
        self.note(u64::from(released.earlier_releases));
        self.note(u64::from(released.attempts));
        self.note(released.priority as u64);
        self.note(released.deadline as u64);
        self.note(*released.payload);
        self.released.push(ReleasedJob { no: released.no, stream });
    }

    /// A released job, or one that has ended or never was.
    fn any_released(&mut self) -> ReleasedJob {
        if self.released.is_empty() || self.draw(20) == 0 {
            return ReleasedJob { no: self.any_job(), stream: self.draw(self.next_stream + 1) };
        }
        let index = self.draw(self.released.len() as u32) as usize;
        self.released[index]
    }

    fn any_job(&mut self) -> JobNo {
        let recent = JobNo::from(self.draw(60));
        self.assigned.saturating_sub(recent) + 1
    }

    fn complete(&mut self) {
        let job = self.any_released();
        let endings = [Ending::Served, Ending::Rejected, Ending::Failed, Ending::TimedOut];
        let ending = endings[self.draw(4) as usize];
        let attempts = self.draw(3);
        let repeat = self.flag();
        let completion = self.backlog.complete(job.no, job.stream, ending, attempts, repeat, self.now);
        match completion {
            None => self.note(0),
            Some(Completion::Requeued) => self.note(1),
            Some(Completion::Final(ended)) => {
                self.note(2);
                self.note_ended(&ended);
            }
        }
        self.released.retain(|released| released.stream != job.stream);
    }

    fn cancel(&mut self) {
        let no = self.any_job();
        match self.backlog.cancel(no) {
            Cancellation::Cancelled(ended, stream) => {
                self.note(1 + u64::from(stream.unwrap_or_default()));
                self.note_ended(&ended);
            }
            Cancellation::Running => self.note(u64::MAX),
            Cancellation::Unknown => self.note(0),
        }
    }

    fn change_job(&mut self) {
        let job = self.any_released();
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
        let index = self.draw(FUNCTIONS);
        let function_index = index as usize;
        match self.draw(12) {
            0 => self.backlog.close(function_index),
            1 | 2 => {
                let window = self.backlog.settings(function_index).window;
                self.backlog.reconfigure(function_index, function(index, window));
            }
            3 => {
                let bound = self.draw(15) as usize;
                self.backlog.set_max_queue(function_index, [bound, bound + 1, bound + 2]);
            }
            4 | 5 => {
                let run = self.span(SECOND);
                self.backlog.record_run(function_index, run);
            }
            _ => {
                let able = self.draw(6) as usize;
                let free = self.draw(6) as usize;
                let engaged = self.draw(6) as usize;
                self.backlog.set_workers(function_index, able, free, engaged);
            }
        }
    }

    fn disconnect_client(&mut self) {
        let client = ClientNo::from(self.draw(CLIENTS));
        let awaited = self.backlog.jobs_awaited_by(client);
        self.note(awaited as u64);
        for stream in self.backlog.disconnect_client(client) {
            self.note(u64::from(stream));
        }
    }

    fn tick(&mut self) {
        for ended in self.backlog.tick(self.now, self.wall) {
            self.note_ended(&ended);
        }
        let (deadline, scheduled) = self.backlog.next_deadlines();
        self.note_time(deadline);
        self.note_time(scheduled);
    }

    fn drain(&mut self) {
        for ended in self.backlog.drain() {
            self.note_ended(&ended);
        }
    }

    fn step(&mut self, call: usize) {
        self.pass_time();
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
        self.note(self.backlog.len() as u64);
        self.note(self.backlog.bytes() as u64);
        self.note(u64::from(self.backlog.is_empty()));
        let next_release_at = self.backlog.next_release_at();
        self.note_time(next_release_at);
        let index = self.draw(FUNCTIONS) as usize;
        let counts = self.backlog.counts(index);
        self.note_counts(counts);
        if call.is_multiple_of(100) {
            self.note_all_jobs();
        }
    }

    fn note_all_jobs(&mut self) {
        let nos: BTreeSet<JobNo> = self.backlog.iter().map(|(no, _)| no).collect();
        for no in nos {
            let job = NotedJob::of(self.backlog.job(no).expect("a listed job"));
            self.note_job(no, &job);
        }
        self.backlog.check_invariants();
    }

    fn digits(self) -> String {
        self.hash.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

/// The public fields of a job.
struct NotedJob {
    numbers: [u64; 10],
    unique: Arc<[u8]>,
    waiters: Vec<Waiter<u32>>,
    exception: Option<Vec<u8>>,
}

impl NotedJob {
    fn of(job: &Job<u32, u64>) -> NotedJob {
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
        NotedJob {
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
fn the_backlog_gives_the_same_results(#[case] seed: u64, #[case] windows: [Window; 4], #[case] hash: &str) {
    let mut player = Player::new(seed, windows);
    for call in 0..CALLS {
        player.step(call);
    }
    assert_eq!(player.digits(), hash, "seed {seed}: the backlog has changed");
}
