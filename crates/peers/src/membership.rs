//! SWIM membership on top of `foca`, with timers that exclude time during which this process did not run.
//!
//! A. Das, I. Gupta, A. Motivala: *SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
//! Protocol* (2002), with suspicion. A member whose timers run late or whose probes get few acknowledgements extends
//! its suspicion timeout, after A. Dadgar, J. Phillips, J. Currey: *Lifeguard: Local Health Awareness for More
//! Accurate Failure Detection* (2017).

mod collect;
mod health;
mod parameters;
mod seeds;
mod states;
mod suspicion;

use crate::Micros;
use crate::codec::{Codec, Observed};
use crate::member::Member;
use collect::Collected;
use foca::{Foca, NoCustomBroadcast, State, Timer};
use health::LocalHealth;
use parameters::{HEALTH_UPDATE_PERIOD, RECENT_STALL_WINDOW, STALL_THRESHOLD};
use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::{Rng, SeedableRng};
use seeds::Seeds;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::sync::Arc;
use suspicion::Suspect;

/// A change of the members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A member has joined or is alive again.
    Up(Member),
    /// A member has failed: it is down without having left.
    Lost(Member),
    /// A member has left the cluster.
    Left(Member),
    /// Other members declared this member down; it has rejoined with a higher renewal.
    Rejoined(Member),
}

/// The number of members in each state, excluding this one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Members that are alive.
    pub alive: usize,
    /// Suspects, which are treated as alive until the suspicion times out.
    pub suspect: usize,
    /// Members that are down and still stored.
    pub down: usize,
}

/// The messages to send and the changes that result from a call.
#[derive(Default)]
pub struct Output {
    /// SWIM messages, each with its receiver; the caller wraps them in packets.
    pub swim: Vec<(SocketAddr, Vec<u8>)>,
    /// Complete datagrams, each with its receiver.
    pub datagrams: Vec<(SocketAddr, Vec<u8>)>,
    /// Changes of the members.
    pub changes: Vec<Change>,
    /// Suspects to notify of the suspicion, each with the suspected incarnation.
    pub suspicions: Vec<(Member, u32)>,
    /// The number of messages rejected because they contain more new members than can be stored.
    pub rejected: u64,
}

type Swim = Foca<Member, Codec, Xoshiro256PlusPlus, NoCustomBroadcast>;

/// A period during which this process did not run.
#[derive(Clone, Copy)]
struct Stall {
    /// When the stall was detected.
    at: Micros,
    /// The length of this stall or of a longer recent one.
    length: Micros,
}

/// One member's view of the members of the cluster.
pub struct Membership {
    foca: Swim,
    /// The codec's probe counts, and the highest generation it has decoded for this member's own address.
    observed: Arc<Observed>,
    random: Xoshiro256PlusPlus,
    /// foca's timers, ordered by expiry in time excluding stalls, then by the order in which they were set.
    timers: BinaryHeap<Reverse<(Micros, u64, Timer<Member>)>>,
    timer_sequence: u64,
    /// The total time during which this process was stopped or starved.
    total_stall: Micros,
    latest_stall: Option<Stall>,
    health: LocalHealth,
    seeds: Seeds,
    max_members: usize,
    /// The other members that are alive or suspect.
    live: Vec<Member>,
    has_left: bool,
    /// Suspects by address.
    suspects: BTreeMap<SocketAddr, Suspect>,
    /// Whether foca is handling its probe timer: a suspicion that begins in that call stems from this member's own
    /// probe, not from gossip.
    concluding_probe: bool,
}

impl Membership {
    /// Creates a membership that contains only this member.
    ///
    /// `seeds` are the addresses through which it joins; at most `max_members` other members are stored at a time.
    pub fn new(
        me: Member,
        seeds: Vec<SocketAddr>,
        max_members: usize,
        random_seed: u64,
        now: Micros,
    ) -> Membership {
        let observed = Arc::new(Observed::default());
        let codec = Codec { own_address: me.address, observed: observed.clone() };
        let mut random = Xoshiro256PlusPlus::seed_from_u64(random_seed);
        let config = parameters::foca_config(parameters::SUSPICION_TIMEOUT_RANGE[0]);
        let foca = Foca::new(me.clone(), config, random.clone(), codec);
        random.next_u64();
        Membership {
            foca,
            observed,
            random,
            timers: BinaryHeap::new(),
            timer_sequence: 0,
            total_stall: 0,
            latest_stall: None,
            health: LocalHealth::new(now),
            seeds: Seeds::new(seeds, me.address, now),
            max_members,
            live: Vec::new(),
            has_left: false,
            suspects: BTreeMap::new(),
            concluding_probe: false,
        }
    }

