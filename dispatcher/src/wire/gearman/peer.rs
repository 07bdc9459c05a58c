//! One connection, of a client, a worker, or both.

use super::outbox::{Outbox, OutgoingPacket, PacketBody};
use super::worker_state::WorkerState;
use super::{Gearman, timers};
use parking_lot::Mutex;
use roselock::WorkerId;
use roselock::settings::fnv;
use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;

/// A connection.
pub struct Peer {
    /// Its number: new for each connection.
    pub number: u64,
    /// Its address.
    pub address: SocketAddr,
    /// What is queued for sending.
    pub outbox: Outbox,
    /// The name that it gave itself, for administrators; empty if it gave none.
    pub name: Mutex<String>,
    /// Its state as a worker.
    pub worker: Mutex<WorkerState>,
    /// When the timers check it next.
    pub timer: timers::PeerTimer,
    /// Whether it has registered a function.
    pub is_worker: AtomicBool,
}

impl Peer {
    /// A connection that has just been accepted.
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

    /// Its name as an upstream host.
    pub fn uid(&self) -> String {
        format!("gearman-{}", self.number)
    }

    /// Its id as an upstream host.
    pub fn worker_id(&self) -> WorkerId {
        WorkerId(fnv(self.uid().as_bytes()))
    }

    /// Queues a packet for sending.
    pub fn send(&self, bytes: Vec<u8>) {
        self.outbox.write(OutgoingPacket::new(bytes));
    }

    /// Queues the final answer to a job. The process does not end before it has been written.
    pub fn send_final(&self, front: &Gearman, head: Vec<u8>, body: PacketBody) {
        front.inbox.response_pending();
        if !self.outbox.write(OutgoingPacket { head, body, is_final: true }) {
            front.inbox.response_written();
        }
    }
}
