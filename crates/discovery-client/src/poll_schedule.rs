//! When a dispatcher calls the discovery service, which all dispatchers share and which serves one call at a time.
//!
//! No dispatcher knows the capacity of the service, and dispatchers don't coordinate. So each estimates the service time of
//! one call, and makes its calls at its own position in a *round*, whose length is the service time multiplied by the number
//! of dispatchers. A call that fails after a wait doubles the estimate; an answered call sets it to what the duration of the
//! call indicates. This is additive increase, multiplicative decrease (D. Chiu, R. Jain: *Analysis of the Increase and
//! Decrease Algorithms for Congestion Avoidance*, 1989) applied to the time per call instead of the rate, and with a measured
//! target instead of the additive step, as a dispatcher makes too few calls to approach a target in small steps.

use std::ops::Range;

/// A duration or a point in time, in microseconds.
pub type Micros = i64;

const SECOND: Micros = 1_000_000;
/// The conjugate of the golden ratio (φ − 1): the fractional parts of its multiples are evenly distributed over 0..1.
pub const GOLDEN_RATIO_CONJUGATE: f64 = 0.618_033_988_749_894_9;
/// Factor of the estimate over the measured service time: a round is longer than the calls in it take, so that a queue at the
/// service drains.
const CALL_TIME_MARGIN: f64 = 1.25;
/// Lower bound of the estimated service time, in microseconds.
const MIN_CALL_TIME: Micros = SECOND / 1000;
/// Upper bound of the estimated service time, in microseconds.
const MAX_CALL_TIME: Micros = SECOND;
/// Shortest backoff after a broken watch or a failed call, in microseconds; each failed call doubles the backoff.
const MIN_BACKOFF: Micros = SECOND / 4;
/// A call that failed in less time than this, in microseconds, did not wait in the service's queue. A call that reached the
/// service and failed after this time or more is a *slow failure*.
const IMMEDIATE_FAILURE_TIME: Micros = SECOND / 4;
/// Position in a round of the call after more than [`MAX_PROMPT_RETRIES`] consecutive slow failures.
const LATE_RETRY_POSITION: Range<f64> = 0.5..1.2;
/// A watch that received nothing for this long, in microseconds, is broken: the service sends an empty line every 2 s.
pub const WATCH_TIMEOUT: Micros = SECOND * 5 / 2;
/// A change that the discovery service has known for this long, in microseconds, counts as notified, even if it was not
/// received.
pub const NOTIFICATION_DEADLINE: Micros = 6 * SECOND;
/// Time in which a service that is not overloaded answers a call, including the connection setup, in microseconds.
pub(crate) const EXPECTED_CALL_TIME: Micros = SECOND;
/// The longest time from when the list was last in sync to the next call, in microseconds, so that its answer arrives within
/// [`NOTIFICATION_DEADLINE`].
const MAX_FIRST_DELAY: Micros = NOTIFICATION_DEADLINE - 3 * EXPECTED_CALL_TIME / 2;
/// The same, from when a silent watch was detected as broken.
const MAX_DELAY_AFTER_BREAK: Micros = NOTIFICATION_DEADLINE - WATCH_TIMEOUT - 3 * EXPECTED_CALL_TIME / 2;
/// Number of consecutive slow failures after which the next call is still made within [`NOTIFICATION_DEADLINE`], as some calls
/// to a service that is down fail slowly, too. Further slow failures indicate an overloaded service.
const MAX_PROMPT_RETRIES: u32 = 3;
/// A fleet of up to this many dispatchers cannot overload the service by calls within [`NOTIFICATION_DEADLINE`], so slow failures
/// indicate an outage, however many there are.
const MAX_SMALL_FLEET: u32 = 30;
/// Position of such a call in the time that is left until its latest start.
const PROMPT_RETRY_POSITION: Range<f64> = 0.5..1.0;
/// After a failed call, the interval until the next poll may be this multiple of the poll interval.
pub const FAILURE_INTERVAL_FACTOR: Micros = 4;

/// Why a watch, or the call that opens one, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEndReason {
    /// The service ended it: by a response other than a list, a reset, or the end of the stream.
    Refused,
    /// No connection was established.
    Unreachable,
    /// This machine lacked a resource to open a connection, which is no evidence about the service.
    LocalFailure,
    /// Nothing was received in time on an established connection.
    TimedOut,
}

/// The end of a watch, or of the call that opens one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchEnd {
    /// Why it ended.
    pub reason: WatchEndReason,
    /// The latest time at which the list was in sync with the service, or the service was observed not to respond. A change
    /// before it that counts as notified is not missed because of this end.
    pub in_sync_until: Micros,
}

