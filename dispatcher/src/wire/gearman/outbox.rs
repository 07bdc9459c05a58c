//! What is queued for sending to a connection: bounded by bytes, written by a coroutine of its own.

use super::peer::Peer;
use super::worker_jobs::report_never_ran;
use super::{Gearman, WRITE_TIMEOUT};
use crate::core::{Payload, UpstreamId, UpstreamRequest};
use crate::wire::http::deadline_after;
use crate::wire::socket::Socket;
use may::sync::mpsc::{Receiver, Sender};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Most packets that are written together.
const MAX_BATCH: usize = 32;

/// The last part of a packet, which may be shared with other receivers.
#[derive(Clone)]
pub enum PacketBody {
    /// Nothing.
    None,
    /// A result, or a part of one.
    Bytes(Arc<Vec<u8>>),
    /// A job's data.
    JobData(Arc<Payload>),
}

impl PacketBody {
    fn bytes(&self) -> &[u8] {
        match self {
            PacketBody::None => &[],
            PacketBody::Bytes(bytes) => bytes,
            PacketBody::JobData(payload) => payload.part(&payload.body),
        }
    }
}

/// A packet to be written.
pub struct OutgoingPacket {
    /// Its first bytes.
    pub head: Vec<u8>,
    /// The bytes after these.
    pub body: PacketBody,
    /// Whether it is the final answer to a job: the process does not end before it has been written.
    pub is_final: bool,
}

impl OutgoingPacket {
    /// A packet that is no job's final answer.
    pub fn new(head: Vec<u8>) -> OutgoingPacket {
        OutgoingPacket { head, body: PacketBody::None, is_final: false }
    }

    fn size(&self) -> usize {
        self.head.len() + self.body.bytes().len()
    }
}

/// A message to the writer of a connection.
pub enum OutboxMessage {
    /// A packet to write.
    Write(OutgoingPacket),
    /// An attempt for the worker at this connection.
    Start {
        /// The attempt.
        request: UpstreamRequest,
        /// The index of its function.
        function: usize,
    },
    /// An attempt is aborted.
    Abort(UpstreamId),
    /// The reader has ended.
    End,
}

/// The sending side of a connection. Posting never waits.
pub struct Outbox {
    messages: Sender<OutboxMessage>,
    socket: Socket,
    /// Bytes that are queued.
    queued: AtomicUsize,
    /// Most bytes that may be queued.
    capacity: usize,
    is_overflown: AtomicBool,
}

impl Outbox {
    /// The outbox of a connection. At most `capacity` bytes may be queued in it.
    pub fn new(messages: Sender<OutboxMessage>, socket: Socket, capacity: usize) -> Outbox {
        let queued = AtomicUsize::new(0);
        Outbox { messages, socket, queued, capacity, is_overflown: AtomicBool::new(false) }
    }

    /// Whether more than half of its capacity is used. The connection's own requests wait then.
    pub fn is_high(&self) -> bool {
        self.queued.load(Ordering::Relaxed) > self.capacity / 2 && !self.has_overflown()
    }

    /// Whether the connection was closed because its peer does not read.
    pub fn has_overflown(&self) -> bool {
        self.is_overflown.load(Ordering::Relaxed)
    }

    /// Queues a packet. False where the connection has ended, or ends now since too much is queued.
    pub fn write(&self, packet: OutgoingPacket) -> bool {
        let size = packet.size();
        let before = self.queued.fetch_add(size, Ordering::Relaxed);
        // A single packet may be larger than the capacity: a job's result must get through.
        if before > 0 && before + size > self.capacity {
            self.queued.fetch_sub(size, Ordering::Relaxed);
            self.close_overflown(before);
            return false;
        }
        self.messages.send(OutboxMessage::Write(packet)).is_ok()
    }

    fn close_overflown(&self, queued: usize) {
        if !self.is_overflown.swap(true, Ordering::SeqCst) {
            tracing::warn!(queued, "gearman: a connection that does not read is closed");
            self.socket.close();
        }
    }

    /// Queues a packet that may be lost: it is dropped where the peer reads too slowly.
    pub fn write_if_low(&self, head: Vec<u8>) {
        if !self.is_high() {
            self.write(OutgoingPacket::new(head));
        }
    }

    /// Posts any other message to the writer. False where the connection has ended.
    pub fn post(&self, message: OutboxMessage) -> bool {
        self.messages.send(message).is_ok()
    }

    /// Notes that a packet was written or dropped. One that wakes a worker was not counted when it was queued.
    fn remove(&self, size: usize) {
        let _ = self
            .queued
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |queued| Some(queued.saturating_sub(size)));
    }
}

/// Writes what is posted to a connection. It ends after the reader, with [`OutboxMessage::End`].
pub fn run_writer(front: &Arc<Gearman>, peer: &Arc<Peer>, socket: &Socket, posted: &Receiver<OutboxMessage>) {
    let mut writer = Writer { front, peer, socket, posted, is_open: true, has_ended: false };
    let mut batch = Vec::with_capacity(MAX_BATCH);
    while !writer.has_ended {
        if !writer.collect(&mut batch) {
            break;
        }
        writer.write(&mut batch);
    }
    writer.drop_posted();
}

struct Writer<'a> {
    front: &'a Arc<Gearman>,
    peer: &'a Arc<Peer>,
    socket: &'a Socket,
    posted: &'a Receiver<OutboxMessage>,
    /// Whether writing has not failed yet.
    is_open: bool,
    has_ended: bool,
}

impl Writer<'_> {
    /// Waits for a message, and handles all that are there; their packets go into the batch. False if there will be no
    /// further message.
    fn collect(&mut self, batch: &mut Vec<OutgoingPacket>) -> bool {
        let Ok(mut message) = self.posted.recv() else { return false };
        loop {
            batch.extend(self.handle(message));
            if self.has_ended || batch.len() >= MAX_BATCH {
                return true;
            }
            let Ok(next) = self.posted.try_recv() else { return true };
            message = next;
        }
    }

    /// Handles one message. Returns the packet that is to be written, if any.
    fn handle(&mut self, message: OutboxMessage) -> Option<OutgoingPacket> {
        match message {
            OutboxMessage::Write(packet) => return Some(packet),
            OutboxMessage::Start { request, function } => {
                let wake_up = self.peer.reserve(self.front, request, function);
                return wake_up.map(OutgoingPacket::new);
            }
            OutboxMessage::Abort(id) => self.peer.abort(self.front, id),
            OutboxMessage::End => self.has_ended = true,
        }
        None
    }

    fn write(&mut self, batch: &mut Vec<OutgoingPacket>) {
        let parts: Vec<&[u8]> =
            batch.iter().flat_map(|packet| [&packet.head[..], packet.body.bytes()]).collect();
        if self.is_open
            && !parts.is_empty()
            && self.socket.write(&parts, deadline_after(WRITE_TIMEOUT)).is_err()
        {
            self.is_open = false;
            self.socket.close();
        }
        for packet in batch.drain(..) {
            self.peer.outbox.remove(packet.size());
            if packet.is_final {
                self.front.inbox.response_written();
            }
        }
    }

    /// Drops what was posted after the end: attempts have not run, and answers have no receiver.
    fn drop_posted(&self) {
        while let Ok(message) = self.posted.try_recv() {
            match message {
                OutboxMessage::Write(packet) if packet.is_final => self.front.inbox.response_written(),
                OutboxMessage::Start { request, .. } => report_never_ran(self.front, request.id, true),
                _ => {}
            }
        }
    }
}
