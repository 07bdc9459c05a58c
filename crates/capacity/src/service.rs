//! The list service as its stand-in shows it: one call after another, each for its own time and that of its bytes; a call
//! that has waited too long is turned away. Around it dispatchers that call at the pace of `crates/discovery-client`.

use crate::{Micros, SECOND};
use oorandom::Rand64;
use roselock_discovery_client::poll_schedule::{PollParameters, PollSchedule, WatchEnd, WatchEndReason};
use std::collections::BTreeSet;

/// A call that has not begun to be served after so long is turned away.
const TURNED_AWAY: Micros = 2 * SECOND;
/// The longest time without a call that counts as up to date.
const WITHIN: Micros = 10 * SECOND;
/// What a call is guessed to take before the first one.
const GUESS: Micros = roselock::DEFAULT_LIST_CALL_TIME;
/// A run ends after so long; who has no answer then counts with that time.
pub const END: Micros = 600 * SECOND;

/// The service and those who call it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Service {
    /// Dispatchers that start or come back in the same moment.
    pub dispatchers: u32,
    /// What a call takes beside its bytes.
    pub call: Micros,
    /// Bytes of an answer.
    pub bytes: u64,
    /// Bytes that the service sends in a second.
    pub bytes_per_second: u64,
}

/// What calls are made for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Occasion {
    /// All processes start, none has a list.
    Start,
    /// All had their answer long ago, and all watches break.
    WatchesBreak,
}

/// What was seen.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Calls {
    /// Calls made.
    pub made: usize,
    /// Calls turned away.
    pub failed: usize,
    /// Most calls that waited or were served at once.
    pub longest_queue: usize,
    /// When each dispatcher had its answer, sorted.
    pub answered: Vec<Micros>,
    /// When each answer went out.
    sent: Vec<Micros>,
    bytes: u64,
}

impl Calls {
    /// The time by which this share of the dispatchers had an answer.
    pub fn answered_by(&self, share: f64) -> Micros {
        let last = self.answered.len().saturating_sub(1);
        self.answered.get((last as f64 * share) as usize).copied().unwrap_or(0)
    }

    /// Bytes of all answers.
    pub fn bytes(&self) -> u64 {
        self.sent.len() as u64 * self.bytes
    }

    /// Bytes of the answers that went out in the fullest span of a second.
    pub fn bytes_in_fullest_second(&self) -> u64 {
        let within = |from: Micros| self.sent.iter().filter(|at| (from..from + SECOND).contains(at)).count();
        let most = self.sent.iter().map(|from| within(*from)).max().unwrap_or(0);
        most as u64 * self.bytes
    }
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Failed,
    Call,
    Answered,
}

impl Service {
    fn serves_in(&self) -> Micros {
        let transfer = self.bytes as f64 / self.bytes_per_second.max(1) as f64;
        self.call + (transfer * SECOND as f64) as Micros
    }

    fn round(&self, me: u32) -> PollParameters {
        PollParameters { instance_count: self.dispatchers, instance_index: me, poll_interval: WITHIN }
    }

    /// Plays an occasion.
    pub fn play(&self, occasion: Occasion, seed: u64) -> Calls {
        let mut paces: Vec<PollSchedule> = (0..self.dispatchers).map(|_| PollSchedule::new(GUESS)).collect();
        let mut random = Rand64::new(u128::from(seed));
        let first = |me: u32, pace: &mut PollSchedule| pace.first_delay(self.round(me));
        let calls = self.round_of_calls(&mut paces, &mut random, 0, first);
        if occasion == Occasion::Start {
            return calls;
        }
        let broken = 2 * END;
        let again = |me: u32, pace: &mut PollSchedule| {
            pace.delay_after_end(broken, self.round(me), 0.0, refused(broken))
        };
        self.round_of_calls(&mut paces, &mut random, broken, again)
    }

    /// From the first call of each until all are answered.
    fn round_of_calls(
        &self,
        paces: &mut [PollSchedule],
        random: &mut Rand64,
        start: Micros,
        first: impl Fn(u32, &mut PollSchedule) -> Micros,
    ) -> Calls {
        let mut calls = Calls { bytes: self.bytes, ..Calls::default() };
        let mut due: BTreeSet<(Micros, Due, u32)> = BTreeSet::new();
        for (me, pace) in paces.iter_mut().enumerate() {
            due.insert((start + first(me as u32, pace), Due::Call, me as u32));
        }
        let (mut free_at, mut queue) = (start, BTreeSet::new());
        while let Some((now, what, me)) = due.pop_first().filter(|next| next.0 < start + END) {
            let pace = &mut paces[me as usize];
            match what {
                Due::Call => {
                    pace.begin_poll(now);
                    let (at, served) = self.call_at(now, &mut free_at);
                    queue.retain(|(ends, _): &(Micros, u32)| *ends > now);
                    queue.insert((at, me));
                    calls.made += 1;
                    calls.longest_queue = calls.longest_queue.max(queue.len());
                    due.insert((at, if served { Due::Answered } else { Due::Failed }, me));
                }
                Due::Failed => {
                    calls.failed += 1;
                    let wait = pace.delay_after_end(now, self.round(me), random.rand_float(), refused(now));
                    due.insert((now + wait, Due::Call, me));
                }
                Due::Answered => {
                    pace.record_answer(now);
                    calls.answered.push(now - start);
                    calls.sent.push(now - start);
                }
            }
        }
        calls.answered.resize(self.dispatchers as usize, END);
        calls.answered.sort_unstable();
        calls
    }

    /// When a call made now ends, and whether it is served.
    fn call_at(&self, now: Micros, free_at: &mut Micros) -> (Micros, bool) {
        let begins = (*free_at).max(now);
        if begins > now + TURNED_AWAY {
            return (now + TURNED_AWAY, false);
        }
        *free_at = begins + self.serves_in();
        (*free_at, true)
    }
}

/// The service refused a call, or ended a watch, at that time.
fn refused(as_of: Micros) -> WatchEnd {
    WatchEnd { reason: WatchEndReason::Refused, in_sync_until: as_of }
}
