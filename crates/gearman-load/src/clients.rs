//! Simulated clients: coroutines with one connection each.

use crate::pause::pause;
use hdrhistogram::Histogram;
use may::net::TcpStream;
use roselock_gearman::Submission;
use roselock_gearman::client::{Client, Event};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The timeout of reads from the server.
pub const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// The upper bound of the latency histogram, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;
/// The precision of the latency histogram, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Opens a connection for a coroutine.
pub fn connect(server: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(server).expect("a connection");
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
    stream
}

/// The shared results of the clients of a measurement.
#[derive(Clone)]
pub struct Results {
    /// Latencies from submission to result, in microseconds.
    pub latencies: Arc<Mutex<Histogram<u64>>>,
    /// Number of jobs that failed or were rejected.
    pub failed: Arc<AtomicU64>,
    /// Number of clients that have finished.
    pub ended: Arc<AtomicU64>,
}

impl Default for Results {
    fn default() -> Results {
        let latencies =
            Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).expect("valid bounds");
        Results { latencies: Arc::new(Mutex::new(latencies)), failed: Arc::default(), ended: Arc::default() }
    }
}

impl Results {
    /// Records a completed job.
    fn record(&self, latency: Duration) {
        let microseconds = (latency.as_micros() as u64).max(1);
        self.latencies.lock().expect("lock is not poisoned").saturating_record(microseconds);
    }
    /// The number of completed jobs.
    pub fn completed(&self) -> u64 {
        self.latencies.lock().expect("lock is not poisoned").len()
    }
    /// A quantile of the latencies, in milliseconds.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latencies.lock().expect("lock is not poisoned").value_at_quantile(quantile) as f64 / 1000.0
    }
    /// The fraction of all jobs that completed within a latency.
    pub fn fraction_within(&self, latency: Duration) -> f64 {
        let latencies = self.latencies.lock().expect("lock is not poisoned");
        let all = latencies.len() + self.failed.load(Ordering::SeqCst);
        let within = latencies.count_between(1, latency.as_micros() as u64);
        if all == 0 { 0.0 } else { within as f64 / all as f64 }
    }
}

/// Starts closed-loop clients that each keep `open_jobs` jobs in flight until `stop` is set.
pub fn start_closed_loop(
    server: SocketAddr,
    count: usize,
    open_jobs: usize,
    function: &'static str,
    stop: &Arc<AtomicBool>,
) -> Results {
    let results = Results::default();
    for _ in 0..count {
        let own = results.clone();
        let stop = stop.clone();
        may::go!(move || {
            keep_jobs_open(&mut connect(server), open_jobs, function, &stop, &own);
            own.ended.fetch_add(1, Ordering::SeqCst);
        });
    }
    results
}

fn keep_jobs_open(
    stream: &mut TcpStream,
    open_jobs: usize,
    function: &str,
    stop: &AtomicBool,
    results: &Results,
) {
    let mut client = Client::default();
    let mut submitted_at = std::collections::HashMap::new();
    let mut buffer = vec![0; 8192];
    loop {
        while submitted_at.len() < open_jobs && !stop.load(Ordering::Relaxed) {
            let ticket = client.submit(&Submission::new(function.as_bytes(), b"", b"data"));
            submitted_at.insert(ticket, Instant::now());
        }
        if submitted_at.is_empty() || stream.write_all(&client.take_output()).is_err() {
            return;
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(length) if client.input(&buffer[..length]).is_err() => {
                panic!("invalid packets from the server in {length} bytes")
            }
            Ok(_) => {}
        }
        while let Some(event) = client.poll() {
            match event {
                Event::Complete(ticket, _) => {
                    if let Some(submitted) = submitted_at.remove(&ticket) {
                        results.record(submitted.elapsed());
                    }
                }
                Event::Fail(ticket) | Event::Rejected { ticket, .. }
                    if submitted_at.remove(&ticket).is_some() =>
                {
                    results.failed.fetch_add(1, Ordering::SeqCst);
                }
                _ => {}
            }
        }
    }
}

