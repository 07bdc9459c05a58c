//! The admin protocol: each command is one line and so is each response, except that `METRICS` returns
//! several lines, terminated by a line `.`. Responses are built from shared state, so they never wait for
//! client traffic or for the event loop's queue. Only `SUSPEND` and `RESTORE` wait for the event loop,
//! for at most [`CHANGE_TIMEOUT`].

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

/// Maximum number of admin connections. Above it, the oldest connection without a complete command is closed
/// first. Their file descriptors are taken from the process's reserve.
pub const MAX_CONNECTIONS: usize = 16;
/// Time limit for receiving a complete command, from the start of the connection or the command's first byte.
const COMMAND_TIMEOUT: Micros = 2 * SECOND;
/// Maximum idle time between commands.
const IDLE_TIMEOUT: Micros = 10 * SECOND;
/// Time limit for writing a response.
const WRITE_TIMEOUT: Micros = SECOND;
/// Time limit for a change: the response is sent once the event loop has applied the change and the file
/// contains it, or after this time. The change takes effect in either case.
const CHANGE_TIMEOUT: Micros = SECOND / 2;
/// Interval at which the state of a change is polled.
const CHANGE_POLL_INTERVAL: Duration = Duration::from_millis(1);
/// Size of the read buffer in bytes.
const READ_SIZE: usize = 512;

/// The state that the admin address reads and changes.
pub struct Admin {
    /// The metrics that `METRICS` reports.
    pub metrics: Arc<Metrics>,
    /// Workers that operators have suspended.
    pub suspensions: Arc<Suspensions>,
    /// Reports whether the process is ready, and wakes the event loop.
    pub inbox: Inbox,
    /// The admin connections.
    pub connections: Arc<ConnectionLimiter>,
}

/// Accepts admin connections; never returns.
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
    /// When the next command must have been received completely.
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
    /// Responds to all complete lines. Returns `None` if the connection ended.
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

    /// Reads once. Returns `None` if the connection ended.
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

/// The response to one line, including the line terminator.
fn response_to(admin: &Admin, line: &[u8]) -> String {
    let command = match command::parse(line) {
        Ok(command) => command,
        Err(error) => return error_response(&error),
    };
    match command {
        Command::Status => status_response(admin),
        Command::Metrics => format!("{}\n.\n", admin.metrics.render()),
        Command::Suspend(id) => apply_change(admin, id, Change::Suspend),
        Command::Restore(id) => apply_change(admin, id, Change::Restore),
    }
}

fn error_response(error: &CommandError) -> String {
    format!("{}\n", error.response())
}

fn status_response(admin: &Admin) -> String {
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

/// A change to a worker that an operator requests.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Change {
    /// Takes the worker out of service.
    Suspend,
    /// Puts the worker back into service.
    Restore,
}

impl Change {
    /// The word in the response for a change that was made.
    fn changed_reply(self) -> &'static str {
        match self {
            Change::Suspend => "out",
            Change::Restore => "back",
        }
    }
    /// The words in the response if the worker was already in the requested state.
    fn unchanged_reply(self) -> &'static str {
        match self {
            Change::Suspend => "was out",
            Change::Restore => "was not out",
        }
    }
}

fn apply_change(admin: &Admin, id: &str, change: Change) -> String {
    let result = match admin.suspensions.set(id, change == Change::Suspend) {
        Err(error) => return format!("-ERR {id}: {error}\n"),
        Ok(result) => result,
    };
    admin.inbox.wake();
    // Success means that the change survives an upgrade, so the file must contain it. If saving fails, the
    // change is still in effect in this process, and the file is written later.
    match (wait_for_change(admin, &result), result) {
        (Err(error), _) => format!("-ERR {id} {}, but not saved yet: {error}\n", change.changed_reply()),
        (Ok(()), SetResult::Unchanged) => format!("+OK {id} {}\n", change.unchanged_reply()),
        (Ok(()), SetResult::Changed(_)) => format!("+OK {id} {}\n", change.changed_reply()),
    }
}

/// Waits until a change is applied and saved, or [`CHANGE_TIMEOUT`] has passed. Fails if it is not saved.
fn wait_for_change(admin: &Admin, result: &SetResult) -> Result<(), UnsavedError> {
    let sequence = match *result {
        SetResult::Changed(sequence) => sequence,
        SetResult::Unchanged => 0,
    };
    let deadline = deadline_after(CHANGE_TIMEOUT);
    let mut saved = admin.suspensions.saved();
    while (admin.suspensions.applied() < sequence || saved.is_err()) && clock::now() < deadline {
        clock::sleep(CHANGE_POLL_INTERVAL);
        saved = admin.suspensions.saved();
    }
    saved
}
