//! A server's state of a connection that may be a worker's: its functions, whether it sleeps, and its job.
//!
//! A worker has at most one job. The job is *reserved* for the worker until the worker grabs it. From then on the worker
//! *runs* the job until it reports the job's end or disconnects. The server may abandon the job in the meantime, but the
//! worker gets no other job until it has reported the end of this one.

use crate::packet::Kind;
use std::collections::BTreeMap;

/// A time on the caller's clock, or a duration, in microseconds.
pub type Micros = i64;

/// The result of reserving a job for a worker.
#[derive(Debug, PartialEq, Eq)]
pub enum Reservation<J> {
    /// Reserved. The worker was sleeping: wake it with a NOOP.
    WakeUp,
    /// Reserved. The worker is awake and will grab the job.
    Awake,
    /// Reserved. The worker waits for the response to this grab packet: call [`Worker::grab`] for it now.
    Grabbing(Kind),
    /// Not reserved: the worker has a job, is unresponsive, or has not registered the function.
    Unavailable(J),
    /// Not reserved: the worker has disconnected.
    Disconnected(J),
}

/// A timeout.
#[derive(Debug, PartialEq, Eq)]
pub enum Expiry<J> {
    /// The worker has not grabbed the job reserved for it, which has not run.
    NotGrabbed(J),
    /// The worker has not reported the end of this job within its time limit; the job may have run.
    NotFinished(J),
    /// No job was found for the pending grab packet of the worker: respond with NO_JOB.
    NoJob,
}

/// The job that a worker's report of the end of a job refers to.
#[derive(Debug, PartialEq, Eq)]
pub enum Finish<J> {
    /// The job that the worker was running.
    Running(J),
    /// A job that the server has abandoned: the report has no effect, except that the worker is free again.
    Abandoned,
    /// No job of the worker.
    Unknown,
}

/// The functions and jobs of a worker that has disconnected.
#[derive(Debug, PartialEq, Eq)]
pub struct Disconnected<F, J> {
    /// All functions that it has ever registered.
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
    /// Deadline for grabbing the job, or for ending it; none without a limit.
    deadline: Option<Micros>,
}

/// The job that the worker runs.
#[derive(Debug)]
struct Running<F, J> {
    handle: Vec<u8>,
    /// `None` once the server has abandoned the job.
    assignment: Option<Assignment<F, J>>,
}

/// A grab packet whose response is delayed.
#[derive(Clone, Copy, Debug)]
struct PendingGrab {
    kind: Kind,
    answer_by: Micros,
}

/// The worker state of a connection. `F` is the type of functions, `J` that of jobs.
#[derive(Debug)]
pub struct Worker<F, J> {
    functions: BTreeMap<F, Registration>,
    registered_at: Option<Micros>,
    is_asleep: bool,
    is_disconnected: bool,
    /// It did not grab its reserved job in time; no job is reserved for it until it sends CAN_DO, PRE_SLEEP or a grab
    /// packet.
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
    /// Whether it has ever registered a function, which makes the connection a worker.
    pub fn is_worker(&self) -> bool {
        !self.functions.is_empty()
    }

    /// Whether it did not grab its reserved job in time, and has not sent CAN_DO, PRE_SLEEP or a grab packet since.
    pub fn is_unresponsive(&self) -> bool {
        self.is_unresponsive
    }

    /// Whether it has a job: a reserved one, a running one or an abandoned one.
    pub fn is_busy(&self) -> bool {
        self.reserved.is_some() || self.running.is_some()
    }

    /// When it first registered a function.
    pub fn registered_at(&self) -> Option<Micros> {
        self.registered_at
    }

