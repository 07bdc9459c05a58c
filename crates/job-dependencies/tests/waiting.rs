//! The hard cases of waiting jobs, and the list against a simple one that scans.

use proptest::prelude::*;
use roselock_job_dependencies::*;
use rstest::rstest;
use std::collections::BTreeMap;

const SECOND: Micros = 1_000_000;

fn settings(shares: &[f64]) -> Settings {
    Settings {
        shares: shares.to_vec(),
        max_jobs: 100_000,
        max_jobs_per_tenant: 50_000,
        max_outcomes: 100,
        outcome_retention: 60 * SECOND,
    }
}

fn new(id: JobId, on: &[(JobId, Condition)]) -> NewJob<JobId> {
    let dependencies = Dependencies { prerequisites: on.to_vec(), ..Dependencies::default() };
    NewJob { id, tenant: 0, class: 0, not_before: None, dependencies, deadline: 1000 * SECOND, payload: id }
}

fn list() -> Waiting<JobId> {
    Waiting::new(settings(&[1.0]))
}

fn released(w: &mut Waiting<JobId>, now: Micros) -> Vec<JobId> {
    std::iter::from_fn(|| w.release(now).map(|r| r.id)).collect()
}

fn ends(ended: &[EndedJob<JobId>]) -> Vec<(JobId, EndReason)> {
    ended.iter().map(|e| (e.id, e.why)).collect()
}

/// A plan change takes effect once the payment has cleared; what else becomes of the payment ends it, with those that
/// wait for it in turn. A payment whose outcome is unknown has not cleared, and has not failed.
#[rstest]
#[case(Outcome::Served, Condition::Served, true)]
#[case(Outcome::Failed, Condition::Served, false)]
#[case(Outcome::Unknown, Condition::Served, false)]
#[case(Outcome::Unknown, Condition::Failed, false)]
#[case(Outcome::Unknown, Condition::Ended, true)]
#[case(Outcome::Refused, Condition::Failed, true)]
fn after_a_payment(#[case] became: Outcome, #[case] wants: Condition, #[case] runs: bool) {
    let mut w = list();
    w.submit(new(1, &[]), 0, 0).expect("room");
    w.submit(new(2, &[(1, wants)]), 0, 0).expect("room");
    w.submit(new(3, &[(2, Condition::Served)]), 0, 0).expect("room");
    assert_eq!(released(&mut w, 0), [1]);
    let ended = w.complete(1, became, 5);
    if runs {
        assert_eq!((ends(&ended), released(&mut w, 5)), (vec![], vec![2]));
    } else {
        let why = [
            (2, EndReason::Prerequisite(1, Some(became))),
            (3, EndReason::Prerequisite(2, Some(Outcome::Dropped))),
        ];
        assert_eq!((ends(&ended), released(&mut w, 5)), (why.to_vec(), vec![]));
        assert!(w.is_empty());
    }
}

/// A prerequisite that ended just before counts; one that nobody knows does not, unless it may yet come.
#[rstest]
fn known_and_unknown() {
    let mut w = list();
    w.submit(new(1, &[]), 0, 0).expect("room");
    released(&mut w, 0);
    w.complete(1, Outcome::Served, 0);
    assert_eq!(w.submit(new(2, &[(1, Condition::Served)]), SECOND, 0), Ok(vec![]));
    assert_eq!(released(&mut w, SECOND), [2]);
    let late = w.submit(new(3, &[(1, Condition::Served)]), 61 * SECOND, 0);
    w.tick(61 * SECOND, 0);
    assert_eq!(late.map(|e| e.len()), Ok(0), "the outcome was still kept when it came");
    let unknown = w.submit(new(4, &[(1, Condition::Served)]), 62 * SECOND, 0).expect("room");
    assert_eq!(ends(&unknown), [(4, EndReason::Prerequisite(1, None))]);
    let mut awaits = new(5, &[(6, Condition::Served)]);
    awaits.dependencies.unknown = UnknownPrerequisite::Await;
    w.submit(awaits, 62 * SECOND, 0).expect("room");
    released(&mut w, 62 * SECOND);
    w.submit(new(6, &[]), 62 * SECOND, 0).expect("room");
    assert_eq!(released(&mut w, 62 * SECOND), [6]);
    w.complete(6, Outcome::Served, 62 * SECOND);
    assert_eq!(released(&mut w, 62 * SECOND), [5]);
}

#[rstest]
fn a_diamond_runs_its_last_job_once() {
    let mut w = list();
    for (id, on) in [(1, vec![]), (2, vec![1]), (3, vec![1]), (4, vec![2, 3])] {
        let on: Vec<_> = on.into_iter().map(|o| (o, Condition::Served)).collect();
        w.submit(new(id, &on), 0, 0).expect("room");
    }
    for step in [vec![1], vec![2, 3], vec![4], vec![]] {
        let out = released(&mut w, 0);
        assert_eq!(out, step);
        out.into_iter().for_each(|id| assert_eq!(w.complete(id, Outcome::Served, 0), []));
    }
    assert!(w.is_empty());
}

