//! The events of a simulation, and the actions of its members.

use super::{
    CALL_DURATION, POLL_ROUND_PER_MEMBER, RECEIVE_BUFFER_PACKETS, ScheduledEvent, Simulation, address,
    node_index,
};
use roselock_peers::Micros;
use roselock_peers::SECOND;
use roselock_peers::lists::ListUpdate;
use roselock_peers::peers::{Action, Event, REQUEST_TIMEOUT, WatchMode};
use std::cmp::Reverse;

impl Simulation {
    /// Applies the actions of a member.
    pub(super) fn apply_actions(&mut self, n: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, packet) => {
                    let to = node_index(to);
                    let lost = self.packet_loss > 0.0 && self.random_unit() < self.packet_loss;
                    if to < self.nodes.len() && !lost && (self.link_works)(n, to) {
                        let delay = 200 + (self.random_unit() * 800.0) as Micros;
                        self.schedule(self.now + delay, ScheduledEvent::Packet(to, packet));
                    }
                }
                Action::Request(to, frame) => {
                    let to = node_index(to);
                    let reached =
                        to < self.nodes.len() && (self.link_works)(n, to) && (self.link_works)(to, n);
                    if reached {
                        let delay = 600 + (self.random_unit() * 2000.0) as Micros;
                        self.schedule(
                            self.now + delay,
                            ScheduledEvent::RequestArrived { from: n, to, frame: frame[4..].to_vec() },
                        );
                    } else {
                        let at = self.now + REQUEST_TIMEOUT;
                        self.schedule(
                            at,
                            ScheduledEvent::ResponseArrived { to: n, at: address(to), answer: None },
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
                Action::Watch(mode) => self.apply_watch_mode(n, mode),
                Action::ReloadList(_) => {
                    self.nodes[n].watch_open = false;
                    self.nodes[n].call_id += 1;
                    let call = self.nodes[n].call_id;
                    self.schedule(self.now + 1000, ScheduledEvent::CallStarted(n, call));
                }
                Action::Fleet(fleet) => self.nodes[n].fleet = fleet,
                Action::MemberChanged(change) => {
                    let now = self.now;
                    self.nodes[n].changes.push((now, change));
                }
            }
        }
    }

    pub(super) fn apply_watch_mode(&mut self, n: usize, mode: WatchMode) {
        self.nodes[n].watch_mode = mode;
        self.nodes[n].call_id += 1;
        let call = self.nodes[n].call_id;
        match mode {
            WatchMode::Off => {
                if std::mem::take(&mut self.nodes[n].watch_open) {
                    self.handle_event(n, Event::WatchClosed);
                }
            }
            WatchMode::Now if self.nodes[n].watch_open => {}
            WatchMode::Now => self.schedule(self.now, ScheduledEvent::CallStarted(n, call)),
            WatchMode::Paced => {
                let round = POLL_ROUND_PER_MEMBER * self.nodes.len() as Micros;
                let at = self.now + (self.random_unit() * round as f64) as Micros;
                self.schedule(at, ScheduledEvent::CallStarted(n, call));
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
            let Some(event) = self.pending[slot].take() else { continue };
            self.free_slots.push(slot);
            self.now = self.now.max(at);
            self.process_event(event);
        }
        self.now = until;
    }

    pub(super) fn process_event(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::TimerFired(n, timer_generation) => {
                if self.nodes[n].timer_generation == timer_generation && !self.nodes[n].stopped {
                    self.handle_event(n, Event::Tick);
                    self.set_timer(n);
                }
            }
            ScheduledEvent::Packet(n, packet) => {
                if self.nodes[n].stopped {
                    if self.nodes[n].receive_buffer.len() < RECEIVE_BUFFER_PACKETS {
                        self.nodes[n].receive_buffer.push_back(packet);
                    }
                    return;
                }
                self.handle_event(n, Event::Datagram(&packet));
            }
            ScheduledEvent::CheckIncarnations => {
                for n in 0..self.nodes.len() {
                    self.check_incarnations(n);
                }
                self.schedule(self.now + SECOND / 4, ScheduledEvent::CheckIncarnations);
            }
            ScheduledEvent::RequestArrived { from, to, frame } => self.answer_request(from, to, &frame),
            ScheduledEvent::ResponseArrived { to, at, answer } => {
                if !self.nodes[to].stopped {
                    self.handle_event(to, Event::Response(at, answer.as_deref()));
                }
            }
            ScheduledEvent::CallStarted(n, call) => self.call_discovery(n, call),
            ScheduledEvent::CallEnded(n, call, answered) => {
                if self.nodes[n].call_id != call || self.nodes[n].peers.is_none() {
                    return;
                }
                if answered {
                    self.nodes[n].watch_open = true;
                    let update = self.complete_list(self.nodes[n].called_at);
                    self.handle_event(n, Event::ListUpdate(update));
                } else {
                    self.end_watch(n);
                }
            }
            ScheduledEvent::ListChange(n, call, update) => {
                if self.nodes[n].call_id == call && self.nodes[n].watch_open {
                    self.handle_event(n, Event::ListUpdate(update));
                }
            }
            ScheduledEvent::Heartbeat => self.send_heartbeats(),
        }
    }

