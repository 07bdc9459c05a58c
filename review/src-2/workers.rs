//! HTTP workers of the donations service, which share the keys that they have seen, each behind a relay that can end a
//! connection under a request that has begun.
use crate::common::*;
use std::collections::{HashMap, HashSet};
use std::io::{BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// All workers drop a repeat of a key for 30 s.
const KEY_WINDOW: Duration = Duration::from_secs(30);

/// What the workers have done.
#[derive(Default)]
pub struct Ledger {
    /// How often each transfer was applied, by the text of its request.
    pub applied: HashMap<String, u32>,
    /// When each key was seen first.
    keys: HashMap<String, Instant>,
    /// The transfers whose first attempt the relay has cut.
    cut: HashSet<String>,
}

pub type SharedLedger = Arc<Mutex<Ledger>>;

/// Starts a worker and its relay; the list names the relay. `must_cut` says whether the first attempt of a transfer is cut.
pub fn start_worker(
    record: &Record,
    uid: &str,
    dispatcher: u16,
    ledger: &SharedLedger,
    must_cut: fn(&str) -> bool,
) -> Entry {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| not_run(&error.to_string()));
    let port = listener.local_addr().unwrap().port();
    let worker = Worker { record: record.clone(), uid: uid.to_owned(), dispatcher, ledger: ledger.clone(), must_cut };
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let worker = worker.clone();
            std::thread::spawn(move || worker.serve(stream));
        }
    });
    Entry {
        uid: uid.to_owned(),
        endpoint: format!("127.0.0.1:{port}"),
        zone: "teku".to_owned(),
        kind: "mid-4c".to_owned(),
        state: "ready",
        boot_ms: 0,
    }
}

#[derive(Clone)]
struct Worker {
    record: Record,
    uid: String,
    dispatcher: u16,
    ledger: SharedLedger,
    must_cut: fn(&str) -> bool,
}

impl Worker {
    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            if request.method() == "DELETE" {
                self.record.line(&format!("{}: {} {}", self.uid, request.method(), request.target()));
                let _ = writer.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            let text = String::from_utf8_lossy(&request.body).into_owned();
            self.take(&request, &text);
            // The worker has the whole request and has begun it; its 202 is on its way.
            let is_first = (self.must_cut)(&text) && self.ledger.lock().unwrap().cut.insert(text.clone());
            if trouble() && is_first {
                self.record.line(&format!("relay of {}: connection ended under \"{text}\", before the 202", self.uid));
                let _ = writer.shutdown(Shutdown::Both);
                return;
            }
            let _ = writer.write_all(b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n");
        }
    }
    /// Takes a request: drops it if its key was seen, and runs it otherwise.
    fn take(&self, request: &Message, text: &str) {
        let key = request.header("idempotency-key").to_owned();
        let id = request.header("x-call-id").to_owned();
        let mut ledger = self.ledger.lock().unwrap();
        let is_repeat =
            !key.is_empty() && ledger.keys.get(&key).is_some_and(|seen| seen.elapsed() < KEY_WINDOW);
        if !key.is_empty() && !is_repeat {
            ledger.keys.insert(key.clone(), Instant::now());
        }
        if !is_repeat {
            *ledger.applied.entry(text.to_owned()).or_default() += 1;
        }
        drop(ledger);
        let what = if is_repeat { "drops the repeat of" } else { "runs" };
        self.record.line(&format!("{}: {what} \"{text}\", id {id}, key \"{key}\"", self.uid));
        let worker = self.clone();
        let text = text.to_owned();
        std::thread::spawn(move || {
            let uid = &worker.uid;
            call_back(worker.dispatcher, &format!("{{\"id\":\"{id}\",\"from\":\"{uid}\",\"state\":\"started\"}}"));
            sleep_ms(300);
            let done =
                format!("{{\"id\":\"{id}\",\"from\":\"{uid}\",\"state\":\"done\",\"result\":\"{text}: done\"}}");
            call_back(worker.dispatcher, &done);
        });
    }
}
