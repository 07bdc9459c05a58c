//! Load on workers that now and then send their answer a second time, some milliseconds late.
mod common;
mod settings;

use common::*;
use std::collections::{HashMap, HashSet};
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Jobs a second: those of `portal-norte` in a burst of half as much again.
const RATE: f64 = 60.0;
/// How long clients send, in seconds.
const LENGTH_S: f64 = 90.0;
/// The share of the answers that are sent a second time, and how late, in milliseconds.
const SECOND_ANSWERS: f64 = 0.5;
const LATE_MS: (f64, f64) = (5.0, 25.0);
/// How long a worker takes to answer 202 or 503, in milliseconds.
const ANSWER_MS: (f64, f64) = (20.0, 60.0);
/// The share of the requests that a worker turns away, as other dispatchers' jobs fill it.
const TURNED_AWAY: f64 = 0.15;

/// What the workers know of the requests.
#[derive(Default)]
struct Ledger {
    /// The ids of the payments.
    payments: HashSet<String>,
    /// The workers that have begun each request.
    begun: HashMap<String, Vec<String>>,
    /// The requests that were given up with DELETE, by worker and id.
    given_up: HashSet<(String, String)>,
}

type SharedLedger = Arc<Mutex<Ledger>>;

#[derive(Clone)]
struct Worker {
    record: Record,
    uid: String,
    dispatcher: u16,
    ledger: SharedLedger,
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::open();
    watchdog(&record, 115);
    let folder = TempFolder::new();
    let listen = free_port();
    let ledger = SharedLedger::default();
    let entries: Vec<Entry> = (0..2).map(|number| start_worker(&record, number, listen, &ledger)).collect();
    let known = list_json(1, true, &entries);
    let discovery = Discovery::start(&record, entries);
    let _dispatcher =
        Dispatcher::start(&record, &folder, "n0", listen, discovery.port, None, settings::PORTAL, &known, "");
    sleep_ms(1000);

    let mut random = Random(0x9e3779b97f4a7c15);
    let start = Instant::now();
    let mut due = 0.0;
    let open = Arc::new(AtomicUsize::new(0));
    while due < LENGTH_S && broken(&ledger).is_empty() {
        due -= random.between(1e-9, 1.0).ln() / RATE;
        let wait = Duration::from_secs_f64(due).saturating_sub(start.elapsed());
        std::thread::sleep(wait);
        let is_payment = random.chance(0.44);
        let id = fresh_id();
        if is_payment {
            ledger.lock().unwrap().payments.insert(id.clone());
        }
        let (record, open) = (record.clone(), open.clone());
        open.fetch_add(1, Ordering::SeqCst);
        std::thread::spawn(move || {
            let (class, budget) = if is_payment { ("plan-payment", 10) } else { ("account-view", 5) };
            let headers = format!(
                "X-Call-Id: {id}\r\nX-Call-Class: {class}\r\nX-Caller: conecta\r\nX-Budget: {budget}\r\n"
            );
            record.line(&format!("client: {class} {id}"));
            let answer = post(listen, "/api/42", &headers, "hello", Duration::from_secs(12));
            let status = answer.map_or(0, |(status, _)| status);
            record.line(&format!("client: {id} answered with {status}"));
            open.fetch_sub(1, Ordering::SeqCst);
        });
    }
    let deadline = Instant::now() + Duration::from_secs(12);
    while open.load(Ordering::SeqCst) > 0 && Instant::now() < deadline {
        sleep_ms(50);
    }
    sleep_ms(500);

    let twice = broken(&ledger);
    let payments = ledger.lock().unwrap().payments.len();
    record.line(&format!("{payments} payments were sent"));
    if twice.is_empty() {
        record.line("held: no payment was begun twice");
        return HELD;
    }
    record.line(&format!("BROKEN: payments that ran more than once: {}", twice.join("; ")));
    println!("payments that ran more than once: {}", twice.join("; "));
    BROKEN
}

