//! Tests of the moves of the discovery service.

use super::*;
use crate::core::Inbox;
use crate::wire::discovery::ListBarrier;
use may::sync::mpsc::channel;
use rstest::rstest;

/// Guards against an attempt that is sent after a drain (issue 53), while a list waits to be read behind other work; and against
/// attempts that wait for bytes on a connection that has ended.
#[rstest]
#[case::read(true)]
#[case::ended(false)]
fn attempts_wait_for_a_list_until_it_is_read(#[case] is_read: bool) {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let handle = DiscoveryHandle::new(address, channel().0, false);
    let deadline = clock::now() + 20_000_000;
    let socket = Socket::connect(address, deadline).expect("a connection");
    assert!(handle.register_connection(handle.location(), &socket));
    let barrier = ListBarrier::new(handle.clone(), Inbox::new().0);
    barrier.wait(deadline);
    let (mut service, _) = listener.accept().expect("a connection");
    std::io::Write::write_all(&mut service, b"{").expect("written");
    while !handle.has_unread_bytes() {
        std::thread::yield_now();
    }
    let short = clock::now() + 100_000;
    barrier.wait(short);
    assert!(clock::now() >= short, "nothing waited for unread bytes");
    if is_read {
        handle.record_read();
        socket.discard_received(1);
    } else {
        handle.forget_connection();
    }
    barrier.wait(deadline);
    assert!(clock::now() < deadline);
}

/// Guards against requests to workers that drain after new configurations in quick succession (issue 53): of two moves while the
/// watcher was connecting only the second one was recorded, and changes count as notified 4 s after the first one.
#[rstest]
fn of_moves_in_a_row_the_first_one_counts() {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let handle = DiscoveryHandle::new(address(1), channel().0, false);
    assert_eq!(handle.take_moves().1, None);
    let before = clock::now();
    assert!(handle.move_to(address(2)));
    let between = clock::now();
    while clock::now() == between {
        std::thread::yield_now();
    }
    assert!(handle.move_to(address(3)));
    let (location, moved_at) = handle.take_moves();
    assert_eq!((location.address, location.generation), (address(3), 2));
    assert!((before..=between).contains(&moved_at.expect("a move")));
    assert_eq!(handle.take_moves().1, None);
}
