//! One watch: the connection, the full list where its revision is unknown, and the events of the stream.

use super::handle::Location;
use super::watch_error::WatchError;
use super::{DiscoveryWatcher, MAX_LIST_BYTES};
use crate::core::{Input, clock};
use crate::wire::http::{HttpError, Reader, deadline_after};
use crate::wire::list::{EndpointList, listed_hosts};
use crate::wire::list_parser::{ListParser, MalformedList};
use crate::wire::socket::{ConnectError, LocalRetry, Socket};
use roselock::{ListMode, Micros, SECOND};
use roselock_discovery_client::poll_schedule::WATCH_TIMEOUT;
use std::convert::Infallible;
use std::net::SocketAddr;

/// How long a connection may take to come up, and a request to be written.
const CONNECT_TIMEOUT: Micros = SECOND;
/// How long a response may take, which may be queued at the service.
const RESPONSE_TIMEOUT: Micros = 3 * SECOND;
/// A complete list without any host is hardly ever true: the list is polled again after so long, each time twice as
/// long, at most [`MAX_EMPTY_LIST_DOUBLINGS`] times.
const EMPTY_LIST_RETRY: Micros = SECOND;
const MAX_EMPTY_LIST_DOUBLINGS: u32 = 3;

impl DiscoveryWatcher {
    /// Watches at a location until the watch ends; why it did.
    pub(super) fn watch(&mut self, location: Location) -> Result<Infallible, WatchError> {
        let mut socket = self.connect(location)?;
        self.progress.connected = true;
        let mut reader = Reader::with_max_body(socket.clone(), MAX_LIST_BYTES);
        if self.revision.is_none() {
            let closes = self.fetch_full_list(location.address, &socket, &mut reader)?;
            if closes {
                socket = self.connect(location)?;
                reader = Reader::with_max_body(socket.clone(), MAX_LIST_BYTES);
            }
        }
        let Some(revision) = self.revision else { return Err(WatchError::NoRevision) };
        open_stream(location.address, revision, &socket, &mut reader)?;
        self.read_events(&mut reader)
    }

    /// Opens a connection, which a move closes. Where this machine is short of something for it, it tries again.
    fn connect(&mut self, location: Location) -> Result<Socket, WatchError> {
        let deadline = deadline_after(CONNECT_TIMEOUT);
        let mut retry = LocalRetry::default();
        let socket = loop {
            match Socket::connect(location.address, deadline) {
                Ok(socket) => break socket,
                Err(ConnectError::Peer(error)) => return Err(WatchError::Connect(error)),
                Err(ConnectError::Local(error)) => {
                    tracing::debug!(reason = %error, "cannot connect to discovery yet");
                    if !retry.wait(deadline) {
                        return Err(WatchError::LocalShortage(error));
                    }
                }
            }
        };
        if !self.handle.register_connection(location, &socket) {
            return Err(WatchError::Moved);
        }
        Ok(socket)
    }

    /// Polls the full list; whether the connection closes after it.
    fn fetch_full_list(
        &mut self,
        address: SocketAddr,
        socket: &Socket,
        reader: &mut Reader,
    ) -> Result<bool, WatchError> {
        send_request(address, "", socket)?;
        let response = reader.read_response(deadline_after(RESPONSE_TIMEOUT))?;
        if response.status != 200 {
            return Err(WatchError::Status(response.status));
        }
        match serde_json::from_slice(response.body()) {
            Ok(list) => self.apply_list(list)?,
            Err(error) => self.count_malformed_list(&error.into()),
        }
        Ok(response.close)
    }