    /// The functions that it has registered.
    pub fn registered_functions(&self) -> impl Iterator<Item = F> + '_ {
        self.functions
            .iter()
            .filter(|(_, registration)| registration.is_active)
            .map(|(function, _)| *function)
    }

    /// Whether a job of this function can be reserved for it.
    pub fn is_free_for(&self, function: F) -> bool {
        let is_registered = self.functions.get(&function).is_some_and(|registration| registration.is_active);
        is_registered && !self.is_disconnected && !self.is_unresponsive && !self.is_busy()
    }

    /// The function of its reserved or running job; none if the job was abandoned.
    pub fn busy_function(&self) -> Option<F> {
        self.reserved.as_ref().or(self.running_assignment()).map(|assignment| assignment.function)
    }

    fn running_assignment(&self) -> Option<&Assignment<F, J>> {
        self.running.as_ref()?.assignment.as_ref()
    }

    /// Handles CAN_DO and CAN_DO_TIMEOUT: registers a function. Each of its jobs may run for at most `time_limit`.
    pub fn can_do(&mut self, function: F, time_limit: Option<Micros>, now: Micros) {
        self.registered_at.get_or_insert(now);
        self.is_unresponsive = false;
        self.functions.insert(function, Registration { is_active: true, time_limit });
    }

    /// Handles CANT_DO: unregisters a function. Returns the reserved job of the function, if any, or `None` if the
    /// function was not registered.
    pub fn cant_do(&mut self, function: F) -> Option<Option<J>> {
        let registration = self.functions.get_mut(&function)?;
        if !registration.is_active {
            return None;
        }
        registration.is_active = false;
        let reserved = self.reserved.take_if(|reserved| reserved.function == function);
        Some(reserved.map(|reserved| reserved.job))
    }

    /// Reserves a job for it, which it must grab by `grab_by`.
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

    /// Cancels the reservation if `is_match` holds for the reserved job, and returns the job.
    pub fn cancel_reservation(&mut self, is_match: impl Fn(&J) -> bool) -> Option<J> {
        let reserved = self.reserved.take_if(|reserved| is_match(&reserved.job))?;
        Some(reserved.job)
    }

    /// Abandons the running job if `is_match` holds for it, and returns the job. The worker stays busy until it
    /// reports the end of the job.
    pub fn abandon(&mut self, is_match: impl Fn(&J) -> bool) -> Option<J> {
        let running = self.running.as_mut()?;
        let assignment = running.assignment.take_if(|assignment| is_match(&assignment.job))?;
        Some(assignment.job)
    }

    /// Handles a grab packet when no job is reserved for it but one may be soon: delays the response until `answer_by`
    /// at the latest. Returns false if it has a job or already waits for a response: respond with NO_JOB then.
    pub fn wait_for_job(&mut self, kind: Kind, answer_by: Micros) -> bool {
        self.is_asleep = false;
        self.is_unresponsive = false;
        if self.is_busy() || self.pending_grab.is_some() {
            return false;
        }
        self.pending_grab = Some(PendingGrab { kind, answer_by });
        true
    }

    /// Handles PRE_SLEEP: it sleeps until it is woken. Returns true if a job has been reserved for it: wake it at once.
    pub fn pre_sleep(&mut self) -> bool {
        self.is_unresponsive = false;
        self.is_asleep = self.reserved.is_none();
        !self.is_asleep
    }

    /// Handles a grab packet: it runs its reserved job from now on, under the handle that `handle` returns. Returns
    /// `None` if no job is reserved, or if it has not reported the end of its last job.
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

    /// The job that it runs under this handle; none if the job was abandoned.
    pub fn running(&self, handle: &[u8]) -> Option<&J> {
        let running = self.running.as_ref()?;
        if running.handle != handle {
            return None;
        }
        running.assignment.as_ref().map(|assignment| &assignment.job)
    }

    /// The job that it runs under this handle, as a mutable reference; none if the job was abandoned.
    pub fn running_mut(&mut self, handle: &[u8]) -> Option<&mut J> {
        let running = self.running.as_mut()?;
        if running.handle != handle {
            return None;
        }
        running.assignment.as_mut().map(|assignment| &mut assignment.job)
    }

    /// Removes the job that it runs, whatever its handle. Returns the job unless it was abandoned.
    pub fn take_running(&mut self) -> Option<J> {
        let assignment = self.running.take()?.assignment?;
        Some(assignment.job)
    }

    /// Handles WORK_COMPLETE and WORK_FAIL: the job with this handle has ended.
    pub fn finish(&mut self, handle: &[u8]) -> Finish<J> {
        let Some(running) = self.running.take_if(|running| running.handle == handle) else {
            return Finish::Unknown;
        };
        match running.assignment {
            None => Finish::Abandoned,
            Some(assignment) => Finish::Running(assignment.job),
        }
    }

    /// The next time at which [`expire`](Worker::expire) must be called.
    pub fn next_deadline(&self) -> Option<Micros> {
        let reserved = self.reserved.as_ref().and_then(|reserved| reserved.deadline);
        let running = self.running_assignment().and_then(|assignment| assignment.deadline);
        let pending_grab = self.pending_grab.map(|pending| pending.answer_by);
        reserved.or(running).or(pending_grab)
    }

    /// Handles the next timeout that is due, if any.
    pub fn expire(&mut self, now: Micros) -> Option<Expiry<J>> {
        let is_overdue =
            |assignment: &mut Assignment<F, J>| assignment.deadline.is_some_and(|deadline| deadline <= now);
        if let Some(reserved) = self.reserved.take_if(is_overdue) {
            self.is_unresponsive = true;
            return Some(Expiry::NotGrabbed(reserved.job));
        }
        if self.pending_grab.take_if(|pending| pending.answer_by <= now).is_some() {
            return Some(Expiry::NoJob);
        }
        let overdue = self.running.as_mut()?.assignment.take_if(is_overdue)?;
        Some(Expiry::NotFinished(overdue.job))
    }

    /// Handles the end of the connection. Returns its functions and jobs.
    pub fn disconnect(&mut self) -> Disconnected<F, J> {
        self.is_disconnected = true;
        Disconnected {
            functions: std::mem::take(&mut self.functions).into_keys().collect(),
            reserved: self.reserved.take().map(|reserved| reserved.job),
            running: self.take_running(),
        }
    }
}
