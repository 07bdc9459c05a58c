//! Routes requests: submits streams, posts callbacks and generates local replies.

use super::local_reply::{CALLBACK_ACCEPTED, LocalReply};
use super::{Connection, NextStep};
use crate::core::{MemoryReservation, NewStream, StreamId};
use crate::wire::callbacks;
use crate::wire::front::Front;
use crate::wire::front::request::parse_stream;
use crate::wire::front::reservations::InFlightStream;
use crate::wire::front::writer::Writer;
use crate::wire::http::Message;
use roselock_admin::metrics::JobResult;

/// The path of the readiness check.
const READY_PATH: &str = "/health/ready";

/// The result of routing a request.
enum RouteResult {
    /// The request was submitted as the stream with this id.
    InFlight(StreamId),
    /// The client has left, so the request is not submitted.
    ClientLeft,
    /// The request gets a local reply.
    Reply(LocalReply),
}

impl Connection<'_> {
    /// Processes a complete message.
    pub(super) fn process(&mut self, message: Message, memory: MemoryReservation) -> NextStep {
        let close_requested = message.close;
        match self.route(message, memory) {
            RouteResult::InFlight(stream) => {
                self.pending_stream = Some(stream);
                self.first_request_deadline = None;
                NextStep::Continue
            }
            RouteResult::ClientLeft => NextStep::End,
            RouteResult::Reply(reply) => self.reply(&reply, close_requested),
        }
    }

    fn route(&mut self, message: Message, memory: MemoryReservation) -> RouteResult {
        let method = message.text(&message.method);
        let target = message.text(&message.target);
        let path = target.split('?').next().unwrap_or("");
        match (method, path) {
            ("POST", callbacks::PATH) => self.handle_callback(&message, memory),
            ("GET", READY_PATH) => self.handle_readiness(),
            ("POST", _) => self.submit(message, memory),
            (_, callbacks::PATH) => RouteResult::Reply(LocalReply::method_not_allowed("Allow: POST\r\n")),
            (_, READY_PATH) => RouteResult::Reply(LocalReply::method_not_allowed("Allow: GET\r\n")),
            _ => RouteResult::Reply(LocalReply::new(404)),
        }
    }

    fn handle_callback(&self, message: &Message, memory: MemoryReservation) -> RouteResult {
        let Front { site, inbox, inherited, .. } = &**self.front;
        let is_valid = callbacks::post(message.body(), site, inbox, Some(memory), *inherited);
        let status = if is_valid { CALLBACK_ACCEPTED } else { 400 };
        RouteResult::Reply(LocalReply::new(status))
    }

    fn handle_readiness(&self) -> RouteResult {
        let inbox = &self.front.inbox;
        let is_ready = inbox.has_ready_host() && inbox.shutdown_requested_at().is_none();
        let status = if is_ready { 200 } else { 503 };
        RouteResult::Reply(LocalReply { status, headers: "", body: self.front.metrics.stage().description() })
    }

    /// Submits the stream of a request to the event loop.
    fn submit(&mut self, message: Message, memory: MemoryReservation) -> RouteResult {
        let front = self.front;
        let close_requested = message.close;
        let Some(new) = parse_stream(front, message, Some(memory), self.peer) else {
            return RouteResult::Reply(LocalReply::new(400));
        };
        let class = new.class.0 as usize;
        let Some(in_flight) = InFlightStream::admit(front) else {
            return self.defer(class, "all connections but those for callbacks are in use");
        };
        // The connection of a forwarded request must stay open for the answer.
        if let Some(unidentified) = self.unidentified.take() {
            self.was_shed |= !unidentified.reclaim();
        }
        if self.was_shed {
            return self.defer(class, "the connection was shed");
        }
        if self.has_client_left() {
            tracing::debug!(peer = %self.peer, "request dropped: its client has left");
            return RouteResult::ClientLeft;
        }
        let writer = self.writer.get_or_insert_with(|| Writer::start(front, &self.socket));
        writer.exchange().in_flight = Some(in_flight);
        writer.exchange().close_requested = close_requested;
        let id = front.inbox.next_stream_id();
        let new = NewStream { id, downstream: writer.downstream(front), ..new };
        if !front.inbox.submit(Box::new(new)) {
            // The process is exiting and accepts no more streams.
            writer.exchange().in_flight = None;
            return self.defer(class, "the process is ending");
        }
        RouteResult::InFlight(id)
    }

    /// Rejects a request with a status that lets the client send it again.
    fn defer(&self, class: usize, reason: &'static str) -> RouteResult {
        tracing::debug!(peer = %self.peer, reason, "request refused");
        self.front.metrics.job_ended(class, JobResult::Deferred, false);
        RouteResult::Reply(LocalReply::new(503))
    }
}
