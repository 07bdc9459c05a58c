//! The clients' listener that the platform holds and hands to each process as a descriptor (`$NODE_FD`).
//!
//! The only place of the program that may use `unsafe`: taking ownership of a descriptor by its number is unsafe
//! in Rust, as nothing proves that the number is open and nobody else owns it. What is taken is checked first, by
//! calls that cannot harm a descriptor of any kind: it has to be an IPv4 or IPv6 stream socket that listens.
#![allow(unsafe_code)]

use may::net::TcpListener;
use socket2::{Domain, SockRef, Type};
use std::io;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::os::fd::{BorrowedFd, FromRawFd, RawFd};
use thiserror::Error;

/// The variable that names the descriptor.
pub const VARIABLE: &str = "NODE_FD";
/// The lowest descriptor that may be inherited: 0 to 2 are standard input, output and error.
const MIN_DESCRIPTOR: RawFd = 3;

/// Why the descriptor is not adopted.
#[derive(Debug, Error)]
pub enum InheritError {
    /// The variable is no number.
    #[error("{VARIABLE} {value:?}")]
    NotANumber {
        /// Its value.
        value: String,
        /// Why not.
        source: ParseIntError,
    },
    /// It is a standard stream, or negative.
    #[error("{VARIABLE} {0}: descriptors below {MIN_DESCRIPTOR} are standard input, output and error")]
    StandardStream(RawFd),
    /// It is closed, or no socket.
    #[error("{VARIABLE} {descriptor}: not a socket")]
    NotASocket {
        /// The descriptor.
        descriptor: RawFd,
        /// What the system says.
        source: io::Error,
    },
    /// It is no TCP socket.
    #[error("{VARIABLE} {0}: not a TCP socket")]
    NotTcp(RawFd),
    /// The system does not say whether it listens.
    #[error("{VARIABLE} {descriptor}: cannot tell whether it listens")]
    UnknownState {
        /// The descriptor.
        descriptor: RawFd,
        /// What the system says.
        source: io::Error,
    },
    /// It does not listen.
    #[error("{VARIABLE} {0}: the socket does not listen")]
    NotListening(RawFd),
    /// It has no address.
    #[error("{VARIABLE} {descriptor}: no address")]
    NoAddress {
        /// The descriptor.
        descriptor: RawFd,
        /// What the system says.
        source: io::Error,
    },
    /// Its address is none of IPv4 or IPv6.
    #[error("{VARIABLE} {0}: not an internet address")]
    NotInternet(RawFd),
}

/// A descriptor that is a listener, not adopted yet.
#[derive(Debug, PartialEq, Eq)]
pub struct InheritedListener {
    descriptor: RawFd,
    /// The address it listens on.
    pub address: SocketAddr,
}

impl InheritedListener {
    /// Checks the descriptor that `$NODE_FD` names, without taking it.
    ///
    /// # Errors
    /// It is no descriptor that may be inherited, or no TCP socket that listens.
    pub fn check(value: &str) -> Result<InheritedListener, InheritError> {
        let descriptor = parse_descriptor(value)?;
        // SAFETY: borrowed for the checks below alone, each of which fails with EBADF or ENOTSOCK on a descriptor
        // that is closed or not a socket, and none of which changes it.
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

    /// Takes the listener, once in the life of the process.
    pub fn adopt(self) -> TcpListener {
        // SAFETY: `check` found a listening TCP socket under this number, inherited at the start and owned by no other
        // part of the program, and `serve` adopts it once.
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
