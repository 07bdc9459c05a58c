//! The client side of a connection: submits jobs and tracks them until their final answer.

use crate::decode::DecodeError;
use crate::packet::{Kind, Packet};
use crate::peer_stream::{PeerStream, ReceivedPacket};
use crate::submit::Submission;
use std::collections::{HashMap, VecDeque};

/// The number of a submission. A client numbers its submissions from 0 in their order.
pub type Ticket = u64;

/// An event that a client receives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A job was created under this handle.
    Created(Ticket, Vec<u8>),
    /// A submission was rejected.
    Rejected {
        /// The submission.
        ticket: Ticket,
        /// The error code.
        code: Vec<u8>,
        /// The error text.
        text: Vec<u8>,
    },
    /// A chunk of a job's result.
    Data(Ticket, Vec<u8>),
    /// A warning about a job.
    Warning(Ticket, Vec<u8>),
    /// The progress of a job, as the worker sent it.
    Status {
        /// The submission.
        ticket: Ticket,
        /// The completed part.
        numerator: Vec<u8>,
        /// The total.
        denominator: Vec<u8>,
    },
    /// The reason for which a job will fail; its [`Event::Fail`] follows.
    Exception(Ticket, Vec<u8>),
    /// The final answer: the result.
    Complete(Ticket, Vec<u8>),
    /// The final answer: the job has failed.
    Fail(Ticket),
    /// The response to another request: its packet type and its arguments.
    Answer(Kind, Vec<u8>),
    /// A malformed packet, or one about a job that this client does not wait for: an error of the server.
    Unexpected(Kind, Vec<u8>),
}

/// A submission without a response.
struct PendingSubmission {
    ticket: Ticket,
    is_background: bool,
}

/// The state machine of a client.
pub struct Client {
    stream: PeerStream<Event>,
    next_ticket: Ticket,
    pending: VecDeque<PendingSubmission>,
    /// Created foreground submissions without a final answer, by the handle of their job.
    waiting: HashMap<Vec<u8>, Vec<Ticket>>,
}

impl Default for Client {
    fn default() -> Client {
        Client {
            stream: PeerStream::new(),
            next_ticket: 0,
            pending: VecDeque::new(),
            waiting: HashMap::new(),
        }
    }
}

impl Client {
    /// Submits a job.
    pub fn submit(&mut self, job: &Submission) -> Ticket {
        job.write(&mut self.stream.output);
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.pending.push_back(PendingSubmission { ticket, is_background: job.background });
        ticket
    }

    /// Sends any other packet. Its response is an [`Event::Answer`].
    pub fn send(&mut self, kind: Kind, args: &[&[u8]]) {
        self.stream.send(kind, args);
    }

    /// Takes the bytes to be sent.
    pub fn take_output(&mut self) -> Vec<u8> {
        self.stream.take_output()
    }

    /// Number of submissions without a response, plus those that wait for their final answer.
    pub fn unfinished(&self) -> usize {
        self.waiting.values().map(Vec::len).sum::<usize>() + self.pending.len()
    }

    /// Handles received bytes.
    ///
    /// # Errors
    /// If they are not valid packets of a server.
    pub fn input(&mut self, bytes: &[u8]) -> Result<(), DecodeError> {
        self.stream.feed(bytes);
        while let Some(packet) = self.stream.next_packet()? {
            self.handle_packet(packet);
        }
        Ok(())
    }

    /// Returns the next event, if any.
    pub fn poll(&mut self) -> Option<Event> {
        self.stream.next_event()
    }

    fn handle_packet(&mut self, received: ReceivedPacket) {
        let Ok(packet) = Packet::parse(received.kind, &received.data) else {
            return self.push_unexpected(&received);
        };
        match packet {
            Packet::JobCreated { handle } => self.handle_created(handle, &received),
            Packet::Error { code, text } => self.handle_error(code, text, &received),
            Packet::WorkComplete { handle, data } => {
                self.push_final(handle, &received, |ticket| Event::Complete(ticket, data.to_vec()));
            }
            Packet::WorkFail { handle } => self.push_final(handle, &received, Event::Fail),
            Packet::WorkData { handle, data } => {
                self.push_for_job(handle, &received, |ticket| Event::Data(ticket, data.to_vec()));
            }
            Packet::WorkWarning { handle, data } => {
                self.push_for_job(handle, &received, |ticket| Event::Warning(ticket, data.to_vec()));
            }
            Packet::WorkException { handle, data } => {
                self.push_for_job(handle, &received, |ticket| Event::Exception(ticket, data.to_vec()));
            }
            Packet::WorkStatus { handle, numerator, denominator } => {
                self.push_for_job(handle, &received, |ticket| Event::Status {
                    ticket,
                    numerator: numerator.to_vec(),
                    denominator: denominator.to_vec(),
                });
            }
            _ => self.stream.push_event(Event::Answer(received.kind, received.data)),
        }
    }

    fn handle_created(&mut self, handle: &[u8], received: &ReceivedPacket) {
        let Some(submission) = self.pending.pop_front() else { return self.push_unexpected(received) };
        if !submission.is_background {
            self.waiting.entry(handle.to_vec()).or_default().push(submission.ticket);
        }
        self.stream.push_event(Event::Created(submission.ticket, handle.to_vec()));
    }

    fn handle_error(&mut self, code: &[u8], text: &[u8], received: &ReceivedPacket) {
        let event = match self.pending.pop_front() {
            Some(submission) => {
                Event::Rejected { ticket: submission.ticket, code: code.to_vec(), text: text.to_vec() }
            }
            None => Event::Answer(received.kind, received.data.clone()),
        };
        self.stream.push_event(event);
    }

    fn push_unexpected(&mut self, received: &ReceivedPacket) {
        self.stream.push_event(Event::Unexpected(received.kind, received.data.clone()));
    }

    /// Adds an event for each submission that waits for a job.
    fn push_for_job(&mut self, handle: &[u8], received: &ReceivedPacket, event: impl Fn(Ticket) -> Event) {
        let Some(tickets) = self.waiting.get(handle) else { return self.push_unexpected(received) };
        for ticket in tickets {
            self.stream.push_event(event(*ticket));
        }
    }

    /// Adds the final answer for each submission that joined a job. A server may send it once per connection, or once
    /// per submission.
    fn push_final(&mut self, handle: &[u8], received: &ReceivedPacket, event: impl Fn(Ticket) -> Event) {
        let Some(tickets) = self.waiting.remove(handle) else { return self.push_unexpected(received) };
        for ticket in tickets {
            self.stream.push_event(event(ticket));
        }
    }
}