/// The payments that workers have begun more than once.
fn broken(ledger: &SharedLedger) -> Vec<String> {
    let ledger = ledger.lock().unwrap();
    let mut twice: Vec<String> = ledger
        .begun
        .iter()
        .filter(|(id, workers)| workers.len() > 1 && ledger.payments.contains(*id))
        .map(|(id, workers)| format!("{id} at {}", workers.join(" and ")))
        .collect();
    twice.sort();
    twice
}

fn start_worker(record: &Record, number: usize, dispatcher: u16, ledger: &SharedLedger) -> Entry {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| not_run(&error.to_string()));
    let port = listener.local_addr().unwrap().port();
    let uid = format!("s-0000000{number}");
    let worker = Worker { record: record.clone(), uid: uid.clone(), dispatcher, ledger: ledger.clone() };
    std::thread::spawn(move || {
        for (connection, stream) in listener.incoming().flatten().enumerate() {
            let worker = worker.clone();
            let seed = 0x2545f4914f6cdd1d ^ ((number as u64 + 1) << 32) ^ (connection as u64 + 1);
            std::thread::spawn(move || worker.serve(stream, connection, Random(seed)));
        }
    });
    Entry {
        uid,
        endpoint: format!("127.0.0.1:{port}"),
        zone: "burgos".to_owned(),
        kind: "node-std".to_owned(),
        state: "ready",
        boot_ms: 0,
    }
}

impl Worker {
    /// Serves a connection: each request is read, answered, and then the next one is read.
    fn serve(&self, stream: TcpStream, connection: usize, mut random: Random) {
        let _ = stream.set_nodelay(true);
        let Ok(writer) = stream.try_clone() else { return };
        let writer = Arc::new(Mutex::new(writer));
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let place = format!("{} connection {connection}", self.uid);
            if request.method() == "DELETE" {
                let id = request.target().rsplit('/').next().unwrap_or("").to_owned();
                self.record.line(&format!("{place}: DELETE {id}"));
                self.ledger.lock().unwrap().given_up.insert((self.uid.clone(), id));
                let _ = writer.lock().unwrap().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            let id = request.header("x-call-id").to_owned();
            self.record.line(&format!("{place}: request {id}"));
            let is_turned_away = random.chance(TURNED_AWAY);
            sleep_ms(random.between(ANSWER_MS.0, ANSWER_MS.1) as u64);
            let answer: &[u8] = if is_turned_away {
                b"HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n"
            } else {
                self.begin(&id, random.between(270.0, 530.0) as u64);
                b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
            };
            let status = if is_turned_away { 503 } else { 202 };
            self.record.line(&format!("{place}: {status} for {id}"));
            if writer.lock().unwrap().write_all(answer).is_err() {
                return;
            }
            if trouble() && random.chance(SECOND_ANSWERS) {
                let late = random.between(LATE_MS.0, LATE_MS.1) as u64;
                let (record, writer, answer) = (self.record.clone(), writer.clone(), answer.to_vec());
                std::thread::spawn(move || {
                    sleep_ms(late);
                    record.line(&format!("{place}: {status} for {id} once more"));
                    let _ = writer.lock().unwrap().write_all(&answer);
                });
            }
        }
    }
    /// Runs a request that this worker has taken.
    fn begin(&self, id: &str, run_ms: u64) {
        self.ledger.lock().unwrap().begun.entry(id.to_owned()).or_default().push(self.uid.clone());
        let worker = self.clone();
        let id = id.to_owned();
        std::thread::spawn(move || {
            let uid = &worker.uid;
            call_back(worker.dispatcher, &format!("{{\"id\":\"{id}\",\"from\":\"{uid}\",\"state\":\"started\"}}"));
            sleep_ms(run_ms);
            if worker.ledger.lock().unwrap().given_up.contains(&(uid.clone(), id.clone())) {
                return;
            }
            worker.record.line(&format!("{uid}: {id} done"));
            let done = format!(
                "{{\"id\":\"{id}\",\"from\":\"{uid}\",\"state\":\"done\",\"result\":\"{id} by {uid}\",\"load\":{{\"x0\":16}}}}"
            );
            call_back(worker.dispatcher, &done);
        });
    }
}
