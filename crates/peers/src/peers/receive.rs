//! Sending and receiving of datagrams, requests and responses.

use super::Peers;
use super::api::Action;
use crate::Micros;
use crate::codec::{self, RejectReason};
use crate::member::Member;
use crate::membership;
use crate::wire::{self, FrameBody, PacketBody};
use std::net::SocketAddr;

impl Peers {
    /// Sends and counts a datagram.
    pub(super) fn send(&mut self, to: SocketAddr, packet: Vec<u8>, actions: &mut Vec<Action>) {
        self.statistics.sent.add(&packet);
        actions.push(Action::Send(to, packet));
    }

    /// Sends and counts a request over TCP.
    pub(super) fn request(&mut self, to: SocketAddr, body: FrameBody, actions: &mut Vec<Action>) {
        self.statistics.requests += 1;
        actions.push(Action::Request(to, codec::encode_frame(self.cluster_hash, self.membership.me(), body)));
    }

    fn count_rejection(&mut self, reason: RejectReason) {
        let index = match reason {
            RejectReason::Malformed => 0,
            RejectReason::FormatMismatch => 1,
            RejectReason::ClusterMismatch => 2,
        };
        self.statistics.dropped[index] += 1;
    }

    /// Handles a received datagram.
    pub(super) fn receive_datagram(
        &mut self,
        now: Micros,
        bytes: &[u8],
        out: &mut membership::Output,
        actions: &mut Vec<Action>,
    ) {
        self.statistics.received.add(bytes);
        let body = match codec::decode_packet(self.cluster_hash, bytes) {
            Ok(body) => body,
            Err(reason) => return self.count_rejection(reason),
        };
        match body {
            PacketBody::Swim(swim) => {
                if let Some(source) = codec::sender_state(&swim) {
                    self.record_member_message(now, source, actions);
                }
                if !self.membership.receive_swim(now, &swim, out) && codec::named_members(&swim).is_none() {
                    self.count_rejection(RejectReason::Malformed);
                }
            }
            PacketBody::Suspected(suspected) => self.receive_suspicion(now, &suspected, out, actions),
            PacketBody::Heard(state) => self.membership.confirm_alive(now, &state, out),
            PacketBody::Leaving(identity) => {
                if let Some(member) = Member::from_wire(&identity) {
                    self.membership.member_left(now, &member, out);
                }
            }
            PacketBody::Digest(digest) => {
                let Some(from) = digest.from.as_ref().and_then(Member::from_wire) else {
                    return self.count_rejection(RejectReason::Malformed);
                };
                self.membership.observe_alive(now, &from, out);
                self.receive_digest(now, &from, &digest, actions);
            }
            PacketBody::Change(change) => {
                let Some(from) = change.from.as_ref().and_then(Member::from_wire) else {
                    return self.count_rejection(RejectReason::Malformed);
                };
                self.membership.observe_alive(now, &from, out);
                let list_actions = self.lists.receive_change(now, change);
                self.perform_list_actions(now, list_actions, Some(&from), actions);
            }
        }
    }

    /// Handles the response to a request of this member; `None` after a timeout.
    pub(super) fn receive_response(
        &mut self,
        now: Micros,
        from: SocketAddr,
        response: Option<&[u8]>,
        out: &mut membership::Output,
        actions: &mut Vec<Action>,
    ) {
        if self.pull_in_flight.is_some_and(|pull| pull.to == from) {
            self.pull_in_flight = None;
        }
        let Some(bytes) = response else {
            self.statistics.requests_failed += 1;
            return;
        };
        match codec::decode_frame(self.cluster_hash, bytes) {
            Ok((_, FrameBody::Members(members))) => self.membership.merge_states(now, &members, out),
            Ok((sender, FrameBody::Listing(listing))) => {
                let list_actions = self.lists.receive_listing(now, listing);
                self.perform_list_actions(now, list_actions, Some(&sender), actions);
            }
            Ok(_) => {}
            Err(reason) => self.count_rejection(reason),
        }
    }

    /// Answers a request over TCP. The request is passed without its length prefix; the response has one. Returns
    /// `None` if the request was rejected.
    pub fn handle_request(
        &mut self,
        now: Micros,
        frame: &[u8],
        actions: &mut Vec<Action>,
    ) -> Option<Vec<u8>> {
        let (from, body) = match codec::decode_frame(self.cluster_hash, frame) {
            Ok(decoded) => decoded,
            Err(reason) => {
                self.count_rejection(reason);
                return None;
            }
        };
        let mut out = membership::Output::default();
        let response = match body {
            FrameBody::Members(members) => {
                self.membership.merge_states(now, &members, &mut out);
                FrameBody::Members(self.membership.export_states())
            }
            FrameBody::Pull(version) => {
                let listing = self.lists.answer_pull(now, &version);
                listing.map_or(FrameBody::Nothing(wire::Nothing {}), FrameBody::Listing)
            }
            FrameBody::Listing(_) | FrameBody::Nothing(_) => FrameBody::Nothing(wire::Nothing {}),
        };
        self.membership.observe_alive(now, &from, &mut out);
        self.apply_membership(now, out, actions);
        Some(codec::encode_frame(self.cluster_hash, self.membership.me(), response))
    }
}
