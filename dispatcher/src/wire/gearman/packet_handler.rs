//! Dispatches packets and administrative commands to their handlers.

use super::connection::MAX_PACKET_OVERHEAD_BYTES;
use super::peer::Peer;
use super::replies::{error_reply, reply};
use super::{Gearman, admin, job_status, submission};
use roselock::{Micros, SECOND};
use roselock_gearman::packet::parse_number;
use roselock_gearman::{Frame, Kind, Packet};
use std::sync::Arc;

/// Maximum length of a client ID, in bytes. Longer ones are truncated.
const MAX_CLIENT_ID_BYTES: usize = 128;
/// Maximum time limit that a worker may set for its jobs, in seconds.
const MAX_TIME_LIMIT_S: u64 = 366 * 86_400;

/// Handles the packets and command lines of one connection, in order.
pub struct PacketHandler<'a> {
    front: &'a Arc<Gearman>,
    peer: &'a Arc<Peer>,
    /// Whether the client enabled WORK_EXCEPTION packets.
    wants_exceptions: bool,
}

impl<'a> PacketHandler<'a> {
    /// Creates the handler of a new connection.
    pub fn new(front: &'a Arc<Gearman>, peer: &'a Arc<Peer>) -> PacketHandler<'a> {
        PacketHandler { front, peer, wants_exceptions: false }
    }

    /// Handles one frame and queues the reply.
    pub fn handle_frame(&mut self, frame: Frame) {
        let reply = match frame {
            Frame::Packet(kind, data) if submission::is_submission(kind) => {
                submission::submit(self.front, self.peer, kind, data, self.wants_exceptions)
            }
            Frame::Packet(kind, data) => match Packet::parse(kind, &data) {
                Ok(packet) => self.handle_packet(packet),
                Err(malformed) => Some(error_reply("INVALID_ARGUMENTS", &malformed.to_string())),
            },
            Frame::Unknown(code) => {
                Some(error_reply("UNKNOWN_COMMAND", &format!("packet type {code} is not assigned")))
            }
            Frame::Skipped(kind, size) => Some(self.handle_skipped(kind, size)),
            Frame::Large(..) => None,
            Frame::Line(line) => {
                self.handle_line(&line);
                None
            }
        };
        if let Some(reply) = reply {
            self.peer.send(reply);
        }
    }

    /// Handles a packet that was skipped because of its size, and returns the reply.
    fn handle_skipped(&self, kind: Kind, size: usize) -> Vec<u8> {
        let max_job_bytes = self.front.settings.max_job_bytes;
        if submission::is_submission(kind) && size <= max_job_bytes + MAX_PACKET_OVERHEAD_BYTES {
            let text = "the data of waiting jobs takes all memory for it; try again later";
            return error_reply("QUEUE_FULL", text);
        }
        if matches!(kind, Kind::WorkComplete | Kind::WorkData) {
            self.peer.fail_with_too_large_result(self.front);
        }
        let text = format!("{} of {size} bytes; at most {max_job_bytes}", kind.label());
        error_reply("TOO_LARGE", &text)
    }

    /// Handles an administrative command.
    fn handle_line(&self, line: &[u8]) {
        let reply = admin::execute(self.front, self.peer, &String::from_utf8_lossy(line));
        let is_shutdown = reply.is_none();
        let text = reply.unwrap_or_else(|| "OK\n".into());
        self.peer.send(text.into_bytes());
        if is_shutdown {
            self.front.request_shutdown();
        }
    }

    /// Handles a packet that is not a submission. Returns the reply, if any.
    fn handle_packet(&mut self, packet: Packet) -> Option<Vec<u8>> {
        use Packet as P;
        let front = self.front;
        let peer = self.peer;
        match packet {
            P::GetStatus { handle } => Some(job_status::by_handle(front, handle)),
            P::GetStatusUnique { unique } => Some(job_status::by_unique_id(front, unique)),
            P::OptionReq { option } => Some(self.handle_option(option)),
            P::EchoReq { data } => Some(reply(Kind::EchoRes, &[data])),
            P::SetClientId { name } => {
                self.set_name(name);
                None
            }
            // Ignored: a worker is chosen for each job, so there is no distribution that it could opt out of.
            P::AllYours {} => None,
            P::CanDo { function } => peer.register_function(front, function, None),
            P::CanDoTimeout { function, seconds } => self.register_with_time_limit(function, seconds),
            P::CantDo { function } => peer.unregister_function(front, function),
            P::ResetAbilities {} => peer.unregister_all(front),
            P::PreSleep {} => peer.pre_sleep(front),
            P::GrabJob {} | P::GrabJobUniq {} | P::GrabJobAll {} => peer.grab(front, packet.kind()),
            P::WorkStatus { .. } | P::WorkData { .. } | P::WorkWarning { .. } => {
                peer.relay_output(front, &packet)
            }
            P::WorkComplete { handle, data } => peer.finish(front, handle, Some(data)),
            P::WorkFail { handle } => peer.finish(front, handle, None),
            P::WorkException { handle, data } => peer.relay_exception(front, handle, data),
            _ => Some(error_reply("UNEXPECTED_PACKET", "only a server sends this")),
        }
    }

    fn handle_option(&mut self, option: &[u8]) -> Vec<u8> {
        if option != b"exceptions" {
            return error_reply("UNKNOWN_OPTION", "the only option is exceptions");
        }
        self.wants_exceptions = true;
        reply(Kind::OptionRes, &[b"exceptions"])
    }

    fn set_name(&self, name: &[u8]) {
        let name = &name[..name.len().min(MAX_CLIENT_ID_BYTES)];
        let words: Vec<String> =
            String::from_utf8_lossy(name).split_whitespace().map(str::to_owned).collect();
        *self.peer.name.lock() = words.join("_");
    }

    fn register_with_time_limit(&self, function: &[u8], seconds: &[u8]) -> Option<Vec<u8>> {
        let Some(seconds) = parse_number(seconds).filter(|seconds| *seconds <= MAX_TIME_LIMIT_S) else {
            return Some(error_reply("INVALID_ARGUMENTS", "a time limit is a number of seconds"));
        };
        let limit = Some(seconds as Micros * SECOND).filter(|limit| *limit > 0);
        self.peer.register_function(self.front, function, limit)
    }
}
