//! The phase of a connection, shared by its coroutine and the event loop.

use crate::wire::socket::Socket;
use parking_lot::Mutex;
use std::io::{self, ErrorKind};
use std::sync::Arc;

/// The phase of a connection and of its current request.
#[derive(Default)]
enum Phase {
    /// The connection is being opened.
    #[default]
    Opening,
    /// The request has not been written completely. An attempt begins when its last byte is written, so this
    /// one has not begun.
    Writing(Socket),
    /// The connection is open, and the last request has been written completely.
    Open(Socket),
    /// The request was aborted or cancelled.
    Aborted,
}

/// Error: the request was aborted or cancelled.
pub(super) struct Aborted;

/// The phase of a connection, shared by its coroutine and the event loop.
#[derive(Clone, Default)]
pub(super) struct SharedPhase(Arc<Mutex<Phase>>);

impl SharedPhase {
    /// Whether the connection is open and has no unread bytes.
    pub(super) fn is_open(&self) -> bool {
        let phase = self.0.lock();
        matches!(&*phase, Phase::Open(socket) if socket.is_open_and_idle())
    }

    /// Whether the request was aborted or cancelled.
    pub(super) fn is_aborted(&self) -> bool {
        matches!(*self.0.lock(), Phase::Aborted)
    }

    /// Cancels a request that has not been written completely. Returns false if it has been.
    pub(super) fn cancel_unsent(&self) -> bool {
        let mut phase = self.0.lock();
        match &*phase {
            Phase::Opening => {}
            Phase::Writing(socket) => socket.close(),
            Phase::Open(_) | Phase::Aborted => return false,
        }
        *phase = Phase::Aborted;
        true
    }

    /// Closes the connection, whatever its phase.
    pub(super) fn abort(&self) {
        let mut phase = self.0.lock();
        match std::mem::replace(&mut *phase, Phase::Aborted) {
            Phase::Open(socket) | Phase::Writing(socket) => socket.close(),
            Phase::Opening | Phase::Aborted => {}
        }
    }

    /// Returns to the opening phase, to replace a connection that the host has closed. An aborted request
    /// stays aborted.
    pub(super) fn reopen(&self) {
        let mut phase = self.0.lock();
        if !matches!(*phase, Phase::Aborted) {
            *phase = Phase::Opening;
        }
    }

    /// Records that the connection is open.
    ///
    /// # Errors
    /// The request was aborted in the meantime.
    pub(super) fn set_open(&self, socket: &Socket) -> Result<(), Aborted> {
        let mut phase = self.0.lock();
        if matches!(*phase, Phase::Aborted) {
            return Err(Aborted);
        }
        *phase = Phase::Open(socket.clone());
        Ok(())
    }

    /// Makes one write call, and subtracts the number of bytes written from `unwritten`. The lock is held
    /// during the call, so that a cancellation knows whether the last byte of the request has been sent.
    ///
    /// # Errors
    /// The request was aborted before, or the call failed.
    pub(super) fn write(
        &self,
        socket: &Socket,
        unwritten: &mut usize,
        call: &mut dyn FnMut() -> io::Result<usize>,
    ) -> io::Result<usize> {
        let mut phase = self.0.lock();
        if matches!(*phase, Phase::Aborted) {
            return Err(ErrorKind::ConnectionAborted.into());
        }
        let written = call()?;
        *unwritten -= written;
        let socket = socket.clone();
        *phase = if *unwritten == 0 { Phase::Open(socket) } else { Phase::Writing(socket) };
        Ok(written)
    }
}
