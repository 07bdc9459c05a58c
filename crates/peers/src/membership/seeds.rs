//! Seeds: configured addresses of members through which this member joins the cluster.

use super::parameters::*;
use super::{Membership, Output};
use crate::member::Member;
use crate::{Micros, SECOND};
use std::net::SocketAddr;

/// The seeds, and the time of the next announcement to them.
pub(super) struct Seeds {
    pub addresses: Vec<SocketAddr>,
    pub next_contact: Micros,
    pub backoff: Micros,
}

impl Seeds {
    pub fn new(addresses: Vec<SocketAddr>, me: SocketAddr, now: Micros) -> Seeds {
        let addresses = addresses.into_iter().filter(|s| *s != me).collect();
        Seeds { addresses, next_contact: now, backoff: MIN_SEED_BACKOFF }
    }
}

impl Membership {
    /// Replaces the seeds; this member's own address is ignored.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        let me = self.me().address;
        self.seeds.addresses = seeds.into_iter().filter(|s| *s != me).collect();
    }

    /// Returns whether every seed is a live member.
    pub fn all_seeds_alive(&self) -> bool {
        self.seeds.addresses.iter().all(|s| self.live.iter().any(|m| m.address == *s))
    }

    /// Announces this member to seeds that are not live members, with exponential backoff: to two at a time while no
    /// other member is live, otherwise to one.
    pub(super) fn contact_seeds(&mut self, now: Micros, out: &mut Output) {
        if now < self.seeds.next_contact || self.has_left {
            return;
        }
        let alone = self.live.is_empty();
        let missing: Vec<SocketAddr> = self
            .seeds
            .addresses
            .iter()
            .filter(|s| !self.live.iter().any(|m| m.address == **s))
            .copied()
            .collect();
        if alone {
            self.seeds.backoff = self.seeds.backoff.min(SECOND);
        }
        let jitter = self.random_unit();
        self.seeds.next_contact = now + (self.seeds.backoff as f64 * (0.5 + jitter)) as Micros;
        self.seeds.backoff = (self.seeds.backoff * 2).min(MAX_SEED_BACKOFF);
        let offset = (self.random_unit() * missing.len() as f64) as usize;
        let count = if alone { 2 } else { 1 };
        let chosen: Vec<SocketAddr> =
            missing.iter().cycle().skip(offset).take(missing.len().min(count)).copied().collect();
        for seed in chosen {
            self.call_foca(now, out, |foca, collected| foca.announce(Member::unknown_at(seed), collected));
        }
    }
}
