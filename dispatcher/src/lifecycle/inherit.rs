//! The clients' listener that the platform holds and hands to each process as a descriptor (`$NODE_FD`).
//!
//! The only place of the program that may use `unsafe`: taking ownership of a descriptor by its number is unsafe
//! in Rust, as nothing proves that the number is open and nobody else owns it. What is taken is checked first, by
//! calls that cannot harm a descriptor of any kind: it has to be an IPv4 or IPv6 stream socket that listens.
#![allow(unsafe_code)]

use may::net::TcpListener;
use socket2::{Domain, SockRef, Type};
use std::net::SocketAddr;
use std::os::fd::{BorrowedFd, FromRawFd, RawFd};

/// The variable that names the descriptor.
pub const VARIABLE: &str = "NODE_FD";
/// The lowest descriptor that may be inherited: 0 to 2 are standard input, output and error.
const LOWEST: RawFd = 3;

/// Checks what `$NODE_FD` names, without taking it: the address it listens on.
pub fn check(told: &str) -> Result<(RawFd, SocketAddr), String> {
    let fd: RawFd = told.trim().parse().map_err(|e| format!("{VARIABLE} {told:?}: {e}"))?;
    if fd < LOWEST {
        return Err(format!(
            "{VARIABLE} {fd}: descriptors below {LOWEST} are standard input, output and error"
        ));
    }
    // SAFETY: borrowed for the checks below alone, each of which fails with EBADF or ENOTSOCK on a descriptor
    // that is closed or not a socket, and none of which changes it.
    let borrowed = unsafe { BorrowedFd::borrow_raw(fd) };
    let socket = SockRef::from(&borrowed);
    let bad = |what: &str, e: std::io::Error| format!("{VARIABLE} {fd}: {what}: {e}");
    let kind = socket.r#type().map_err(|e| bad("not a socket", e))?;
    let domain = socket.domain().map_err(|e| bad("not a socket", e))?;
    if kind != Type::STREAM || (domain != Domain::IPV4 && domain != Domain::IPV6) {
        return Err(format!("{VARIABLE} {fd}: not a TCP socket"));
    }
    if !socket.is_listener().map_err(|e| bad("cannot tell whether it listens", e))? {
        return Err(format!("{VARIABLE} {fd}: the socket does not listen"));
    }
    let address = socket.local_addr().map_err(|e| bad("no address", e))?;
    let address = address.as_socket().ok_or_else(|| format!("{VARIABLE} {fd}: not an internet address"))?;
    Ok((fd, address))
}

/// Takes the listener that `$NODE_FD` names, once [`check`] has found it fit; it is never taken twice.
pub fn adopt(fd: RawFd) -> TcpListener {
    // SAFETY: `check` found a listening TCP socket under this number, inherited at the start and owned by no other
    // part of the program, and `serve` adopts it once.
    unsafe { TcpListener::from_raw_fd(fd) }
}

#[cfg(test)]
mod tests {
    use super::*;
    use rstest::rstest;
    use std::os::fd::AsRawFd;

    /// Guards against adopting what is not a listener: standard descriptors, text, closed numbers, a connection.
    #[rstest]
    #[case("1")]
    #[case("three")]
    #[case("-4")]
    #[case("1000000")]
    fn what_is_no_listener_is_refused(#[case] told: &str) {
        assert!(check(told).is_err(), "{told}");
    }

    #[test]
    fn a_socket_that_does_not_listen_is_refused() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let stream = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let error = check(&stream.as_raw_fd().to_string()).unwrap_err();
        assert!(error.contains("does not listen"), "{error}");
        let udp = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
        assert!(check(&udp.as_raw_fd().to_string()).unwrap_err().contains("not a TCP socket"));
    }

    #[test]
    fn a_listener_is_found_with_its_address() {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let (fd, address) = check(&listener.as_raw_fd().to_string()).unwrap();
        assert_eq!((fd, address), (listener.as_raw_fd(), listener.local_addr().unwrap()));
    }
}
