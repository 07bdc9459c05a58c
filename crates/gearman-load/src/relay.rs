//! A minimal relay of jobs from clients to workers and of results back: the baseline of the measurements.

use may::net::{TcpListener, TcpStream};
use roselock_gearman::{Decoder, Frame, Kind, Limits, Magic, Packet, packet};
use std::collections::{HashMap, VecDeque};
use std::io::{Read, Write};
use std::sync::{Arc, Mutex};

/// The write half of a connection.
type Output = Arc<Mutex<TcpStream>>;

/// A job in the queue.
struct QueuedJob {
    id: u64,
    data: Vec<u8>,
}

/// Queued jobs and the connections that wait for jobs or results.
#[derive(Default)]
struct State {
    /// The id of the latest job.
    last_id: u64,
    queue: VecDeque<QueuedJob>,
    /// The client of each unfinished job, by job id.
    clients: HashMap<u64, Output>,
    sleeping_workers: Vec<Output>,
}

fn send(output: &Output, kind: Kind, args: &[&[u8]]) {
    let mut stream = output.lock().expect("lock is not poisoned");
    let _ = stream.write_all(&packet(Magic::Res, kind, args));
}

/// Relays until the process is killed.
pub fn run() -> ! {
    may::config().set_workers(1).set_stack_size(16 * 1024);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    eprintln!("relaying on {}", listener.local_addr().expect("bound"));
    let state = Arc::new(Mutex::new(State::default()));
    loop {
        let Ok((stream, _)) = listener.accept() else { continue };
        let state = state.clone();
        may::go!(move || serve(&state, stream));
    }
}

/// Serves one connection.
fn serve(state: &Mutex<State>, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(output) = stream.try_clone() else { return };
    let output = Arc::new(Mutex::new(output));
    let mut decoder = Decoder::new(Magic::Req, Limits::default());
    let mut buffer = vec![0; 8192];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(length) => decoder.feed(&buffer[..length]),
        }
        while let Ok(Some(frame)) = decoder.next_frame() {
            if let Frame::Packet(kind, data) = frame {
                handle_packet(state, &output, kind, &data);
            }
        }
    }
}

fn handle_packet(state: &Mutex<State>, output: &Output, kind: Kind, data: &[u8]) {
    match Packet::parse(kind, data) {
        Ok(Packet::SubmitJob { data, .. }) => submit(state, output, data),
        Ok(Packet::GrabJob {}) => grab(state, output),
        Ok(Packet::PreSleep {}) => sleep(state, output),
        Ok(Packet::WorkComplete { handle, data }) => complete(state, handle, data),
        _ => {}
    }
}

/// Queues a client's job and wakes a sleeping worker, if any.
fn submit(state: &Mutex<State>, client: &Output, data: &[u8]) {
    let mut guard = state.lock().expect("lock is not poisoned");
    guard.last_id += 1;
    let id = guard.last_id;
    guard.queue.push_back(QueuedJob { id, data: data.to_vec() });
    guard.clients.insert(id, client.clone());
    let sleeping = guard.sleeping_workers.pop();
    drop(guard);
    send(client, Kind::JobCreated, &[id.to_string().as_bytes()]);
    if let Some(worker) = sleeping {
        send(&worker, Kind::Noop, &[]);
    }
}

/// Answers `GRAB_JOB` with the next job, or with `NO_JOB`.
fn grab(state: &Mutex<State>, worker: &Output) {
    let next = state.lock().expect("lock is not poisoned").queue.pop_front();
    match next {
        Some(job) => send(worker, Kind::JobAssign, &[job.id.to_string().as_bytes(), b"f", &job.data]),
        None => send(worker, Kind::NoJob, &[]),
    }
}

/// Marks a worker as sleeping, or wakes it immediately if a job is queued.
fn sleep(state: &Mutex<State>, worker: &Output) {
    let mut guard = state.lock().expect("lock is not poisoned");
    if guard.queue.is_empty() {
        guard.sleeping_workers.push(worker.clone());
        return;
    }
    drop(guard);
    send(worker, Kind::Noop, &[]);
}

/// Relays the result of a job to its client.
fn complete(state: &Mutex<State>, handle: &[u8], data: &[u8]) {
    let id = roselock_gearman::packet::parse_number(handle).unwrap_or(0);
    let client = state.lock().expect("lock is not poisoned").clients.remove(&id);
    if let Some(client) = client {
        send(&client, Kind::WorkComplete, &[handle, data]);
    }
}
