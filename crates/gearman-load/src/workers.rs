//! Simulated workers: coroutines with one connection each, and a thread that writes packets without buffering.

use crate::clients::{READ_TIMEOUT, connect};
use crate::pause::pause;
use may::net::TcpStream;
use roselock_gearman::Kind;
use roselock_gearman::worker::{Event, Worker};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

/// How long to wait for all workers to register.
const REGISTRATION_TIMEOUT: Duration = Duration::from_secs(20);
/// The size of a packet header, whose last four bytes are the length of the data.
const HEADER_BYTES: usize = 12;
const READ_BUFFER_BYTES: usize = 8192;

/// Starts workers that run each job for `duration`, and returns once all have registered.
///
/// # Panics
/// If not all workers register in time.
pub fn start(server: SocketAddr, count: usize, functions: &'static [&'static str], duration: Duration) {
    let registered = Arc::new(AtomicU64::new(0));
    for _ in 0..count {
        let registered = registered.clone();
        may::go!(move || serve_jobs(&mut connect(server), functions, duration, &registered));
    }
    let start = Instant::now();
    while registered.load(Ordering::SeqCst) < count as u64 {
        assert!(start.elapsed() < REGISTRATION_TIMEOUT, "not all workers registered in time");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Runs jobs from a connection until it ends.
fn serve_jobs(stream: &mut TcpStream, functions: &[&str], duration: Duration, registered: &AtomicU64) {
    let mut worker = Worker::new(Kind::GrabJob);
    for function in functions {
        worker.can_do(function.as_bytes());
    }
    worker.grab();
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    let mut is_registered = false;
    loop {
        if stream.write_all(&worker.take_output()).is_err() {
            return;
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(length) if worker.input(&buffer[..length]).is_err() => {
                panic!("invalid packets from the server in {length} bytes")
            }
            Ok(_) => {}
        }
        if !is_registered {
            is_registered = true;
            registered.fetch_add(1, Ordering::SeqCst);
        }
        while let Some(event) = worker.poll() {
            if let Event::Assigned(job) = event {
                if !duration.is_zero() {
                    pause(duration);
                }
                worker.complete(&job.handle, b"ok");
            }
        }
    }
}

/// Starts a worker that writes each packet separately with Nagle's algorithm on, and returns once it has registered.
pub fn start_unbuffered(server: SocketAddr, function: &'static str) {
    let stream = std::net::TcpStream::connect(server).expect("a connection");
    let _ = stream.set_read_timeout(Some(READ_TIMEOUT));
    let mut worker = Worker::new(Kind::GrabJob);
    worker.can_do(function.as_bytes());
    worker.grab();
    let (received, registered) = std::sync::mpsc::channel();
    std::thread::spawn(move || serve_jobs_unbuffered(stream, worker, &received));
    let _ = registered.recv_timeout(READ_TIMEOUT);
}

fn serve_jobs_unbuffered(mut stream: std::net::TcpStream, mut worker: Worker, received: &Sender<()>) {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    loop {
        if write_separately(&mut stream, &worker.take_output()).is_err() {
            return;
        }
        match stream.read(&mut buffer) {
            Ok(length) if length > 0 && worker.input(&buffer[..length]).is_ok() => {}
            _ => return,
        }
        let _ = received.send(());
        while let Some(event) = worker.poll() {
            if let Event::Assigned(job) = event {
                worker.complete(&job.handle, b"ok");
            }
        }
    }
}

/// Writes each packet with its own system call.
fn write_separately(stream: &mut std::net::TcpStream, packets: &[u8]) -> std::io::Result<()> {
    let mut rest = packets;
    while rest.len() >= HEADER_BYTES {
        let size = HEADER_BYTES + u32::from_be_bytes([rest[8], rest[9], rest[10], rest[11]]) as usize;
        stream.write_all(&rest[..size])?;
        rest = &rest[size..];
    }
    Ok(())
}
