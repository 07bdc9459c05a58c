//! What becomes of a request: a stream, a callback or a local reply.

use super::local_reply::{CALLBACK_ACCEPTED, LocalReply};
use super::{Connection, NextStep};
use crate::core::{NewStream, StreamId};
use crate::wire::callbacks;
use crate::wire::front::Front;
use crate::wire::front::request::parse_stream;
use crate::wire::front::reservations::{BodyMemory, InFlightStream};
use crate::wire::front::writer::Writer;
use crate::wire::http::Message;
use roselock_admin::metrics::JobResult;

/// The path that tells whether the process is ready.
const READY_PATH: &str = "/health/ready";

/// What becomes of a request.
enum Routed {
    /// It is a stream with this number.
    InFlight(StreamId),
    /// The connection was shed just now.
    Shed,
    /// It gets a local reply.
    Reply(LocalReply),
}

impl Connection<'_> {
    /// Processes a complete message.
    pub(super) fn process(&mut self, message: Message, memory: BodyMemory) -> NextStep {
        let close_requested = message.close;
        match self.route(message, memory) {
            Routed::InFlight(stream) => {
                self.pending = Some(stream);
                self.first_request_deadline = None;
                NextStep::Continue
            }
            Routed::Shed => NextStep::Close,
            Routed::Reply(reply) => self.reply(&reply, close_requested),
        }
    }

    fn route(&mut self, message: Message, memory: BodyMemory) -> Routed {
        let method = message.text(&message.method);
        let target = message.text(&message.target);
        let path = target.split('?').next().unwrap_or("");
        match (method, path) {
            ("POST", callbacks::PATH) => self.take_callback(&message),
            ("GET", READY_PATH) => self.readiness(),
            ("POST", _) => self.submit(message, memory),
            (_, callbacks::PATH) => Routed::Reply(LocalReply::method_not_allowed("Allow: POST\r\n")),
            (_, READY_PATH) => Routed::Reply(LocalReply::method_not_allowed("Allow: GET\r\n")),
            _ => Routed::Reply(LocalReply::new(404)),
        }
    }

    fn take_callback(&self, message: &Message) -> Routed {
        let Front { site, inbox, inherited, .. } = &**self.front;
        let is_valid = callbacks::post(message.body(), site, inbox, *inherited);
        let status = if is_valid { CALLBACK_ACCEPTED } else { 400 };
        Routed::Reply(LocalReply::new(status))
    }

    fn readiness(&self) -> Routed {
        let inbox = &self.front.inbox;
        let is_ready = inbox.has_ready_host() && inbox.shutdown_requested_at().is_none();
        let status = if is_ready { 200 } else { 503 };
        Routed::Reply(LocalReply { status, headers: "", body: self.front.metrics.stage().description() })
    }

    /// Submits the stream of a request to the owner thread.
    fn submit(&mut self, message: Message, memory: BodyMemory) -> Routed {
        let front = self.front;
        let close_requested = message.close;
        let Some(new) = parse_stream(front, message, self.peer) else {
            return Routed::Reply(LocalReply::new(400));
        };
        let class = new.class.0 as usize;
        let Some(in_flight) = InFlightStream::admit(front, memory) else {
            return self.defer(class);
        };
        // The client of a request that is forwarded must stay for the answer.
        if self.unidentified.take().is_some_and(|sheddable| !sheddable.reclaim()) {
            return Routed::Shed;
        }
        let writer = self.writer.get_or_insert_with(|| Writer::start(front, &self.socket));
        writer.exchange().in_flight = Some(in_flight);
        writer.exchange().close_requested = close_requested;
        let id = front.inbox.stream_id();
        let new = NewStream { id, downstream: writer.downstream(&front.inbox), ..new };
        if !front.inbox.submit(Box::new(new)) {
            // The process is ending, and this stream came just too late.
            writer.exchange().in_flight = None;
            return self.defer(class);
        }
        Routed::InFlight(id)
    }

    /// Rejects a request that the client may send again.
    fn defer(&self, class: usize) -> Routed {
        self.front.metrics.job_ended(class, JobResult::Deferred, false);
        Routed::Reply(LocalReply::new(503))
    }
}
