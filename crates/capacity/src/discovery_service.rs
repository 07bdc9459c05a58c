//! A model of the discovery service: it serves one call at a time, each for a fixed time plus the transfer time of its
//! response, and rejects a call that exceeds the queue time-out. Its clients are dispatchers with the poll schedule of
//! `crates/discovery-client`.

use crate::{Micros, SECOND};
use oorandom::Rand64;
use roselock_discovery_client::poll_schedule::{PollParameters, PollSchedule, WatchEnd, WatchEndReason};
use std::collections::BTreeSet;

/// The longest wait of a call in the queue before it is rejected.
const QUEUE_TIMEOUT: Micros = 2 * SECOND;
/// The poll interval of the dispatchers, for which a list counts as current.
const POLL_INTERVAL: Micros = 10 * SECOND;
/// The estimated duration of a call before the first one.
const INITIAL_CALL_TIME: Micros = roselock::DEFAULT_LIST_CALL_TIME;
/// The time limit of a simulation, which counts as the answer time of a dispatcher without an answer.
pub const SIMULATION_LIMIT: Micros = 600 * SECOND;

/// The parameters of the service and its clients.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DiscoveryService {
    /// The number of dispatchers that call at the same time.
    pub dispatchers: u32,
    /// The service time of a call without the transfer of its response.
    pub call_duration: Micros,
    /// The size of a response.
    pub response_bytes: u64,
    /// The bandwidth of the service, in bytes per second.
    pub bytes_per_second: u64,
}

/// The reason why all dispatchers call at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// All dispatchers start without a list.
    ColdStart,
    /// All watches end a long time after their start.
    WatchesEnd,
}

/// Statistics of the calls in a simulation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallStatistics {
    /// Calls that were started.
    pub started: usize,
    /// Calls that were rejected.
    pub failed: usize,
    /// The largest number of calls waiting or being served.
    pub longest_queue: usize,
    /// When each dispatcher received its response, sorted.
    pub answered_at: Vec<Micros>,
    /// When each response was sent.
    sent_at: Vec<Micros>,
    response_bytes: u64,
}

impl CallStatistics {
    /// The time by which this fraction of the dispatchers had received a response.
    pub fn answer_time_quantile(&self, fraction: f64) -> Micros {
        let last_index = self.answered_at.len().saturating_sub(1);
        self.answered_at.get((last_index as f64 * fraction) as usize).copied().unwrap_or(0)
    }

    /// The size of all responses together.
    pub fn total_response_bytes(&self) -> u64 {
        self.sent_at.len() as u64 * self.response_bytes
    }

    /// The largest number of response bytes within one second.
    pub fn peak_bytes_per_second(&self) -> u64 {
        let responses_within_second =
            |start: Micros| self.sent_at.iter().filter(|at| (start..start + SECOND).contains(at)).count();
        let max_count = self.sent_at.iter().map(|start| responses_within_second(*start)).max().unwrap_or(0);
        max_count as u64 * self.response_bytes
    }
}

/// An event of a dispatcher. Of events at the same time failures are processed first, then new calls, then answers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum CallEvent {
    Failed,
    Call,
    Answered,
}

impl DiscoveryService {
    /// How long a call occupies the service.
    fn service_time(&self) -> Micros {
        let transfer = self.response_bytes as f64 / self.bytes_per_second.max(1) as f64;
        self.call_duration + (transfer * SECOND as f64) as Micros
    }

    fn poll_parameters(&self, instance_index: u32) -> PollParameters {
        PollParameters { instance_count: self.dispatchers, instance_index, poll_interval: POLL_INTERVAL }
    }

    /// Simulates a scenario.
    pub fn simulate_scenario(&self, scenario: Scenario, seed: u64) -> CallStatistics {
        let mut schedules: Vec<PollSchedule> =
            (0..self.dispatchers).map(|_| PollSchedule::new(INITIAL_CALL_TIME)).collect();
        let mut random = Rand64::new(u128::from(seed));
        let first_delay = |instance_index: u32, schedule: &mut PollSchedule| {
            schedule.first_delay(self.poll_parameters(instance_index))
        };
        let calls = self.simulate_calls(&mut schedules, &mut random, 0, first_delay);
        if scenario == Scenario::ColdStart {
            return calls;
        }
        let ended_at = 2 * SIMULATION_LIMIT;
        let reconnect = |instance_index: u32, schedule: &mut PollSchedule| {
            schedule.delay_after_watch_end(
                ended_at,
                self.poll_parameters(instance_index),
                0.0,
                rejected_end(ended_at),
            )
        };
        self.simulate_calls(&mut schedules, &mut random, ended_at, reconnect)
    }

    /// Simulates the calls from the first one of each dispatcher until all are answered.
    fn simulate_calls(
        &self,
        schedules: &mut [PollSchedule],
        random: &mut Rand64,
        start: Micros,
        first_delay: impl Fn(u32, &mut PollSchedule) -> Micros,
    ) -> CallStatistics {
        let mut calls = CallStatistics { response_bytes: self.response_bytes, ..CallStatistics::default() };
        let mut events: BTreeSet<(Micros, CallEvent, u32)> = BTreeSet::new();
        for (instance_index, schedule) in schedules.iter_mut().enumerate() {
            events.insert((
                start + first_delay(instance_index as u32, schedule),
                CallEvent::Call,
                instance_index as u32,
            ));
        }
        let mut free_at = start;
        let mut queue = BTreeSet::new();
        while let Some((now, event, instance_index)) =
            events.pop_first().filter(|next| next.0 < start + SIMULATION_LIMIT)
        {
            let schedule = &mut schedules[instance_index as usize];
            match event {
                CallEvent::Call => {
                    schedule.begin_poll(now);
                    let (ends_at, outcome) = self.schedule_outcome(now, &mut free_at);
                    queue.retain(|(ends_at, _): &(Micros, u32)| *ends_at > now);
                    queue.insert((ends_at, instance_index));
                    calls.started += 1;
                    calls.longest_queue = calls.longest_queue.max(queue.len());
                    events.insert((ends_at, outcome, instance_index));
                }
                CallEvent::Failed => {
                    calls.failed += 1;
                    let delay = schedule.delay_after_watch_end(
                        now,
                        self.poll_parameters(instance_index),
                        random.rand_float(),
                        rejected_end(now),
                    );
                    events.insert((now + delay, CallEvent::Call, instance_index));
                }
                CallEvent::Answered => {
                    schedule.record_answer(now);
                    calls.answered_at.push(now - start);
                    calls.sent_at.push(now - start);
                }
            }
        }
        calls.answered_at.resize(self.dispatchers as usize, SIMULATION_LIMIT);
        calls.answered_at.sort_unstable();
        calls
    }

    /// The time and the kind of the outcome of a call that begins now. `free_at` is when the service has served all earlier
    /// calls.
    fn schedule_outcome(&self, now: Micros, free_at: &mut Micros) -> (Micros, CallEvent) {
        let service_start = (*free_at).max(now);
        if service_start > now + QUEUE_TIMEOUT {
            return (now + QUEUE_TIMEOUT, CallEvent::Failed);
        }
        *free_at = service_start + self.service_time();
        (*free_at, CallEvent::Answered)
    }
}

/// The end at this time of a call that the service rejected, or of a watch that it closed.
fn rejected_end(as_of: Micros) -> WatchEnd {
    WatchEnd { reason: WatchEndReason::Refused, in_sync_until: as_of }
}
