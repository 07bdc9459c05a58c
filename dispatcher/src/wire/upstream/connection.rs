//! The coroutine of a connection: opens it, and performs upstream requests on it in sequence.

use super::DialerContext;
use super::phase::SharedPhase;
use super::request::write_request;
use super::response::response_event;
use crate::core::{ConnectionState, Input, RequestKind, UpstreamEvent, UpstreamRequest, clock};
use crate::wire::http::{HttpError, Reader, deadline_after};
use crate::wire::socket::{ConnectError, LocalShortageBackoff, Socket};
use may::sync::mpsc::Receiver;
use roselock::{LoadReport, Micros, Outcome};
use roselock_dial_limiter::IMMEDIATE_CLOSE;
use std::net::SocketAddr;
use std::sync::Arc;

/// The coroutine's side of a connection.
pub(super) struct Connection {
    shared: Arc<DialerContext>,
    endpoint: SocketAddr,
    phase: SharedPhase,
    open: Option<OpenConnection>,
}

/// A connection that is open.
struct OpenConnection {
    socket: Socket,
    reader: Reader,
    /// When opening the connection began; `None` after its first request.
    opened_at: Option<Micros>,
}

impl OpenConnection {
    /// Whether the connection was opened for the current request, and so recently that a close by the host
    /// counts as a rejection.
    fn is_within_immediate_close(&self) -> bool {
        let now = clock::now();
        self.opened_at.is_some_and(|opened_at| now - opened_at <= IMMEDIATE_CLOSE)
    }
}

/// The reason why a connection was not opened.
enum OpenError {
    /// The host refused the connection or could not be reached in time, or the request was aborted before.
    Failed,
    /// This machine was out of a resource until the request could no longer begin.
    LocalShortage,
}

/// The result of an upstream request.
struct ExchangeResult {
    event: UpstreamEvent,
    connection: ConnectionState,
}

impl ExchangeResult {
    fn closed(event: UpstreamEvent) -> ExchangeResult {
        ExchangeResult { event, connection: ConnectionState::Closed }
    }
    fn rejected(request_written: bool) -> ExchangeResult {
        ExchangeResult::closed(UpstreamEvent::ConnectionRejected { request_written })
    }
}

impl Connection {
    pub(super) fn new(shared: Arc<DialerContext>, endpoint: SocketAddr, phase: SharedPhase) -> Connection {
        Connection { shared, endpoint, phase, open: None }
    }

    /// Performs requests until the connection closes, or the event loop drops its handle.
    pub(super) fn run(mut self, first: UpstreamRequest, pending_requests: &Receiver<UpstreamRequest>) {
        let mut next = Some(first);
        while let Some(request) = next {
            let ExchangeResult { event, connection } = self.exchange(&request);
            self.shared.inbox.post(Input::Upstream { id: request.id, event, connection });
            if connection == ConnectionState::Closed {
                return;
            }
            next = pending_requests.recv().ok();
        }
    }

    /// Performs an upstream request. Opens a new connection if there is none, or if the host has closed it.
    fn exchange(&mut self, request: &UpstreamRequest) -> ExchangeResult {
        self.drop_if_closed_by_host();
        let mut open = match self.open.take() {
            Some(open) => open,
            None => match self.open_connection(request) {
                Ok(open) => open,
                Err(error) => return open_failed_result(request, &error),
            },
        };
        let exchanged = match request.kind {
            RequestKind::Preconnect => self.preconnect(&mut open),
            _ => self.send_and_receive(&mut open, request),
        };
        self.open = Some(OpenConnection { opened_at: None, ..open });
        exchanged
    }

    /// Drops an idle connection that the host has closed, so that it is replaced; nothing has been written on
    /// it yet. A connection that was closed from this side is not replaced, because its request was aborted.
    fn drop_if_closed_by_host(&mut self) {
        if self.open.as_ref().is_some_and(|open| !open.socket.is_open_and_idle()) {
            self.open = None;
            self.phase.reopen();
        }
    }

    fn send_and_receive(&self, open: &mut OpenConnection, request: &UpstreamRequest) -> ExchangeResult {
        if matches!(request.kind, RequestKind::Run(_)) {
            self.shared.lists.wait(request.deadline.min(request.begin_by));
        }
        if open.opened_at.is_some() && !open.socket.is_open_and_idle() {
            return ExchangeResult::rejected(false);
        }
        if is_past_begin_by(request) {
            return ExchangeResult::closed(unsent_event(&request.kind, Outcome::NotStarted));
        }
        if write_request(&open.socket, &self.phase, self.endpoint, request).is_err() {
            if open.is_within_immediate_close() {
                return ExchangeResult::rejected(false);
            }
            return ExchangeResult::closed(unsent_event(&request.kind, Outcome::ConnectFailed));
        }
        if let Some(class) = request.class {
            self.shared.metrics.attempt_sent(class);
        }
        self.log_written(request);
        self.receive(open, request)
    }

