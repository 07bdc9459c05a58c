//! One dispatcher among its peers: datagrams, frames, news of the list service and time in; what to send, to tell the
//! decisions and to ask the service out.

use crate::askers::{self, Askers, Candidate};
use crate::codec::{self, Foreign, PACKET};
use crate::count::{Count, Fleet};
use crate::lists::{Do, Lists, News, Why};
use crate::member::Member;
use crate::membership::{self, Counts, Membership};
use crate::wire::{self, Body, Change, Digest, Said, Target, Version};
use crate::{Micros, SECOND};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// How long a dispatcher that is alone waits for its peers before it goes on without them.
const JOIN: Micros = SECOND;
/// A view that has not changed for so long is taken for whole, and any after this.
const SETTLED: Micros = SECOND;
const SETTLES: Micros = 3 * SECOND;
/// Digests go to some drawn members in this span.
const DIGEST: Micros = SECOND * 2 / 5;
const DIGEST_TO: usize = 2;
/// A new version goes to so many.
const PASS_TO: usize = 6;
/// All that is known is exchanged with one in this span, and so long after the first was met.
const SYNC: Micros = 20 * SECOND;
const FIRST_SYNCS: [Micros; 3] = [0, SECOND / 2, 3 * SECOND / 2];
/// A question over TCP may take so long.
pub const QUESTION: Micros = 2 * SECOND;
/// Askers named in a digest.
const NAMED: usize = 16;
/// Who suspects a member tells it so, through so many others as well, the best placed of so many drawn.
const THROUGH: usize = 3;
const DRAWN: usize = 12;
/// Who was asked to call a suspect tells who asked, if it hears of it so soon; so many questions are kept.
const VOUCH: Micros = SECOND;
const VOUCHES: usize = 64;
/// The figures for the decisions are looked at in this span, and the watch at the list service in this.
const LOOK: Micros = SECOND / 10;
const ELECTION: Micros = SECOND / 2;

/// What an installation says.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This member.
    pub me: Member,
    /// The cluster's name.
    pub cluster: String,
    /// Addresses to ask for the others; any one is enough to join.
    pub seeds: Vec<SocketAddr>,
    /// What the decisions were told.
    pub told: Fleet,
    /// How many keep the watch at the list service; two a zone at least.
    pub askers: usize,
    /// News older than this make a dispatcher ask by itself.
    pub stale_after: Micros,
    /// The longest cut that is reckoned with.
    pub heal: Micros,
    /// Most members.
    pub most: usize,
}

/// What came in.
pub enum Event<'a> {
    /// A datagram.
    Datagram(&'a [u8]),
    /// The answer to a question of ours at an address, none if there was none.
    Answer(SocketAddr, Option<&'a [u8]>),
    /// The list service has told something.
    Service(News),
    /// Our watch is open and goes on from what is held.
    Opened,
    /// A word of our watch without news.
    Alive,
    /// Our call failed, or our watch ended.
    Closed,
    /// Time has passed.
    Pass,
}

/// Whether to keep the watch at the list service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ask {
    /// No: the peers tell.
    Hold,
    /// Yes, at once.
    Now,
    /// As without peers: at one's place in a round.
    Paced,
}

/// What to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// Send a datagram.
    Send(SocketAddr, Vec<u8>),
    /// Ask a question over TCP: one frame, one answer.
    Question(SocketAddr, Vec<u8>),
    /// Tell the decisions of hosts: a complete list or not, the lines, and how long ago the service spoke.
    Tell(bool, Vec<Target>, Micros),
    /// Keep the watch, or not.
    Ask(Ask),
    /// End the watch that is open: the whole list is to be asked for.
    Reopen(Why),
    /// Tell the decisions how many there are.
    Fleet(Fleet),
    /// A member came, was lost, left; or we are back.
    Changed(membership::Change),
}

