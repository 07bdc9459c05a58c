//! The clients' side: jobs, who waits for them, and their last words.

use super::packet::{Kind, args, packet};
use super::{Function, Gearman, Peer, error, lock};
use crate::memory::{Answer, Downstream, Input, NewStream, Payload, Saying, StreamId, clock};
use roselock::{Micros, SECOND};
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::sync::atomic::Ordering;

/// Most jobs at a time.
const JOBS: usize = 4096;
/// Most who wait for one job.
const WAITERS: usize = 256;
/// Longest unique id.
const UNIQUE: usize = 256;

/// The jobs that have no final answer yet.
#[derive(Default)]
pub struct Jobs {
    by_handle: BTreeMap<String, Job>,
    by_unique: HashMap<(usize, Vec<u8>), String>,
}

struct Job {
    function: usize,
    unique: Vec<u8>,
    stream: StreamId,
    background: bool,
    running: bool,
    /// Share done.
    done: f64,
    /// What a worker said of its failure.
    exception: Option<Vec<u8>>,
    waiters: Vec<(Arc<Peer>, bool)>,
}

impl Jobs {
    /// Jobs of a function: all, and those that run.
    pub fn count(&self, function: usize) -> (usize, usize) {
        let of = || self.by_handle.values().filter(|j| j.function == function);
        (of().count(), of().filter(|j| j.running).count())
    }
    fn remove(&mut self, handle: &str) -> Option<Job> {
        let job = self.by_handle.remove(handle)?;
        self.by_unique.remove(&(job.function, job.unique.clone()));
        Some(job)
    }
}

/// What is kept of a client's connection.
#[derive(Default)]
pub struct Client {
    exceptions: bool,
    handles: Vec<String>,
}

impl Client {
    /// Whether it waits for a job (as far as known).
    pub fn waits(&self) -> bool {
        !self.handles.is_empty()
    }

    /// An option of the connection.
    pub fn option(&mut self, data: &[u8]) -> Vec<u8> {
        if data != b"exceptions" {
            return error("UNKNOWN_OPTION", "the only option is exceptions");
        }
        self.exceptions = true;
        packet(Kind::OptionRes, &[data])
    }

    /// Takes a job, or joins the one that is under way for the same function and unique id.
    pub fn submit(
        &mut self,
        front: &Arc<Gearman>,
        peer: &Arc<Peer>,
        data: &[u8],
        priority: usize,
        background: bool,
    ) -> Option<Vec<u8>> {
        let Some([name, unique, load]) = args::<3>(data) else {
            return Some(error("INVALID_ARGUMENTS", "a job has a function, a unique id and data"));
        };
        let Some(f) = front.function(name) else {
            return Some(error("UNKNOWN_FUNCTION", "this function is not taken here"));
        };
        // A unique id of '-' stands for the data.
        let unique = if unique == b"-" { load } else { unique };
        if unique.len() > UNIQUE {
            return Some(error("UNIQUE_TOO_LARGE", "the unique id is too long"));
        }
        let mut jobs = lock(&front.jobs);
        self.handles.retain(|h| jobs.by_handle.contains_key(h));
        let key = (f, unique.to_vec());
        if let Some(handle) = jobs.by_unique.get(&key).filter(|_| !unique.is_empty()).cloned() {
            let job = jobs.by_handle.get_mut(&handle)?;
            if job.waiters.len() >= WAITERS {
                return Some(error("QUEUE_FULL", "too many wait for this job"));
            }
            peer.post(packet(Kind::JobCreated, &[handle.as_bytes()]), false);
            job.background |= background;
            if !background {
                job.waiters.push((peer.clone(), self.exceptions));
                self.handles.push(handle);
            }
            return None;
        }
        if jobs.by_handle.len() >= JOBS {
            return Some(error("QUEUE_FULL", "too many jobs are under way"));
        }
        let number = front.next_job.fetch_add(1, Ordering::SeqCst);
        let (handle, function) = (format!("H:roselock:{number}"), &front.functions[f]);
        let stream = front.inbox.stream_id();
        let job = Job {
            function: f,
            unique: unique.to_vec(),
            stream,
            background,
            running: false,
            done: 0.0,
            exception: None,
            waiters: Vec::new(),
        };
        peer.post(packet(Kind::JobCreated, &[handle.as_bytes()]), false);
        let waiters = if background { Vec::new() } else { vec![(peer.clone(), self.exceptions)] };
        jobs.by_handle.insert(handle.clone(), Job { waiters, ..job });
        if !unique.is_empty() {
            jobs.by_unique.insert(key, handle.clone());
        }
        drop(jobs);
        if !background {
            self.handles.push(handle.clone());
        }
        let id = format!("{:016x}", front.life.wrapping_add(number));
        let payload = Arc::new(payload(function, &id, unique, load));
        front.inbox.post(Input::Arrived(Box::new(NewStream {
            id: stream,
            fleet: function.fleet,
            class: function.classes[priority],
            tenant: function.tenant,
            key: None,
            slots: 1.0,
            memory: 0.0,
            hint: None,
            deadline: clock::now() + function.patience,
            peer: peer.address,
            payload,
            downstream: Box::new(Waiters { front: front.clone(), handle }),
        })));
        None
    }

