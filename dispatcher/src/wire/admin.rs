//! The admin address: one command a line, one line a response (`METRICS`: the figures, then a line `.`).
//! Responses come from shared figures and never wait for client traffic or the owner thread's queue; a change
//! waits for the owner thread at most [`CHANGE_TIMEOUT`].

use super::connection_limiter::{ConnectionLimiter, ShedPriority, SheddableConnection};
use super::http::deadline_after;
use super::socket::Socket;
use crate::core::suspensions::{SetResult, Suspensions, UnsavedError};
use crate::core::{Inbox, clock};
use may::net::{TcpListener, TcpStream};
use roselock::{Micros, SECOND};
use roselock_admin::command::{self, Command, CommandError, LineReader, ReadLine};
use roselock_admin::metrics::Metrics;
use std::sync::Arc;
use std::time::Duration;

/// Most admin connections; beyond that, the oldest without a complete command is shed first. Their
/// descriptors come out of the process's reserve.
pub const MAX_CONNECTIONS: usize = 16;
/// How long a command may take to be complete, from the start of the connection or its first byte, in
/// microseconds.
const COMMAND_TIMEOUT: Micros = 2 * SECOND;
/// How long a connection may be idle between commands, in microseconds.
const IDLE_TIMEOUT: Micros = 10 * SECOND;
/// How long writing a response may take, in microseconds.
const WRITE_TIMEOUT: Micros = SECOND;
/// A change is answered once the owner thread has applied it and the file holds it, or after this time in
/// microseconds: it takes effect all the same.
const CHANGE_TIMEOUT: Micros = SECOND / 2;
/// How often that is polled.
const CHANGE_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Bytes that are read at once.
const READ_SIZE: usize = 512;

/// What the admin address shows and changes.
pub struct Admin {
    /// The figures of `METRICS`.
    pub metrics: Arc<Metrics>,
    /// Workers that operators have suspended.
    pub suspensions: Arc<Suspensions>,
    /// Tells whether the process can serve, and wakes the owner thread.
    pub inbox: Inbox,
    /// The connections.
    pub connections: Arc<ConnectionLimiter>,
}

/// Accepts admin connections for ever.
pub fn accept(admin: Arc<Admin>, listener: &TcpListener) {
    let connections = admin.connections.clone();
    connections.accept(listener, || true, move |stream, _| serve(&admin, stream));
}

/// A connection to the admin address.
struct Connection<'a> {
    admin: &'a Admin,
    socket: Socket,
    lines: LineReader,
    sheddable: SheddableConnection,
    /// When the next command must be complete.
    deadline: Micros,
}

fn serve(admin: &Admin, stream: TcpStream) {
    let socket = Socket::new(stream);
    let sheddable = admin.connections.mark_sheddable(ShedPriority::Unidentified, &socket);
    let deadline = deadline_after(COMMAND_TIMEOUT);
    let mut connection =
        Some(Connection { admin, socket, lines: LineReader::default(), sheddable, deadline });
    while let Some(open) = connection {
        connection = open.answer_lines().and_then(Connection::read);
    }
}

impl<'a> Connection<'a> {
    /// Answers all complete lines; none if the connection ended.
    fn answer_lines(mut self) -> Option<Connection<'a>> {
        loop {
            let response = match self.lines.next_line() {
                ReadLine::Line(line) => response_to(self.admin, line),
                ReadLine::TooLong => error_response(&CommandError::TooLong),
                ReadLine::Incomplete => return Some(self),
            };
            let written = self.socket.write(&[response.as_bytes()], deadline_after(WRITE_TIMEOUT));
            if written.is_err() || !self.sheddable.reclaim() {
                return None;
            }
            self.sheddable = self.admin.connections.mark_sheddable(ShedPriority::Idle, &self.socket);
            self.deadline = deadline_after(IDLE_TIMEOUT);
        }
    }

    /// Reads once; none if the connection ended.
    fn read(mut self) -> Option<Connection<'a>> {
        let is_mid_command = self.lines.has_partial_line();
        let mut buffer = [0; READ_SIZE];
        match self.socket.read(&mut buffer, self.deadline) {
            Ok(0) | Err(_) => return None,
            Ok(read) => self.lines.push(&buffer[..read]),
        }
        if !is_mid_command {
            self.deadline = self.deadline.min(deadline_after(COMMAND_TIMEOUT));
        }
        Some(self)
    }
}

/// The response to one line, with its end.
fn response_to(admin: &Admin, line: &[u8]) -> String {
    let command = match command::parse(line) {
        Ok(command) => command,
        Err(error) => return error_response(&error),
    };
    match command {
        Command::Status => status(admin),
        Command::Metrics => format!("{}\n.\n", admin.metrics.render()),
        Command::Suspend(id) => change(admin, id, Change::Suspend),
        Command::Restore(id) => change(admin, id, Change::Restore),
    }
}

fn error_response(error: &CommandError) -> String {
    format!("{}\n", error.response())
}

fn status(admin: &Admin) -> String {
    if admin.inbox.shutdown_requested_at().is_some() {
        return "-ERR not ready: stopping\n".to_owned();
    }
    let stage = admin.metrics.stage().description();
    if admin.inbox.has_ready_host() {
        format!("+OK ready: {stage}\n")
    } else {
        format!("-ERR not ready: no worker takes work yet: {stage}\n")
    }
}

/// A change of a worker by operators.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Change {
    /// Suspend it.
    Suspend,
    /// Restore it.
    Restore,
}

impl Change {
    /// How a response calls a change that was made.
    fn made(self) -> &'static str {
        match self {
            Change::Suspend => "out",
            Change::Restore => "back",
        }
    }
    /// How a response calls a change that had been made before.
    fn made_before(self) -> &'static str {
        match self {
            Change::Suspend => "was out",
            Change::Restore => "was not out",
        }
    }
}

fn change(admin: &Admin, id: &str, change: Change) -> String {
    let result = match admin.suspensions.set(id, change == Change::Suspend) {
        Err(error) => return format!("-ERR {id}: {error}\n"),
        Ok(result) => result,
    };
    admin.inbox.wake();
    // Success means that the change survives an upgrade, so the file must hold it. Without that the change is
    // in force in this process, and is written later.
    match (wait_for_change(admin, &result), result) {
        (Err(error), _) => format!("-ERR {id} {}, but not saved yet: {error}\n", change.made()),
        (Ok(()), SetResult::Unchanged) => format!("+OK {id} {}\n", change.made_before()),
        (Ok(()), SetResult::Changed(_)) => format!("+OK {id} {}\n", change.made()),
    }
}

/// Waits until a change is applied and saved, or [`CHANGE_TIMEOUT`] has passed; whether it is saved.
fn wait_for_change(admin: &Admin, result: &SetResult) -> Result<(), UnsavedError> {
    let sequence = match *result {
        SetResult::Changed(sequence) => sequence,
        SetResult::Unchanged => 0,
    };
    let deadline = deadline_after(CHANGE_TIMEOUT);
    let mut saved = admin.suspensions.saved();
    while (admin.suspensions.applied() < sequence || saved.is_err()) && clock::now() < deadline {
        may::coroutine::sleep(CHANGE_POLL_INTERVAL);
        saved = admin.suspensions.saved();
    }
    saved
}