/// Rings and chains that are too long are turned away on arrival, by name.
#[rstest]
fn rings_are_named() {
    let mut w = list();
    let awaits = |id, on: JobId| {
        let mut job = new(id, &[(on, Condition::Served)]);
        job.dependencies.unknown = UnknownPrerequisite::Await;
        job
    };
    assert_eq!(w.submit(awaits(1, 1), 0, 0), Err(Rejection::Cycle(vec![1])));
    w.submit(awaits(1, 2), 0, 0).expect("room");
    w.submit(awaits(2, 3), 0, 0).expect("room");
    assert_eq!(w.submit(awaits(3, 1), 0, 0), Err(Rejection::Cycle(vec![3, 1, 2])));
    w.submit(new(3, &[]), 0, 0).expect("no ring");
    for id in 4..40 {
        match w.submit(awaits(id, id - 1), 0, 0) {
            Ok(_) => assert!(id < 20),
            Err(why) => return assert_eq!((why, id > 10), (Rejection::TooDeep, true)),
        }
    }
    panic!("a chain without an end");
}

/// Any of two: the first that is served does; both must have failed for it to fail.
#[rstest]
fn any_of_two() {
    for (first, second, runs) in [
        (Outcome::Served, None, true),
        (Outcome::Failed, Some(Outcome::Served), true),
        (Outcome::Failed, Some(Outcome::Failed), false),
    ] {
        let mut w = list();
        (1..=2).for_each(|id| _ = w.submit(new(id, &[]), 0, 0).expect("room"));
        let mut job = new(3, &[(1, Condition::Served), (2, Condition::Served)]);
        job.dependencies.quorum = Quorum::Any;
        w.submit(job, 0, 0).expect("room");
        assert_eq!(released(&mut w, 0), [1, 2]);
        let mut ended = w.complete(1, first, 0);
        second.into_iter().for_each(|b| ended.extend(w.complete(2, b, 0)));
        assert_eq!((released(&mut w, 0), ended.len()), if runs { (vec![3], 0) } else { (vec![], 1) });
    }
}

/// Cancelling ends those that wait for it, once; what was released is not cancelled; an id is free after its end and
/// not before.
#[rstest]
fn cancelled_and_submitted_again() {
    let mut w = list();
    w.submit(new(1, &[]), 0, 0).expect("room");
    w.submit(new(2, &[(1, Condition::Served)]), 0, 0).expect("room");
    assert_eq!(w.submit(new(1, &[]), 0, 0), Err(Rejection::Duplicate));
    assert_eq!(
        ends(&w.cancel(1, 0)),
        [(1, EndReason::Cancelled), (2, EndReason::Prerequisite(1, Some(Outcome::Dropped)))]
    );
    assert_eq!(w.cancel(1, 0), []);
    w.submit(new(1, &[]), 0, 0).expect("free again");
    assert_eq!(released(&mut w, 0), [1]);
    assert_eq!(w.cancel(1, 0), []);
    assert_eq!(w.submit(new(1, &[]), 0, 0), Err(Rejection::Duplicate));
}

/// The wall clock steps an hour back and ahead: nothing comes twice, nothing is forgotten; limits go by the other clock.
#[rstest]
fn the_wall_clock_steps() {
    let mut w = list();
    let hour = 3600 * SECOND;
    for id in 0..10 {
        let job = NewJob { not_before: Some(hour), deadline: 100 * SECOND, ..new(id, &[]) };
        w.submit(job, 0, 10).expect("room");
    }
    assert!(w.tick(1, hour - 1).is_empty() && w.release(1).is_none());
    assert!(w.tick(2, -hour).is_empty() && w.release(2).is_none());
    w.tick(3, 2 * hour);
    w.tick(4, 0);
    assert_eq!(released(&mut w, 4), (0..10).collect::<Vec<_>>());
    w.tick(5, 2 * hour);
    assert_eq!((released(&mut w, 5), w.tick(200 * SECOND, 0).len()), (vec![], 0));
}

/// A flood from one brand at ten times the capacity: each small brand's longest wait stays within the stated bound,
/// and unused shares are used.
#[rstest]
fn no_brand_starves() {
    let shares = [20.0, 19.0, 18.0, 16.0, 13.0, 7.0, 4.0, 3.0];
    let mut w: Waiting<JobId> = Waiting::new(Settings { max_jobs_per_tenant: 200, ..settings(&shares) });
    let per_second = 100.0;
    let (mut id, mut longest, mut most) = (0, [0; 8], [0; 8]);
    let (mut out, mut steps) = (0, 0);
    for now in (0..60 * SECOND).step_by(10_000) {
        // Ten jobs of the flood for each that leaves, and half of its share for every other.
        for (tenant, share) in shares.iter().enumerate() {
            let n = if tenant == 0 {
                10
            } else {
                (steps as f64 * share / 200.0) as i64 - ((steps - 1) as f64 * share / 200.0) as i64
            };
            for _ in 0..n {
                id += 1;
                let job = NewJob { tenant, class: (id % 3) as usize, ..new(id, &[]) };
                let _ = w.submit(job, now, 0);
            }
            most[tenant] = most[tenant].max(w.ready_jobs(tenant));
        }
        steps += 1;
        if let Some(job) = w.release(now) {
            longest[job.tenant] = longest[job.tenant].max(now - job.ready_since);
            w.complete(job.id, Outcome::Served, now);
            out += 1;
        }
    }
    assert_eq!(out, 6000, "capacity is used whole");
    for tenant in 0..8 {
        let bound = w.longest_wait(tenant, most[tenant], per_second);
        assert!(longest[tenant] <= bound, "{tenant}: {} of {bound}", longest[tenant]);
        assert!(tenant == 0 || longest[tenant] < 2 * SECOND, "{tenant}: {}", longest[tenant]);
    }
}

