//! The clients' side: jobs, who waits for them, and their last words.

use super::{Gearman, Jobs, Peer, Tail, error, reply};
use crate::core::{Answer, Downstream, Input, JobSource, NewStream, OutputKind, Payload, StreamId, clock};
use roselock::{Micros, SECOND};
use roselock_backlog::{Completion, EndedJob, Ending, Job, JobNo, NewJob, Rejection, State, Waiter};
use roselock_gearman::{Kind, Packet, Submission, When, submit::Invalid};
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

/// Longest unique id.
const UNIQUE: usize = 256;
/// Furthest set time, in seconds from now.
const FURTHEST: u64 = 366 * 86_400;

/// What is kept of a client that waits.
#[derive(Clone)]
pub struct Seat {
    peer: Arc<Peer>,
    exceptions: bool,
}

/// The wall clock, in microseconds since the Unix epoch. It may step either way.
pub fn wall() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as Micros
}

/// Whether a packet submits a job.
pub fn submits(kind: Kind) -> bool {
    use Kind as K;
    matches!(
        kind,
        K::SubmitJob
            | K::SubmitJobBg
            | K::SubmitJobHigh
            | K::SubmitJobHighBg
            | K::SubmitJobLow
            | K::SubmitJobLowBg
            | K::SubmitJobSched
            | K::SubmitJobEpoch
            | K::SubmitReduceJob
            | K::SubmitReduceJobBackground
    )
}

/// Whether data of this size may come in.
pub fn has_room_for(front: &Gearman, size: usize) -> bool {
    front.jobs.lock().backlog.bytes() + size <= front.figures.bounds.bytes
}

fn rejected(why: Rejection) -> Vec<u8> {
    let code = if why == Rejection::Closed { "UNKNOWN_FUNCTION" } else { "QUEUE_FULL" };
    error(code, why.text())
}

/// Where a part of the data lies in it.
fn lies(part: &[u8], data: &[u8]) -> std::ops::Range<usize> {
    let at = part.as_ptr() as usize - data.as_ptr() as usize;
    at..at + part.len()
}

/// Takes a job, or joins the one that is under way for the same function and unique id. Returns what is wrong.
pub fn submit(
    front: &Arc<Gearman>,
    peer: &Arc<Peer>,
    kind: Kind,
    data: Vec<u8>,
    exceptions: bool,
) -> Option<Vec<u8>> {
    let read = Packet::parse(kind, &data);
    let job = match read.as_ref().map(Submission::read) {
        Err(malformed) => return Some(error("INVALID_ARGUMENTS", &malformed.to_string())),
        Ok(Err(Invalid::Kind)) => return Some(error("UNEXPECTED_PACKET", "submits nothing")),
        Ok(Err(Invalid::Time)) => return Some(error("INVALID_ARGUMENTS", "the time is no time")),
        Ok(Ok(job)) => job,
    };
    // A unique id of '-' stands for the data.
    let unique = if job.unique == b"-" { job.data } else { job.unique };
    if unique.len() > UNIQUE {
        return Some(error("UNIQUE_TOO_LARGE", "a unique id has at most 256 bytes"));
    }
    if job.data.len() > front.figures.job {
        return Some(error("TOO_LARGE", &format!("at most {} bytes of data", front.figures.job)));
    }
    let not_before = match front.set_time(&job.when) {
        Ok(at) => at,
        Err(text) => return Some(error("INVALID_ARGUMENTS", text)),
    };
    let parted = front.parted.load(std::sync::atomic::Ordering::SeqCst);
    if parted || (front.inbox.shutdown_requested_at().is_some() && (job.background || not_before.is_some())) {
        // It would be lost with the process.
        return Some(error("SHUTTING_DOWN", "this server is about to end; submit elsewhere, or again later"));
    }
    let Some(f) = front.function_for(job.function) else {
        return Some(error("UNKNOWN_FUNCTION", "this function is not taken here"));
    };
    let priority = job.priority as usize;
    let waiter = (!job.background)
        .then(|| Waiter { client: peer.number, with: Seat { peer: peer.clone(), exceptions } });
    let background = job.background;
    // Who joins needs no data: look before the data is laid out.
    let join = |jobs: &mut Jobs, no: JobNo| match jobs.backlog.join(no, priority, background, waiter.clone())
    {
        Err(why) => Some(rejected(why)),
        Ok(()) => {
            peer.send(reply(Kind::JobCreated, &[front.handle(no).as_bytes()]));
            None
        }
    };
    {
        let mut jobs = front.jobs.lock();
        if let Some(no) = jobs.backlog.by_unique(f, unique) {
            return join(&mut jobs, no);
        }
        if let Err(why) = jobs.backlog.check_room(f, priority, data.len()) {
            return Some(rejected(why));
        }
    }
    let own = unique.to_vec();
    let ranges = [job.function, unique, job.reducer.unwrap_or(b""), job.data]
        .map(|part| if part.is_empty() { 0..0 } else { lies(part, &data) });
    let payload = Arc::new(payload(front, f, data, ranges));
    let new = NewJob {
        function: f,
        priority,
        unique: own,
        background,
        waiter: waiter.clone(),
        not_before,
        bytes: payload.raw.capacity(),
        payload,
    };
    let mut jobs = front.jobs.lock();
    // Another may have come with the same unique id meanwhile.
    if let Some(no) = jobs.backlog.by_unique(f, &new.unique) {
        return join(&mut jobs, no);
    }
    match jobs.backlog.submit(new, clock::now()) {
        Err(why) => Some(rejected(why)),
        Ok(no) => {
            // Its word goes out before any that follows it.
            peer.send(reply(Kind::JobCreated, &[front.handle(no).as_bytes()]));
            let nudge = front.nudge(&mut jobs);
            drop(jobs);
            front.wake_owner(nudge);
            None
        }
    }
}

