//! What waits to be written to a connection: bounded by bytes, written by a coroutine of its own.

use super::worker::{self, Held};
use super::{Gearman, Peer, TRANSFER};
use crate::core::{Payload, UpstreamId, UpstreamRequest};
use crate::wire::http::by;
use crate::wire::socket::Socket;
use may::sync::mpsc::{Receiver, Sender};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

/// Most messages that are written together.
const TOGETHER: usize = 32;

/// What follows a packet's first bytes, shared with whoever else is sent it.
#[derive(Clone)]
pub enum Tail {
    /// Nothing.
    None,
    /// A result, or a part of one.
    Bytes(Arc<Vec<u8>>),
    /// A job's data.
    Data(Arc<Payload>),
}

impl Tail {
    fn bytes(&self) -> &[u8] {
        match self {
            Tail::None => &[],
            Tail::Bytes(bytes) => bytes,
            Tail::Data(payload) => payload.part(&payload.body),
        }
    }
}

/// A message to a connection's writer.
pub enum OutboxMessage {
    /// A packet to write; the last word on a job if so marked.
    Write(Vec<u8>, Tail, bool),
    /// An upstream request for the worker here.
    Start(UpstreamRequest, usize),
    /// Its end.
    Abort(UpstreamId),
    /// The reader has ended.
    End,
}

/// The near end. Posting never waits.
pub struct Outbox {
    messages: Sender<OutboxMessage>,
    socket: Socket,
    waiting: AtomicUsize,
    most: usize,
    overflown: AtomicBool,
}

impl Outbox {
    /// One for a connection, with most bytes that may wait.
    pub fn new(messages: Sender<OutboxMessage>, socket: Socket, most: usize) -> Outbox {
        Outbox { messages, socket, waiting: AtomicUsize::new(0), most, overflown: AtomicBool::new(false) }
    }
    /// Bytes that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }
    /// Whether so much waits that the connection's own requests should wait, too.
    pub fn is_high(&self) -> bool {
        self.waiting() > self.most / 2 && !self.overflown.load(Ordering::Relaxed)
    }
    /// Whether it was closed since its peer does not read.
    pub fn has_overflown(&self) -> bool {
        self.overflown.load(Ordering::Relaxed)
    }
    /// Posts a packet; false where the connection has ended, or ends now since too much waits.
    pub fn write(&self, head: Vec<u8>, tail: Tail, last: bool) -> bool {
        let size = head.len() + tail.bytes().len();
        let before = self.waiting.fetch_add(size, Ordering::Relaxed);
        // A packet alone may be larger than the bound: a job's result must get through.
        if before > 0 && before + size > self.most {
            self.waiting.fetch_sub(size, Ordering::Relaxed);
            if !self.overflown.swap(true, Ordering::SeqCst) {
                tracing::warn!(waiting = before, "gearman: a connection that does not read is closed");
                self.socket.close();
            }
            return false;
        }
        self.messages.send(OutboxMessage::Write(head, tail, last)).is_ok()
    }
    /// Posts a packet that is news only: dropped where its peer reads too slowly.
    pub fn tell(&self, head: Vec<u8>) {
        if !self.is_high() {
            self.write(head, Tail::None, false);
        }
    }
    /// Posts anything else.
    pub fn post(&self, message: OutboxMessage) -> bool {
        self.messages.send(message).is_ok()
    }
}

/// The writer. It ends after the reader, with [`OutboxMessage::End`].
pub fn write(front: &Arc<Gearman>, peer: &Arc<Peer>, socket: &Socket, posted: &Receiver<OutboxMessage>) {
    let mut open = true;
    let mut batch: Vec<(Vec<u8>, Tail, bool)> = Vec::with_capacity(TOGETHER);
    let mut ended = false;
    while !ended {
        let Ok(mut message) = posted.recv() else { break };
        loop {
            match message {
                OutboxMessage::Write(head, tail, last) => batch.push((head, tail, last)),
                OutboxMessage::Start(request, function) => {
                    let woken = peer.engage(front, request, function);
                    batch.extend(woken.map(|bytes| (bytes, Tail::None, false)));
                }
                OutboxMessage::Abort(id) => peer.release(front, id),
                OutboxMessage::End => ended = true,
            }
            if ended || batch.len() >= TOGETHER {
                break;
            }
            let Ok(next) = posted.try_recv() else { break };
            message = next;
        }
        let parts: Vec<&[u8]> = batch.iter().flat_map(|(head, tail, _)| [&head[..], tail.bytes()]).collect();
        if open && !parts.is_empty() && socket.write(&parts, by(TRANSFER)).is_err() {
            open = false;
            socket.close();
        }
        for (head, tail, last) in batch.drain(..) {
            // A wake-up was not counted when it was posted.
            let size = head.len() + tail.bytes().len();
            let _ = peer.outbox.waiting.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |waiting| {
                Some(waiting.saturating_sub(size))
            });
            if last {
                front.inbox.response_written();
            }
        }
    }
    // What was posted meanwhile finds nobody: attempts never ran, answers have no reader.
    while let Ok(message) = posted.try_recv() {
        match message {
            OutboxMessage::Write(_, _, true) => front.inbox.response_written(),
            OutboxMessage::Start(request, _) => worker::never_ran(front, Held::id_of(&request), true),
            _ => {}
        }
    }
}
