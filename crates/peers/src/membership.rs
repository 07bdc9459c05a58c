//! SWIM membership over `foca`, on a clock that leaves out time in which this process did not run.
//!
//! A. Das, I. Gupta, A. Motivala: *SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol*
//! (2002), with suspicion; a member that runs late or gets few answers doubts itself first, after A. Dadgar,
//! J. Phillips, J. Currey: *Lifeguard: Local Health Awareness for More Accurate Failure Detection* (2017).

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
use parameters::{HEALTH_PERIOD, STALL_COUNTS_FOR, STALL_THRESHOLD};
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
    /// A member is alive.
    Up(Member),
    /// A member has failed: it is down and has not left.
    Lost(Member),
    /// A member has left.
    Left(Member),
    /// This member counted as down at others; it has rejoined under a later renewal.
    Back(Member),
}

/// Members by state, this one not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Alive.
    pub alive: usize,
    /// Suspect: treated as alive until the suspicion times out.
    pub suspect: usize,
    /// Down.
    pub down: usize,
}

/// The messages to send and the results of a call.
#[derive(Default)]
pub struct Output {
    /// SWIM messages, each with its receiver; the caller puts them into packets.
    pub swim: Vec<(SocketAddr, Vec<u8>)>,
    /// Complete datagrams, each with its receiver.
    pub datagrams: Vec<(SocketAddr, Vec<u8>)>,
    /// Changes of the members.
    pub changes: Vec<Change>,
    /// Suspects that are to be notified of the suspicion, with the suspected incarnation.
    pub suspicions: Vec<(Member, u32)>,
    /// Messages rejected because they name more members than there is capacity for.
    pub refused: u64,
}

type Swim = Foca<Member, Codec, Xoshiro256PlusPlus, NoCustomBroadcast>;

/// A time in which this process did not run.
#[derive(Clone, Copy)]
struct Stall {
    /// When it was detected.
    at: Micros,
    /// Its length, or that of a recent longer one.
    length: Micros,
}

/// The members of the cluster as one of them sees them.
pub struct Membership {
    foca: Swim,
    /// What the codec has counted of probes and seen of our own address.
    observed: Arc<Observed>,
    random: Xoshiro256PlusPlus,
    /// foca's timers by the time that this process has run, then in the order in which they were set.
    timers: BinaryHeap<Reverse<(Micros, u64, Timer<Member>)>>,
    timer_sequence: u64,
    /// Time that passed while this process was stopped or starved.
    stalled: Micros,
    latest_stall: Option<Stall>,
    health: LocalHealth,
    seeds: Seeds,
    max_members: usize,
    /// The other members that are alive or suspect.
    live: Vec<Member>,
    has_left: bool,
    /// Suspects by address.
    suspects: BTreeMap<SocketAddr, Suspect>,
    /// Whether a probe of our own is being concluded: a suspicion that begins now is ours, not one from gossip.
    concluding_probe: bool,
}

impl Membership {
    /// A cluster of this member alone.
    ///
    /// `seeds` are the addresses through which it joins; at most `max_members` others are known at a time.
    pub fn new(
        me: Member,
        seeds: Vec<SocketAddr>,
        max_members: usize,
        random_seed: u64,
        now: Micros,
    ) -> Membership {
        let observed = Arc::new(Observed::default());
        let codec = Codec { me: me.address, seen: observed.clone() };
        let mut random = Xoshiro256PlusPlus::seed_from_u64(random_seed);
        let config = parameters::foca_config(parameters::SUSPICION_RANGE[0]);
        let foca = Foca::new(me.clone(), config, random.clone(), codec);
        random.next_u64();
        Membership {
            foca,
            observed,
            random,
            timers: BinaryHeap::new(),
            timer_sequence: 0,
            stalled: 0,
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

    /// This member under its present identity.
    pub fn me(&self) -> &Member {
        self.foca.identity()
    }
    /// The other members that are alive or suspect.
    pub fn live(&self) -> &[Member] {
        &self.live
    }
    /// The other members by state.
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
    /// Every other member that is known, with its state and incarnation.
    pub fn states(&self) -> impl Iterator<Item = &foca::Member<Member>> {
        self.foca.iter_membership_state()
    }
    /// How long a suspect has to refute before it is down, by local health as it is now.
    pub fn suspicion_timeout(&self) -> Micros {
        self.health.suspicion_timeout
    }

    /// Up to `n` live members, chosen at random.
    pub fn sample(&mut self, n: usize) -> Vec<Member> {
        // R. Floyd's sampling: `n` draws, whatever the number of members.
        let all = self.live.len();
        let mut drawn: Vec<usize> = Vec::with_capacity(n);
        for j in all.saturating_sub(n)..all {
            let i = (self.random.next_u64() % (j + 1) as u64) as usize;
            drawn.push(if drawn.contains(&i) { j } else { i });
        }
        drawn.iter().map(|i| self.live[*i].clone()).collect()
    }

    /// A random number, uniform in 0..1.
    pub fn random_unit(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// When [`tick`](Membership::tick) is to be called at the latest.
    pub fn next_deadline(&self) -> Micros {
        let timer =
            self.timers.peek().map_or(Micros::MAX, |Reverse((at, ..))| at.saturating_add(self.stalled));
        let seed = if self.seeds.addresses.is_empty() { Micros::MAX } else { self.seeds.next_contact };
        timer.min(seed).min(self.health.checked_at + HEALTH_PERIOD)
    }

    /// Fires the timers that are due. Packets in the receive buffer must be handled before.
    pub fn tick(&mut self, now: Micros, out: &mut Output) {
        if let Some(Reverse((at, ..))) = self.timers.peek() {
            let late = now - (at + self.stalled) - STALL_THRESHOLD;
            if late > 0 {
                // The process was stopped or starved: none of its timers runs through that time.
                self.stalled += late;
                let length = late.max(self.recent_stall(now));
                self.latest_stall = Some(Stall { at: now, length });
            }
        }
        self.update_local_health(now);
        while let Some(Reverse((at, ..))) = self.timers.peek() {
            if at + self.stalled > now {
                break;
            }
            let Some(Reverse((_, _, timer))) = self.timers.pop() else { break };
            if let Some(again) = self.defer_down(now, &timer, out) {
                if let Some(at) = again {
                    self.timer_sequence += 1;
                    self.timers.push(Reverse((at - self.stalled, self.timer_sequence, timer)));
                }
                continue;
            }
            self.concluding_probe = matches!(timer, Timer::ProbeRandomMember(_));
            self.drive(now, out, |foca, collected| foca.handle_timer(timer, collected));
            self.concluding_probe = false;
        }
        self.contact_seeds(now, out);
    }

    /// The length of the latest stall, if it is recent; else 0.
    fn recent_stall(&self, now: Micros) -> Micros {
        let recent = self.latest_stall.filter(|stall| now - stall.at < STALL_COUNTS_FOR);
        recent.map_or(0, |stall| stall.length)
    }

    /// Whether this member has left the cluster.
    pub fn has_left(&self) -> bool {
        self.has_left
    }

    /// Calls foca, and applies the resulting packets, timers and changes; false on an error of foca.
    fn drive<E>(
        &mut self,
        now: Micros,
        out: &mut Output,
        call: impl FnOnce(&mut Swim, &mut Collected) -> Result<(), E>,
    ) -> bool {
        let mut collected = Collected::new(self.observed.clone());
        let done = call(&mut self.foca, &mut collected).is_ok();
        let own_suspicion = self.concluding_probe;
        let running_time = now - self.stalled;
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
        done
    }
}
