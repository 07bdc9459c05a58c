//! Dissemination of the endpoint list: gossip of changes, and anti-entropy through digests and pulls of missing changes.

use super::api::Action;
use super::{Peers, PullInFlight, REQUEST_TIMEOUT};
use crate::Micros;
use crate::codec::{self, MAX_DATAGRAM_BYTES};
use crate::lists::{ListAction, ReloadReason};
use crate::member::Member;
use crate::watchers::WatchReport;
use crate::wire::{self, Change, Digest, FrameBody, PacketBody};

/// The number of members that a change of the list is sent to.
const CHANGE_FANOUT: usize = 6;
/// The maximum number of watcher reports in a digest.
const MAX_ASKERS_IN_DIGEST: usize = 16;

impl Peers {
    /// Compares a member's digest with the local list. Pulls missing changes, and answers with a digest if the local
    /// list is later.
    pub(super) fn receive_digest(
        &mut self,
        now: Micros,
        from: &Member,
        digest: &Digest,
        actions: &mut Vec<Action>,
    ) {
        for asker in digest.askers.iter().take(MAX_ASKERS_IN_DIGEST) {
            // A report about this member is an echo of one of its own.
            if asker.name != self.me().name && asker.name.len() <= crate::member::MAX_NAME_BYTES {
                let age = i64::try_from(asker.age_us).unwrap_or(Micros::MAX / 2);
                self.watchers.record(&asker.name, asker.open, now.saturating_sub(age));
            }
        }
        let age = i64::try_from(digest.age_us).unwrap_or(Micros::MAX / 2);
        let ours = self.lists.version();
        if let Some(theirs) = &digest.version {
            let list_actions = self.lists.receive_version(now, theirs, age);
            self.perform_list_actions(now, list_actions, Some(from), actions);
        }
        let sender_is_behind = match (&digest.version, &ours) {
            (None, Some(_)) => true,
            (Some(theirs), Some(ours)) => (theirs.generation, theirs.rev) < (ours.generation, ours.rev),
            _ => false,
        };
        if sender_is_behind && !digest.answer {
            self.send_digest(now, std::slice::from_ref(from), true, actions);
        }
    }

    /// Sends the version of the local list and the latest watcher reports.
    pub(super) fn send_digest(
        &mut self,
        now: Micros,
        receivers: &[Member],
        answer: bool,
        actions: &mut Vec<Action>,
    ) {
        if receivers.is_empty() {
            return;
        }
        let age = |at: Micros| (now - at).max(0) as u64;
        let to_wire = |report: WatchReport| wire::Asker {
            name: report.name.to_owned(),
            open: report.open,
            age_us: age(report.at),
        };
        let mut askers: Vec<wire::Asker> = self.watchers.recent_reports(now).map(to_wire).collect();
        askers.sort_by_key(|asker| asker.age_us);
        askers.truncate(MAX_ASKERS_IN_DIGEST);
        let digest = Digest {
            from: Some(self.me().to_wire()),
            version: self.lists.version().filter(|_| self.lists.may_share()),
            age_us: self.lists.age(now).unwrap_or(0) as u64,
            askers,
            answer,
        };
        let packet = codec::encode_packet(self.cluster_hash, PacketBody::Digest(digest));
        for receiver in receivers {
            self.send(receiver.address, packet.clone(), actions);
        }
    }

    /// Performs the actions that result from an update by another member (`from`) or by the discovery service.
    pub(super) fn perform_list_actions(
        &mut self,
        now: Micros,
        list_actions: Vec<ListAction>,
        from: Option<&Member>,
        actions: &mut Vec<Action>,
    ) {
        for list_action in list_actions {
            match list_action {
                ListAction::Update(update) => {
                    self.statistics.versions_applied += 1;
                    self.statistics.applied_version_age = update.age;
                    actions.push(Action::UpdateHosts(update));
                }
                ListAction::Disseminate(change) => self.disseminate(now, change, actions),
                ListAction::Pull => {
                    if let Some(from) = from {
                        self.pull(now, from, actions);
                    }
                }
                ListAction::Reload(reason) => {
                    self.statistics.conflicts += u64::from(reason == ReloadReason::Conflict);
                    actions.push(Action::ReloadList(reason));
                }
            }
        }
    }

    /// Pulls the list from a member, unless another pull is in flight.
    fn pull(&mut self, now: Micros, from: &Member, actions: &mut Vec<Action>) {
        if self.pull_in_flight.is_some_and(|pull| now - pull.sent_at <= REQUEST_TIMEOUT) {
            return;
        }
        self.pull_in_flight = Some(PullInFlight { to: from.address, sent_at: now });
        let version = self.lists.version().unwrap_or_default();
        self.request(from.address, FrameBody::Pull(version), actions);
    }

    /// Sends a change to some members, or a digest if there is no change or it exceeds a datagram.
    pub(super) fn disseminate(&mut self, now: Micros, change: Option<Change>, actions: &mut Vec<Action>) {
        let receivers = self.membership.sample(CHANGE_FANOUT);
        let age_us = self.lists.age(now).unwrap_or(0) as u64;
        let packet = change.map(|change| {
            let change = Change { from: Some(self.me().to_wire()), age_us, ..change };
            codec::encode_packet(self.cluster_hash, PacketBody::Change(change))
        });
        let Some(packet) = packet.filter(|packet| packet.len() <= MAX_DATAGRAM_BYTES) else {
            self.send_digest(now, &receivers, false, actions);
            return;
        };
        for receiver in &receivers {
            self.send(receiver.address, packet.clone(), actions);
        }
    }
}
