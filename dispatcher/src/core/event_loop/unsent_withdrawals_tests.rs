//! Tests of the queue of withdrawals that have not reached their hosts.

use super::*;
use roselock::WorkerId;
use rstest::rstest;
use std::sync::Arc;

fn unsent(due_at: Micros, attempt: UpstreamId) -> UnsentWithdrawal {
    UnsentWithdrawal {
        due_at,
        host: HostId { fleet: 0, worker: WorkerId(1) },
        kind: RequestKind::Withdraw(Arc::default()),
        withdraws: Some(attempt),
    }
}

fn pop_attempt(queue: &mut UnsentWithdrawals, now: Micros) -> Option<UpstreamId> {
    queue.pop_due(now)?.withdraws
}

/// Guards against a withdrawal that is delayed by one that is due later, and against one that is retried too early.
/// Withdrawals that are due at the same time keep their order.
#[rstest]
fn withdrawals_are_sent_in_the_order_in_which_they_are_due() {
    let mut queue = UnsentWithdrawals::default();
    for (due_at, attempt) in [(300, 1), (100, 2), (200, 3), (100, 4)] {
        queue.push(unsent(due_at, attempt));
    }
    assert_eq!(queue.next_at(), Some(100));
    assert_eq!(pop_attempt(&mut queue, 99), None);
    let due = [200; 4].map(|now| pop_attempt(&mut queue, now));
    assert_eq!(due, [Some(2), Some(4), Some(3), None]);
    assert_eq!(queue.next_at(), Some(300));
}

/// Guards against a queue that grows without bound while hosts are down.
#[rstest]
fn a_withdrawal_beyond_the_limit_is_dropped() {
    let mut queue = UnsentWithdrawals::default();
    for attempt in 0..=MAX_UNSENT as UpstreamId {
        queue.push(unsent(100, attempt));
    }
    let mut sent = 0;
    while pop_attempt(&mut queue, 100).is_some() {
        sent += 1;
    }
    assert_eq!(sent, MAX_UNSENT);
}