/// What is passed on: to a worker the function, the unique id and the reducer, to an HTTP host a `POST` to the path.
fn payload(
    front: &Gearman,
    f: usize,
    mut raw: Vec<u8>,
    [function, unique, reducer, body]: [std::ops::Range<usize>; 4],
) -> Payload {
    let registry = front.functions.load();
    let (mut method, mut target) = (function, unique);
    if let Some(path) = &registry.all[f].path {
        let at = raw.len();
        raw.reserve_exact(4 + path.len());
        raw.extend_from_slice(b"POST");
        raw.extend_from_slice(path.as_bytes());
        (method, target) = (at..at + 4, at + 4..at + 4 + path.len());
    }
    raw.shrink_to_fit();
    Payload {
        raw: Arc::new(raw),
        id: 0..0,
        assigned_id: None,
        method,
        target,
        reducer: reducer,
        body,
        ..Payload::default()
    }
}

impl Gearman {
    /// When a job may start, by the wall clock.
    fn set_time(&self, when: &When) -> Result<Option<Micros>, &'static str> {
        let now = wall();
        match *when {
            When::Now => Ok(None),
            When::Epoch(at) if at > (now / SECOND) as u64 + FURTHEST => Err("the time is over a year off"),
            When::Epoch(at) => Ok(Some(at as Micros * SECOND).filter(|at| *at > now)),
            When::Sched { minute, hour, day, month, weekday } => {
                let fields = roselock_backlog::CalendarFields { minute, hour, day, month, weekday };
                let next = fields.next(now, &self.figures.zone).ok_or("there is no such time")?;
                if next > now + FURTHEST as Micros * SECOND {
                    return Err("the next such time is over a year off");
                }
                Ok(Some(next))
            }
        }
    }
}

/// The connection ended: jobs for which nobody waits any more are given up, but for background ones.
pub fn leave(front: &Gearman, peer: &Peer) {
    let mut jobs = front.jobs.lock();
    let waited = jobs.backlog.jobs_awaited_by(peer.number) as u64;
    let left = jobs.backlog.client_left(peer.number);
    jobs.ends.left += waited;
    let nudge = front.nudge(&mut jobs);
    drop(jobs);
    left.into_iter().for_each(|stream| front.inbox.post(Input::ClientDisconnected(stream)));
    front.wake_owner(nudge);
}

/// What the owner draws streams from.
pub struct Queue(pub Arc<Gearman>);

impl JobSource for Queue {
    fn next(&self, now: Micros) -> Option<NewStream> {
        let front = &self.0;
        let mut jobs = front.jobs.lock();
        let stream = front.inbox.stream_id();
        let Some(released) = jobs.backlog.release(now, || stream) else {
            jobs.nudged = false;
            return None;
        };
        let job = jobs.backlog.job(released.no)?;
        let registry = front.functions.load();
        let function = &registry.all[job.function];
        let peer = job.waiters.first().map_or(([127, 0, 0, 1], 0).into(), |w| w.with.peer.address);
        let template = &released.payload;
        let payload = Payload {
            raw: template.raw.clone(),
            id: 0..0,
            assigned_id: Some(format!("{:016x}-{}-{}", front.life, released.no, released.earlier_releases)),
            method: template.method.clone(),
            target: template.target.clone(),
            reducer: template.reducer.clone(),
            body: template.body.clone(),
            ..Payload::default()
        };
        let repeat = function.safe[released.priority];
        Some(NewStream {
            id: stream,
            fleet: function.fleet,
            class: function.classes[released.priority],
            tenant: function.tenant,
            key: None,
            slots: 1.0,
            memory: 0.0,
            hint: None,
            deadline: released.deadline,
            prior_attempts: released.attempts,
            peer,
            payload: Arc::new(payload),
            downstream: Box::new(Waiters {
                front: front.clone(),
                no: released.no,
                stream,
                before: released.attempts,
                repeat,
            }),
        })
    }

