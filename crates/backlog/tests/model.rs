//! Invariants of the backlog under random sequences of operations, and tests of its main functions.

use proptest::prelude::*;
use roselock_backlog::*;
use rstest::rstest;
use std::collections::BTreeMap;
use std::sync::Arc;

const SECOND: Micros = 1_000_000;

fn function_settings() -> FunctionSettings {
    FunctionSettings {
        queued: true,
        max_queue: [5, 10, 5],
        max_wait: 10 * SECOND,
        max_wait_background: 60 * SECOND,
        run_timeout: [2 * SECOND; 2],
        max_attempts: 4,
        window: Window::Workers { latency_objective: SECOND / 5 },
    }
}

fn new_backlog(functions: usize) -> Backlog<(), u64> {
    let mut backlog = Backlog::new(Bounds { max_jobs: 40, max_bytes: 1 << 20 });
    for _ in 0..functions {
        backlog.add(function_settings());
    }
    backlog
}

fn new_job(function: usize, priority: usize, client: Option<u64>) -> NewJob<(), u64> {
    NewJob {
        function,
        priority,
        unique: Vec::new(),
        background: client.is_none(),
        waiter: client.map(|client| Waiter { client, context: () }),
        not_before: None,
        bytes: 100,
        payload: Arc::new(0),
    }
}

#[derive(Clone, Debug)]
enum Operation {
    Submit {
        function: usize,
        priority: usize,
        client: Option<u64>,
        unique: Option<u8>,
        scheduled_in: Option<Micros>,
    },
    SetWorkers {
        function: usize,
        registered: usize,
        free: usize,
        busy: usize,
    },
    Release,
    StartRun(prop::sample::Index),
    Complete(prop::sample::Index, u8, bool),
    DisconnectClient(u64),
    Cancel(prop::sample::Index),
    AdvanceTime(Micros, Micros),
    Drain,
}

fn any_operation() -> impl Strategy<Value = Operation> {
    let index = any::<prop::sample::Index>;
    prop_oneof![
        6 => (0..3usize, 0..3usize, prop::option::of(0..4u64), prop::option::of(0..4u8),
              prop::option::weighted(0.2, 0..20 * SECOND))
            .prop_map(|(function, priority, client, unique, scheduled_in)| Operation::Submit { function, priority, client, unique, scheduled_in }),
        2 => (0..3usize, 0..6usize, 0..6usize, 0..6usize)
            .prop_map(|(function, registered, free, busy)| Operation::SetWorkers { function, registered, free, busy }),
        6 => Just(Operation::Release),
        2 => index().prop_map(Operation::StartRun),
        5 => (index(), 0..4u8, any::<bool>()).prop_map(|(index, ending, is_repeatable)| Operation::Complete(index, ending, is_repeatable)),
        1 => (0..4u64).prop_map(Operation::DisconnectClient),
        1 => index().prop_map(Operation::Cancel),
        3 => (0..5 * SECOND, -3 * SECOND..6 * SECOND).prop_map(|(elapsed, wall_step)| Operation::AdvanceTime(elapsed, wall_step)),
        1 => Just(Operation::Drain),
    ]
}

/// The expected state of a job that has not ended.
struct ExpectedJob {
    /// Number of clients that wait for it.
    waiting_clients: usize,
    is_background: bool,
    /// Attempts that may have run.
    attempts: u32,
    /// Whether it may be released again.
    may_requeue: bool,
}

