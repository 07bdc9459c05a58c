//! A worker: takes a job with 202, runs it for a time, and tells its end by a call to the dispatcher.

use crate::discovery::Entry;
use crate::http::Connection;
use crate::record::Record;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a worker does with a job, given the request's path: how long it runs.
pub type RunTime = fn(&str) -> Duration;

#[derive(Clone)]
pub struct Worker {
    pub uid: String,
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

struct Shared {
    record: Record,
    run_time: RunTime,
    /// Where the calls go.
    dispatcher: Mutex<SocketAddr>,
    /// Set once its process is dead: its connections are reset, and no call comes from it.
    is_dead: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
}

impl Worker {
    pub fn start(
        uid: &str,
        dispatcher: SocketAddr,
        record: &Record,
        run_time: RunTime,
    ) -> io::Result<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            record: record.clone(),
            run_time,
            dispatcher: Mutex::new(dispatcher),
            is_dead: AtomicBool::new(false),
            connections: Mutex::default(),
        });
        let worker = Worker { uid: uid.to_owned(), address, shared };
        let accepting = worker.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.shared.is_dead.load(Ordering::SeqCst) {
                    continue;
                }
                if let Ok(copy) = stream.try_clone() {
                    accepting.shared.connections.lock().unwrap().push(copy);
                }
                let worker = accepting.clone();
                std::thread::spawn(move || worker.serve(stream));
            }
        });
        Ok(worker)
    }

    /// Its process dies: its connections are reset or closed, new ones are closed at once, and nothing more is told.
    pub fn die(&self) {
        self.shared.record.note(&format!("worker {}: its process dies", self.uid));
        self.shared.is_dead.store(true, Ordering::SeqCst);
        for connection in self.shared.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    pub fn entry(&self, state: &'static str) -> Entry {
        Entry { uid: self.uid.clone(), address: self.address, state, boot_ms: 0 }
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read(Duration::from_secs(300)) {
            let mut words = request.first.split(' ');
            let (method, target) = (words.next().unwrap_or(""), words.next().unwrap_or(""));
            let answer: &[u8] = match method {
                "POST" => {
                    let Some(id) = request.header("x-call-id") else {
                        let _ = connection.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
                        continue;
                    };
                    let began = self.shared.record.now() - request.began.elapsed().as_secs_f64();
                    self.shared.record.attempt(began, &self.uid, id);
                    self.run(id.to_owned(), (self.shared.run_time)(target), request.text());
                    b"HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n"
                }
                "DELETE" => {
                    self.shared.record.note(&format!("worker {}: {method} {target}", self.uid));
                    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
                }
                _ => b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            };
            if connection.write(answer).is_err() {
                return;
            }
        }
    }

    /// Runs a job, and tells of its start and end; each call is repeated up to ten times until it is answered.
    fn run(&self, id: String, run_time: Duration, body: String) {
        let worker = self.clone();
        std::thread::spawn(move || {
            let end = Instant::now() + run_time;
            worker.tell(&id, r#""state":"started""#);
            std::thread::sleep(end.saturating_duration_since(Instant::now()));
            worker.shared.record.note(&format!("worker {}: {id} is done", worker.uid));
            let result = format!(r#""state":"done","result":"{id} with {body} at {}""#, worker.uid);
            worker.tell(&id, &result);
        });
    }

    fn tell(&self, id: &str, state: &str) {
        let body = format!(r#"{{"id":"{id}","from":"{}",{state}}}"#, self.uid);
        let dispatcher = *self.shared.dispatcher.lock().unwrap();
        for _ in 0..10 {
            if self.shared.is_dead.load(Ordering::SeqCst) {
                return;
            }
            if let Ok(status @ (200 | 204)) = call(dispatcher, &body) {
                let what = state.split(',').next().unwrap_or("");
                self.shared.record.note(&format!("worker {}: call {id} {what} answered {status}", self.uid));
                return;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        self.shared.record.note(&format!("worker {}: no call about {id} was answered", self.uid));
    }
}

fn call(dispatcher: SocketAddr, body: &str) -> io::Result<u16> {
    let mut connection = Connection::open(dispatcher)?;
    let length = body.len();
    let head = format!("POST /v1/job-events HTTP/1.1\r\nHost: d\r\nContent-Length: {length}\r\n\r\n");
    connection.write(format!("{head}{body}").as_bytes())?;
    let answer = connection.read(Duration::from_secs(2))?;
    Ok(answer.map_or(0, |answer| answer.status()))
}
