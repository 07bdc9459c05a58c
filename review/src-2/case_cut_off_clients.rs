//! Clients of the Gearman front end are cut off while the jobs that they have submitted run.
mod common;
mod settings;

use common::*;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The dispatcher's memory limit: half of the largest one.
const LIMIT_MB: u64 = 96;
const CLIENTS: usize = 100;
/// The clients that are not cut off, in another zone.
const OTHERS: usize = 4;
/// The jobs that each client submits, one every 0.15 s.
const JOBS: usize = 8;
const WORKERS: usize = 16;
/// The size of a result: what `max_job_kb` allows without a setting is 1024 KiB.
const RESULT_BYTES: usize = 1024 << 10;
/// How long a job runs, in milliseconds: 16 workers run 40 jobs a second.
const RUN_MS: u64 = 400;
/// How long the clients are cut off, in seconds.
const CUT_S: f64 = 18.0;

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::open();
    let folder = TempFolder::new();
    let (listen, gearman_port) = (free_port(), free_port());
    let idle = std::net::TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| not_run(&error.to_string()));
    let entries = vec![Entry {
        uid: "s-00000001".to_owned(),
        endpoint: idle.local_addr().unwrap().to_string(),
        zone: "burgos".to_owned(),
        kind: "node-std".to_owned(),
        state: "ready",
        boot_ms: 0,
    }];
    let known = list_json(1, true, &entries);
    let discovery = Discovery::start(&record, entries);
    let operator = folder.write(
        "operator.toml",
        &format!(
            "[gearman]\nlisten = \"127.0.0.1:{gearman_port}\"\ncold_s = 0\n\n[[gearman.function]]\nname = \"account_view\"\n\
             class = \"account-view\"\ntenant = \"conecta\"\ndeadline_s = 5.0\ntarget = \"gearman\"\n"
        ),
    );
    let arguments = format!("--operator {}", operator.display());
    let mut dispatcher = Dispatcher::start(
        &record, &folder, "n0", listen, discovery.port, None, settings::PORTAL, &known, &arguments,
    );
    watchdog(&record, vec![dispatcher.child.id()], 110);
    let result = Arc::new("x".repeat(RESULT_BYTES));
    let ran = Arc::new(AtomicUsize::new(0));
    for _ in 0..WORKERS {
        let (result, ran) = (result.clone(), ran.clone());
        std::thread::spawn(move || work(gearman_port, &result, &ran));
    }
    sleep_ms(1000);

    // The platform kills the dispatcher when it is over its limit.
    let is_killed = Arc::new(AtomicBool::new(false));
    let peak = Arc::new(Mutex::new(0));
    let process = dispatcher.child.id();
    {
        let (record, is_killed, peak) = (record.clone(), is_killed.clone(), peak.clone());
        std::thread::spawn(move || loop {
            let kib = resident_kib(process);
            let mut peak = peak.lock().unwrap();
            *peak = kib.max(*peak);
            if kib > LIMIT_MB * 1024 && !is_killed.swap(true, Ordering::SeqCst) {
                record.line(&format!("platform: {kib} KiB, over the limit of {LIMIT_MB} MiB: killed"));
                let _ = std::process::Command::new("kill").args(["-KILL", &process.to_string()]).status();
                return;
            }
            drop(peak);
            sleep_ms(20);
        });
    }

    let cut_until = Instant::now() + Duration::from_secs_f64(if trouble() { CUT_S } else { 0.0 });
    let accepted = Arc::new(AtomicUsize::new(0));
    let answered = Arc::new(AtomicUsize::new(0));
    let answered_others = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..CLIENTS + OTHERS)
        .map(|number| {
            let is_cut = number < CLIENTS;
            let cut_until = if is_cut { cut_until } else { Instant::now() };
            let answered = if is_cut { &answered } else { &answered_others };
            let (record, accepted, answered) = (record.clone(), accepted.clone(), answered.clone());
            std::thread::spawn(move || client(&record, number, gearman_port, cut_until, &accepted, &answered))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let answered_others = answered_others.load(Ordering::SeqCst);
    let accepted = accepted.load(Ordering::SeqCst);
    let answered = answered.load(Ordering::SeqCst) + answered_others;
    let ran = ran.load(Ordering::SeqCst);
    let peak = *peak.lock().unwrap();
    record.line(&format!(
        "{accepted} jobs were accepted, {ran} ran, {answered} were answered; peak {peak} KiB of {} KiB",
        LIMIT_MB * 1024
    ));
    let is_over = is_killed.load(Ordering::SeqCst);
    let has_ended = !dispatcher.is_running();
    if !is_over && !has_ended {
        record.line("held: the dispatcher stayed within its limit");
        return HELD;
    }
    let text = format!(
        "over its memory limit and killed; {} accepted jobs were never answered, {} of them of clients that were not cut off",
        accepted - answered,
        OTHERS * JOBS - answered_others
    );
    record.line(&format!("BROKEN: {text}"));
    println!("{text}");
    BROKEN
}

/// The resident memory of a process.
fn resident_kib(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok()).unwrap_or(0)
}

fn work(port: u16, result: &str, ran: &AtomicUsize) {
    let Ok(mut worker) = GearmanPeer::connect(port) else { return };
    let _ = worker.send(gearman::CAN_DO, &["account_view"]);
    while let Ok(job) = worker.next_job() {
        sleep_ms(RUN_MS);
        if worker.send(gearman::WORK_COMPLETE, &[&job[0], result]).is_err() {
            return;
        }
        ran.fetch_add(1, Ordering::SeqCst);
    }
}

/// Submits jobs, reads nothing while it is cut off, and then reads the answers.
fn client(
    record: &Record,
    number: usize,
    port: u16,
    cut_until: Instant,
    accepted: &AtomicUsize,
    answered: &AtomicUsize,
) {
    let Ok(mut client) = GearmanPeer::connect(port) else { return };
    for job in 0..JOBS {
        if client.send(gearman::SUBMIT_JOB, &["account_view", "", &format!("{number}-{job}")]).is_err() {
            return;
        }
        sleep_ms(150);
    }
    let mut open = 0;
    let mut created = 0;
    while created < JOBS {
        match client.receive() {
            Ok((gearman::JOB_CREATED, _)) => {
                created += 1;
                open += 1;
                accepted.fetch_add(1, Ordering::SeqCst);
            }
            Ok((gearman::WORK_COMPLETE | gearman::WORK_FAIL, _)) => {
                open -= 1;
                answered.fetch_add(1, Ordering::SeqCst);
            }
            Ok((gearman::ERROR, _)) => created += 1,
            Ok(_) => {}
            Err(_) => return,
        }
    }
    record.line(&format!("client {number}: {JOBS} jobs accepted"));
    std::thread::sleep(cut_until.saturating_duration_since(Instant::now()));
    let _ = client.stream.set_read_timeout(Some(Duration::from_secs(40)));
    while open > 0 {
        match client.receive() {
            Ok((gearman::WORK_COMPLETE | gearman::WORK_FAIL, _)) => {
                open -= 1;
                answered.fetch_add(1, Ordering::SeqCst);
            }
            Ok(_) => {}
            Err(error) => return record.line(&format!("client {number}: connection ended, {open} jobs open: {error}")),
        }
    }
    record.line(&format!("client {number}: all jobs answered"));
}
