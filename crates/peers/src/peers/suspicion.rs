//! Delivery of suspicions to the suspect, directly and through members of other zones, so that a partition between
//! two zones is not mistaken for the failure of a member.

use super::Peers;
use super::api::Action;
use crate::codec;
use crate::member::Member;
use crate::membership;
use crate::wire::{self, PacketBody};
use crate::{Micros, SECOND};
use std::net::SocketAddr;

/// The number of members that relay a suspicion to the suspect.
const SUSPICION_RELAYS: usize = 3;
/// The number of random members from which the relays are chosen.
const RELAY_CANDIDATES: usize = 12;
/// How long a relayed suspicion remains stored.
const RELAY_RETENTION: Micros = SECOND;
/// The maximum number of stored relayed suspicions.
const MAX_RELAYED_SUSPICIONS: usize = 64;

/// A suspicion that this member has relayed to the suspect on behalf of another member.
pub(super) struct RelayedSuspicion {
    suspect: SocketAddr,
    requester: SocketAddr,
    at: Micros,
}

impl Peers {
    /// Records a message from a member, and notifies the members on whose behalf a suspicion was relayed to it.
    pub(super) fn record_member_message(
        &mut self,
        now: Micros,
        source: wire::MemberState,
        actions: &mut Vec<Action>,
    ) {
        let Some(at) = source.member.as_ref().and_then(Member::from_wire).map(|m| m.address) else { return };
        self.membership.record_message_from(at);
        self.relayed_suspicions.retain(|relayed| now - relayed.at < RELAY_RETENTION);
        let relayed = std::mem::take(&mut self.relayed_suspicions);
        let (confirmed, others): (Vec<_>, Vec<_>) =
            relayed.into_iter().partition(|relayed| relayed.suspect == at);
        self.relayed_suspicions = others;
        for relayed in confirmed {
            self.send(
                relayed.requester,
                codec::encode_packet(self.cluster_hash, PacketBody::Heard(source.clone())),
                actions,
            );
        }
    }

    /// Notifies a suspect of this member's suspicion, directly and through relays, preferably in other zones than
    /// both members.
    pub(super) fn notify_suspect(&mut self, suspect: &Member, incarnation: u32, actions: &mut Vec<Action>) {
        let by = Some(self.me().to_wire());
        let member = Some(suspect.to_wire());
        let packet = |through| {
            let suspected = wire::Suspected { by: by.clone(), member: member.clone(), incarnation, through };
            codec::encode_packet(self.cluster_hash, PacketBody::Suspected(suspected))
        };
        let direct_packet = packet(false);
        let relayed_packet = packet(true);
        let zone = self.me().zone.clone();
        let mut others = self.membership.sample(RELAY_CANDIDATES);
        others.retain(|member| member != suspect);
        others.sort_by_key(|member| (member.zone == zone) as u8 + (member.zone == suspect.zone) as u8);
        self.send(suspect.address, direct_packet, actions);
        for relay in others.iter().take(SUSPICION_RELAYS) {
            self.send(relay.address, relayed_packet.clone(), actions);
        }
    }

    /// Refutes a suspicion of this member. Relays any other one to the suspect, if that is requested and the suspect
    /// is live.
    pub(super) fn receive_suspicion(
        &mut self,
        now: Micros,
        suspected: &wire::Suspected,
        out: &mut membership::Output,
        actions: &mut Vec<Action>,
    ) {
        let Some(suspect) = suspected.member.as_ref().and_then(Member::from_wire) else { return };
        if suspect.address == self.me().address {
            self.membership.refute_suspicion(now, suspected, out);
        } else if suspected.through && self.is_live(suspect.address) {
            // The relay names itself as the sender: the suspect answers the relay, which notifies the requester.
            let requester = suspected.by.as_ref().and_then(Member::from_wire);
            let has_capacity = self.relayed_suspicions.len() < MAX_RELAYED_SUSPICIONS;
            if let Some(requester) = requester.filter(|_| has_capacity) {
                self.relayed_suspicions.push(RelayedSuspicion {
                    suspect: suspect.address,
                    requester: requester.address,
                    at: now,
                });
            }
            let by = Some(self.me().to_wire());
            let relayed = wire::Suspected { through: false, by, ..suspected.clone() };
            let packet = codec::encode_packet(self.cluster_hash, PacketBody::Suspected(relayed));
            self.send(suspect.address, packet, actions);
        }
    }
}
