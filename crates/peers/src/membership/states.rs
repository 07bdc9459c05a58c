//! Member states that are received from other members, and those that are sent to them.

use super::parameters::MAX_NAMED;
use super::{Change, Membership, Output};
use crate::Micros;
use crate::codec;
use crate::member::Member;
use crate::wire::{self, PacketBody};
use foca::State;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;

impl Membership {
    /// Handles a SWIM message; false if it was dropped.
    pub fn receive_swim(&mut self, now: Micros, swim: &[u8], out: &mut Output) -> bool {
        if self.has_left {
            return true;
        }
        if self.foca.iter_membership_state().len() + MAX_NAMED > self.max_members && !self.has_room_for(swim)
        {
            out.refused += 1;
            return false;
        }
        let heard = self.drive(now, out, |foca, collected| foca.handle_data(swim, collected));
        self.supersede_later_generation(now, out);
        heard
    }

    fn has_room_for(&self, swim: &[u8]) -> bool {
        let Some(named) = codec::named_members(swim) else { return false };
        let known = self.foca.iter_membership_state().len();
        let new = named
            .iter()
            .filter(|m| !self.foca.iter_membership_state().any(|k| k.id().address == m.address))
            .count();
        known + new <= self.max_members
    }

    /// If another member knows a later generation of our own address (the wall clock was set back since), takes one beyond
    /// it.
    fn supersede_later_generation(&mut self, now: Micros, out: &mut Output) {
        let seen = self.observed.generation.load(Ordering::Relaxed);
        if seen > self.me().generation {
            let me = Member { generation: seen.saturating_add(1), renewal: 0, ..self.me().clone() };
            self.observed.generation.store(me.generation, Ordering::Relaxed);
            self.drive(now, out, |foca, collected| foca.change_identity(me, collected));
        }
    }

    /// All member states that are known, this member's included, for a full exchange.
    pub fn export_states(&self) -> wire::Members {
        let me = foca::Member::alive(self.me().clone());
        let states = self.foca.iter_membership_state().chain([&me]).take(self.max_members);
        wire::Members { states: states.map(codec::state_to_wire).collect() }
    }

    /// Merges all member states that another member knows.
    pub fn merge_states(&mut self, now: Micros, members: &wire::Members, out: &mut Output) {
        if members.states.len() > self.max_members || self.has_left {
            out.refused += 1;
            return;
        }
        let me = self.me().address;
        let known: Vec<SocketAddr> = self.foca.iter_membership_state().map(|m| m.id().address).collect();
        let mut room = self.max_members.saturating_sub(known.len());
        let read = members.states.iter().filter_map(codec::state_from_wire).filter(|m| m.id().address != me);
        let states: Vec<foca::Member<Member>> = read
            .filter(|m| {
                let new = !known.contains(&m.id().address);
                let fits = !new || room > 0;
                room -= (new && fits) as usize;
                fits
            })
            .collect();
        self.drive(now, out, |foca, collected| foca.apply_many(states.into_iter(), true, collected));
    }

    /// A member that sends to us is alive, even if no gossip has named it yet.
    pub fn observe_alive(&mut self, now: Micros, who: &Member, out: &mut Output) {
        let known = self.foca.iter_membership_state().len();
        if self.has_left
            || who.address == self.me().address
            || self.live.contains(who)
            || known >= self.max_members
        {
            return;
        }
        let state = foca::Member::alive(who.clone());
        self.drive(now, out, |foca, collected| foca.apply_many([state].into_iter(), true, collected));
    }

    /// A member has left.
    pub fn member_left(&mut self, now: Micros, who: &Member, out: &mut Output) {
        let known = |m: &foca::Member<Member>| (m.id() == who).then(|| m.state());
        match self.foca.iter_membership_state().find_map(known) {
            None => return,
            // Gossip that it is down arrived before its own message.
            Some(State::Down) => return out.changes.push(Change::Left(who.clone())),
            Some(_) => {}
        }
        let state = foca::Member::down(who.clone());
        let before = out.changes.len();
        self.drive(now, out, |foca, collected| foca.apply_many([state].into_iter(), true, collected));
        for change in &mut out.changes[before..] {
            if matches!(change, Change::Lost(m) if m == who) {
                *change = Change::Left(who.clone());
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
        self.drive(now, out, |foca, collected| foca.leave_cluster(collected));
        self.has_left = true;
        self.timers.clear();
    }
}
