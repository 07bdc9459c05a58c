//! Clients.

use crate::http::Connection;
use crate::record::Record;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

static NEXT_ID: AtomicU64 = AtomicU64::new(0);

/// A fresh id of a request.
pub fn fresh_id() -> String {
    let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos() as u64;
    let number = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    format!("{:08x}{number:08x}", (epoch >> 8) as u32)
}

pub struct Request<'a> {
    pub id: &'a str,
    pub class: &'a str,
    pub path: &'a str,
    pub budget: f64,
    pub body: &'a str,
}

impl Request<'_> {
    pub fn bytes(&self) -> Vec<u8> {
        let Request { id, class, path, budget, body } = self;
        let length = body.len();
        format!(
            "POST {path} HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: {id}\r\nX-Call-Class: {class}\r\n\
             X-Caller: conecta\r\nX-Budget: {budget:.3}\r\nContent-Length: {length}\r\n\r\n{body}"
        )
        .into_bytes()
    }
}

/// The answer to a request: its status and body, or how the connection ended without one.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Status(u16, String),
    /// No answer within the time and half a second more.
    Nothing,
    /// The connection ended without an answer, or could not be opened.
    Ended(String),
}

/// Sends one request on a new connection and waits for its answer.
pub fn send(address: SocketAddr, request: &Request, record: &Record, who: &str) -> Answer {
    let answer = exchange(address, request);
    record.note(&format!("{who}: {} {} answered {answer:?}", request.class, request.id));
    answer
}

fn exchange(address: SocketAddr, request: &Request) -> Answer {
    let mut connection = match Connection::open(address) {
        Ok(connection) => connection,
        Err(error) => return Answer::Ended(error.to_string()),
    };
    if let Err(error) = connection.write(&request.bytes()) {
        return Answer::Ended(error.to_string());
    }
    match connection.read(Duration::from_secs_f64(request.budget + 0.5)) {
        Ok(Some(message)) => Answer::Status(message.status(), message.text()),
        Ok(None) => Answer::Ended("closed".to_owned()),
        Err(error) if error.kind() == std::io::ErrorKind::TimedOut => Answer::Nothing,
        Err(error) => Answer::Ended(error.to_string()),
    }
}
