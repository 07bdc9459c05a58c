//! Exchange of member states with other members.

use super::parameters::MAX_MEMBERS_PER_DATAGRAM;
use super::{Change, Membership, Output};
use crate::Micros;
use crate::codec;
use crate::member::Member;
use crate::wire::{self, PacketBody};
use foca::State;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;

impl Membership {
    /// Handles a SWIM message. Returns false if it was dropped.
    pub fn receive_swim(&mut self, now: Micros, swim: &[u8], out: &mut Output) -> bool {
        if self.has_left {
            return true;
        }
        if self.foca.iter_membership_state().len() + MAX_MEMBERS_PER_DATAGRAM > self.max_members
            && !self.has_capacity_for(swim)
        {
            out.rejected += 1;
            return false;
        }
        let accepted = self.call_foca(now, out, |foca, collected| foca.handle_data(swim, collected));
        self.supersede_later_generation(now, out);
        accepted
    }

    fn has_capacity_for(&self, swim: &[u8]) -> bool {
        let Some(named) = codec::named_members(swim) else { return false };
        let known = self.foca.iter_membership_state().len();
        let new = named
            .iter()
            .filter(|m| !self.foca.iter_membership_state().any(|k| k.id().address == m.address))
            .count();
        known + new <= self.max_members
    }

    /// Adopts a higher generation if other members have a later one for this member's own address, as after the wall
    /// clock was set back.
    fn supersede_later_generation(&mut self, now: Micros, out: &mut Output) {
        let observed_generation = self.observed.own_address_generation.load(Ordering::Relaxed);
        if observed_generation > self.me().generation {
            let me =
                Member { generation: observed_generation.saturating_add(1), renewal: 0, ..self.me().clone() };
            self.observed.own_address_generation.store(me.generation, Ordering::Relaxed);
            self.call_foca(now, out, |foca, collected| foca.change_identity(me, collected));
        }
    }

    /// Returns all stored member states, including this member's own, for a full exchange.
    pub fn export_states(&self) -> wire::Members {
        let me = foca::Member::alive(self.me().clone());
        let states = self.foca.iter_membership_state().chain([&me]).take(self.max_members);
        wire::Members { states: states.map(codec::state_to_wire).collect() }
    }

    /// Merges the member states of another member from a full exchange.
    pub fn merge_states(&mut self, now: Micros, members: &wire::Members, out: &mut Output) {
        if members.states.len() > self.max_members || self.has_left {
            out.rejected += 1;
            return;
        }
        let me = self.me().address;
        let known: Vec<SocketAddr> = self.foca.iter_membership_state().map(|m| m.id().address).collect();
        let mut remaining_capacity = self.max_members.saturating_sub(known.len());
        let decoded =
            members.states.iter().filter_map(codec::state_from_wire).filter(|m| m.id().address != me);
        let states: Vec<foca::Member<Member>> = decoded
            .filter(|m| {
                let new = !known.contains(&m.id().address);
                let fits = !new || remaining_capacity > 0;
                remaining_capacity -= (new && fits) as usize;
                fits
            })
            .collect();
        self.call_foca(now, out, |foca, collected| foca.apply_many(states.into_iter(), true, collected));
    }

    /// Records that the sender of a message is alive, even if no gossip has mentioned it yet.
    pub fn observe_alive(&mut self, now: Micros, member: &Member, out: &mut Output) {
        let known = self.foca.iter_membership_state().len();
        if self.has_left
            || member.address == self.me().address
            || self.live.contains(member)
            || known >= self.max_members
        {
            return;
        }
        let state = foca::Member::alive(member.clone());
        self.call_foca(now, out, |foca, collected| foca.apply_many([state].into_iter(), true, collected));
    }

    /// Records that a member has left the cluster.
    pub fn member_left(&mut self, now: Micros, member: &Member, out: &mut Output) {
        let stored_state = |m: &foca::Member<Member>| (m.id() == member).then(|| m.state());
        match self.foca.iter_membership_state().find_map(stored_state) {
            None => return,
            // Gossip that the member is down arrived before its own message.
            Some(State::Down) => return out.changes.push(Change::Left(member.clone())),
            Some(_) => {}
        }
        let state = foca::Member::down(member.clone());
        let before = out.changes.len();
        self.call_foca(now, out, |foca, collected| foca.apply_many([state].into_iter(), true, collected));
        for change in &mut out.changes[before..] {
            if matches!(change, Change::Lost(m) if m == member) {
                *change = Change::Left(member.clone());
            }
        }
    }

    /// Leaves the cluster: notifies every live member, and sends nothing afterwards.
    pub fn leave(&mut self, now: Micros, cluster: u64, out: &mut Output) {
        if self.has_left {
            return;
        }
        for member in &self.live {
            let leaving = codec::encode_packet(cluster, PacketBody::Leaving(self.foca.identity().to_wire()));
            out.datagrams.push((member.address, leaving));
        }
        self.call_foca(now, out, |foca, collected| foca.leave_cluster(collected));
        self.has_left = true;
        self.timers.clear();
    }
}
