//! The configuration.

use super::*;
use rstest::rstest;

/// Guards against reserves that do not shrink with the limits: of 256 descriptors, clients may need a third for
/// requests, call-backs a quarter of what is left to the front, and hosts enough for each to have a few.
#[rstest]
#[case(256, 32)]
#[case(384, 48)]
#[case(1024, 192)]
fn the_limits_are_divided_so_that_all_can_work(#[case] sockets: usize, #[case] memory_mb: usize) {
    let shares = Limits { sockets, memory_mb }.shares(0);
    assert!(shares.downstream * 3 / 4 > sockets / 3, "{}", shares.downstream);
    assert!(shares.upstream >= 64 && shares.upstream + shares.downstream + 16 <= sockets);
    assert!(shares.bytes <= (memory_mb << 20) / 2);
    let both = Limits { sockets, memory_mb }.shares(1);
    assert!(both.upstream + both.downstream + both.further + 16 <= sockets);
}
