//! Edge cases of waiting jobs, and a comparison with a simple model that scans all jobs.

use proptest::prelude::*;
use roselock_job_dependencies::*;
use rstest::rstest;
use std::collections::BTreeMap;

const SECOND: Micros = 1_000_000;

/// Settings with these shares and ample limits.
fn settings(shares: &[f64]) -> Settings {
    Settings {
        shares: shares.to_vec(),
        max_jobs: 100_000,
        max_jobs_per_tenant: 50_000,
        max_outcomes: 100,
        outcome_retention: 60 * SECOND,
    }
}

/// A job with these prerequisites.
fn new(id: JobId, on: &[(JobId, Condition)]) -> NewJob<JobId> {
    let dependencies = Dependencies { prerequisites: on.to_vec(), ..Dependencies::default() };
    NewJob { id, tenant: 0, class: 0, not_before: None, dependencies, deadline: 1000 * SECOND, payload: id }
}

/// An empty list with one tenant.
fn list() -> Waiting<JobId> {
    Waiting::new(settings(&[1.0]))
}

/// Releases all ready jobs; their ids.
fn released(waiting: &mut Waiting<JobId>, now: Micros) -> Vec<JobId> {
    std::iter::from_fn(|| waiting.release(now).map(|r| r.id)).collect()
}

/// The ids of ended jobs, and why they ended.
fn ends(ended: &[EndedJob<JobId>]) -> Vec<(JobId, EndReason)> {
    ended.iter().map(|e| (e.id, e.why)).collect()
}

/// A job runs once its prerequisite has an outcome that meets the condition; any other outcome ends it, and the jobs that
/// wait for it in turn. An unknown outcome counts neither as served nor as failed.
#[rstest]
#[case(Outcome::Served, Condition::Served, true)]
#[case(Outcome::Failed, Condition::Served, false)]
#[case(Outcome::Unknown, Condition::Served, false)]
#[case(Outcome::Unknown, Condition::Failed, false)]
#[case(Outcome::Unknown, Condition::Ended, true)]
#[case(Outcome::Refused, Condition::Failed, true)]
fn a_job_runs_if_the_outcome_meets_its_condition(
    #[case] became: Outcome,
    #[case] wants: Condition,
    #[case] runs: bool,
) {
    let mut waiting = list();
    waiting.submit(new(1, &[]), 0, 0).expect("room");
    waiting.submit(new(2, &[(1, wants)]), 0, 0).expect("room");
    waiting.submit(new(3, &[(2, Condition::Served)]), 0, 0).expect("room");
    assert_eq!(released(&mut waiting, 0), [1]);
    let ended = waiting.complete(1, became, 5);
    if runs {
        assert_eq!((ends(&ended), released(&mut waiting, 5)), (vec![], vec![2]));
    } else {
        let why = [
            (2, EndReason::Prerequisite(1, Some(became))),
            (3, EndReason::Prerequisite(2, Some(Outcome::Dropped))),
        ];
        assert_eq!((ends(&ended), released(&mut waiting, 5)), (why.to_vec(), vec![]));
        assert!(waiting.is_empty());
    }
}

/// The outcome of a prerequisite counts while it is stored; an unknown prerequisite does not meet a condition, unless it may
/// still be submitted.
#[rstest]
fn stored_outcomes_count_and_unknown_prerequisites_do_not() {
    let mut waiting = list();
    waiting.submit(new(1, &[]), 0, 0).expect("room");
    released(&mut waiting, 0);
    waiting.complete(1, Outcome::Served, 0);
    assert_eq!(waiting.submit(new(2, &[(1, Condition::Served)]), SECOND, 0), Ok(vec![]));
    assert_eq!(released(&mut waiting, SECOND), [2]);
    let late = waiting.submit(new(3, &[(1, Condition::Served)]), 61 * SECOND, 0);
    waiting.tick(61 * SECOND, 0);
    assert_eq!(late.map(|e| e.len()), Ok(0), "the outcome was still kept when it came");
    let unknown = waiting.submit(new(4, &[(1, Condition::Served)]), 62 * SECOND, 0).expect("room");
    assert_eq!(ends(&unknown), [(4, EndReason::Prerequisite(1, None))]);
    let mut awaits = new(5, &[(6, Condition::Served)]);
    awaits.dependencies.unknown = UnknownPrerequisite::Await;
    waiting.submit(awaits, 62 * SECOND, 0).expect("room");
    released(&mut waiting, 62 * SECOND);
    waiting.submit(new(6, &[]), 62 * SECOND, 0).expect("room");
    assert_eq!(released(&mut waiting, 62 * SECOND), [6]);
    waiting.complete(6, Outcome::Served, 62 * SECOND);
    assert_eq!(released(&mut waiting, 62 * SECOND), [5]);
}

