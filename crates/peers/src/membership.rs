//! Who is there: SWIM by `foca`, in time that was lived.
//!
//! A. Das, I. Gupta, A. Motivala: *SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol*
//! (2002), with suspicion; who runs late or hears few answers suspects itself first, after A. Dadgar, J. Phillips,
//! J. Currey: *Lifeguard: Local Health Awareness for More Accurate Failure Detection* (2017).

use crate::codec::{self, AROUND, Codec, PACKET, PROBES, Seen};
use crate::member::Member;
use crate::wire::{self, Body};
use crate::{Micros, SECOND};
use foca::{Config, Foca, NoCustomBroadcast, Notification, PeriodicParams, Runtime, State, Timer};
use rand_xoshiro::Xoshiro256PlusPlus;
use rand_xoshiro::rand_core::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Each member probes one member in this span.
const PROBE: Micros = SECOND * 3 / 10;
/// An answer that takes longer is sought by others.
const ANSWER: Micros = SECOND / 10;
/// How many others.
const OTHERS: usize = 4;
/// From suspicion to death, where all is well, and the longest.
const SUSPICION: [Micros; 2] = [SECOND * 3 / 5, 20 * SECOND];
/// Before it is held for dead, each member calls a suspect itself, and waits so long.
const LAST_CALL: Micros = SECOND / 5;
/// News are passed on in this span, to so many.
const GOSSIP: Micros = SECOND * 3 / 20;
const GOSSIP_TO: usize = 3;
/// How often a piece of news is passed on.
const TIMES: u8 = 10;
/// Members that are down are greeted in this span, so many of them: a cut may have healed.
const GREET_DOWN: Micros = 2 * SECOND;
const GREET: usize = 3;
/// How long the dead are remembered.
const FORGET: Duration = Duration::from_secs(24 * 3600);
/// A timer that runs later than this is late.
const LATE: Micros = SECOND / 10;
/// Weight of the latest span in the share of probes that were not answered, and how often that is taken.
const WEIGHT: f64 = 0.15;
const HEALTH: Micros = SECOND / 2;
/// How much longer a suspicion lasts where all packets are lost; and how long lateness counts.
const STRETCH: f64 = 12.0;
/// Share that is taken for unanswered before anything is known.
const AT_FIRST: f64 = 0.3;
/// Packets of probes are sent once, twice, three times from such a share of packets lost on.
const COPIES: [f64; 3] = [0.0, 0.04, 0.15];
const LATE_FOR: Micros = 10 * SECOND;
/// Seeds are asked again after this at first, then twice as long, at most [`SEEDS`].
const SEED: Micros = SECOND / 4;
const SEEDS: Micros = 8 * SECOND;
/// Most members that a datagram can name.
const NAMED: usize = 64;

/// What changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A member came up.
    Up(Member),
    /// A member was lost: it is down without a word.
    Lost(Member),
    /// A member left, by its word.
    Left(Member),
    /// We were held for dead, and are back under a later turn.
    Back(Member),
}

/// How the members stand, this one not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Alive.
    pub alive: usize,
    /// Suspected, and taken for alive meanwhile.
    pub suspect: usize,
    /// Down.
    pub down: usize,
}

/// What the library says to do, and what it says.
#[derive(Default)]
struct Said {
    send: Vec<(Member, Vec<u8>, bool)>,
    seen: Arc<Seen>,
    timers: Vec<(Timer<Member>, Duration)>,
    changes: Vec<Change>,
    dirty: bool,
}

impl Runtime<Member> for Said {
    fn notify(&mut self, notification: Notification<'_, Member>) {
        self.dirty = true;
        match notification {
            Notification::MemberUp(m) => self.changes.push(Change::Up(m.clone())),
            Notification::MemberDown(m) => self.changes.push(Change::Lost(m.clone())),
            Notification::Rename(a, b) if a.name != b.name => self.changes.push(Change::Left(a.clone())),
            Notification::Rename(..) | Notification::Active | Notification::Idle | Notification::Defunct => {}
            Notification::Rejoin(m) => self.changes.push(Change::Back(m.clone())),
        }
    }
    fn send_to(&mut self, to: Member, data: &[u8]) {
        let probe = PROBES.contains(&self.seen.kind.load(Ordering::Relaxed));
        self.send.push((to, data.to_vec(), probe));
    }
    fn submit_after(&mut self, event: Timer<Member>, after: Duration) {
        self.timers.push((event, after));
    }
}