    /// Returns the current identity of this member.
    pub fn me(&self) -> &Member {
        self.foca.identity()
    }
    /// Returns the other members that are alive or suspect.
    pub fn live(&self) -> &[Member] {
        &self.live
    }
    /// Counts the other members by state.
    pub fn counts(&self) -> Counts {
        let mut counts = Counts::default();
        for member in self.foca.iter_membership_state() {
            match member.state() {
                State::Alive => counts.alive += 1,
                State::Suspect => counts.suspect += 1,
                State::Down => counts.down += 1,
            }
        }
        counts
    }
    /// Returns all other stored members with their states and incarnations.
    pub fn states(&self) -> impl Iterator<Item = &foca::Member<Member>> {
        self.foca.iter_membership_state()
    }
    /// Returns how long a suspect has to refute before it is declared down, by the current local health.
    pub fn suspicion_timeout(&self) -> Micros {
        self.health.suspicion_timeout
    }

    /// Returns up to `n` live members, chosen at random.
    pub fn sample(&mut self, n: usize) -> Vec<Member> {
        // R. Floyd's sampling algorithm: at most `n` draws for any number of members.
        let all = self.live.len();
        let mut drawn: Vec<usize> = Vec::with_capacity(n);
        for j in all.saturating_sub(n)..all {
            let i = (self.random.next_u64() % (j + 1) as u64) as usize;
            drawn.push(if drawn.contains(&i) { j } else { i });
        }
        drawn.iter().map(|i| self.live[*i].clone()).collect()
    }

    /// Returns a uniform random number in 0..1.
    pub fn random_unit(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// Returns the latest time for the next call of [`tick`](Membership::tick).
    pub fn next_deadline(&self) -> Micros {
        let timer =
            self.timers.peek().map_or(Micros::MAX, |Reverse((at, ..))| at.saturating_add(self.total_stall));
        let seed = if self.seeds.addresses.is_empty() { Micros::MAX } else { self.seeds.next_contact };
        timer.min(seed).min(self.health.updated_at + HEALTH_UPDATE_PERIOD)
    }

    /// Fires the timers that are due. The caller must handle packets in the receive buffer first.
    pub fn tick(&mut self, now: Micros, out: &mut Output) {
        if let Some(Reverse((at, ..))) = self.timers.peek() {
            let excess_delay = now - (at + self.total_stall) - STALL_THRESHOLD;
            if excess_delay > 0 {
                // The process was stopped or starved: all timers are postponed by that time.
                self.total_stall += excess_delay;
                let length = excess_delay.max(self.recent_stall(now));
                self.latest_stall = Some(Stall { at: now, length });
            }
        }
        self.update_local_health(now);
        while let Some(Reverse((at, ..))) = self.timers.peek() {
            if at + self.total_stall > now {
                break;
            }
            let Some(Reverse((_, _, timer))) = self.timers.pop() else { break };
            if let Some(retry_at) = self.defer_down(now, &timer, out) {
                if let Some(at) = retry_at {
                    self.timer_sequence += 1;
                    self.timers.push(Reverse((at - self.total_stall, self.timer_sequence, timer)));
                }
                continue;
            }
            self.concluding_probe = matches!(timer, Timer::ProbeRandomMember(_));
            self.call_foca(now, out, |foca, collected| foca.handle_timer(timer, collected));
            self.concluding_probe = false;
        }
        self.contact_seeds(now, out);
    }

    /// Returns the length of the latest stall if it is recent, otherwise 0.
    fn recent_stall(&self, now: Micros) -> Micros {
        let recent = self.latest_stall.filter(|stall| now - stall.at < RECENT_STALL_WINDOW);
        recent.map_or(0, |stall| stall.length)
    }

    /// Returns whether this member has left the cluster.
    pub fn has_left(&self) -> bool {
        self.has_left
    }

    /// Calls foca and applies the resulting packets, timers and changes. Returns false on an error of foca.
    fn call_foca<E>(
        &mut self,
        now: Micros,
        out: &mut Output,
        call: impl FnOnce(&mut Swim, &mut Collected) -> Result<(), E>,
    ) -> bool {
        let mut collected = Collected::new(self.observed.clone());
        let succeeded = call(&mut self.foca, &mut collected).is_ok();
        let own_suspicion = self.concluding_probe;
        let running_time = now - self.total_stall;
        for (timer, after) in collected.timers {
            if let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = &timer {
                self.suspects.insert(member_id.address, Suspect::since(now));
                if own_suspicion {
                    out.suspicions.push((member_id.clone(), u32::from(*incarnation)));
                }
            }
            self.timer_sequence += 1;
            self.timers.push(Reverse((
                running_time + after.as_micros() as Micros,
                self.timer_sequence,
                timer,
            )));
        }
        for (to, swim, is_probe) in collected.messages {
            for _ in 1..if is_probe { self.health.probe_copies } else { 1 } {
                out.swim.push((to.address, swim.clone()));
            }
            out.swim.push((to.address, swim));
        }
        if collected.notified {
            self.live = self.foca.iter_members().map(|member| member.id().clone()).collect();
        }
        out.changes.extend(collected.changes);
        succeeded
    }
}
