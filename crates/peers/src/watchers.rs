//! Which members watch the discovery service: a few, by rendezvous hashing (D. Thaler, C. Ravishankar: *Using Name-Based
//! Mappings to Increase Hit Rates*, 1998), at least two per zone. A member that watches already continues, so that a new
//! member moves no watch; a member whose watch fails is left out for a while.

use crate::{Micros, SECOND};
use compact_str::CompactString;
use std::collections::{BTreeMap, BTreeSet};

/// How long a report about a member's watch is valid.
const REPORT_LIFETIME: Micros = 4 * SECOND;
/// The fewest watchers in a zone.
const MIN_WATCHERS_PER_ZONE: usize = 2;
/// The limit of members whose reports are stored.
const MAX_REPORTS: usize = 64;
/// The mean number of early watchers, as a fraction of the number of watchers.
const EARLY_FRACTION: f64 = 0.7;
/// The seed of the rendezvous hash.
const RANK_SEED: u64 = 0x7269_676e;

/// Whether the watch of a member is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchReport<'a> {
    /// The name of the member.
    pub name: &'a str,
    /// Whether its watch is open; else it fails.
    pub open: bool,
    /// When the member reported that, on our own clock.
    pub at: Micros,
}

/// The stored part of a [`WatchReport`].
#[derive(Clone, Copy, Debug)]
struct StoredReport {
    open: bool,
    at: Micros,
}

/// The latest reports about the watches of members.
#[derive(Clone, Debug, Default)]
pub struct Watchers {
    reports: BTreeMap<CompactString, StoredReport>,
}

/// A member for the election.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its zone.
    pub zone: &'a str,
}

/// The preference of a candidate by its watch, in this order.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Preference {
    Watching,
    Unknown,
    Failing,
}

/// The rank of a member in an election: the lowest goes first.
pub fn rendezvous_rank(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), RANK_SEED)
}

/// Whether a member watches before the members are known to one another: of `configured` members about as many as
/// `watchers` do so, without any communication.
pub fn is_early_watcher(name: &str, watchers: usize, configured: usize) -> bool {
    (rendezvous_rank(name) as f64)
        < u64::MAX as f64 * EARLY_FRACTION * watchers as f64 / configured.max(1) as f64
}

impl Watchers {
    /// Stores a report about the watch of a member, unless a later one is known.
    pub fn record(&mut self, name: &str, open: bool, at: Micros) {
        let is_later = self.reports.get(name).is_none_or(|report| at > report.at);
        if is_later && (self.reports.len() < MAX_REPORTS || self.reports.contains_key(name)) {
            self.reports.insert(name.into(), StoredReport { open, at });
        }
    }
    /// The valid reports, by name.
    pub fn recent_reports(&self, now: Micros) -> impl Iterator<Item = WatchReport<'_>> {
        let reports = self.reports.iter();
        reports
            .map(|(name, report)| WatchReport { name: name.as_str(), open: report.open, at: report.at })
            .filter(move |report| now - report.at < REPORT_LIFETIME)
    }
    /// Drops reports that are no longer valid.
    pub fn expire(&mut self, now: Micros) {
        self.reports.retain(|_, report| now - report.at < REPORT_LIFETIME);
    }
    /// The number of open watches.
    pub fn open_watches(&self, now: Micros) -> usize {
        self.recent_reports(now).filter(|report| report.open).count()
    }

    /// Elects `count` of these members as watchers, or more if the zones need more.
    pub fn elect<'a>(&self, now: Micros, members: &[Candidate<'a>], count: usize) -> BTreeSet<&'a str> {
        let open: BTreeMap<&str, bool> =
            self.recent_reports(now).map(|report| (report.name, report.open)).collect();
        let key = |candidate: &Candidate<'a>| {
            let preference = match open.get(candidate.name) {
                Some(true) => Preference::Watching,
                None => Preference::Unknown,
                Some(false) => Preference::Failing,
            };
            (preference, rendezvous_rank(candidate.name), candidate.name)
        };
        let mut order: Vec<Candidate<'a>> = members.to_vec();
        order.sort_unstable_by_key(key);
        let mut elected: BTreeSet<&'a str> = BTreeSet::new();
        let mut elected_in_zone: BTreeMap<&str, usize> = BTreeMap::new();
        for candidate in &order {
            let in_zone = elected_in_zone.entry(candidate.zone).or_insert(0);
            if *in_zone < MIN_WATCHERS_PER_ZONE {
                *in_zone += 1;
                elected.insert(candidate.name);
            }
        }
        for candidate in &order {
            if elected.len() >= count {
                break;
            }
            elected.insert(candidate.name);
        }
        elected
    }
}
