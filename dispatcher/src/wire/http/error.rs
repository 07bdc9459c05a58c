//! Errors while receiving a message.

use thiserror::Error;

/// The reason why a message was not received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum HttpError {
    /// The connection was closed between messages.
    #[error("connection closed")]
    Closed,
    /// The connection was closed or failed within a message.
    #[error("connection lost within a message")]
    ConnectionLost,
    /// The deadline passed.
    #[error("timed out")]
    TimedOut,
    /// The message is invalid or cannot be accepted; holds the status to respond with.
    #[error("status {0}")]
    Status(u16),
}
