//! Placement of jobs: this dispatcher's order of preference of the workers, and the candidates of the latest
//! pass.

use super::estimates::DecayingMean;
use super::sequence::mix_bits;
use crate::api::{KeyId, Micros};

/// Time constant with which start delays decay, in microseconds.
pub(crate) const START_DELAY_TIME_CONSTANT_US: f64 = 4e6;

/// Index of the workers of this dispatcher's zone in [`Placement::order`].
pub(crate) const LOCAL: usize = 0;
/// Index of the workers of other zones in [`Placement::order`].
pub(crate) const REMOTE: usize = 1;
/// Index of the workers that may be warming up in [`Placement::order`].
pub(crate) const WARMING_UP: usize = 2;

/// A ready worker on the hash ring, which is ordered by the hashes of worker ids and equal at all
/// dispatchers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RingEntry {
    pub(crate) hash: u64,
    /// Index of the worker.
    pub(crate) worker: usize,
}

/// Estimates held constant during a pass.
#[derive(Default)]
pub(crate) struct PassConditions {
    /// Mean run time in microseconds.
    pub(crate) mean_run_time: f64,
    /// Start delay in microseconds, by locality tier, at workers that other dispatchers load.
    pub(crate) start_delays: [f64; 3],
}

/// The order of preference of the workers, and the candidates of the latest pass.
pub(crate) struct Placement {
    /// The ready workers in the order of their hashes.
    pub(crate) hash_ring: Vec<RingEntry>,
    /// Indices of the ready workers in this dispatcher's own zone, of those in other zones (both in its order
    /// of preference), and of those that may be warming up.
    pub(crate) order: [Vec<usize>; 3],
    /// Indices of the workers that the latest pass considers.
    pub(crate) candidates: Vec<usize>,
    /// Highest success probability among the candidates.
    pub(crate) best_success: f64,
    /// Start delay in microseconds, by locality tier, at workers where this dispatcher holds nothing.
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

    /// The two workers that probably cache the data of a key, by rendezvous hashing. All dispatchers pick the
    /// same ones, so each finds the data that was fetched for the others.
    pub(crate) fn cache_locations(&self, key: Option<KeyId>) -> [Option<usize>; 2] {
        let Some(key) = key else { return [None; 2] };
        let rank = |entry: &&RingEntry| mix_bits(key.0 ^ entry.hash);
        let first = self.hash_ring.iter().max_by_key(rank).map(|entry| entry.worker);
        let others = self.hash_ring.iter().filter(|entry| Some(entry.worker) != first);
        let second = others.max_by_key(rank).map(|entry| entry.worker);
        [first, second]
    }

    /// The candidates, followed by the workers that have probably cached a job's data.
    pub(crate) fn workers_for(&self, cached_on: [Option<usize>; 2]) -> impl Iterator<Item = usize> {
        let others = cached_on.into_iter().flatten().filter(|index| !self.candidates.contains(index));
        self.candidates.iter().copied().chain(others)
    }

    /// Computes the start delays and takes the mean run time for a pass.
    pub(crate) fn begin_pass(&mut self, mean_run_time: f64, now: Micros) {
        let start_delays = self.start_delays.each_ref();
        self.pass = PassConditions {
            mean_run_time,
            start_delays: start_delays.map(|delay| delay.pooled(0.0, now, START_DELAY_TIME_CONSTANT_US)),
        };
    }
}
