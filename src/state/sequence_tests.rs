//! Tests of the order of the dispatchers and of the effective fleet size.

use super::sequence_position;
use crate::settings::Options;
use crate::test_support::*;
use std::collections::BTreeSet;

/// The ranks of all dispatchers are a permutation for any rotation, and the positions of a few consecutive
/// indices lie far apart.
#[test]
fn ranks_are_a_permutation_of_all_dispatchers() {
    for fleet_size in [1, 2, 3, 41, 80, 100, 300, 1024] {
        for rotation in [0, 7, u64::MAX] {
            let rank = |index| member(index, fleet_size, dispatcher(0)).sequence_rank(rotation);
            let ranks: BTreeSet<u64> = (0..fleet_size).map(rank).collect();
            let expected = (fleet_size as usize, Some(u64::from(fleet_size) - 1));
            assert_eq!((ranks.len(), ranks.last().copied()), expected);
        }
    }
    let positions: BTreeSet<u64> = (0..8).map(|index| sequence_position(index, 80)).collect();
    let gaps = positions.iter().zip(positions.iter().skip(1)).map(|(lower, upper)| upper - lower);
    assert!(gaps.min() >= Some(3), "{positions:?}");
}

/// Guards against a stated fleet size that is too small. With five times as many dispatchers running as
/// stated (rig scenario `small-told`), workers were sent 1.6 times their slow-start budget. An index beyond
/// the stated size shows that the fleet is larger.
#[test]
fn an_index_beyond_the_fleet_size_shows_a_larger_fleet() {
    let fleet_size = |stated: u32, index: u32| {
        let options = Options { fleet_size: stated, me: index, ..Default::default() };
        options.site().map(|site| site.settings.fleet_size)
    };
    assert_eq!([fleet_size(2, 1), fleet_size(2, 7), fleet_size(9, 7)], [Ok(2), Ok(8), Ok(9)]);
    assert_eq!(fleet_size(0, 7), Ok(0), "rejected later by Settings::check");
}
