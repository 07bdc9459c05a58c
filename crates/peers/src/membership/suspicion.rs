//! Suspects: the final probe before one is declared down, and the refutation of suspicions of this member.

use super::parameters::FINAL_PROBE_TIMEOUT;
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
    /// When this member sent its final probe.
    probed_at: Option<Micros>,
    /// Whether a message from the suspect has arrived since.
    has_responded: bool,
}

impl Suspect {
    pub fn since(now: Micros) -> Suspect {
        Suspect { since: now, probed_at: None, has_responded: false }
    }
}

impl Membership {
    /// Records a message from the member at an address.
    pub fn record_message_from(&mut self, at: SocketAddr) {
        self.suspects.entry(at).and_modify(|s| s.has_responded = true);
    }

    /// Defers or cancels the end of a suspicion.
    ///
    /// Returns `None` if the suspect is to be declared down (or for any other timer), `Some(Some(at))` if the timer
    /// is to fire again at that time, and `Some(None)` if the suspicion was refuted. Before a suspect is declared
    /// down, the suspicion timeout by the current local health must have passed and a final probe by this member must
    /// remain unanswered.
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
        // foca would notify a suspect that it is down even after it has refuted the suspicion, and the suspect would then
        // rejoin with a new renewal after each refuted suspicion.
        if !self.foca.iter_membership_state().any(still_suspect) {
            self.suspects.remove(&member_id.address);
            return Some(None);
        }
        let suspect = self.suspects.get_mut(&member_id.address)?;
        let timeout_at = suspect.since + self.health.suspicion_timeout;
        if timeout_at > now {
            return Some(Some(timeout_at));
        }
        if suspect.probed_at.is_none_or(|_| suspect.has_responded) {
            // A member that responds is alive even if others suspect it, but it still has to refute the suspicion.
            if suspect.probed_at.is_some() {
                suspect.since = now;
            }
            suspect.probed_at = Some(now);
            suspect.has_responded = false;
            out.suspicions.push((member_id.clone(), u32::from(*incarnation)));
            return Some(Some(now + FINAL_PROBE_TIMEOUT));
        }
        self.suspects.remove(&member_id.address);
        None
    }

    /// Refutes another member's suspicion of this member with a new incarnation, and notifies that member first.
    pub fn refute_suspicion(&mut self, now: Micros, suspected: &wire::Suspected, out: &mut Output) {
        let by = suspected.by.as_ref().and_then(Member::from_wire);
        let own_identity = suspected.member.as_ref().and_then(Member::from_wire).filter(|m| m == self.me());
        let (Some(by), Some(me), Ok(incarnation)) = (by, own_identity, u16::try_from(suspected.incarnation))
        else {
            return;
        };
        if self.has_left {
            return;
        }
        let state = foca::Member::new(me, incarnation, State::Suspect);
        self.call_foca(now, out, |foca, collected| foca.apply_many([state].into_iter(), true, collected));
        // The header of the announcement contains the new incarnation.
        self.call_foca(now, out, |foca, collected| foca.announce(by, collected));
        self.call_foca(now, out, |foca, collected| foca.gossip(collected));
    }

    /// Handles the report of another member that it has just received a message from a suspect of this member.
    pub fn confirm_alive(&mut self, now: Micros, state: &wire::MemberState, out: &mut Output) {
        let Some(state) = codec::state_from_wire(state).filter(|s| s.state() == State::Alive) else { return };
        let at = state.id().address;
        if self.has_left || !self.suspects.contains_key(&at) {
            return;
        }
        self.record_message_from(at);
        self.call_foca(now, out, |foca, collected| foca.apply_many([state].into_iter(), true, collected));
    }
}
