//! Suspects: the last probe before one counts as down, and the refutation of a suspicion of ourselves.

use super::parameters::LAST_CALL_TIMEOUT;
use super::{Membership, Output};
use crate::Micros;
use crate::codec;
use crate::member::Member;
use crate::wire;
use foca::{State, Timer};
use std::net::SocketAddr;

/// A member under suspicion.
pub(super) struct Suspect {
    since: Micros,
    /// When we sent our last probe.
    probed_at: Option<Micros>,
    /// Whether it was heard after that.
    heard: bool,
}

impl Suspect {
    pub fn since(now: Micros) -> Suspect {
        Suspect { since: now, probed_at: None, heard: false }
    }
}

impl Membership {
    /// The member at an address was heard.
    pub fn heard_from(&mut self, at: SocketAddr) {
        self.suspects.entry(at).and_modify(|s| s.heard = true);
    }

    /// Defers or cancels the end of a suspicion.
    ///
    /// None: the suspect goes down (or the timer is another one). `Some(Some(at))`: the timer is to fire again then.
    /// `Some(None)`: the suspicion was refuted. Before a suspect goes down, this member sends a last probe of its own,
    /// and waits as long as its local health by then demands.
    pub(super) fn defer_down(
        &mut self,
        now: Micros,
        timer: &Timer<Member>,
        out: &mut Output,
    ) -> Option<Option<Micros>> {
        let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = timer else { return None };
        let still_suspect = |m: &foca::Member<Member>| {
            m.id() == member_id && m.incarnation() == *incarnation && m.state() == State::Suspect
        };
        // foca would notify also a suspect that has refuted that it is down (seen in the simulation: each refuted suspicion
        // made the suspect rejoin under a new renewal).
        if !self.foca.iter_membership_state().any(still_suspect) {
            self.suspects.remove(&member_id.address);
            return Some(None);
        }
        let suspect = self.suspects.get_mut(&member_id.address)?;
        let ends = suspect.since + self.health.suspicion_timeout;
        if ends > now {
            return Some(Some(ends));
        }
        if suspect.probed_at.is_none_or(|_| suspect.heard) {
            // A member that we hear is alive, whatever others report; it has yet to refute.
            if suspect.probed_at.is_some() {
                suspect.since = now;
            }
            suspect.probed_at = Some(now);
            suspect.heard = false;
            out.suspicions.push((member_id.clone(), u32::from(*incarnation)));
            return Some(Some(now + LAST_CALL_TIMEOUT));
        }
        self.suspects.remove(&member_id.address);
        None
    }

    /// Another member suspects us: refutes with a new incarnation, and notifies that member first.
    pub fn refute_suspicion(&mut self, now: Micros, suspected: &wire::Suspected, out: &mut Output) {
        let by = suspected.by.as_ref().and_then(Member::from_wire);
        let of = suspected.member.as_ref().and_then(Member::from_wire).filter(|m| m == self.me());
        let (Some(by), Some(me), Ok(incarnation)) = (by, of, u16::try_from(suspected.incarnation)) else {
            return;
        };
        if self.has_left {
            return;
        }
        let state = foca::Member::new(me, incarnation, State::Suspect);
        self.drive(now, out, |foca, collected| foca.apply_many([state].into_iter(), true, collected));
        // The header of the announcement carries our new incarnation.
        self.drive(now, out, |foca, collected| foca.announce(by, collected));
        self.drive(now, out, |foca, collected| foca.gossip(collected));
    }

    /// Another member has just heard one that we suspect: evidence that it is alive.
    pub fn confirm_alive(&mut self, now: Micros, state: &wire::MemberState, out: &mut Output) {
        let Some(state) = codec::state_from_wire(state).filter(|s| s.state() == State::Alive) else { return };
        let at = state.id().address;
        if self.has_left || !self.suspects.contains_key(&at) {
            return;
        }
        self.heard_from(at);
        self.drive(now, out, |foca, collected| foca.apply_many([state].into_iter(), true, collected));
    }
}