#[rstest]
fn the_last_job_of_a_diamond_runs_once() {
    let mut waiting = list();
    for (id, on) in [(1, vec![]), (2, vec![1]), (3, vec![1]), (4, vec![2, 3])] {
        let on: Vec<_> = on.into_iter().map(|o| (o, Condition::Served)).collect();
        waiting.submit(new(id, &on), 0, 0).expect("room");
    }
    for step in [vec![1], vec![2, 3], vec![4], vec![]] {
        let out = released(&mut waiting, 0);
        assert_eq!(out, step);
        for id in out {
            assert_eq!(waiting.complete(id, Outcome::Served, 0), []);
        }
    }
    assert!(waiting.is_empty());
}

/// A job that closes a cycle or makes a chain too long is rejected, and the rejection names the cycle.
#[rstest]
fn cycles_and_long_chains_are_rejected() {
    let mut waiting = list();
    let awaits = |id, on: JobId| {
        let mut job = new(id, &[(on, Condition::Served)]);
        job.dependencies.unknown = UnknownPrerequisite::Await;
        job
    };
    assert_eq!(waiting.submit(awaits(1, 1), 0, 0), Err(Rejection::Cycle(vec![1])));
    waiting.submit(awaits(1, 2), 0, 0).expect("room");
    waiting.submit(awaits(2, 3), 0, 0).expect("room");
    assert_eq!(waiting.submit(awaits(3, 1), 0, 0), Err(Rejection::Cycle(vec![3, 1, 2])));
    waiting.submit(new(3, &[]), 0, 0).expect("no ring");
    for id in 4..40 {
        match waiting.submit(awaits(id, id - 1), 0, 0) {
            Ok(_) => assert!(id < 20),
            Err(why) => return assert_eq!((why, id > 10), (Rejection::TooDeep, true)),
        }
    }
    panic!("a chain without an end");
}

/// With a quorum of one of two prerequisites the first served one is enough, and the job ends only if both fail.
#[rstest]
fn a_quorum_of_any_needs_one_served_prerequisite() {
    for (first, second, runs) in [
        (Outcome::Served, None, true),
        (Outcome::Failed, Some(Outcome::Served), true),
        (Outcome::Failed, Some(Outcome::Failed), false),
    ] {
        let mut waiting = list();
        for id in 1..=2 {
            waiting.submit(new(id, &[]), 0, 0).expect("room");
        }
        let mut job = new(3, &[(1, Condition::Served), (2, Condition::Served)]);
        job.dependencies.quorum = Quorum::Any;
        waiting.submit(job, 0, 0).expect("room");
        assert_eq!(released(&mut waiting, 0), [1, 2]);
        let mut ended = waiting.complete(1, first, 0);
        if let Some(outcome) = second {
            ended.extend(waiting.complete(2, outcome, 0));
        }
        assert_eq!((released(&mut waiting, 0), ended.len()), if runs { (vec![3], 0) } else { (vec![], 1) });
    }
}

/// Cancelling a job ends the jobs that wait for it, once; a released job is not cancelled; an id is free after the end of its
/// job and not before.
#[rstest]
fn a_cancelled_id_can_be_submitted_again() {
    let mut waiting = list();
    waiting.submit(new(1, &[]), 0, 0).expect("room");
    waiting.submit(new(2, &[(1, Condition::Served)]), 0, 0).expect("room");
    assert_eq!(waiting.submit(new(1, &[]), 0, 0), Err(Rejection::Duplicate));
    assert_eq!(
        ends(&waiting.cancel(1, 0)),
        [(1, EndReason::Cancelled), (2, EndReason::Prerequisite(1, Some(Outcome::Dropped)))]
    );
    assert_eq!(waiting.cancel(1, 0), []);
    waiting.submit(new(1, &[]), 0, 0).expect("free again");
    assert_eq!(released(&mut waiting, 0), [1]);
    assert_eq!(waiting.cancel(1, 0), []);
    assert_eq!(waiting.submit(new(1, &[]), 0, 0), Err(Rejection::Duplicate));
}

/// With a wall clock that steps an hour back and ahead each scheduled job is released once; deadlines follow the monotonic
/// clock.
#[rstest]
fn steps_of_the_wall_clock_release_each_job_once() {
    let mut waiting = list();
    let hour = 3600 * SECOND;
    for id in 0..10 {
        let job = NewJob { not_before: Some(hour), deadline: 100 * SECOND, ..new(id, &[]) };
        waiting.submit(job, 0, 10).expect("room");
    }
    assert!(waiting.tick(1, hour - 1).is_empty() && waiting.release(1).is_none());
    assert!(waiting.tick(2, -hour).is_empty() && waiting.release(2).is_none());
    waiting.tick(3, 2 * hour);
    waiting.tick(4, 0);
    assert_eq!(released(&mut waiting, 4), (0..10).collect::<Vec<_>>());
    waiting.tick(5, 2 * hour);
    assert_eq!((released(&mut waiting, 5), waiting.tick(200 * SECOND, 0).len()), (vec![], 0));
}

