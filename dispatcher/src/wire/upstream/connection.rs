//! The coroutine of a connection: opens it, and exchanges one upstream request after another on it.

use super::SharedParts;
use super::phase::SharedPhase;
use super::request::write_request;
use super::response::response_event;
use crate::core::{ConnectionState, Input, RequestKind, UpstreamEvent, UpstreamRequest, clock};
use crate::wire::http::{HttpError, Reader, deadline_after};
use crate::wire::socket::{ConnectError, LocalRetry, Socket};
use may::sync::mpsc::Receiver;
use roselock::{LoadReport, Micros, Outcome};
use roselock_dial_limiter::IMMEDIATE_CLOSE;
use std::net::SocketAddr;
use std::sync::Arc;

/// The coroutine's side of a connection.
pub(super) struct Connection {
    shared: Arc<SharedParts>,
    endpoint: SocketAddr,
    phase: SharedPhase,
    open: Option<OpenConnection>,
}

/// A connection that is open.
struct OpenConnection {
    socket: Socket,
    reader: Reader,
    /// When the attempt to open it began, while it carries its first request.
    opened_at: Option<Micros>,
}

impl OpenConnection {
    /// Whether it was opened for the current request, and so recently that a close means that the host
    /// rejects it.
    fn is_within_immediate_close(&self) -> bool {
        let now = clock::now();
        self.opened_at.is_some_and(|opened_at| now - opened_at <= IMMEDIATE_CLOSE)
    }
}

/// Why a connection was not opened.
enum OpenError {
    /// The host refused it or could not be reached in time, or the request was aborted first.
    Failed,
    /// A shortage on this machine lasted until the end of the request's time.
    LocalShortage,
}

/// The result of an upstream request.
struct Exchanged {
    event: UpstreamEvent,
    connection: ConnectionState,
}

impl Exchanged {
    fn closed(event: UpstreamEvent) -> Exchanged {
        Exchanged { event, connection: ConnectionState::Closed }
    }
    fn rejected(request_written: bool) -> Exchanged {
        Exchanged::closed(UpstreamEvent::ConnectionRejected { request_written })
    }
}

impl Connection {
    pub(super) fn new(shared: Arc<SharedParts>, endpoint: SocketAddr, phase: SharedPhase) -> Connection {
        Connection { shared, endpoint, phase, open: None }
    }

    /// Exchanges requests until the connection closes, or the owner thread drops it.
    pub(super) fn run(mut self, first: UpstreamRequest, pending_requests: &Receiver<UpstreamRequest>) {
        let mut next = Some(first);
        while let Some(request) = next {
            let Exchanged { event, connection } = self.exchange(&request);
            self.shared.inbox.post(Input::Upstream { id: request.id, event, connection });
            if connection == ConnectionState::Closed {
                return;
            }
            next = pending_requests.recv().ok();
        }
    }

    /// Exchanges an upstream request, on a new connection if there is none or the host has closed it.
    fn exchange(&mut self, request: &UpstreamRequest) -> Exchanged {
        self.drop_if_closed_by_host();
        let mut open = match self.open.take() {
            Some(open) => open,
            None => match self.open_connection(request) {
                Ok(open) => open,
                Err(error) => return unopened(request, &error),
            },
        };
        let exchanged = match request.kind {
            RequestKind::Preconnect => preconnect(&mut open),
            _ => self.send_and_receive(&mut open, request),
        };
        self.open = Some(OpenConnection { opened_at: None, ..open });
        exchanged
    }

    /// An idle connection that the host has closed is replaced, as nothing is written yet. One that was
    /// closed from this side is not: its upstream request has been aborted.
    fn drop_if_closed_by_host(&mut self) {
        if self.open.as_ref().is_some_and(|open| !open.socket.is_quiet()) {
            self.open = None;
            self.phase.reopen();
        }
    }

    fn send_and_receive(&self, open: &mut OpenConnection, request: &UpstreamRequest) -> Exchanged {
        if open.opened_at.is_some() && !open.socket.is_quiet() {
            return Exchanged::rejected(false);
        }
        if is_too_late(request) {
            return Exchanged::closed(unsent_event(&request.kind, Outcome::NotStarted));
        }
        if write_request(&open.socket, &self.phase, self.endpoint, request).is_err() {
            if open.is_within_immediate_close() {
                return Exchanged::rejected(false);
            }
            return Exchanged::closed(unsent_event(&request.kind, Outcome::ConnectFailed));
        }
        if let Some(class) = request.class {
            self.shared.metrics.attempt_sent(class);
        }
        self.receive(open, request)
    }

