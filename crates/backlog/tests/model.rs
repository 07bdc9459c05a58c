//! The rules of the backlog under any order of operations, and the situations that it exists for.

use proptest::prelude::*;
use roselock_backlog::*;
use rstest::rstest;
use std::collections::BTreeMap;
use std::sync::Arc;

const SECOND: Micros = 1_000_000;

fn function() -> FunctionSettings {
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
    let mut backlog = Backlog::new(Bounds { jobs: 40, bytes: 1 << 20 });
    for _ in 0..functions {
        backlog.add(function());
    }
    backlog
}

fn new(function: usize, priority: usize, client: Option<u64>) -> NewJob<(), u64> {
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
    Submit { function: usize, priority: usize, client: Option<u64>, unique: Option<u8>, set: Option<Micros> },
    Workers { function: usize, able: usize, free: usize, engaged: usize },
    Release,
    Run(prop::sample::Index),
    End(prop::sample::Index, u8, bool),
    Leave(u64),
    Cancel(prop::sample::Index),
    Pass(Micros, Micros),
    Drain,
}

fn any_operation() -> impl Strategy<Value = Operation> {
    let index = any::<prop::sample::Index>;
    prop_oneof![
        6 => (0..3usize, 0..3usize, prop::option::of(0..4u64), prop::option::of(0..4u8),
              prop::option::weighted(0.2, 0..20 * SECOND))
            .prop_map(|(function, priority, client, unique, set)| Operation::Submit { function, priority, client, unique, set }),
        2 => (0..3usize, 0..6usize, 0..6usize, 0..6usize)
            .prop_map(|(function, able, free, engaged)| Operation::Workers { function, able, free, engaged }),
        6 => Just(Operation::Release),
        2 => index().prop_map(Operation::Run),
        5 => (index(), 0..4u8, any::<bool>()).prop_map(|(i, e, r)| Operation::End(i, e, r)),
        1 => (0..4u64).prop_map(Operation::Leave),
        1 => index().prop_map(Operation::Cancel),
        3 => (0..5 * SECOND, -3 * SECOND..6 * SECOND).prop_map(|(now, wall)| Operation::Pass(now, wall)),
        1 => Just(Operation::Drain),
    ]
}

/// What the backlog must know of a job.
struct ExpectedJob {
    /// Clients that wait for it.
    clients: usize,
    is_background: bool,
    /// Attempts that may have run.
    attempts: u32,
    /// Whether it may be released again.
    may_repeat: bool,
}

