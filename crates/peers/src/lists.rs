//! The host list as one member holds it: which version, what follows on what, and what to pass on. Nothing is passed on
//! that did not come from the list service, or from a member that vouches for it by version and digest.

use crate::Micros;
use crate::wire::{Change, Listing, Target, Version};
use prost::Message;
use std::collections::{BTreeMap, VecDeque};

/// Changes kept for members that missed some, and their bytes.
const KEPT: usize = 64;
const KEPT_BYTES: usize = 64 * 1024;
/// A host that is gone.
pub const GONE: u32 = 3;

/// What the list service said.
#[derive(Clone, Debug, Default)]
pub struct News {
    /// It is complete.
    pub whole: bool,
    /// Its rev.
    pub rev: u64,
    /// Its lines.
    pub targets: Vec<Target>,
    /// When the call that it answers began, for a complete one.
    pub asked: Micros,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum ListAction {
    /// Tell the decisions: complete or not, the lines, and how long ago the service spoke.
    Update(bool, Vec<Target>, Micros),
    /// Pass on that there is a new version, with the change that leads to it if one does.
    Disseminate(Option<Change>),
    /// Fetch what follows from whoever said so.
    Pull,
    /// Ask the service for the whole list: what is held does not go with what was heard.
    Reload(ReloadReason),
}

/// Why the service is asked for the whole list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReloadReason {
    /// Two different lists of one version.
    Conflict,
    /// What is held came by members while the call was under way, and is later.
    Overtaken,
    /// The watch belongs to a service that has begun again since.
    Former,
}

/// A list of a version.
#[derive(Clone, Debug)]
struct Held {
    version: Version,
    lines: BTreeMap<String, Target>,
    /// When the service spoke last, as far as is known here.
    spoke: Micros,
    /// When this version came.
    came: Micros,
}

/// The list, and what led to it.
#[derive(Clone, Debug, Default)]
pub struct Lists {
    held: Option<Held>,
    /// The version up to which our own watch has told, while it is open.
    watch: Option<(u64, u64)>,
    history: VecDeque<Change>,
    bytes: usize,
    /// A version of which two lists were seen: nothing of it is passed on until the service has spoken.
    torn: Option<(u64, u64)>,
}

/// A line's part of the digest.
fn hash(target: &Target) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&target.encode_to_vec())
}

fn sum<'a>(lines: impl Iterator<Item = &'a Target>) -> u64 {
    lines.fold(0, |sum, t| sum.wrapping_add(hash(t)))
}

fn order(version: &Version) -> (u64, u64) {
    (version.generation, version.rev)
}

impl Lists {
    /// What is held.
    pub fn version(&self) -> Option<Version> {
        self.held.as_ref().map(|h| h.version)
    }
    /// How many hosts.
    pub fn hosts(&self) -> usize {
        self.held.as_ref().map_or(0, |h| h.lines.len())
    }
    /// How long ago the service spoke, as far as is known.
    pub fn age(&self, now: Micros) -> Option<Micros> {
        self.held.as_ref().map(|h| (now - h.spoke).max(0))
    }
    /// Whether our own watch is open.
    pub fn watches(&self) -> bool {
        self.watch.is_some()
    }

    /// The service has said something on our own call or watch.
    pub fn service(&mut self, now: Micros, news: News) -> Vec<ListAction> {
        if news.whole { self.service_whole(now, news) } else { self.service_change(now, news) }
    }

    fn service_whole(&mut self, now: Micros, news: News) -> Vec<ListAction> {
        let lines: BTreeMap<String, Target> =
            news.targets.iter().filter(|t| t.state != GONE).map(|t| (t.uid.clone(), t.clone())).collect();
        let digest = sum(lines.values());
        let generation = match &self.held {
            None => 1,
            Some(held) => {
                let same = held.version.rev == news.rev && held.version.digest == digest;
                let back = news.rev < held.version.rev || (news.rev == held.version.rev && !same);
                if back && held.came >= news.asked {
                    return vec![ListAction::Reload(ReloadReason::Overtaken)];
                }
                // It answers later than we held more: it has begun again.
                held.version.generation + u64::from(back)
            }
        };
        self.torn = None;
        let version = Version { generation, rev: news.rev, digest };
        self.watch = Some(order(&version));
        let new = self.version() != Some(version);
        self.hold(version, lines, now, now);
        let mut what = vec![ListAction::Update(true, news.targets, 0)];
        if new {
            self.forget();
            what.push(ListAction::Disseminate(None));
        }
        what
    }

    fn service_change(&mut self, now: Micros, news: News) -> Vec<ListAction> {
        let Some((generation, told)) = self.watch else {
            return vec![ListAction::Reload(ReloadReason::Former)];
        };
        let Some(held) = &mut self.held else { return vec![ListAction::Reload(ReloadReason::Former)] };
        if held.version.generation != generation {
            self.watch = None;
            return vec![ListAction::Reload(ReloadReason::Former)];
        }
        held.spoke = now;
        self.watch = Some((generation, told.max(news.rev)));
        if news.rev <= held.version.rev {
            return Vec::new();
        }
        let before = held.version;
        let after = self.apply(news.rev, generation, &news.targets, now, now);
        let change =
            Change { from: None, before: Some(before), after: Some(after), age_us: 0, targets: news.targets };
        let told = change.targets.clone();
        self.keep(change.clone());
        vec![ListAction::Update(false, told, 0), ListAction::Disseminate(Some(change))]
    }

    /// Our own watch was opened after what is held, without a complete list: the service goes on from there.
    pub fn opened(&mut self, now: Micros) {
        if let Some(held) = &mut self.held {
            held.spoke = now;
            self.watch = Some(order(&held.version));
        }
    }

