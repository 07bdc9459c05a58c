//! The same jobs with the same faults yield the same value over HTTP/1.1 and over Gearman.

mod common;
use common::gearman::*;
use common::*;
use rstest::rstest;
use std::sync::{Arc, Mutex};

const FUNCTIONS: &str = r#"cold_s = 0.0
[[function]]
name = "look"
class = "look"
deadline_s = 15.0
target = "gearman"
[[function]]
name = "pay"
class = "pay"
deadline_s = 15.0
target = "gearman"
"#;

/// A job, with the outcome of its first attempt and the value that it yields in the end.
struct Job {
    class: &'static str,
    first_attempt: &'static str,
    value: u32,
}

const fn job(class: &'static str, first_attempt: &'static str, value: u32) -> Job {
    Job { class, first_attempt, value }
}

/// A payment that may have run is lost. A job that never ran or is retryable is not lost.
const JOBS: [Job; 8] = [
    job("look", "serve", 1),
    job("pay", "serve", 2),
    job("look", "drop", 1),
    job("pay", "drop", 0),
    job("pay", "fail", 0),
    job("look", "fail", 1),
    job("pay", "serve", 2),
    job("look", "serve", 1),
];
const ROUNDS: usize = 2;

/// The attempts of all jobs. Only the first attempt of a job has a fault.
#[derive(Clone, Default)]
struct Attempts(Arc<Mutex<Vec<String>>>);

impl Attempts {
    /// Records an attempt and returns its outcome.
    fn record(&self, job: &str) -> &'static str {
        let mut attempts = self.0.lock().expect("lock is poisoned");
        let is_first = !attempts.iter().any(|earlier| earlier == job);
        attempts.push(job.to_owned());
        match job.split(' ').nth(1) {
            Some("drop") if is_first => "drop",
            Some("fail") if is_first => "fail",
            _ => "serve",
        }
    }
    fn max_attempts_of_a_payment(&self) -> usize {
        let attempts = self.0.lock().expect("lock is poisoned");
        let payments = || attempts.iter().filter(|job| job.starts_with("pay"));
        payments().map(|job| payments().filter(|other| *other == job).count()).max().unwrap_or(0)
    }
}

/// Runs two concurrent clients, each with half of the jobs, one job at a time. Returns the total value.
fn run_clients(client: impl Fn(usize) -> Box<dyn FnMut(&str, &str) -> bool + Send>) -> u32 {
    let halves = [0, 1].map(|half| {
        let mut submit = client(half);
        std::thread::spawn(move || {
            let mut total = 0;
            for round in 0..ROUNDS {
                for (number, job) in JOBS.iter().enumerate().filter(|(number, _)| number % 2 == half) {
                    let Job { class, first_attempt, value } = job;
                    let served = submit(class, &format!("{class} {first_attempt} {round} {number}"));
                    assert_eq!(served, *value > 0, "{class} {first_attempt}");
                    total += if *class == "pay" { 2 } else { 1 } * u32::from(served);
                }
            }
            total
        })
    });
    halves.into_iter().map(|client| client.join().expect("client thread panicked")).sum()
}

fn run_over_http(attempts: &Attempts) -> u32 {
    let discovery = MockDiscovery::start();
    let hosts = ["s-1", "s-2", "s-3"].map(Host::new);
    let cached_list = endpoint_list(1, true, &hosts.each_ref().map(|h| h.list_entry("ready")));
    let dispatcher = Arc::new(Dispatcher::start(discovery.address, &settings(0.0, 2.0), &cached_list, None));
    for host in hosts {
        let attempts = attempts.clone();
        let dispatcher = Arc::downgrade(&dispatcher);
        std::thread::spawn(move || {
            for stream in host.listener.incoming() {
                let attempts = attempts.clone();
                let dispatcher = dispatcher.clone();
                let uid = host.uid;
                std::thread::spawn(move || {
                    let mut peer = HttpPeer::new(stream.expect("no connection"));
                    while let Some(request) = peer.read() {
                        let job = String::from_utf8(request.body.clone()).expect("not UTF-8");
                        let id = request.header("x-call-id").expect("no call id").to_owned();
                        let state = match attempts.record(&job) {
                            "drop" => return,
                            "fail" => r#""state":"failed""#,
                            _ => r#""state":"done","result":"ok""#,
                        };
                        peer.write(ACCEPTED_RESPONSE);
                        let Some(dispatcher) = dispatcher.upgrade() else { return };
                        assert_eq!(dispatcher.send_callback(&id, uid, state), 204);
                    }
                });
            }
        });
    }
    run_clients(|half| {
        let (mut peer, mut number) = (HttpPeer::new(connect(dispatcher.http)), 0);
        Box::new(move |class, job| {
            number += 1;
            let head = format!("X-Call-Id: c{half}-{number}\r\nX-Call-Class: {class}\r\nX-Budget: 15");
            let length = job.len();
            peer.write(&format!("POST /api/u HTTP/1.1\r\n{head}\r\nContent-Length: {length}\r\n\r\n{job}"));
            peer.read().expect("no response").status() == 200
        })
    })
}

fn run_over_gearman(attempts: &Attempts) -> u32 {
    let discovery = MockDiscovery::start();
    let none = endpoint_list(1, true, &[]);
    let dispatcher = Dispatcher::start(discovery.address, &settings(0.0, 2.0), &none, Some(FUNCTIONS));
    let at = dispatcher.gearman.expect("Gearman front is not enabled");
    for _ in 0..3 {
        let attempts = attempts.clone();
        let mut worker = GearmanPeer::new(at);
        worker.register(&["look", "pay"]);
        std::thread::spawn(move || {
            loop {
                let Some(job) = worker.next_job() else { return };
                match attempts.record(&job[2]) {
                    "drop" => {
                        let Ok(stream) = std::net::TcpStream::connect(at) else { return };
                        worker = GearmanPeer(stream);
                        worker.register(&["look", "pay"]);
                        continue;
                    }
                    "fail" => worker.send(WORK_FAIL, &[&job[0]]),
                    _ => worker.send(WORK_COMPLETE, &[&job[0], "ok"]),
                }
                worker.send(GRAB_JOB, &[]);
            }
        });
    }
    run_clients(|_| {
        let mut client = GearmanPeer::new(at);
        Box::new(move |class, job| {
            client.submit(class, "", job);
            client.read().0 == WORK_COMPLETE
        })
    })
}

/// Over Gearman the jobs yield the same value as over HTTP/1.1, and no payment runs twice.
#[rstest]
fn both_protocols_yield_the_same_value() {
    let (http, gearman) = (Attempts::default(), Attempts::default());
    let totals = (run_over_http(&http), run_over_gearman(&gearman));
    let value: u32 = JOBS.iter().map(|job| job.value).sum::<u32>() * ROUNDS as u32;
    assert_eq!(totals, (value, value));
    assert_eq!((http.max_attempts_of_a_payment(), gearman.max_attempts_of_a_payment()), (1, 1));
    println!("value over HTTP/1.1 and Gearman: {} and {} of {value}", totals.0, totals.1);
}
