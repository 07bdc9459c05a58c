//! Why a watch ended.

use crate::wire::http::HttpError;
use std::io;
use thiserror::Error;

/// Why a watch ended.
#[derive(Debug, Error)]
pub(super) enum WatchError {
    /// The connection did not come up, as this machine is short of something.
    #[error("cannot connect: this machine is short of something")]
    LocalShortage(#[source] io::Error),
    /// The connection did not come up.
    #[error("cannot connect")]
    Connect(#[source] io::Error),
    /// The request could not be sent.
    #[error("cannot send the request")]
    Send(#[source] io::Error),
    /// Discovery was moved to another address.
    #[error("discovery was moved")]
    Moved,
    /// There was no response or event in time.
    #[error("no response or event in time")]
    Silent,
    /// The connection was closed between messages, or the stream ended.
    #[error("closed by discovery")]
    Closed,
    /// The connection failed within a message.
    #[error("the connection failed")]
    Broken,
    /// The response is no HTTP, or is too long: the source has the status that says so.
    #[error("invalid HTTP response")]
    InvalidResponse(#[source] HttpError),
    /// The response has another status than 200.
    #[error("status {0}")]
    Status(u16),
    /// There is no list to watch the changes of: the full list was malformed.
    #[error("no full list")]
    NoRevision,
    /// Changes begin before the revision that is known.
    #[error("changes of an older revision")]
    OutdatedChanges,
    /// A list is longer than is read.
    #[error("the list is too long")]
    ListTooLong,
    /// The full list is polled, some time after a move.
    #[error("polling the full list after a move")]
    ResyncDue,
}

impl From<HttpError> for WatchError {
    fn from(error: HttpError) -> WatchError {
        match error {
            HttpError::Closed => WatchError::Closed,
            HttpError::ConnectionLost => WatchError::Broken,
            HttpError::TimedOut => WatchError::Silent,
            HttpError::Status(_) => WatchError::InvalidResponse(error),
        }
    }
}
