//! Idle connections to one upstream host, and for how long such can be trusted.

use super::Link;
use roselock::Micros;
use std::collections::VecDeque;
use std::sync::Arc;

/// Most idle connections kept to one host.
const MOST: usize = 16;
/// A connection that breaks after less than this does not break for having been idle.
const IDLE: Micros = 20_000;
/// What is taken for proven before anything is.
const FIRST: Micros = 1_000_000;
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
            Need::Errand => self.told,
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
    Errand,
    /// An attempt that may be sent again.
    Repeatable,
    /// One that may not.
    Once,
}

/// The idle connections to one host, latest last.
#[derive(Default)]
pub struct Pool {
    idle: VecDeque<(Micros, Arc<dyn Link>)>,
}

impl Pool {
    /// Takes one that is still open and fell idle after `since`, with when it did: the latest, or for an errand the
    /// oldest.
    pub fn take(&mut self, since: Micros, need: Need) -> Option<(Micros, Arc<dyn Link>)> {
        self.idle.retain(|i| i.1.is_open());
        match need {
            Need::Errand => self.idle.pop_front(),
            _ if self.idle.back().is_some_and(|i| i.0 >= since) => self.idle.pop_back(),
            _ => None,
        }
    }
    /// Keeps a connection that fell idle; the oldest one goes where there are too many.
    pub fn put(&mut self, link: Arc<dyn Link>, now: Micros) {
        self.idle.push_back((now, link));
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
    /// Keeps but one of those that fell idle before `since`, too long ago for attempts: for errands.
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
mod tests {
    use super::*;
    use rstest::rstest;

    /// Guards against writing payments to connections that their hosts drop while idle: one that broke makes all
    /// of its age suspect at once, and trust comes back only by what was risked without harm.
    #[rstest]
    fn trust_is_lost_at_once_and_comes_back_by_what_worked() {
        let mut trust = Trust::new(10_000_000);
        let span = |trust: &Trust, need, now| now - trust.since(now, need);
        assert_eq!(span(&trust, Need::Repeatable, 0), 10_000_000);
        assert_eq!(span(&trust, Need::Once, 0), 2 * FIRST + IDLE);
        trust.worked(1_500_000, 0);
        assert_eq!(span(&trust, Need::Once, 0), 3_000_000 + IDLE);
        trust.broke(IDLE / 2, 0);
        assert_eq!(span(&trust, Need::Repeatable, 0), 10_000_000);
        trust.broke(400_000, 0);
        assert_eq!(span(&trust, Need::Repeatable, 0), 300_000);
        assert_eq!(span(&trust, Need::Once, 0), 300_000);
        trust.worked(800_000, WARY);
        assert_eq!(span(&trust, Need::Repeatable, WARY), 300_000);
        trust.worked(800_000, WARY + 1);
        assert_eq!(span(&trust, Need::Once, WARY + 1), 800_000);
        assert_eq!(span(&trust, Need::Errand, WARY + 1), 10_000_000);
    }
}
