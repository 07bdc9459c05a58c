//! Idle connections to one upstream host, and an estimate of how long an idle connection stays usable.

use super::UpstreamConnection;
use roselock::Micros;
use std::collections::VecDeque;
use std::sync::Arc;

/// Most idle connections in the pool of one host.
const MAX_IDLE_CONNECTIONS: usize = 16;
/// A connection that breaks after idling for less than this, in microseconds, did not break for having been idle.
const MIN_SUSPICIOUS_IDLE: Micros = 20_000;
/// The idle time, in microseconds, that counts as proven before any connection was reused.
const INITIAL_PROVEN_IDLE: Micros = 1_000_000;
/// A host may answer twice, some milliseconds apart. The second answer would be taken for the answer to the next request,
/// and a request that runs would be sent again: after such an answer a connection rests for so long, in microseconds,
/// before its next use.
pub const REST_AFTER_ANSWER: Micros = 50_000;
/// For so long after a reused connection broke, in microseconds, the limit is not raised.
const LIMIT_FROZEN_AFTER_BREAK: Micros = 10_000_000;

/// How long a connection may idle and still be written to, learned from those that were reused. Hosts, or proxies before
/// them, may close idle connections sooner than configured, and silently until the next request.
pub struct IdleTimeoutEstimate {
    /// The configured idle timeout, with its margin.
    configured: Micros,
    /// The longest idle time that seems safe.
    limit: Micros,
    /// The longest idle time that has worked.
    proven: Micros,
    /// When a reused connection last broke.
    last_break: Option<Micros>,
}

impl IdleTimeoutEstimate {
    /// An estimate that has learned nothing yet, for a configured idle timeout.
    pub fn new(configured: Micros) -> IdleTimeoutEstimate {
        IdleTimeoutEstimate {
            configured,
            limit: configured,
            proven: INITIAL_PROVEN_IDLE.min(configured),
            last_break: None,
        }
    }
    /// Changes the configured idle timeout. What was learned is bounded by it; where nothing was learned, it applies.
    pub fn set_idle_timeout(&mut self, configured: Micros) {
        let nothing_learned = self.limit == self.configured;
        self.limit = if nothing_learned { configured } else { self.limit.min(configured) };
        self.proven = self.proven.min(configured);
        self.configured = configured;
    }
    /// A connection that had idled for so long was answered on.
    pub fn record_success(&mut self, idle: Micros, now: Micros) {
        if self.last_break.is_none_or(|at| now - at > LIMIT_FROZEN_AFTER_BREAK) {
            self.limit = self.limit.max(idle);
        }
        self.proven = self.proven.max(idle.min(self.limit));
    }
    /// A connection that had idled for so long broke under its next request.
    pub fn record_break(&mut self, idle: Micros, now: Micros) {
        if idle >= MIN_SUSPICIOUS_IDLE {
            self.last_break = Some(now);
            self.limit = self.limit.min(idle * 3 / 4);
            self.proven = self.proven.min(self.limit);
        }
    }
    /// The earliest time since which a connection may have been idle to be used in this way now.
    pub fn oldest_usable(&self, now: Micros, connection_use: ConnectionUse) -> Micros {
        let max_idle = match connection_use {
            ConnectionUse::Control => self.configured,
            ConnectionUse::Repeatable => self.limit,
            // A little more than has worked, or the proven time would never grow where nothing else is sent.
            ConnectionUse::Once => self.limit.min(self.proven * 2 + MIN_SUSPICIOUS_IDLE),
        };
        now - max_idle
    }
}

/// What a connection is wanted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionUse {
    /// A health check or a withdrawal, which does no harm on a broken connection: it takes the oldest one.
    Control,
    /// An attempt that may be repeated.
    Repeatable,
    /// An attempt that may not be repeated.
    Once,
}

/// An idle connection.
pub struct IdleConnection {
    /// Since when it is idle.
    pub idle_since: Micros,
    /// From when on it may be used again.
    usable_from: Micros,
    /// The connection.
    pub connection: Arc<dyn UpstreamConnection>,
}

/// The idle connections to one host, the latest one last.
#[derive(Default)]
pub struct Pool {
    idle: VecDeque<IdleConnection>,
}

impl Pool {
    /// Takes a connection that is still open, has rested, and for an attempt is idle since `oldest_usable` or later. An
    /// attempt gets the latest one, a control request the oldest one.
    pub fn take(
        &mut self,
        now: Micros,
        oldest_usable: Micros,
        connection_use: ConnectionUse,
    ) -> Option<IdleConnection> {
        self.idle.retain(|idle| idle.connection.is_open());
        let has_rested = |idle: &IdleConnection| idle.usable_from <= now;
        let index = match connection_use {
            ConnectionUse::Control => self.idle.iter().position(has_rested)?,
            ConnectionUse::Repeatable | ConnectionUse::Once => {
                let latest = self.idle.iter().rposition(has_rested)?;
                if self.idle[latest].idle_since < oldest_usable {
                    return None;
                }
                latest
            }
        };
        self.idle.remove(index)
    }
    /// Adds a connection that became idle and rests for so long; the oldest one goes where there are too many.
    pub fn put(&mut self, connection: Arc<dyn UpstreamConnection>, now: Micros, rest: Micros) {
        self.idle.push_back(IdleConnection { idle_since: now, usable_from: now + rest, connection });
        if self.idle.len() > MAX_IDLE_CONNECTIONS {
            self.idle.pop_front();
        }
    }
    /// Drops those that became idle before `cutoff`; a dropped connection closes.
    pub fn expire(&mut self, cutoff: Micros) {
        while self.idle.front().is_some_and(|idle| idle.idle_since < cutoff) {
            self.idle.pop_front();
        }
    }
    /// Keeps only one of those that became idle before `cutoff`, too long ago for attempts: for control requests.
    pub fn keep_one_older_than(&mut self, cutoff: Micros) {
        while self.idle.get(1).is_some_and(|idle| idle.idle_since < cutoff) {
            self.idle.pop_front();
        }
    }
    /// Drops the oldest one; false if there is none.
    pub fn drop_oldest(&mut self) -> bool {
        self.idle.pop_front().is_some()
    }
    /// Drops all.
    pub fn clear(&mut self) {
        self.idle.clear();
    }
}

#[cfg(test)]
#[path = "pool_tests.rs"]
mod tests;