    /// Reads the events of the stream until it ends, or the full list is due.
    fn read_events(&mut self, reader: &mut Reader) -> Result<Infallible, WatchError> {
        let mut parser = ListParser::default();
        let mut empty_list_retry_at = None;
        let mut silent_at = deadline_after(WATCH_TIMEOUT);
        loop {
            empty_list_retry_at = self.empty_list_retry_at(empty_list_retry_at);
            let due = [empty_list_retry_at, self.resync_at].into_iter().flatten();
            let deadline = due.fold(silent_at, Micros::min);
            let mut chunk = Vec::new();
            match reader.read_chunk(&mut chunk, MAX_LIST_BYTES, deadline) {
                Ok(true) => {}
                Ok(false) => return Err(WatchError::Closed),
                Err(HttpError::TimedOut) if self.resync_at == Some(deadline) => {
                    self.revision = None;
                    return Err(WatchError::ResyncDue);
                }
                Err(error) => return Err(error.into()),
            }
            let continues_list = parser.buffered() > 0;
            parser.push(&chunk);
            let found_any = self.apply_lists(&mut parser)?;
            let is_drained = parser.buffered() == 0;
            // A list that trickles in gets no more time than silence: it says as little.
            if found_any || !continues_list || is_drained {
                silent_at = deadline_after(WATCH_TIMEOUT);
            }
            if is_drained {
                self.note_event();
            }
            if parser.buffered() > MAX_LIST_BYTES {
                return Err(WatchError::ListTooLong);
            }
        }
    }

    /// When the list is polled again, if the latest one was empty; `planned` is the time that was set before.
    fn empty_list_retry_at(&self, planned: Option<Micros>) -> Option<Micros> {
        if !self.is_list_empty {
            return None;
        }
        let doublings = self.consecutive_empty_lists.min(MAX_EMPTY_LIST_DOUBLINGS);
        Some(planned.unwrap_or_else(|| deadline_after(EMPTY_LIST_RETRY << doublings)))
    }

    /// Applies the lists that have been received; whether there was any, malformed ones included.
    fn apply_lists(&mut self, parser: &mut ListParser) -> Result<bool, WatchError> {
        let mut found_any = false;
        while let Some(found) = parser.next_list() {
            found_any = true;
            match found {
                Ok(list) => self.apply_list(list)?,
                Err(error) => self.count_malformed_list(&error),
            }
        }
        Ok(found_any)
    }

    /// Notes bytes that are no part of a list still to come. The first ones of a watch, be it an empty line, say that
    /// the list is up to date.
    fn note_event(&mut self) {
        let previous = self.progress.last_event_at.replace(clock::now());
        if previous.is_none() {
            self.inbox.post(Input::Hosts { fleet: self.fleet, mode: ListMode::Changes, hosts: Vec::new() });
        }
    }

    /// A malformed list is skipped; the last good one stays.
    fn count_malformed_list(&self, error: &MalformedList) {
        let count = self.metrics.count_malformed_list();
        tracing::warn!(count, reason = %error, "malformed endpoint list skipped");
    }

    /// Hands a list to the decisions.
    fn apply_list(&mut self, mut list: EndpointList) -> Result<(), WatchError> {
        let is_older = self.revision.is_some_and(|revision| list.revision < revision);
        if is_older && !list.is_complete {
            // Changes to what is not known here, or of long ago.
            tracing::warn!(revision = list.revision, "changes of an older revision, polling the full list");
            self.revision = None;
            return Err(WatchError::OutdatedChanges);
        }
        self.revision = Some(list.revision);
        self.progress.last_event_at = Some(clock::now());
        if list.is_complete {
            self.resync_at = None;
        }
        // Empty changes say nothing of which hosts there are.
        self.is_list_empty = list.targets.is_empty() && (list.is_complete || self.is_list_empty);
        if self.is_list_empty {
            tracing::warn!("empty endpoint list, polling again");
        }
        self.history.record(&mut list);
        let mode = if list.is_complete { ListMode::Complete } else { ListMode::Changes };
        let hosts = listed_hosts(&list, &mut self.site);
        self.inbox.post(Input::Hosts { fleet: self.fleet, mode, hosts });
        Ok(())
    }
}

/// Opens the stream of changes after a revision.
fn open_stream(
    address: SocketAddr,
    revision: u64,
    socket: &Socket,
    reader: &mut Reader,
) -> Result<(), WatchError> {
    send_request(address, &format!("?watch=1&after={revision}"), socket)?;
    let head = reader.read_stream_head(deadline_after(RESPONSE_TIMEOUT))?;
    if head.status != 200 {
        return Err(WatchError::Status(head.status));
    }
    Ok(())
}

fn send_request(address: SocketAddr, query: &str, socket: &Socket) -> Result<(), WatchError> {
    let request = format!("GET /registry/instances{query} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    socket.write(&[request.as_bytes()], deadline_after(CONNECT_TIMEOUT)).map_err(WatchError::Send)
}
