//! What a server knows of a connection that may be a worker's: its functions, whether it sleeps, and its job.
//!
//! A worker has at most one job. It is *reserved* for the worker until that grabs it; from then on the worker *runs* it
//! until it says how it ended, or disconnects. Whether the server abandons a job meanwhile is the server's business: a
//! worker that has not said how its job ended gets no other.

use crate::packet::Kind;
use std::collections::BTreeMap;

/// Microseconds on the caller's clock.
pub type Micros = i64;

/// The result of reserving a job for a worker.
#[derive(Debug, PartialEq, Eq)]
pub enum Reservation<J> {
    /// The worker sleeps: wake it with a NOOP.
    WakeUp,
    /// The worker is awake and will grab the job.
    Awake,
    /// The worker has sent this grab packet and waits for its answer: [grab](Worker::grab) the job for it now.
    Grabbing(Kind),
    /// Not reserved: the worker has a job, is unresponsive, or does not take the function.
    Unavailable(J),
    /// Not reserved: the worker has disconnected.
    Disconnected(J),
}

/// What has timed out.
#[derive(Debug, PartialEq, Eq)]
pub enum Expiry<J> {
    /// The worker has not grabbed this job, which has not run.
    NotGrabbed(J),
    /// The worker has not ended this job within its time limit; it may have run.
    NotFinished(J),
    /// The worker waits for the answer to a grab packet, and there is no job for it.
    NoJob,
}

/// What a worker's report about the end of a job refers to.
#[derive(Debug, PartialEq, Eq)]
pub enum Finish<J> {
    /// The job that it runs.
    Running(J),
    /// A job that the server has abandoned: the report has no effect, but the worker is free.
    Abandoned,
    /// No job that it has.
    Unknown,
}

/// What a worker had when it disconnected.
#[derive(Debug, PartialEq, Eq)]
pub struct Disconnected<F, J> {
    /// The functions that it ever registered.
    pub functions: Vec<F>,
    /// The job that was reserved for it, which has not run.
    pub reserved: Option<J>,
    /// The job that it was running.
    pub running: Option<J>,
}

#[derive(Debug)]
struct Assignment<F, J> {
    function: F,
    job: J,
    /// When it must be grabbed, or ended; none without a limit.
    deadline: Option<Micros>,
}

/// What the worker runs.
#[derive(Debug)]
struct Running<F, J> {
    handle: Vec<u8>,
    /// None once the server has abandoned it.
    assignment: Option<Assignment<F, J>>,
}

/// A grab packet whose answer is delayed.
#[derive(Clone, Copy, Debug)]
struct PendingGrab {
    kind: Kind,
    answer_by: Micros,
}

/// The workers' half of a connection. `F` is the type of functions, `J` that of jobs.
#[derive(Debug)]
pub struct Worker<F, J> {
    functions: BTreeMap<F, Registration>,
    registered_at: Option<Micros>,
    is_asleep: bool,
    is_disconnected: bool,
    /// It did not grab a job after it was woken: nothing is reserved for it until it sends something of its own.
    is_unresponsive: bool,
    reserved: Option<Assignment<F, J>>,
    pending_grab: Option<PendingGrab>,
    running: Option<Running<F, J>>,
}

#[derive(Clone, Copy, Debug)]
struct Registration {
    is_active: bool,
    time_limit: Option<Micros>,
}

impl<F, J> Default for Worker<F, J> {
    fn default() -> Self {
        Worker {
            functions: BTreeMap::new(),
            registered_at: None,
            is_asleep: false,
            is_disconnected: false,
            is_unresponsive: false,
            reserved: None,
            pending_grab: None,
            running: None,
        }
    }
}

impl<F: Copy + Ord, J> Worker<F, J> {
    /// Whether it has ever registered a function.
    pub fn is_worker(&self) -> bool {
        !self.functions.is_empty()
    }

    /// Whether it did not grab a job after it was woken, and has sent nothing of its own since.
    pub fn is_unresponsive(&self) -> bool {
        self.is_unresponsive
    }

