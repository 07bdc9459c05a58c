//! A single watch: connects, fetches the full list if its revision is unknown, and reads the event stream.

use super::handle::Location;
use super::watch_error::WatchError;
use super::{DiscoveryWatcher, MAX_LIST_BYTES};
use crate::core::clock;
use crate::wire::http::{HttpError, Reader, StreamRead, deadline_after};
use crate::wire::list::{EndpointList, listed_hosts};
use crate::wire::list_parser::{ListParser, MalformedList, may_end_list};
use crate::wire::socket::{ConnectError, LocalShortageBackoff, Socket};
use roselock::{ListMode, Micros, SECOND};
use roselock_discovery_client::poll_schedule::WATCH_TIMEOUT;
use std::convert::Infallible;
use std::net::SocketAddr;

/// Time limit for opening a connection, and for writing a request.
const CONNECT_TIMEOUT: Micros = SECOND;
/// Time limit for a response. It allows for requests that are queued at the service.
const RESPONSE_TIMEOUT: Micros = 3 * SECOND;
/// The same after a call without a response, while only a cached list is known: a slow service must not be taken for one that
/// is down.
const PATIENT_RESPONSE_TIMEOUT: Micros = 2 * RESPONSE_TIMEOUT;
/// Delay before the full list is fetched again after an empty one, which is almost always wrong. The delay is
/// doubled each time, at most [`MAX_EMPTY_LIST_DOUBLINGS`] times.
const EMPTY_LIST_RETRY_DELAY: Micros = SECOND;
const MAX_EMPTY_LIST_DOUBLINGS: u32 = 3;

impl DiscoveryWatcher {
    /// Watches at a location until the watch ends. The error is the reason for the end.
    pub(super) fn watch(&mut self, location: Location) -> Result<Infallible, WatchError> {
        let mut socket = self.connect(location)?;
        self.progress.connected = true;
        let mut reader = Reader::with_max_body(socket.clone(), MAX_LIST_BYTES);
        if self.revision.is_none() {
            let connection_closes = self.fetch_full_list(location.address, &socket, &mut reader)?;
            if connection_closes {
                socket = self.connect(location)?;
                reader = Reader::with_max_body(socket.clone(), MAX_LIST_BYTES);
            }
        }
        let Some(revision) = self.revision else { return Err(WatchError::NoRevision) };
        self.open_stream(location.address, revision, &socket, &mut reader)?;
        self.read_events(&mut reader)
    }

