//! Idle clients that use up a dispatcher's descriptors: they connect, send nothing or half of a request head, and reconnect
//! when they are closed.

use crate::test_environment::TestEnvironment;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Pause between two checks for closed connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// How long a connection may take to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// What idle clients send, in turn.
const SENT: [&str; 2] = ["", "POST /api/u HTTP/1.1\r\nContent-Le"];

/// Holds the scenario's number of idle connections at one dispatcher until the run ends, on a thread of its own.
pub fn hold_open(environment: &Arc<TestEnvironment>, dispatcher: usize) {
    let count = environment.scenario.clients.idle_connections;
    if count == 0 {
        return;
    }
    let environment = environment.clone();
    std::thread::spawn(move || {
        let address = environment.dispatchers[dispatcher].listen;
        let mut clients: Vec<TcpStream> = Vec::with_capacity(count);
        while !environment.is_over() {
            clients.retain(is_open);
            while clients.len() < count
                && let Some(client) = connect(address, clients.len())
            {
                clients.push(client);
            }
            std::thread::sleep(CHECK_INTERVAL);
        }
    });
}

fn connect(address: SocketAddr, number: usize) -> Option<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT).ok()?;
    stream.write_all(SENT[number % SENT.len()].as_bytes()).ok()?;
    stream.set_nonblocking(true).ok()?;
    Some(stream)
}

fn is_open(stream: &TcpStream) -> bool {
    matches!(stream.peek(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock)
}
