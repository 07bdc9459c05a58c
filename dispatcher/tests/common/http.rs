//! Scripted HTTP/1.1 clients and upstream hosts.

use super::{WAIT_TIMEOUT, bind, connect, endpoint_json, with_read_timeout};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::mpsc::channel;

/// An HTTP message: its start line, its headers with names in lower case, its body.
#[derive(Debug)]
pub struct HttpMessage {
    pub start: String,
    pub headers: Vec<String>,
    pub body: Vec<u8>,
}

impl HttpMessage {
    /// The status code of a response.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).expect("no status code")
    }
    /// The value of a header; the name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find_map(|h| h.strip_prefix(&format!("{name}: ")))
    }
}

/// One end of an HTTP connection.
pub struct HttpPeer(pub BufReader<TcpStream>);

impl HttpPeer {
    /// Wraps a connection and sets its read time-out.
    pub fn new(stream: TcpStream) -> HttpPeer {
        HttpPeer(BufReader::new(with_read_timeout(stream)))
    }
    /// Accepts the next connection. A listener has no time-out, so a second thread accepts.
    pub fn accept(listener: &TcpListener) -> HttpPeer {
        let (listener, (sender, accepted)) =
            (listener.try_clone().expect("cannot clone listener"), channel());
        std::thread::spawn(move || {
            let _ = sender.send(listener.accept());
        });
        HttpPeer::new(
            accepted.recv_timeout(WAIT_TIMEOUT).expect("no connection in time").expect("no connection").0,
        )
    }
    /// Writes a text, and ignores errors.
    pub fn write(&mut self, text: &str) {
        self.try_write(text);
    }
    /// Writes a text, and returns whether that succeeded.
    pub fn try_write(&mut self, text: &str) -> bool {
        self.0.get_mut().write_all(text.as_bytes()).is_ok()
    }
    /// Sends a client's request; `budget` is in seconds.
    pub fn send_request(&mut self, id: &str, class: &str, budget: f64) {
        let head = format!("X-Call-Id: {id}\r\nX-Call-Class: {class}\r\nX-Budget: {budget}");
        self.write(&format!("POST /api/u?q=1 HTTP/1.1\r\n{head}\r\nContent-Length: 4\r\n\r\nbody"));
    }
    /// Reads the next message; `None` at the end of the stream.
    pub fn read(&mut self) -> Option<HttpMessage> {
        let mut lines = Vec::new();
        loop {
            let mut line = String::new();
            if self.0.read_line(&mut line).ok()? == 0 {
                return None;
            }
            match line.trim_end() {
                "" => break,
                line => lines.push(line.to_owned()),
            }
        }
        let start = lines.remove(0);
        let lower = |h: String| h.split_once(':').map(|(n, v)| format!("{}:{v}", n.to_lowercase()));
        let headers: Vec<String> = lines.into_iter().filter_map(lower).collect();
        let mut message = HttpMessage { start, headers, body: Vec::new() };
        let length =
            message.header("content-length").map_or(0, |l| l.parse().expect("invalid Content-Length"));
        message.body.resize(length, 0);
        self.0.read_exact(&mut message.body).ok()?;
        Some(message)
    }
    /// Waits for the peer, and returns whether it closes or resets the connection without sending another byte.
    pub fn is_closed_by_peer(&mut self) -> bool {
        match self.0.read(&mut [0]) {
            Ok(read) => read == 0,
            Err(e) => e.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }
}

/// An upstream host scripted by a test.
pub struct Host {
    pub uid: &'static str,
    pub listener: TcpListener,
}

impl Host {
    /// A host on a free port.
    pub fn new(uid: &'static str) -> Host {
        Host { uid, listener: bind() }
    }
    /// Its entry in the endpoint list, as JSON.
    pub fn list_entry(&self, state: &str) -> String {
        endpoint_json(self.uid, self.listener.local_addr().expect("no local address"), state, 0)
    }
    /// Accepts a connection and reads its first request.
    pub fn accept_request(&self) -> (HttpPeer, HttpMessage) {
        let mut peer = HttpPeer::accept(&self.listener);
        let request = peer.read().expect("no request");
        (peer, request)
    }
    /// Like [`Host::accept_request`], and responds with 202.
    pub fn accept_job(&self) -> (HttpPeer, HttpMessage) {
        let (mut peer, request) = self.accept_request();
        peer.write(ACCEPTED_RESPONSE);
        (peer, request)
    }
}

/// Accepts a connection at whichever host receives one first. Returns its first request and that host.
pub fn accept_either<'a>(first: &'a Host, second: &'a Host) -> (HttpPeer, HttpMessage, &'a Host) {
    let (accepted, accepts) = channel();
    let hosts = [first, second];
    for (index, host) in hosts.into_iter().enumerate() {
        let listener = host.listener.try_clone().expect("cannot clone listener");
        let accepted = accepted.clone();
        std::thread::spawn(move || {
            let _ = accepted.send((index, listener.accept().expect("no connection").0));
        });
    }
    let (index, stream) = accepts.recv_timeout(WAIT_TIMEOUT).expect("no connection");
    let mut peer = HttpPeer::new(stream);
    let request = peer.read().expect("no request");
    // Ends the thread that waits at the other listener.
    let other = hosts[1 - index];
    drop(connect(other.listener.local_addr().expect("no local address")));
    accepts.recv_timeout(WAIT_TIMEOUT).expect("second listener accepted nothing");
    (peer, request, hosts[index])
}

/// The response of a host that accepts a request.
pub const ACCEPTED_RESPONSE: &str = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n";
/// The response of a host that fails a request.
pub const FAILED_RESPONSE: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n";
/// The response of a host that rejects a request because its queue is full.
pub const REJECTED_RESPONSE: &str = "HTTP/1.1 503 Service Unavailable\r\nX-Rejected: 1\r\nX-Load-Report: TEXT x0=0, queue=1\r\nContent-Length: 0\r\n\r\n";
