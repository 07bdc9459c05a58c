//! The endpoint list of one member: its version, its recent changes, and what to disseminate. A list is disseminated only
//! if it comes from the discovery service, or from another member with a matching version and digest.

use crate::Micros;
use crate::wire::{Change, Listing, Target, Version};
use prost::Message;
use std::collections::{BTreeMap, VecDeque};

/// The maximum number of recent changes that are stored for members that have missed some.
const MAX_HISTORY_CHANGES: usize = 64;
/// The maximum encoded size of the stored changes, in bytes.
const MAX_HISTORY_BYTES: usize = 64 * 1024;
/// The state of a host that has been removed from the list.
pub const GONE: u32 = 3;

/// A complete list, or a change of the list, from the discovery service.
#[derive(Clone, Debug, Default)]
pub struct ListUpdate {
    /// Whether the list is complete; otherwise it contains only the changed hosts.
    pub complete: bool,
    /// The revision of the list after this update.
    pub rev: u64,
    /// All hosts, or the changed ones.
    pub targets: Vec<Target>,
    /// When the request was sent, for a complete list.
    pub requested_at: Micros,
}

/// An update of the hosts that the decision logic uses.
#[derive(Clone, Debug, PartialEq)]
pub struct HostsUpdate {
    /// Whether the list is complete; otherwise it contains only the changed hosts.
    pub complete: bool,
    /// All hosts, or the changed ones.
    pub hosts: Vec<Target>,
    /// The age of the list.
    pub age: Micros,
}

/// An action that results from an update.
#[derive(Clone, Debug, PartialEq)]
pub enum ListAction {
    /// Update the hosts that the decision logic uses.
    Update(HostsUpdate),
    /// Disseminate the new version, with the change that leads to it unless the list was replaced.
    Disseminate(Option<Change>),
    /// Pull the missing changes from the member that has them.
    Pull,
    /// Request the complete list from the discovery service.
    Reload(ReloadReason),
}

/// Why the complete list is requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReloadReason {
    /// Two different lists have the same revision.
    Conflict,
    /// A later list arrived from other members while the request was in flight.
    StaleResponse,
    /// The watch belongs to an instance of the service from before a restart.
    ServiceRestarted,
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
    /// When this member or another one last received a message from the discovery service.
    last_service_contact_at: Micros,
    /// When this version was received.
    received_at: Micros,
}

/// The current list and its recent changes.
#[derive(Clone, Debug, Default)]
pub struct Lists {
    current: Option<CurrentList>,
    /// The latest revision received on this member's own watch; none while the watch is closed.
    watched_revision: Option<Revision>,
    history: VecDeque<Change>,
    history_bytes: usize,
    /// A revision with two different lists, which is not disseminated until the service has sent a complete list.
    conflicting_revision: Option<Revision>,
}

/// Hashes a host. The digest of a list is the wrapping sum of the hashes of its hosts.
fn host_hash(target: &Target) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&target.encode_to_vec())
}

fn digest_of<'a>(hosts: impl Iterator<Item = &'a Target>) -> u64 {
    hosts.fold(0, |sum, host| sum.wrapping_add(host_hash(host)))
}

/// Maps the hosts of a complete list by name, without removed ones.
fn hosts_by_name(targets: &[Target]) -> BTreeMap<String, Target> {
    let present = targets.iter().filter(|target| target.state != GONE);
    present.map(|target| (target.uid.clone(), target.clone())).collect()
}

/// Removes [`ListAction::Pull`] from the actions.
fn without_pull(actions: Vec<ListAction>) -> Vec<ListAction> {
    actions.into_iter().filter(|action| *action != ListAction::Pull).collect()
}

impl Lists {
    /// Returns the version of the current list.
    pub fn version(&self) -> Option<Version> {
        self.current.as_ref().map(|current| current.version)
    }
    /// Returns the number of hosts in the current list.
    pub fn host_count(&self) -> usize {
        self.current.as_ref().map_or(0, |current| current.hosts.len())
    }
    /// Returns the time since this member or another one last received a message from the discovery service.
    pub fn age(&self, now: Micros) -> Option<Micros> {
        self.current.as_ref().map(|current| (now - current.last_service_contact_at).max(0))
    }
    /// Returns whether this member's own watch is open.
    pub fn is_watching(&self) -> bool {
        self.watched_revision.is_some()
    }

