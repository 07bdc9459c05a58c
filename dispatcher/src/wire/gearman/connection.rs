//! Accepts connections, and reads and handles the packets of each one.

use super::outbox::{self, Outbox, OutboxMessage};
use super::packet_handler::PacketHandler;
use super::peer::Peer;
use super::replies::error_reply;
use super::{Gearman, WRITE_TIMEOUT, job_endings, submission};
use crate::core::clock;
use crate::wire::connection_limiter::{
    FIRST_REQUEST_TIMEOUT, REQUEST_READ_TIMEOUT, ShedPriority, SheddableConnection,
};
use crate::wire::http::deadline_after;
use crate::wire::socket::Socket;
use may::net::{TcpListener, TcpStream};
use may::sync::mpsc::channel;
use roselock::{Micros, SECOND};
use roselock_gearman::decode::READ_CHUNK_BYTES;
use roselock_gearman::{Decoder, Frame, Kind, Limits, Magic};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Idle timeout of a connection that is not a worker's and waits for no job, in microseconds.
const IDLE_TIMEOUT: Micros = 3600 * SECOND;
/// Minimum transfer rate of a large packet, in bytes per second, by which its read timeout is extended.
const MIN_LARGE_PACKET_BYTES_PER_S: Micros = 64 * 1024;
/// Maximum bytes of a packet's arguments other than the job's data, such as function names.
pub const MAX_PACKET_OVERHEAD_BYTES: usize = 4096;
/// How often a congested outbox is checked before reading from its connection resumes.
const CONGESTION_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Accepts connections until the process ends.
pub fn accept(front: Arc<Gearman>, listener: &TcpListener) {
    let connections = front.connections.clone();
    connections.accept(listener, || true, move |stream, address| serve(&front, stream, address));
}

fn serve(front: &Arc<Gearman>, stream: TcpStream, address: SocketAddr) {
    let socket = Socket::new(stream);
    let (sender, receiver) = channel();
    let number = front.next_peer_number.fetch_add(1, Ordering::SeqCst);
    let outbox = Outbox::new(sender, socket.clone(), front.settings.max_outbox_bytes);
    let peer = Arc::new(Peer::new(number, address, outbox));
    front.peers.lock().insert(number, peer.clone());
    let writer_front = front.clone();
    let writer_peer = peer.clone();
    let writer_socket = socket.clone();
    may::go!(move || outbox::run_writer(&writer_front, &writer_peer, &writer_socket, &receiver));
    Reader::new(front, &peer, &socket).run();
    // The connection has ended: release the jobs that it ran or waited for.
    front.peers.lock().remove(&number);
    peer.disconnect_worker(front);
    job_endings::disconnect_client(front, &peer);
    let _ = peer.outbox.post(OutboxMessage::ReaderEnded);
    if !peer.outbox.has_overflowed() {
        socket.close();
    }
}

/// Reads from a connection until it ends.
struct Reader<'a> {
    front: &'a Arc<Gearman>,
    peer: &'a Arc<Peer>,
    socket: &'a Socket,
    decoder: Decoder,
    packets: PacketHandler<'a>,
    /// When the first packet must be complete.
    first_packet_deadline: Micros,
    /// Until the first packet arrives, the connection is among the first to be shed.
    unidentified: Option<SheddableConnection>,
    /// When the packet that is being read must be complete.
    packet_deadline: Micros,
}

/// The outcome of a read that leaves the connection open.
enum ReadOutcome {
    /// The number of bytes read.
    Bytes(usize),
    /// The idle timeout has passed on a connection that is a worker's or waits for a job, and may therefore be idle.
    IdleTimeout,
}

