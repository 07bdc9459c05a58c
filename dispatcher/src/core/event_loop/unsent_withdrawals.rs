//! Withdrawals that have not reached their hosts and are sent again.

use super::Core;
use super::fleets::HostId;
use crate::core::pool::ConnectionUse;
use crate::core::{RequestKind, UpstreamId};
use roselock::Micros;
use std::collections::VecDeque;

/// Most withdrawals that wait to be sent again; one more is dropped.
const MAX_UNSENT: usize = 1024;

/// A withdrawal that is to be sent again.
pub(super) struct UnsentWithdrawal {
    /// When it is sent again.
    pub(super) due_at: Micros,
    pub(super) host: HostId,
    pub(super) kind: RequestKind,
    /// The attempt that ends with it.
    pub(super) withdraws: Option<UpstreamId>,
}

/// The withdrawals that are to be sent again, the next one due first.
#[derive(Default)]
pub(super) struct UnsentWithdrawals {
    queue: VecDeque<UnsentWithdrawal>,
}

impl UnsentWithdrawals {
    pub(super) fn push(&mut self, unsent: UnsentWithdrawal) {
        if self.queue.len() >= MAX_UNSENT {
            tracing::warn!(limit = MAX_UNSENT, "too many withdrawals wait to be sent again, dropping one");
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
    /// Sends withdrawals again that have not reached their hosts.
    pub(super) fn send_unsent_withdrawals(&mut self, now: Micros) {
        while let Some(unsent) = self.unsent_withdrawals.pop_due(now) {
            // One that ends no attempt is not sent to a host that is gone; an attempt in flight may still run there.
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