/// Figures for staff.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Figures {
    /// Datagrams sent and taken in, and their bytes.
    pub sent: (u64, u64),
    /// See [`Figures::sent`].
    pub heard: (u64, u64),
    /// Questions asked, and of them unanswered.
    pub questions: (u64, u64),
    /// Dropped: garbage, of another format, of another cluster, naming too many members.
    pub dropped: [u64; 4],
    /// Versions that were told twice with different lines, and watches that were opened anew for them.
    pub torn: u64,
    /// Versions taken in, and how old the latest one was when it came, in microseconds.
    pub versions: u64,
    /// See [`Figures::versions`].
    pub age: Micros,
}

/// How a member stands, for staff.
#[derive(Clone, Debug, PartialEq)]
pub struct Standing {
    /// Who it is.
    pub member: Member,
    /// `alive`, `suspect` or `down`.
    pub state: &'static str,
    /// It keeps the watch.
    pub asks: bool,
}

/// One dispatcher among its peers.
pub struct Peers {
    set: Settings,
    cluster: u64,
    membership: Membership,
    askers: Askers,
    lists: Lists,
    count: Count,
    born: Micros,
    met: Option<Micros>,
    syncs: usize,
    next_sync: Micros,
    next_digest: Micros,
    next_look: Micros,
    /// When the watch is thought over anew: with each change of the members, and now and then.
    next_election: Micros,
    asked: Ask,
    fleet: Fleet,
    fetching: Option<(SocketAddr, Micros)>,
    /// Suspects that we were asked to call, by whom, and when.
    vouches: Vec<(SocketAddr, SocketAddr, Micros)>,
    figures: Figures,
}

impl Peers {
    /// Begins alone.
    pub fn new(set: Settings, seed: u64, now: Micros) -> Peers {
        let membership = Membership::new(set.me.clone(), set.seeds.clone(), set.most, seed, now);
        Peers {
            cluster: codec::cluster(&set.cluster),
            membership,
            askers: Askers::default(),
            lists: Lists::default(),
            count: Count::new(&set.me.name, set.told, set.heal, now),
            born: now,
            met: None,
            syncs: 0,
            next_sync: now,
            next_digest: now + DIGEST,
            next_look: now,
            next_election: now,
            asked: Ask::Hold,
            fleet: set.told,
            fetching: None,
            vouches: Vec::new(),
            figures: Figures::default(),
            set,
        }
    }

    /// Other seeds, numbers and spans from now on.
    pub fn retell(&mut self, set: Settings) {
        self.membership.set_seeds(set.seeds.clone());
        self.count.tell(set.told, set.heal);
        self.set = Settings { me: self.set.me.clone(), cluster: self.set.cluster.clone(), ..set };
    }

    /// This member.
    pub fn me(&self) -> &Member {
        self.membership.me()
    }
    /// How the others stand.
    pub fn counts(&self) -> Counts {
        self.membership.counts()
    }
    /// The figures.
    pub fn figures(&self) -> &Figures {
        &self.figures
    }
    /// The version of the list that is held, how many hosts it has, and how long ago the service spoke.
    pub fn list(&self, now: Micros) -> Option<(Version, usize, Micros)> {
        Some((self.lists.version()?, self.lists.hosts(), self.lists.age(now)?))
    }
    /// What the decisions were told last.
    pub fn fleet(&self) -> Fleet {
        self.fleet
    }
    /// Whether it keeps the watch, and is asked to.
    pub fn asks(&self) -> (bool, Ask) {
        (self.lists.watches(), self.asked)
    }
    /// Members whose watch is open, as far as known.
    pub fn askers(&self, now: Micros) -> Vec<String> {
        self.askers.known(now).filter(|a| a.1).map(|a| a.0.to_owned()).collect()
    }
    /// Whether a live member is at an address.
    pub fn knows(&self, at: SocketAddr) -> bool {
        self.membership.live().iter().any(|m| m.at == at)
    }
    /// The other live members.
    pub fn live(&self) -> &[Member] {
        self.membership.live()
    }
    /// From suspicion to death, as it is now.
    pub fn suspicion(&self) -> Micros {
        self.membership.suspicion()
    }
    /// All members, for staff.
    pub fn standing(&self, now: Micros) -> Vec<Standing> {
        let asking: BTreeSet<&str> = self.askers.known(now).filter(|a| a.1).map(|a| a.0).collect();
        let of =
            |m: &Member, state| Standing { member: m.clone(), state, asks: asking.contains(m.name.as_str()) };
        let others = self.membership.all().map(|m| {
            let state = match m.state() {
                foca::State::Alive => "alive",
                foca::State::Suspect => "suspect",
                foca::State::Down => "down",
            };
            of(m.id(), state)
        });
        let mut all: Vec<Standing> = others.chain([of(self.me(), "alive")]).collect();
        all.sort_by(|a, b| a.member.name.cmp(&b.member.name));
        all
    }

