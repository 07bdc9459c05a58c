//! Stand-in clients and workers, each a coroutine on a connection of its own.

use hdrhistogram::Histogram;
use may::net::TcpStream;
use roselock_gearman::client::{Client, Event};
use roselock_gearman::worker::{Event as Work, Worker};
use roselock_gearman::{Kind, Submission};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longest wait of a peer for a word.
const PATIENCE: Duration = Duration::from_secs(60);

fn connect(at: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(at).expect("a connection");
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(PATIENCE));
    stream
}

/// Starts workers that run each job for a span, and returns once all have registered.
pub fn workers(at: SocketAddr, n: usize, functions: &'static [&'static str], span: Duration) {
    let ready = Arc::new(AtomicU64::new(0));
    for _ in 0..n {
        let ready = ready.clone();
        may::go!(move || work(&mut connect(at), functions, span, &ready));
    }
    let start = Instant::now();
    while ready.load(Ordering::SeqCst) < n as u64 {
        assert!(start.elapsed() < Duration::from_secs(20), "not all workers were taken");
        std::thread::sleep(Duration::from_millis(1));
    }
}

fn work(stream: &mut TcpStream, functions: &[&str], span: Duration, ready: &AtomicU64) {
    let mut worker = Worker::new(Kind::GrabJob);
    functions.iter().for_each(|f| worker.can_do(f.as_bytes()));
    worker.grab();
    let mut buffer = vec![0; 8192];
    let mut told = false;
    loop {
        if stream.write_all(&worker.take_output()).is_err() {
            return;
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(n) if worker.input(&buffer[..n]).is_err() => panic!("not a server's bytes: {n}"),
            Ok(_) => {}
        }
        if !std::mem::replace(&mut told, true) {
            ready.fetch_add(1, Ordering::SeqCst);
        }
        while let Some(event) = worker.poll() {
            if let Work::Assigned(job) = event {
                if !span.is_zero() {
                    may::coroutine::sleep(span);
                }
                worker.complete(&job.handle, b"ok");
            }
        }
    }
}

/// What clients saw.
#[derive(Clone)]
pub struct Seen {
    /// Microseconds from submission to result.
    pub spans: Arc<Mutex<Histogram<u64>>>,
    /// Jobs that failed or were turned away.
    pub failed: Arc<AtomicU64>,
    /// Clients that have ended.
    pub ended: Arc<AtomicU64>,
}

impl Default for Seen {
    fn default() -> Seen {
        let spans = Histogram::new_with_bounds(1, 600_000_000, 3).expect("bounds");
        Seen { spans: Arc::new(Mutex::new(spans)), failed: Arc::default(), ended: Arc::default() }
    }
}

impl Seen {
    /// Jobs that were served.
    pub fn served(&self) -> u64 {
        self.spans.lock().expect("not poisoned").len()
    }
    /// A quantile, in milliseconds.
    pub fn ms(&self, quantile: f64) -> f64 {
        self.spans.lock().expect("not poisoned").value_at_quantile(quantile) as f64 / 1000.0
    }
    /// The share that was served within a span, of all.
    pub fn within(&self, span: Duration) -> f64 {
        let spans = self.spans.lock().expect("not poisoned");
        let all = spans.len() + self.failed.load(Ordering::SeqCst);
        let within = spans.count_between(1, span.as_micros() as u64);
        if all == 0 { 0.0 } else { within as f64 / all as f64 }
    }
}

/// Starts clients that keep so many jobs open each until told to stop.
pub fn clients(
    at: SocketAddr,
    n: usize,
    open: usize,
    function: &'static str,
    stop: &Arc<AtomicBool>,
) -> Seen {
    let seen = Seen::default();
    for _ in 0..n {
        let (seen, stop) = (seen.clone(), stop.clone());
        may::go!(move || {
            keep_open(&mut connect(at), open, function, &stop, &seen);
            seen.ended.fetch_add(1, Ordering::SeqCst);
        });
    }
    seen
}

fn keep_open(stream: &mut TcpStream, open: usize, function: &str, stop: &AtomicBool, seen: &Seen) {
    let mut client = Client::default();
    let mut since = std::collections::HashMap::new();
    let mut buffer = vec![0; 8192];
    loop {
        while since.len() < open && !stop.load(Ordering::Relaxed) {
            let ticket = client.submit(&Submission::new(function.as_bytes(), b"", b"data"));
            since.insert(ticket, Instant::now());
        }
        if since.is_empty() || stream.write_all(&client.take_output()).is_err() {
            return;
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(n) if client.input(&buffer[..n]).is_err() => panic!("not a server's bytes: {n}"),
            Ok(_) => {}
        }
        while let Some(event) = client.poll() {
            match event {
                Event::Complete(ticket, _) => {
                    if let Some(at) = since.remove(&ticket) {
                        let span = at.elapsed().as_micros() as u64;
                        seen.spans.lock().expect("not poisoned").saturating_record(span.max(1));
                    }
                }
                Event::Fail(ticket) | Event::Rejected { ticket, .. } if since.remove(&ticket).is_some() => {
                    seen.failed.fetch_add(1, Ordering::SeqCst);
                }
                _ => {}
            }
        }
    }
}

