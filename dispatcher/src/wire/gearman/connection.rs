//! One connection: bytes come in, packets are handled, answers go out.

use super::outbox::{self, Outbox, OutboxMessage};
use super::packet_handler::PacketHandler;
use super::peer::Peer;
use super::replies::error_reply;
use super::{Gearman, WRITE_TIMEOUT, job_endings, submission};
use crate::wire::connection_limiter::{
    FIRST_REQUEST_TIMEOUT, REQUEST_READ_TIMEOUT, ShedPriority, SheddableConnection,
};
use crate::wire::http::deadline_after;
use crate::wire::socket::Socket;
use may::net::{TcpListener, TcpStream};
use may::sync::mpsc::channel;
use roselock::{Micros, SECOND};
use roselock_gearman::decode::CHUNK;
use roselock_gearman::{Decoder, Frame, Kind, Limits, Magic};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// How long a connection without jobs may be silent, in microseconds.
const IDLE_TIMEOUT: Micros = 3600 * SECOND;
/// Least rate of a large packet, beyond the time that any packet has, in bytes a second.
const MIN_RATE: Micros = 64 * 1024;
/// Bytes that a packet may have beside a job's data, for the names in it.
pub const MAX_NAMES_BYTES: usize = 4096;
/// How often a connection whose peer does not read is checked again.
const HIGH_OUTBOX_INTERVAL: Duration = Duration::from_millis(1);

/// Accepts connections for ever.
pub fn accept(front: Arc<Gearman>, listener: &TcpListener) {
    let connections = front.connections.clone();
    connections.accept(listener, || true, move |stream, address| serve(&front, stream, address));
}

fn serve(front: &Arc<Gearman>, stream: TcpStream, address: SocketAddr) {
    let socket = Socket::new(stream);
    let (messages, posted) = channel();
    let number = front.next_peer.fetch_add(1, Ordering::SeqCst);
    let outbox = Outbox::new(messages, socket.clone(), front.settings.max_outbox_bytes);
    let peer = Arc::new(Peer::new(number, address, outbox));
    front.peers.lock().insert(number, peer.clone());
    let writer_front = front.clone();
    let writer_peer = peer.clone();
    let writer_socket = socket.clone();
    may::go!(move || outbox::run_writer(&writer_front, &writer_peer, &writer_socket, &posted));
    Reader::new(front, &peer, &socket).run();
    // Whatever it ran or waited for, it is gone.
    front.peers.lock().remove(&number);
    peer.disconnect_worker(front);
    job_endings::disconnect_client(front, &peer);
    let _ = peer.outbox.post(OutboxMessage::End);
    if !peer.outbox.has_overflown() {
        socket.close();
    }
}

/// Reads from a connection until that ends.
struct Reader<'a> {
    front: &'a Arc<Gearman>,
    peer: &'a Arc<Peer>,
    socket: &'a Socket,
    decoder: Decoder,
    packets: PacketHandler<'a>,
    /// When its first packet must have come.
    first_packet_by: Micros,
    /// Until it has sent a packet it is among the first that are shed.
    unidentified: Option<SheddableConnection>,
    /// When the packet under way must be complete.
    packet_complete_by: Micros,
}

/// What came of waiting for bytes.
enum Received {
    /// So many bytes.
    Bytes(usize),
    /// None yet: it may be silent, since it runs a job or waits for one.
    Silent,
}

