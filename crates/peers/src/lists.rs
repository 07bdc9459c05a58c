//! The host list of one member: its version, its recent changes, and what to disseminate. Only lists of the discovery
//! service are disseminated, and those of other members whose version and digest match.

use crate::Micros;
use crate::wire::{Change, Listing, Target, Version};
use prost::Message;
use std::collections::{BTreeMap, VecDeque};

/// The limit of the changes that are stored for members that have missed some.
const MAX_HISTORY: usize = 64;
/// The limit of their size, in bytes.
const MAX_HISTORY_BYTES: usize = 64 * 1024;
/// The state of a host that is gone.
pub const GONE: u32 = 3;

/// A list, or a change of it, from the discovery service.
#[derive(Clone, Debug, Default)]
pub struct ListUpdate {
    /// Whether it is complete.
    pub complete: bool,
    /// Its revision.
    pub rev: u64,
    /// Its hosts.
    pub targets: Vec<Target>,
    /// When the request for it began, for a complete one.
    pub requested_at: Micros,
}

/// An update of the hosts of the decisions.
#[derive(Clone, Debug, PartialEq)]
pub struct HostsUpdate {
    /// Whether the list is complete; else it has only the changed hosts.
    pub complete: bool,
    /// The hosts.
    pub hosts: Vec<Target>,
    /// The age of the list.
    pub age: Micros,
}

/// What follows from an update.
#[derive(Clone, Debug, PartialEq)]
pub enum ListAction {
    /// Update the hosts of the decisions.
    Update(HostsUpdate),
    /// Disseminate the new version, with the change that leads to it if there is one.
    Disseminate(Option<Change>),
    /// Pull the missing changes from the member that has them.
    Pull,
    /// Request the complete list from the service: the current list contradicts another one.
    Reload(ReloadReason),
}

/// Why the complete list is requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReloadReason {
    /// There are two different lists of one version.
    Conflict,
    /// While the request was in flight, a later list arrived from other members.
    Overtaken,
    /// The watch belongs to an earlier instance of the service.
    EarlierService,
}

/// The position of a version in the order of versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Revision {
    generation: u64,
    rev: u64,
}

impl Revision {
    fn of(version: &Version) -> Revision {
        Revision { generation: version.generation, rev: version.rev }
    }
}

/// A list and its version.
#[derive(Clone, Debug)]
struct CurrentList {
    version: Version,
    hosts: BTreeMap<String, Target>,
    /// When the service was last heard, by this member or another.
    service_heard_at: Micros,
    /// When this version was received.
    received_at: Micros,
}

/// The current list and its recent changes.
#[derive(Clone, Debug, Default)]
pub struct Lists {
    current: Option<CurrentList>,
    /// The latest revision from our own watch, while it is open.
    watch: Option<Revision>,
    history: VecDeque<Change>,
    history_bytes: usize,
    /// A revision with two different lists: it is not disseminated until the service has sent a list.
    conflicting: Option<Revision>,
}

/// The hash of a host; the digest of a list is the sum over its hosts.
fn host_hash(target: &Target) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&target.encode_to_vec())
}

fn digest_of<'a>(hosts: impl Iterator<Item = &'a Target>) -> u64 {
    hosts.fold(0, |sum, host| sum.wrapping_add(host_hash(host)))
}

/// The hosts of a complete list by name, without those that are gone.
fn hosts_by_name(targets: &[Target]) -> BTreeMap<String, Target> {
    let present = targets.iter().filter(|target| target.state != GONE);
    present.map(|target| (target.uid.clone(), target.clone())).collect()
}

/// The actions without [`ListAction::Pull`].
fn without_pull(actions: Vec<ListAction>) -> Vec<ListAction> {
    actions.into_iter().filter(|action| *action != ListAction::Pull).collect()
}

impl Lists {
    /// The version of the current list.
    pub fn version(&self) -> Option<Version> {
        self.current.as_ref().map(|current| current.version)
    }
    /// The number of hosts.
    pub fn hosts(&self) -> usize {
        self.current.as_ref().map_or(0, |current| current.hosts.len())
    }
    /// The age of the list: how long ago the service was last heard, by this member or another.
    pub fn age(&self, now: Micros) -> Option<Micros> {
        self.current.as_ref().map(|current| (now - current.service_heard_at).max(0))
    }
    /// Whether our own watch is open.
    pub fn watches(&self) -> bool {
        self.watch.is_some()
    }

