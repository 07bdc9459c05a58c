//! What happens in simulated time, and what members do about it.

use super::{CALL, Happens, ROUND, SOCKET, World, address, number};
use roselock_peers::Micros;
use roselock_peers::SECOND;
use roselock_peers::lists::ListUpdate;
use roselock_peers::peers::{Action, Event, REQUEST_TIMEOUT, WatchMode};
use std::cmp::Reverse;

impl World {
    pub(super) fn perform(&mut self, n: usize, acts: Vec<Action>) {
        for act in acts {
            match act {
                Action::Send(to, packet) => {
                    let to = number(to);
                    let lost = self.loss > 0.0 && self.draw() < self.loss;
                    if to < self.nodes.len() && !lost && (self.passes)(n, to) {
                        let way = 200 + (self.draw() * 800.0) as Micros;
                        self.put(self.now + way, Happens::Packet(to, packet));
                    }
                }
                Action::Request(to, frame) => {
                    let to = number(to);
                    let reached = to < self.nodes.len() && (self.passes)(n, to) && (self.passes)(to, n);
                    if reached {
                        let way = 600 + (self.draw() * 2000.0) as Micros;
                        self.put(self.now + way, Happens::Asked { from: n, to, frame: frame[4..].to_vec() });
                    } else {
                        let at = self.now + REQUEST_TIMEOUT;
                        self.put(at, Happens::Answer { to: n, at: address(to), answer: None });
                    }
                }
                Action::UpdateHosts(_) => {
                    let now = self.now;
                    let rev = self.nodes[n]
                        .peers
                        .as_ref()
                        .and_then(|peers| peers.list(now))
                        .map_or(0, |list| list.version.rev);
                    let node = &mut self.nodes[n];
                    node.listed.get_or_insert(now);
                    if rev != node.rev {
                        node.rev = rev;
                        node.told_at = now;
                    }
                }
                Action::Watch(ask) => self.told_to_ask(n, ask),
                Action::ReloadList(_) => {
                    self.nodes[n].watch = false;
                    self.nodes[n].call += 1;
                    let call = self.nodes[n].call;
                    self.put(self.now + 1000, Happens::Calls(n, call));
                }
                Action::Fleet(fleet) => self.nodes[n].fleet = fleet,
                Action::MemberChanged(change) => {
                    let now = self.now;
                    self.nodes[n].changes.push((now, change));
                }
            }
        }
    }

    pub(super) fn told_to_ask(&mut self, n: usize, ask: WatchMode) {
        self.nodes[n].ask = ask;
        self.nodes[n].call += 1;
        let call = self.nodes[n].call;
        match ask {
            WatchMode::Off => {
                if std::mem::take(&mut self.nodes[n].watch) {
                    self.give(n, Event::WatchClosed);
                }
            }
            WatchMode::Now if self.nodes[n].watch => {}
            WatchMode::Now => self.put(self.now, Happens::Calls(n, call)),
            WatchMode::Paced => {
                let round = ROUND * self.nodes.len() as Micros;
                let at = self.now + (self.draw() * round as f64) as Micros;
                self.put(at, Happens::Calls(n, call));
            }
        }
    }

    /// Plays until then.
    pub fn run_until(&mut self, until: Micros) {
        while let Some(Reverse((at, _, slot))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            let Some(what) = self.pending[slot].take() else { continue };
            self.free.push(slot);
            self.now = self.now.max(at);
            self.happen(what);
        }
        self.now = until;
    }

    pub(super) fn happen(&mut self, what: Happens) {
        match what {
            Happens::Wake(n, wake) => {
                if self.nodes[n].wake == wake && !self.nodes[n].stopped {
                    self.give(n, Event::Tick);
                    self.wake(n);
                }
            }
            Happens::Packet(n, packet) => {
                if self.nodes[n].stopped {
                    if self.nodes[n].socket.len() < SOCKET {
                        self.nodes[n].socket.push_back(packet);
                    }
                    return;
                }
                self.give(n, Event::Datagram(&packet));
            }
            Happens::Check => {
                for n in 0..self.nodes.len() {
                    self.check_incarnations(n);
                }
                self.put(self.now + SECOND / 4, Happens::Check);
            }
            Happens::Asked { from, to, frame } => self.answer_request(from, to, &frame),
            Happens::Answer { to, at, answer } => {
                if !self.nodes[to].stopped {
                    self.give(to, Event::Response(at, answer.as_deref()));
                }
            }
            Happens::Calls(n, call) => self.call_discovery(n, call),
            Happens::Called(n, call, answered) => {
                if self.nodes[n].call != call || self.nodes[n].peers.is_none() {
                    return;
                }
                if answered {
                    self.nodes[n].watch = true;
                    let news = self.whole(self.nodes[n].called_at);
                    self.give(n, Event::ListUpdate(news));
                } else {
                    self.closed(n);
                }
            }
            Happens::News(n, call, news) => {
                if self.nodes[n].call == call && self.nodes[n].watch {
                    self.give(n, Event::ListUpdate(news));
                }
            }
            Happens::Beat => self.beat(),
        }
    }

    /// A member answers another one's request.
    fn answer_request(&mut self, from: usize, to: usize, frame: &[u8]) {
        let now = self.clock(to);
        let mut acts = Vec::new();
        let stopped = self.nodes[to].stopped;
        let up = self.nodes[to].peers.as_mut().filter(|_| !stopped);
        let answer = up.and_then(|p| p.handle_request(now, frame, &mut acts));
        self.perform(to, acts);
        let way = 600 + (self.draw() * 2000.0) as Micros;
        let answer = answer.map(|a| a[4..].to_vec()).filter(|_| (self.passes)(to, from));
        self.put(self.now + way, Happens::Answer { to: from, at: address(to), answer });
    }

    /// A member calls the list service, which serves one call after another and gives none longer than two seconds.
    fn call_discovery(&mut self, n: usize, call: u64) {
        if self.nodes[n].call != call || self.nodes[n].stopped || self.nodes[n].peers.is_none() {
            return;
        }
        self.nodes[n].called_at = self.clock(n);
        if !(self.serves)(n) {
            return self.put(self.now + SECOND, Happens::Called(n, call, false));
        }
        self.calls += 1;
        self.free_at = self.free_at.max(self.now) + CALL;
        let late = self.free_at - self.now > 2 * SECOND;
        let at = self.free_at;
        self.put(if late { self.now + 2 * SECOND } else { at }, Happens::Called(n, call, !late));
    }

    /// The list service writes an empty line on each open watch.
    fn beat(&mut self) {
        for n in 0..self.nodes.len() {
            if self.nodes[n].watch {
                if (self.serves)(n) && !self.nodes[n].stopped {
                    self.give(n, Event::WatchAlive);
                } else if !(self.serves)(n) {
                    self.closed(n);
                }
            }
        }
        self.put(self.now + 2 * SECOND, Happens::Beat);
    }

    /// A call failed, or a watch ended: it calls again, if it still is to.
    pub(super) fn closed(&mut self, n: usize) {
        self.nodes[n].watch = false;
        self.nodes[n].call += 1;
        let call = self.nodes[n].call;
        self.give(n, Event::WatchClosed);
        if self.nodes[n].ask != WatchMode::Off && self.nodes[n].call == call {
            let again = self.now + SECOND / 4 + (self.draw() * SECOND as f64) as Micros;
            self.put(again, Happens::Calls(n, call));
        }
    }

    pub(super) fn whole(&self, asked: Micros) -> ListUpdate {
        ListUpdate {
            complete: true,
            rev: self.rev,
            targets: self.service.values().cloned().collect(),
            requested_at: asked,
        }
    }
}
