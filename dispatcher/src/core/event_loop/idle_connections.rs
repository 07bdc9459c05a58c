//! Use and expiry of the idle connections in the pools of hosts.

use super::Core;
use super::fleets::{HostId, configured_idle_timeout};
use crate::core::FleetId;
use crate::core::pool::{ConnectionUse, IdleConnection};
use roselock::{Idempotency, Micros, Settings};
use roselock_dial_limiter::SCARCE_IDLE_TIMEOUT;

/// How often idle connections are expired, in microseconds.
const EXPIRY_INTERVAL: Micros = 500_000;

impl Core {
    /// Takes a connection from the pool of a host, if one is eligible for this use.
    pub(super) fn take_idle_connection(
        &mut self,
        id: HostId,
        now: Micros,
        connection_use: ConnectionUse,
    ) -> Option<IdleConnection> {
        let fleet = &mut self.fleets[id.fleet];
        let oldest_usable = fleet.idle_timeout.oldest_usable(now, connection_use);
        fleet.hosts.get_mut(&id.worker)?.pool.take(now, oldest_usable, connection_use)
    }

    /// Closes one idle connection of a fleet: the oldest one of the first host that has any.
    pub(super) fn close_oldest_idle_connection(&mut self, fleet: FleetId) {
        for host in self.fleets[fleet].hosts.values_mut() {
            if host.pool.drop_oldest() {
                return;
            }
        }
    }

    /// Closes idle connections well before their hosts would close them.
    pub(super) fn expire_idle_connections(&mut self, now: Micros) {
        if now - self.idle_expired_at < EXPIRY_INTERVAL {
            return;
        }
        self.idle_expired_at = now;
        for fleet in self.fleets.iter_mut() {
            let timeout_cutoff = now - configured_idle_timeout(&fleet.settings);
            // If new connections are limited, an unused one prevents another dispatcher from connecting.
            let cutoff = match fleet.dial_limits {
                Some(_) => timeout_cutoff.max(now - SCARCE_IDLE_TIMEOUT),
                None => timeout_cutoff,
            };
            let oldest_repeatable = fleet.idle_timeout.oldest_usable(now, ConnectionUse::Repeatable);
            for host in fleet.hosts.values_mut() {
                host.pool.expire(cutoff);
                host.pool.keep_one_older_than(oldest_repeatable);
            }
        }
        self.close_excess_idle_connections();
    }

    /// Closes idle connections beyond the limit, which falls when another process of an upgrade starts.
    fn close_excess_idle_connections(&mut self) {
        for fleet in 0..self.fleets.len() {
            let excess = self.fleets[fleet].dialer.as_ref().map_or(0, |dialer| dialer.excess_connections());
            for _ in 0..excess {
                self.close_oldest_idle_connection(fleet);
            }
        }
    }
}

/// How an upstream request uses its connection: an attempt of this class, or a control request if there is no class.
pub(super) fn connection_use(settings: &Settings, class: Option<usize>) -> ConnectionUse {
    let Some(class) = class else { return ConnectionUse::Control };
    match settings.classes[class].idempotency {
        Idempotency::Idempotent => ConnectionUse::Repeatable,
        _ => ConnectionUse::Once,
    }
}
