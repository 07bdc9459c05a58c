//! Connections to upstream hosts over HTTP/1.1: one upstream request at a time on each.

use super::http::{self, HttpError, Message, Reader, by};
use super::socket::{ConnectError, LocalRetry, Socket};
use crate::core::{
    ConnectionState, Dialer, Inbox, Input, Payload, RequestKind, UpstreamConnection, UpstreamEvent,
    UpstreamId, UpstreamRequest, clock,
};
use may::sync::mpsc::{Receiver, Sender, channel};
use parking_lot::Mutex;
use roselock::settings::Site;
use roselock::{LoadReport, Micros, Outcome};
use roselock_admin::metrics::Metrics;
use roselock_dial_limiter::IMMEDIATE_CLOSE;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Opens connections to the hosts of the HTTP fleet.
pub struct HttpDialer {
    /// The way to the decisions.
    pub inbox: Inbox,
    /// What load reports mean.
    pub site: Arc<Site>,
    /// Open connections, and the most there may be.
    pub open: Arc<AtomicUsize>,
    /// Most connections.
    pub most: usize,
    /// Wakes the watch on the list.
    pub watch: Sender<()>,
    /// Counts what is written whole.
    pub metrics: Arc<Metrics>,
}

impl Dialer for HttpDialer {
    fn dial(&self, endpoint: SocketAddr, request: UpstreamRequest) -> Arc<dyn UpstreamConnection> {
        let (requests, posted) = channel();
        let state = Arc::new(Mutex::new(State::Opening));
        let connection = Connection {
            endpoint,
            state: state.clone(),
            inbox: self.inbox.clone(),
            site: self.site.clone(),
            reader: None,
            metrics: self.metrics.clone(),
        };
        self.open.fetch_add(1, Ordering::SeqCst);
        let open = self.open.clone();
        may::go!(move || {
            connection.run(request, &posted);
            open.fetch_sub(1, Ordering::SeqCst);
        });
        Arc::new(HttpLink { requests, state })
    }
    fn has_capacity(&self, ask: &RequestKind) -> bool {
        let kept = if matches!(ask, RequestKind::Withdraw(_)) { 0 } else { self.most / 8 };
        self.open.load(Ordering::SeqCst) + kept < self.most
    }
    fn watch_endpoints(&self) {
        let _ = self.watch.send(());
    }
}

/// Where a connection is, for those who would end it.
enum State {
    Opening,
    /// A part of a request is still to be written: it has not begun before its last byte.
    Writing(Socket),
    Open(Socket),
    Aborted,
}

struct HttpLink {
    requests: Sender<UpstreamRequest>,
    state: Arc<Mutex<State>>,
}

impl UpstreamConnection for HttpLink {
    fn start(&self, request: UpstreamRequest) -> bool {
        self.requests.send(request).is_ok()
    }
    fn is_open(&self) -> bool {
        let state = self.state.lock();
        matches!(&*state, State::Open(socket) if socket.is_quiet())
    }
    fn cancel_unsent(&self) -> bool {
        let mut state = self.state.lock();
        match &*state {
            State::Opening => {}
            State::Writing(socket) => socket.close(),
            State::Open(_) | State::Aborted => return false,
        }
        *state = State::Aborted;
        true
    }
    fn abort(&self, _: UpstreamId) {
        let mut state = self.state.lock();
        if let State::Open(socket) | State::Writing(socket) = std::mem::replace(&mut *state, State::Aborted) {
            socket.close();
        }
    }
}

struct Connection {
    endpoint: SocketAddr,
    state: Arc<Mutex<State>>,
    inbox: Inbox,
    site: Arc<Site>,
    reader: Option<(Socket, Reader)>,
    metrics: Arc<Metrics>,
}

impl Connection {
    fn run(mut self, first: UpstreamRequest, posted: &Receiver<UpstreamRequest>) {
        let mut next = Some(first);
        while let Some(request) = next {
            let (heard, link) = self.exchange(&request);
            self.inbox.post(Input::Upstream { id: request.id, event: heard, connection: link });
            if link == ConnectionState::Closed {
                return;
            }
            next = posted.recv().ok();
        }
    }

