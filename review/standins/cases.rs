//! The cases. Each returns what broke the rule; empty if it held.

use crate::client::{self, Answer, Request, fresh_id};
use crate::discovery::Discovery;
use crate::platform::{DRAIN_GRACE_S, Machine, Process};
use crate::record::Record;
use crate::worker::{RunTime, Worker};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

pub type Outcome = Result<Vec<String>, String>;

pub fn run(case: &str, record: &Record, with_trouble: bool) -> Outcome {
    match case {
        "pipelined" => pipelined(record, with_trouble),
        "restored" => restored(record, with_trouble),
        "open-id" => open_id(record, with_trouble),
        _ => Err(format!("unknown case {case}")),
    }
}

fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// A deployment: workers, discovery, and the machine of one dispatcher.
struct Site {
    workers: Vec<Worker>,
    discovery: Discovery,
    machine: Machine,
}

impl Site {
    fn start(record: &Record, uids: &[&str], run_time: RunTime) -> Result<Site, String> {
        let text = |error: std::io::Error| error.to_string();
        let listener = TcpListener::bind("127.0.0.1:0").map_err(text)?;
        let listen = listener.local_addr().map_err(text)?;
        let started: Result<Vec<Worker>, _> =
            uids.iter().map(|uid| Worker::start(uid, listen, record, run_time)).collect();
        let workers = started.map_err(text)?;
        let entries = workers.iter().map(|worker| worker.entry("ready")).collect();
        let discovery = Discovery::start(record, entries).map_err(text)?;
        let mut machine = Machine::new(record, listener)?;
        machine.set_discovery(discovery.address, discovery.list());
        Ok(Site { workers, discovery, machine })
    }
}

/// Usual clients: each sends one request after another, each on a new connection, until they are stopped.
struct Traffic {
    stopped: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
    answers: Arc<Mutex<Vec<(f64, String, Answer)>>>,
}

impl Traffic {
    fn start(
        record: &Record,
        listen: SocketAddr,
        class: &'static str,
        clients: usize,
        pause: f64,
    ) -> Traffic {
        let stopped = Arc::new(AtomicBool::new(false));
        let answers = Arc::<Mutex<Vec<_>>>::default();
        let client = |number: usize| {
            let (record, stopped, answers) = (record.clone(), stopped.clone(), answers.clone());
            std::thread::spawn(move || {
                while !stopped.load(Ordering::SeqCst) {
                    let id = fresh_id();
                    let path = if class == "plan-payment" { "/api/pay" } else { "/api/user" };
                    let request = Request { id: &id, class, path, budget: 3.0, body: "hello" };
                    let sent_at = record.now();
                    let answer = client::send(listen, &request, &record, &format!("client {number}"));
                    answers.lock().unwrap().push((sent_at, id, answer));
                    sleep(pause);
                }
            })
        };
        let clients = (0..clients).map(client).collect();
        Traffic { stopped, clients, answers }
    }

    fn stop(self) -> Vec<(f64, String, Answer)> {
        self.stopped.store(true, Ordering::SeqCst);
        for client in self.clients {
            let _ = client.join();
        }
        self.answers.lock().unwrap().clone()
    }
}

/// How long a job runs: payments take longer.
fn run_time(path: &str) -> Duration {
    Duration::from_millis(if path == "/api/pay" { 400 } else { 20 })
}

/// A call to the second address that has to be answered with a yes.
fn yes(process: &Process, line: &str) -> Result<(), String> {
    let answer = process.call(line)?;
    if answer.starts_with("+OK") { Ok(()) } else { Err(format!("{line}: {answer}")) }
}

/// The attempts at a worker that began after a time.
fn attempts_after(record: &Record, worker: &str, from: f64) -> Vec<f64> {
    let attempts = record.attempts();
    attempts.iter().filter(|a| a.worker == worker && a.at > from).map(|a| a.at).collect()
}

fn drain_break(record: &Record, worker: &str, since: f64, what: &str) -> Option<String> {
    let late = attempts_after(record, worker, since + DRAIN_GRACE_S);
    let (first, last) = (late.first()?, late.last()?);
    let count = late.len();
    let (first, last) = (first - since, last - since);
    Some(format!("{count} requests begun at {worker} {first:.2} to {last:.2} s after {what}"))
}

/// Clients send several requests at once on a connection, or, without the disruption, one after the other.
fn pipelined(record: &Record, with_trouble: bool) -> Outcome {
    let mut site = Site::start(record, &["s-1", "s-2", "s-3"], run_time)?;
    let listen = site.machine.listen;
    let process = site.machine.start()?;
    sleep(1.0);
    let client = |number: usize| {
        let record = record.clone();
        std::thread::spawn(move || {
            let who = format!("client {number}");
            sleep(number as f64 * 0.3);
            client::send_many(listen, "plan-payment", with_trouble, &record, &who)
        })
    };
    let clients: Vec<_> = (0..4).map(client).collect();
    let mut broken = Vec::new();
    for client in clients {
        let sent = client.join().map_err(|_| "a client failed")??;
        if sent.lost > 0 {
            broken.push(format!(
                "of {} requests of a client {} were answered, and {} were read and got no answer",
                sent.requests, sent.answered, sent.lost
            ));
        }
    }
    drop(process);
    Ok(broken)
}