/// With a flood of one tenant at ten times the capacity, the longest wait of each other tenant stays within the stated bound,
/// and unused shares are used.
#[rstest]
fn a_flood_of_one_tenant_starves_no_other() {
    let shares = [20.0, 19.0, 18.0, 16.0, 13.0, 7.0, 4.0, 3.0];
    let mut waiting: Waiting<JobId> =
        Waiting::new(Settings { max_jobs_per_tenant: 200, ..settings(&shares) });
    let per_second = 100.0;
    let mut id = 0;
    let mut longest = [0; 8];
    let mut most = [0; 8];
    let mut out = 0;
    for (steps, now) in (0_i64..).zip((0..60 * SECOND).step_by(10_000)) {
        // Ten jobs of the flood for each release; of every other tenant half of its share.
        for (tenant, share) in shares.iter().enumerate() {
            let n = if tenant == 0 {
                10
            } else {
                (steps as f64 * share / 200.0) as i64 - ((steps - 1) as f64 * share / 200.0) as i64
            };
            for _ in 0..n {
                id += 1;
                let job = NewJob { tenant, class: (id % 3) as usize, ..new(id, &[]) };
                let _ = waiting.submit(job, now, 0);
            }
            most[tenant] = most[tenant].max(waiting.ready_jobs(tenant));
        }
        if let Some(job) = waiting.release(now) {
            longest[job.tenant] = longest[job.tenant].max(now - job.ready_since);
            waiting.complete(job.id, Outcome::Served, now);
            out += 1;
        }
    }
    assert_eq!(out, 6000, "the whole capacity is used");
    for tenant in 0..8 {
        let bound = waiting.longest_wait(tenant, most[tenant], per_second);
        assert!(longest[tenant] <= bound, "{tenant}: {} of {bound}", longest[tenant]);
        assert!(tenant == 0 || longest[tenant] < 2 * SECOND, "{tenant}: {}", longest[tenant]);
    }
}

/// The simple model: it scans all jobs.
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

    /// Jobs are released as by the simple model, for any arrivals, releases, ends and cancellations of jobs with
    /// prerequisites; each job is released once or ends once.
    #[test]
    fn jobs_are_released_as_by_the_simple_model(events in prop::collection::vec((0..6u8, 0..4usize, 0..3usize, 0..30u64, 0..30u64), 1..200)) {
        let shares = [5.0, 3.0, 1.0, 0.5];
        let mut waiting: Waiting<JobId> = Waiting::new(settings(&shares));
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
                    if let Ok(at_once) = waiting.submit(job, now, 0) {
                        prop_assert!(at_once.is_empty());
                        open.insert(id, (tenant, class, waits.then_some(on)));
                        if !waits {
                            simple.push((id, tenant, class));
                        }
                    }
                }
                3 => {
                    let released = waiting.release(now).map(|r| r.id);
                    prop_assert_eq!(released, simple.release(&shares));
                    if let Some(id) = released {
                        prop_assert!(open.remove(&id).is_some());
                        out.push(id);
                    }
                }
                4 => if let Some(id) = out.pop() {
                    let with = if on % 3 == 0 { Outcome::Failed } else { Outcome::Served };
                    became = Some((id, with));
                    ended = waiting.complete(id, with, now);
                },
                _ => ended = waiting.cancel(id, now),
            }
            for end in &ended {
                prop_assert!(open.remove(&end.id).is_some(), "{} ended twice", end.id);
                simple.ready.retain(|j| j.0 != end.id);
            }
            if let Some((id, Outcome::Served)) = became {
                // In the order in which they were submitted.
                let mut met: Vec<_> = open.iter().filter(|j| j.1.2 == Some(id)).map(|j| (*j.0, *j.1)).collect();
                prop_assume!(met.len() <= 1);
                if let Some((id, (tenant, class, _))) = met.pop() {
                    open.insert(id, (tenant, class, None));
                    simple.push((id, tenant, class));
                }
            }
            prop_assert_eq!(waiting.len(), open.len() + out.len());
        }
        let drained = waiting.drain(1000);
        prop_assert_eq!(drained.len(), open.len());
        prop_assert_eq!(waiting.len(), out.len());
    }
}
