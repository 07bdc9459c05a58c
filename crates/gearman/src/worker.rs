//! The worker side of a connection: registers functions, sleeps, is woken, grabs jobs and reports their end.

use crate::decode::DecodeError;
use crate::packet::{Kind, Packet};
use crate::peer_stream::{PeerStream, ReceivedPacket};

/// An assigned job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Job {
    /// Its handle.
    pub handle: Vec<u8>,
    /// The function to run.
    pub function: Vec<u8>,
    /// Its unique id after GRAB_JOB_UNIQ and GRAB_JOB_ALL; otherwise empty.
    pub unique: Vec<u8>,
    /// Its reducer after GRAB_JOB_ALL; otherwise empty.
    pub reducer: Vec<u8>,
    /// Its data.
    pub data: Vec<u8>,
}

/// An event that a worker receives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An assigned job, to be ended with [`Worker::complete`] or [`Worker::fail`].
    Assigned(Job),
    /// An error from the server: its code and text.
    Error(Vec<u8>, Vec<u8>),
    /// Any other packet: its type and arguments.
    Answer(Kind, Vec<u8>),
}

/// The state machine of a worker. It grabs a job when it is woken and after each job, and sleeps when there is no job.
pub struct Worker {
    stream: PeerStream<Event>,
    grab_kind: Kind,
}

impl Worker {
    /// Creates a worker that grabs jobs with this packet: GRAB_JOB, GRAB_JOB_UNIQ or GRAB_JOB_ALL.
    pub fn new(grab_kind: Kind) -> Worker {
        Worker { stream: PeerStream::new(), grab_kind }
    }

    /// Sends a packet.
    pub fn send(&mut self, kind: Kind, args: &[&[u8]]) {
        self.stream.send(kind, args);
    }

    /// Registers a function.
    pub fn can_do(&mut self, function: &[u8]) {
        self.send(Kind::CanDo, &[function]);
    }

    /// Grabs a job.
    pub fn grab(&mut self) {
        self.send(self.grab_kind, &[]);
    }

    /// Completes a job with its result and grabs the next one.
    pub fn complete(&mut self, handle: &[u8], data: &[u8]) {
        self.send(Kind::WorkComplete, &[handle, data]);
        self.grab();
    }

    /// Reports the failure of a job and grabs the next one.
    pub fn fail(&mut self, handle: &[u8]) {
        self.send(Kind::WorkFail, &[handle]);
        self.grab();
    }

    /// Takes the bytes to be sent.
    pub fn take_output(&mut self) -> Vec<u8> {
        self.stream.take_output()
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
        let event = match Packet::parse(received.kind, &received.data) {
            Ok(Packet::Noop {}) => return self.grab(),
            Ok(Packet::NoJob {}) => return self.send(Kind::PreSleep, &[]),
            Ok(Packet::JobAssign { handle, function, data }) => {
                Event::Assigned(Job::assigned(handle, function, data))
            }
            Ok(Packet::JobAssignUniq { handle, function, unique, data }) => {
                Event::Assigned(Job { unique: unique.to_vec(), ..Job::assigned(handle, function, data) })
            }
            Ok(Packet::JobAssignAll { handle, function, unique, reducer, data }) => Event::Assigned(Job {
                unique: unique.to_vec(),
                reducer: reducer.to_vec(),
                ..Job::assigned(handle, function, data)
            }),
            Ok(Packet::Error { code, text }) => Event::Error(code.to_vec(), text.to_vec()),
            _ => Event::Answer(received.kind, received.data),
        };
        self.stream.push_event(event);
    }
}

impl Job {
    fn assigned(handle: &[u8], function: &[u8], data: &[u8]) -> Job {
        Job { handle: handle.to_vec(), function: function.to_vec(), data: data.to_vec(), ..Job::default() }
    }
}