/// One under suspicion: since when, when we called it ourselves, and whether it was heard since.
struct Suspect {
    since: Micros,
    called: Option<Micros>,
    heard: bool,
}

type Library = Foca<Member, Codec, Xoshiro256PlusPlus, NoCustomBroadcast>;

/// The members as one of them sees them.
pub struct Membership {
    foca: Library,
    seen: Arc<Seen>,
    random: Xoshiro256PlusPlus,
    timers: BinaryHeap<Reverse<(Micros, u64, Timer<Member>)>>,
    made: u64,
    /// Time that passed without being lived, and when it was lost last.
    lost: Micros,
    late: Option<(Micros, Micros)>,
    /// Share of probes that were not answered of late; when it was taken, and of how many probes and answers.
    unanswered: f64,
    /// Share of single packets that are lost on a way, by that.
    missed: f64,
    /// How often packets of probes are sent.
    copies: usize,
    checked: Micros,
    counted: (u32, u32),
    suspicion: Micros,
    seeds: Vec<SocketAddr>,
    seed_at: Micros,
    seed_pause: Micros,
    most: usize,
    live: Vec<Member>,
    leaves: bool,
    /// Those under suspicion, by address.
    suspects: BTreeMap<SocketAddr, Suspect>,
    /// A probe is being concluded: who comes under suspicion does so by our own word.
    probed: bool,
}

fn span(micros: Micros) -> Duration {
    Duration::from_micros(micros as u64)
}

fn config(suspicion: Micros) -> Config {
    let some = |n| NonZeroUsize::new(n).expect("not 0");
    let periodic = |every, n| Some(PeriodicParams { frequency: span(every), num_members: some(n) });
    Config {
        probe_period: span(PROBE),
        probe_rtt: span(ANSWER),
        num_indirect_probes: some(OTHERS),
        max_transmissions: NonZeroU8::new(TIMES).expect("not 0"),
        suspect_to_down_after: span(suspicion),
        remove_down_after: Some(FORGET),
        max_packet_size: some(PACKET - AROUND),
        notify_down_members: true,
        periodic_announce: periodic(30 * SECOND, 1),
        periodic_announce_to_down_members: periodic(GREET_DOWN, GREET),
        periodic_gossip: periodic(GOSSIP, GOSSIP_TO),
    }
}

impl Membership {
    /// Of this member, with others to ask for the rest, and a bound of how many are known.
    pub fn new(me: Member, seeds: Vec<SocketAddr>, most: usize, seed: u64, now: Micros) -> Membership {
        let seen = Arc::new(Seen::default());
        let codec = Codec { me: me.at, seen: seen.clone() };
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let foca = Foca::new(me.clone(), config(SUSPICION[0]), random.clone(), codec);
        random.next_u64();
        Membership {
            foca,
            seen,
            random,
            timers: BinaryHeap::new(),
            made: 0,
            lost: 0,
            late: None,
            unanswered: AT_FIRST,
            missed: AT_FIRST,
            copies: COPIES.len(),
            checked: now,
            counted: (0, 0),
            suspicion: SUSPICION[0],
            seeds: seeds.into_iter().filter(|s| *s != me.at).collect(),
            seed_at: now,
            seed_pause: SEED,
            most,
            live: Vec::new(),
            leaves: false,
            suspects: BTreeMap::new(),
            probed: false,
        }
    }

