//! Election of the members that watch the discovery service, by rendezvous hashing (D. Thaler, C. Ravishankar: *Using
//! Name-Based Mappings to Increase Hit Rates*, 1998), with at least two watchers per zone. Members that already watch are
//! preferred, so that a new member does not move a watch; members whose watch has failed recently are elected last.

use crate::{Micros, SECOND};
use compact_str::CompactString;
use std::collections::{BTreeMap, BTreeSet};

/// How long a report about a member's watch remains valid.
const REPORT_LIFETIME: Micros = 4 * SECOND;
/// The minimum number of watchers in a zone.
const MIN_WATCHERS_PER_ZONE: usize = 2;
/// The maximum number of members whose reports are stored.
const MAX_REPORTS: usize = 64;
/// The expected number of early watchers, as a fraction of the configured number of watchers.
const EARLY_WATCHER_FRACTION: f64 = 0.7;
/// The seed of the rendezvous hash.
const RENDEZVOUS_SEED: u64 = 0x7269_676e;

/// A report about the watch of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchReport<'a> {
    /// The name of the member.
    pub name: &'a str,
    /// Whether its watch is open; otherwise its requests fail.
    pub open: bool,
    /// When the member issued the report, by the local clock.
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

/// A member that can be elected as a watcher.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The member's name.
    pub name: &'a str,
    /// The member's zone.
    pub zone: &'a str,
}

/// The preference of a candidate by the state of its watch, most preferred first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Preference {
    Watching,
    Unknown,
    Failing,
}

/// Returns the rank of a member in an election; the lowest rank is elected first.
pub fn rendezvous_rank(name: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(name.as_bytes(), RENDEZVOUS_SEED)
}

/// Returns whether a member watches before the membership is established. Without communication, that selects
/// somewhat fewer than `watchers` of the `configured` members on average.
pub fn is_early_watcher(name: &str, watchers: usize, configured: usize) -> bool {
    (rendezvous_rank(name) as f64)
        < u64::MAX as f64 * EARLY_WATCHER_FRACTION * watchers as f64 / configured.max(1) as f64
}

impl Watchers {
    /// Stores a report about the watch of a member, unless a later one is stored.
    pub fn record(&mut self, name: &str, open: bool, at: Micros) {
        let is_later = self.reports.get(name).is_none_or(|report| at > report.at);
        if is_later && (self.reports.len() < MAX_REPORTS || self.reports.contains_key(name)) {
            self.reports.insert(name.into(), StoredReport { open, at });
        }
    }
    /// Returns the valid reports, ordered by name.
    pub fn recent_reports(&self, now: Micros) -> impl Iterator<Item = WatchReport<'_>> {
        let reports = self.reports.iter();
        reports
            .map(|(name, report)| WatchReport { name: name.as_str(), open: report.open, at: report.at })
            .filter(move |report| now - report.at < REPORT_LIFETIME)
    }
    /// Drops expired reports.
    pub fn expire(&mut self, now: Micros) {
        self.reports.retain(|_, report| now - report.at < REPORT_LIFETIME);
    }
    /// Returns the number of open watches.
    pub fn open_watches(&self, now: Micros) -> usize {
        self.recent_reports(now).filter(|report| report.open).count()
    }

    /// Elects `count` of these members as watchers, or more if the minimum per zone requires it.
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
        let mut ordered: Vec<Candidate<'a>> = members.to_vec();
        ordered.sort_unstable_by_key(key);
        let mut elected: BTreeSet<&'a str> = BTreeSet::new();
        let mut elected_in_zone: BTreeMap<&str, usize> = BTreeMap::new();
        for candidate in &ordered {
            let in_zone = elected_in_zone.entry(candidate.zone).or_insert(0);
            if *in_zone < MIN_WATCHERS_PER_ZONE {
                *in_zone += 1;
                elected.insert(candidate.name);
            }
        }
        for candidate in &ordered {
            if elected.len() >= count {
                break;
            }
            elected.insert(candidate.name);
        }
        elected
    }
}