    /// Applies an update from our own request or watch.
    pub fn service_update(&mut self, now: Micros, update: ListUpdate) -> Vec<ListAction> {
        if update.complete { self.apply_complete(now, update) } else { self.apply_change(now, update) }
    }

    fn apply_complete(&mut self, now: Micros, update: ListUpdate) -> Vec<ListAction> {
        let hosts = hosts_by_name(&update.targets);
        let digest = digest_of(hosts.values());
        let generation = match &self.current {
            None => 1,
            Some(current) => {
                let same = current.version.rev == update.rev && current.version.digest == digest;
                let is_earlier =
                    update.rev < current.version.rev || (update.rev == current.version.rev && !same);
                if is_earlier && current.received_at >= update.requested_at {
                    return vec![ListAction::Reload(ReloadReason::Overtaken)];
                }
                // A later response with an earlier list: the service has restarted.
                current.version.generation + u64::from(is_earlier)
            }
        };
        self.conflicting = None;
        let version = Version { generation, rev: update.rev, digest };
        self.watch = Some(Revision::of(&version));
        let is_new = self.version() != Some(version);
        self.replace(version, hosts, now, now);
        let mut actions =
            vec![ListAction::Update(HostsUpdate { complete: true, hosts: update.targets, age: 0 })];
        if is_new {
            self.clear_history();
            actions.push(ListAction::Disseminate(None));
        }
        actions
    }

    fn apply_change(&mut self, now: Micros, update: ListUpdate) -> Vec<ListAction> {
        let Some(watch) = self.watch else {
            return vec![ListAction::Reload(ReloadReason::EarlierService)];
        };
        let Some(current) = &mut self.current else {
            return vec![ListAction::Reload(ReloadReason::EarlierService)];
        };
        let generation = watch.generation;
        if current.version.generation != generation {
            self.watch = None;
            return vec![ListAction::Reload(ReloadReason::EarlierService)];
        }
        current.service_heard_at = now;
        self.watch = Some(Revision { generation, rev: watch.rev.max(update.rev) });
        if update.rev <= current.version.rev {
            return Vec::new();
        }
        let before = current.version;
        let revision = Revision { generation, rev: update.rev };
        let after = self.apply_targets(revision, &update.targets, now, now);
        let change = Change {
            from: None,
            before: Some(before),
            after: Some(after),
            age_us: 0,
            targets: update.targets,
        };
        let targets = change.targets.clone();
        self.record_change(change.clone());
        let hosts_update = HostsUpdate { complete: false, hosts: targets, age: 0 };
        vec![ListAction::Update(hosts_update), ListAction::Disseminate(Some(change))]
    }

    /// Our own watch has been opened; it continues from the current version.
    pub fn watch_opened(&mut self, now: Micros) {
        if let Some(current) = &mut self.current {
            current.service_heard_at = now;
            self.watch = Some(Revision::of(&current.version));
        }
    }

    /// A keep-alive of our own watch.
    pub fn watch_alive(&mut self, now: Micros) {
        let Some(watch) = self.watch else { return };
        if let Some(current) = &mut self.current
            && current.version.generation == watch.generation
        {
            current.service_heard_at = now;
        }
    }

    /// Our own watch has ended.
    pub fn watch_closed(&mut self) {
        self.watch = None;
    }

    /// Compares the version of another member, whose list has this age.
    pub fn receive_version(&mut self, now: Micros, theirs: &Version, age: Micros) -> Vec<ListAction> {
        let Some(current) = &mut self.current else { return vec![ListAction::Pull] };
        if *theirs == current.version {
            current.service_heard_at = current.service_heard_at.max(now - age);
            return Vec::new();
        }
        if Revision::of(theirs) == Revision::of(&current.version) {
            return self.report_conflict(Revision::of(theirs));
        }
        if Revision::of(theirs) > Revision::of(&current.version) {
            vec![ListAction::Pull]
        } else {
            Vec::new()
        }
    }

    /// Requests the complete list, once per conflicting revision.
    fn report_conflict(&mut self, revision: Revision) -> Vec<ListAction> {
        if self.conflicting.replace(revision) == Some(revision) {
            return Vec::new();
        }
        vec![ListAction::Reload(ReloadReason::Conflict)]
    }

    /// Whether the current list may be shared with other members.
    pub fn may_share(&self) -> bool {
        self.current.as_ref().is_some_and(|current| self.conflicting != Some(Revision::of(&current.version)))
    }

