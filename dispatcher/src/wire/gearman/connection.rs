//! One connection: bytes in, packets heeded, answers out.

use super::outbox::{self, Outbox, OutboxMessage};
use super::{Gearman, Peer, TRANSFER, admin, error, jobs, reply};
use crate::wire::connection_limiter::{
    FIRST_REQUEST_TIMEOUT, REQUEST_READ_TIMEOUT, ShedPriority, SheddableConnection,
};
use crate::wire::http::by;
use crate::wire::socket::Socket;
use may::net::{TcpListener, TcpStream};
use may::sync::mpsc::channel;
use parking_lot::Mutex;
use roselock::{Micros, SECOND};
use roselock_gearman::decode::CHUNK;
use roselock_gearman::packet::number;
use roselock_gearman::{Decoder, Frame, Kind, Limits, Magic, Packet};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::time::Duration;

/// How long a connection with nothing under way may be silent.
const IDLE: Micros = 3600 * SECOND;
/// Least pace of a large packet, in bytes a second, beyond the time that any packet has.
const PACE: Micros = 64 * 1024;
/// Longest name of a peer.
const NAME: usize = 128;

/// Accepts connections for ever.
pub fn accept(front: Arc<Gearman>, listener: &TcpListener) {
    let table = front.connections.clone();
    table.accept(listener, || true, move |stream, address| serve(&front, stream, address));
}

fn serve(front: &Arc<Gearman>, stream: TcpStream, address: SocketAddr) {
    let socket = Socket::new(stream);
    let (messages, posted) = channel();
    let number = front.next_peer.fetch_add(1, Ordering::SeqCst);
    let peer = Arc::new(Peer {
        number,
        address,
        outbox: Outbox::new(messages, socket.clone(), front.figures.outbox),
        name: Mutex::default(),
        worker: Mutex::default(),
        timed: AtomicI64::new(0),
        is_worker: AtomicBool::new(false),
    });
    front.peers.lock().insert(number, peer.clone());
    let (writing, writer, out) = (front.clone(), peer.clone(), socket.clone());
    may::go!(move || outbox::write(&writing, &writer, &out, &posted));
    read(front, &peer, &socket);
    // Whatever it ran or waited for, it is gone.
    front.peers.lock().remove(&number);
    peer.leave(front);
    jobs::leave(front, &peer);
    let _ = peer.outbox.post(OutboxMessage::End);
    if !peer.outbox.has_overflown() {
        socket.close();
    }
}

/// Reads until the connection ends.
fn read(front: &Arc<Gearman>, peer: &Arc<Peer>, socket: &Socket) {
    // Beside a job's data a packet has its names.
    let limits = Limits { packet: front.figures.job + 4096, ..Limits::default() };
    let mut decoder = Decoder::new(Magic::Req, limits);
    let mut buffer = vec![0; CHUNK];
    let mut exceptions = false;
    // Until it has sent a packet it has this long, and is among the first to go where there are too many.
    let hello = by(FIRST_REQUEST_TIMEOUT);
    let mut unidentified = Some(front.connections.spare(ShedPriority::Unidentified, socket));
    let mut whole_by = 0;
    loop {
        let engaged =
            peer.worker.lock().is_worker() || front.jobs.lock().backlog.jobs_awaited_by(peer.number) > 0;
        let inside = decoder.is_inside();
        let idle = (unidentified.is_none() && !engaged && !inside)
            .then(|| front.connections.spare(ShedPriority::Idle, socket));
        let until = match (&unidentified, inside) {
            (Some(_), _) => hello,
            (_, true) => whole_by,
            (_, false) => by(IDLE),
        };
        if front.figures.quick_ack && peer.is_worker.load(Ordering::Relaxed) && !inside {
            // Its library may hold its next packet back until this one is acknowledged.
            socket.acknowledge();
        }
        let came = socket.read(&mut buffer, until);
        if !idle.is_none_or(SheddableConnection::reclaim) {
            return;
        }
        let n = match came {
            Ok(0) => return,
            Ok(n) => n,
            Err(e) if e.kind() == ErrorKind::TimedOut && unidentified.is_none() && !inside && engaged => {
                continue;
            }
            Err(_) => return,
        };
        if !decoder.is_inside() {
            whole_by = by(REQUEST_READ_TIMEOUT);
        }
        decoder.feed(&buffer[..n]);
        loop {
            let frame = match decoder.next_frame() {
                Ok(Some(frame)) => frame,
                Ok(None) => break,
                Err(_) => {
                    let words = error("BAD_PACKET", "not a packet, or a line without an end");
                    let _ = socket.write(&[&words], by(TRANSFER));
                    return;
                }
            };
            if let Frame::Large(kind, size) = frame {
                whole_by = by(REQUEST_READ_TIMEOUT + size as Micros * SECOND / PACE);
                if jobs::submits(kind) && !jobs::has_room_for(front, size) {
                    decoder.skip();
                }
                continue;
            }
            if !unidentified.take().is_none_or(SheddableConnection::reclaim) {
                return;
            }
            whole_by = by(REQUEST_READ_TIMEOUT);
            if !heed_frame(front, peer, frame, &mut exceptions) {
                return;
            }
            // Who does not read what it asked for is not read from either.
            while peer.outbox.is_high() {
                may::coroutine::sleep(Duration::from_millis(1));
            }
        }
    }
}

