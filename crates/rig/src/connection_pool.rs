//! Idle connections of a client for later requests.

use crate::http::Connection;
use parking_lot::Mutex;
use std::io;

/// Idle connections to one server; the one used last is reused first.
#[derive(Default)]
pub struct ConnectionPool(Mutex<Vec<Connection>>);

impl ConnectionPool {
    /// Whether it has no idle connection.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.lock().is_empty()
    }

    /// An idle connection, if there is one.
    #[must_use]
    pub fn take(&self) -> Option<Connection> {
        self.0.lock().pop()
    }

    /// An idle connection, or one that `open` opens.
    ///
    /// # Errors
    ///
    /// That of `open`.
    pub fn take_or_open(&self, open: impl FnOnce() -> io::Result<Connection>) -> io::Result<Connection> {
        match self.take() {
            Some(connection) => Ok(connection),
            None => open(),
        }
    }

    /// Keeps a connection for the next request.
    pub fn put(&self, connection: Connection) {
        self.0.lock().push(connection);
    }

    /// Keeps a connection, or closes it if there are `limit` idle ones.
    pub fn put_within(&self, limit: usize, connection: Connection) {
        let mut idle = self.0.lock();
        if idle.len() < limit {
            idle.push(connection);
        }
    }
}
