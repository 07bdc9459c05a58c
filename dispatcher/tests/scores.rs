//! One story told twice: the same jobs and the same misfortunes over HTTP/1.1 and over Gearman earn the same.

mod common;
use common::gearman::*;
use common::*;
use rstest::rstest;
use std::collections::BTreeSet;
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

/// Class, what befalls the first attempt, and what the job earns in the end: a payment that may have run is
/// lost, and whatever never ran or may be repeated is not.
const JOBS: [(&str, &str, u32); 8] = [
    ("look", "serve", 1),
    ("pay", "serve", 2),
    ("look", "drop", 1),
    ("pay", "drop", 0),
    ("pay", "fail", 0),
    ("look", "fail", 1),
    ("pay", "serve", 2),
    ("look", "serve", 1),
];
const ROUNDS: usize = 2;

/// What befalls attempts: misfortune strikes a job's first one. Counts how often each ran.
#[derive(Clone, Default)]
struct Fate(Arc<Mutex<(BTreeSet<String>, Vec<String>)>>);

impl Fate {
    fn of(&self, job: &str) -> &'static str {
        let mut fate = self.0.lock().expect("not poisoned");
        fate.1.push(job.to_owned());
        let first = fate.0.insert(job.to_owned());
        match job.split(' ').nth(1) {
            Some("drop") if first => "drop",
            Some("fail") if first => "fail",
            _ => "serve",
        }
    }
    fn most_runs_of_a_payment(&self) -> usize {
        let fate = self.0.lock().expect("not poisoned");
        let payments = || fate.1.iter().filter(|j| j.starts_with("pay"));
        payments().map(|job| payments().filter(|other| *other == job).count()).max().unwrap_or(0)
    }
}

/// Two clients at a time, each with its half of the jobs, one after the other; the worth earned.
fn earn(client: impl Fn(usize) -> Box<dyn FnMut(&str, &str) -> bool + Send>) -> u32 {
    let halves = [0, 1].map(|half| {
        let mut ask = client(half);
        std::thread::spawn(move || {
            let mut earned = 0;
            for round in 0..ROUNDS {
                for (i, (class, fate, worth)) in JOBS.iter().enumerate().filter(|(i, _)| i % 2 == half) {
                    let served = ask(class, &format!("{class} {fate} {round} {i}"));
                    assert_eq!(served, *worth > 0, "{class} {fate}");
                    earned += if *class == "pay" { 2 } else { 1 } * u32::from(served);
                }
            }
            earned
        })
    });
    halves.into_iter().map(|h| h.join().expect("a client ends")).sum()
}

fn over_http(fate: &Fate) -> u32 {
    let discovery = Discovery::start();
    let hosts = ["s-1", "s-2", "s-3"].map(Host::new);
    let known = list(1, true, &hosts.each_ref().map(|h| h.line("ready")));
    let dispatcher = Arc::new(Dispatcher::start(discovery.at, &settings(0.0, 2.0), &known, None));
    for host in hosts {
        let (fate, dispatcher) = (fate.clone(), Arc::downgrade(&dispatcher));
        std::thread::spawn(move || {
            for stream in host.listener.incoming() {
                let (fate, dispatcher, uid) = (fate.clone(), dispatcher.clone(), host.uid);
                std::thread::spawn(move || {
                    let mut peer = Peer::new(stream.expect("a connection"));
                    while let Some(request) = peer.read() {
                        let job = String::from_utf8(request.body.clone()).expect("text");
                        let id = request.header("x-call-id").expect("an id").to_owned();
                        let state = match fate.of(&job) {
                            "drop" => return,
                            "fail" => r#""state":"failed""#,
                            _ => r#""state":"done","result":"ok""#,
                        };
                        peer.write(TAKEN);
                        let Some(dispatcher) = dispatcher.upgrade() else { return };
                        assert_eq!(dispatcher.call_back(&id, uid, state), 204);
                    }
                });
            }
        });
    }
    earn(|half| {
        let (mut peer, mut number) = (Peer::new(connect(dispatcher.http)), 0);
        Box::new(move |class, job| {
            number += 1;
            let head = format!("X-Call-Id: c{half}-{number}\r\nX-Call-Class: {class}\r\nX-Budget: 15");
            let length = job.len();
            peer.write(&format!("POST /api/u HTTP/1.1\r\n{head}\r\nContent-Length: {length}\r\n\r\n{job}"));
            peer.read().expect("an answer").status() == 200
        })
    })
}

fn over_gearman(fate: &Fate) -> u32 {
    let discovery = Discovery::start();
    let none = list(1, true, &[]);
    let dispatcher = Dispatcher::start(discovery.at, &settings(0.0, 2.0), &none, Some(FUNCTIONS));
    let at = dispatcher.gearman.expect("the front is on");
    for _ in 0..3 {
        let fate = fate.clone();
        let mut worker = Gear::new(at);
        worker.register(&["look", "pay"]);
        std::thread::spawn(move || {
            loop {
                let Some(job) = worker.next_job() else { return };
                match fate.of(&job[2]) {
                    "drop" => {
                        let Ok(stream) = std::net::TcpStream::connect(at) else { return };
                        worker = Gear(stream);
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
    earn(|_| {
        let mut client = Gear::new(at);
        Box::new(move |class, job| {
            client.submit(class, "", job);
            client.read().0 == WORK_COMPLETE
        })
    })
}

/// Old clients and workers lose nothing, and no payment runs twice.
#[rstest]
fn both_protocols_earn_the_same() {
    let (http, gearman) = (Fate::default(), Fate::default());
    let earned = (over_http(&http), over_gearman(&gearman));
    let worth: u32 = JOBS.iter().map(|j| j.2).sum::<u32>() * ROUNDS as u32;
    assert_eq!(earned, (worth, worth));
    assert_eq!((http.most_runs_of_a_payment(), gearman.most_runs_of_a_payment()), (1, 1));
    println!("earned over HTTP/1.1 and Gearman: {} and {} of {worth}", earned.0, earned.1);
}