impl ExpectedJob {
    fn new(client: Option<u64>) -> ExpectedJob {
        ExpectedJob {
            waiting_clients: usize::from(client.is_some()),
            is_background: client.is_none(),
            attempts: 0,
            may_requeue: true,
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Each submitted job ends once and has at most one release at a time. It is not released again after four attempts,
    /// or after an attempt that must not be repeated. Each waiting client gets one final answer, and all counts agree.
    #[test]
    fn each_job_ends_once_and_all_counts_agree(operations in prop::collection::vec(any_operation(), 1..150)) {
        let mut backlog = new_backlog(3);
        let mut now = 0;
        let mut wall = 100 * SECOND;
        let mut stream = 0u32;
        let mut open_jobs: BTreeMap<JobNo, ExpectedJob> = BTreeMap::new();
        let mut released_jobs: Vec<(JobNo, u32)> = Vec::new();
        for operation in operations {
            let mut ended = Vec::new();
            match operation {
                Operation::Submit { function, priority, client, unique, scheduled_in } => {
                    let unique = unique.map(|u| vec![b'u', u]).unwrap_or_default();
                    if let Some(no) = backlog.by_unique(function, &unique) {
                        let waiter = client.map(|client| Waiter { client, context: () });
                        if backlog.join(no, priority, client.is_none(), waiter).is_ok() {
                            let job = open_jobs.get_mut(&no).expect("the job has not ended");
                            job.waiting_clients += usize::from(client.is_some());
                            job.is_background |= client.is_none();
                        }
                    } else {
                        let job = NewJob { unique, not_before: scheduled_in.map(|delay| wall + delay), ..new_job(function, priority, client) };
                        let check = backlog.check_capacity(function, priority, 100);
                        let submitted = backlog.submit(job, now);
                        prop_assert_eq!(check, submitted.map(|_| ()));
                        if let Ok(no) = submitted {
                            prop_assert!(open_jobs.insert(no, ExpectedJob::new(client)).is_none());
                        }
                    }
                }
                Operation::SetWorkers { function, registered, free, busy } => backlog.set_workers(function, registered, free, busy),
                Operation::Release => {
                    stream += 1;
                    if let Some(released) = backlog.release(now, || stream) {
                        let job = &open_jobs[&released.no];
                        prop_assert!(job.may_requeue && job.attempts < 4 && released.attempts == job.attempts);
                        prop_assert!(released_jobs.iter().all(|entry| entry.0 != released.no));
                        prop_assert!(released.deadline > now);
                        released_jobs.push((released.no, stream));
                    }
                }
                Operation::StartRun(index) if !released_jobs.is_empty() => {
                    let (no, stream) = *index.get(&released_jobs);
                    backlog.set_running(no, stream, true);
                }
                Operation::Complete(index, ending, is_repeatable) if !released_jobs.is_empty() => {
                    let (no, stream) = released_jobs.remove(index.index(released_jobs.len()));
                    let ending = [Ending::Served, Ending::Rejected, Ending::Failed, Ending::TimedOut][ending as usize];
                    let attempts_run = (ending != Ending::Rejected || is_repeatable) as u32;
                    let completion = backlog.complete(no, stream, ending, attempts_run, is_repeatable, now);
                    prop_assert!(backlog.complete(no, stream, ending, attempts_run, is_repeatable, now).is_none());
                    let job = open_jobs.get_mut(&no).expect("the job has not ended");
                    job.attempts += attempts_run;
                    job.may_requeue = job.attempts == 0 || is_repeatable;
                    match completion.expect("the job was released") {
                        Completion::Final(job) => ended.push(job),
                        Completion::Requeued => prop_assert!(job.may_requeue && ending != Ending::Served),
                    }
                }
                Operation::DisconnectClient(client) => {
                    let removed = backlog.disconnect_client(client);
                    released_jobs.retain(|entry| !removed.contains(&entry.1));
                    prop_assert_eq!(backlog.jobs_awaited_by(client), 0);
                    open_jobs.retain(|no, job| match backlog.job(*no) {
                        Some(remaining) => { job.waiting_clients = remaining.waiters.len(); true }
                        None => false,
                    });
                }
                Operation::Cancel(index) if !open_jobs.is_empty() => {
                    let all: Vec<_> = open_jobs.keys().copied().collect();
                    if let Cancellation::Cancelled(job, cancelled) = backlog.cancel(*index.get(&all)) {
                        released_jobs.retain(|entry| Some(entry.1) != cancelled);
                        ended.push(job);
                    }
                }
                Operation::AdvanceTime(elapsed, wall_step) => {
                    now += elapsed;
                    wall += wall_step;
                    ended.extend(backlog.tick(now, wall));
                }
                Operation::Drain => ended.extend(backlog.drain()),
                _ => {}
            }
            for job in ended {
                let expected = open_jobs.remove(&job.no).expect("a job ends once");
                prop_assert_eq!(job.waiters.len(), expected.waiting_clients);
                prop_assert_eq!(job.background, expected.is_background);
                prop_assert_eq!(job.attempts, expected.attempts);
            }
            prop_assert_eq!(backlog.len(), open_jobs.len());
            prop_assert!(backlog.len() <= 40);
            backlog.check_invariants();
        }
    }
}

fn release_all(backlog: &mut Backlog<(), u64>, now: Micros) -> Vec<JobNo> {
    let mut stream = 1000 + now as u32;
    let next = || {
        stream += 1;
        backlog.release(now, || stream).map(|r| r.no)
    };
    std::iter::from_fn(next).collect()
}

/// As many jobs are released as the workers can take, by priority and then by age. The others wait, and submissions to a
/// full queue are rejected.
#[rstest]
fn jobs_are_released_by_priority_and_age_within_the_window() {
    let mut backlog = new_backlog(1);
    let low = backlog.submit(new_job(0, 2, Some(1)), 0).expect("capacity");
    let normal: Vec<_> =
        (0..10).map(|_| backlog.submit(new_job(0, 1, Some(1)), 0).expect("capacity")).collect();
    assert_eq!(backlog.submit(new_job(0, 1, Some(1)), 0), Err(Rejection::QueueFull));
    let high = backlog.submit(new_job(0, 0, None), 0).expect("capacity");
    assert_eq!(release_all(&mut backlog, 0), []);
    backlog.set_workers(0, 3, 3, 0);
    assert_eq!(release_all(&mut backlog, 0), [high, normal[0], normal[1]]);
    backlog.set_workers(0, 3, 0, 3);
    assert_eq!(release_all(&mut backlog, 1), []);
    // A run takes a fifth of the latency objective, so each busy worker can start another job in time.
    backlog.record_run(0, SECOND / 25);
    backlog.set_workers(0, 4, 1, 3);
    assert_eq!(release_all(&mut backlog, 2).len(), 4);
    assert_eq!(backlog.counts(0).queued, [0, 4, 1]);
    assert!(backlog.job(low).is_some());
}

/// Many jobs of one function do not delay the few jobs of another one.
#[rstest]
fn functions_share_releases_fairly() {
    let mut backlog = new_backlog(2);
    let many_jobs: Vec<_> =
        (0..10).map(|_| backlog.submit(new_job(0, 1, None), 0).expect("capacity")).collect();
    backlog.set_workers(0, 8, 8, 0);
    backlog.set_workers(1, 8, 8, 0);
    assert_eq!(backlog.release(0, || 1).map(|r| r.no), Some(many_jobs[0]));
    assert_eq!(backlog.release(0, || 2).map(|r| r.no), Some(many_jobs[1]));
    let few_jobs = [backlog.submit(new_job(1, 2, None), 0), backlog.submit(new_job(1, 2, None), 0)]
        .map(|submitted| submitted.expect("capacity"));
    assert_eq!(backlog.release(0, || 3).map(|r| r.no), Some(few_jobs[0]));
    // The second function has no credit for the time in which it had no jobs.
    assert_eq!(backlog.release(0, || 4).map(|r| r.no), Some(many_jobs[2]));
    assert_eq!(backlog.release(0, || 5).map(|r| r.no), Some(few_jobs[1]));
}

/// A rejected job returns to the head of its queue, and the function backs off until a worker becomes free or the
/// backoff ends. Guards against lost jobs and against releasing rejected jobs in a busy loop.
#[rstest]
fn a_rejected_job_is_queued_again_after_a_backoff() {
    let mut backlog = new_backlog(1);
    let jobs: Vec<_> = (0..3).map(|_| backlog.submit(new_job(0, 1, Some(1)), 0).expect("capacity")).collect();
    backlog.set_workers(0, 1, 1, 0);
    assert_eq!(backlog.release(0, || 1).map(|r| r.no), Some(jobs[0]));
    assert!(matches!(backlog.complete(jobs[0], 1, Ending::Rejected, 0, true, 0), Some(Completion::Requeued)));
    assert!(backlog.release(0, || 2).is_none());
    assert_eq!(backlog.next_release_at(), Some(BACKOFF_RANGE_US[0]));
    assert_eq!(backlog.release(BACKOFF_RANGE_US[0], || 2).map(|r| r.no), Some(jobs[0]));
    assert!(matches!(
        backlog.complete(jobs[0], 2, Ending::Rejected, 0, true, BACKOFF_RANGE_US[0]),
        Some(Completion::Requeued)
    ));
    assert!(backlog.release(BACKOFF_RANGE_US[0] + 1, || 3).is_none());
    backlog.set_workers(0, 2, 2, 0);
    assert_eq!(backlog.release(BACKOFF_RANGE_US[0] + 1, || 3).map(|r| r.no), Some(jobs[0]));
}

/// A job that may have run is queued again only if it is repeatable, and for at most four attempts.
#[rstest]
#[case::repeatable(true, 4)]
#[case::not_repeatable(false, 1)]
fn a_job_that_may_have_run_is_requeued_only_if_repeatable(
    #[case] is_repeatable: bool,
    #[case] attempts: u32,
) {
    let mut backlog = new_backlog(1);
    backlog.set_workers(0, 1, 1, 0);
    let no = backlog.submit(new_job(0, 1, Some(1)), 0).expect("capacity");
    for attempt in 0..attempts {
        assert_eq!(backlog.release(0, || attempt).map(|r| (r.no, r.attempts)), Some((no, attempt)));
        let completion = backlog
            .complete(no, attempt, Ending::TimedOut, 1, is_repeatable, 0)
            .expect("the job was released");
        assert_eq!(matches!(completion, Completion::Final(_)), attempt + 1 == attempts);
    }
    assert!(backlog.is_empty());
}

/// After the wall clock steps back, queued jobs stay queued, and none is queued twice. 1000 jobs that are due at the
/// same time are all queued, since scheduled jobs count towards the queue limit.
#[rstest]
fn jobs_are_queued_once_at_their_scheduled_wall_clock_time() {
    let mut backlog = Backlog::<(), u64>::new(Bounds { max_jobs: 2000, max_bytes: 1 << 24 });
    backlog.add(FunctionSettings { max_queue: [1000; 3], ..function_settings() });
    for _ in 0..1000 {
        let job = NewJob { not_before: Some(50 * SECOND), ..new_job(0, 1, None) };
        backlog.submit(job, 0).expect("capacity");
    }
    assert_eq!(backlog.submit(new_job(0, 1, None), 0), Err(Rejection::QueueFull));
    assert!(backlog.tick(0, 49 * SECOND).is_empty());
    assert_eq!((backlog.counts(0).scheduled, backlog.counts(0).jobs()), (1000, 1000));
    backlog.tick(1, 50 * SECOND);
    backlog.tick(2, 10 * SECOND);
    backlog.check_invariants();
    assert_eq!((backlog.counts(0).scheduled, backlog.counts(0).queued[1]), (0, 1000));
    // Their maximum wait for a worker starts at the scheduled time.
    assert!(backlog.tick(60 * SECOND, 99 * SECOND).is_empty());
    assert_eq!(backlog.tick(60 * SECOND + 1, 99 * SECOND).len(), 1000);
}

/// A second submission with the same unique id joins the job, raises its priority, and keeps the job when the first
/// client disconnects.
#[rstest]
fn a_joined_job_takes_the_higher_priority_and_outlives_its_client() {
    let mut backlog = new_backlog(1);
    let other = backlog.submit(new_job(0, 1, Some(9)), 0).expect("capacity");
    let job = NewJob { unique: b"u".to_vec(), ..new_job(0, 2, Some(1)) };
    let no = backlog.submit(job, 0).expect("capacity");
    assert_eq!((backlog.by_unique(0, b"u"), backlog.by_unique(0, b"")), (Some(no), None));
    backlog.join(no, 0, true, None).expect("capacity");
    assert!(backlog.disconnect_client(1).is_empty());
    backlog.check_invariants();
    backlog.set_workers(0, 2, 2, 0);
    assert_eq!(release_all(&mut backlog, 0), [no, other]);
}

/// A queued job, or a released job that is not running yet, can be cancelled; a running job cannot.
#[rstest]
fn a_job_can_be_cancelled_until_a_worker_runs_it() {
    let mut backlog = new_backlog(1);
    backlog.set_workers(0, 1, 1, 0);
    let no = backlog.submit(new_job(0, 1, None), 0).expect("capacity");
    assert_eq!(backlog.release(0, || 5).map(|r| r.no), Some(no));
    backlog.set_running(no, 5, true);
    assert!(matches!(backlog.cancel(no), Cancellation::Running));
    backlog.set_running(no, 5, false);
    assert!(matches!(backlog.cancel(no), Cancellation::Cancelled(_, Some(5))));
    assert!(matches!(backlog.cancel(no), Cancellation::Unknown));
    assert!(backlog.complete(no, 5, Ending::Served, 1, true, 0).is_none());
    backlog.check_invariants();
}
