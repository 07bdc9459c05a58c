//! A model check of every order of events of a job with two prerequisites: submissions, releases, ends, cancellations,
//! deadlines, and a restart after which jobs that were not released are submitted again.
//!
//! The state space has three jobs, of which the third waits for the other two; each is submitted at most twice, and there is
//! at most one restart. It is checked completely.

use roselock_job_dependencies::*;
use rstest::rstest;
use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};

const JOBS: [JobId; 3] = [1, 2, 3];

/// The history of one job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct History {
    submitted: u8,
    /// Whether it has been submitted and has not ended.
    open: bool,
    releases: u8,
    ends: u8,
    /// The outcome of the submission before.
    last: Option<Outcome>,
}

#[derive(Clone)]
struct World {
    list: Waiting<JobId>,
    histories: [History; 3],
    restarts: u8,
    now: Micros,
    wrong: Option<&'static str>,
}

impl World {
    /// The part of the state that determines what can follow.
    fn key(&self) -> impl Hash + PartialEq + std::fmt::Debug {
        let mut rest = self.list.clone();
        let order: Vec<JobId> = std::iter::from_fn(|| rest.release(self.now)).map(|r| r.id).collect();
        let standing = JOBS.map(|id| (self.list.position(id), self.list.outcome(id)));
        (self.histories, self.restarts, self.now > 0, self.wrong, order, standing)
    }
    /// Records ended jobs.
    fn record_ended(&mut self, ended: Vec<EndedJob<JobId>>) {
        for end in ended {
            let history = &mut self.histories[end.id as usize - 1];
            if !history.open {
                self.wrong = Some("a job ended that was not there");
            }
            history.open = false;
            history.last = Some(Outcome::Dropped);
            history.ends += 1;
        }
    }
}

impl std::fmt::Debug for World {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?}", self.key())
    }
}
impl PartialEq for World {
    fn eq(&self, other: &World) -> bool {
        self.key() == other.key()
    }
}
impl Eq for World {}
impl Hash for World {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key().hash(state);
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Submit(JobId),
    Release,
    End(JobId, Outcome),
    Cancel(JobId),
    ReachDeadline,
    Restart,
}

struct JobModel {
    /// An injected fault: a failure counts as served.
    broken: bool,
}

fn empty_list() -> Waiting<JobId> {
    Waiting::new(Settings {
        shares: vec![1.0],
        max_jobs: 9,
        max_jobs_per_tenant: 9,
        max_outcomes: 9,
        outcome_retention: 1000,
    })
}

fn job(id: JobId) -> NewJob<JobId> {
    let on = if id == 3 { vec![(1, Condition::Served), (2, Condition::Served)] } else { vec![] };
    let dependencies =
        Dependencies { prerequisites: on, unknown: UnknownPrerequisite::Await, ..Dependencies::default() };
    NewJob { id, tenant: 0, class: 0, not_before: None, dependencies, deadline: 100, payload: id }
}

/// The process restarts. Released jobs are settled by the caller; the others are submitted again under their ids.
fn restart(world: &mut World, now: Micros) -> Option<()> {
    let unreleased = JOBS.into_iter().filter(|id| world.list.position(*id).is_some_and(|s| s.0 != 3));
    let unreleased: Vec<JobId> = unreleased.collect();
    let drained = world.list.drain(now);
    if drained.len() != unreleased.len() {
        world.wrong = Some("a job was forgotten at the end");
    }
    world.restarts = 1;
    world.list = empty_list();
    for history in &mut world.histories {
        history.open = false;
    }
    for id in unreleased {
        let history = &mut world.histories[id as usize - 1];
        history.open = true;
        history.releases = 0;
        let ended = world.list.submit(NewJob { deadline: now + 100, ..job(id) }, now, 0).ok()?;
        world.record_ended(ended);
    }
    Some(())
}