    fn next_due(&self) -> Option<Micros> {
        self.0.jobs.lock().backlog.next_release_at()
    }

    fn shut_down(&self) {
        self.0.part();
    }
}

/// All who wait for a released job.
struct Waiters {
    front: Arc<Gearman>,
    no: JobNo,
    stream: StreamId,
    /// Attempts that may have run in earlier releases.
    before: u32,
    repeat: bool,
}

impl Waiters {
    fn with_seats(&self, jobs: &Jobs, act: impl Fn(&Seat)) {
        let out = jobs.backlog.job(self.no).filter(|j| j.state == State::Released(self.stream));
        out.iter().for_each(|job| job.waiters.iter().for_each(|w| act(&w.with)));
    }
}

impl Downstream for Waiters {
    fn answer(&self, answer: Answer, ran: u32) {
        let ending = match &answer {
            Answer::Served(_) => Ending::Served,
            Answer::Rejected(_) | Answer::Conflict => Ending::Refused,
            Answer::Failed => Ending::Failed,
            Answer::TimedOut => Ending::TimedOut,
        };
        let (front, now) = (&self.front, clock::now());
        let ran = ran.saturating_sub(self.before);
        let mut jobs = front.jobs.lock();
        let completion = jobs.backlog.complete(self.no, self.stream, ending, ran, self.repeat, now);
        let Some(Completion::Final(ended)) = completion else { return };
        let ends = &mut jobs.ends;
        *match ending {
            Ending::Served => &mut ends.served,
            Ending::Refused => &mut ends.refused,
            Ending::Failed | Ending::TimedOut => &mut ends.failed,
        } += 1;
        let quiet = ended.background && ended.waiters.is_empty();
        let by_worker = ending == Ending::Served || (ending == Ending::Failed && ended.failed);
        if quiet && !by_worker {
            jobs.ends.lost += 1;
        }
        drop(jobs);
        match answer {
            Answer::Served(body) => {
                let (handle, body) = (front.handle(self.no), Arc::new(body));
                // The data follows its head: it is not copied for each who waits.
                let mut head = reply(Kind::WorkComplete, &[handle.as_bytes(), b""]);
                let size = (head.len() - roselock_gearman::packet::HEAD + body.len()) as u32;
                head[8..12].copy_from_slice(&size.to_be_bytes());
                for waiter in &ended.waiters {
                    waiter.with.peer.last_word(front, head.clone(), Tail::Bytes(body.clone()));
                }
            }
            Answer::Rejected(after) => front.last_words(&ended, refusal(after).as_bytes()),
            Answer::Conflict => front.last_words(&ended, b"refused; trying again is harmless"),
            Answer::Failed => {
                let why = ended.exception.clone();
                front.last_words(&ended, why.as_deref().unwrap_or(b"failed; it may have run"));
            }
            Answer::TimedOut => front.last_words(&ended, b"no answer in time; it may have run"),
        }
        if quiet && !by_worker {
            front.log_lost(&ended, if ended.attempts > 0 { "it may have run" } else { "it never ran" });
        }
    }
    fn running(&self, runs: bool) {
        self.front.jobs.lock().backlog.set_running(self.no, self.stream, runs);
    }
    fn progress(&self, share: f64) {
        let jobs = self.front.jobs.lock();
        // A Gearman worker's own numbers are relayed as it said them; HTTP hosts tell a share.
        let Some(job) = jobs.backlog.job(self.no) else { return };
        let percent = ((share * 100.0).clamp(0.0, 100.0).round() as u64, 100);
        let (done, of) = if job.progress.1 > 0 { job.progress } else { percent };
        let handle = self.front.handle(self.no);
        let args =
            [handle.as_bytes(), done.to_string().as_bytes(), of.to_string().as_bytes()].map(<[u8]>::to_vec);
        let status = reply(Kind::WorkStatus, &[&args[0], &args[1], &args[2]]);
        self.with_seats(&jobs, |seat| seat.peer.outbox.tell(status.clone()));
    }
    fn output(&self, saying: OutputKind, bytes: &[u8]) {
        let mut jobs = self.front.jobs.lock();
        let kind = match saying {
            OutputKind::Data => Kind::WorkData,
            OutputKind::Warning => Kind::WorkWarning,
            // Told with the job's end: the attempt that raised it may not be the last.
            OutputKind::Exception => return jobs.backlog.set_exception(self.no, bytes.to_vec()),
        };
        let said = reply(kind, &[self.front.handle(self.no).as_bytes(), bytes]);
        self.with_seats(&jobs, |seat| seat.peer.send(said.clone()));
    }
}

