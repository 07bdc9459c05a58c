//! The order of the dispatchers, and the size of their fleet.

use super::sequence_position;
use crate::settings::Options;
use crate::test_support::*;
use std::collections::BTreeSet;

/// The ranks of dispatchers are an order of all, and few of them, with consecutive indices, lie apart.
#[test]
fn ranks_are_an_order_of_all_dispatchers() {
    for fleet_size in [1, 2, 3, 41, 80, 100, 300, 1024] {
        for rotation in [0, 7, u64::MAX] {
            let rank = |index| member(index, fleet_size, dispatcher(0)).sequence_rank(rotation);
            let ranks: BTreeSet<u64> = (0..fleet_size).map(rank).collect();
            let expected = (fleet_size as usize, Some(u64::from(fleet_size) - 1));
            assert_eq!((ranks.len(), ranks.last().copied()), expected);
        }
    }
    let tenth: BTreeSet<u64> = (0..8).map(|index| sequence_position(index, 80)).collect();
    let gaps = tenth.iter().zip(tenth.iter().skip(1)).map(|(lower, upper)| upper - lower);
    assert!(gaps.min() >= Some(3), "{tenth:?}");
}

/// Found as workers that were sent 1.6 of their slow-start budget where five times as many dispatchers were
/// up as the settings said (rig, `small-told`): an index beyond that number shows that there are more.
#[test]
fn an_index_beyond_the_fleet_size_shows_a_larger_fleet() {
    let fleet_size = |stated: u32, index: u32| {
        let options = Options { fleet_size: stated, me: index, ..Default::default() };
        options.site().map(|site| site.settings.fleet_size)
    };
    assert_eq!([fleet_size(2, 1), fleet_size(2, 7), fleet_size(9, 7)], [Ok(2), Ok(8), Ok(9)]);
    assert_eq!(fleet_size(0, 7), Ok(0), "left to the check of the settings");
}
