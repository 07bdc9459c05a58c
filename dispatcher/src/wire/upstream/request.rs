//! Writes upstream requests.

use super::phase::SharedPhase;
use crate::core::{Payload, RequestKind, UpstreamRequest, clock};
use crate::wire::socket::Socket;
use roselock::Micros;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

/// The time budget sent to a worker is the remaining time less this margin, which covers the network latency
/// and the time since the clock was read: in between, the dispatcher may be stalled for all of the slack that
/// the platform allows.
const DEADLINE_MARGIN: Micros = 20_000;

/// Writes a request. If the request is cancelled or aborted in the meantime, its last byte is not written.
///
/// # Errors
/// The connection failed, the deadline passed, or the request was aborted.
pub(super) fn write_request(
    socket: &Socket,
    phase: &SharedPhase,
    endpoint: SocketAddr,
    request: &UpstreamRequest,
) -> io::Result<()> {
    let host = format!(" HTTP/1.1\r\nHost: {endpoint}\r\n");
    let parts = match &request.kind {
        RequestKind::Run(payload) => return write_run(socket, phase, &host, payload, request.deadline),
        RequestKind::Withdraw(payload) => {
            let id = payload.id().as_bytes();
            [b"DELETE /jobs/".as_slice(), id, host.as_bytes(), b"Content-Length: 0\r\n\r\n"]
        }
        RequestKind::HealthCheck => [b"GET /stats".as_slice(), host.as_bytes(), b"\r\n", b""],
        RequestKind::Preconnect => return Ok(()),
    };
    socket.write(&parts, request.deadline)?;
    phase.set_written(socket).map_err(|_aborted| ErrorKind::ConnectionAborted.into())
}

fn write_run(
    socket: &Socket,
    phase: &SharedPhase,
    host: &str,
    payload: &Payload,
    deadline: Micros,
) -> io::Result<()> {
    let budget = clock::time_until(deadline - DEADLINE_MARGIN).as_secs_f64();
    let framing = format!("\r\nX-Budget: {budget:.6}\r\nContent-Length: {}\r\n\r\n", payload.body.len());
    let key = payload.part(&payload.idempotency_key);
    let key_name: &[u8] = if key.is_empty() { b"" } else { b"\r\nIdempotency-Key: " };
    let parts = [
        payload.part(&payload.method),
        b" ",
        payload.part(&payload.target),
        host.as_bytes(),
        b"X-Call-Id: ",
        payload.id().as_bytes(),
        key_name,
        key,
        framing.as_bytes(),
        payload.part(&payload.body),
    ];
    let mut unwritten: usize = parts.iter().map(|part| part.len()).sum();
    socket.write_guarded(&parts, deadline, |call| phase.write(socket, &mut unwritten, call))
}