impl ExpectedJob {
    fn new(client: Option<u64>) -> ExpectedJob {
        ExpectedJob {
            clients: usize::from(client.is_some()),
            is_background: client.is_none(),
            attempts: 0,
            may_repeat: true,
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Each submitted job ends once, is released at most once at a time, and never again after four attempts or after
    /// one that must not be repeated; each waiting client gets one final answer; all counts agree.
    #[test]
    fn each_job_ends_once_and_all_counts_agree(operations in prop::collection::vec(any_operation(), 1..150)) {
        let mut backlog = new_backlog(3);
        let mut now = 0;
        let mut wall = 100 * SECOND;
        let mut stream = 0u32;
        let mut open: BTreeMap<JobNo, ExpectedJob> = BTreeMap::new();
        let mut released_jobs: Vec<(JobNo, u32)> = Vec::new();
        for operation in operations {
            let mut ended = Vec::new();
            match operation {
                Operation::Submit { function, priority, client, unique, set } => {
                    let unique = unique.map(|u| vec![b'u', u]).unwrap_or_default();
                    if let Some(no) = backlog.by_unique(function, &unique) {
                        let waiter = client.map(|client| Waiter { client, context: () });
                        if backlog.join(no, priority, client.is_none(), waiter).is_ok() {
                            let job = open.get_mut(&no).expect("open");
                            job.clients += usize::from(client.is_some());
                            job.is_background |= client.is_none();
                        }
                    } else {
                        let job = NewJob { unique, not_before: set.map(|s| wall + s), ..new(function, priority, client) };
                        let check = backlog.check_capacity(function, priority, 100);
                        let submitted = backlog.submit(job, now);
                        prop_assert_eq!(check, submitted.map(|_| ()));
                        if let Ok(no) = submitted {
                            prop_assert!(open.insert(no, ExpectedJob::new(client)).is_none());
                        }
                    }
                }
                Operation::Workers { function, able, free, engaged } => backlog.set_workers(function, able, free, engaged),
                Operation::Release => {
                    stream += 1;
                    if let Some(released) = backlog.release(now, || stream) {
                        let job = &open[&released.no];
                        prop_assert!(job.may_repeat && job.attempts < 4 && released.attempts == job.attempts);
                        prop_assert!(released_jobs.iter().all(|o| o.0 != released.no));
                        prop_assert!(released.deadline > now);
                        released_jobs.push((released.no, stream));
                    }
                }
                Operation::Run(i) if !released_jobs.is_empty() => {
                    let (no, stream) = *i.get(&released_jobs);
                    backlog.set_running(no, stream, true);
                }
                Operation::End(i, how, repeat) if !released_jobs.is_empty() => {
                    let (no, stream) = released_jobs.remove(i.index(released_jobs.len()));
                    let ending = [Ending::Served, Ending::Rejected, Ending::Failed, Ending::TimedOut][how as usize];
                    let attempts_run = (ending != Ending::Rejected || repeat) as u32;
                    let completion = backlog.complete(no, stream, ending, attempts_run, repeat, now);
                    prop_assert!(backlog.complete(no, stream, ending, attempts_run, repeat, now).is_none());
                    let job = open.get_mut(&no).expect("open");
                    job.attempts += attempts_run;
                    job.may_repeat = job.attempts == 0 || repeat;
                    match completion.expect("it was released") {
                        Completion::Final(end) => ended.push(end),
                        Completion::Requeued => prop_assert!(job.may_repeat && ending != Ending::Served),
                    }
                }
                Operation::Leave(client) => {
                    let left = backlog.disconnect_client(client);
                    released_jobs.retain(|o| !left.contains(&o.1));
                    prop_assert_eq!(backlog.jobs_awaited_by(client), 0);
                    open.retain(|no, job| match backlog.job(*no) {
                        Some(still) => { job.clients = still.waiters.len(); true }
                        None => false,
                    });
                }
                Operation::Cancel(i) if !open.is_empty() => {
                    let all: Vec<_> = open.keys().copied().collect();
                    if let Cancellation::Cancelled(end, was) = backlog.cancel(*i.get(&all)) {
                        released_jobs.retain(|o| Some(o.1) != was);
                        ended.push(end);
                    }
                }
                Operation::Pass(by, step) => {
                    now += by;
                    wall += step;
                    ended.extend(backlog.tick(now, wall));
                }
                Operation::Drain => ended.extend(backlog.drain()),
                _ => {}
            }
            for end in ended {
                let job = open.remove(&end.no).expect("ends once");
                prop_assert_eq!(end.waiters.len(), job.clients);
                prop_assert_eq!(end.background, job.is_background);
                prop_assert_eq!(end.attempts, job.attempts);
            }
            prop_assert_eq!(backlog.len(), open.len());
            prop_assert!(backlog.len() <= 40);
            backlog.check_invariants();
        }
    }
}

fn release(backlog: &mut Backlog<(), u64>, now: Micros) -> Vec<JobNo> {
    let mut stream = 1000 + now as u32;
    let next = || {
        stream += 1;
        backlog.release(now, || stream).map(|r| r.no)
    };
    std::iter::from_fn(next).collect()
}

/// As many jobs are released as workers can take, by priority and then by age; others wait, and beyond the bound a
/// submission is rejected.
#[rstest]
fn jobs_are_released_by_priority_and_age_within_the_window() {
    let mut backlog = new_backlog(1);
    let low = backlog.submit(new(0, 2, Some(1)), 0).expect("capacity");
    let normal: Vec<_> = (0..10).map(|_| backlog.submit(new(0, 1, Some(1)), 0).expect("capacity")).collect();
    assert_eq!(backlog.submit(new(0, 1, Some(1)), 0), Err(Rejection::Queue));
    let high = backlog.submit(new(0, 0, None), 0).expect("capacity");
    assert_eq!(release(&mut backlog, 0), []);
    backlog.set_workers(0, 3, 3, 0);
    assert_eq!(release(&mut backlog, 0), [high, normal[0], normal[1]]);
    backlog.set_workers(0, 3, 0, 3);
    assert_eq!(release(&mut backlog, 1), []);
    // Runs of a fifth of the latency objective: each busy worker will be free for another job in time.
    backlog.record_run(0, SECOND / 25);
    backlog.set_workers(0, 4, 1, 3);
    assert_eq!(release(&mut backlog, 2).len(), 4);
    assert_eq!(backlog.counts(0).queued, [0, 4, 1]);
    assert!(backlog.job(low).is_some());
}

/// Many jobs of one function do not delay the few of another.
#[rstest]
fn functions_are_released_in_turn() {
    let mut backlog = new_backlog(2);
    let flood: Vec<_> = (0..10).map(|_| backlog.submit(new(0, 1, None), 0).expect("capacity")).collect();
    backlog.set_workers(0, 8, 8, 0);
    backlog.set_workers(1, 8, 8, 0);
    assert_eq!(backlog.release(0, || 1).map(|r| r.no), Some(flood[0]));
    assert_eq!(backlog.release(0, || 2).map(|r| r.no), Some(flood[1]));
    let trickle = [backlog.submit(new(1, 2, None), 0), backlog.submit(new(1, 2, None), 0)]
        .map(|t| t.expect("capacity"));
    assert_eq!(backlog.release(0, || 3).map(|r| r.no), Some(trickle[0]));
    // It has no credit for the time in which it had no jobs.
    assert_eq!(backlog.release(0, || 4).map(|r| r.no), Some(flood[2]));
    assert_eq!(backlog.release(0, || 5).map(|r| r.no), Some(trickle[1]));
}

/// A rejected job returns to the head of its queue, and the function backs off until a worker is free or the backoff
/// is over: neither a loss nor a busy loop.
#[rstest]
fn a_rejected_job_is_queued_again_after_a_backoff() {
    let mut backlog = new_backlog(1);
    let jobs: Vec<_> = (0..3).map(|_| backlog.submit(new(0, 1, Some(1)), 0).expect("capacity")).collect();
    backlog.set_workers(0, 1, 1, 0);
    assert_eq!(backlog.release(0, || 1).map(|r| r.no), Some(jobs[0]));
    assert!(matches!(backlog.complete(jobs[0], 1, Ending::Rejected, 0, true, 0), Some(Completion::Requeued)));
    assert!(backlog.release(0, || 2).is_none());
    assert_eq!(backlog.next_release_at(), Some(BACKOFF[0]));
    assert_eq!(backlog.release(BACKOFF[0], || 2).map(|r| r.no), Some(jobs[0]));
    assert!(matches!(
        backlog.complete(jobs[0], 2, Ending::Rejected, 0, true, BACKOFF[0]),
        Some(Completion::Requeued)
    ));
    assert!(backlog.release(BACKOFF[0] + 1, || 3).is_none());
    backlog.set_workers(0, 2, 2, 0);
    assert_eq!(backlog.release(BACKOFF[0] + 1, || 3).map(|r| r.no), Some(jobs[0]));
}

/// A job that may have run is queued again only where a repeat is harmless, and has four attempts at most.
#[rstest]
#[case::safe(true, 4)]
#[case::payment(false, 1)]
fn a_job_that_may_have_run_is_repeated_only_if_harmless(#[case] repeat: bool, #[case] times: u32) {
    let mut backlog = new_backlog(1);
    backlog.set_workers(0, 1, 1, 0);
    let no = backlog.submit(new(0, 1, Some(1)), 0).expect("capacity");
    for turn in 0..times {
        assert_eq!(backlog.release(0, || turn).map(|r| (r.no, r.attempts)), Some((no, turn)));
        let completion = backlog.complete(no, turn, Ending::TimedOut, 1, repeat, 0).expect("it was released");
        assert_eq!(matches!(completion, Completion::Final(_)), turn + 1 == times);
    }
    assert!(backlog.is_empty());
}

/// After a step back of the wall clock queued jobs stay queued, and none is queued twice. A thousand jobs that are due at
/// once are all queued, within the bound under which they were accepted.
#[rstest]
fn scheduled_times_follow_the_wall_clock() {
    let mut backlog = Backlog::<(), u64>::new(Bounds { jobs: 2000, bytes: 1 << 24 });
    backlog.add(FunctionSettings { max_queue: [1000; 3], ..function() });
    for _ in 0..1000 {
        let job = NewJob { not_before: Some(50 * SECOND), ..new(0, 1, None) };
        backlog.submit(job, 0).expect("capacity");
    }
    assert_eq!(backlog.submit(new(0, 1, None), 0), Err(Rejection::Queue));
    assert!(backlog.tick(0, 49 * SECOND).is_empty());
    assert_eq!((backlog.counts(0).scheduled, backlog.counts(0).jobs()), (1000, 1000));
    backlog.tick(1, 50 * SECOND);
    backlog.tick(2, 10 * SECOND);
    backlog.check_invariants();
    assert_eq!((backlog.counts(0).scheduled, backlog.counts(0).queued[1]), (0, 1000));
    // They wait for a worker from the scheduled time on.
    assert!(backlog.tick(60 * SECOND, 99 * SECOND).is_empty());
    assert_eq!(backlog.tick(60 * SECOND + 1, 99 * SECOND).len(), 1000);
}

/// A unique id stands for one job: a second submission joins the first, raises its priority, and keeps it alive.
#[rstest]
fn a_joined_job_takes_the_higher_priority_and_outlives_its_client() {
    let mut backlog = new_backlog(1);
    let other = backlog.submit(new(0, 1, Some(9)), 0).expect("capacity");
    let job = NewJob { unique: b"u".to_vec(), ..new(0, 2, Some(1)) };
    let no = backlog.submit(job, 0).expect("capacity");
    assert_eq!((backlog.by_unique(0, b"u"), backlog.by_unique(0, b"")), (Some(no), None));
    backlog.join(no, 0, true, None).expect("capacity");
    assert!(backlog.disconnect_client(1).is_empty());
    backlog.check_invariants();
    backlog.set_workers(0, 2, 2, 0);
    assert_eq!(release(&mut backlog, 0), [no, other]);
}

/// A job that is queued, or released and not running yet, can be cancelled; one that a worker runs cannot.
#[rstest]
fn cancel_ends_a_job_that_no_worker_has() {
    let mut backlog = new_backlog(1);
    backlog.set_workers(0, 1, 1, 0);
    let no = backlog.submit(new(0, 1, None), 0).expect("capacity");
    assert_eq!(backlog.release(0, || 5).map(|r| r.no), Some(no));
    backlog.set_running(no, 5, true);
    assert!(matches!(backlog.cancel(no), Cancellation::Running));
    backlog.set_running(no, 5, false);
    assert!(matches!(backlog.cancel(no), Cancellation::Cancelled(_, Some(5))));
    assert!(matches!(backlog.cancel(no), Cancellation::Unknown));
    assert!(backlog.complete(no, 5, Ending::Served, 1, true, 0).is_none());
    backlog.check_invariants();
}
