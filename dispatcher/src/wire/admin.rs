//! The admin address: one line a call, one line an answer (`METRICS`: the figures, then a line `.`). Answers come
//! from shared figures and never wait behind client traffic or the owner's queue; a change waits for the owner
//! at most [`TOLD_WITHIN`].

use super::connection_limiter::{ConnectionLimiter, ShedPriority};
use super::http::by;
use super::socket::Socket;
use crate::core::suspensions::{SetResult, Suspensions};
use crate::core::{Inbox, clock};
use may::net::{TcpListener, TcpStream};
use roselock::{Micros, SECOND};
use roselock_admin::command::{self, Command, LineReader, ReadLine};
use roselock_admin::metrics::Metrics;
use std::sync::Arc;
use std::time::Duration;

/// Most admin connections at once; at the bound, the oldest that has not finished a call goes first. They come
/// out of the descriptors kept in reserve.
pub const CONNECTIONS: usize = 16;
/// A call has to be whole so long after the connection came or the call began.
const CALL_WITHIN: Micros = 2 * SECOND;
/// A connection may wait so long for its next call.
const IDLE: Micros = 10 * SECOND;
/// An answer may take so long to go out.
const TRANSFER: Micros = SECOND;
/// A change is answered once the owner has told the decisions and the file holds it, or after so long: it takes effect all
/// the same.
const TOLD_WITHIN: Micros = SECOND / 2;

/// What the admin address sees and steers.
pub struct Admin {
    /// The figures of `METRICS`.
    pub metrics: Arc<Metrics>,
    /// Workers that staff has suspended.
    pub suspensions: Arc<Suspensions>,
    /// Whether the process can serve, and the way to wake the owner.
    pub inbox: Inbox,
    /// Its connections.
    pub connections: Arc<ConnectionLimiter>,
}

/// Accepts admin connections for ever.
pub fn accept(admin: Arc<Admin>, listener: &TcpListener) {
    let table = admin.connections.clone();
    table.accept(listener, || true, move |stream, _| serve(&admin, stream));
}

fn serve(admin: &Admin, stream: TcpStream) {
    let socket = Socket::new(stream);
    let mut lines = LineReader::default();
    let mut buffer = [0; 512];
    let (mut spare, mut due) =
        (admin.connections.spare(ShedPriority::Unidentified, &socket), by(CALL_WITHIN));
    loop {
        loop {
            let answer = match lines.next_line() {
                ReadLine::Line(line) => answer(admin, line),
                ReadLine::TooLong => command::CommandError::TooLong.response().to_owned() + "\n",
                ReadLine::Incomplete => break,
            };
            if socket.write(&[answer.as_bytes()], by(TRANSFER)).is_err() || !spare.reclaim() {
                return;
            }
            (spare, due) = (admin.connections.spare(ShedPriority::Idle, &socket), by(IDLE));
        }
        let partial = lines.has_partial_line();
        match socket.read(&mut buffer, due) {
            Ok(0) | Err(_) => return,
            Ok(read) => lines.push(&buffer[..read]),
        }
        if !partial {
            due = due.min(by(CALL_WITHIN));
        }
    }
}

/// The answer to one line, with its end.
fn answer(admin: &Admin, line: &[u8]) -> String {
    let call = match command::parse(line) {
        Ok(call) => call,
        Err(wrong) => return wrong.response().to_owned() + "\n",
    };
    match call {
        Command::Status if admin.inbox.shutdown_requested_at().is_some() => {
            "-ERR not ready: stopping\n".to_owned()
        }
        Command::Status => {
            let stage = admin.metrics.stage().description();
            let able = admin.inbox.has_ready_host();
            if able {
                format!("+OK ready: {stage}\n")
            } else {
                format!("-ERR not ready: no worker takes work yet: {stage}\n")
            }
        }
        Command::Metrics => format!("{}\n.\n", admin.metrics.render()),
        Command::Suspend(id) => change(admin, id, true),
        Command::Restore(id) => change(admin, id, false),
    }
}

fn change(admin: &Admin, id: &str, out: bool) -> String {
    let (done, undone) = if out { ("out", "was out") } else { ("back", "was not out") };
    let result = match admin.suspensions.set(id, out) {
        Err(why) => return format!("-ERR {id}: {why}\n"),
        Ok(result) => result,
    };
    let generation = match result {
        SetResult::Changed(generation) => generation,
        SetResult::Unchanged => 0,
    };
    admin.inbox.wake();
    let until = by(TOLD_WITHIN);
    let mut saved = admin.suspensions.saved();
    while (admin.suspensions.applied() < generation || saved.is_err()) && clock::now() < until {
        may::coroutine::sleep(Duration::from_millis(1));
        saved = admin.suspensions.saved();
    }
    // A yes holds over an upgrade, so it needs the file; without one the change is in force here, and is written later.
    match (saved, result) {
        (Err(why), _) => format!("-ERR {id} {done}, but not saved yet: {why}\n"),
        (Ok(()), SetResult::Unchanged) => format!("+OK {id} {undone}\n"),
        (Ok(()), SetResult::Changed(_)) => format!("+OK {id} {done}\n"),
    }
}