    fn receive(&self, open: &mut OpenConnection, request: &UpstreamRequest) -> Exchanged {
        match open.reader.read_response(request.deadline) {
            Ok(response) => {
                let must_close = response.close || !open.reader.is_empty();
                let connection = if must_close { ConnectionState::Closed } else { ConnectionState::Free };
                let event = response_event(&request.kind, &response, &self.shared.site);
                Exchanged { event, connection }
            }
            // The owner thread ends the attempt at its deadline; until then no response is no outcome.
            Err(HttpError::TimedOut) => Exchanged::closed(UpstreamEvent::Ignored),
            Err(_) if open.is_within_immediate_close() && open.reader.is_empty() => Exchanged::rejected(true),
            Err(_) => Exchanged::closed(lost_event(&request.kind)),
        }
    }

    /// Opens the connection.
    fn open_connection(&self, request: &UpstreamRequest) -> Result<OpenConnection, OpenError> {
        let opened_at = clock::now();
        let socket = self.connect(request)?;
        self.phase.set_open(&socket).map_err(|_aborted| OpenError::Failed)?;
        let reader = Reader::new(socket.clone());
        Ok(OpenConnection { socket, reader, opened_at: Some(opened_at) })
    }

    /// Connects. A shortage on this machine is retried for as long as the request may begin: it is no
    /// evidence against the host, and uses up no attempt. A request that was aborted before it began opens no
    /// connection.
    fn connect(&self, request: &UpstreamRequest) -> Result<Socket, OpenError> {
        let give_up_at = request.begin_by.min(request.deadline);
        let timeout = request.connect_by - clock::now();
        let mut connect_by = request.connect_by;
        let mut retry = LocalRetry::default();
        loop {
            if self.phase.is_aborted() {
                return Err(OpenError::Failed);
            }
            match Socket::connect(self.endpoint, connect_by.min(give_up_at)) {
                Ok(socket) => return Ok(socket),
                Err(ConnectError::Peer(error)) => {
                    tracing::debug!(endpoint = %self.endpoint, reason = %error, "cannot connect to the host");
                    return Err(OpenError::Failed);
                }
                Err(ConnectError::Local(error)) => {
                    let endpoint = self.endpoint;
                    tracing::debug!(%endpoint, reason = %error, "local shortage, connecting later");
                    if !retry.wait(give_up_at) {
                        return Err(OpenError::LocalShortage);
                    }
                    connect_by = clock::now() + timeout;
                }
            }
        }
    }
}

/// Waits for a new connection to be rejected.
fn preconnect(open: &mut OpenConnection) -> Exchanged {
    match open.reader.read_response(deadline_after(IMMEDIATE_CLOSE)) {
        Err(HttpError::TimedOut) => {
            Exchanged { event: UpstreamEvent::Ignored, connection: ConnectionState::Free }
        }
        _ => Exchanged::rejected(false),
    }
}

/// Whether the time in which a request may begin is over.
fn is_too_late(request: &UpstreamRequest) -> bool {
    clock::now() >= request.begin_by
}

/// The result of a request whose connection was not opened.
fn unopened(request: &UpstreamRequest, error: &OpenError) -> Exchanged {
    let outcome = match error {
        OpenError::Failed if !is_too_late(request) => Outcome::ConnectFailed,
        OpenError::Failed | OpenError::LocalShortage => Outcome::NotStarted,
    };
    Exchanged::closed(unsent_event(&request.kind, outcome))
}

/// The event of a request that was not sent completely.
fn unsent_event(kind: &RequestKind, outcome: Outcome) -> UpstreamEvent {
    match kind {
        RequestKind::Run(_) => attempt_ended(outcome),
        RequestKind::HealthCheck => UpstreamEvent::HealthChecked { ok: false, report: LoadReport::default() },
        RequestKind::Withdraw(_) => UpstreamEvent::Ignored,
        RequestKind::Preconnect => UpstreamEvent::ConnectionLost,
    }
}

/// The event of a request whose connection was lost before its response.
fn lost_event(kind: &RequestKind) -> UpstreamEvent {
    match kind {
        RequestKind::Run(_) => attempt_ended(Outcome::Reset),
        _ => UpstreamEvent::ConnectionLost,
    }
}

fn attempt_ended(outcome: Outcome) -> UpstreamEvent {
    UpstreamEvent::Ended { outcome, report: LoadReport::default(), body: Vec::new() }
}
