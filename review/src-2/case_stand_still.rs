//! Some Gearman workers stand still for a moment, and end their jobs together afterwards. Their client reads all the time.
mod common;
mod settings;

use common::*;
use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The workers, and those that stand still: at most 47 % of them.
const WORKERS: usize = 14;
const STANDING_STILL: usize = 6;
/// They stand still for this long, every few seconds.
const STILL_MS: u64 = 330;
const STILL_EVERY_S: u64 = 3;
/// The size of a result: the largest that `max_job_kb` allows without a setting.
const RESULT_BYTES: usize = 1024 << 10;
/// How long the client submits, and how many of its jobs are open at a time.
const LENGTH_S: u64 = 27;
const OPEN_JOBS: usize = 14;
/// Except after standing still, no two jobs end within this time.
const GAP: Duration = Duration::from_millis(12);

/// What the workers share.
struct Shared {
    record: Record,
    start: Instant,
    result: String,
    last_end: Mutex<Instant>,
    ran: AtomicUsize,
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::open();
    watchdog(&record, 115);
    let folder = TempFolder::new();
    let (listen, gearman_port) = (free_port(), free_port());
    // No HTTP worker takes part; one is listed, so that the dispatcher is ready.
    let idle = std::net::TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| not_run(&error.to_string()));
    let entries = vec![Entry {
        uid: "s-00000001".to_owned(),
        endpoint: idle.local_addr().unwrap().to_string(),
        zone: "teku".to_owned(),
        kind: "mid-4c".to_owned(),
        state: "ready",
        boot_ms: 0,
    }];
    let known = list_json(1, true, &entries);
    let discovery = Discovery::start(&record, entries);
    let operator = folder.write(
        "operator.toml",
        &format!(
            "[gearman]\nlisten = \"127.0.0.1:{gearman_port}\"\ncold_s = 0\n\n[[gearman.function]]\nname = \"gift_charge\"\n\
             class = \"gift-charge\"\ntenant = \"himal-shiksha-kosh\"\ndeadline_s = 5.0\ntarget = \"gearman\"\n"
        ),
    );
    let arguments = format!("--operator {}", operator.display());
    let _dispatcher = Dispatcher::start(
        &record, &folder, "n0", listen, discovery.port, None, settings::DAAN, &known, &arguments,
    );
    let shared = Arc::new(Shared {
        record: record.clone(),
        start: Instant::now(),
        result: "x".repeat(RESULT_BYTES),
        last_end: Mutex::new(Instant::now()),
        ran: AtomicUsize::new(0),
    });
    for number in 0..WORKERS {
        let shared = shared.clone();
        std::thread::spawn(move || work(&shared, number, gearman_port));
    }
    sleep_ms(1000);
    let lost = submit_jobs(&shared, gearman_port);
    let ran = shared.ran.load(Ordering::SeqCst);
    if lost.is_empty() {
        record.line(&format!("held: {ran} jobs ran, and each was answered"));
        return HELD;
    }
    record.line(&format!(
        "BROKEN: the dispatcher ended the connection of a client that reads: {} accepted jobs without an answer ({}); \
         {ran} jobs ran",
        lost.len(),
        lost.join(", ")
    ));
    println!("{} accepted jobs lost with their connection: {}", lost.len(), lost.join(", "));
    BROKEN
}

/// When the present span of standing still ends, if there is one.
fn still_until(shared: &Shared, number: usize) -> Option<Instant> {
    if !trouble() || number >= STANDING_STILL {
        return None;
    }
    let elapsed = shared.start.elapsed().as_millis() as u64;
    let span = elapsed / (STILL_EVERY_S * 1000);
    let begin = span * STILL_EVERY_S * 1000;
    (span > 0 && elapsed < begin + STILL_MS)
        .then(|| shared.start + Duration::from_millis(begin + STILL_MS))
}

fn work(shared: &Shared, number: usize, port: u16) {
    let mut random = Random(0x2545f4914f6cdd1d ^ (number as u64 + 1));
    let Ok(mut worker) = GearmanPeer::connect(port) else { return };
    let _ = worker.send(gearman::CAN_DO, &["gift_charge"]);
    while let Ok(job) = worker.next_job() {
        let due = Instant::now() + Duration::from_millis(random.between(310.0, 590.0) as u64);
        // Runs in steps of a millisecond, except while it stands still.
        let mut stood_still = false;
        while Instant::now() < due {
            if let Some(until) = still_until(shared, number) {
                std::thread::sleep(until.saturating_duration_since(Instant::now()));
                stood_still = true;
            }
            sleep_ms(1);
        }
        if !stood_still {
            let mut last_end = shared.last_end.lock().unwrap();
            std::thread::sleep((*last_end + GAP).saturating_duration_since(Instant::now()));
            *last_end = Instant::now();
        }
        shared.ran.fetch_add(1, Ordering::SeqCst);
        let after = if stood_still { ", after it stood still" } else { "" };
        shared.record.line(&format!("worker {number}: has run \"{}\"{after}", job[3]));
        if worker.send(gearman::WORK_COMPLETE, &[&job[0], &shared.result]).is_err() {
            return;
        }
    }
}

/// Submits jobs and reads their results. The jobs that were accepted and got none before the connection ended.
fn submit_jobs(shared: &Shared, port: u16) -> Vec<String> {
    let record = &shared.record;
    let Ok(client) = GearmanPeer::connect(port) else { not_run("no Gearman front end") };
    let _ = client.stream.set_read_timeout(Some(Duration::from_secs(15)));
    let mut sender = GearmanPeer { stream: client.stream.try_clone().unwrap() };
    let mut reader = GearmanPeer { stream: client.stream };
    let end = Instant::now() + Duration::from_secs(LENGTH_S);
    let mut submitted = 0;
    let mut pending: std::collections::VecDeque<String> = std::collections::VecDeque::new();
    let mut open: HashMap<String, String> = HashMap::new();
    loop {
        while pending.len() + open.len() < OPEN_JOBS && Instant::now() < end {
            submitted += 1;
            let name = format!("gift {submitted}");
            if sender.send(gearman::SUBMIT_JOB, &["gift_charge", "", &name]).is_err() {
                break;
            }
            pending.push_back(name);
        }
        if pending.is_empty() && open.is_empty() {
            return Vec::new();
        }
        match reader.receive() {
            Ok((gearman::JOB_CREATED, arguments)) => {
                if let Some(name) = pending.pop_front() {
                    record.line(&format!("client: \"{name}\" accepted"));
                    open.insert(arguments[0].clone(), name);
                }
            }
            Ok((gearman::WORK_COMPLETE, arguments)) => {
                if let Some(name) = open.remove(&arguments[0]) {
                    record.line(&format!("client: result of \"{name}\", {} bytes", arguments[1].len()));
                }
            }
            Ok((gearman::WORK_FAIL, arguments)) => {
                if let Some(name) = open.remove(&arguments[0]) {
                    record.line(&format!("client: \"{name}\" has failed"));
                }
            }
            Ok((gearman::ERROR, arguments)) => {
                let name = pending.pop_front();
                record.line(&format!("client: {name:?} refused: {arguments:?}"));
            }
            Ok(_) => {}
            Err(error) => {
                record.line(&format!("client: the connection ended: {error}"));
                sleep_ms(1500);
                let mut lost: Vec<String> = open.into_values().collect();
                lost.sort();
                return lost;
            }
        }
    }
}
