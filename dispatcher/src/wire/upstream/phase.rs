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
    /// The connection is open, and its request has not been written completely. An attempt begins when its last
    /// byte is written, so this one has not begun.
    Unwritten(Socket),
    /// The connection is open, and its last request has been written completely.
    Written(Socket),
    /// The request was aborted or cancelled.
    Aborted,
}

/// Error: the request was aborted or cancelled.
pub(super) struct Aborted;

/// The phase of a connection, shared by its coroutine and the event loop.
#[derive(Clone, Default)]
pub(super) struct SharedPhase(Arc<Mutex<Phase>>);

impl SharedPhase {
    /// Records that the connection has a new request, before the coroutine has it. Otherwise the phase would
    /// still be that of the request before.
    pub(super) fn begin_request(&self) {
        let mut phase = self.0.lock();
        if let Phase::Written(socket) = &*phase {
            *phase = Phase::Unwritten(socket.clone());
        }
    }

    /// Whether the connection is open and has no unread bytes.
    pub(super) fn is_open(&self) -> bool {
        let phase = self.0.lock();
        matches!(&*phase, Phase::Written(socket) if socket.is_open_and_idle())
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
            Phase::Unwritten(socket) => socket.close(),
            Phase::Written(_) | Phase::Aborted => return false,
        }
        *phase = Phase::Aborted;
        true
    }

    /// Closes the connection, whatever its phase.
    pub(super) fn abort(&self) {
        let mut phase = self.0.lock();
        match std::mem::replace(&mut *phase, Phase::Aborted) {
            Phase::Written(socket) | Phase::Unwritten(socket) => socket.close(),
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

    /// Records that the connection is open. Nothing has been written on it yet.
    ///
    /// # Errors
    /// The request was aborted in the meantime.
    pub(super) fn set_open(&self, socket: &Socket) -> Result<(), Aborted> {
        self.advance(Phase::Unwritten(socket.clone()))
    }

    /// Records that nothing of the request is left to be written.
    ///
    /// # Errors
    /// The request was aborted in the meantime.
    pub(super) fn set_written(&self, socket: &Socket) -> Result<(), Aborted> {
        self.advance(Phase::Written(socket.clone()))
    }

    fn advance(&self, next: Phase) -> Result<(), Aborted> {
        let mut phase = self.0.lock();
        if matches!(*phase, Phase::Aborted) {
            return Err(Aborted);
        }
        *phase = next;
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
        *phase = if *unwritten == 0 { Phase::Written(socket) } else { Phase::Unwritten(socket) };
        Ok(written)
    }
}