/// Submits jobs at a steady pace, whatever becomes of those before; spans count from the intended time.
pub fn steady(at: SocketAddr, every: Duration, n: usize, function: &'static str) -> Seen {
    let seen = Seen::default();
    let start = Instant::now() + every;
    for i in 0..n {
        let seen = seen.clone();
        may::go!(move || {
            let due = start + every * i as u32;
            may::coroutine::sleep(due.saturating_duration_since(Instant::now()));
            let mut stream = connect(at);
            once(&mut stream, function, due, &seen);
            seen.ended.fetch_add(1, Ordering::SeqCst);
        });
    }
    seen
}

fn once(stream: &mut TcpStream, function: &str, due: Instant, seen: &Seen) {
    let mut client = Client::default();
    client.submit(&Submission::new(function.as_bytes(), b"", b"data"));
    let mut buffer = vec![0; 1024];
    if stream.write_all(&client.take_output()).is_err() {
        return;
    }
    loop {
        match stream.read(&mut buffer) {
            Ok(n) if n > 0 && client.input(&buffer[..n]).is_ok() => {}
            _ => {
                seen.failed.fetch_add(1, Ordering::SeqCst);
                return;
            }
        }
        while let Some(event) = client.poll() {
            match event {
                Event::Complete(..) => {
                    let span = due.elapsed().as_micros() as u64;
                    seen.spans.lock().expect("not poisoned").saturating_record(span.max(1));
                    return;
                }
                Event::Fail(_) | Event::Rejected { .. } => {
                    seen.failed.fetch_add(1, Ordering::SeqCst);
                    return;
                }
                _ => {}
            }
        }
    }
}

/// Submits so many jobs at once on one connection; how many were created, served and failed.
pub fn at_once(at: SocketAddr, n: usize, background: bool, function: &str) -> (usize, usize, usize) {
    let mut stream = std::net::TcpStream::connect(at).expect("a connection");
    let _ = stream.set_read_timeout(Some(PATIENCE));
    let mut client = Client::default();
    for _ in 0..n {
        client.submit(&Submission { background, ..Submission::new(function.as_bytes(), b"", b"data") });
    }
    let bytes = client.take_output();
    let mut writing = stream.try_clone().expect("a clone");
    let writer = std::thread::spawn(move || writing.write_all(&bytes));
    let (mut created, mut served, mut failed) = (0, 0, 0);
    let mut buffer = vec![0; 65536];
    while client.unfinished() > 0 {
        match stream.read(&mut buffer) {
            Ok(n) if n > 0 && client.input(&buffer[..n]).is_ok() => {}
            _ => break,
        }
        while let Some(event) = client.poll() {
            match event {
                Event::Created(..) => created += 1,
                Event::Complete(..) => served += 1,
                Event::Fail(_) | Event::Rejected { .. } => failed += 1,
                _ => {}
            }
        }
    }
    writer.join().expect("no panic").expect("written");
    (created, served, failed)
}

/// An administrator's `status`: jobs that are left, and how long the answer took.
pub fn status(at: SocketAddr) -> (usize, Duration) {
    use std::io::BufRead;
    let mut stream = std::net::TcpStream::connect(at).expect("a connection");
    let _ = stream.set_nodelay(true);
    let asked = Instant::now();
    stream.write_all(b"status\n").expect("written");
    let mut jobs = 0;
    for line in std::io::BufReader::new(stream).lines().map_while(Result::ok) {
        if line == "." {
            break;
        }
        jobs += line.split('\t').nth(1).and_then(|n| n.parse::<usize>().ok()).unwrap_or(0);
    }
    (jobs, asked.elapsed())
}

/// Starts a worker that writes each packet by itself and leaves Nagle's algorithm on; returns once it has registered.
pub fn apart(at: SocketAddr, function: &'static str) {
    let mut stream = std::net::TcpStream::connect(at).expect("a connection");
    let _ = stream.set_read_timeout(Some(PATIENCE));
    let mut worker = Worker::new(Kind::GrabJob);
    worker.can_do(function.as_bytes());
    worker.grab();
    let (told, ready) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let mut buffer = vec![0; 8192];
        loop {
            // Twelve bytes of head tell how much follows.
            let out = worker.take_output();
            let mut rest = &out[..];
            while rest.len() >= 12 {
                let size = 12 + u32::from_be_bytes([rest[8], rest[9], rest[10], rest[11]]) as usize;
                if stream.write_all(&rest[..size]).is_err() {
                    return;
                }
                rest = &rest[size..];
            }
            match stream.read(&mut buffer) {
                Ok(n) if n > 0 && worker.input(&buffer[..n]).is_ok() => {}
                _ => return,
            }
            let _ = told.send(());
            while let Some(event) = worker.poll() {
                if let Work::Assigned(job) = event {
                    worker.complete(&job.handle, b"ok");
                }
            }
        }
    });
    let _ = ready.recv_timeout(PATIENCE);
}
