//! Collects the results of one call of foca: packets, timers and membership changes.

use super::Change;
use crate::codec::{Observed, PROBE_KINDS};
use crate::member::Member;
use foca::{Notification, Runtime, Timer};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// The messages, timers and notifications of one call of foca.
#[derive(Default)]
pub(super) struct Collected {
    /// SWIM messages, each with its receiver and whether it belongs to a probe.
    pub messages: Vec<(Member, Vec<u8>, bool)>,
    /// Timers, each with its delay.
    pub timers: Vec<(Timer<Member>, Duration)>,
    pub changes: Vec<Change>,
    /// Whether foca has sent any notification, after which the live members may have changed.
    pub notified: bool,
    observed: Arc<Observed>,
}

impl Collected {
    pub fn new(observed: Arc<Observed>) -> Collected {
        Collected { observed, ..Collected::default() }
    }
}

impl Runtime<Member> for Collected {
    fn notify(&mut self, notification: Notification<'_, Member>) {
        self.notified = true;
        match notification {
            Notification::MemberUp(m) => self.changes.push(Change::Up(m.clone())),
            Notification::MemberDown(m) => self.changes.push(Change::Lost(m.clone())),
            Notification::Rename(a, b) if a.name != b.name => self.changes.push(Change::Left(a.clone())),
            Notification::Rename(..) | Notification::Active | Notification::Idle | Notification::Defunct => {}
            Notification::Rejoin(m) => self.changes.push(Change::Rejoined(m.clone())),
        }
    }
    fn send_to(&mut self, to: Member, data: &[u8]) {
        let is_probe = PROBE_KINDS.contains(&self.observed.last_header_kind.load(Ordering::Relaxed));
        self.messages.push((to, data.to_vec(), is_probe));
    }
    fn submit_after(&mut self, event: Timer<Member>, after: Duration) {
        self.timers.push((event, after));
    }
}
