//! Suspicions on their way to the suspect, also through members of other zones: a partition between two zones is no
//! failure of a member.

use super::Peers;
use super::api::Action;
use crate::codec;
use crate::member::Member;
use crate::membership;
use crate::wire::{self, PacketBody};
use crate::{Micros, SECOND};
use std::net::SocketAddr;

/// Through how many other members a suspicion reaches the suspect, and among how many chosen at random they are sought.
const SUSPICION_RELAYS: usize = 3;
const RELAY_CANDIDATES: usize = 12;
/// How long a relayed suspicion is remembered, and how many are.
const RELAY_MEMORY: Micros = SECOND;
const MAX_RELAYED_SUSPICIONS: usize = 64;

/// A suspicion that we passed on to the suspect, and who asked for it.
pub(super) struct RelayedSuspicion {
    suspect: SocketAddr,
    asker: SocketAddr,
    at: Micros,
}

impl Peers {
    /// A member was heard: tells those that had us relay a suspicion to it.
    pub(super) fn member_heard(&mut self, now: Micros, source: wire::MemberState, actions: &mut Vec<Action>) {
        let Some(at) = source.member.as_ref().and_then(Member::from_wire).map(|m| m.address) else { return };
        self.membership.heard_from(at);
        self.relayed_suspicions.retain(|relayed| now - relayed.at < RELAY_MEMORY);
        let relayed = std::mem::take(&mut self.relayed_suspicions);
        let (heard, others): (Vec<_>, Vec<_>) =
            relayed.into_iter().partition(|relayed| relayed.suspect == at);
        self.relayed_suspicions = others;
        for relayed in heard {
            self.send(
                relayed.asker,
                codec::encode_packet(self.cluster_hash, PacketBody::Heard(source.clone())),
                actions,
            );
        }
    }

    /// Tells a suspect of our suspicion, directly and through members that are, if possible, of other zones than both.
    pub(super) fn notify_suspect(&mut self, suspect: &Member, incarnation: u32, actions: &mut Vec<Action>) {
        let (by, member) = (Some(self.me().to_wire()), Some(suspect.to_wire()));
        let packet = |through| {
            let word = wire::Suspected { by: by.clone(), member: member.clone(), incarnation, through };
            codec::encode_packet(self.cluster_hash, PacketBody::Suspected(word))
        };
        let (direct, through) = (packet(false), packet(true));
        let zone = self.me().zone.clone();
        let mut others = self.membership.sample(RELAY_CANDIDATES);
        others.retain(|m| m != suspect);
        others.sort_by_key(|m| (m.zone == zone) as u8 + (m.zone == suspect.zone) as u8);
        self.send(suspect.address, direct, actions);
        others.iter().take(SUSPICION_RELAYS).for_each(|m| self.send(m.address, through.clone(), actions));
    }

    /// A suspicion of us is refuted; one that is to be relayed is passed on to the suspect, if that is a live member.
    pub(super) fn receive_suspicion(
        &mut self,
        now: Micros,
        word: &wire::Suspected,
        out: &mut membership::Output,
        actions: &mut Vec<Action>,
    ) {
        let Some(suspect) = word.member.as_ref().and_then(Member::from_wire) else { return };
        if suspect.address == self.me().address {
            self.membership.refute_suspicion(now, word, out);
        } else if word.through && self.is_live(suspect.address) {
            // It is passed on in our name: the suspect answers us, and we tell the asker.
            let asker = word.by.as_ref().and_then(Member::from_wire);
            if let Some(asker) = asker.filter(|_| self.relayed_suspicions.len() < MAX_RELAYED_SUSPICIONS) {
                let (suspect, asker) = (suspect.address, asker.address);
                self.relayed_suspicions.push(RelayedSuspicion { suspect, asker, at: now });
            }
            let by = Some(self.me().to_wire());
            let relayed = wire::Suspected { through: false, by, ..word.clone() };
            let packet = codec::encode_packet(self.cluster_hash, PacketBody::Suspected(relayed));
            self.send(suspect.address, packet, actions);
        }
    }
}
