//! A client's side of a connection: submits jobs and follows them to their last word.

use crate::decode::{Broken, Decoder, Frame, Limits};
use crate::packet::{Kind, Magic, Packet, encode};
use crate::submit::Submission;
use std::collections::{HashMap, VecDeque};

/// A job that this client submitted, by the order of submission.
pub type Ticket = u64;

/// What a client hears.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A job was created under a handle.
    Created(Ticket, Vec<u8>),
    /// A submission was turned away: code and text.
    TurnedAway(Ticket, Vec<u8>, Vec<u8>),
    /// A part of a job's result.
    Data(Ticket, Vec<u8>),
    /// A warning.
    Warning(Ticket, Vec<u8>),
    /// How far it is: numerator and denominator as sent.
    Status(Ticket, Vec<u8>, Vec<u8>),
    /// Why it will fail; its failure follows.
    Exception(Ticket, Vec<u8>),
    /// The last word: its result.
    Complete(Ticket, Vec<u8>),
    /// The last word: it failed.
    Fail(Ticket),
    /// Something else that was asked for: the type and its arguments.
    Answer(Kind, Vec<u8>),
    /// A word on a job that this client does not wait for: a server's mistake.
    Stray(Kind, Vec<u8>),
}

/// The state machine.
pub struct Client {
    decoder: Decoder,
    out: Vec<u8>,
    next: Ticket,
    asked: VecDeque<(Ticket, bool)>,
    jobs: HashMap<Vec<u8>, Vec<Ticket>>,
    ready: VecDeque<Event>,
}

impl Default for Client {
    fn default() -> Client {
        Client {
            decoder: Decoder::new(Magic::Res, Limits { packet: 64 << 20, line: 0 }),
            out: Vec::new(),
            next: 0,
            asked: VecDeque::new(),
            jobs: HashMap::new(),
            ready: VecDeque::new(),
        }
    }
}

impl Client {
    /// Submits a job.
    pub fn submit(&mut self, job: &Submission) -> Ticket {
        job.write(&mut self.out);
        let ticket = self.next;
        self.next += 1;
        self.asked.push_back((ticket, job.background));
        ticket
    }
    /// Sends any other packet; its answer comes as [`Event::Answer`].
    pub fn ask(&mut self, kind: Kind, args: &[&[u8]]) {
        encode(Magic::Req, kind, args, &mut self.out);
    }
    /// Bytes to be written; whoever takes them writes them.
    pub fn take_output(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.out)
    }
    /// Jobs whose last word is yet to come, and submissions without an answer.
    pub fn open(&self) -> usize {
        self.jobs.values().map(Vec::len).sum::<usize>() + self.asked.len()
    }
    /// Takes in bytes.
    ///
    /// # Errors
    /// Where they are no packets of a server.
    pub fn input(&mut self, bytes: &[u8]) -> Result<(), Broken> {
        self.decoder.feed(bytes);
        while let Some(frame) = self.decoder.next_frame()? {
            if let Frame::Packet(kind, data) = frame {
                self.take(kind, data);
            }
        }
        Ok(())
    }
    /// The next thing heard.
    pub fn poll(&mut self) -> Option<Event> {
        self.ready.pop_front()
    }

    fn take(&mut self, kind: Kind, data: Vec<u8>) {
        let Ok(packet) = Packet::parse(kind, &data) else {
            return self.ready.push_back(Event::Stray(kind, data));
        };
        match packet {
            Packet::JobCreated { handle } => match self.asked.pop_front() {
                Some((ticket, background)) => {
                    if !background {
                        self.jobs.entry(handle.to_vec()).or_default().push(ticket);
                    }
                    self.ready.push_back(Event::Created(ticket, handle.to_vec()));
                }
                None => self.ready.push_back(Event::Stray(kind, data)),
            },
            Packet::Error { code, text } => match self.asked.pop_front() {
                Some((ticket, _)) => {
                    self.ready.push_back(Event::TurnedAway(ticket, code.to_vec(), text.to_vec()));
                }
                None => self.ready.push_back(Event::Answer(kind, data)),
            },
            Packet::WorkComplete { handle, data: result } => {
                self.last(kind, handle, &data, |t| Event::Complete(t, result.to_vec()));
            }
            Packet::WorkFail { handle } => self.last(kind, handle, &data, Event::Fail),
            Packet::WorkData { handle, data: part } => {
                self.all(kind, handle, &data, |t| Event::Data(t, part.to_vec()));
            }
            Packet::WorkWarning { handle, data: part } => {
                self.all(kind, handle, &data, |t| Event::Warning(t, part.to_vec()));
            }
            Packet::WorkException { handle, data: part } => {
                self.all(kind, handle, &data, |t| Event::Exception(t, part.to_vec()));
            }
            Packet::WorkStatus { handle, numerator, denominator } => {
                self.all(kind, handle, &data, |t| Event::Status(t, numerator.to_vec(), denominator.to_vec()));
            }
            _ => self.ready.push_back(Event::Answer(kind, data)),
        }
    }

    fn all(&mut self, kind: Kind, handle: &[u8], data: &[u8], event: impl Fn(Ticket) -> Event) {
        match self.jobs.get(handle) {
            Some(tickets) => self.ready.extend(tickets.iter().map(|t| event(*t))),
            None => self.ready.push_back(Event::Stray(kind, data.to_vec())),
        }
    }

    /// One last word for each submission that joined the job: a server sends it once a connection, or once for each.
    fn last(&mut self, kind: Kind, handle: &[u8], data: &[u8], event: impl Fn(Ticket) -> Event) {
        match self.jobs.remove(handle) {
            Some(tickets) => self.ready.extend(tickets.into_iter().map(event)),
            None => self.ready.push_back(Event::Stray(kind, data.to_vec())),
        }
    }
}
