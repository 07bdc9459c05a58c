//! Discovery: the list of workers, and watches on it.

use crate::http::Connection;
use crate::record::Record;
use std::io::{self, ErrorKind, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone, Debug)]
pub struct Entry {
    pub uid: String,
    pub address: SocketAddr,
    pub state: &'static str,
    pub boot_ms: u64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            r#"{{"uid":"{}","endpoint":"{}","az":"burgos","model":"node-fast","pod_group":1,"state":"{}","capacity_hint":1.0,"boot_ms":{}}}"#,
            self.uid, self.address, self.state, self.boot_ms
        )
    }
}

#[derive(Default)]
struct State {
    rev: u64,
    /// The present list, without those that are gone.
    entries: Vec<Entry>,
    /// All changes, with the revision that each led to.
    changes: Vec<(u64, Entry)>,
    watches: Vec<TcpStream>,
    is_up: bool,
    /// When the whole list without a worker, or the change that it is gone, was written to a dispatcher.
    written: Vec<(f64, u64)>,
}

#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Discovery {
    pub fn start(record: &Record, entries: Vec<Entry>) -> io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = State { rev: 1, entries, is_up: true, ..State::default() };
        let discovery = Discovery {
            address,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            record: record.clone(),
        };
        let accepting = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let discovery = accepting.clone();
                std::thread::spawn(move || discovery.serve(stream));
            }
        });
        Ok(discovery)
    }

    /// The present list as one JSON object.
    pub fn list(&self) -> String {
        let state = self.shared.0.lock().unwrap();
        object(state.rev, true, &state.entries)
    }

    /// Changes an entry; `gone` removes it.
    pub fn change(&self, entry: Entry) {
        let mut state = self.shared.0.lock().unwrap();
        state.rev += 1;
        let rev = state.rev;
        state.entries.retain(|known| known.uid != entry.uid);
        if entry.state != "gone" {
            state.entries.push(entry.clone());
        }
        self.record.note(&format!("discovery: {} is {} (rev {rev})", entry.uid, entry.state));
        state.changes.push((rev, entry));
        self.shared.1.notify_all();
    }

    /// Resets all open watches; each further call is answered with 503 until `come_up`.
    pub fn go_down(&self) {
        let mut state = self.shared.0.lock().unwrap();
        state.is_up = false;
        for watch in state.watches.drain(..) {
            let _ = watch.shutdown(Shutdown::Both);
        }
        self.record.note("discovery: down, all open watches ended");
        self.shared.1.notify_all();
    }

    pub fn come_up(&self) {
        self.shared.0.lock().unwrap().is_up = true;
        self.record.note("discovery: up");
    }

    /// When a list or a change of at least this revision was first written to a dispatcher.
    pub fn told_at(&self, rev: u64) -> Option<f64> {
        let state = self.shared.0.lock().unwrap();
        state.written.iter().find(|(_, written)| *written >= rev).map(|(at, _)| *at)
    }

    pub fn rev(&self) -> u64 {
        self.shared.0.lock().unwrap().rev
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read(Duration::from_secs(300)) {
            let target = request.first.split(' ').nth(1).unwrap_or("").to_owned();
            if !self.shared.0.lock().unwrap().is_up {
                let _ = connection.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            let after =
                target.split_once("after=").and_then(|(_, rest)| rest.split('&').next()?.parse().ok());
            match after {
                Some(after) => {
                    let _ = self.watch(&mut connection, after);
                    return;
                }
                None => {
                    let list = self.list();
                    self.mark_written("the whole list");
                    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", list.len());
                    let _ = connection.write(format!("{head}{list}").as_bytes());
                }
            }
        }
    }

    fn mark_written(&self, what: &str) {
        let mut state = self.shared.0.lock().unwrap();
        let rev = state.rev;
        state.written.push((self.record.now(), rev));
        self.record.note(&format!("discovery: writes {what}, rev {rev}"));
    }

    /// A watch. Its first object holds the whole list if the dispatcher missed changes, as the page allows.
    fn watch(&self, connection: &mut Connection, after: u64) -> io::Result<()> {
        connection.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut known = after;
        let mut is_first = true;
        let mut beat = Instant::now();
        self.shared.0.lock().unwrap().watches.push(connection.stream.try_clone()?);
        loop {
            let line = {
                let state = self.shared.0.lock().unwrap();
                if !state.is_up {
                    return Err(ErrorKind::ConnectionAborted.into());
                }
                if state.rev == known {
                    let wait = Duration::from_millis(100);
                    let _unused = self.shared.1.wait_timeout(state, wait).unwrap();
                    None
                } else if is_first {
                    known = state.rev;
                    Some(("the whole list", object(state.rev, true, &state.entries)))
                } else {
                    let missed = state.changes.iter().filter(|(rev, _)| *rev > known);
                    let missed: Vec<Entry> = missed.map(|(_, entry)| entry.clone()).collect();
                    known = state.rev;
                    Some(("changes", object(state.rev, false, &missed)))
                }
            };
            match line {
                Some((what, line)) => {
                    self.mark_written(what);
                    chunk(&mut connection.stream, &format!("{line}\n"))?;
                }
                None if is_first || beat.elapsed() >= Duration::from_secs(2) => {
                    chunk(&mut connection.stream, "\n")?;
                    beat = Instant::now();
                }
                None => {}
            }
            is_first = false;
        }
    }
}

fn chunk(stream: &mut TcpStream, text: &str) -> io::Result<()> {
    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}

fn object(rev: u64, all: bool, entries: &[Entry]) -> String {
    let targets: Vec<String> = entries.iter().map(Entry::json).collect();
    format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, targets.join(","))
}
