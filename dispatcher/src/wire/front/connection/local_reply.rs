//! Local replies: responses that this process generates instead of forwarding a request.

use super::{Connection, NextStep};
use crate::wire::http::{HttpError, Response, deadline_after, write_response};
use roselock::{Micros, SECOND};

/// Time limit for writing a local reply.
const WRITE_TIMEOUT: Micros = SECOND / 2;
/// Maximum number of bytes of an invalid request that are logged.
const LOGGED_BYTES: usize = 160;
/// The status of the response to a valid callback.
pub(super) const CALLBACK_ACCEPTED: u16 = 204;

/// A response that this process generates itself.
pub(super) struct LocalReply {
    pub(super) status: u16,
    /// Additional headers, each terminated by CRLF.
    pub(super) headers: &'static str,
    pub(super) body: &'static str,
}

impl LocalReply {
    /// A reply without a body.
    pub(super) fn new(status: u16) -> LocalReply {
        LocalReply { status, headers: retry_after(status), body: "" }
    }

    /// A reply to a method that the path does not allow. `allow` is the `Allow` header with the allowed
    /// method.
    pub(super) fn method_not_allowed(allow: &'static str) -> LocalReply {
        LocalReply { status: 405, headers: allow, body: "" }
    }
}

impl Connection<'_> {
    /// Writes a local reply, and closes the connection if it must not be kept open.
    pub(super) fn reply(&mut self, reply: &LocalReply, close_requested: bool) -> NextStep {
        let LocalReply { status, headers, body } = *reply;
        // The connection of a client whose first request is invalid is closed.
        let is_invalid_first = self.first_request_deadline.is_some() && (400..500).contains(&status);
        // A pipelined request that has been read must also get a response.
        let is_shutting_down = self.front.inbox.is_closing_connections() && !self.has_pipelined_bytes();
        let close = close_requested || is_invalid_first || is_shutting_down || self.is_shed();
        let response = Response { status, headers, body: body.as_bytes(), close };
        let written = write_response(&self.socket, &response, deadline_after(WRITE_TIMEOUT));
        if close || written.is_err() {
            return NextStep::Close;
        }
        self.first_request_deadline = None;
        if status == CALLBACK_ACCEPTED {
            self.unidentified = None;
        }
        NextStep::Continue
    }

    /// Responds to an invalid or incomplete message, and closes the connection.
    pub(super) fn reject(&mut self, error: HttpError) -> NextStep {
        let status = match error {
            HttpError::Status(status) => status,
            HttpError::TimedOut => 408,
            HttpError::Closed | HttpError::ConnectionLost if self.is_shed() && !self.reader.is_empty() => 503,
            HttpError::Closed | HttpError::ConnectionLost => {
                let is_partial = !self.reader.is_empty();
                tracing::debug!(peer = %self.peer, is_partial, reason = %error, "client connection ended");
                return if self.reader.is_discarding() { NextStep::Close } else { NextStep::End };
            }
        };
        self.log_rejected(status, error);
        let response = Response { status, headers: retry_after(status), close: true, ..Response::default() };
        match write_response(&self.socket, &response, deadline_after(WRITE_TIMEOUT)) {
            Ok(()) => NextStep::Close,
            Err(_) => NextStep::End,
        }
    }

    fn log_rejected(&self, status: u16, error: HttpError) {
        let unparsed = self.reader.unparsed();
        let start = &unparsed[..unparsed.len().min(LOGGED_BYTES)];
        tracing::debug!(
            peer = %self.peer,
            status,
            is_first = self.first_request_deadline.is_some(),
            start = %start.escape_ascii(),
            reason = %error,
            "request rejected before it was complete"
        );
    }
}

/// The `Retry-After` header of a response with this status, if it has one.
fn retry_after(status: u16) -> &'static str {
    if status == 503 { "Retry-After: 1\r\n" } else { "" }
}