/// The parameters of a deployment that the schedule depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollParameters {
    /// How many dispatchers share the service, this one included; at least 1.
    pub instance_count: u32,
    /// The index of this dispatcher among them, from 0.
    pub instance_index: u32,
    /// The longest time between two polls, in microseconds; after a failed poll, [`FAILURE_INTERVAL_FACTOR`] times as long.
    pub poll_interval: Micros,
}

impl PollParameters {
    /// Whether the dispatchers are too few to overload the service by calls within [`NOTIFICATION_DEADLINE`].
    #[must_use]
    pub fn is_small_fleet(&self) -> bool {
        self.instance_count <= MAX_SMALL_FLEET
    }

    /// This dispatcher's position in a round, in 0..1. Positions are evenly distributed, however few dispatchers run.
    fn position(&self) -> f64 {
        (f64::from(self.instance_index) * GOLDEN_RATIO_CONJUGATE).fract()
    }

    /// The length of a round with this service time per call, in microseconds, bounded by a multiple of the poll interval.
    fn round_length(&self, call_time: Micros, interval_factor: Micros) -> Micros {
        let all_calls = f64::from(self.instance_count) * call_time as f64;
        (all_calls as Micros).min(self.poll_interval * 4 / 5 * interval_factor)
    }
}

/// The place of a call in its round.
#[derive(Clone, Copy)]
struct CallSlot {
    /// Position in the round: 0 is its start, 1 its end.
    position: f64,
    /// Multiple of the poll interval that bounds the length of the round.
    interval_factor: Micros,
    /// Upper bound of the length of the round, in microseconds.
    max_delay: Micros,
}

/// The schedule of one dispatcher's calls.
#[derive(Clone, Debug)]
pub struct PollSchedule {
    /// Estimated service time of one call, in microseconds, including the margin.
    call_time: Micros,
    /// When the call in flight began.
    call_started_at: Option<Micros>,
    /// Number of calls before this dispatcher's in the round, if all dispatchers call.
    calls_ahead: f64,
    /// Number of consecutive calls that failed after a wait in the service's queue.
    consecutive_slow_failures: u32,
    /// When the next call is due, if one is scheduled.
    next_poll_at: Option<Micros>,
    /// Whether any call has been made.
    has_polled: bool,
    /// Minimum delay before the next call, in microseconds.
    backoff: Micros,
}

impl PollSchedule {
    /// A schedule with this initial estimate of the service time of one call, in microseconds.
    #[must_use]
    pub fn new(initial_call_time: Micros) -> PollSchedule {
        PollSchedule {
            call_time: initial_call_time.clamp(MIN_CALL_TIME, MAX_CALL_TIME),
            call_started_at: None,
            calls_ahead: 0.0,
            consecutive_slow_failures: 0,
            next_poll_at: Some(0),
            has_polled: false,
            backoff: MIN_BACKOFF,
        }
    }

    /// The estimated service time of one call, in microseconds, including the margin.
    #[must_use]
    pub fn call_time(&self) -> Micros {
        self.call_time
    }

    /// The delay before the first call, in microseconds.
    pub fn first_delay(&mut self, parameters: PollParameters) -> Micros {
        let position = parameters.position();
        self.delay(parameters, CallSlot { position, interval_factor: 1, max_delay: MAX_FIRST_DELAY })
    }

    /// The delay before the first call to a service that has moved, in microseconds, where the operators want such calls
    /// spread: over a whole round, as the operators know the time per call.
    pub fn delay_after_move(&mut self, parameters: PollParameters) -> Micros {
        let position = parameters.position();
        self.delay(parameters, CallSlot { position, interval_factor: 1, max_delay: Micros::MAX })
    }

    /// Begins a call at `now` if one is due, and returns whether it is. A delay that was superseded by another one, or by a
    /// watch event, leads to no call.
    pub fn begin_poll(&mut self, now: Micros) -> bool {
        let is_due = self.next_poll_at.take_if(|at| *at <= now).is_some();
        if is_due {
            self.call_started_at = Some(now);
            self.has_polled = true;
        }
        is_due
    }

