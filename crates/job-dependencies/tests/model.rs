//! An exhaustive model check of a job with two prerequisites under every order of submissions, releases, completions,
//! cancellations, deadlines, and a restart after which unreleased jobs are submitted again.
//!
//! The state space has three jobs, the third of which depends on the other two. Each is submitted at most twice, and
//! there is at most one restart.

use roselock_job_dependencies::*;
use rstest::rstest;
use stateright::{Checker, Model, Property};
use std::hash::{Hash, Hasher};

const JOBS: [JobId; 3] = [1, 2, 3];

/// The history of one job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct History {
    submitted: u8,
    /// Whether the job is submitted and has not ended.
    open: bool,
    releases: u8,
    ends: u8,
    /// The outcome of the previous submission.
    last_outcome: Option<Outcome>,
}

#[derive(Clone)]
struct ModelState {
    queue: JobQueue<JobId>,
    histories: [History; 3],
    restarts: u8,
    now: Micros,
    violation: Option<&'static str>,
}

impl ModelState {
    /// The part of the state that determines its successors.
    fn fingerprint(&self) -> impl Hash + PartialEq + std::fmt::Debug {
        let mut remaining = self.queue.clone();
        let release_order: Vec<JobId> =
            std::iter::from_fn(|| remaining.release(self.now)).map(|r| r.id).collect();
        let positions = JOBS.map(|id| (self.queue.position(id), self.queue.outcome(id)));
        (self.histories, self.restarts, self.now > 0, self.violation, release_order, positions)
    }
    /// Records the ends of jobs, and a violation if one was not open.
    fn record_ended(&mut self, ended: Vec<EndedJob<JobId>>) {
        for end in ended {
            let history = &mut self.histories[end.id as usize - 1];
            if !history.open {
                self.violation = Some("a job that was not open ended");
            }
            history.open = false;
            history.last_outcome = Some(Outcome::Dropped);
            history.ends += 1;
        }
    }
}

impl std::fmt::Debug for ModelState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:?}", self.fingerprint())
    }
}
impl PartialEq for ModelState {
    fn eq(&self, other: &ModelState) -> bool {
        self.fingerprint() == other.fingerprint()
    }
}
impl Eq for ModelState {}
impl Hash for ModelState {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.fingerprint().hash(hasher);
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
    /// Reports failures as served, to show that the check detects a fault.
    inject_fault: bool,
}

