//! A model of the discovery service: it serves one call at a time, each for a fixed time and that of its bytes, and rejects a
//! call that has waited too long. Its clients are dispatchers with the poll schedule of `crates/discovery-client`.

use crate::{Micros, SECOND};
use oorandom::Rand64;
use roselock_discovery_client::poll_schedule::{PollParameters, PollSchedule, WatchEnd, WatchEndReason};
use std::collections::BTreeSet;

/// The longest wait of a call in the queue; after it the call is rejected.
const QUEUE_TIMEOUT: Micros = 2 * SECOND;
/// The poll interval of the dispatchers: a list counts as current for so long.
const POLL_INTERVAL: Micros = 10 * SECOND;
/// The estimated duration of a call before the first one.
const INITIAL_CALL_TIME: Micros = roselock::DEFAULT_LIST_CALL_TIME;
/// The end of a simulation; a dispatcher without an answer counts with this time.
pub const RUN_LIMIT: Micros = 600 * SECOND;

/// The service and its clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DiscoveryService {
    /// Dispatchers that call at the same time.
    pub dispatchers: u32,
    /// The time of a call without the transfer of its bytes.
    pub call_duration: Micros,
    /// Bytes of a response.
    pub bytes: u64,
    /// The bandwidth of the service, in bytes per second.
    pub bytes_per_second: u64,
}

/// Why all dispatchers call at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// All processes start, none has a list.
    Start,
    /// All watches break a long time after their start.
    WatchesBreak,
}

/// The calls of a simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Calls {
    /// Calls that were started.
    pub started: usize,
    /// Calls that were rejected.
    pub failed: usize,
    /// The largest number of calls that waited or were being served.
    pub longest_queue: usize,
    /// When each dispatcher received its response, sorted.
    pub answered_at: Vec<Micros>,
    /// When each response was sent.
    sent_at: Vec<Micros>,
    bytes: u64,
}

impl Calls {
    /// The time by which this fraction of the dispatchers had a response.
    pub fn answered_by(&self, share: f64) -> Micros {
        let last = self.answered_at.len().saturating_sub(1);
        self.answered_at.get((last as f64 * share) as usize).copied().unwrap_or(0)
    }

    /// Bytes of all responses.
    pub fn bytes(&self) -> u64 {
        self.sent_at.len() as u64 * self.bytes
    }

    /// Bytes of the responses in the busiest span of one second.
    pub fn bytes_in_fullest_second(&self) -> u64 {
        let within =
            |from: Micros| self.sent_at.iter().filter(|at| (from..from + SECOND).contains(at)).count();
        let most = self.sent_at.iter().map(|from| within(*from)).max().unwrap_or(0);
        most as u64 * self.bytes
    }
}

/// What is due for a dispatcher. At the same time failures come first, then new calls, then answers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CallEvent {
    Failed,
    Call,
    Answered,
}

impl DiscoveryService {
    /// The time that a call occupies the service.
    fn service_time(&self) -> Micros {
        let transfer = self.bytes as f64 / self.bytes_per_second.max(1) as f64;
        self.call_duration + (transfer * SECOND as f64) as Micros
    }

    fn poll_parameters(&self, me: u32) -> PollParameters {
        PollParameters { instance_count: self.dispatchers, instance_index: me, poll_interval: POLL_INTERVAL }
    }

    /// Simulates a scenario.
    pub fn play(&self, scenario: Scenario, seed: u64) -> Calls {
        let mut schedules: Vec<PollSchedule> =
            (0..self.dispatchers).map(|_| PollSchedule::new(INITIAL_CALL_TIME)).collect();
        let mut random = Rand64::new(u128::from(seed));
        let first =
            |me: u32, poll_schedule: &mut PollSchedule| poll_schedule.first_delay(self.poll_parameters(me));
        let calls = self.simulate(&mut schedules, &mut random, 0, first);
        if scenario == Scenario::Start {
            return calls;
        }
        let broken = 2 * RUN_LIMIT;
        let again = |me: u32, poll_schedule: &mut PollSchedule| {
            poll_schedule.delay_after_end(broken, self.poll_parameters(me), 0.0, rejected_end(broken))
        };
        self.simulate(&mut schedules, &mut random, broken, again)
    }

    /// Simulates from the first call of each dispatcher until all are answered.
    fn simulate(
        &self,
        schedules: &mut [PollSchedule],
        random: &mut Rand64,
        start: Micros,
        first: impl Fn(u32, &mut PollSchedule) -> Micros,
    ) -> Calls {
        let mut calls = Calls { bytes: self.bytes, ..Calls::default() };
        let mut events: BTreeSet<(Micros, CallEvent, u32)> = BTreeSet::new();
        for (me, poll_schedule) in schedules.iter_mut().enumerate() {
            events.insert((start + first(me as u32, poll_schedule), CallEvent::Call, me as u32));
        }
        let mut free_at = start;
        let mut queue = BTreeSet::new();
        while let Some((now, event, me)) = events.pop_first().filter(|next| next.0 < start + RUN_LIMIT) {
            let poll_schedule = &mut schedules[me as usize];
            match event {
                CallEvent::Call => {
                    poll_schedule.begin_poll(now);
                    let (ends_at, outcome) = self.begin_call(now, &mut free_at);
                    queue.retain(|(ends_at, _): &(Micros, u32)| *ends_at > now);
                    queue.insert((ends_at, me));
                    calls.started += 1;
                    calls.longest_queue = calls.longest_queue.max(queue.len());
                    events.insert((ends_at, outcome, me));
                }
                CallEvent::Failed => {
                    calls.failed += 1;
                    let wait = poll_schedule.delay_after_end(
                        now,
                        self.poll_parameters(me),
                        random.rand_float(),
                        rejected_end(now),
                    );
                    events.insert((now + wait, CallEvent::Call, me));
                }
                CallEvent::Answered => {
                    poll_schedule.record_answer(now);
                    calls.answered_at.push(now - start);
                    calls.sent_at.push(now - start);
                }
            }
        }
        calls.answered_at.resize(self.dispatchers as usize, RUN_LIMIT);
        calls.answered_at.sort_unstable();
        calls
    }

    /// When a call that begins now ends, and how. `free_at` is when the service has served all earlier calls.
    fn begin_call(&self, now: Micros, free_at: &mut Micros) -> (Micros, CallEvent) {
        let begins = (*free_at).max(now);
        if begins > now + QUEUE_TIMEOUT {
            return (now + QUEUE_TIMEOUT, CallEvent::Failed);
        }
        *free_at = begins + self.service_time();
        (*free_at, CallEvent::Answered)
    }
}

/// The end of a call that the service rejected, or of a watch that it closed, at this time.
fn rejected_end(as_of: Micros) -> WatchEnd {
    WatchEnd { reason: WatchEndReason::Refused, in_sync_until: as_of }
}
