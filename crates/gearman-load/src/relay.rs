//! The least that can pass a job from a client to a worker and its result back: what the front is compared with.

use may::net::{TcpListener, TcpStream};
use roselock_gearman::{Decoder, Frame, Kind, Limits, Magic, Packet, packet};
use std::collections::{HashMap, VecDeque};
use std::io::{Read, Write};
use std::sync::{Arc, Mutex};

type Out = Arc<Mutex<TcpStream>>;

#[derive(Default)]
struct State {
    next: u64,
    waiting: VecDeque<(u64, Vec<u8>)>,
    clients: HashMap<u64, Out>,
    asleep: Vec<Out>,
}

fn send(out: &Out, kind: Kind, args: &[&[u8]]) {
    let mut stream = out.lock().expect("not poisoned");
    let _ = stream.write_all(&packet(Magic::Res, kind, args));
}

/// Relays until killed.
pub fn run() {
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

fn serve(state: &Mutex<State>, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(out) = stream.try_clone() else { return };
    let out = Arc::new(Mutex::new(out));
    let mut decoder = Decoder::new(Magic::Req, Limits::default());
    let mut buffer = vec![0; 8192];
    loop {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return,
            Ok(n) => decoder.feed(&buffer[..n]),
        }
        while let Ok(Some(frame)) = decoder.next_frame() {
            if let Frame::Packet(kind, data) = frame {
                heed(state, &out, kind, &data);
            }
        }
    }
}

fn heed(state: &Mutex<State>, out: &Out, kind: Kind, data: &[u8]) {
    let mut s = state.lock().expect("not poisoned");
    match Packet::parse(kind, data) {
        Ok(Packet::SubmitJob { data, .. }) => {
            s.next += 1;
            let no = s.next;
            s.waiting.push_back((no, data.to_vec()));
            s.clients.insert(no, out.clone());
            let sleeper = s.asleep.pop();
            drop(s);
            send(out, Kind::JobCreated, &[no.to_string().as_bytes()]);
            sleeper.iter().for_each(|worker| send(worker, Kind::Noop, &[]));
        }
        Ok(Packet::GrabJob {}) => match s.waiting.pop_front() {
            Some((no, data)) => {
                drop(s);
                send(out, Kind::JobAssign, &[no.to_string().as_bytes(), b"f", &data]);
            }
            None => {
                drop(s);
                send(out, Kind::NoJob, &[]);
            }
        },
        Ok(Packet::PreSleep {}) if s.waiting.is_empty() => s.asleep.push(out.clone()),
        Ok(Packet::PreSleep {}) => {
            drop(s);
            send(out, Kind::Noop, &[]);
        }
        Ok(Packet::WorkComplete { handle, data }) => {
            let no = roselock_gearman::packet::number(handle).unwrap_or(0);
            let client = s.clients.remove(&no);
            drop(s);
            client.iter().for_each(|c| send(c, Kind::WorkComplete, &[handle, data]));
        }
        _ => {}
    }
}