    /// This member, as it is known now.
    pub fn me(&self) -> &Member {
        self.foca.identity()
    }
    /// The other members that are alive, those under suspicion included.
    pub fn live(&self) -> &[Member] {
        &self.live
    }
    /// How they stand.
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
    /// Each member known, and how it stands.
    pub fn all(&self) -> impl Iterator<Item = &foca::Member<Member>> {
        self.foca.iter_membership_state()
    }
    /// Other seeds from now on.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        let me = self.me().at;
        self.seeds = seeds.into_iter().filter(|s| *s != me).collect();
    }
    /// Whether all seeds are alive.
    pub fn all_seeds(&self) -> bool {
        self.seeds.iter().all(|s| self.live.iter().any(|m| m.at == *s))
    }
    /// From suspicion to death, as it is now, in microseconds.
    pub fn suspicion(&self) -> Micros {
        self.suspicion
    }
    /// Some live members, drawn.
    pub fn draw(&mut self, n: usize) -> Vec<Member> {
        // R. Floyd's sampling: as many draws as are wanted, however many there are.
        let all = self.live.len();
        let mut drawn: Vec<usize> = Vec::with_capacity(n);
        for j in all.saturating_sub(n)..all {
            let i = (self.random.next_u64() % (j + 1) as u64) as usize;
            drawn.push(if drawn.contains(&i) { j } else { i });
        }
        drawn.iter().map(|i| self.live[*i].clone()).collect()
    }
    /// A number drawn, even in 0..1.
    pub fn drawn(&mut self) -> f64 {
        (self.random.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// When there is something to do without news.
    pub fn due(&self) -> Micros {
        let timer = self.timers.peek().map_or(Micros::MAX, |Reverse((at, ..))| at.saturating_add(self.lost));
        let seed = if self.seeds.is_empty() { Micros::MAX } else { self.seed_at };
        timer.min(seed).min(self.checked + HEALTH)
    }

    /// Time has passed: fires what is due. Packets that wait are to be read first.
    pub fn pass(&mut self, now: Micros, out: &mut Output) {
        if let Some(Reverse((at, ..))) = self.timers.peek() {
            let late = now - (at + self.lost) - LATE;
            if late > 0 {
                // It was stopped or starved: that time was not lived, by any of its timers.
                self.lost += late;
                let before = self.late.filter(|(at, _)| now - at < LATE_FOR).map_or(0, |l| l.1);
                self.late = Some((now, late.max(before)));
            }
        }
        self.check_health(now);
        while let Some(Reverse((at, ..))) = self.timers.peek() {
            if at + self.lost > now {
                break;
            }
            let Some(Reverse((_, _, timer))) = self.timers.pop() else { break };
            if let Some(again) = self.stays(now, &timer, out) {
                if let Some(at) = again {
                    self.made += 1;
                    self.timers.push(Reverse((at - self.lost, self.made, timer)));
                }
                continue;
            }
            self.probed = matches!(timer, Timer::ProbeRandomMember(_));
            self.ask(now, out, |foca, said| foca.handle_timer(timer, said));
            self.probed = false;
        }
        self.find_seeds(now, out);
    }

    /// Whether the end of a suspicion does not mean death, and when to look again, if at all. Before a death each member
    /// makes a last call of its own, and gives the suspect as long as its own hearing is worth by then.
    fn stays(&mut self, now: Micros, timer: &Timer<Member>, out: &mut Output) -> Option<Option<Micros>> {
        let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = timer else { return None };
        let stands = |m: &foca::Member<Member>| {
            m.id() == member_id && m.incarnation() == *incarnation && m.state() == State::Suspect
        };
        // Of one that was refuted, the library would tell the member all the same that it is held for dead (seen in the
        // simulation: each refuted suspicion had the suspect come back under a new turn).
        if !self.foca.iter_membership_state().any(stands) {
            self.suspects.remove(&member_id.at);
            return Some(None);
        }
        let suspect = self.suspects.get_mut(&member_id.at)?;
        let ends = suspect.since + self.suspicion;
        if ends > now {
            return Some(Some(ends));
        }
        if suspect.called.is_none_or(|_| suspect.heard) {
            // Whom we hear is alive, whatever others say: it has yet to say so itself.
            if suspect.called.is_some() {
                suspect.since = now;
            }
            (suspect.called, suspect.heard) = (Some(now), false);
            out.suspects.push((member_id.clone(), u32::from(*incarnation)));
            return Some(Some(now + LAST_CALL));
        }
        self.suspects.remove(&member_id.at);
        None
    }

    /// A member was heard, at its address.
    pub fn heard_from(&mut self, at: SocketAddr) {
        self.suspects.entry(at).and_modify(|s| s.heard = true);
    }

    /// Greets the seeds: all until one answers, then those that are not alive, ever more seldom.
    fn find_seeds(&mut self, now: Micros, out: &mut Output) {
        if now < self.seed_at || self.leaves {
            return;
        }
        let alone = self.live.is_empty();
        let missing: Vec<SocketAddr> =
            self.seeds.iter().filter(|s| !self.live.iter().any(|m| m.at == **s)).copied().collect();
        self.seed_pause = if alone { self.seed_pause.min(SECOND) } else { self.seed_pause };
        let draw = self.drawn();
        self.seed_at = now + (self.seed_pause as f64 * (0.5 + draw)) as Micros;
        self.seed_pause = (self.seed_pause * 2).min(SEEDS);
        let from = (self.drawn() * missing.len() as f64) as usize;
        let some = if alone { 2 } else { 1 };
        let asked: Vec<SocketAddr> =
            missing.iter().cycle().skip(from).take(missing.len().min(some)).copied().collect();
        for seed in asked {
            self.ask(now, out, |foca, said| foca.announce(Member::at(seed), said));
        }
    }

    /// How well one hears and keeps up says how much one's own suspicion is worth.
    fn check_health(&mut self, now: Micros) {
        if now - self.checked < HEALTH {
            return;
        }
        self.checked = now;
        let (pings, acks) = (self.seen.pings.load(Ordering::Relaxed), self.seen.acks.load(Ordering::Relaxed));
        let (sent, heard) = (pings.wrapping_sub(self.counted.0), acks.wrapping_sub(self.counted.1));
        if sent >= 1 {
            self.counted = (pings, acks);
            let share = 1.0 - (f64::from(heard) / f64::from(sent)).min(1.0);
            self.unanswered += WEIGHT * (share - self.unanswered);
            // An answer takes two ways, and a way is lost with all of its copies.
            let way = 1.0 - (1.0 - self.unanswered).max(0.0).sqrt();
            self.missed = way.powf(1.0 / self.copies as f64);
            self.copies = COPIES.iter().filter(|from| self.missed >= **from).count();
        }
        let late = self.late.filter(|(at, _)| now - at < LATE_FOR).map_or(0, |l| l.1);
        let wanted =
            (SUSPICION[0] as f64 * (1.0 + STRETCH * self.missed.max(self.unanswered))) as Micros + 2 * late;
        let wanted = wanted.clamp(SUSPICION[0], SUSPICION[1]);
        if (wanted - self.suspicion).abs() * 10 > self.suspicion
            && self.foca.set_config(config(wanted)).is_ok()
        {
            self.suspicion = wanted;
        }
    }

    /// Takes in the library's part of a datagram; false if it was dropped.
    pub fn heard(&mut self, now: Micros, swim: &[u8], out: &mut Output) -> bool {
        if self.leaves {
            return true;
        }
        if self.foca.iter_membership_state().len() + NAMED > self.most && !self.has_room_for(swim) {
            out.full += 1;
            return false;
        }
        let heard = self.ask(now, out, |foca, said| foca.handle_data(swim, said));
        self.outlive(now, out);
        heard
    }

    fn has_room_for(&self, swim: &[u8]) -> bool {
        let Some(named) = codec::named(swim) else { return false };
        let known = self.foca.iter_membership_state().len();
        let new =
            named.iter().filter(|m| !self.foca.iter_membership_state().any(|k| k.id().at == m.at)).count();
        known + new <= self.most
    }

    /// A later life of our own address was seen: the wall clock ran back since. We go beyond it.
    fn outlive(&mut self, now: Micros, out: &mut Output) {
        let seen = self.seen.life.load(Ordering::Relaxed);
        if seen > self.me().life {
            let me = Member { life: seen.saturating_add(1), turn: 0, ..self.me().clone() };
            self.seen.life.store(me.life, Ordering::Relaxed);
            self.ask(now, out, |foca, said| foca.change_identity(me, said));
        }
    }

    /// All that is known, for another member.
    pub fn states(&self) -> wire::Members {
        let me = foca::Member::alive(self.me().clone());
        let states = self.foca.iter_membership_state().chain([&me]).take(self.most);
        wire::Members { states: states.map(codec::written).collect() }
    }

    /// Takes in all that another member knows.
    pub fn learn(&mut self, now: Micros, members: &wire::Members, out: &mut Output) {
        if members.states.len() > self.most || self.leaves {
            out.full += 1;
            return;
        }
        let me = self.me().at;
        let known: Vec<SocketAddr> = self.foca.iter_membership_state().map(|m| m.id().at).collect();
        let mut room = self.most.saturating_sub(known.len());
        let read = members.states.iter().filter_map(codec::read).filter(|m| m.id().at != me);
        let states: Vec<foca::Member<Member>> = read
            .filter(|m| {
                let new = !known.contains(&m.id().at);
                let fits = !new || room > 0;
                room -= (new && fits) as usize;
                fits
            })
            .collect();
        self.ask(now, out, |foca, said| foca.apply_many(states.into_iter(), true, said));
    }

    /// Another member suspects us: we are alive, and tell it so.
    pub fn suspected(&mut self, now: Micros, word: &wire::Suspected, out: &mut Output) {
        let by = word.by.as_ref().and_then(Member::read);
        let of = word.member.as_ref().and_then(Member::read).filter(|m| m == self.me());
        let (Some(by), Some(me), Ok(incarnation)) = (by, of, u16::try_from(word.incarnation)) else { return };
        if self.leaves {
            return;
        }
        let state = foca::Member::new(me, incarnation, State::Suspect);
        self.ask(now, out, |foca, said| foca.apply_many([state].into_iter(), true, said));
        // Its head carries our new incarnation.
        self.ask(now, out, |foca, said| foca.announce(by, said));
        self.ask(now, out, |foca, said| foca.gossip(said));
    }

    /// A member that speaks to us is alive, even if nobody has told of it yet.
    pub fn met(&mut self, now: Micros, who: &Member, out: &mut Output) {
        let known = self.foca.iter_membership_state().len();
        if self.leaves || who.at == self.me().at || self.live.contains(who) || known >= self.most {
            return;
        }
        let state = foca::Member::alive(who.clone());
        self.ask(now, out, |foca, said| foca.apply_many([state].into_iter(), true, said));
    }

    /// Another member has just heard one that we suspect.
    pub fn vouched(&mut self, now: Micros, state: &wire::MemberState, out: &mut Output) {
        let Some(state) = codec::read(state).filter(|s| s.state() == State::Alive) else { return };
        let at = state.id().at;
        if self.leaves || !self.suspects.contains_key(&at) {
            return;
        }
        self.heard_from(at);
        self.ask(now, out, |foca, said| foca.apply_many([state].into_iter(), true, said));
    }

    /// A member said that it leaves.
    pub fn left(&mut self, now: Micros, who: &Member, out: &mut Output) {
        let known = |m: &foca::Member<Member>| (m.id() == who).then(|| m.state());
        match self.foca.iter_membership_state().find_map(known) {
            None => return,
            // The news of its end was quicker than its own word.
            Some(State::Down) => return out.changes.push(Change::Left(who.clone())),
            Some(_) => {}
        }
        let state = foca::Member::down(who.clone());
        let before = out.changes.len();
        self.ask(now, out, |foca, said| foca.apply_many([state].into_iter(), true, said));
        for change in &mut out.changes[before..] {
            if matches!(change, Change::Lost(m) if m == who) {
                *change = Change::Left(who.clone());
            }
        }
    }

    /// Leaves: a word to each member, and no more after it.
    pub fn leave(&mut self, now: Micros, cluster: u64, out: &mut Output) {
        if self.leaves {
            return;
        }
        for member in &self.live {
            let word = codec::packet(cluster, Body::Leaving(self.foca.identity().written()));
            out.packets.push((member.at, word));
        }
        self.ask(now, out, |foca, said| foca.leave_cluster(said));
        self.leaves = true;
        self.timers.clear();
    }

    /// Whether it has left.
    pub fn gone(&self) -> bool {
        self.leaves
    }

    /// Asks the library for something, and takes what it says.
    fn ask<E>(
        &mut self,
        now: Micros,
        out: &mut Output,
        what: impl FnOnce(&mut Library, &mut Said) -> Result<(), E>,
    ) -> bool {
        let mut said = Said { seen: self.seen.clone(), ..Said::default() };
        let (done, probed) = (what(&mut self.foca, &mut said).is_ok(), self.probed);
        let lived = now - self.lost;
        for (timer, after) in said.timers {
            if let Timer::ChangeSuspectToDown { member_id, incarnation, .. } = &timer {
                self.suspects.insert(member_id.at, Suspect { since: now, called: None, heard: false });
                if probed {
                    out.suspects.push((member_id.clone(), u32::from(*incarnation)));
                }
            }
            self.made += 1;
            self.timers.push(Reverse((lived + after.as_micros() as Micros, self.made, timer)));
        }
        for (to, swim, probe) in said.send {
            for _ in 1..if probe { self.copies } else { 1 } {
                out.swim.push((to.at, swim.clone()));
            }
            out.swim.push((to.at, swim));
        }
        if said.dirty {
            self.live = self.foca.iter_members().map(|m| m.id().clone()).collect();
        }
        out.changes.extend(said.changes);
        done
    }
}

/// What came of it.
#[derive(Default)]
pub struct Output {
    /// The library's part of datagrams, and to whom.
    pub swim: Vec<(SocketAddr, Vec<u8>)>,
    /// Whole datagrams.
    pub packets: Vec<(SocketAddr, Vec<u8>)>,
    /// What changed.
    pub changes: Vec<Change>,
    /// Whom to tell that it is suspected, and in which incarnation.
    pub suspects: Vec<(Member, u32)>,
    /// Datagrams that named too many.
    pub full: u64,
}