    /// Applies a change from another member.
    pub fn receive_change(&mut self, now: Micros, change: Change) -> Vec<ListAction> {
        let (Some(before), Some(after)) = (change.before, change.after) else { return Vec::new() };
        let Some(current) = &self.current else { return vec![ListAction::Pull] };
        let age = change.age_us as Micros;
        if Revision::of(&after) <= Revision::of(&current.version) || before != current.version {
            return self.receive_version(now, &after, age);
        }
        let backup = current.clone();
        let reached = self.apply_targets(Revision::of(&after), &change.targets, now - age, now);
        if reached != after {
            self.current = Some(backup);
            return vec![ListAction::Pull];
        }
        let change = Change { from: None, ..change };
        self.record_change(change.clone());
        let hosts_update = HostsUpdate { complete: false, hosts: change.targets.clone(), age };
        vec![ListAction::Update(hosts_update), ListAction::Disseminate(Some(change))]
    }

    /// The response to the pull of a member: the changes since its version, or the complete list.
    pub fn answer_pull(&self, now: Micros, from: &Version) -> Option<Listing> {
        let current = self.current.as_ref().filter(|_| self.may_share())?;
        let age_us = (now - current.service_heard_at).max(0) as u64;
        let after = Some(current.version);
        let first_change = self.history.iter().position(|change| change.before.as_ref() == Some(from));
        if let Some(first) = first_change {
            let mut changed: BTreeMap<&str, &Target> = BTreeMap::new();
            for change in self.history.iter().skip(first) {
                changed.extend(change.targets.iter().map(|target| (target.uid.as_str(), target)));
            }
            let targets = changed.into_values().cloned().collect();
            return Some(Listing { before: Some(*from), after, age_us, targets });
        }
        let targets = current.hosts.values().cloned().collect();
        Some(Listing { before: None, after, age_us, targets })
    }

    /// Applies the response of a member to our pull.
    pub fn receive_listing(&mut self, now: Micros, listing: Listing) -> Vec<ListAction> {
        let Some(after) = listing.after else { return Vec::new() };
        if let Some(before) = listing.before {
            let change = Change {
                from: None,
                before: Some(before),
                after: Some(after),
                age_us: listing.age_us,
                targets: listing.targets,
            };
            // Changes that no longer apply were overtaken: the next digest shows what is missing.
            return without_pull(self.receive_change(now, change));
        }
        let age = listing.age_us as Micros;
        if let Some(current) = &self.current
            && Revision::of(&after) <= Revision::of(&current.version)
        {
            return without_pull(self.receive_version(now, &after, age));
        }
        let hosts = hosts_by_name(&listing.targets);
        if digest_of(hosts.values()) != after.digest {
            return Vec::new();
        }
        self.replace(after, hosts, now - age, now);
        self.clear_history();
        let hosts_update = HostsUpdate { complete: true, hosts: listing.targets, age };
        vec![ListAction::Update(hosts_update), ListAction::Disseminate(None)]
    }

    fn replace(
        &mut self,
        version: Version,
        hosts: BTreeMap<String, Target>,
        service_heard_at: Micros,
        now: Micros,
    ) {
        self.current = Some(CurrentList { version, hosts, service_heard_at, received_at: now });
    }

    /// Applies changed hosts to the current list, and returns its new version.
    fn apply_targets(
        &mut self,
        revision: Revision,
        targets: &[Target],
        service_heard_at: Micros,
        now: Micros,
    ) -> Version {
        let Some(current) = &mut self.current else { return Version::default() };
        let mut digest = current.version.digest;
        for target in targets {
            let former = match target.state {
                GONE => current.hosts.remove(&target.uid),
                _ => current.hosts.insert(target.uid.clone(), target.clone()),
            };
            digest = former.map_or(digest, |former| digest.wrapping_sub(host_hash(&former)));
            if target.state != GONE {
                digest = digest.wrapping_add(host_hash(target));
            }
        }
        current.version = Version { generation: revision.generation, rev: revision.rev, digest };
        current.service_heard_at = current.service_heard_at.max(service_heard_at);
        current.received_at = now;
        current.version
    }

    /// Adds a change to the history, whose oldest changes are dropped beyond its limits.
    fn record_change(&mut self, change: Change) {
        self.history_bytes += change.encoded_len();
        self.history.push_back(change);
        while self.history.len() > MAX_HISTORY || self.history_bytes > MAX_HISTORY_BYTES {
            let Some(first) = self.history.pop_front() else { break };
            self.history_bytes -= first.encoded_len();
        }
    }

    fn clear_history(&mut self) {
        self.history.clear();
        self.history_bytes = 0;
    }
}