    /// Records a watch event, which answers the call in flight, if any; returns whether there was one.
    pub fn record_answer(&mut self, now: Micros) -> bool {
        self.backoff = MIN_BACKOFF;
        self.consecutive_slow_failures = 0;
        // The list cached before the start is recorded here, too, but is no watch event: the first call stays due.
        self.next_poll_at.take_if(|_| self.has_polled);
        let Some(started_at) = self.call_started_at.take() else { return false };
        // The service time of a call is at most the time that its caller waited. A wait that exceeds the estimate indicates a
        // queue, to which all calls ahead contributed.
        let waited = (now - started_at).max(MIN_CALL_TIME) as f64;
        let estimate = self.call_time as f64 / CALL_TIME_MARGIN;
        // A single call, or the first of few, may wait for other reasons: it doubles the estimate at most.
        let measured = waited.min(estimate + waited / self.calls_ahead.max(1.0)).min(2.0 * estimate);
        self.call_time = ((measured * CALL_TIME_MARGIN) as Micros).clamp(MIN_CALL_TIME, MAX_CALL_TIME);
        true
    }

    /// Records a failed call or a broken watch; returns the delay before the next call, in microseconds. `random` is a new
    /// random number, uniform in 0..1.
    ///
    /// A change counts as notified after [`NOTIFICATION_DEADLINE`] while the service can be reached. So only repeated slow
    /// failures, which indicate an overloaded service, are followed by a longer delay.
    pub fn delay_after_watch_end(
        &mut self,
        now: Micros,
        parameters: PollParameters,
        random: f64,
        end: WatchEnd,
    ) -> Micros {
        let max_prompt_delay = (end.in_sync_until + MAX_FIRST_DELAY - now).max(MIN_BACKOFF);
        let backoff = self.backoff;
        let slot = match self.call_started_at.take() {
            Some(started_at) => {
                let waited = (now - started_at).max(0);
                self.backoff = (backoff * 2).min((parameters.poll_interval / 8).max(MIN_BACKOFF));
                let is_small_fleet = parameters.is_small_fleet();
                self.slot_after_failure(end.reason, waited, random, max_prompt_delay, is_small_fleet)
            }
            // A watch may break for all dispatchers at once. As at a start, each calls at its own position.
            None => CallSlot {
                position: parameters.position(),
                interval_factor: 1,
                max_delay: max_prompt_delay.min(MAX_DELAY_AFTER_BREAK),
            },
        };
        let backoff = backoff.min(slot.max_delay / 2);
        let delay_in_round = self.delay(parameters, CallSlot { max_delay: slot.max_delay - backoff, ..slot });
        // Calls are spread over at least the backoff, also where there is only one dispatcher or the service time is near zero.
        let spread = ((backoff as f64 * slot.position) as Micros).max(delay_in_round);
        self.next_poll_at = Some(now + backoff + spread);
        backoff + spread
    }

    /// The place of the call after a failed one.
    fn slot_after_failure(
        &mut self,
        reason: WatchEndReason,
        waited: Micros,
        random: f64,
        max_prompt_delay: Micros,
        is_small_fleet: bool,
    ) -> CallSlot {
        // A call that waited was in the service's queue. One that failed immediately costs the service next to nothing: the
        // service is down or rejects calls, and is called no less often, so that its recovery is noticed.
        let reached_service = !matches!(reason, WatchEndReason::Unreachable | WatchEndReason::LocalFailure);
        let failed_slowly = reached_service && waited >= IMMEDIATE_FAILURE_TIME;
        self.consecutive_slow_failures = if failed_slowly { self.consecutive_slow_failures + 1 } else { 0 };
        if failed_slowly {
            self.call_time = (2 * self.call_time).clamp(MIN_CALL_TIME, MAX_CALL_TIME);
        }
        if self.consecutive_slow_failures > MAX_PROMPT_RETRIES && !is_small_fleet {
            // Positions in the first half of a round are not used: over a whole round, the next call would come after half a
            // round on average, and the service would be called twice as often as the length of the round provides for.
            return CallSlot {
                position: position_in(LATE_RETRY_POSITION, random),
                interval_factor: FAILURE_INTERVAL_FACTOR,
                max_delay: Micros::MAX,
            };
        }
        // Calls that failed together are retried at random positions, next to different calls. After a slow failure, only the
        // second half of the time is used, so that a few retries outlast an outage.
        let position = if failed_slowly { position_in(PROMPT_RETRY_POSITION, random) } else { random };
        CallSlot { position, interval_factor: FAILURE_INTERVAL_FACTOR / 2, max_delay: max_prompt_delay }
    }

    /// The delay from the start of a round to a call in it, in microseconds.
    fn delay(&mut self, parameters: PollParameters, slot: CallSlot) -> Micros {
        self.calls_ahead = slot.position * f64::from(parameters.instance_count);
        let round_length = parameters.round_length(self.call_time, slot.interval_factor);
        (round_length.min(slot.max_delay) as f64 * slot.position) as Micros
    }
}

/// Maps a random number in 0..1 to a position in a range.
fn position_in(range: Range<f64>, random: f64) -> f64 {
    range.start + random * (range.end - range.start)
}