    /// Applies an update from this member's own request or watch.
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
                    return vec![ListAction::Reload(ReloadReason::StaleResponse)];
                }
                // A later response with a lower revision, or with other hosts of the same revision, shows that the service has
                // restarted.
                current.version.generation + u64::from(is_earlier)
            }
        };
        self.conflicting_revision = None;
        let version = Version { generation, rev: update.rev, digest };
        self.watched_revision = Some(Revision::of(&version));
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
        let Some(watch) = self.watched_revision else {
            return vec![ListAction::Reload(ReloadReason::ServiceRestarted)];
        };
        let Some(current) = &mut self.current else {
            return vec![ListAction::Reload(ReloadReason::ServiceRestarted)];
        };
        let generation = watch.generation;
        if current.version.generation != generation {
            self.watched_revision = None;
            return vec![ListAction::Reload(ReloadReason::ServiceRestarted)];
        }
        current.last_service_contact_at = now;
        self.watched_revision = Some(Revision { generation, rev: watch.rev.max(update.rev) });
        if update.rev <= current.version.rev {
            return Vec::new();
        }
        let before = current.version;
        let revision = Revision { generation, rev: update.rev };
        let after = self.apply_changed_hosts(revision, &update.targets, now, now);
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

    /// Records that this member's own watch has been opened; it continues from the current version.
    pub fn watch_opened(&mut self, now: Micros) {
        if let Some(current) = &mut self.current {
            current.last_service_contact_at = now;
            self.watched_revision = Some(Revision::of(&current.version));
        }
    }

    /// Records a keep-alive message on this member's own watch.
    pub fn receive_keep_alive(&mut self, now: Micros) {
        let Some(watch) = self.watched_revision else { return };
        if let Some(current) = &mut self.current
            && current.version.generation == watch.generation
        {
            current.last_service_contact_at = now;
        }
    }

    /// Records that this member's own watch has ended.
    pub fn watch_closed(&mut self) {
        self.watched_revision = None;
    }

    /// Compares the version of another member's list, which has this age, with the current one.
    pub fn receive_version(&mut self, now: Micros, theirs: &Version, age: Micros) -> Vec<ListAction> {
        let Some(current) = &mut self.current else { return vec![ListAction::Pull] };
        if *theirs == current.version {
            current.last_service_contact_at = current.last_service_contact_at.max(now - age);
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

    /// Returns a request for the complete list, once per conflicting revision.
    fn report_conflict(&mut self, revision: Revision) -> Vec<ListAction> {
        if self.conflicting_revision.replace(revision) == Some(revision) {
            return Vec::new();
        }
        vec![ListAction::Reload(ReloadReason::Conflict)]
    }

    /// Returns whether the current list may be shared with other members.
    pub fn may_share(&self) -> bool {
        self.current
            .as_ref()
            .is_some_and(|current| self.conflicting_revision != Some(Revision::of(&current.version)))
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
        let resulting_version =
            self.apply_changed_hosts(Revision::of(&after), &change.targets, now - age, now);
        if resulting_version != after {
            self.current = Some(backup);
            return vec![ListAction::Pull];
        }
        let change = Change { from: None, ..change };
        self.record_change(change.clone());
        let hosts_update = HostsUpdate { complete: false, hosts: change.targets.clone(), age };
        vec![ListAction::Update(hosts_update), ListAction::Disseminate(Some(change))]
    }

    /// Returns the response to a member's pull: the changes since its version, or the complete list if the history
    /// does not reach that far back; none if there is no list that may be shared.
    pub fn answer_pull(&self, now: Micros, from: &Version) -> Option<Listing> {
        let current = self.current.as_ref().filter(|_| self.may_share())?;
        let age_us = (now - current.last_service_contact_at).max(0) as u64;
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

    /// Applies the response to a pull by this member.
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
            // Changes that do not apply have been superseded. Missing changes are pulled after the next digest.
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
        last_service_contact_at: Micros,
        now: Micros,
    ) {
        self.current = Some(CurrentList { version, hosts, last_service_contact_at, received_at: now });
    }

    /// Applies changed hosts to the current list, and returns its new version.
    fn apply_changed_hosts(
        &mut self,
        revision: Revision,
        targets: &[Target],
        last_service_contact_at: Micros,
        now: Micros,
    ) -> Version {
        let Some(current) = &mut self.current else { return Version::default() };
        let mut digest = current.version.digest;
        for target in targets {
            let replaced = match target.state {
                GONE => current.hosts.remove(&target.uid),
                _ => current.hosts.insert(target.uid.clone(), target.clone()),
            };
            digest = replaced.map_or(digest, |replaced| digest.wrapping_sub(host_hash(&replaced)));
            if target.state != GONE {
                digest = digest.wrapping_add(host_hash(target));
            }
        }
        current.version = Version { generation: revision.generation, rev: revision.rev, digest };
        current.last_service_contact_at = current.last_service_contact_at.max(last_service_contact_at);
        current.received_at = now;
        current.version
    }

    /// Adds a change to the history, and drops the oldest changes beyond its limits.
    fn record_change(&mut self, change: Change) {
        self.history_bytes += change.encoded_len();
        self.history.push_back(change);
        while self.history.len() > MAX_HISTORY_CHANGES || self.history_bytes > MAX_HISTORY_BYTES {
            let Some(first) = self.history.pop_front() else { break };
            self.history_bytes -= first.encoded_len();
        }
    }

    fn clear_history(&mut self) {
        self.history.clear();
        self.history_bytes = 0;
    }
}