    /// Opens a connection, which a move closes. Retries while this machine is out of a resource.
    fn connect(&mut self, location: Location) -> Result<Socket, WatchError> {
        let deadline = deadline_after(CONNECT_TIMEOUT);
        let mut retry = LocalShortageBackoff::default();
        let socket = loop {
            match Socket::connect(location.address, deadline) {
                Ok(socket) => break socket,
                Err(ConnectError::Peer(error)) => return Err(WatchError::Connect(error)),
                Err(ConnectError::Local(error)) => {
                    tracing::debug!(reason = %error, "cannot connect to discovery: local resource shortage");
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

    /// Opens the stream of changes after `revision`.
    fn open_stream(
        &self,
        address: SocketAddr,
        revision: u64,
        socket: &Socket,
        reader: &mut Reader,
    ) -> Result<(), WatchError> {
        send_request(address, &format!("?watch=1&after={revision}"), socket)?;
        let head = reader.read_stream_head(deadline_after(self.response_timeout()))?;
        if head.status != 200 {
            return Err(WatchError::Status(head.status));
        }
        Ok(())
    }

    fn response_timeout(&self) -> Micros {
        if self.awaits_slow_answer { PATIENT_RESPONSE_TIMEOUT } else { RESPONSE_TIMEOUT }
    }

    /// Fetches the full list. Returns whether the connection closes after it.
    fn fetch_full_list(
        &mut self,
        address: SocketAddr,
        socket: &Socket,
        reader: &mut Reader,
    ) -> Result<bool, WatchError> {
        send_request(address, "", socket)?;
        let deadline = deadline_after(self.response_timeout());
        let mut result = None;
        // A list counts as notified once it has arrived, also if the end of the response has not.
        let response = reader.read_response_in_parts(deadline, |status, body| {
            let may_be_complete = result.is_none() && body.trim_ascii_end().ends_with(b"}");
            if status == 200
                && may_be_complete
                && let Ok(list) = serde_json::from_slice(body)
            {
                result = Some(self.apply_list(list));
            }
            self.handle.record_read();
        })?;
        if response.status != 200 {
            return Err(WatchError::Status(response.status));
        }
        match result {
            Some(result) => result?,
            None => match serde_json::from_slice(response.body()) {
                Ok(list) => self.apply_list(list)?,
                Err(error) => self.count_malformed_list(&error.into()),
            },
        }
        Ok(response.close)
    }

    /// Reads events until the stream ends, or until the full list is due.
    fn read_events(&mut self, reader: &mut Reader) -> Result<Infallible, WatchError> {
        let mut parser = ListParser::default();
        let mut empty_list_retry_at = None;
        let mut silence_deadline = deadline_after(WATCH_TIMEOUT);
        loop {
            empty_list_retry_at = self.empty_list_retry_at(empty_list_retry_at);
            let due = [empty_list_retry_at, self.resync_at].into_iter().flatten();
            let deadline = due.fold(silence_deadline, Micros::min);
            let mut bytes = Vec::new();
            let is_chunk_end = match reader.read_stream(&mut bytes, MAX_LIST_BYTES, deadline) {
                Ok(StreamRead::Part) => false,
                Ok(StreamRead::ChunkEnd) => true,
                Ok(StreamRead::End) => return Err(WatchError::Closed),
                Err(HttpError::TimedOut) if self.resync_at == Some(deadline) => {
                    self.revision = None;
                    return Err(WatchError::ResyncDue);
                }
                Err(error) => return Err(error.into()),
            };
            let continues_list = parser.buffered() > 0;
            parser.push(&bytes);
            // A list counts as notified once it has arrived, also if the end of its chunk has not.
            let found_any = (is_chunk_end || may_end_list(&bytes)) && self.apply_lists(&mut parser)?;
            self.handle.record_read();
            let is_buffer_empty = parser.buffered() == 0;
            // The bytes of an incomplete list do not extend the deadline: a list that arrives slowly carries
            // no more information than silence.
            if found_any || !continues_list || is_buffer_empty {
                silence_deadline = deadline_after(WATCH_TIMEOUT);
            }
            if is_buffer_empty {
                self.record_event();
            }
            if parser.buffered() > MAX_LIST_BYTES {
                return Err(WatchError::ListTooLong);
            }
        }
    }

    /// When the full list is fetched again, if the latest one was empty. `planned` is the time set before.
    fn empty_list_retry_at(&self, planned: Option<Micros>) -> Option<Micros> {
        if !self.is_list_empty {
            return None;
        }
        let doublings = self.consecutive_empty_lists.min(MAX_EMPTY_LIST_DOUBLINGS);
        Some(planned.unwrap_or_else(|| deadline_after(EMPTY_LIST_RETRY_DELAY << doublings)))
    }

    /// Applies the lists that have been received. Returns whether there was any, including malformed ones.
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

    /// Records an event: received bytes that do not belong to an incomplete list. The first event of a watch,
    /// even an empty line, confirms that the list is up to date.
    fn record_event(&mut self) {
        let previous = self.progress.last_event_at.replace(clock::now());
        if previous.is_none() {
            self.inbox.post_list(self.fleet, ListMode::Changes, Vec::new());
        }
    }

    /// Counts a malformed list, which is skipped; the last valid list stays in use.
    fn count_malformed_list(&self, error: &MalformedList) {
        let count = self.metrics.count_malformed_list();
        tracing::warn!(count, reason = %error, "malformed endpoint list skipped");
    }

    /// Passes a list to the event loop.
    fn apply_list(&mut self, mut list: EndpointList) -> Result<(), WatchError> {
        let is_older = self.revision.is_some_and(|revision| list.revision < revision);
        if is_older && !list.is_complete {
            // The changes refer to a state that is not known here, or are outdated.
            tracing::warn!(revision = list.revision, "changes of an older revision, fetching the full list");
            self.revision = None;
            return Err(WatchError::OutdatedChanges);
        }
        self.revision = Some(list.revision);
        self.progress.last_event_at = Some(clock::now());
        if list.is_complete {
            self.resync_at = None;
        }
        // A list of changes without entries leaves the hosts as they are.
        self.is_list_empty = list.targets.is_empty() && (list.is_complete || self.is_list_empty);
        if self.is_list_empty {
            tracing::warn!("empty endpoint list, fetching it again later");
        }
        self.history.record(&mut list);
        let mode = if list.is_complete { ListMode::Complete } else { ListMode::Changes };
        let hosts = listed_hosts(&list, &mut self.site);
        tracing::debug!(revision = list.revision, ?mode, entries = hosts.len(), "endpoint list received");
        self.inbox.post_list(self.fleet, mode, hosts);
        Ok(())
    }
}

fn send_request(address: SocketAddr, query: &str, socket: &Socket) -> Result<(), WatchError> {
    let request = format!("GET /registry/instances{query} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    socket.write(&[request.as_bytes()], deadline_after(CONNECT_TIMEOUT)).map_err(WatchError::Send)
}
