//! What was sent, answered and run, with times.

use std::sync::{Arc, Mutex};
use std::time::Instant;

/// An attempt whose last byte has arrived at a worker.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// When its first byte was read, in seconds since the start.
    pub at: f64,
    pub worker: String,
    pub id: String,
}

#[derive(Clone)]
pub struct Record(Arc<Inner>);

struct Inner {
    start: Instant,
    lines: Mutex<Vec<(f64, String)>>,
    attempts: Mutex<Vec<Attempt>>,
}

impl Record {
    pub fn new() -> Record {
        Record(Arc::new(Inner { start: Instant::now(), lines: Mutex::default(), attempts: Mutex::default() }))
    }
    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.0.start.elapsed().as_secs_f64()
    }
    pub fn note(&self, text: &str) {
        self.0.lines.lock().unwrap().push((self.now(), text.to_owned()));
    }
    pub fn attempt(&self, at: f64, worker: &str, id: &str) {
        self.note(&format!("worker {worker}: attempt of {id} arrived"));
        let attempt = Attempt { at, worker: worker.to_owned(), id: id.to_owned() };
        self.0.attempts.lock().unwrap().push(attempt);
    }
    pub fn attempts(&self) -> Vec<Attempt> {
        self.0.attempts.lock().unwrap().clone()
    }
    pub fn write(&self, folder: &str) -> std::io::Result<()> {
        let mut text = String::new();
        for (at, line) in self.0.lines.lock().unwrap().iter() {
            text.push_str(&format!("{at:9.4} {line}\n"));
        }
        std::fs::write(format!("{folder}/record.txt"), text)
    }
}