/// The simple list: everything is found by looking at all.
#[derive(Default)]
struct Simple {
    ready: Vec<(JobId, usize, usize)>,
    turns: Vec<f64>,
    since: Vec<u32>,
    turn: f64,
}

impl Simple {
    fn push(&mut self, job: (JobId, usize, usize)) {
        if !self.ready.iter().any(|j| j.1 == job.1) {
            self.turns[job.1] = self.turns[job.1].max(self.turn);
        }
        self.ready.push(job);
    }
    fn release(&mut self, shares: &[f64]) -> Option<JobId> {
        let tenants: std::collections::BTreeSet<usize> = self.ready.iter().map(|j| j.1).collect();
        let tenant =
            tenants.into_iter().min_by(|a, b| self.turns[*a].total_cmp(&self.turns[*b]).then(a.cmp(b)))?;
        self.turn = self.turn.max(self.turns[tenant]);
        self.turns[tenant] += 1.0 / shares[tenant];
        self.since[tenant] += 1;
        let own = self.ready.iter().enumerate().filter(|j| j.1.1 == tenant);
        let at = if self.since[tenant] >= AGEING_INTERVAL {
            self.since[tenant] = 0;
            own.map(|j| j.0).min()?
        } else {
            own.min_by_key(|j| (j.1.2, j.0))?.0
        };
        Some(self.ready.remove(at).0)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    /// The same releases as the simple list, for any arrivals, releases, ends and cancels of jobs with prerequisites;
    /// each job is released once or ends once.
    #[test]
    fn as_the_simple_list(events in prop::collection::vec((0..6u8, 0..4usize, 0..3usize, 0..30u64, 0..30u64), 1..200)) {
        let shares = [5.0, 3.0, 1.0, 0.5];
        let mut w: Waiting<JobId> = Waiting::new(settings(&shares));
        let mut simple = Simple { turns: vec![0.0; 4], since: vec![0; 4], ..Simple::default() };
        let mut open: BTreeMap<JobId, (usize, usize, Option<JobId>)> = BTreeMap::new();
        let mut out: Vec<JobId> = Vec::new();
        for (now, (what, tenant, class, id, on)) in events.into_iter().enumerate() {
            let now = now as Micros;
            let mut became = None;
            let mut ended = Vec::new();
            match what {
                0..=2 => {
                    let waits = what == 2 && (open.contains_key(&on) || out.contains(&on)) && on != id;
                    let prerequisite = if waits { vec![(on, Condition::Served)] } else { vec![] };
                    let job = NewJob { tenant, class, ..new(id, &prerequisite) };
                    if let Ok(at_once) = w.submit(job, now, 0) {
                        prop_assert!(at_once.is_empty());
                        open.insert(id, (tenant, class, waits.then_some(on)));
                        if !waits {
                            simple.push((id, tenant, class));
                        }
                    }
                }
                3 => {
                    let released = w.release(now).map(|r| r.id);
                    prop_assert_eq!(released, simple.release(&shares));
                    if let Some(id) = released {
                        prop_assert!(open.remove(&id).is_some());
                        out.push(id);
                    }
                }
                4 => if let Some(id) = out.pop() {
                    let with = if on % 3 == 0 { Outcome::Failed } else { Outcome::Served };
                    became = Some((id, with));
                    ended = w.complete(id, with, now);
                },
                _ => ended = w.cancel(id, now),
            }
            for end in &ended {
                prop_assert!(open.remove(&end.id).is_some(), "{} ended twice", end.id);
                simple.ready.retain(|j| j.0 != end.id);
            }
            if let Some((id, Outcome::Served)) = became {
                // In the order in which they came to wait: that of the list of all jobs, by key of insertion.
                let mut met: Vec<_> = open.iter().filter(|j| j.1.2 == Some(id)).map(|j| (*j.0, *j.1)).collect();
                prop_assume!(met.len() <= 1);
                if let Some((id, (tenant, class, _))) = met.pop() {
                    open.insert(id, (tenant, class, None));
                    simple.push((id, tenant, class));
                }
            }
            prop_assert_eq!(w.len(), open.len() + out.len());
        }
        let drained = w.drain(1000);
        prop_assert_eq!(drained.len(), open.len());
        prop_assert_eq!(w.len(), out.len());
    }
}
