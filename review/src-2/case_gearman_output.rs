//! A Gearman worker drops its connection in the middle of a job whose result it sends in parts.
mod common;
mod settings;

use common::*;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// The parts of each worker's result: an account's bookings.
const PARTS: [&str; 4] = ["invoice 120.00; ", "invoice 80.00; ", "payment -120.00; ", "balance 80.00"];
/// Jobs that are sent one after another. The first worker of each third one drops its connection after two parts.
const JOBS: usize = 6;

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::open();
    let folder = TempFolder::new();
    let (listen, gearman_port) = (free_port(), free_port());
    // No HTTP worker takes part; one is listed, so that the dispatcher is ready.
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
            "[gearman]\nlisten = \"127.0.0.1:{gearman_port}\"\n\n[[gearman.function]]\nname = \"account_view\"\n\
             class = \"account-view\"\ntenant = \"conecta\"\ndeadline_s = 5.0\ntarget = \"gearman\"\n"
        ),
    );
    let arguments = format!("--operator {}", operator.display());
    let dispatcher = Dispatcher::start(
        &record, &folder, "n0", listen, discovery.port, None, settings::PORTAL, &known, &arguments,
    );
    watchdog(&record, vec![dispatcher.child.id()], 110);

    let dropped = Arc::new(Mutex::new(Vec::new()));
    for number in 1..=2 {
        let (record, dropped) = (record.clone(), dropped.clone());
        std::thread::spawn(move || {
            // A worker that has lost its connection connects again after a second, as a restarted one would.
            loop {
                let _ = work(&record, number, gearman_port, &dropped);
                sleep_ms(1000);
            }
        });
    }
    sleep_ms(1000);

    let Ok(mut client) = GearmanPeer::connect(gearman_port) else { not_run("no Gearman front end") };
    let _ = client.stream.set_read_timeout(Some(Duration::from_secs(15)));
    let whole = PARTS.concat();
    let mut wrong = Vec::new();
    for job in 1..=JOBS {
        let result = submit(&record, &mut client, &format!("subscriber-{job}"));
        if let Some(result) = result.filter(|result| *result != whole) {
            wrong.push(format!("subscriber-{job}: \"{result}\""));
        }
        sleep_ms(1500);
    }
    if wrong.is_empty() {
        record.line("held: each result was one that a worker made");
        return HELD;
    }
    record.line(&format!("BROKEN: results that no worker made: {}", wrong.join("; ")));
    println!("results that no worker made: {}", wrong.join("; "));
    BROKEN
}

/// Works until the connection ends.
fn work(record: &Record, number: usize, port: u16, dropped: &Mutex<Vec<String>>) -> std::io::Result<()> {
    let mut worker = GearmanPeer::connect(port)?;
    worker.send(gearman::CAN_DO, &["account_view"])?;
    loop {
        let job = worker.next_job()?;
        let (handle, data) = (job[0].clone(), job[3].clone());
        record.line(&format!("worker {number}: takes \"{data}\""));
        let is_third = data.ends_with('1') || data.ends_with('4');
        for (index, part) in PARTS[..3].iter().enumerate() {
            sleep_ms(100);
            let must_drop = trouble() && is_third && index == 2 && !dropped.lock().unwrap().contains(&data);
            if must_drop {
                dropped.lock().unwrap().push(data.clone());
                record.line(&format!("worker {number}: drops its connection after two parts of \"{data}\""));
                return worker.stream.shutdown(std::net::Shutdown::Both);
            }
            worker.send(gearman::WORK_DATA, &[&handle, part])?;
        }
        sleep_ms(100);
        worker.send(gearman::WORK_COMPLETE, &[&handle, PARTS[3]])?;
        record.line(&format!("worker {number}: has sent the result of \"{data}\" in four parts"));
    }
}

/// Submits a job. Its result: the data of all WORK_DATA packets, and that of WORK_COMPLETE; none if the job failed.
fn submit(record: &Record, client: &mut GearmanPeer, data: &str) -> Option<String> {
    record.line(&format!("client: SUBMIT_JOB \"{data}\""));
    client.send(gearman::SUBMIT_JOB, &["account_view", "", data]).ok()?;
    let mut result = String::new();
    loop {
        let (kind, arguments) = client.receive().ok()?;
        match kind {
            gearman::WORK_DATA => {
                record.line(&format!("client: WORK_DATA \"{}\"", arguments[1]));
                result.push_str(&arguments[1]);
            }
            gearman::WORK_COMPLETE => {
                result.push_str(&arguments[1]);
                record.line(&format!("client: WORK_COMPLETE, the result is \"{result}\""));
                return Some(result);
            }
            gearman::WORK_FAIL | gearman::ERROR => {
                record.line(&format!("client: \"{data}\" has failed"));
                return None;
            }
            _ => {}
        }
    }
}