    /// The life, turn and incarnation in which each other member that is not down is known.
    pub fn incarnations(&self) -> impl Iterator<Item = (SocketAddr, (u64, u32, u16))> {
        let up = self.membership.all().filter(|m| m.state() != foca::State::Down);
        up.map(|m| (m.id().at, (m.id().life, m.id().turn, m.incarnation())))
    }

    /// When there is something to do without news.
    pub fn due(&self) -> Micros {
        self.membership.due().min(self.next_look).min(self.next_digest)
    }

    /// Takes in what came, and says what to do.
    pub fn handle(&mut self, now: Micros, event: Event, acts: &mut Vec<Act>) {
        let mut out = membership::Output::default();
        match event {
            Event::Datagram(bytes) => self.datagram(now, bytes, &mut out, acts),
            Event::Answer(at, answer) => self.answer(now, at, answer, &mut out, acts),
            Event::Service(news) => {
                let what = self.lists.service(now, news);
                self.perform(now, what, None, acts);
                self.say_asking(now);
            }
            Event::Opened => {
                self.lists.opened(now);
                self.say_asking(now);
            }
            Event::Alive => {
                self.lists.alive(now);
                self.say_asking(now);
            }
            Event::Closed => {
                self.lists.closed();
                let name = self.me().name.clone();
                self.askers.said(&name, false, now);
                self.next_election = now;
                self.look(now, acts);
            }
            Event::Pass => self.pass(now, &mut out, acts),
        }
        self.take(now, out, acts);
    }

    fn say_asking(&mut self, now: Micros) {
        if self.lists.watches() {
            let name = self.me().name.clone();
            self.askers.said(&name, true, now);
        }
    }

    fn pass(&mut self, now: Micros, out: &mut membership::Output, acts: &mut Vec<Act>) {
        self.membership.pass(now, out);
        if now >= self.next_look {
            self.next_look = now + LOOK;
            self.look(now, acts);
        }
        if self.membership.gone() {
            self.next_digest = Micros::MAX;
            return;
        }
        if now >= self.next_digest {
            let draw = self.membership.drawn();
            self.next_digest = now + (DIGEST as f64 * (0.75 + draw / 2.0)) as Micros;
            self.askers.forget(now);
            let to = self.membership.draw(DIGEST_TO);
            self.digest(now, &to, false, acts);
        }
        if self.met.is_some() && now >= self.next_sync {
            let draw = self.membership.drawn();
            self.syncs += 1;
            self.next_sync = match FIRST_SYNCS.get(self.syncs) {
                Some(after) => self.met.unwrap_or(now) + after,
                None => now + (SYNC as f64 * (0.5 + draw)) as Micros,
            };
            for member in self.membership.draw(1) {
                self.question(member.at, Said::Members(self.membership.states()), acts);
            }
        }
    }

    /// What the membership says.
    fn take(&mut self, now: Micros, out: membership::Output, acts: &mut Vec<Act>) {
        for (to, swim) in out.swim {
            self.send(to, codec::packet(self.cluster, Body::Swim(swim)), acts);
        }
        for (to, packet) in out.packets {
            self.send(to, packet, acts);
        }
        self.figures.dropped[3] += out.full;
        if !out.changes.is_empty() {
            self.next_election = now;
        }
        for change in out.changes {
            match &change {
                membership::Change::Up(m) => self.count.up(&m.name, now),
                membership::Change::Lost(m) => self.count.lost(&m.name, now),
                membership::Change::Left(m) => self.count.left(&m.name, now),
                membership::Change::Back(_) => {}
            }
            acts.push(Act::Changed(change));
        }
        if self.met.is_none() && !self.membership.live().is_empty() {
            (self.met, self.next_sync) = (Some(now), now);
            self.next_digest = now;
        }
        for (member, incarnation) in out.suspects {
            self.tell_suspect(&member, incarnation, acts);
        }
    }

