//! Tests for the checks on the inherited descriptor.

use super::*;
use rstest::rstest;
use std::os::fd::AsRawFd;

/// Guards against accepting a standard stream, text, a negative number or a closed descriptor as a listener.
#[rstest]
#[case("1")]
#[case("three")]
#[case("-4")]
#[case("1000000")]
fn value_that_is_not_an_open_socket_is_rejected(#[case] value: &str) {
    assert!(InheritedListener::check(value).is_err(), "{value}");
}

#[test]
fn non_listening_socket_is_rejected() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = std::net::TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let error = InheritedListener::check(&stream.as_raw_fd().to_string()).unwrap_err().to_string();
    assert!(error.contains("does not listen"), "{error}");
    let udp = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    let error = InheritedListener::check(&udp.as_raw_fd().to_string()).unwrap_err().to_string();
    assert!(error.contains("not a TCP socket"));
}

#[test]
fn listener_is_accepted_with_its_address() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let inherited = InheritedListener::check(&listener.as_raw_fd().to_string()).unwrap();
    let expected =
        InheritedListener { descriptor: listener.as_raw_fd(), address: listener.local_addr().unwrap() };
    assert_eq!(inherited, expected);
}
