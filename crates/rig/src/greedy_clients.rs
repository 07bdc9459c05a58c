//! Greedy clients, which make a dispatcher hold as much as it will: they send many requests at once, large bodies that never end
//! and bodies far beyond the limit, and read no response.

use crate::job_id::job_id;
use crate::ledger::{Observation, RequestEnd};
use crate::test_environment::TestEnvironment;
use crate::time::{Micros, SECOND};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How long a connection is held, in microseconds.
const HOLD_TIME: Micros = SECOND;
/// How long the requests of a greedy client may wait for their answers, in microseconds.
const REQUEST_TIMEOUT: Micros = 5 * SECOND;
/// Interval between two writes on a connection that takes no more for the moment.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Bytes of requests that are sent at once: more than a dispatcher keeps for a connection.
const PIPELINED_BYTES: usize = 80 << 10;
/// Size of the bodies of these requests, in bytes.
const PIPELINED_BODY_BYTES: usize = 1 << 10;
/// The largest body that a dispatcher accepts, in bytes.
const LARGEST_BODY_BYTES: usize = 64 << 10;
/// The length of a body that is far too large, in bytes.
const ENDLESS_BODY_BYTES: usize = 60_000_000;
/// Bytes that are sent of it.
const ENDLESS_SENT_BYTES: usize = 4 << 20;

/// What a greedy client sends.
#[derive(Clone, Copy)]
enum Kind {
    Pipelined,
    IncompleteBody,
    EndlessBody,
}

const KINDS: [Kind; 3] = [Kind::Pipelined, Kind::IncompleteBody, Kind::EndlessBody];

/// A connection, what is to be sent on it, and the ids of its complete requests.
struct GreedyClient {
    stream: TcpStream,
    text: Vec<u8>,
    sent: usize,
    ids: Vec<String>,
}

/// Keeps the scenario's number of greedy clients at a dispatcher until the run ends, on a separate thread.
pub fn run(environment: &Arc<TestEnvironment>, dispatcher: usize) {
    let count = environment.scenario.clients.greedy_connections;
    if count == 0 {
        return;
    }
    let environment = environment.clone();
    std::thread::spawn(move || {
        while !environment.is_stopped() {
            hold_connections(&environment, dispatcher, count);
        }
    });
}

/// Opens connections, sends on them for a while, and closes them.
fn hold_connections(environment: &TestEnvironment, dispatcher: usize, count: usize) {
    let address = environment.dispatchers[dispatcher].listen;
    let opened = (0..count).map_while(|_| connect(address));
    let mut clients: Vec<GreedyClient> =
        opened.enumerate().map(|(index, stream)| client(environment, dispatcher, index, stream)).collect();
    let until = environment.clock.now() + HOLD_TIME;
    while environment.clock.now() < until && !environment.is_stopped() {
        for client in &mut clients {
            client.send();
        }
        std::thread::sleep(WRITE_INTERVAL);
    }
    for id in clients.into_iter().flat_map(|client| client.ids) {
        environment.record(Observation::RequestEnded(id, RequestEnd::Failed));
    }
}

fn connect(address: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    stream.set_nonblocking(true).ok()?;
    Some(stream)
}

fn client(environment: &TestEnvironment, dispatcher: usize, index: usize, stream: TcpStream) -> GreedyClient {
    let mut client = GreedyClient { stream, text: Vec::new(), sent: 0, ids: Vec::new() };
    match KINDS[index % KINDS.len()] {
        Kind::Pipelined => {
            while client.text.len() < PIPELINED_BYTES {
                client.add_request(environment, dispatcher);
            }
        }
        Kind::IncompleteBody => client.text = request("", LARGEST_BODY_BYTES, LARGEST_BODY_BYTES - 1),
        Kind::EndlessBody => client.text = request("", ENDLESS_BODY_BYTES, ENDLESS_SENT_BYTES),
    }
    client
}

/// A request whose class may run more than once, with `sent` bytes of a body of `length` bytes.
fn request(id: &str, length: usize, sent: usize) -> Vec<u8> {
    let budget_s = REQUEST_TIMEOUT as f64 / 1e6;
    let head =
        format!("X-Call-Id: {id}\r\nX-Call-Class: look\r\nX-Budget: {budget_s}\r\nContent-Length: {length}");
    let mut text = format!("POST /api/u HTTP/1.1\r\nHost: a\r\n{head}\r\n\r\n").into_bytes();
    text.resize(text.len() + sent, b'x');
    text
}

impl GreedyClient {
    /// Adds a complete request. It is recorded before it is sent, as a worker may run it.
    fn add_request(&mut self, environment: &TestEnvironment, dispatcher: usize) {
        let number = environment.next_request_id.fetch_add(1, Ordering::SeqCst);
        let id = job_id(dispatcher, number as u64);
        let deadline = environment.clock.now() + HOLD_TIME + REQUEST_TIMEOUT;
        environment.record(Observation::RequestSent { id: id.clone(), repeatable: true, deadline });
        self.text.extend(request(&id, PIPELINED_BODY_BYTES, PIPELINED_BODY_BYTES));
        self.ids.push(id);
    }

    /// Sends as much as the system takes. The dispatcher may close the connection at any time.
    fn send(&mut self) {
        while self.sent < self.text.len() {
            match self.stream.write(&self.text[self.sent..]) {
                Ok(count) if count > 0 => self.sent += count,
                _ => return,
            }
        }
    }
}