    /// A member was heard: whoever asked us to tell it of a suspicion is told so.
    fn heard_from(&mut self, now: Micros, source: wire::MemberState, acts: &mut Vec<Act>) {
        let Some(at) = source.member.as_ref().and_then(Member::read).map(|m| m.at) else { return };
        self.membership.heard_from(at);
        self.vouches.retain(|v| now - v.2 < VOUCH);
        let (told, kept) = std::mem::take(&mut self.vouches).into_iter().partition(|v| v.0 == at);
        self.vouches = kept;
        let told: Vec<(SocketAddr, SocketAddr, Micros)> = told;
        for (_, asker, _) in told {
            self.send(asker, codec::packet(self.cluster, Body::Heard(source.clone())), acts);
        }
    }

    /// Tells a member that we suspect it, also through some of other zones: a cut between two zones is no death.
    fn tell_suspect(&mut self, suspect: &Member, incarnation: u32, acts: &mut Vec<Act>) {
        let (by, member) = (Some(self.me().written()), Some(suspect.written()));
        let packet = |through| {
            let word = wire::Suspected { by: by.clone(), member: member.clone(), incarnation, through };
            codec::packet(self.cluster, Body::Suspected(word))
        };
        let (direct, through) = (packet(false), packet(true));
        let zone = self.me().zone.clone();
        let mut others = self.membership.draw(DRAWN);
        others.retain(|m| m != suspect);
        others.sort_by_key(|m| (m.zone == zone) as u8 + (m.zone == suspect.zone) as u8);
        self.send(suspect.at, direct, acts);
        others.iter().take(THROUGH).for_each(|m| self.send(m.at, through.clone(), acts));
    }

    fn send(&mut self, to: SocketAddr, packet: Vec<u8>, acts: &mut Vec<Act>) {
        self.figures.sent.0 += 1;
        self.figures.sent.1 += packet.len() as u64;
        acts.push(Act::Send(to, packet));
    }

    fn question(&mut self, to: SocketAddr, what: Said, acts: &mut Vec<Act>) {
        self.figures.questions.0 += 1;
        acts.push(Act::Question(to, codec::frame(self.cluster, self.membership.me(), what)));
    }

    fn drop_foreign(&mut self, why: Foreign) {
        let at = match why {
            Foreign::Garbage => 0,
            Foreign::Format => 1,
            Foreign::Cluster => 2,
        };
        self.figures.dropped[at] += 1;
    }

    fn datagram(&mut self, now: Micros, bytes: &[u8], out: &mut membership::Output, acts: &mut Vec<Act>) {
        self.figures.heard.0 += 1;
        self.figures.heard.1 += bytes.len() as u64;
        let body = match codec::read_packet(self.cluster, bytes) {
            Ok(body) => body,
            Err(why) => return self.drop_foreign(why),
        };
        match body {
            Body::Swim(swim) => {
                codec::source(&swim).into_iter().for_each(|source| self.heard_from(now, source, acts));
                if !self.membership.heard(now, &swim, out) && codec::named(&swim).is_none() {
                    self.drop_foreign(Foreign::Garbage);
                }
            }
            Body::Suspected(word) => {
                let member = word.member.as_ref().and_then(Member::read);
                match member {
                    Some(m) if m.at == self.me().at => self.membership.suspected(now, &word, out),
                    Some(m) if word.through && self.knows(m.at) => {
                        let by = Some(self.me().written());
                        // The word goes on in our name: the answer comes to us, and we tell who asked.
                        let asker = word.by.as_ref().and_then(Member::read);
                        let asked = asker.filter(|_| self.vouches.len() < VOUCHES);
                        self.vouches.extend(asked.map(|asker| (m.at, asker.at, now)));
                        let on = wire::Suspected { through: false, by, ..word.clone() };
                        self.send(m.at, codec::packet(self.cluster, Body::Suspected(on)), acts);
                    }
                    _ => {}
                }
            }
            Body::Heard(state) => self.membership.vouched(now, &state, out),
            Body::Leaving(who) => {
                Member::read(&who).into_iter().for_each(|m| self.membership.left(now, &m, out));
            }
            Body::Digest(digest) => {
                let Some(from) = digest.from.as_ref().and_then(Member::read) else {
                    return self.drop_foreign(Foreign::Garbage);
                };
                self.membership.met(now, &from, out);
                self.compare(now, &from, &digest, acts);
            }
            Body::Change(change) => {
                let Some(from) = change.from.as_ref().and_then(Member::read) else {
                    return self.drop_foreign(Foreign::Garbage);
                };
                self.membership.met(now, &from, out);
                let what = self.lists.change(now, change);
                self.perform(now, what, Some(&from), acts);
            }
        }
    }

