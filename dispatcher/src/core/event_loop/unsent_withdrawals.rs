//! The queue of withdrawals that have not reached their hosts and are retried.

use super::Core;
use super::fleets::HostId;
use crate::core::pool::ConnectionUse;
use crate::core::{RequestKind, UpstreamId};
use roselock::Micros;
use std::collections::VecDeque;

/// Maximum number of withdrawals that wait for a retry; a further one is dropped.
const MAX_UNSENT: usize = 1024;

/// A withdrawal that waits for a retry.
pub(super) struct UnsentWithdrawal {
    /// When it is retried.
    pub(super) due_at: Micros,
    pub(super) host: HostId,
    pub(super) kind: RequestKind,
    /// The attempt that ends with it, if any.
    pub(super) withdraws: Option<UpstreamId>,
}

/// The withdrawals that wait for a retry, in the order in which they are due.
#[derive(Default)]
pub(super) struct UnsentWithdrawals {
    queue: VecDeque<UnsentWithdrawal>,
}

impl UnsentWithdrawals {
    pub(super) fn push(&mut self, unsent: UnsentWithdrawal) {
        if self.queue.len() >= MAX_UNSENT {
            tracing::warn!(limit = MAX_UNSENT, "retry queue of withdrawals is full, dropping a withdrawal");
            return;
        }
        let index = self.queue.partition_point(|queued| queued.due_at <= unsent.due_at);
        self.queue.insert(index, unsent);
    }
    /// When the next one is due.
    pub(super) fn next_at(&self) -> Option<Micros> {
        self.queue.front().map(|unsent| unsent.due_at)
    }
    /// Removes the next one, if it is due.
    fn pop_due(&mut self, now: Micros) -> Option<UnsentWithdrawal> {
        if self.next_at()? > now {
            return None;
        }
        self.queue.pop_front()
    }
}

impl Core {
    /// Retries the withdrawals that are due.
    pub(super) fn send_unsent_withdrawals(&mut self, now: Micros) {
        while let Some(unsent) = self.unsent_withdrawals.pop_due(now) {
            // A withdrawal that ends no attempt is not sent to a host that is gone. One that ends an attempt is, since
            // the attempt may still be running there.
            let is_wanted = match unsent.withdraws {
                Some(attempt) => self.upstreams.open_attempt(attempt).is_some(),
                None => self.fleets.host(unsent.host).is_some_and(|host| !host.is_gone()),
            };
            if is_wanted {
                let connection_use = Some(ConnectionUse::Control);
                self.send_control(unsent.host, unsent.kind, connection_use, unsent.withdraws);
            }
        }
    }
}

#[cfg(test)]
#[path = "unsent_withdrawals_tests.rs"]
mod tests;
