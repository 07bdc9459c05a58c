//! The connection of a client, a worker, or a peer that is both.

use super::outbox::{Outbox, OutgoingPacket, PacketBody};
use super::worker_state::WorkerState;
use super::{Gearman, timers};
use parking_lot::Mutex;
use roselock::WorkerId;
use roselock::settings::fnv1a;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;

/// The state of a connection.
pub struct Peer {
    /// The number of the connection, unique within the process.
    pub number: u64,
    /// The peer's address.
    pub address: SocketAddr,
    /// The send queue.
    pub outbox: Outbox,
    /// The client ID that the peer has set, shown to administrators; empty if none.
    pub name: Mutex<String>,
    /// The state as a worker.
    pub worker: Mutex<WorkerState>,
    /// When the worker state is next checked for timeouts.
    pub timer: timers::PeerTimer,
    /// Whether the peer has registered a function.
    pub is_worker: AtomicBool,
}

impl Peer {
    /// Creates the state of a new connection.
    pub fn new(number: u64, address: SocketAddr, outbox: Outbox) -> Peer {
        Peer {
            number,
            address,
            outbox,
            name: Mutex::default(),
            worker: Mutex::default(),
            timer: timers::PeerTimer::default(),
            is_worker: AtomicBool::new(false),
        }
    }

    /// The UID of the worker as an upstream host.
    pub fn uid(&self) -> String {
        format!("gearman-{}", self.number)
    }

    /// The ID of the worker as an upstream host.
    pub fn worker_id(&self) -> WorkerId {
        WorkerId(fnv1a(self.uid().as_bytes()))
    }

    /// Queues a packet for sending.
    pub fn send(&self, bytes: Vec<u8>) {
        self.outbox.write(OutgoingPacket::new(bytes));
    }

    /// Queues the final answer to a job. The process waits for it to be written before it ends.
    pub fn send_final(&self, front: &Gearman, head: Vec<u8>, body: PacketBody) {
        front.inbox.record_pending_response();
        if !self.outbox.write(OutgoingPacket { head, body, is_final: true }) {
            front.inbox.record_written_response();
        }
    }
}
