//! The reasons why a watch ends.

use crate::wire::http::HttpError;
use std::io;
use thiserror::Error;

/// The reason why a watch ended.
#[derive(Debug, Error)]
pub(super) enum WatchError {
    /// The connection could not be opened because this machine is out of a resource.
    #[error("cannot connect: local resource shortage")]
    LocalShortage(#[source] io::Error),
    /// The service refused the connection, or could not be reached in time.
    #[error("cannot connect")]
    Connect(#[source] io::Error),
    /// The request could not be sent.
    #[error("cannot send the request")]
    Send(#[source] io::Error),
    /// The discovery service was moved to another address.
    #[error("discovery was moved")]
    Moved,
    /// No response or event was received before the deadline.
    #[error("no response or event in time")]
    TimedOut,
    /// The connection was closed between messages, or the stream ended.
    #[error("closed by discovery")]
    Closed,
    /// The connection failed within a message.
    #[error("connection failed within a message")]
    ConnectionLost,
    /// The response is not valid HTTP, or is too long; the source holds the corresponding status.
    #[error("invalid HTTP response")]
    InvalidResponse(#[source] HttpError),
    /// The response has a status other than 200.
    #[error("unexpected status {0}")]
    Status(u16),
    /// The full list was malformed, so there is no revision after which changes could be watched.
    #[error("no valid full list")]
    NoRevision,
    /// Changes of a revision older than the known one were received.
    #[error("changes of an older revision")]
    OutdatedChanges,
    /// A list exceeds the maximum size.
    #[error("the list is too long")]
    ListTooLong,
    /// The full list is due for fetching after a move.
    #[error("fetching the full list after a move")]
    ResyncDue,
}

impl From<HttpError> for WatchError {
    fn from(error: HttpError) -> WatchError {
        match error {
            HttpError::Closed => WatchError::Closed,
            HttpError::ConnectionLost => WatchError::ConnectionLost,
            HttpError::TimedOut => WatchError::TimedOut,
            HttpError::Status(_) => WatchError::InvalidResponse(error),
        }
    }
}