/// A worker that is out by hand is removed from the list, and the ban is ended later.
fn restored(record: &Record, with_trouble: bool) -> Outcome {
    let mut site = Site::start(record, &["s-1", "s-2", "s-3"], run_time)?;
    let process = site.machine.start()?;
    let views = Traffic::start(record, site.machine.listen, "account-view", 4, 0.01);
    let payments = Traffic::start(record, site.machine.listen, "plan-payment", 4, 0.02);
    sleep(3.0);
    if attempts_after(record, "s-1", 0.0).is_empty() {
        return Err("s-1 was never used".to_owned());
    }
    yes(&process, "SUSPEND s-1")?;
    sleep(1.0);
    if with_trouble {
        site.discovery.go_down();
        sleep(2.0);
    }
    site.discovery.change(site.workers[0].entry("gone"));
    let rev = site.discovery.rev();
    if with_trouble {
        sleep(1.0);
        site.discovery.come_up();
    }
    let mut told_at = None;
    for _ in 0..100 {
        told_at = site.discovery.told_at(rev);
        if told_at.is_some() {
            break;
        }
        sleep(0.1);
    }
    let told_at = told_at.ok_or("the dispatcher did not call discovery within 10 s")?;
    sleep(2.0);
    yes(&process, "RESTORE s-1")?;
    sleep(3.0);
    // It was removed, so its process may end at any time; what it had taken is gone with it.
    site.workers[0].die();
    sleep(3.0);
    views.stop();
    let unpaid = payments.stop().into_iter().filter(|(sent_at, id, answer)| {
        let went_there = record.attempts().iter().any(|a| a.id == *id && a.worker == "s-1");
        *sent_at > told_at && went_there && !matches!(answer, Answer::Status(200, _))
    });
    record.note(&format!("payments that were sent to s-1 after that and not served: {}", unpaid.count()));
    let what = "discovery had told that it is gone";
    Ok(drain_break(record, "s-1", told_at, what).into_iter().collect())
}

/// How long a payment runs in the next case.
fn slow(_: &str) -> Duration {
    Duration::from_millis(1500)
}

/// What a bad client with the id of an open request got, until it was not refused at once.
fn send_open_id(listen: SocketAddr, id: &str, record: &Record) -> Answer {
    let (class, path) = ("plan-payment", "/api/user");
    let request = Request { id, class, path, budget: 3.0, body: "other" };
    let mut answer = Answer::Nothing;
    for _ in 0..4 {
        answer = client::send(listen, &request, record, "bad client");
        if !matches!(answer, Answer::Status(400..500, _)) {
            break;
        }
    }
    answer
}

/// Bad clients send the ids of other clients' open requests, while an upgrade is under way.
fn open_id(record: &Record, with_trouble: bool) -> Outcome {
    let mut site = Site::start(record, &["s-1", "s-2", "s-3", "s-4"], slow)?;
    let listen = site.machine.listen;
    let old = site.machine.start()?;
    sleep(1.0);
    let new = if with_trouble { Some(site.machine.start()?) } else { None };
    let mut pairs = Vec::new();
    for _ in 0..8 {
        let (id, record) = (fresh_id(), record.clone());
        let pair = std::thread::spawn(move || {
            let (usual_id, usual_record) = (id.clone(), record.clone());
            let usual = std::thread::spawn(move || {
                let (class, path) = ("plan-payment", "/api/user");
                let request = Request { id: &usual_id, class, path, budget: 3.0, body: "own" };
                client::send(listen, &request, &usual_record, "usual client")
            });
            sleep(0.3);
            let bad = send_open_id(listen, &id, &record);
            (id, usual.join(), bad)
        });
        pairs.push(pair);
        sleep(0.05);
    }
    let mut broken = Vec::new();
    for pair in pairs {
        let (id, usual, bad) = pair.join().map_err(|_| "a client failed")?;
        let usual = usual.map_err(|_| "a client failed")?;
        let attempts = record.attempts().iter().filter(|attempt| attempt.id == id).count();
        if attempts > 1 {
            broken.push(format!("payment {id} arrived {attempts} times at workers"));
        }
        if let Answer::Status(200, body) = &bad {
            broken.push(format!("the bad client with {id} was served: {body:?}"));
        }
        match &usual {
            Answer::Status(200, body) if body.contains("with own") => {}
            Answer::Status(200, body) => broken.push(format!("the client of {id} got {body:?}")),
            other => record.note(&format!("the client of {id} was not served: {other:?}")),
        }
    }
    if new.is_some() {
        old.end();
    }
    Ok(broken)
}