impl Gearman {
    /// Tells all who wait that a job has failed, and why.
    pub(super) fn last_words(&self, ended: &EndedJob<Seat>, why: &[u8]) {
        let handle = self.handle(ended.no);
        for waiter in &ended.waiters {
            let Seat { peer, exceptions } = &waiter.with;
            if *exceptions {
                peer.send(reply(Kind::WorkException, &[handle.as_bytes(), why]));
            }
            peer.last_word(self, reply(Kind::WorkFail, &[handle.as_bytes()]), Tail::None);
        }
    }

    /// A background job ended without a worker's word: nobody else will say so.
    pub(super) fn log_lost(&self, ended: &EndedJob<Seat>, why: &str) {
        let registry = self.functions.load();
        let function = registry.all.get(ended.function).map_or("?", |f| &f.name);
        let (handle, unique) = (self.handle(ended.no), String::from_utf8_lossy(&ended.unique).into_owned());
        tracing::warn!(
            handle,
            unique,
            function,
            ran = ended.attempts,
            "gearman: a background job has ended: {why}"
        );
    }

    /// The process is about to end: who still waits is told, and what is lost is named. Whatever is turned away from
    /// now on would wait in vain, so this is done over and over until the end.
    pub(super) fn part(&self) {
        self.parted.store(true, std::sync::atomic::Ordering::SeqCst);
        let waiting = {
            let mut jobs = self.jobs.lock();
            let waiting = jobs.backlog.drain();
            jobs.ends.refused += waiting.len() as u64;
            jobs.ends.lost += waiting.iter().filter(|e| e.background).count() as u64;
            waiting
        };
        for ended in &waiting {
            self.last_words(ended, b"refused; this server is about to end; trying again is harmless");
            if ended.background {
                self.log_lost(ended, "the process ends, and no worker has it");
            }
        }
        if !waiting.is_empty() {
            tracing::warn!(jobs = waiting.len(), "gearman: jobs that waited were given up at the end");
        }
    }
}

/// What a refusal says.
pub fn refusal(after: Micros) -> String {
    match after {
        0 => "refused; trying again is harmless".into(),
        after => format!("refused; try again after {:.3} s", after as f64 / SECOND as f64),
    }
}

/// How a job stands.
pub fn status(front: &Gearman, handle: &[u8]) -> Vec<u8> {
    let jobs = front.jobs.lock();
    let job = front.job_no(handle).and_then(|no| jobs.backlog.job(no));
    let [known, running, done, of] = standing(job);
    reply(Kind::StatusRes, &[handle, known.as_bytes(), running.as_bytes(), done.as_bytes(), of.as_bytes()])
}

/// How the job with a unique id stands, and how many wait for it.
pub fn status_by_unique(front: &Gearman, unique: &[u8]) -> Vec<u8> {
    let functions = front.functions.load().all.len();
    let jobs = front.jobs.lock();
    let no = (0..functions).find_map(|f| jobs.backlog.by_unique(f, unique));
    let job = no.and_then(|no| jobs.backlog.job(no));
    let [known, running, done, of] = standing(job);
    let waiters = job.map_or(0, |j| j.waiters.len()).to_string();
    let args = [unique, known.as_bytes(), running.as_bytes(), done.as_bytes(), of.as_bytes()];
    reply(Kind::StatusResUnique, &[args[0], args[1], args[2], args[3], args[4], waiters.as_bytes()])
}

fn standing(job: Option<&Job<Seat, Payload>>) -> [String; 4] {
    let flag = |on: bool| if on { "1".to_owned() } else { "0".to_owned() };
    let (done, of) = job.map_or((0, 0), |j| j.progress);
    [flag(job.is_some()), flag(job.is_some_and(|j| j.running)), done.to_string(), of.to_string()]
}
