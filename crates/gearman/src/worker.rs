//! A worker's side of a connection: registers, sleeps, wakes, takes jobs and ends them.

use crate::decode::{Broken, Decoder, Frame, Limits};
use crate::packet::{Kind, Magic, Packet, encode};
use std::collections::VecDeque;

/// A job that was assigned.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Job {
    /// Its name here.
    pub handle: Vec<u8>,
    /// What to run.
    pub function: Vec<u8>,
    /// Its unique id, where the way of grabbing tells it.
    pub unique: Vec<u8>,
    /// Its reducer, likewise.
    pub reducer: Vec<u8>,
    /// Its data.
    pub data: Vec<u8>,
}

/// What a worker hears.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A job, to be ended by [`Worker::complete`] or [`Worker::fail`].
    Assigned(Job),
    /// The server found fault: code and text.
    Error(Vec<u8>, Vec<u8>),
    /// Anything else.
    Answer(Kind, Vec<u8>),
}

/// The state machine. It grabs when woken and after each job, and sleeps when there is none.
pub struct Worker {
    decoder: Decoder,
    out: Vec<u8>,
    grab: Kind,
    ready: VecDeque<Event>,
}

impl Worker {
    /// One that grabs by GRAB_JOB, GRAB_JOB_UNIQ or GRAB_JOB_ALL.
    pub fn new(grab: Kind) -> Worker {
        let decoder = Decoder::new(Magic::Res, Limits { packet: 64 << 20, line: 0 });
        Worker { decoder, out: Vec::new(), grab, ready: VecDeque::new() }
    }
    /// Sends a packet.
    pub fn send(&mut self, kind: Kind, args: &[&[u8]]) {
        encode(Magic::Req, kind, args, &mut self.out);
    }
    /// Registers a function.
    pub fn can_do(&mut self, function: &[u8]) {
        self.send(Kind::CanDo, &[function]);
    }
    /// Asks for a first job.
    pub fn start(&mut self) {
        self.send(self.grab, &[]);
    }
    /// Ends a job with its result and asks for the next.
    pub fn complete(&mut self, handle: &[u8], data: &[u8]) {
        self.send(Kind::WorkComplete, &[handle, data]);
        self.start();
    }
    /// Ends a job as failed and asks for the next.
    pub fn fail(&mut self, handle: &[u8]) {
        self.send(Kind::WorkFail, &[handle]);
        self.start();
    }
    /// Bytes to be written; whoever takes them writes them.
    pub fn take_output(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.out)
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
        let own = |b: &[u8]| b.to_vec();
        let event = match Packet::parse(kind, &data) {
            Ok(Packet::Noop {}) => return self.start(),
            Ok(Packet::NoJob {}) => return self.send(Kind::PreSleep, &[]),
            Ok(Packet::JobAssign { handle, function, data }) => Event::Assigned(Job {
                handle: own(handle),
                function: own(function),
                data: own(data),
                ..Job::default()
            }),
            Ok(Packet::JobAssignUniq { handle, function, unique, data }) => Event::Assigned(Job {
                handle: own(handle),
                function: own(function),
                unique: own(unique),
                data: own(data),
                ..Job::default()
            }),
            Ok(Packet::JobAssignAll { handle, function, unique, reducer, data }) => Event::Assigned(Job {
                handle: own(handle),
                function: own(function),
                unique: own(unique),
                reducer: own(reducer),
                data: own(data),
            }),
            Ok(Packet::Error { code, text }) => Event::Error(own(code), own(text)),
            _ => Event::Answer(kind, data),
        };
        self.ready.push_back(event);
    }
}
