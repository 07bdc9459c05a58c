//! Clients.

use crate::http::Connection;
use crate::record::Record;
use std::io::Write;
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

/// Requests that a client of [`send_many`] sends.
const MANY: usize = 8;
/// The size of the body of each, in bytes; at most 64 KiB are allowed.
const BODY_BYTES: usize = 20 * 1024;
/// The time that each request has, in seconds.
const BUDGET: f64 = 8.0;
/// How long after the end of the connection a client looks for a reset.
const RESET_WATCH: Duration = Duration::from_secs(4);

/// What became of the requests of [`send_many`].
pub struct Sent {
    pub requests: usize,
    pub answered: usize,
    /// Those that the dispatcher had read when it ended the connection without an answer to them.
    pub lost: usize,
}

/// Sends several requests on one connection, all at once or each after the answer to the one before.
///
/// If the dispatcher ends the connection, a client sends what was not read once more on a new connection. A close over
/// unread bytes resets the connection. So requests were read if they were written whole, the connection ended without
/// a reset, and none follows.
pub fn send_many(
    address: SocketAddr,
    class: &str,
    at_once: bool,
    record: &Record,
    who: &str,
) -> Result<Sent, String> {
    let body = "b".repeat(BODY_BYTES);
    let ids: Vec<String> = (0..MANY).map(|_| fresh_id()).collect();
    let request = |id| Request { id, class, path: "/api/user", budget: BUDGET, body: &body }.bytes();
    let requests: Vec<Vec<u8>> = ids.iter().map(|id| request(id)).collect();
    let mut connection = Connection::open(address).map_err(|error| error.to_string())?;
    let mut writer = connection.stream.try_clone().map_err(|error| error.to_string())?;
    let groups = if at_once { vec![requests.concat()] } else { requests };
    let per_group = MANY / groups.len();
    let mut answered = 0;
    let mut ended = None;
    for group in groups {
        // Written beside the reading, as a client does that waits for answers meanwhile.
        let mut other = writer.try_clone().map_err(|error| error.to_string())?;
        let write = std::thread::spawn(move || other.write_all(&group));
        for _ in 0..per_group {
            match connection.read(Duration::from_secs_f64(BUDGET + 0.5)) {
                Ok(Some(message)) => {
                    record.note(&format!("{who}: request {} answered {}", ids[answered], message.status()));
                    answered += 1;
                }
                Ok(None) => ended = Some("end of the connection".to_owned()),
                Err(error) => ended = Some(error.to_string()),
            }
            if ended.is_some() {
                break;
            }
        }
        let written = write.join().map_err(|_| "a writer failed")?;
        record.note(&format!("{who}: writing ended with {written:?}"));
        if written.is_err() {
            ended = Some("the requests were not written whole".to_owned());
        }
        if ended.is_some() {
            break;
        }
    }
    let Some(how) = ended else { return Ok(Sent { requests: MANY, answered, lost: 0 }) };
    record.note(&format!("{who}: {answered} of {MANY} answered, then: {how}"));
    std::thread::sleep(RESET_WATCH);
    let later = connection.read(Duration::from_millis(200));
    let ended_cleanly = how == "end of the connection" && matches!(later, Ok(None));
    record.note(&format!("{who}: ended {}", if ended_cleanly { "without a reset" } else { "otherwise" }));
    let _ = writer.flush();
    if ended_cleanly {
        return Ok(Sent { requests: MANY, answered, lost: MANY - answered });
    }
    // What may not have been read is sent once more, each request on a connection of its own.
    let mut lost = 0;
    for id in &ids[answered..] {
        let again = Request { id, class, path: "/api/user", budget: BUDGET, body: &body };
        let answer = send(address, &again, record, who);
        lost += usize::from(!matches!(answer, Answer::Status(..)));
    }
    Ok(Sent { requests: MANY, answered, lost })
}