/// Submits `count` jobs at a constant rate that doesn't depend on completions (open loop). Latencies are measured from the
/// scheduled submission, so that delayed submissions count in full.
pub fn start_constant_rate(
    server: SocketAddr,
    interval: Duration,
    count: usize,
    function: &'static str,
) -> Results {
    let results = Results::default();
    let start = Instant::now() + interval;
    for index in 0..count {
        let own = results.clone();
        may::go!(move || {
            let due = start + interval * index as u32;
            pause(due.saturating_duration_since(Instant::now()));
            submit_one(&mut connect(server), function, due, &own);
            own.ended.fetch_add(1, Ordering::SeqCst);
        });
    }
    results
}

/// Submits one job and waits for its result. The latency is measured from `due`.
fn submit_one(stream: &mut TcpStream, function: &str, due: Instant, results: &Results) {
    let mut client = Client::default();
    client.submit(&Submission::new(function.as_bytes(), b"", b"data"));
    let mut buffer = vec![0; 1024];
    if stream.write_all(&client.take_output()).is_err() {
        return;
    }
    loop {
        match stream.read(&mut buffer) {
            Ok(length) if length > 0 && client.input(&buffer[..length]).is_ok() => {}
            _ => {
                results.failed.fetch_add(1, Ordering::SeqCst);
                return;
            }
        }
        while let Some(event) = client.poll() {
            match event {
                Event::Complete(..) => {
                    results.record(due.elapsed());
                    return;
                }
                Event::Fail(_) | Event::Rejected { .. } => {
                    results.failed.fetch_add(1, Ordering::SeqCst);
                    return;
                }
                _ => {}
            }
        }
    }
}

/// The numbers of jobs of a burst by result.
#[derive(Clone, Copy, Debug, Default)]
pub struct BurstResults {
    /// Jobs that the server accepted with `JOB_CREATED`.
    pub created: usize,
    /// Jobs that completed, if in the foreground.
    pub served: usize,
    /// Jobs that failed or were rejected.
    pub failed: usize,
}

/// Submits `count` jobs at once on one connection and waits until all are finished.
pub fn burst(server: SocketAddr, count: usize, background: bool, function: &str) -> BurstResults {
    let mut stream = std::net::TcpStream::connect(server).expect("a connection");
    let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
    let mut client = Client::default();
    for _ in 0..count {
        client.submit(&Submission { background, ..Submission::new(function.as_bytes(), b"", b"data") });
    }
    let bytes = client.take_output();
    let mut writing = stream.try_clone().expect("a clone");
    let writer = std::thread::spawn(move || writing.write_all(&bytes));
    let mut results = BurstResults::default();
    let mut buffer = vec![0; 65536];
    while client.unfinished() > 0 {
        match stream.read(&mut buffer) {
            Ok(length) if length > 0 && client.input(&buffer[..length]).is_ok() => {}
            _ => break,
        }
        while let Some(event) = client.poll() {
            match event {
                Event::Created(..) => results.created += 1,
                Event::Complete(..) => results.served += 1,
                Event::Fail(_) | Event::Rejected { .. } => results.failed += 1,
                _ => {}
            }
        }
    }
    writer.join().expect("no panic").expect("written");
    results
}

/// The result of the administration command `status`.
#[derive(Clone, Copy, Debug)]
pub struct Status {
    /// Number of jobs that have not ended.
    pub jobs: usize,
    /// Time until the response was complete.
    pub elapsed: Duration,
}

/// Sends the administration command `status` and reads the response.
pub fn query_status(server: SocketAddr) -> Status {
    use std::io::BufRead;
    let mut stream = std::net::TcpStream::connect(server).expect("a connection");
    let _ = stream.set_nodelay(true);
    let start = Instant::now();
    stream.write_all(b"status\n").expect("written");
    let mut jobs = 0;
    for line in std::io::BufReader::new(stream).lines().map_while(Result::ok) {
        if line == "." {
            break;
        }
        jobs += line.split('\t').nth(1).and_then(|number| number.parse::<usize>().ok()).unwrap_or(0);
    }
    Status { jobs, elapsed: start.elapsed() }
}
