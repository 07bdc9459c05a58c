//! A keyed job that comes by the Gearman protocol and runs at the HTTP hosts: its connection ends under it once.
mod common;
mod settings;
mod workers;

use common::*;
use std::time::Duration;

/// The number of transfers by each protocol. The first attempt of each third one is cut.
const TRANSFERS: usize = 6;

fn must_cut(text: &str) -> bool {
    text.rsplit(' ').next().and_then(|number| number.parse::<usize>().ok()).is_some_and(|number| number % 3 == 1)
}

fn main() {
    std::process::exit(run());
}

fn run() -> i32 {
    let record = Record::open();
    watchdog(&record, 115);
    let folder = TempFolder::new();
    let (listen, gearman_port) = (free_port(), free_port());
    let ledger = workers::SharedLedger::default();
    let entries: Vec<Entry> = ["s-0000000a", "s-0000000b", "s-0000000c"]
        .into_iter()
        .map(|uid| workers::start_worker(&record, uid, listen, &ledger, must_cut))
        .collect();
    let known = list_json(1, true, &entries);
    let discovery = Discovery::start(&record, entries);
    let operator = folder.write(
        "operator.toml",
        &format!(
            "[gearman]\nlisten = \"127.0.0.1:{gearman_port}\"\n\n[[gearman.function]]\nname = \"fund_transfer\"\n\
             class = \"fund-transfer\"\ntenant = \"himal-shiksha-kosh\"\ndeadline_s = 20.0\ntarget = \"/api/transfer\"\n"
        ),
    );
    let arguments = format!("--operator {}", operator.display());
    let _dispatcher = Dispatcher::start(
        &record, &folder, "n0", listen, discovery.port, None, settings::DAAN, &known, &arguments,
    );
    sleep_ms(500);

    for number in 1..=TRANSFERS {
        submit_http(&record, listen, &format!("http {number}"));
    }
    let Ok(mut client) = GearmanPeer::connect(gearman_port) else { not_run("no Gearman front end") };
    let _ = client.stream.set_read_timeout(Some(Duration::from_secs(25)));
    for number in 1..=TRANSFERS {
        submit_gearman(&record, &mut client, &format!("gearman {number}"));
    }
    sleep_ms(1000);

    let ledger = ledger.lock().unwrap();
    let mut twice: Vec<String> = ledger
        .applied
        .iter()
        .filter(|(_, times)| **times > 1)
        .map(|(transfer, times)| format!("\"{transfer}\" {times} times"))
        .collect();
    twice.sort();
    record.line(&format!("{} of {} transfers were applied", ledger.applied.len(), 2 * TRANSFERS));
    if twice.is_empty() {
        record.line("held: no transfer was applied twice");
        return HELD;
    }
    record.line(&format!("BROKEN: applied more than once: {}", twice.join(", ")));
    println!("applied more than once: {}", twice.join(", "));
    BROKEN
}

fn submit_http(record: &Record, dispatcher: u16, text: &str) {
    let id = fresh_id();
    record.line(&format!("client: POST \"{text}\", id {id}"));
    let headers = format!(
        "X-Call-Id: {id}\r\nX-Call-Class: fund-transfer\r\nX-Caller: himal-shiksha-kosh\r\nX-Budget: 20\r\n\
         Idempotency-Key: key-{id}\r\n"
    );
    let answer = post(dispatcher, "/api/transfer", &headers, text, Duration::from_secs(22));
    record.line(&format!("client: answer to \"{text}\": {answer:?}"));
}

fn submit_gearman(record: &Record, client: &mut GearmanPeer, text: &str) {
    record.line(&format!("client: SUBMIT_JOB \"{text}\""));
    let unique = text.replace(' ', "-");
    if client.send(gearman::SUBMIT_JOB, &["fund_transfer", &unique, text]).is_err() {
        return;
    }
    while let Ok((kind, arguments)) = client.receive() {
        match kind {
            gearman::WORK_COMPLETE | gearman::WORK_FAIL | gearman::ERROR => {
                let name = match kind {
                    gearman::WORK_COMPLETE => "WORK_COMPLETE",
                    gearman::WORK_FAIL => "WORK_FAIL",
                    _ => "ERROR",
                };
                return record.line(&format!("client: {name} for \"{text}\": {arguments:?}"));
            }
            _ => {}
        }
    }
}