    /// One upstream request, from its first byte to the host's answer.
    fn exchange(&mut self, request: &UpstreamRequest) -> (UpstreamEvent, ConnectionState) {
        let unsent = |outcome| match request.kind {
            RequestKind::Run(_) => {
                UpstreamEvent::Ended { outcome, report: LoadReport::default(), body: Vec::new() }
            }
            RequestKind::HealthCheck => {
                UpstreamEvent::HealthChecked { ok: false, report: LoadReport::default() }
            }
            RequestKind::Withdraw(_) => UpstreamEvent::Ignored,
            RequestKind::Preconnect => UpstreamEvent::ConnectionLost,
        };
        let broken = match request.kind {
            RequestKind::Run(_) => UpstreamEvent::Ended {
                outcome: Outcome::Reset,
                report: LoadReport::default(),
                body: Vec::new(),
            },
            _ => UpstreamEvent::ConnectionLost,
        };
        // An idle connection that the host has closed is replaced while nothing is written; one that was ended
        // from here is not: its upstream request has been given up.
        if self.reader.as_ref().is_some_and(|(socket, _)| !socket.is_quiet()) {
            self.reader = None;
            let mut state = self.state.lock();
            if !matches!(*state, State::Aborted) {
                *state = State::Opening;
            }
        }
        let opened = self.reader.is_none().then(clock::now);
        let late = || clock::now() >= request.begin_by;
        if opened.is_some()
            && let Err(why) = self.open(request)
        {
            let outcome = match why {
                NotOpened::Failed if !late() => Outcome::ConnectFailed,
                NotOpened::Failed | NotOpened::Short => Outcome::NotStarted,
            };
            return (unsent(outcome), ConnectionState::Closed);
        }
        let closed_at_once = |now| opened.is_some_and(|at| now - at <= IMMEDIATE_CLOSE);
        let Some((socket, reader)) = &mut self.reader else {
            return (UpstreamEvent::Ignored, ConnectionState::Closed);
        };
        if matches!(request.kind, RequestKind::Preconnect) {
            return match reader.response(by(IMMEDIATE_CLOSE)) {
                Err(HttpError::Late) => (UpstreamEvent::Ignored, ConnectionState::Free),
                _ => (UpstreamEvent::ConnectionRejected { request_written: false }, ConnectionState::Closed),
            };
        }
        if opened.is_some() && !socket.is_quiet() {
            return (UpstreamEvent::ConnectionRejected { request_written: false }, ConnectionState::Closed);
        }
        if late() {
            return (unsent(Outcome::NotStarted), ConnectionState::Closed);
        }
        if write(socket, &self.state, self.endpoint, request).is_err() {
            let heard = if closed_at_once(clock::now()) {
                UpstreamEvent::ConnectionRejected { request_written: false }
            } else {
                unsent(Outcome::ConnectFailed)
            };
            return (heard, ConnectionState::Closed);
        }
        request.class.iter().for_each(|class| self.metrics.attempt_sent(*class));
        match reader.response(request.deadline) {
            Ok(answer) => {
                let close = answer.close || !reader.is_empty();
                let heard = heard(&request.kind, &answer, &self.site);
                (heard, if close { ConnectionState::Closed } else { ConnectionState::Free })
            }
            // The owner ends the attempt at its deadline; till then no word is no outcome.
            Err(HttpError::Late) => (UpstreamEvent::Ignored, ConnectionState::Closed),
            Err(_) if closed_at_once(clock::now()) && reader.is_empty() => {
                (UpstreamEvent::ConnectionRejected { request_written: true }, ConnectionState::Closed)
            }
            Err(_) => (broken, ConnectionState::Closed),
        }
    }

    /// Whether it was given up before it began: not even a connection is to be seen of it then.
    fn is_aborted(&self) -> bool {
        matches!(*self.state.lock(), State::Aborted)
    }

    /// Opens the connection. Where this machine is short of something for it, it tries again for as long as the request may
    /// begin: that says nothing of the host, and uses up no attempt.
    fn open(&mut self, request: &UpstreamRequest) -> Result<(), NotOpened> {
        let last = request.begin_by.min(request.deadline);
        let timeout = request.connect_by - clock::now();
        let mut connect_by = request.connect_by;
        let mut retry = LocalRetry::default();
        let socket = loop {
            if self.is_aborted() {
                return Err(NotOpened::Failed);
            }
            match Socket::connect(self.endpoint, connect_by.min(last)) {
                Ok(socket) => break socket,
                Err(ConnectError::Peer(why)) => {
                    tracing::debug!("no connection to {}: {why}", self.endpoint);
                    return Err(NotOpened::Failed);
                }
                Err(ConnectError::Local(why)) => {
                    tracing::debug!("no connection for {} yet: {why}", self.endpoint);
                    if !retry.wait(last) {
                        return Err(NotOpened::Short);
                    }
                    connect_by = clock::now() + timeout;
                }
            }
        };
        let mut state = self.state.lock();
        if let State::Aborted = *state {
            return Err(NotOpened::Failed);
        }
        *state = State::Open(socket.clone());
        drop(state);
        self.reader = Some((socket.clone(), Reader::new(socket)));
        Ok(())
    }
}