impl Model for JobModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        vec![World {
            list: empty_list(),
            histories: [History::default(); 3],
            restarts: 0,
            now: 0,
            wrong: None,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        if world.wrong.is_some() {
            return;
        }
        for id in JOBS {
            let history = world.histories[id as usize - 1];
            if !history.open && history.submitted < 2 {
                steps.push(Step::Submit(id));
            }
            match world.list.position(id) {
                Some((3, _)) => steps.extend([
                    Step::End(id, Outcome::Served),
                    Step::End(id, Outcome::Failed),
                    Step::End(id, Outcome::Unknown),
                ]),
                Some(_) => steps.push(Step::Cancel(id)),
                None => {}
            }
        }
        steps.push(Step::Release);
        if world.now == 0 {
            steps.push(Step::ReachDeadline);
        }
        if world.restarts == 0 {
            steps.push(Step::Restart);
        }
    }

    fn next_state(&self, last: &World, act: Step) -> Option<World> {
        let mut world = last.clone();
        let now = world.now;
        match act {
            Step::Submit(id) => {
                // With a deadline in the past the job would not wait.
                let new = NewJob { deadline: now + 100, ..job(id) };
                let history = &mut world.histories[id as usize - 1];
                *history = History {
                    submitted: history.submitted + 1,
                    open: true,
                    last: history.last,
                    ..History::default()
                };
                let ended = world.list.submit(new, now, 0).ok()?;
                world.record_ended(ended);
            }
            Step::Release => {
                let released = world.list.release(now)?;
                let served = |id: JobId| world.list.outcome(id) == Some(Outcome::Served);
                // Prerequisites that have been submitted again may be open.
                let resubmitted = |id: JobId| world.histories[id as usize - 1].submitted == 2;
                let unmet = !(served(1) || resubmitted(1)) || !(served(2) || resubmitted(2));
                if released.id == 3 && unmet && world.restarts == 0 {
                    world.wrong = Some("it was released before its prerequisites were served");
                }
                let history = &mut world.histories[released.id as usize - 1];
                history.releases += 1;
                if history.releases > 1 || !history.open {
                    world.wrong = Some("it was released twice");
                }
            }
            Step::End(id, outcome) => {
                let told = if self.broken && outcome == Outcome::Failed { Outcome::Served } else { outcome };
                let ended = world.list.complete(id, told, now);
                let history = &mut world.histories[id as usize - 1];
                history.open = false;
                history.last = Some(outcome);
                world.record_ended(ended);
                if outcome != Outcome::Served && world.list.outcome(id) == Some(Outcome::Served) {
                    world.wrong = Some("what was not served counts as served");
                }
            }
            Step::Cancel(id) => {
                let ended = world.list.cancel(id, now);
                if !ended.iter().any(|e| e.id == id) {
                    world.wrong = Some("a cancelled job has no end");
                }
                world.record_ended(ended);
            }
            Step::ReachDeadline => {
                world.now = 100;
                let ended = world.list.tick(100, 0);
                world.record_ended(ended);
            }
            Step::Restart => restart(&mut world, now)?,
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<JobModel>> {
        vec![
            Property::always("nothing goes wrong", |_, world: &World| world.wrong.is_none()),
            Property::always("none is forgotten", |_, world: &World| {
                world
                    .histories
                    .iter()
                    .zip(JOBS)
                    .all(|(history, id)| history.open == world.list.position(id).is_some())
            }),
            Property::always("none waits for nothing", |_, world: &World| {
                // A unreleased job has an open prerequisite that is listed or may still be submitted.
                JOBS.iter()
                    .all(|id| world.list.position(*id).is_none_or(|(state, open)| (state == 1) == (open > 0)))
            }),
            Property::sometimes("the third is released", |_, world: &World| world.histories[2].releases == 1),
        ]
    }
}

#[rstest]
fn every_order_of_events_keeps_the_properties() {
    let checked = JobModel { broken: false }.checker().spawn_bfs().join();
    checked.assert_properties();
    println!("{} states, {} of them unique", checked.state_count(), checked.unique_state_count());
    assert!(checked.unique_state_count() > 1000);
}

/// The check can fail: it finds the injected fault.
#[rstest]
fn an_injected_fault_is_found() {
    let checked = JobModel { broken: true }.checker().spawn_bfs().join();
    assert!(checked.discovery("nothing goes wrong").is_some());
}