    /// Whether it has a job: a reserved one, a running one or an abandoned one.
    pub fn is_engaged(&self) -> bool {
        self.reserved.is_some() || self.running.is_some()
    }

    /// When it first registered a function.
    pub fn registered_at(&self) -> Option<Micros> {
        self.registered_at
    }

    /// The functions that it takes.
    pub fn able(&self) -> impl Iterator<Item = F> + '_ {
        self.functions
            .iter()
            .filter(|(_, registration)| registration.is_active)
            .map(|(function, _)| *function)
    }

    /// Whether a job of a function could be reserved for it.
    pub fn is_free_for(&self, function: F) -> bool {
        let is_able = self.functions.get(&function).is_some_and(|registration| registration.is_active);
        is_able && !self.is_disconnected && !self.is_unresponsive && !self.is_engaged()
    }

    /// The function of its reserved or running job; none if that was abandoned.
    pub fn engaged_in(&self) -> Option<F> {
        self.reserved.as_ref().or(self.running_assignment()).map(|assignment| assignment.function)
    }

    fn running_assignment(&self) -> Option<&Assignment<F, J>> {
        self.running.as_ref()?.assignment.as_ref()
    }

    /// CAN_DO or CAN_DO_TIMEOUT: it takes a function from now on, each job for at most `time_limit`.
    pub fn can_do(&mut self, function: F, time_limit: Option<Micros>, now: Micros) {
        self.registered_at.get_or_insert(now);
        self.is_unresponsive = false;
        self.functions.insert(function, Registration { is_active: true, time_limit });
    }

    /// CANT_DO: it takes a function no more. Returns the job of the function that was reserved for it, if any; `None` if
    /// it did not take the function.
    pub fn cant_do(&mut self, function: F) -> Option<Option<J>> {
        let registration = self.functions.get_mut(&function)?;
        if !registration.is_active {
            return None;
        }
        registration.is_active = false;
        let reserved = self.reserved.take_if(|reserved| reserved.function == function);
        Some(reserved.map(|reserved| reserved.job))
    }

    /// Reserves a job for it, to be grabbed by a time.
    pub fn reserve(&mut self, function: F, job: J, grab_by: Micros) -> Reservation<J> {
        if self.is_disconnected {
            return Reservation::Disconnected(job);
        }
        if !self.is_free_for(function) {
            return Reservation::Unavailable(job);
        }
        self.reserved = Some(Assignment { function, job, deadline: Some(grab_by) });
        if let Some(pending) = self.pending_grab.take() {
            return Reservation::Grabbing(pending.kind);
        }
        if self.is_asleep {
            self.is_asleep = false;
            return Reservation::WakeUp;
        }
        Reservation::Awake
    }

    /// The job that is reserved for it.
    pub fn reserved(&self) -> Option<&J> {
        self.reserved.as_ref().map(|reserved| &reserved.job)
    }

    /// Takes back the reserved job if it is the one.
    pub fn cancel_reservation(&mut self, is_it: impl Fn(&J) -> bool) -> Option<J> {
        let reserved = self.reserved.take_if(|reserved| is_it(&reserved.job))?;
        Some(reserved.job)
    }

    /// Abandons the running job if it is the one. The worker is busy until it says how that ended.
    pub fn abandon(&mut self, is_it: impl Fn(&J) -> bool) -> Option<J> {
        let running = self.running.as_mut()?;
        let assignment = running.assignment.take_if(|assignment| is_it(&assignment.job))?;
        Some(assignment.job)
    }

    /// GRAB_JOB, while nothing is reserved for it but something may be soon: the answer is delayed until a time. False
    /// where it has a job or already waits for an answer: answer NO_JOB then.
    pub fn wait_for_job(&mut self, kind: Kind, answer_by: Micros) -> bool {
        self.is_asleep = false;
        self.is_unresponsive = false;
        if self.is_engaged() || self.pending_grab.is_some() {
            return false;
        }
        self.pending_grab = Some(PendingGrab { kind, answer_by });
        true
    }

    /// PRE_SLEEP: it sleeps until it is woken. True if a job was reserved for it meanwhile: wake it at once.
    pub fn pre_sleep(&mut self) -> bool {
        self.is_unresponsive = false;
        self.is_asleep = self.reserved.is_none();
        !self.is_asleep
    }

    /// GRAB_JOB: it runs the job that is reserved for it from now on, under a handle. None if nothing is reserved, or if
    /// it has not said how its last job ended.
    pub fn grab(&mut self, now: Micros, handle: impl FnOnce(&J) -> Vec<u8>) -> Option<&J> {
        self.is_asleep = false;
        self.is_unresponsive = false;
        if self.running.is_some() {
            return None;
        }
        let mut assignment = self.reserved.take()?;
        let time_limit = self.functions.get(&assignment.function).and_then(|function| function.time_limit);
        assignment.deadline = time_limit.map(|time_limit| now + time_limit);
        let handle = handle(&assignment.job);
        let running = self.running.insert(Running { handle, assignment: Some(assignment) });
        running.assignment.as_ref().map(|assignment| &assignment.job)
    }

    /// The job that it runs under a handle; none if that was abandoned.
    pub fn running(&self, handle: &[u8]) -> Option<&J> {
        let running = self.running.as_ref()?;
        if running.handle != handle {
            return None;
        }
        running.assignment.as_ref().map(|assignment| &assignment.job)
    }

    /// The job that it runs under a handle, to be changed; none if that was abandoned.
    pub fn running_mut(&mut self, handle: &[u8]) -> Option<&mut J> {
        let running = self.running.as_mut()?;
        if running.handle != handle {
            return None;
        }
        running.assignment.as_mut().map(|assignment| &mut assignment.job)
    }

    /// Ends the job that it runs, under whatever handle. Returns it unless it was abandoned.
    pub fn take_running(&mut self) -> Option<J> {
        let assignment = self.running.take()?.assignment?;
        Some(assignment.job)
    }

    /// WORK_COMPLETE or WORK_FAIL: the job under a handle has ended.
    pub fn finish(&mut self, handle: &[u8]) -> Finish<J> {
        let Some(running) = self.running.take_if(|running| running.handle == handle) else {
            return Finish::Unknown;
        };
        match running.assignment {
            None => Finish::Abandoned,
            Some(assignment) => Finish::Running(assignment.job),
        }
    }

    /// When [`expire`](Worker::expire) next has something to do.
    pub fn next_deadline(&self) -> Option<Micros> {
        let reserved = self.reserved.as_ref().and_then(|reserved| reserved.deadline);
        let running = self.running_assignment().and_then(|assignment| assignment.deadline);
        let pending_grab = self.pending_grab.map(|pending| pending.answer_by);
        reserved.or(running).or(pending_grab)
    }

    /// What has timed out, if anything.
    pub fn expire(&mut self, now: Micros) -> Option<Expiry<J>> {
        let is_late =
            |assignment: &mut Assignment<F, J>| assignment.deadline.is_some_and(|deadline| deadline <= now);
        if let Some(reserved) = self.reserved.take_if(is_late) {
            self.is_unresponsive = true;
            return Some(Expiry::NotGrabbed(reserved.job));
        }
        if self.pending_grab.take_if(|pending| pending.answer_by <= now).is_some() {
            return Some(Expiry::NoJob);
        }
        let late = self.running.as_mut()?.assignment.take_if(is_late)?;
        Some(Expiry::NotFinished(late.job))
    }

    /// The connection has ended.
    pub fn disconnect(&mut self) -> Disconnected<F, J> {
        self.is_disconnected = true;
        Disconnected {
            functions: std::mem::take(&mut self.functions).into_keys().collect(),
            reserved: self.reserved.take().map(|reserved| reserved.job),
            running: self.take_running(),
        }
    }
}