    /// Passes a request to its receiver, and schedules the arrival of the response.
    fn answer_request(&mut self, from: usize, to: usize, frame: &[u8]) {
        let now = self.clock(to);
        let mut actions = Vec::new();
        let stopped = self.nodes[to].stopped;
        let running = self.nodes[to].peers.as_mut().filter(|_| !stopped);
        let answer = running.and_then(|peers| peers.handle_request(now, frame, &mut actions));
        self.apply_actions(to, actions);
        let delay = 600 + (self.random_unit() * 2000.0) as Micros;
        let answer = answer.map(|frame| frame[4..].to_vec()).filter(|_| (self.link_works)(to, from));
        self.schedule(
            self.now + delay,
            ScheduledEvent::ResponseArrived { to: from, at: address(to), answer },
        );
    }

    /// Starts a call of a member to the discovery service, which serves one call at a time and rejects a call after
    /// two seconds if it cannot be served by then.
    fn call_discovery(&mut self, n: usize, call: u64) {
        if self.nodes[n].call_id != call || self.nodes[n].stopped || self.nodes[n].peers.is_none() {
            return;
        }
        self.nodes[n].called_at = self.clock(n);
        if !(self.reaches_service)(n) {
            return self.schedule(self.now + SECOND, ScheduledEvent::CallEnded(n, call, false));
        }
        self.service_calls += 1;
        self.service_free_at = self.service_free_at.max(self.now) + CALL_DURATION;
        let is_rejected = self.service_free_at - self.now > 2 * SECOND;
        let at = self.service_free_at;
        self.schedule(
            if is_rejected { self.now + 2 * SECOND } else { at },
            ScheduledEvent::CallEnded(n, call, !is_rejected),
        );
    }

    /// Sends a heartbeat of the discovery service on each open watch.
    fn send_heartbeats(&mut self) {
        for n in 0..self.nodes.len() {
            if self.nodes[n].watch_open {
                if (self.reaches_service)(n) && !self.nodes[n].stopped {
                    self.handle_event(n, Event::WatchKeepAlive);
                } else if !(self.reaches_service)(n) {
                    self.end_watch(n);
                }
            }
        }
        self.schedule(self.now + 2 * SECOND, ScheduledEvent::Heartbeat);
    }

    /// Ends the watch of a member, or its call that has failed; the member calls again unless its watch mode is off.
    pub(super) fn end_watch(&mut self, n: usize) {
        self.nodes[n].watch_open = false;
        self.nodes[n].call_id += 1;
        let call = self.nodes[n].call_id;
        self.handle_event(n, Event::WatchClosed);
        if self.nodes[n].watch_mode != WatchMode::Off && self.nodes[n].call_id == call {
            let retry_at = self.now + SECOND / 4 + (self.random_unit() * SECOND as f64) as Micros;
            self.schedule(retry_at, ScheduledEvent::CallStarted(n, call));
        }
    }

    /// Returns the complete list of the discovery service, as the response to a request.
    pub(super) fn complete_list(&self, requested_at: Micros) -> ListUpdate {
        ListUpdate {
            complete: true,
            rev: self.rev,
            targets: self.service_hosts.values().cloned().collect(),
            requested_at,
        }
    }
}