    fn compare(&mut self, now: Micros, from: &Member, digest: &Digest, acts: &mut Vec<Act>) {
        for asker in digest.askers.iter().take(NAMED) {
            // What is said of ourselves by others is what we said.
            if asker.name != self.me().name && asker.name.len() <= crate::member::NAME {
                let age = i64::try_from(asker.age_us).unwrap_or(Micros::MAX / 2);
                self.askers.said(&asker.name, asker.open, now.saturating_sub(age));
            }
        }
        let age = i64::try_from(digest.age_us).unwrap_or(Micros::MAX / 2);
        let ours = self.lists.version();
        if let Some(theirs) = &digest.version {
            let what = self.lists.compare(now, theirs, age);
            self.perform(now, what, Some(from), acts);
        }
        let behind = match (&digest.version, &ours) {
            (None, Some(_)) => true,
            (Some(t), Some(o)) => (t.generation, t.rev) < (o.generation, o.rev),
            _ => false,
        };
        if behind && !digest.answer {
            self.digest(now, std::slice::from_ref(from), true, acts);
        }
    }

    /// Sends what we have.
    fn digest(&mut self, now: Micros, to: &[Member], answer: bool, acts: &mut Vec<Act>) {
        if to.is_empty() {
            return;
        }
        let age = |at: Micros| (now - at).max(0) as u64;
        let mut askers: Vec<wire::Asker> = self
            .askers
            .known(now)
            .map(|(name, open, at)| wire::Asker { name: name.to_owned(), open, age_us: age(at) })
            .collect();
        askers.sort_by_key(|a| a.age_us);
        askers.truncate(NAMED);
        let digest = Digest {
            from: Some(self.me().written()),
            version: self.lists.version().filter(|_| self.lists.sound()),
            age_us: self.lists.age(now).unwrap_or(0) as u64,
            askers,
            answer,
        };
        let packet = codec::packet(self.cluster, Body::Digest(digest));
        to.iter().for_each(|m| self.send(m.at, packet.clone(), acts));
    }

    /// Does what the list says.
    fn perform(&mut self, now: Micros, what: Vec<Do>, from: Option<&Member>, acts: &mut Vec<Act>) {
        for what in what {
            match what {
                Do::Tell(whole, targets, age) => {
                    self.figures.versions += 1;
                    self.figures.age = age;
                    acts.push(Act::Tell(whole, targets, age));
                }
                Do::PassOn(change) => self.pass_on(now, change, acts),
                Do::Fetch => {
                    let idle = self.fetching.is_none_or(|(_, at)| now - at > QUESTION);
                    if let Some(from) = from.filter(|_| idle) {
                        self.fetching = Some((from.at, now));
                        let version = self.lists.version().unwrap_or_default();
                        self.question(from.at, Said::Pull(version), acts);
                    }
                }
                Do::AskAnew(why) => {
                    self.figures.torn += u64::from(why == Why::Conflict);
                    acts.push(Act::Reopen(why));
                }
            }
        }
    }

    fn pass_on(&mut self, now: Micros, change: Option<Change>, acts: &mut Vec<Act>) {
        let to = self.membership.draw(PASS_TO);
        let age_us = self.lists.age(now).unwrap_or(0) as u64;
        let packet = change.map(|change| {
            let change = Change { from: Some(self.me().written()), age_us, ..change };
            codec::packet(self.cluster, Body::Change(change))
        });
        match packet.filter(|p| p.len() <= PACKET) {
            Some(packet) => to.iter().for_each(|m| self.send(m.at, packet.clone(), acts)),
            None => self.digest(now, &to, false, acts),
        }
    }

