//! The client listener, which the platform owns and passes to each process as a file descriptor (`$NODE_FD`).
//!
//! Besides [`shared_words`](super::shared_words) and [`allocator`](super::allocator), this is the only module of the program that
//! may use `unsafe`: taking ownership of a descriptor by its
//! number is unsafe in Rust, because nothing proves that the descriptor is open and has no other owner. The
//! descriptor is checked first, by calls that leave descriptors of any kind unchanged: it has to be a
//! listening IPv4 or IPv6 stream socket.
#![allow(unsafe_code)]

use may::net::TcpListener;
use socket2::{Domain, SockRef, Type};
use std::io;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::os::fd::{BorrowedFd, FromRawFd, RawFd};
use thiserror::Error;

/// Environment variable that holds the descriptor number.
pub const FD_VARIABLE: &str = "NODE_FD";
/// The lowest descriptor that may be inherited: 0 to 2 are standard input, output and error.
const MIN_DESCRIPTOR: RawFd = 3;

/// Why the descriptor cannot be inherited.
#[derive(Debug, Error)]
pub enum InheritError {
    /// The variable's value is not a descriptor number.
    #[error("{FD_VARIABLE} {value:?}")]
    NotANumber {
        /// The variable's value.
        value: String,
        /// The parse error.
        source: ParseIntError,
    },
    /// The descriptor is a standard stream, or negative.
    #[error("{FD_VARIABLE} {0}: descriptors below {MIN_DESCRIPTOR} are standard input, output and error")]
    StandardStream(RawFd),
    /// The descriptor is closed or not a socket.
    #[error("{FD_VARIABLE} {descriptor}: not a socket")]
    NotASocket {
        /// The descriptor number.
        descriptor: RawFd,
        /// The operating system's error.
        source: io::Error,
    },
    /// The descriptor is not a TCP socket.
    #[error("{FD_VARIABLE} {0}: not a TCP socket")]
    NotTcp(RawFd),
    /// Querying whether the socket is listening failed.
    #[error("{FD_VARIABLE} {descriptor}: cannot determine whether the socket is listening")]
    UnknownState {
        /// The descriptor number.
        descriptor: RawFd,
        /// The operating system's error.
        source: io::Error,
    },
    /// The socket is not in the listening state.
    #[error("{FD_VARIABLE} {0}: the socket does not listen")]
    NotListening(RawFd),
    /// The socket's local address cannot be determined.
    #[error("{FD_VARIABLE} {descriptor}: cannot determine the local address")]
    NoAddress {
        /// The descriptor number.
        descriptor: RawFd,
        /// The operating system's error.
        source: io::Error,
    },
    /// The socket's address is neither IPv4 nor IPv6.
    #[error("{FD_VARIABLE} {0}: not an IPv4 or IPv6 address")]
    NotInternet(RawFd),
}

/// A descriptor that is known to be a listener, and that this process has not taken ownership of yet.
#[derive(Debug, PartialEq, Eq)]
pub struct InheritedListener {
    descriptor: RawFd,
    /// Local address of the listener.
    pub address: SocketAddr,
}

impl InheritedListener {
    /// Checks the descriptor that `value`, the content of `$NODE_FD`, names, without taking ownership.
    ///
    /// # Errors
    /// Fails if the descriptor may not be inherited, or is not a listening TCP socket.
    pub fn check(value: &str) -> Result<InheritedListener, InheritError> {
        let descriptor = parse_descriptor(value)?;
        // SAFETY: borrowed only for the checks below. Each fails with EBADF or ENOTSOCK on a descriptor that
        // is closed or not a socket, and none modifies it.
        let borrowed = unsafe { BorrowedFd::borrow_raw(descriptor) };
        let socket = SockRef::from(&borrowed);
        let not_a_socket = |source| InheritError::NotASocket { descriptor, source };
        let socket_type = socket.r#type().map_err(not_a_socket)?;
        let domain = socket.domain().map_err(not_a_socket)?;
        if socket_type != Type::STREAM || (domain != Domain::IPV4 && domain != Domain::IPV6) {
            return Err(InheritError::NotTcp(descriptor));
        }
        let is_listener = socket.is_listener();
        if !is_listener.map_err(|source| InheritError::UnknownState { descriptor, source })? {
            return Err(InheritError::NotListening(descriptor));
        }
        let address = socket.local_addr();
        let address = address.map_err(|source| InheritError::NoAddress { descriptor, source })?;
        let address = address.as_socket().ok_or(InheritError::NotInternet(descriptor))?;
        Ok(InheritedListener { descriptor, address })
    }

    /// Takes ownership of the descriptor. Called at most once per process.
    pub fn into_listener(self) -> TcpListener {
        // SAFETY: `check` found a listening TCP socket under this number. It was inherited at startup, no
        // other code of the program owns it, and `serve` takes ownership once.
        unsafe { TcpListener::from_raw_fd(self.descriptor) }
    }
}

fn parse_descriptor(value: &str) -> Result<RawFd, InheritError> {
    let descriptor = value.trim().parse();
    let descriptor =
        descriptor.map_err(|source| InheritError::NotANumber { value: value.to_owned(), source })?;
    if descriptor < MIN_DESCRIPTOR {
        return Err(InheritError::StandardStream(descriptor));
    }
    Ok(descriptor)
}

#[cfg(test)]
#[path = "inherit_tests.rs"]
mod tests;
