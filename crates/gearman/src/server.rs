//! What a server keeps of a connection that may be a worker's: what it can do, whether it sleeps, what it holds.
//!
//! A worker holds at most one job. One that has been *chosen* for it waits until it grabs; from then on the worker
//! *has* it until it says how it ended, or leaves. Whether a job is given up meanwhile is the server's business: a
//! worker that has not said how its job ended is not given another.

use crate::packet::Kind;
use std::collections::BTreeMap;

/// Microseconds on the caller's clock.
pub type Micros = i64;

/// What came of choosing a worker for a job.
#[derive(Debug, PartialEq, Eq)]
pub enum Chosen<J> {
    /// It sleeps: wake it with a NOOP.
    Wake,
    /// It is awake and will ask.
    Kept,
    /// It has asked, in this way, and awaits its answer: it is to [grab](Worker::grab) now.
    Asked(Kind),
    /// It cannot take it: its hands are full, or it does not do this any more.
    Unwilling(J),
    /// It has left.
    Gone(J),
}

/// What time says of a worker.
#[derive(Debug, PartialEq, Eq)]
pub enum Due<J> {
    /// It did not come for this job, which has not run.
    Unheard(J),
    /// It did not end this one, which may have run.
    Late(J),
    /// It has asked, and there was no job for it.
    NoJob,
}

/// One end of a job in a worker's hands.
#[derive(Debug, PartialEq, Eq)]
pub enum Word<J> {
    /// Of the job that it has.
    Of(J),
    /// Of one that the server gave up: heeded by nobody, but its hands are free.
    Late,
    /// Of no job that it has.
    Foreign,
}

#[derive(Debug)]
struct Held<F, J> {
    function: F,
    job: J,
    /// When it is to be grabbed, or ended.
    by: Option<Micros>,
}

/// The handle of the job that it has, and the job, if the server still waits for that.
type Assigned<F, J> = (Vec<u8>, Option<Held<F, J>>);

/// The workers' half of a connection. `F` names functions, `J` jobs.
#[derive(Debug)]
pub struct Worker<F, J> {
    able: BTreeMap<F, Ability>,
    since: Option<Micros>,
    asleep: bool,
    gone: bool,
    /// It did not come when woken; until it says something of its own it is not chosen again.
    deaf: bool,
    chosen: Option<Held<F, J>>,
    /// It has asked in this way; by this time it is told that there is none.
    asking: Option<(Kind, Micros)>,
    has: Option<Assigned<F, J>>,
}

#[derive(Clone, Copy, Debug)]
struct Ability {
    takes: bool,
    limit: Option<Micros>,
}

impl<F, J> Default for Worker<F, J> {
    fn default() -> Self {
        Worker {
            able: BTreeMap::new(),
            since: None,
            asleep: false,
            gone: false,
            deaf: false,
            chosen: None,
            asking: None,
            has: None,
        }
    }
}