    /// The connection ended: jobs for which nobody waits any more are given up, but for background ones.
    pub fn leave(&mut self, front: &Arc<Gearman>, peer: &Arc<Peer>) {
        let mut left = Vec::new();
        let mut jobs = lock(&front.jobs);
        for handle in self.handles.drain(..) {
            let Some(job) = jobs.by_handle.get_mut(&handle) else { continue };
            job.waiters.retain(|w| w.0.number != peer.number);
            if job.waiters.is_empty() && !job.background {
                left.extend(jobs.remove(&handle).map(|j| j.stream));
            }
        }
        drop(jobs);
        left.into_iter().for_each(|stream| front.inbox.post(Input::Left(stream)));
    }
}

/// What is passed on: to a worker the function and the unique id, to an HTTP host a `POST` to the path.
fn payload(function: &Function, id: &str, unique: &[u8], load: &[u8]) -> Payload {
    match &function.path {
        Some(path) => Payload::compose([id.as_bytes(), b"POST", path.as_bytes(), load]),
        None => Payload::compose([id.as_bytes(), function.name.as_bytes(), unique, load]),
    }
}

/// All who wait for a job.
struct Waiters {
    front: Arc<Gearman>,
    handle: String,
}

impl Waiters {
    fn last_words(&self, waiters: &[(Arc<Peer>, bool)], why: &[u8]) {
        let handle = self.handle.as_bytes();
        for (peer, exceptions) in waiters {
            if *exceptions {
                peer.post(packet(Kind::WorkException, &[handle, why]), false);
            }
            self.last_word(peer, packet(Kind::WorkFail, &[handle]));
        }
    }
    fn last_word(&self, peer: &Peer, bytes: Vec<u8>) {
        self.front.inbox.owe_write();
        if peer.letters.send(super::Letter::Write(bytes, true)).is_err() {
            self.front.inbox.wrote();
        }
    }
    fn with(&self, act: impl FnOnce(&mut Job)) {
        if let Some(job) = lock(&self.front.jobs).by_handle.get_mut(&self.handle) {
            act(job);
        }
    }
}

impl Downstream for Waiters {
    fn answer(&self, answer: Answer) {
        let mut jobs = lock(&self.front.jobs);
        let Some(job) = jobs.remove(&self.handle) else { return };
        match answer {
            Answer::Served(body) => {
                for (peer, _) in &job.waiters {
                    self.last_word(peer, packet(Kind::WorkComplete, &[self.handle.as_bytes(), &body]));
                }
            }
            Answer::Refused(after) => self.last_words(&job.waiters, refusal(after).as_bytes()),
            Answer::Failed | Answer::Conflict => {
                self.last_words(&job.waiters, job.exception.as_deref().unwrap_or(b"failed; it may have run"));
            }
            Answer::TimedOut => self.last_words(&job.waiters, b"no answer in time; it may have run"),
        }
    }
    fn running(&self, runs: bool) {
        self.with(|job| job.running = runs);
    }
    fn progress(&self, share: f64) {
        let percent = format!("{:.0}", (share * 100.0).clamp(0.0, 100.0));
        let status = packet(Kind::WorkStatus, &[self.handle.as_bytes(), percent.as_bytes(), b"100"]);
        self.with(|job| {
            job.done = share;
            job.waiters.iter().for_each(|w| w.0.post(status.clone(), false));
        });
    }
    fn say(&self, saying: Saying, bytes: &[u8]) {
        let kind = match saying {
            Saying::Data => Kind::WorkData,
            Saying::Warning => Kind::WorkWarning,
            Saying::Exception => {
                // Told with the job's end: the attempt that raised it may not be the last.
                self.with(|job| job.exception = Some(bytes.to_vec()));
                return;
            }
        };
        let said = packet(kind, &[self.handle.as_bytes(), bytes]);
        self.with(|job| job.waiters.iter().for_each(|w| w.0.post(said.clone(), false)));
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
    let jobs = lock(&front.jobs);
    let job = std::str::from_utf8(handle).ok().and_then(|h| jobs.by_handle.get(h));
    let (known, running, done) = standing(job);
    packet(Kind::StatusRes, &[handle, known, running, done.as_bytes(), b"100"])
}

/// How the job with a unique id stands, and how many wait for it.
pub fn status_by_unique(front: &Gearman, unique: &[u8]) -> Vec<u8> {
    let jobs = lock(&front.jobs);
    let job = jobs.by_handle.values().find(|j| !unique.is_empty() && j.unique == unique);
    let (known, running, done) = standing(job);
    let waiters = job.map_or(0, |j| j.waiters.len()).to_string();
    packet(Kind::StatusResUnique, &[unique, known, running, done.as_bytes(), b"100", waiters.as_bytes()])
}

fn standing(job: Option<&Job>) -> (&'static [u8], &'static [u8], String) {
    let flag = |on: bool| if on { b"1".as_slice() } else { b"0" };
    let done = format!("{:.0}", job.map_or(0.0, |j| j.done) * 100.0);
    (flag(job.is_some()), flag(job.is_some_and(|j| j.running)), done)
}