/// Why a connection was not opened.
enum NotOpened {
    /// The host refused it or could not be reached in time, or the request was given up first.
    Failed,
    /// This machine was short of something up to the end of the request's time.
    Short,
}

/// What a worker is told less than is left, for the way and for a clock that was read a moment before: a dispatcher may be held
/// up for all of the slack that the platform gives.
const DEADLINE_MARGIN: Micros = 20_000;

/// Writes a request. One that is held back or aborted meanwhile ends before its last byte.
fn write(
    socket: &Socket,
    state: &Mutex<State>,
    endpoint: SocketAddr,
    request: &UpstreamRequest,
) -> std::io::Result<()> {
    let host = format!(" HTTP/1.1\r\nHost: {endpoint}\r\n");
    let parts = match &request.kind {
        RequestKind::Run(payload) => return write_run(socket, state, &host, payload, request.deadline),
        RequestKind::Withdraw(payload) => {
            let id = payload.id().as_bytes();
            [b"DELETE /jobs/".as_slice(), id, host.as_bytes(), b"Content-Length: 0\r\n\r\n"]
        }
        RequestKind::HealthCheck => [b"GET /stats".as_slice(), host.as_bytes(), b"\r\n", b""],
        RequestKind::Preconnect => return Ok(()),
    };
    socket.write(&parts, request.deadline)
}

fn write_run(
    socket: &Socket,
    state: &Mutex<State>,
    host: &str,
    payload: &Payload,
    deadline: Micros,
) -> std::io::Result<()> {
    let left = clock::left(deadline - DEADLINE_MARGIN).as_secs_f64();
    let framing = format!("\r\nX-Budget: {left:.6}\r\nContent-Length: {}\r\n\r\n", payload.body.len());
    let key = &payload.raw[payload.idempotency_key.clone()];
    let keyed: &[u8] = if key.is_empty() { b"" } else { b"\r\nIdempotency-Key: " };
    let parts = [
        &payload.raw[payload.method.clone()],
        b" ",
        &payload.raw[payload.target.clone()],
        host.as_bytes(),
        b"X-Call-Id: ",
        payload.id().as_bytes(),
        keyed,
        key,
        framing.as_bytes(),
        &payload.raw[payload.body.clone()],
    ];
    let mut left: usize = parts.iter().map(|part| part.len()).sum();
    // Within the lock, so that whoever holds it back knows whether its last byte has gone.
    socket.write_guarded(&parts, deadline, |call| {
        let mut state = state.lock();
        if matches!(*state, State::Aborted) {
            return Err(ErrorKind::ConnectionAborted.into());
        }
        let written = call()?;
        left -= written;
        *state = if left == 0 { State::Open(socket.clone()) } else { State::Writing(socket.clone()) };
        Ok(written)
    })
}

/// What an answer means.
fn heard(ask: &RequestKind, answer: &Message, site: &Site) -> UpstreamEvent {
    let report = answer.value("x-load-report").and_then(http::load_report);
    match ask {
        RequestKind::Withdraw(_) => UpstreamEvent::Withdrawn,
        RequestKind::Preconnect => UpstreamEvent::Ignored,
        RequestKind::HealthCheck => {
            let body = std::str::from_utf8(answer.body()).ok().and_then(http::load_report);
            let gauge = report.or(body).map(|g| site.load_report(&g)).unwrap_or_default();
            UpstreamEvent::HealthChecked { ok: answer.status == 200, report: gauge }
        }
        RequestKind::Run(_) => {
            let gauge = report.map(|g| site.load_report(&g)).unwrap_or_default();
            let rejected = answer.value("x-rejected") == Some("1");
            match answer.status {
                202 => UpstreamEvent::Accepted,
                503 | 504 if rejected => {
                    UpstreamEvent::Ended { outcome: Outcome::Rejected, report: gauge, body: Vec::new() }
                }
                _ => UpstreamEvent::Ended { outcome: Outcome::Error, report: gauge, body: Vec::new() },
            }
        }
    }
}

#[cfg(test)]
#[path = "upstream_tests.rs"]
mod tests;