    /// The answer to a question of ours.
    fn answer(
        &mut self,
        now: Micros,
        at: SocketAddr,
        answer: Option<&[u8]>,
        out: &mut membership::Output,
        acts: &mut Vec<Act>,
    ) {
        if self.fetching.is_some_and(|f| f.0 == at) {
            self.fetching = None;
        }
        let Some(bytes) = answer else {
            self.figures.questions.1 += 1;
            return;
        };
        match codec::read_frame(self.cluster, bytes) {
            Ok((_, Said::Members(members))) => self.membership.learn(now, &members, out),
            Ok((from, Said::Listing(listing))) => {
                let what = self.lists.listed(now, listing);
                self.perform(now, what, Some(&from), acts);
            }
            Ok(_) => {}
            Err(why) => self.drop_foreign(why),
        }
    }

    /// A question of another over TCP, without its length: the answer, with its own.
    pub fn asked(&mut self, now: Micros, frame: &[u8], acts: &mut Vec<Act>) -> Option<Vec<u8>> {
        let (from, said) = match codec::read_frame(self.cluster, frame) {
            Ok(read) => read,
            Err(why) => {
                self.drop_foreign(why);
                return None;
            }
        };
        let mut out = membership::Output::default();
        let answer = match said {
            Said::Members(members) => {
                self.membership.learn(now, &members, &mut out);
                Said::Members(self.membership.states())
            }
            Said::Pull(version) => {
                self.lists.listing(now, &version).map_or(Said::Nothing(wire::Nothing {}), Said::Listing)
            }
            Said::Listing(_) | Said::Nothing(_) => Said::Nothing(wire::Nothing {}),
        };
        self.membership.met(now, &from, &mut out);
        self.take(now, out, acts);
        Some(codec::frame(self.cluster, self.membership.me(), answer))
    }

    /// Leaves the others, with a word to each.
    pub fn leave(&mut self, now: Micros, acts: &mut Vec<Act>) {
        let mut out = membership::Output::default();
        self.membership.leave(now, self.cluster, &mut out);
        out.changes.clear();
        self.take(now, out, acts);
    }

    /// Looks whether to keep the watch, and how many there are.
    fn look(&mut self, now: Micros, acts: &mut Vec<Act>) {
        if now >= self.next_election {
            self.next_election = now + ELECTION;
            let ask = self.ask(now);
            if ask != self.asked {
                self.asked = ask;
                acts.push(Act::Ask(ask));
            }
        }
        let fleet = if self.membership.gone() {
            self.set.told
        } else {
            self.count.fleet(now, self.membership.all_seeds() && !self.membership.live().is_empty())
        };
        if fleet != self.fleet {
            self.fleet = fleet;
            acts.push(Act::Fleet(fleet));
        }
    }

    fn ask(&self, now: Micros) -> Ask {
        let live = self.membership.live();
        if self.membership.gone() {
            return Ask::Paced;
        }
        let me = self.me();
        let settled = now - self.count.changed() >= SETTLED || now - self.born >= SETTLES;
        if !settled || live.is_empty() {
            if self.lists.watches() || askers::early(&me.name, self.set.askers, self.set.told.size as usize) {
                return Ask::Now;
            }
            let waits = !live.is_empty() || now - self.born < JOIN;
            return if waits { self.hold(now) } else { Ask::Paced };
        }
        let all = live.iter().chain([me]);
        let members: Vec<Candidate> = all.map(|m| Candidate { name: &m.name, zone: &m.zone }).collect();
        if self.askers.wanted(now, &members, self.set.askers).contains(me.name.as_str()) {
            return Ask::Now;
        }
        self.hold(now)
    }

    /// The peers tell, as long as what they tell is fresh.
    fn hold(&self, now: Micros) -> Ask {
        let age = self.lists.age(now).unwrap_or(now - self.born);
        if age > self.set.stale_after { Ask::Paced } else { Ask::Hold }
    }
}
