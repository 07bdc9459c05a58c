//! A low-discrepancy order of all dispatchers, and a hash for ids.

use roselock_discovery_client::poll_schedule::GOLDEN_RATIO_CONJUGATE;

/// Hashes an id with the finaliser of SplitMix64.
pub(crate) fn mix_bits(id: u64) -> u64 {
    let mixed = (id ^ (id >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn are_coprime(first: u64, second: u64) -> bool {
    let mut divisor = first;
    let mut remainder = second;
    while remainder != 0 {
        let next = divisor % remainder;
        divisor = remainder;
        remainder = next;
    }
    divisor == 1
}

/// The position of dispatcher `index` in an order of all `fleet_size` dispatchers. The order is a permutation
/// that places any few consecutive indices far apart: position i is a multiple, modulo `fleet_size`, of a
/// number that is coprime to `fleet_size` and close to its golden section.
pub(crate) fn sequence_position(index: u32, fleet_size: u32) -> u64 {
    let index = u64::from(index);
    let fleet_size = u64::from(fleet_size.max(1));
    let golden_section = ((fleet_size as f64 * GOLDEN_RATIO_CONJUGATE) as u64).max(1);
    let mut steps = golden_section..=fleet_size;
    let step = steps.find(|step| are_coprime(*step, fleet_size)).unwrap_or(1);
    index % fleet_size * step % fleet_size
}

#[cfg(test)]
#[path = "sequence_tests.rs"]
mod tests;
