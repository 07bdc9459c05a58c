//! The occurrences of a simulation, and the actions of members.

use super::{CALL_DURATION, Occurrence, POLL_ROUND_PER_MEMBER, SOCKET_PACKETS, World, address, number};
use roselock_peers::Micros;
use roselock_peers::SECOND;
use roselock_peers::lists::ListUpdate;
use roselock_peers::peers::{Action, Event, REQUEST_TIMEOUT, WatchMode};
use std::cmp::Reverse;

impl World {
    pub(super) fn apply_actions(&mut self, n: usize, acts: Vec<Action>) {
        for act in acts {
            match act {
                Action::Send(to, packet) => {
                    let to = number(to);
                    let lost = self.loss > 0.0 && self.draw() < self.loss;
                    if to < self.nodes.len() && !lost && (self.link_works)(n, to) {
                        let way = 200 + (self.draw() * 800.0) as Micros;
                        self.schedule(self.now + way, Occurrence::Packet(to, packet));
                    }
                }
                Action::Request(to, frame) => {
                    let to = number(to);
                    let reached =
                        to < self.nodes.len() && (self.link_works)(n, to) && (self.link_works)(to, n);
                    if reached {
                        let way = 600 + (self.draw() * 2000.0) as Micros;
                        self.schedule(
                            self.now + way,
                            Occurrence::RequestArrived { from: n, to, frame: frame[4..].to_vec() },
                        );
                    } else {
                        let at = self.now + REQUEST_TIMEOUT;
                        self.schedule(
                            at,
                            Occurrence::ResponseArrived { to: n, at: address(to), answer: None },
                        );
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
                    node.first_list_at.get_or_insert(now);
                    if rev != node.rev {
                        node.rev = rev;
                        node.rev_at = now;
                    }
                }
                Action::Watch(ask) => self.apply_watch_mode(n, ask),
                Action::ReloadList(_) => {
                    self.nodes[n].watch_open = false;
                    self.nodes[n].call += 1;
                    let call = self.nodes[n].call;
                    self.schedule(self.now + 1000, Occurrence::CallStarted(n, call));
                }
                Action::Fleet(fleet) => self.nodes[n].fleet = fleet,
                Action::MemberChanged(change) => {
                    let now = self.now;
                    self.nodes[n].changes.push((now, change));
                }
            }
        }
    }

    pub(super) fn apply_watch_mode(&mut self, n: usize, ask: WatchMode) {
        self.nodes[n].watch_mode = ask;
        self.nodes[n].call += 1;
        let call = self.nodes[n].call;
        match ask {
            WatchMode::Off => {
                if std::mem::take(&mut self.nodes[n].watch_open) {
                    self.handle_event(n, Event::WatchClosed);
                }
            }
            WatchMode::Now if self.nodes[n].watch_open => {}
            WatchMode::Now => self.schedule(self.now, Occurrence::CallStarted(n, call)),
            WatchMode::Paced => {
                let round = POLL_ROUND_PER_MEMBER * self.nodes.len() as Micros;
                let at = self.now + (self.draw() * round as f64) as Micros;
                self.schedule(at, Occurrence::CallStarted(n, call));
            }
        }
    }

    /// Runs the simulation up to a time.
    pub fn run_until(&mut self, until: Micros) {
        while let Some(Reverse((at, _, slot))) = self.queue.peek().copied() {
            if at > until {
                break;
            }
            self.queue.pop();
            let Some(what) = self.pending[slot].take() else { continue };
            self.free_slots.push(slot);
            self.now = self.now.max(at);
            self.process_occurrence(what);
        }
        self.now = until;
    }

    pub(super) fn process_occurrence(&mut self, what: Occurrence) {
        match what {
            Occurrence::TimerFired(n, wake) => {
                if self.nodes[n].wake == wake && !self.nodes[n].stopped {
                    self.handle_event(n, Event::Tick);
                    self.wake(n);
                }
            }
            Occurrence::Packet(n, packet) => {
                if self.nodes[n].stopped {
                    if self.nodes[n].socket.len() < SOCKET_PACKETS {
                        self.nodes[n].socket.push_back(packet);
                    }
                    return;
                }
                self.handle_event(n, Event::Datagram(&packet));
            }
            Occurrence::CheckIncarnations => {
                for n in 0..self.nodes.len() {
                    self.check_incarnations(n);
                }
                self.schedule(self.now + SECOND / 4, Occurrence::CheckIncarnations);
            }
            Occurrence::RequestArrived { from, to, frame } => self.answer_request(from, to, &frame),
            Occurrence::ResponseArrived { to, at, answer } => {
                if !self.nodes[to].stopped {
                    self.handle_event(to, Event::Response(at, answer.as_deref()));
                }
            }
            Occurrence::CallStarted(n, call) => self.call_discovery(n, call),
            Occurrence::CallEnded(n, call, answered) => {
                if self.nodes[n].call != call || self.nodes[n].peers.is_none() {
                    return;
                }
                if answered {
                    self.nodes[n].watch_open = true;
                    let news = self.complete_list(self.nodes[n].called_at);
                    self.handle_event(n, Event::ListUpdate(news));
                } else {
                    self.end_watch(n);
                }
            }
            Occurrence::ListChange(n, call, news) => {
                if self.nodes[n].call == call && self.nodes[n].watch_open {
                    self.handle_event(n, Event::ListUpdate(news));
                }
            }
            Occurrence::Heartbeat => self.send_heartbeats(),
        }
    }

    /// A member answers the request of another.
    fn answer_request(&mut self, from: usize, to: usize, frame: &[u8]) {
        let now = self.clock(to);
        let mut acts = Vec::new();
        let stopped = self.nodes[to].stopped;
        let up = self.nodes[to].peers.as_mut().filter(|_| !stopped);
        let answer = up.and_then(|p| p.handle_request(now, frame, &mut acts));
        self.apply_actions(to, acts);
        let way = 600 + (self.draw() * 2000.0) as Micros;
        let answer = answer.map(|a| a[4..].to_vec()).filter(|_| (self.link_works)(to, from));
        self.schedule(self.now + way, Occurrence::ResponseArrived { to: from, at: address(to), answer });
    }

    /// A member calls the discovery service, which serves one call at a time and rejects calls after two seconds.
    fn call_discovery(&mut self, n: usize, call: u64) {
        if self.nodes[n].call != call || self.nodes[n].stopped || self.nodes[n].peers.is_none() {
            return;
        }
        self.nodes[n].called_at = self.clock(n);
        if !(self.reaches_service)(n) {
            return self.schedule(self.now + SECOND, Occurrence::CallEnded(n, call, false));
        }
        self.calls += 1;
        self.service_free_at = self.service_free_at.max(self.now) + CALL_DURATION;
        let late = self.service_free_at - self.now > 2 * SECOND;
        let at = self.service_free_at;
        self.schedule(if late { self.now + 2 * SECOND } else { at }, Occurrence::CallEnded(n, call, !late));
    }

    /// The discovery service sends a heartbeat on each open watch.
    fn send_heartbeats(&mut self) {
        for n in 0..self.nodes.len() {
            if self.nodes[n].watch_open {
                if (self.reaches_service)(n) && !self.nodes[n].stopped {
                    self.handle_event(n, Event::WatchAlive);
                } else if !(self.reaches_service)(n) {
                    self.end_watch(n);
                }
            }
        }
        self.schedule(self.now + 2 * SECOND, Occurrence::Heartbeat);
    }

    /// A call has failed, or a watch has ended: the member calls again, if it is still to watch.
    pub(super) fn end_watch(&mut self, n: usize) {
        self.nodes[n].watch_open = false;
        self.nodes[n].call += 1;
        let call = self.nodes[n].call;
        self.handle_event(n, Event::WatchClosed);
        if self.nodes[n].watch_mode != WatchMode::Off && self.nodes[n].call == call {
            let again = self.now + SECOND / 4 + (self.draw() * SECOND as f64) as Micros;
            self.schedule(again, Occurrence::CallStarted(n, call));
        }
    }

    pub(super) fn complete_list(&self, asked: Micros) -> ListUpdate {
        ListUpdate {
            complete: true,
            rev: self.rev,
            targets: self.service_hosts.values().cloned().collect(),
            requested_at: asked,
        }
    }
}
