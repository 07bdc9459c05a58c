//! Idle clients that use up a dispatcher's file descriptors: they connect, send nothing or half of a request head, and
//! reconnect when their connections are closed.

use crate::test_environment::TestEnvironment;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// Interval between two checks for closed connections.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// The bytes that idle clients send, in turn.
const PAYLOADS: [&str; 2] = ["", "POST /api/u HTTP/1.1\r\nContent-Le"];

/// Keeps the scenario's number of idle connections to a dispatcher open until the run ends, on a separate thread.
pub fn hold_open(environment: &Arc<TestEnvironment>, dispatcher: usize) {
    let count = environment.scenario.clients.idle_connections;
    if count == 0 {
        return;
    }
    let environment = environment.clone();
    std::thread::spawn(move || {
        let address = environment.dispatchers[dispatcher].listen;
        let mut clients: Vec<TcpStream> = Vec::with_capacity(count);
        while !environment.is_stopped() {
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
    stream.write_all(PAYLOADS[number % PAYLOADS.len()].as_bytes()).ok()?;
    stream.set_nonblocking(true).ok()?;
    Some(stream)
}

fn is_open(stream: &TcpStream) -> bool {
    matches!(stream.peek(&mut [0]), Err(error) if error.kind() == ErrorKind::WouldBlock)
}