impl<'a> Reader<'a> {
    fn new(front: &'a Arc<Gearman>, peer: &'a Arc<Peer>, socket: &'a Socket) -> Reader<'a> {
        let packet = front.settings.max_job_bytes + MAX_NAMES_BYTES;
        let limits = Limits { packet, ..Limits::default() };
        Reader {
            front,
            peer,
            socket,
            decoder: Decoder::new(Magic::Req, limits),
            packets: PacketHandler::new(front, peer),
            first_packet_by: deadline_after(FIRST_REQUEST_TIMEOUT),
            unidentified: Some(front.connections.mark_sheddable(ShedPriority::Unidentified, socket)),
            packet_complete_by: 0,
        }
    }

    fn run(mut self) {
        let mut buffer = vec![0; CHUNK];
        loop {
            let received = match self.receive(&mut buffer) {
                ControlFlow::Continue(Received::Bytes(received)) => received,
                ControlFlow::Continue(Received::Silent) => continue,
                ControlFlow::Break(()) => return,
            };
            if !self.decoder.is_inside() {
                self.packet_complete_by = deadline_after(REQUEST_READ_TIMEOUT);
            }
            self.decoder.feed(&buffer[..received]);
            if self.handle_frames().is_break() {
                return;
            }
        }
    }

    /// Waits for bytes. Breaks where the connection has ended or been shed.
    fn receive(&self, buffer: &mut [u8]) -> ControlFlow<(), Received> {
        let has_jobs = self.has_jobs();
        let is_inside = self.decoder.is_inside();
        let is_identified = self.unidentified.is_none();
        let is_idle = is_identified && !has_jobs && !is_inside;
        let idle = is_idle.then(|| self.front.connections.mark_sheddable(ShedPriority::Idle, self.socket));
        let until = self.read_deadline();
        if self.front.settings.quick_ack && self.peer.is_worker.load(Ordering::Relaxed) && !is_inside {
            // Its library may hold its next packet back until this one is acknowledged.
            self.socket.acknowledge();
        }
        let received = self.socket.read(buffer, until);
        if idle.is_some_and(|idle| !idle.reclaim()) {
            return ControlFlow::Break(());
        }
        match received {
            Ok(0) => ControlFlow::Break(()),
            Ok(received) => ControlFlow::Continue(Received::Bytes(received)),
            Err(error) => {
                let is_timeout = error.kind() == ErrorKind::TimedOut;
                if is_timeout && is_identified && !is_inside && has_jobs {
                    return ControlFlow::Continue(Received::Silent);
                }
                ControlFlow::Break(())
            }
        }
    }

    /// Whether it is a worker, or waits for a job.
    fn has_jobs(&self) -> bool {
        let is_worker = self.peer.worker.lock().is_worker();
        is_worker || self.front.jobs.lock().backlog.jobs_awaited_by(self.peer.number) > 0
    }

    fn read_deadline(&self) -> Micros {
        if self.unidentified.is_some() {
            self.first_packet_by
        } else if self.decoder.is_inside() {
            self.packet_complete_by
        } else {
            deadline_after(IDLE_TIMEOUT)
        }
    }

    /// Handles all frames that are complete. Breaks where the connection is to end.
    fn handle_frames(&mut self) -> ControlFlow<()> {
        loop {
            let frame = match self.decoder.next_frame() {
                Ok(Some(frame)) => frame,
                Ok(None) => return ControlFlow::Continue(()),
                Err(_) => {
                    let message = error_reply("BAD_PACKET", "not a packet, or a line without an end");
                    let _ = self.socket.write(&[&message], deadline_after(WRITE_TIMEOUT));
                    return ControlFlow::Break(());
                }
            };
            if let Frame::Large(kind, size) = frame {
                self.begin_large_packet(kind, size);
                continue;
            }
            if let Some(unidentified) = self.unidentified.take()
                && !unidentified.reclaim()
            {
                return ControlFlow::Break(());
            }
            self.packet_complete_by = deadline_after(REQUEST_READ_TIMEOUT);
            self.packets.handle_frame(frame);
            // Nothing is read from a peer that does not read what it asked for.
            while self.peer.outbox.is_high() {
                may::coroutine::sleep(HIGH_OUTBOX_INTERVAL);
            }
        }
    }

    /// A large packet has more time, and is dropped if its job would not fit into memory.
    fn begin_large_packet(&mut self, kind: Kind, size: usize) {
        self.packet_complete_by = deadline_after(REQUEST_READ_TIMEOUT + size as Micros * SECOND / MIN_RATE);
        if submission::is_submission(kind) && !submission::has_capacity_for(self.front, size) {
            self.decoder.skip();
        }
    }
}
