//! The send queue of a connection: bounded in bytes, and drained by a writer coroutine.

use super::peer::Peer;
use super::worker_jobs::report_not_started;
use super::{Gearman, WRITE_TIMEOUT};
use crate::core::{Payload, UpstreamId, UpstreamRequest};
use crate::wire::http::deadline_after;
use crate::wire::socket::Socket;
use may::sync::mpsc::{Receiver, Sender};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Maximum number of packets per write.
const MAX_BATCH: usize = 32;

/// The last argument of a packet, which may be shared between receivers.
#[derive(Clone)]
pub enum PacketBody {
    /// No separate body.
    None,
    /// The result of a job.
    Bytes(Arc<Vec<u8>>),
    /// The data of a job.
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
    /// The header and the arguments before the body.
    pub head: Vec<u8>,
    /// The body, written after the head.
    pub body: PacketBody,
    /// Whether the packet is the final answer to a job. The process waits for it to be written before it ends.
    pub is_final: bool,
}

impl OutgoingPacket {
    /// Creates a packet that is not the final answer to a job.
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
    /// Start an attempt on the worker at this connection.
    Start {
        /// The attempt.
        request: UpstreamRequest,
        /// The index of its function.
        function: usize,
    },
    /// Abort an attempt.
    Abort(UpstreamId),
    /// End an attempt whose job the worker has not grabbed.
    CancelReservation(UpstreamId),
    /// The reader has ended.
    ReaderEnded,
}

/// The sending side of a connection. Posting never waits.
pub struct Outbox {
    sender: Sender<OutboxMessage>,
    socket: Socket,
    /// Number of queued bytes.
    queued_bytes: AtomicUsize,
    /// Maximum number of queued bytes.
    max_queued_bytes: usize,
    is_overflowed: AtomicBool,
}

impl Outbox {
    /// Creates the outbox of a connection, in which at most `max_queued_bytes` may be queued.
    pub fn new(sender: Sender<OutboxMessage>, socket: Socket, max_queued_bytes: usize) -> Outbox {
        let queued_bytes = AtomicUsize::new(0);
        Outbox { sender, socket, queued_bytes, max_queued_bytes, is_overflowed: AtomicBool::new(false) }
    }

    /// Whether more than half of the capacity is used. The reader of the connection pauses meanwhile.
    pub fn is_congested(&self) -> bool {
        self.queued_bytes.load(Ordering::Relaxed) > self.max_queued_bytes / 2 && !self.has_overflowed()
    }

    /// Whether the connection was closed because its peer did not read.
    pub fn has_overflowed(&self) -> bool {
        self.is_overflowed.load(Ordering::Relaxed)
    }

    /// Queues a packet. Returns false if the connection has ended, or is closed now because the queue is full.
    pub fn write(&self, packet: OutgoingPacket) -> bool {
        let size = packet.size();
        let before = self.queued_bytes.fetch_add(size, Ordering::Relaxed);
        // An empty queue accepts a packet of any size, because the result of a job may be larger than the capacity.
        if before > 0 && before + size > self.max_queued_bytes {
            self.queued_bytes.fetch_sub(size, Ordering::Relaxed);
            self.close_on_overflow(before);
            return false;
        }
        self.sender.send(OutboxMessage::Write(packet)).is_ok()
    }

    fn close_on_overflow(&self, queued: usize) {
        if !self.is_overflowed.swap(true, Ordering::SeqCst) {
            tracing::warn!(queued, "closing Gearman connection: its peer does not read");
            self.socket.close();
        }
    }

    /// Queues a packet that may be lost; drops it if the outbox is congested.
    pub fn write_unless_congested(&self, head: Vec<u8>) {
        if !self.is_congested() {
            self.write(OutgoingPacket::new(head));
        }
    }

    /// Posts a message other than a packet to the writer. Returns false if the connection has ended.
    pub fn post(&self, message: OutboxMessage) -> bool {
        self.sender.send(message).is_ok()
    }

    /// Subtracts a written or dropped packet from the queued bytes. Saturates at 0, because packets that wake a worker
    /// were not counted when they were queued.
    fn subtract_queued(&self, size: usize) {
        let _ = self
            .queued_bytes
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |queued| Some(queued.saturating_sub(size)));
    }
}

/// Handles the messages posted to a connection until [`OutboxMessage::ReaderEnded`].
pub fn run_writer(
    front: &Arc<Gearman>,
    peer: &Arc<Peer>,
    socket: &Socket,
    receiver: &Receiver<OutboxMessage>,
) {
    let mut writer = Writer { front, peer, socket, receiver, is_open: true, reader_has_ended: false };
    let mut batch = Vec::with_capacity(MAX_BATCH);
    while !writer.reader_has_ended {
        if !writer.collect_batch(&mut batch) {
            break;
        }
        writer.write(&mut batch);
    }
    writer.discard_pending_messages();
}

struct Writer<'a> {
    front: &'a Arc<Gearman>,
    peer: &'a Arc<Peer>,
    socket: &'a Socket,
    receiver: &'a Receiver<OutboxMessage>,
    /// Whether no write has failed yet.
    is_open: bool,
    reader_has_ended: bool,
}

impl Writer<'_> {
    /// Waits for a message, then handles pending ones until the batch is full. Returns false if all senders are gone.
    fn collect_batch(&mut self, batch: &mut Vec<OutgoingPacket>) -> bool {
        let Ok(mut message) = self.receiver.recv() else { return false };
        loop {
            batch.extend(self.handle(message));
            if self.reader_has_ended || batch.len() >= MAX_BATCH {
                return true;
            }
            let Ok(next) = self.receiver.try_recv() else { return true };
            message = next;
        }
    }

    /// Handles one message. Returns the packet to write, if any.
    fn handle(&mut self, message: OutboxMessage) -> Option<OutgoingPacket> {
        match message {
            OutboxMessage::Write(packet) => return Some(packet),
            OutboxMessage::Start { request, function } => {
                let wake_up = self.peer.reserve(self.front, request, function);
                return wake_up.map(OutgoingPacket::new);
            }
            OutboxMessage::Abort(id) => self.peer.abort(self.front, id),
            OutboxMessage::CancelReservation(id) => self.peer.cancel_reservation(self.front, id),
            OutboxMessage::ReaderEnded => self.reader_has_ended = true,
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
            self.peer.outbox.subtract_queued(packet.size());
            if packet.is_final {
                self.front.inbox.record_written_response();
            }
        }
    }

    /// Discards the messages that remain after the reader has ended: reports their attempts as not started, and counts
    /// final answers as written, since they have no receiver.
    fn discard_pending_messages(&self) {
        while let Ok(message) = self.receiver.try_recv() {
            match message {
                OutboxMessage::Write(packet) if packet.is_final => self.front.inbox.record_written_response(),
                OutboxMessage::Start { request, .. } => report_not_started(self.front, request.id, true),
                _ => {}
            }
        }
    }
}