    /// Logs that an attempt has been written, and how long after the decision.
    fn log_written(&self, request: &UpstreamRequest) {
        if let RequestKind::Run(payload) = &request.kind {
            let waited_ms = (clock::now() - request.decided_at) / 1000;
            tracing::debug!(id = payload.id(), endpoint = %self.endpoint, waited_ms, "attempt written");
        }
    }

    fn receive(&self, open: &mut OpenConnection, request: &UpstreamRequest) -> ExchangeResult {
        // Results come in callbacks; only the load report of a health check is in a body.
        let response = match request.kind {
            RequestKind::HealthCheck => open.reader.read_response(request.deadline),
            _ => open.reader.read_response_without_body(request.deadline),
        };
        match response {
            Ok(response) => {
                let must_close = response.close || !open.reader.is_empty();
                let connection = if must_close { ConnectionState::Closed } else { ConnectionState::Free };
                let event = response_event(&request.kind, &response, &self.shared.site);
                ExchangeResult { event, connection }
            }
            // The event loop ends the attempt at its deadline, so the timeout is not reported as an
            // outcome.
            Err(HttpError::TimedOut) => ExchangeResult::closed(UpstreamEvent::Ignored),
            Err(_) if open.is_within_immediate_close() && !open.reader.has_read() => {
                ExchangeResult::rejected(true)
            }
            Err(_) => ExchangeResult::closed(connection_lost_event(&request.kind)),
        }
    }

    /// Waits for the time in which the host may reject a new connection. There is nothing to write.
    fn preconnect(&self, open: &mut OpenConnection) -> ExchangeResult {
        match open.reader.read_response_without_body(deadline_after(IMMEDIATE_CLOSE)) {
            Err(HttpError::TimedOut) if self.phase.set_written(&open.socket).is_ok() => {
                ExchangeResult { event: UpstreamEvent::Ignored, connection: ConnectionState::Free }
            }
            _ => ExchangeResult::rejected(false),
        }
    }

    fn open_connection(&self, request: &UpstreamRequest) -> Result<OpenConnection, OpenError> {
        let opened_at = clock::now();
        let socket = self.connect(request)?;
        self.phase.set_open(&socket).map_err(|_aborted| OpenError::Failed)?;
        let reader = Reader::new(socket.clone());
        Ok(OpenConnection { socket, reader, opened_at: Some(opened_at) })
    }

    /// Connects. After a local resource shortage, connecting is retried as long as the request may begin: the
    /// shortage is not evidence of a fault of the host, and does not count as an attempt. No connection is
    /// opened for a request that was aborted.
    fn connect(&self, request: &UpstreamRequest) -> Result<Socket, OpenError> {
        let give_up_at = request.begin_by.min(request.deadline);
        let timeout = request.connect_by - clock::now();
        let mut connect_by = request.connect_by;
        let mut retry = LocalShortageBackoff::default();
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
                    tracing::debug!(%endpoint, reason = %error, "local resource shortage, retrying connect");
                    if !retry.wait(give_up_at) {
                        return Err(OpenError::LocalShortage);
                    }
                    connect_by = clock::now() + timeout;
                }
            }
        }
    }
}

/// Whether it is too late for the request to begin.
fn is_past_begin_by(request: &UpstreamRequest) -> bool {
    clock::now() >= request.begin_by
}

/// The result of a request whose connection could not be opened.
fn open_failed_result(request: &UpstreamRequest, error: &OpenError) -> ExchangeResult {
    let outcome = match error {
        OpenError::Failed if !is_past_begin_by(request) => Outcome::ConnectFailed,
        OpenError::Failed | OpenError::LocalShortage => Outcome::NotStarted,
    };
    ExchangeResult::closed(unsent_event(&request.kind, outcome))
}

/// The event for a request that was not sent completely.
fn unsent_event(kind: &RequestKind, outcome: Outcome) -> UpstreamEvent {
    match kind {
        RequestKind::Run(_) => attempt_ended_event(outcome),
        RequestKind::HealthCheck => UpstreamEvent::HealthChecked { ok: false, report: LoadReport::default() },
        RequestKind::Withdraw(_) => UpstreamEvent::Ignored,
        RequestKind::Preconnect => UpstreamEvent::ConnectionLost,
    }
}

/// The event for a request whose connection was lost before the response.
fn connection_lost_event(kind: &RequestKind) -> UpstreamEvent {
    match kind {
        RequestKind::Run(_) => attempt_ended_event(Outcome::Reset),
        _ => UpstreamEvent::ConnectionLost,
    }
}

fn attempt_ended_event(outcome: Outcome) -> UpstreamEvent {
    UpstreamEvent::Ended { outcome, report: LoadReport::default(), body: Vec::new() }
}