impl<'a> Reader<'a> {
    fn new(front: &'a Arc<Gearman>, peer: &'a Arc<Peer>, socket: &'a Socket) -> Reader<'a> {
        let packet = front.settings.max_job_bytes + MAX_PACKET_OVERHEAD_BYTES;
        let limits = Limits { packet, ..Limits::default() };
        Reader {
            front,
            peer,
            socket,
            decoder: Decoder::new(Magic::Req, limits),
            packets: PacketHandler::new(front, peer),
            first_packet_deadline: deadline_after(FIRST_REQUEST_TIMEOUT),
            unidentified: Some(front.connections.mark_sheddable(ShedPriority::Unidentified, socket)),
            packet_deadline: 0,
        }
    }

    fn run(mut self) {
        let mut buffer = vec![0; READ_CHUNK_BYTES];
        loop {
            let received = match self.receive(&mut buffer) {
                ControlFlow::Continue(ReadOutcome::Bytes(received)) => received,
                ControlFlow::Continue(ReadOutcome::IdleTimeout) => continue,
                ControlFlow::Break(()) => return,
            };
            if !self.decoder.has_partial_frame() {
                self.packet_deadline = deadline_after(REQUEST_READ_TIMEOUT);
            }
            self.decoder.feed(&buffer[..received]);
            if self.handle_frames().is_break() {
                return;
            }
        }
    }

    /// Reads from the socket. Breaks if the connection has ended or was shed.
    fn receive(&self, buffer: &mut [u8]) -> ControlFlow<(), ReadOutcome> {
        let is_worker_or_waiting = self.is_worker_or_waiting();
        let has_partial_frame = self.decoder.has_partial_frame();
        let is_identified = self.unidentified.is_none();
        let is_idle = is_identified && !is_worker_or_waiting && !has_partial_frame;
        let idle = is_idle.then(|| self.front.connections.mark_sheddable(ShedPriority::Idle, self.socket));
        let deadline = self.read_deadline();
        if self.front.settings.quick_ack && self.peer.is_worker.load(Ordering::Relaxed) && !has_partial_frame
        {
            // With Nagle's algorithm, a worker's library delays its next packet until this one is acknowledged.
            self.socket.acknowledge();
        }
        let received = self.socket.read(buffer, deadline);
        if idle.is_some_and(|idle| !idle.reclaim()) {
            return ControlFlow::Break(());
        }
        match received {
            Ok(0) => ControlFlow::Break(()),
            Ok(received) => ControlFlow::Continue(ReadOutcome::Bytes(received)),
            Err(error) => {
                let is_timeout = error.kind() == ErrorKind::TimedOut;
                if is_timeout && is_identified && !has_partial_frame && is_worker_or_waiting {
                    return ControlFlow::Continue(ReadOutcome::IdleTimeout);
                }
                ControlFlow::Break(())
            }
        }
    }

    /// Whether the connection has registered a function or waits for the result of a job.
    fn is_worker_or_waiting(&self) -> bool {
        let is_worker = self.peer.worker.lock().is_worker();
        is_worker || self.front.jobs.lock().backlog.jobs_awaited_by(self.peer.number) > 0
    }

    fn read_deadline(&self) -> Micros {
        if self.unidentified.is_some() {
            self.first_packet_deadline
        } else if self.decoder.has_partial_frame() {
            self.packet_deadline
        } else {
            deadline_after(IDLE_TIMEOUT)
        }
    }

    /// Handles all complete frames. Breaks if the connection must be closed.
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
            self.packet_deadline = deadline_after(REQUEST_READ_TIMEOUT);
            self.packets.handle_frame(frame);
            // Backpressure: read nothing more until the peer has read its pending replies.
            while self.peer.outbox.is_congested() {
                clock::sleep(CONGESTION_POLL_INTERVAL);
            }
        }
    }

    /// Extends the read timeout by the size of a large packet, and skips a submission whose job would exceed the memory
    /// limit.
    fn begin_large_packet(&mut self, kind: Kind, size: usize) {
        self.packet_deadline =
            deadline_after(REQUEST_READ_TIMEOUT + size as Micros * SECOND / MIN_LARGE_PACKET_BYTES_PER_S);
        if submission::is_submission(kind) && !submission::has_capacity_for(self.front, size) {
            self.decoder.skip();
        }
    }
}
