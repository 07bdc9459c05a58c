//! Idle connections to one upstream host, and for how long such can be trusted.

use super::UpstreamConnection;
use roselock::Micros;
use std::collections::VecDeque;
use std::sync::Arc;

/// Most idle connections kept to one host.
const MOST: usize = 16;
/// A connection that breaks after less than this does not break for having been idle.
const IDLE: Micros = 20_000;
/// What is taken for proven before anything is.
const FIRST: Micros = 1_000_000;
/// A host may answer twice, some milliseconds apart. Its second answer would be taken for that to the next request, and a
/// request that runs be sent again: after such an answer a connection rests before its next use.
pub const SETTLE: Micros = 50_000;
/// How long a broken connection keeps the trust in others down.
const WARY: Micros = 10_000_000;

/// How long a connection may idle and still be written to, learned from those that were. Hosts, or what stands
/// before them, may drop idle connections sooner than told, without a word until the next request.
pub struct Trust {
    /// As told.
    told: Micros,
    /// As learned: the longest that seems right, and the longest that has worked.
    limit: Micros,
    proven: Micros,
    /// When one broke last.
    broke: Option<Micros>,
}

impl Trust {
    /// Nothing is learned yet.
    pub fn new(told: Micros) -> Trust {
        Trust { told, limit: told, proven: FIRST.min(told), broke: None }
    }
    /// The time that is told is another one: what was learned holds within it, and where nothing was, the new time does.
    pub fn retell(&mut self, told: Micros) {
        self.limit = if self.limit == self.told { told } else { self.limit.min(told) };
        self.proven = self.proven.min(told);
        self.told = told;
    }
    /// A connection that had idled so long was answered on.
    pub fn worked(&mut self, idle: Micros, now: Micros) {
        if self.broke.is_none_or(|at| now - at > WARY) {
            self.limit = self.limit.max(idle);
        }
        self.proven = self.proven.max(idle.min(self.limit));
    }
    /// One broke under its next request.
    pub fn broke(&mut self, idle: Micros, now: Micros) {
        if idle >= IDLE {
            self.broke = Some(now);
            self.limit = self.limit.min(idle * 3 / 4);
            self.proven = self.proven.min(self.limit);
        }
    }
    /// Since when a connection may have idled: for what does no harm, for what may be repeated, for what may not.
    pub fn since(&self, now: Micros, need: Need) -> Micros {
        let span = match need {
            Need::Control => self.told,
            Need::Repeatable => self.limit,
            // A little more than has worked, or it would never grow where nothing else is sent.
            Need::Once => self.limit.min(self.proven * 2 + IDLE),
        };
        now - span
    }
}

/// What a connection is wanted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// A probe or a withdrawal: it tries the oldest connection.
    Control,
    /// An attempt that may be sent again.
    Repeatable,
    /// One that may not.
    Once,
}

/// The idle connections to one host, latest last.
#[derive(Default)]
pub struct Pool {
    idle: VecDeque<Idle>,
}

/// An idle connection: since when, from when on it may be used again, and itself.
type Idle = (Micros, Micros, Arc<dyn UpstreamConnection>);

impl Pool {
    /// Takes one that is still open, has rested and fell idle after `since`, with when it did: the latest, or for an
    /// control request the oldest.
    pub fn take(
        &mut self,
        now: Micros,
        since: Micros,
        need: Need,
    ) -> Option<(Micros, Arc<dyn UpstreamConnection>)> {
        self.idle.retain(|i| i.2.is_open());
        let rested = |i: &Idle| i.1 <= now;
        let at = match need {
            Need::Control => self.idle.iter().position(rested),
            _ => self.idle.iter().rposition(rested).filter(|at| self.idle[*at].0 >= since),
        };
        self.idle.remove(at?).map(|(since, _, link)| (since, link))
    }
    /// Keeps a connection that fell idle and rests for so long; the oldest one goes where there are too many.
    pub fn put(&mut self, link: Arc<dyn UpstreamConnection>, now: Micros, rest: Micros) {
        self.idle.push_back((now, now + rest, link));
        if self.idle.len() > MOST {
            self.idle.pop_front();
        }
    }
    /// Drops those that fell idle before `since`; a dropped connection closes.
    pub fn expire(&mut self, since: Micros) {
        while self.idle.front().is_some_and(|i| i.0 < since) {
            self.idle.pop_front();
        }
    }
    /// Keeps but one of those that fell idle before `since`, too long ago for attempts: for control requests.
    pub fn thin(&mut self, since: Micros) {
        while self.idle.get(1).is_some_and(|i| i.0 < since) {
            self.idle.pop_front();
        }
    }
    /// Drops the oldest one.
    pub fn shed(&mut self) -> bool {
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
