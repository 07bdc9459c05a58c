//! Where jobs may go: the order in which this dispatcher prefers workers, and the candidates of the latest
//! pass.

use super::estimates::DecayingMean;
use super::sequence::mix_bits;
use crate::api::{KeyId, Micros};

/// Time constant of start delays, in microseconds.
pub(crate) const START_DELAY_MEMORY: f64 = 4e6;

/// Index of the workers of our zone in [`Placement::order`].
pub(crate) const LOCAL: usize = 0;
/// Index of the workers of other zones in [`Placement::order`].
pub(crate) const REMOTE: usize = 1;
/// Index of the workers that may be warming up in [`Placement::order`].
pub(crate) const WARMING_UP: usize = 2;

/// A ready worker in the order of the hashes of their ids, the same at all dispatchers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RingEntry {
    pub(crate) hash: u64,
    /// Index of the worker.
    pub(crate) worker: usize,
}

/// What one pass takes as given.
#[derive(Default)]
pub(crate) struct PassConditions {
    /// Mean run time in microseconds.
    pub(crate) mean_run_time: f64,
    /// Microseconds from send to start at the workers of each locality tier that others fill.
    pub(crate) start_delays: [f64; 3],
}

/// The order of the workers and the candidates of the latest pass.
pub(crate) struct Placement {
    /// The ready workers.
    pub(crate) hash_ring: Vec<RingEntry>,
    /// The ready workers of our zone and of others in our order, and those that may be warming up.
    pub(crate) order: [Vec<usize>; 3],
    /// The workers that the latest pass looks at.
    pub(crate) candidates: Vec<usize>,
    /// Highest probability of success among the candidates.
    pub(crate) best_success: f64,
    /// Microseconds from send to start at the workers of each locality tier where we hold nothing.
    pub(crate) start_delays: [DecayingMean; 3],
    pub(crate) pass: PassConditions,
}

impl Placement {
    pub(crate) fn new() -> Placement {
        Placement {
            hash_ring: Vec::new(),
            order: Default::default(),
            candidates: Vec::new(),
            best_success: 1.0,
            start_delays: Default::default(),
            pass: PassConditions::default(),
        }
    }

    /// Two workers drawn by one hash of the key at all dispatchers, so that each finds the data that others
    /// left there.
    pub(crate) fn cache_locations(&self, key: Option<KeyId>) -> [Option<usize>; 2] {
        let Some(key) = key else { return [None; 2] };
        let rank = |entry: &&RingEntry| mix_bits(key.0 ^ entry.hash);
        let first = self.hash_ring.iter().max_by_key(rank).map(|entry| entry.worker);
        let others = self.hash_ring.iter().filter(|entry| Some(entry.worker) != first);
        let second = others.max_by_key(rank).map(|entry| entry.worker);
        [first, second]
    }

    /// The candidates, then the workers where a job's data is likely cached.
    pub(crate) fn workers_for(&self, cached_on: [Option<usize>; 2]) -> impl Iterator<Item = usize> {
        let others = cached_on.into_iter().flatten().filter(|index| !self.candidates.contains(index));
        self.candidates.iter().copied().chain(others)
    }

    /// Fixes the start delays and the mean run time for a pass.
    pub(crate) fn begin_pass(&mut self, mean_run_time: f64, now: Micros) {
        let start_delays = self.start_delays.each_ref();
        self.pass = PassConditions {
            mean_run_time,
            start_delays: start_delays.map(|delay| delay.pooled(0.0, now, START_DELAY_MEMORY)),
        };
    }
}
