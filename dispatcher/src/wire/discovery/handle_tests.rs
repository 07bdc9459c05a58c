//! Tests of the moves of the discovery service.

use super::*;
use may::sync::mpsc::channel;
use rstest::rstest;

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
