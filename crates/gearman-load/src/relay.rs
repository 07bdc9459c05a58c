//! A minimal relay of jobs from clients to workers and of their results: the baseline for the front.

use may::net::{TcpListener, TcpStream};
use roselock_gearman::{Decoder, Frame, Kind, Limits, Magic, Packet, packet};
use std::collections::{HashMap, VecDeque};
use std::io::{Read, Write};
use std::sync::{Arc, Mutex};

/// The writing end of a connection.
type Output = Arc<Mutex<TcpStream>>;

/// A job in the queue.
struct QueuedJob {
    number: u64,
    data: Vec<u8>,
}

/// The jobs and the connections that wait for them.
#[derive(Default)]
struct State {
    /// The number of the latest job.
    latest_job: u64,
    queue: VecDeque<QueuedJob>,
    /// The client of each job by its number.
    clients: HashMap<u64, Output>,
    sleeping_workers: Vec<Output>,
}

fn send(output: &Output, kind: Kind, args: &[&[u8]]) {
    let mut stream = output.lock().expect("not poisoned");
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

/// Queues a client's job and wakes a worker.
fn submit(state: &Mutex<State>, client: &Output, data: &[u8]) {
    let mut locked = state.lock().expect("not poisoned");
    locked.latest_job += 1;
    let number = locked.latest_job;
    locked.queue.push_back(QueuedJob { number, data: data.to_vec() });
    locked.clients.insert(number, client.clone());
    let sleeping = locked.sleeping_workers.pop();
    drop(locked);
    send(client, Kind::JobCreated, &[number.to_string().as_bytes()]);
    if let Some(worker) = sleeping {
        send(&worker, Kind::Noop, &[]);
    }
}

/// Assigns the next job to a worker.
fn grab(state: &Mutex<State>, worker: &Output) {
    let next = state.lock().expect("not poisoned").queue.pop_front();
    match next {
        Some(job) => send(worker, Kind::JobAssign, &[job.number.to_string().as_bytes(), b"f", &job.data]),
        None => send(worker, Kind::NoJob, &[]),
    }
}

/// Lets a worker sleep, or wakes it at once if a job is queued.
fn sleep(state: &Mutex<State>, worker: &Output) {
    let mut locked = state.lock().expect("not poisoned");
    if locked.queue.is_empty() {
        locked.sleeping_workers.push(worker.clone());
        return;
    }
    drop(locked);
    send(worker, Kind::Noop, &[]);
}

/// Relays the result of a job to its client.
fn complete(state: &Mutex<State>, handle: &[u8], data: &[u8]) {
    let number = roselock_gearman::packet::number(handle).unwrap_or(0);
    let client = state.lock().expect("not poisoned").clients.remove(&number);
    if let Some(client) = client {
        send(&client, Kind::WorkComplete, &[handle, data]);
    }
}