    /// A word of our own watch without news.
    pub fn alive(&mut self, now: Micros) {
        let generation = self.watch.map(|w| w.0);
        if let Some(held) = self.held.as_mut().filter(|h| generation == Some(h.version.generation)) {
            held.spoke = now;
        }
    }

    /// Our own watch has ended.
    pub fn closed(&mut self) {
        self.watch = None;
    }

    /// A member has this version, and an asker's service spoke so long ago.
    pub fn compare(&mut self, now: Micros, theirs: &Version, age: Micros) -> Vec<ListAction> {
        let Some(held) = &mut self.held else { return vec![ListAction::Pull] };
        if *theirs == held.version {
            held.spoke = held.spoke.max(now - age);
            return Vec::new();
        }
        if order(theirs) == order(&held.version) {
            return self.tear(order(theirs));
        }
        if order(theirs) > order(&held.version) { vec![ListAction::Pull] } else { Vec::new() }
    }

    fn tear(&mut self, version: (u64, u64)) -> Vec<ListAction> {
        if self.torn.replace(version) == Some(version) {
            return Vec::new();
        }
        vec![ListAction::Reload(ReloadReason::Conflict)]
    }

    /// Whether what is held may be passed on.
    pub fn sound(&self) -> bool {
        self.held.as_ref().is_some_and(|h| self.torn != Some(order(&h.version)))
    }

    /// A member passes on a change.
    pub fn change(&mut self, now: Micros, change: Change) -> Vec<ListAction> {
        let (Some(before), Some(after)) = (change.before, change.after) else { return Vec::new() };
        let (age, Some(held)) = (change.age_us as Micros, &self.held) else { return vec![ListAction::Pull] };
        if order(&after) <= order(&held.version) || before != held.version {
            return self.compare(now, &after, age);
        }
        let undo = (held.version, held.lines.clone(), held.spoke, held.came);
        let reached = self.apply(after.rev, after.generation, &change.targets, now - age, now);
        if reached != after {
            let (version, lines, spoke, came) = undo;
            self.held = Some(Held { version, lines, spoke, came });
            return vec![ListAction::Pull];
        }
        let change = Change { from: None, ..change };
        self.keep(change.clone());
        vec![ListAction::Update(false, change.targets.clone(), age), ListAction::Disseminate(Some(change))]
    }

    /// The answer to what a member asks for: what follows on its version, or all.
    pub fn listing(&self, now: Micros, from: &Version) -> Option<Listing> {
        let held = self.held.as_ref().filter(|_| self.sound())?;
        let age_us = (now - held.spoke).max(0) as u64;
        let after = Some(held.version);
        let steps = self.history.iter().position(|c| c.before.as_ref() == Some(from));
        if let Some(first) = steps {
            let mut changed: BTreeMap<&str, &Target> = BTreeMap::new();
            for change in self.history.iter().skip(first) {
                changed.extend(change.targets.iter().map(|t| (t.uid.as_str(), t)));
            }
            let targets = changed.into_values().cloned().collect();
            return Some(Listing { before: Some(*from), after, age_us, targets });
        }
        let targets = held.lines.values().cloned().collect();
        Some(Listing { before: None, after, age_us, targets })
    }

    /// A member's answer to what we asked for.
    pub fn listed(&mut self, now: Micros, listing: Listing) -> Vec<ListAction> {
        let Some(after) = listing.after else { return Vec::new() };
        if let Some(before) = listing.before {
            let change = Change {
                from: None,
                before: Some(before),
                after: Some(after),
                age_us: listing.age_us,
                targets: listing.targets,
            };
            // What does not follow any more was overtaken: the next digest says so.
            return self.change(now, change).into_iter().filter(|d| *d != ListAction::Pull).collect();
        }
        let age = listing.age_us as Micros;
        if let Some(held) = &self.held
            && order(&after) <= order(&held.version)
        {
            return self.compare(now, &after, age).into_iter().filter(|d| *d != ListAction::Pull).collect();
        }
        let lines: BTreeMap<String, Target> =
            listing.targets.iter().filter(|t| t.state != GONE).map(|t| (t.uid.clone(), t.clone())).collect();
        if sum(lines.values()) != after.digest {
            return Vec::new();
        }
        self.hold(after, lines, now - age, now);
        self.forget();
        vec![ListAction::Update(true, listing.targets, age), ListAction::Disseminate(None)]
    }

    fn hold(&mut self, version: Version, lines: BTreeMap<String, Target>, spoke: Micros, now: Micros) {
        self.held = Some(Held { version, lines, spoke, came: now });
    }

    /// Applies lines to what is held: the version that it leads to.
    fn apply(
        &mut self,
        rev: u64,
        generation: u64,
        targets: &[Target],
        spoke: Micros,
        now: Micros,
    ) -> Version {
        let Some(held) = &mut self.held else { return Version::default() };
        let mut digest = held.version.digest;
        for target in targets {
            let former = match target.state {
                GONE => held.lines.remove(&target.uid),
                _ => held.lines.insert(target.uid.clone(), target.clone()),
            };
            digest = former.map_or(digest, |f| digest.wrapping_sub(hash(&f)));
            if target.state != GONE {
                digest = digest.wrapping_add(hash(target));
            }
        }
        held.version = Version { generation, rev, digest };
        (held.spoke, held.came) = (held.spoke.max(spoke), now);
        held.version
    }

    fn keep(&mut self, change: Change) {
        self.bytes += change.encoded_len();
        self.history.push_back(change);
        while self.history.len() > KEPT || self.bytes > KEPT_BYTES {
            let Some(first) = self.history.pop_front() else { break };
            self.bytes -= first.encoded_len();
        }
    }

    fn forget(&mut self) {
        self.history.clear();
        self.bytes = 0;
    }
}
