//! A pool of idle connections for later requests.

use crate::http::Connection;
use parking_lot::Mutex;
use std::io;

/// Idle connections to one server; the most recently used one is reused first.
#[derive(Default)]
pub struct ConnectionPool(Mutex<Vec<Connection>>);

impl ConnectionPool {
    /// Whether there is no idle connection.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.lock().is_empty()
    }

    /// Takes an idle connection, if there is one.
    #[must_use]
    pub fn take(&self) -> Option<Connection> {
        self.0.lock().pop()
    }

    /// Takes an idle connection, or opens one with `open`.
    ///
    /// # Errors
    ///
    /// `open` fails.
    pub fn take_or_open(&self, open: impl FnOnce() -> io::Result<Connection>) -> io::Result<Connection> {
        match self.take() {
            Some(connection) => Ok(connection),
            None => open(),
        }
    }

    /// Adds an idle connection.
    pub fn put(&self, connection: Connection) {
        self.0.lock().push(connection);
    }

    /// Adds an idle connection, or closes it if there are already `limit` idle ones.
    pub fn put_within(&self, limit: usize, connection: Connection) {
        let mut idle = self.0.lock();
        if idle.len() < limit {
            idle.push(connection);
        }
    }
}