impl<F: Copy + Ord, J> Worker<F, J> {
    /// Whether it has registered anything.
    pub fn is_worker(&self) -> bool {
        !self.able.is_empty()
    }
    /// Whether it did not come when it was woken, and has said nothing of its own since.
    pub fn is_deaf(&self) -> bool {
        self.deaf
    }
    /// Whether it has a job, or one that was given up, or one is chosen for it.
    pub fn is_engaged(&self) -> bool {
        self.chosen.is_some() || self.has.is_some()
    }
    /// When it first registered a function.
    pub fn since(&self) -> Option<Micros> {
        self.since
    }
    /// The functions that it takes.
    pub fn able(&self) -> impl Iterator<Item = F> + '_ {
        self.able.iter().filter(|a| a.1.takes).map(|a| *a.0)
    }
    /// Whether a job of a function would find its hands free.
    pub fn is_free_for(&self, function: F) -> bool {
        let takes = self.able.get(&function).is_some_and(|a| a.takes);
        takes && !self.gone && !self.deaf && !self.is_engaged()
    }
    /// The function of the job that it has or that is chosen for it, if the server still waits for that.
    pub fn engaged_in(&self) -> Option<F> {
        let has = self.has.as_ref().and_then(|h| h.1.as_ref());
        self.chosen.as_ref().or(has).map(|h| h.function)
    }

    /// CAN_DO or CAN_DO_TIMEOUT: takes a function from now on, each job of it for so long at most.
    pub fn can_do(&mut self, function: F, limit: Option<Micros>, now: Micros) {
        self.since.get_or_insert(now);
        self.deaf = false;
        self.able.insert(function, Ability { takes: true, limit });
    }

    /// CANT_DO: takes a function no more. A job of it that was chosen and not yet grabbed goes back; `None` if the
    /// function was not taken.
    pub fn cant_do(&mut self, function: F) -> Option<Option<J>> {
        self.able.get_mut(&function).filter(|a| a.takes)?.takes = false;
        Some(self.chosen.take_if(|c| c.function == function).map(|c| c.job))
    }

    /// A job for it, to be grabbed by a time.
    pub fn choose(&mut self, function: F, job: J, grab_by: Micros) -> Chosen<J> {
        if self.gone {
            return Chosen::Gone(job);
        }
        if !self.is_free_for(function) {
            return Chosen::Unwilling(job);
        }
        self.chosen = Some(Held { function, job, by: Some(grab_by) });
        match self.asking.take() {
            Some((kind, _)) => Chosen::Asked(kind),
            None if std::mem::take(&mut self.asleep) => Chosen::Wake,
            None => Chosen::Kept,
        }
    }

    /// The job that is chosen for it and that it has not grabbed.
    pub fn chosen(&self) -> Option<&J> {
        self.chosen.as_ref().map(|c| &c.job)
    }

    /// Takes back a chosen job that fits and that it has not grabbed.
    pub fn withdraw(&mut self, is_it: impl Fn(&J) -> bool) -> Option<J> {
        self.chosen.take_if(|c| is_it(&c.job)).map(|c| c.job)
    }

    /// Gives up the job that it has, if it fits: its hands are full until it says how it ended.
    pub fn give_up(&mut self, is_it: impl Fn(&J) -> bool) -> Option<J> {
        self.has.as_mut()?.1.take_if(|h| is_it(&h.job)).map(|h| h.job)
    }

    /// GRAB_JOB, while nothing is chosen for it but something may be soon: its answer waits until a time. False where
    /// it has a job or awaits an answer already: it is told that there is none.
    pub fn ask(&mut self, kind: Kind, by: Micros) -> bool {
        (self.asleep, self.deaf) = (false, false);
        let may = !self.is_engaged() && self.asking.is_none();
        if may {
            self.asking = Some((kind, by));
        }
        may
    }

    /// PRE_SLEEP: sleeps until it is woken. True if a job was chosen meanwhile: wake it at once.
    pub fn pre_sleep(&mut self) -> bool {
        self.deaf = false;
        self.asleep = self.chosen.is_none();
        !self.asleep
    }

    /// GRAB_JOB: takes the job chosen for it under a handle; until then it must have said how its last one ended.
    pub fn grab(&mut self, now: Micros, handle: impl FnOnce(&J) -> Vec<u8>) -> Option<&J> {
        (self.asleep, self.deaf) = (false, false);
        if self.has.is_some() {
            return None;
        }
        let mut held = self.chosen.take()?;
        held.by = self.able.get(&held.function).and_then(|a| a.limit).map(|limit| now + limit);
        let handle = handle(&held.job);
        let (_, held) = self.has.insert((handle, Some(held)));
        held.as_ref().map(|h| &h.job)
    }

    /// The job under a handle, if it has it and the server still waits for it.
    pub fn running(&self, handle: &[u8]) -> Option<&J> {
        let (name, held) = self.has.as_ref()?;
        held.as_ref().filter(|_| name == handle).map(|h| &h.job)
    }

    /// The same, to be changed.
    pub fn running_mut(&mut self, handle: &[u8]) -> Option<&mut J> {
        let (name, held) = self.has.as_mut()?;
        held.as_mut().filter(|_| name == handle).map(|h| &mut h.job)
    }

    /// Ends the job that it has, whatever its handle; it if the server still waits for that.
    pub fn drop_job(&mut self) -> Option<J> {
        self.has.take().and_then(|h| h.1).map(|h| h.job)
    }

    /// WORK_COMPLETE or WORK_FAIL: how the job under a handle ended.
    pub fn finish(&mut self, handle: &[u8]) -> Word<J> {
        match self.has.take_if(|h| h.0 == handle) {
            None => Word::Foreign,
            Some((_, None)) => Word::Late,
            Some((_, Some(held))) => Word::Of(held.job),
        }
    }

    /// The next time at which something of it is due.
    pub fn due(&self) -> Option<Micros> {
        let has = self.has.as_ref().and_then(|h| h.1.as_ref()).and_then(|h| h.by);
        let asking = self.asking.map(|a| a.1);
        self.chosen.as_ref().and_then(|c| c.by).or(has).or(asking)
    }

    /// What its time says, if anything.
    pub fn expire(&mut self, now: Micros) -> Option<Due<J>> {
        let late = |h: &mut Held<F, J>| h.by.is_some_and(|by| by <= now);
        if let Some(held) = self.chosen.take_if(late) {
            self.deaf = true;
            return Some(Due::Unheard(held.job));
        }
        if self.asking.take_if(|a| a.1 <= now).is_some() {
            return Some(Due::NoJob);
        }
        self.has.as_mut()?.1.take_if(late).map(|h| Due::Late(h.job))
    }

    /// The connection ended: the functions it had, the job chosen for it, and the job that it had.
    pub fn leave(&mut self) -> (Vec<F>, Option<J>, Option<J>) {
        self.gone = true;
        let able = std::mem::take(&mut self.able).into_keys().collect();
        let has = self.has.take().and_then(|h| h.1);
        (able, self.chosen.take().map(|c| c.job), has.map(|h| h.job))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    type W = Worker<u8, u32>;

    fn handle(job: &u32) -> Vec<u8> {
        format!("H:{job}").into_bytes()
    }

    fn sleeper() -> W {
        let mut w = W::default();
        w.can_do(1, Some(1000), 0);
        assert!(!w.pre_sleep());
        w
    }

    #[test]
    fn a_sleeper_is_woken_once_and_holds_one_job() {
        let mut w = sleeper();
        assert_eq!(w.choose(1, 7, 50), Chosen::Wake);
        assert_eq!(w.choose(1, 8, 50), Chosen::Unwilling(8));
        assert_eq!(w.grab(10, handle), Some(&7));
        assert_eq!(w.grab(10, handle), None);
        assert_eq!(w.choose(1, 8, 50), Chosen::Unwilling(8));
        assert_eq!(w.finish(b"H:8"), Word::Foreign);
        assert_eq!(w.finish(b"H:7"), Word::Of(7));
        assert_eq!(w.finish(b"H:7"), Word::Foreign);
        assert_eq!(w.choose(1, 8, 50), Chosen::Kept);
    }

    /// After its own time limit the job is given up, and the worker gets no other before it has answered.
    #[test]
    fn a_worker_past_its_limit_stays_full() {
        let mut w = sleeper();
        w.choose(1, 7, 50);
        w.grab(10, handle);
        assert_eq!((w.due(), w.expire(1009)), (Some(1010), None));
        assert_eq!(w.expire(1010), Some(Due::Late(7)));
        assert_eq!(w.choose(1, 8, 50), Chosen::Unwilling(8));
        assert_eq!(w.running(b"H:7"), None);
        assert_eq!(w.finish(b"H:7"), Word::Late);
        assert!(w.is_free_for(1));
    }

    /// One that is woken and does not come loses the job, and is not chosen until it speaks.
    #[test]
    fn a_deaf_worker_is_passed_over() {
        let mut w = sleeper();
        w.choose(1, 7, 50);
        assert_eq!(w.expire(50), Some(Due::Unheard(7)));
        assert_eq!(w.choose(1, 8, 99), Chosen::Unwilling(8));
        assert_eq!(w.grab(60, handle), None);
        assert_eq!(w.choose(1, 8, 99), Chosen::Kept);
    }

    /// A worker that asks gets the job that is chosen for it meanwhile, or a word in time; one answer to each ask.
    #[test]
    fn an_ask_is_answered_once() {
        let mut w = sleeper();
        assert!(w.ask(Kind::GrabJobUniq, 30));
        assert!(!w.ask(Kind::GrabJob, 30));
        assert_eq!(w.choose(1, 7, 50), Chosen::Asked(Kind::GrabJobUniq));
        assert_eq!(w.grab(10, handle), Some(&7));
        assert!(!w.ask(Kind::GrabJob, 40));
        assert_eq!(w.finish(b"H:7"), Word::Of(7));
        assert!(w.ask(Kind::GrabJob, 40));
        assert_eq!((w.expire(39), w.expire(40), w.expire(41)), (None, Some(Due::NoJob), None));
    }

    #[test]
    fn abilities_end_with_what_was_chosen() {
        let mut w = sleeper();
        w.can_do(2, None, 5);
        w.choose(1, 7, 50);
        assert_eq!(w.cant_do(2), Some(None));
        assert_eq!(w.cant_do(1), Some(Some(7)));
        assert_eq!(w.cant_do(1), None);
        assert_eq!(w.choose(1, 7, 50), Chosen::Unwilling(7));
        assert_eq!(w.leave(), (vec![1, 2], None, None));
        assert_eq!(w.choose(2, 7, 50), Chosen::Gone(7));
    }
}