fn empty_queue() -> JobQueue<JobId> {
    JobQueue::new(Settings {
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

/// Restarts the process. Released jobs are left to the caller; unreleased jobs are submitted again under their ids.
fn restart(state: &mut ModelState, now: Micros) -> Option<()> {
    let unreleased = JOBS.into_iter().filter(|id| state.queue.position(*id).is_some_and(|s| s.0 != 3));
    let unreleased: Vec<JobId> = unreleased.collect();
    let drained = state.queue.drain(now);
    if drained.len() != unreleased.len() {
        state.violation = Some("draining did not return every unreleased job");
    }
    state.restarts = 1;
    state.queue = empty_queue();
    for history in &mut state.histories {
        history.open = false;
    }
    for id in unreleased {
        let history = &mut state.histories[id as usize - 1];
        history.open = true;
        history.releases = 0;
        let ended = state.queue.submit(NewJob { deadline: now + 100, ..job(id) }, now, 0).ok()?;
        state.record_ended(ended);
    }
    Some(())
}

impl Model for JobModel {
    type State = ModelState;
    type Action = Step;

    fn init_states(&self) -> Vec<ModelState> {
        vec![ModelState {
            queue: empty_queue(),
            histories: [History::default(); 3],
            restarts: 0,
            now: 0,
            violation: None,
        }]
    }

    fn actions(&self, state: &ModelState, steps: &mut Vec<Step>) {
        if state.violation.is_some() {
            return;
        }
        for id in JOBS {
            let history = state.histories[id as usize - 1];
            if !history.open && history.submitted < 2 {
                steps.push(Step::Submit(id));
            }
            match state.queue.position(id) {
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
        if state.now == 0 {
            steps.push(Step::ReachDeadline);
        }
        if state.restarts == 0 {
            steps.push(Step::Restart);
        }
    }

    fn next_state(&self, last: &ModelState, step: Step) -> Option<ModelState> {
        let mut state = last.clone();
        let now = state.now;
        match step {
            Step::Submit(id) => {
                // The deadline must lie in the future, or the job would not wait.
                let new = NewJob { deadline: now + 100, ..job(id) };
                let history = &mut state.histories[id as usize - 1];
                *history = History {
                    submitted: history.submitted + 1,
                    open: true,
                    last_outcome: history.last_outcome,
                    ..History::default()
                };
                let ended = state.queue.submit(new, now, 0).ok()?;
                state.record_ended(ended);
            }
            Step::Release => {
                let released = state.queue.release(now)?;
                let served = |id: JobId| state.queue.outcome(id) == Some(Outcome::Served);
                // A prerequisite that was submitted again may be open.
                let resubmitted = |id: JobId| state.histories[id as usize - 1].submitted == 2;
                let unmet = !(served(1) || resubmitted(1)) || !(served(2) || resubmitted(2));
                if released.id == 3 && unmet && state.restarts == 0 {
                    state.violation = Some("a job was released before its prerequisites were served");
                }
                let history = &mut state.histories[released.id as usize - 1];
                history.releases += 1;
                if history.releases > 1 || !history.open {
                    state.violation = Some("a job was released twice");
                }
            }
            Step::End(id, outcome) => {
                let reported_outcome =
                    if self.inject_fault && outcome == Outcome::Failed { Outcome::Served } else { outcome };
                let ended = state.queue.complete(id, reported_outcome, now);
                let history = &mut state.histories[id as usize - 1];
                history.open = false;
                history.last_outcome = Some(outcome);
                state.record_ended(ended);
                if outcome != Outcome::Served && state.queue.outcome(id) == Some(Outcome::Served) {
                    state.violation = Some("a job that was not served is stored as served");
                }
            }
            Step::Cancel(id) => {
                let ended = state.queue.cancel(id, now);
                if !ended.iter().any(|e| e.id == id) {
                    state.violation = Some("a cancelled job was not returned as ended");
                }
                state.record_ended(ended);
            }
            Step::ReachDeadline => {
                state.now = 100;
                let ended = state.queue.tick(100, 0);
                state.record_ended(ended);
            }
            Step::Restart => restart(&mut state, now)?,
        }
        Some(state)
    }

    fn properties(&self) -> Vec<Property<JobModel>> {
        vec![
            Property::always("no invariant is violated", |_, state: &ModelState| state.violation.is_none()),
            Property::always("open jobs are exactly the jobs in the queue", |_, state: &ModelState| {
                state
                    .histories
                    .iter()
                    .zip(JOBS)
                    .all(|(history, id)| history.open == state.queue.position(id).is_some())
            }),
            Property::always(
                "jobs are held exactly while they have open prerequisites",
                |_, state: &ModelState| {
                    // An open prerequisite is in the queue or may still be submitted.
                    JOBS.iter().all(|id| {
                        state.queue.position(*id).is_none_or(|(state, open)| (state == 1) == (open > 0))
                    })
                },
            ),
            Property::sometimes("the dependent job is released", |_, state: &ModelState| {
                state.histories[2].releases == 1
            }),
        ]
    }
}

#[rstest]
fn every_order_of_events_keeps_the_properties() {
    let checked = JobModel { inject_fault: false }.checker().spawn_bfs().join();
    checked.assert_properties();
    println!("{} states, {} of them unique", checked.state_count(), checked.unique_state_count());
    assert!(checked.unique_state_count() > 1000);
}

/// Guards against a check that cannot fail: with an injected fault it reports a violation.
#[rstest]
fn an_injected_fault_is_found() {
    let checked = JobModel { inject_fault: true }.checker().spawn_bfs().join();
    assert!(checked.discovery("no invariant is violated").is_some());
}
