//! The pool of idle connections to one upstream host, and an estimate of how long an idle connection stays usable.

use super::UpstreamConnection;
use roselock::Micros;
use std::collections::VecDeque;
use std::sync::Arc;

/// Maximum number of idle connections in the pool of one host.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// The shortest idle timeout that a host is assumed to have, in microseconds. A connection that fails after a shorter
/// idle time failed for another reason.
const MIN_HOST_IDLE_TIMEOUT: Micros = 20_000;
/// The idle time, in microseconds, that is considered proven before any connection has been reused.
const INITIAL_PROVEN_IDLE: Micros = 1_000_000;
/// How long a connection is not reused after an answer, in microseconds. A host may send an answer twice, some
/// milliseconds apart. The second one would be taken for the answer to the next request, and a request that is running
/// would be sent again.
pub const REUSE_DELAY_AFTER_ANSWER: Micros = 50_000;
/// How long after the failure of a reused connection the limit is not raised, in microseconds.
const LIMIT_FREEZE_AFTER_FAILURE: Micros = 10_000_000;

/// An estimate of how long a connection may be idle and still be written to, learned from reused connections. Hosts, or
/// proxies in front of them, may close idle connections earlier than configured, and the close may only be seen when
/// the next request is written.
pub struct IdleTimeoutEstimate {
    /// The configured idle timeout, reduced by a margin.
    configured: Micros,
    /// The longest idle time that is estimated to be safe.
    limit: Micros,
    /// The longest idle time after which reuse has succeeded.
    proven: Micros,
    /// When a reused connection last failed.
    last_failure: Option<Micros>,
}

impl IdleTimeoutEstimate {
    /// An initial estimate for a configured idle timeout.
    pub fn new(configured: Micros) -> IdleTimeoutEstimate {
        IdleTimeoutEstimate {
            configured,
            limit: configured,
            proven: INITIAL_PROVEN_IDLE.min(configured),
            last_failure: None,
        }
    }
    /// Changes the configured idle timeout. A learned limit is capped at it; without a learned limit it applies as is.
    pub fn set_idle_timeout(&mut self, configured: Micros) {
        let nothing_learned = self.limit == self.configured;
        self.limit = if nothing_learned { configured } else { self.limit.min(configured) };
        self.proven = self.proven.min(configured);
        self.configured = configured;
    }
    /// Records that a request on a connection that had been idle for `idle` was answered.
    pub fn record_success(&mut self, idle: Micros, now: Micros) {
        if self.last_failure.is_none_or(|at| now - at > LIMIT_FREEZE_AFTER_FAILURE) {
            self.limit = self.limit.max(idle);
        }
        self.proven = self.proven.max(idle.min(self.limit));
    }
    /// Records that a connection that had been idle for `idle` failed with its next request.
    pub fn record_failure(&mut self, idle: Micros, now: Micros) {
        if idle >= MIN_HOST_IDLE_TIMEOUT {
            self.last_failure = Some(now);
            self.limit = self.limit.min(idle * 3 / 4);
            self.proven = self.proven.min(self.limit);
        }
    }
    /// The earliest time at which a connection may have become idle to be eligible for this use now.
    pub fn oldest_usable(&self, now: Micros, connection_use: ConnectionUse) -> Micros {
        let max_idle = match connection_use {
            ConnectionUse::Control => self.configured,
            ConnectionUse::Repeatable => self.limit,
            // Somewhat more than the proven time: otherwise it would never grow if only such requests are sent.
            ConnectionUse::Once => self.limit.min(self.proven * 2 + MIN_HOST_IDLE_TIMEOUT),
        };
        now - max_idle
    }
}

/// What a connection is needed for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// A health check or a withdrawal. It can safely be sent on a connection that turns out to be closed, so it takes
    /// the oldest one.
    Control,
    /// An attempt that may be repeated.
    Repeatable,
    /// An attempt that may not be repeated.
    Once,
}

/// An idle connection.
pub struct IdleConnection {
    /// When it became idle.
    pub idle_since: Micros,
    /// When it may be reused at the earliest.
    usable_from: Micros,
    /// The connection.
    pub connection: Arc<dyn UpstreamConnection>,
}

/// The idle connections to one host, ordered by the time at which they became idle.
#[derive(Default)]
pub struct Pool {
    idle: VecDeque<IdleConnection>,
}

impl Pool {
    /// Takes a connection that is still open and whose reuse delay is over. A control request gets the oldest one; an
    /// attempt gets the most recent one, if it became idle at `oldest_usable` or later.
    pub fn take(
        &mut self,
        now: Micros,
        oldest_usable: Micros,
        connection_use: ConnectionUse,
    ) -> Option<IdleConnection> {
        self.idle.retain(|idle| idle.connection.is_open());
        let is_reusable = |idle: &IdleConnection| idle.usable_from <= now;
        let index = match connection_use {
            ConnectionUse::Control => self.idle.iter().position(is_reusable)?,
            ConnectionUse::Repeatable | ConnectionUse::Once => {
                let latest = self.idle.iter().rposition(is_reusable)?;
                if self.idle[latest].idle_since < oldest_usable {
                    return None;
                }
                latest
            }
        };
        self.idle.remove(index)
    }
    /// Adds a connection that became idle and may be reused after `reuse_delay`. If the pool is full, the oldest
    /// connection is dropped.
    pub fn put(&mut self, connection: Arc<dyn UpstreamConnection>, now: Micros, reuse_delay: Micros) {
        self.idle.push_back(IdleConnection { idle_since: now, usable_from: now + reuse_delay, connection });
        if self.idle.len() > MAX_IDLE_CONNECTIONS {
            self.idle.pop_front();
        }
    }
    /// Drops the connections that became idle before `cutoff`. Dropping a connection closes it.
    pub fn expire(&mut self, cutoff: Micros) {
        while self.idle.front().is_some_and(|idle| idle.idle_since < cutoff) {
            self.idle.pop_front();
        }
    }
    /// Drops all but one of the connections that became idle before `cutoff`. Attempts cannot use them any more; the
    /// one that stays serves control requests.
    pub fn keep_one_older_than(&mut self, cutoff: Micros) {
        while self.idle.get(1).is_some_and(|idle| idle.idle_since < cutoff) {
            self.idle.pop_front();
        }
    }
    /// Drops the oldest connection. Returns false if the pool is empty.
    pub fn drop_oldest(&mut self) -> bool {
        self.idle.pop_front().is_some()
    }
    /// Drops all connections.
    pub fn clear(&mut self) {
        self.idle.clear();
    }
}

#[cfg(test)]
#[path = "pool_tests.rs"]
mod tests;
