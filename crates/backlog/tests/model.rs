//! The backlog against its rules under any order of events, and the failures it exists to handle.

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
        window: Window::Workers { aim: SECOND / 5 },
    }
}

fn backlog(functions: usize) -> Backlog<(), u64> {
    let mut backlog = Backlog::new(Bounds { jobs: 40, bytes: 1 << 20 });
    (0..functions).for_each(|_| _ = backlog.add(function()));
    backlog
}

fn new(function: usize, priority: usize, client: Option<u64>) -> NewJob<(), u64> {
    NewJob {
        function,
        priority,
        unique: Vec::new(),
        background: client.is_none(),
        waiter: client.map(|client| Waiter { client, with: () }),
        not_before: None,
        bytes: 100,
        payload: Arc::new(0),
    }
}

#[derive(Clone, Debug)]
enum Do {
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

fn any_do() -> impl Strategy<Value = Do> {
    let index = any::<prop::sample::Index>;
    prop_oneof![
        6 => (0..3usize, 0..3usize, prop::option::of(0..4u64), prop::option::of(0..4u8),
              prop::option::weighted(0.2, 0..20 * SECOND))
            .prop_map(|(function, priority, client, unique, set)| Do::Submit { function, priority, client, unique, set }),
        2 => (0..3usize, 0..6usize, 0..6usize, 0..6usize)
            .prop_map(|(function, able, free, engaged)| Do::Workers { function, able, free, engaged }),
        6 => Just(Do::Release),
        2 => index().prop_map(Do::Run),
        5 => (index(), 0..4u8, any::<bool>()).prop_map(|(i, e, r)| Do::End(i, e, r)),
        1 => (0..4u64).prop_map(Do::Leave),
        1 => index().prop_map(Do::Cancel),
        3 => (0..5 * SECOND, -3 * SECOND..6 * SECOND).prop_map(|(now, wall)| Do::Pass(now, wall)),
        1 => Just(Do::Drain),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Each job that was created ends once, is out at most once at a time, and never again after four attempts or
    /// after one that must not be repeated; each client that waits has one last word; all counts agree.
    #[test]
    fn nothing_is_lost_or_doubled(events in prop::collection::vec(any_do(), 1..150)) {
        let mut b = backlog(3);
        let (mut now, mut wall, mut stream) = (0, 100 * SECOND, 0u32);
        // Job: waiters owed a last word, background, attempts that may have run, may be sent again.
        let mut open: BTreeMap<JobNo, (usize, bool, u32, bool)> = BTreeMap::new();
        let mut out: Vec<(JobNo, u32)> = Vec::new();
        for event in events {
            let mut ended = Vec::new();
            match event {
                Do::Submit { function, priority, client, unique, set } => {
                    let unique = unique.map(|u| vec![b'u', u]).unwrap_or_default();
                    if let Some(no) = b.by_unique(function, &unique) {
                        let waiter = client.map(|client| Waiter { client, with: () });
                        if b.join(no, priority, client.is_none(), waiter).is_ok() {
                            let job = open.get_mut(&no).expect("open");
                            job.0 += client.is_some() as usize;
                            job.1 |= client.is_none();
                        }
                    } else {
                        let job = NewJob { unique, not_before: set.map(|s| wall + s), ..new(function, priority, client) };
                        let room = b.check_room(function, priority, 100);
                        let taken = b.submit(job, now);
                        prop_assert_eq!(room, taken.map(|_| ()));
                        if let Ok(no) = taken {
                            prop_assert!(open.insert(no, (client.is_some() as usize, client.is_none(), 0, true)).is_none());
                        }
                    }
                }
                Do::Workers { function, able, free, engaged } => b.set_workers(function, able, free, engaged),
                Do::Release => {
                    stream += 1;
                    if let Some(released) = b.release(now, || stream) {
                        let job = open[&released.no];
                        prop_assert!(job.3 && job.2 < 4 && released.attempts == job.2);
                        prop_assert!(out.iter().all(|o| o.0 != released.no));
                        prop_assert!(released.deadline > now);
                        out.push((released.no, stream));
                    }
                }
                Do::Run(i) if !out.is_empty() => {
                    let (no, stream) = *i.get(&out);
                    b.set_running(no, stream, true);
                }
                Do::End(i, how, repeat) if !out.is_empty() => {
                    let (no, stream) = out.remove(i.index(out.len()));
                    let ending = [Ending::Served, Ending::Refused, Ending::Failed, Ending::TimedOut][how as usize];
                    let ran = (ending != Ending::Refused || repeat) as u32;
                    let fate = b.complete(no, stream, ending, ran, repeat, now);
                    prop_assert!(b.complete(no, stream, ending, ran, repeat, now).is_none());
                    let job = open.get_mut(&no).expect("open");
                    job.2 += ran;
                    job.3 = job.2 == 0 || repeat;
                    match fate.expect("it was out") {
                        Completion::Final(end) => ended.push(end),
                        Completion::Requeued => prop_assert!(job.3 && ending != Ending::Served),
                    }
                }
                Do::Leave(client) => {
                    let left = b.client_left(client);
                    out.retain(|o| !left.contains(&o.1));
                    prop_assert_eq!(b.jobs_awaited_by(client), 0);
                    open.retain(|no, job| match b.job(*no) {
                        Some(still) => { job.0 = still.waiters.len(); true }
                        None => false,
                    });
                }
                Do::Cancel(i) if !open.is_empty() => {
                    let all: Vec<_> = open.keys().copied().collect();
                    if let Cancellation::Cancelled(end, was) = b.cancel(*i.get(&all)) {
                        out.retain(|o| Some(o.1) != was);
                        ended.push(end);
                    }
                }
                Do::Pass(by, step) => {
                    (now, wall) = (now + by, wall + step);
                    ended.extend(b.tick(now, wall));
                }
                Do::Drain => ended.extend(b.drain()),
                _ => {}
            }
            for end in ended {
                let job = open.remove(&end.no).expect("ends once");
                prop_assert_eq!(end.waiters.len(), job.0);
                prop_assert_eq!(end.background, job.1);
                prop_assert_eq!(end.attempts, job.2);
            }
            prop_assert_eq!(b.len(), open.len());
            prop_assert!(b.len() <= 40);
            b.check_invariants();
        }
    }
}

fn release(b: &mut Backlog<(), u64>, now: Micros) -> Vec<JobNo> {
    let mut stream = 1000 + now as u32;
    let next = || {
        stream += 1;
        b.release(now, || stream).map(|r| r.no)
    };
    std::iter::from_fn(next).collect()
}

/// The decisions get what workers can take, high before low, old before new; the rest waits, and beyond the bound is
/// turned away in words.
#[rstest]
fn the_oldest_of_the_highest_go_first_and_no_more_than_fit() {
    let mut b = backlog(1);
    let low = b.submit(new(0, 2, Some(1)), 0).expect("room");
    let normal: Vec<_> = (0..10).map(|_| b.submit(new(0, 1, Some(1)), 0).expect("room")).collect();
    assert_eq!(b.submit(new(0, 1, Some(1)), 0), Err(Rejection::Queue));
    let high = b.submit(new(0, 0, None), 0).expect("room");
    assert_eq!(release(&mut b, 0), []);
    b.set_workers(0, 3, 3, 0);
    assert_eq!(release(&mut b, 0), [high, normal[0], normal[1]]);
    b.set_workers(0, 3, 0, 3);
    assert_eq!(release(&mut b, 1), []);
    // Runs of a fifth of the aim: each busy worker will be free for another in time.
    b.record_run(0, SECOND / 25);
    b.set_workers(0, 4, 1, 3);
    assert_eq!(release(&mut b, 2).len(), 4);
    assert_eq!(b.counts(0).queued, [0, 4, 1]);
    assert!(b.job(low).is_some());
}

/// A flood of one function does not hold up a trickle of another.
#[rstest]
fn functions_take_turns() {
    let mut b = backlog(2);
    let flood: Vec<_> = (0..10).map(|_| b.submit(new(0, 1, None), 0).expect("room")).collect();
    b.set_workers(0, 8, 8, 0);
    b.set_workers(1, 8, 8, 0);
    assert_eq!(b.release(0, || 1).map(|r| r.no), Some(flood[0]));
    assert_eq!(b.release(0, || 2).map(|r| r.no), Some(flood[1]));
    let trickle = [b.submit(new(1, 2, None), 0), b.submit(new(1, 2, None), 0)].map(|t| t.expect("room"));
    assert_eq!(b.release(0, || 3).map(|r| r.no), Some(trickle[0]));
    // It has no credit for the time in which it had none.
    assert_eq!(b.release(0, || 4).map(|r| r.no), Some(flood[2]));
    assert_eq!(b.release(0, || 5).map(|r| r.no), Some(trickle[1]));
}

/// A refusal puts a job back at the head, and the function rests until a worker is free or a short span has passed:
/// neither a loss nor a busy loop.
#[rstest]
fn what_is_turned_away_waits_again() {
    let mut b = backlog(1);
    let jobs: Vec<_> = (0..3).map(|_| b.submit(new(0, 1, Some(1)), 0).expect("room")).collect();
    b.set_workers(0, 1, 1, 0);
    assert_eq!(b.release(0, || 1).map(|r| r.no), Some(jobs[0]));
    assert!(matches!(b.complete(jobs[0], 1, Ending::Refused, 0, true, 0), Some(Completion::Requeued)));
    assert!(b.release(0, || 2).is_none());
    assert_eq!(b.next_release_at(), Some(BACKOFF[0]));
    assert_eq!(b.release(BACKOFF[0], || 2).map(|r| r.no), Some(jobs[0]));
    assert!(matches!(
        b.complete(jobs[0], 2, Ending::Refused, 0, true, BACKOFF[0]),
        Some(Completion::Requeued)
    ));
    assert!(b.release(BACKOFF[0] + 1, || 3).is_none());
    b.set_workers(0, 2, 2, 0);
    assert_eq!(b.release(BACKOFF[0] + 1, || 3).map(|r| r.no), Some(jobs[0]));
}

/// What may have run is queued again only where a repeat is harmless, and four times at most.
#[rstest]
#[case::safe(true, 4)]
#[case::payment(false, 1)]
fn what_may_have_run(#[case] repeat: bool, #[case] times: u32) {
    let mut b = backlog(1);
    b.set_workers(0, 1, 1, 0);
    let no = b.submit(new(0, 1, Some(1)), 0).expect("room");
    for turn in 0..times {
        assert_eq!(b.release(0, || turn).map(|r| (r.no, r.attempts)), Some((no, turn)));
        let fate = b.complete(no, turn, Ending::TimedOut, 1, repeat, 0).expect("it was out");
        assert_eq!(matches!(fate, Completion::Final(_)), turn + 1 == times);
    }
    assert!(b.is_empty());
}

/// The wall clock steps back: what was queued stays queued, and nothing comes twice. A thousand due at once are all
/// queued, within the bound that they were taken under.
#[rstest]
fn set_times_follow_the_wall_clock() {
    let mut b = Backlog::<(), u64>::new(Bounds { jobs: 2000, bytes: 1 << 24 });
    b.add(FunctionSettings { max_queue: [1000; 3], ..function() });
    for _ in 0..1000 {
        let job = NewJob { not_before: Some(50 * SECOND), ..new(0, 1, None) };
        b.submit(job, 0).expect("room");
    }
    assert_eq!(b.submit(new(0, 1, None), 0), Err(Rejection::Queue));
    assert!(b.tick(0, 49 * SECOND).is_empty());
    assert_eq!((b.counts(0).scheduled, b.counts(0).jobs()), (1000, 1000));
    b.tick(1, 50 * SECOND);
    b.tick(2, 10 * SECOND);
    b.check_invariants();
    assert_eq!((b.counts(0).scheduled, b.counts(0).queued[1]), (0, 1000));
    // Their patience counts from the set time on.
    assert!(b.tick(60 * SECOND, 99 * SECOND).is_empty());
    assert_eq!(b.tick(60 * SECOND + 1, 99 * SECOND).len(), 1000);
}

/// A unique id names one job: the second submission waits for the first's, raises it, and keeps it alive.
#[rstest]
fn joined_jobs() {
    let mut b = backlog(1);
    let other = b.submit(new(0, 1, Some(9)), 0).expect("room");
    let job = NewJob { unique: b"u".to_vec(), ..new(0, 2, Some(1)) };
    let no = b.submit(job, 0).expect("room");
    assert_eq!((b.by_unique(0, b"u"), b.by_unique(0, b"")), (Some(no), None));
    b.join(no, 0, true, None).expect("room");
    assert!(b.client_left(1).is_empty());
    b.check_invariants();
    b.set_workers(0, 2, 2, 0);
    assert_eq!(release(&mut b, 0), [no, other]);
}

/// Cancelling reaches a job that waits or is out and not yet taken, never one that a worker has.
#[rstest]
fn cancelling() {
    let mut b = backlog(1);
    b.set_workers(0, 1, 1, 0);
    let no = b.submit(new(0, 1, None), 0).expect("room");
    assert_eq!(b.release(0, || 5).map(|r| r.no), Some(no));
    b.set_running(no, 5, true);
    assert!(matches!(b.cancel(no), Cancellation::Running));
    b.set_running(no, 5, false);
    assert!(matches!(b.cancel(no), Cancellation::Cancelled(_, Some(5))));
    assert!(matches!(b.cancel(no), Cancellation::Unknown));
    assert!(b.complete(no, 5, Ending::Served, 1, true, 0).is_none());
    b.check_invariants();
}