/// Heeds one frame; false ends the connection.
fn heed_frame(front: &Arc<Gearman>, peer: &Arc<Peer>, frame: Frame, exceptions: &mut bool) -> bool {
    let heeded = match frame {
        Frame::Packet(kind, data) if jobs::submits(kind) => {
            jobs::submit(front, peer, kind, data, *exceptions)
        }
        Frame::Packet(kind, data) => match Packet::parse(kind, &data) {
            Ok(packet) => heed(front, peer, packet, exceptions),
            Err(malformed) => Some(error("INVALID_ARGUMENTS", &malformed.to_string())),
        },
        Frame::Unknown(code) => {
            Some(error("UNKNOWN_COMMAND", &format!("packet type {code} is not assigned")))
        }
        Frame::Skipped(kind, size) if jobs::submits(kind) && size <= front.figures.job + 4096 => {
            Some(error("QUEUE_FULL", "the data of waiting jobs takes all memory for it; try again later"))
        }
        Frame::Skipped(kind, size) => {
            if matches!(kind, Kind::WorkComplete | Kind::WorkData) {
                peer.result_too_large(front);
            }
            let text = format!("{} of {size} bytes; at most {}", kind.label(), front.figures.job);
            Some(error("TOO_LARGE", &text))
        }
        Frame::Large(..) => None,
        Frame::Line(line) => {
            let answer = admin::answer(front, peer, &String::from_utf8_lossy(&line));
            let ends = answer.is_none();
            peer.send(answer.unwrap_or_else(|| "OK\n".into()).into_bytes());
            if ends {
                front.stop();
            }
            None
        }
    };
    heeded.into_iter().for_each(|bytes| peer.send(bytes));
    true
}

/// Heeds one packet that submits nothing; what it returns goes back to the sender.
fn heed(front: &Arc<Gearman>, peer: &Arc<Peer>, packet: Packet, exceptions: &mut bool) -> Option<Vec<u8>> {
    use Packet as P;
    match packet {
        P::GetStatus { handle } => Some(jobs::status(front, handle)),
        P::GetStatusUnique { unique } => Some(jobs::status_by_unique(front, unique)),
        P::OptionReq { option: b"exceptions" } => {
            *exceptions = true;
            Some(reply(Kind::OptionRes, &[b"exceptions"]))
        }
        P::OptionReq { .. } => Some(error("UNKNOWN_OPTION", "the only option is exceptions")),
        P::EchoReq { data } => Some(reply(Kind::EchoRes, &[data])),
        P::SetClientId { name } => {
            let name = String::from_utf8_lossy(&name[..name.len().min(NAME)]);
            *peer.name.lock() = name.split_whitespace().collect::<Vec<_>>().join("_");
            None
        }
        // Workers are chosen one by one: there is no sharing to be asked out of.
        P::AllYours {} => None,
        P::CanDo { function } => peer.can_do(front, function, None),
        P::CanDoTimeout { function, seconds } => {
            let Some(seconds) = number(seconds).filter(|s| *s <= 366 * 86_400) else {
                return Some(error("INVALID_ARGUMENTS", "a time limit is a number of seconds"));
            };
            peer.can_do(front, function, Some(seconds as Micros * SECOND).filter(|s| *s > 0))
        }
        P::CantDo { function } => peer.cant_do(front, function),
        P::ResetAbilities {} => peer.reset(front),
        P::PreSleep {} => peer.pre_sleep(front),
        P::GrabJob {} | P::GrabJobUniq {} | P::GrabJobAll {} => peer.grab(front, packet.kind()),
        P::WorkStatus { .. } | P::WorkData { .. } | P::WorkWarning { .. } => peer.tell(front, &packet),
        P::WorkComplete { handle, data: result } => peer.finish(front, handle, Some(result)),
        P::WorkFail { handle } => peer.finish(front, handle, None),
        P::WorkException { handle, data } => peer.exception(front, handle, data),
        _ => Some(error("UNEXPECTED_PACKET", "only a server sends this")),
    }
}

impl Gearman {
    /// Ends the process as SIGTERM does.
    pub(super) fn stop(&self) {
        if !self.told_to_stop.swap(true, Ordering::SeqCst) {
            tracing::info!("gearman: told to stop by an administrator");
            self.inbox.request_shutdown();
        }
    }
}
