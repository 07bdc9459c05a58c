//! Simulated workers: coroutines, each on its own connection, and one thread with a naive library.

use crate::clients::{TIMEOUT, connect};
use may::net::TcpStream;
use roselock_gearman::Kind;
use roselock_gearman::worker::{Event, Worker};
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

/// The longest wait for all workers to register.
const REGISTRATION_TIMEOUT: Duration = Duration::from_secs(20);
/// Bytes of the header of a packet; its last four are the length of the rest.
const HEADER_BYTES: usize = 12;
/// Bytes that are read at once.
const READ_BUFFER: usize = 8192;

/// Starts workers that run each job for `duration`, and returns once all have registered.
///
/// # Panics
/// If not all workers register in time.
pub fn start(server: SocketAddr, count: usize, functions: &'static [&'static str], duration: Duration) {
    let registered = Arc::new(AtomicU64::new(0));
    for _ in 0..count {
        let registered = registered.clone();
        may::go!(move || work(&mut connect(server), functions, duration, &registered));
    }
    let start = Instant::now();
    while registered.load(Ordering::SeqCst) < count as u64 {
        assert!(start.elapsed() < REGISTRATION_TIMEOUT, "not all workers have registered");
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Runs jobs on a connection until its end.
fn work(stream: &mut TcpStream, functions: &[&str], duration: Duration, registered: &AtomicU64) {
    let mut worker = Worker::new(Kind::GrabJob);
    for function in functions {
        worker.can_do(function.as_bytes());
    }
    worker.grab();
    let mut buffer = vec![0; READ_BUFFER];
    let mut is_registered = false;
    loop {
        if stream.write_all(&worker.take_output()).is_err() {
            return;
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(length) if worker.input(&buffer[..length]).is_err() => {
                panic!("{length} bytes that are no packets of a server")
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
                    may::coroutine::sleep(duration);
                }
                worker.complete(&job.handle, b"ok");
            }
        }
    }
}

/// Starts a worker that writes each packet separately with Nagle's algorithm on; returns once it has registered.
pub fn start_unbuffered(server: SocketAddr, function: &'static str) {
    let stream = std::net::TcpStream::connect(server).expect("a connection");
    let _ = stream.set_read_timeout(Some(TIMEOUT));
    let mut worker = Worker::new(Kind::GrabJob);
    worker.can_do(function.as_bytes());
    worker.grab();
    let (received, registered) = std::sync::mpsc::channel();
    std::thread::spawn(move || work_unbuffered(stream, worker, &received));
    let _ = registered.recv_timeout(TIMEOUT);
}

fn work_unbuffered(mut stream: std::net::TcpStream, mut worker: Worker, received: &Sender<()>) {
    let mut buffer = vec![0; READ_BUFFER];
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

/// Writes packets one by one.
fn write_separately(stream: &mut std::net::TcpStream, packets: &[u8]) -> std::io::Result<()> {
    let mut rest = packets;
    while rest.len() >= HEADER_BYTES {
        let size = HEADER_BYTES + u32::from_be_bytes([rest[8], rest[9], rest[10], rest[11]]) as usize;
        stream.write_all(&rest[..size])?;
        rest = &rest[size..];
    }
    Ok(())
}
