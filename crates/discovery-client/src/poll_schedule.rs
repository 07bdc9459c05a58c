//! When a dispatcher calls the list service, which serves one call after another, to all dispatchers.
//!
//! No dispatcher knows the capacity of that service, and dispatchers don't coordinate. So each keeps an estimate of the time
//! that one call takes the service, and calls at a position of its own in a *round*: that time for each dispatcher. The
//! estimate follows the calls: one that fails after a wait doubles it, one that is answered draws it to what its duration
//! indicates. It is the rule of additive increase and multiplicative decrease (D. Chiu, R. Jain: *Analysis of the Increase and
//! Decrease Algorithms for Congestion Avoidance*, 1989) turned from rates to time per call, with a measured target, as a
//! dispatcher makes too few calls to approach one in small steps.

use std::ops::Range;

/// A duration or a point in time, in microseconds.
pub type Micros = i64;

const SECOND: Micros = 1_000_000;
/// The golden ratio, less one: the fractional parts of its multiples are evenly distributed.
pub const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;
/// Factor of a round's length over the time of its calls, so that a queue at the service empties.
const MARGIN: f64 = 1.25;
/// Lower bound of the estimate, in microseconds.
const MIN_CALL_TIME: Micros = SECOND / 1000;
/// Upper bound of the estimate, in microseconds.
const MAX_CALL_TIME: Micros = SECOND;
/// Shortest backoff after a broken watch or a failed call, in microseconds; a failed call doubles it.
const MIN_BACKOFF: Micros = SECOND / 4;
/// A call that failed sooner than this, in microseconds, did not wait in the service's queue.
const IMMEDIATE_FAILURE: Micros = SECOND / 4;
/// Position in a round of the call after more than [`PROMPT_RETRIES`] timeouts in a row.
const LATE_RETRY_POSITION: Range<f64> = 0.5..1.2;
/// A watch that sent nothing for this long, in microseconds, is broken: an empty line comes on it every 2 s.
pub const WATCH_TIMEOUT: Micros = SECOND * 5 / 2;
/// A change that the list service has known for this long, in microseconds, counts as notified, received or not.
pub const NOTIFICATION_DEADLINE: Micros = 6 * SECOND;
/// Time until a call is answered by a service that is not overloaded, connecting included, in microseconds.
pub(crate) const EXPECTED_CALL_TIME: Micros = SECOND;
/// The longest time from the moment up to which the list was in sync to the next call, in microseconds, that leaves time for
/// its answer.
const MAX_FIRST_DELAY: Micros = NOTIFICATION_DEADLINE - 3 * EXPECTED_CALL_TIME / 2;
/// The same from the moment at which a silent watch was found to be broken.
const MAX_DELAY_AFTER_BREAK: Micros = NOTIFICATION_DEADLINE - WATCH_TIMEOUT - 3 * EXPECTED_CALL_TIME / 2;
/// Timeouts in a row that are followed by a call within the notification deadline: a service that is down makes some callers
/// wait, too. Further timeouts indicate an overloaded service.
const PROMPT_RETRIES: u32 = 3;
/// Position of such a call in the time that is left.
const PROMPT_RETRY_POSITION: Range<f64> = 0.5..1.0;
/// After a failed call, a dispatcher may go without polling for this multiple of the poll interval.
pub const FAILURE_INTERVAL_FACTOR: Micros = 4;

/// Why a watch, or the call for one, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEndReason {
    /// The service ended it: by a response that is no list, a reset, or the end of the stream.
    Refused,
    /// No connection was established.
    Unreachable,
    /// This machine lacked a resource for a connection, which is no evidence about the service.
    LocalFailure,
    /// Nothing came in time on an established connection.
    Silent,
}

/// The end of a watch, or of the call for one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchEnd {
    /// Why it ended.
    pub reason: WatchEndReason,
    /// The latest time at which the list was in sync with the service, or the service was seen not to respond. A change before
    /// it that counts as notified is not missed because of this end.
    pub in_sync_until: Micros,
}

/// The parameters of an installation that the schedule depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollParameters {
    /// How many dispatchers share the service, this one included; at least 1.
    pub instance_count: u32,
    /// This dispatcher's number among them, from 0.
    pub instance_index: u32,
    /// The longest time between two polls, in microseconds; [`FAILURE_INTERVAL_FACTOR`] times as long after a failed one.
    pub poll_interval: Micros,
}

impl PollParameters {
    /// This dispatcher's position in a round, 0 to 1: evenly distributed over all numbers, however few dispatchers run.
    fn position(&self) -> f64 {
        (f64::from(self.instance_index) * GOLDEN_RATIO).fract()
    }

    /// The length of a round with this time per call, bounded by a multiple of the poll interval.
    fn round_length(&self, call_time: Micros, interval_factor: Micros) -> Micros {
        let all_calls = f64::from(self.instance_count) * call_time as f64;
        (all_calls as Micros).min(self.poll_interval * 4 / 5 * interval_factor)
    }
}

/// Where in its round a call is placed.
#[derive(Clone, Copy)]
struct CallSlot {
    /// Position in the round: 0 is its start, 1 its end.
    position: f64,
    /// Multiple of the poll interval that bounds the round's length.
    interval_factor: Micros,
    /// Upper bound of the round's length, in microseconds.
    max_delay: Micros,
}

/// One dispatcher's schedule of calls.
#[derive(Clone, Debug)]
pub struct PollSchedule {
    /// Estimated time that one call takes the service, in microseconds, margin included.
    call_time: Micros,
    /// When the call in flight began.
    call_started_at: Option<Micros>,
    /// How many calls come before it in the round, if all dispatchers call.
    calls_ahead: f64,
    /// Calls in a row that waited and failed.
    consecutive_timeouts: u32,
    /// When the next call is due, if one is.
    next_poll_at: Option<Micros>,
    /// Whether any call was made.
    has_polled: bool,
    /// Shortest wait before the next call, in microseconds.
    backoff: Micros,
}

impl PollSchedule {
    /// A schedule that begins with this guess of the time that one call takes the service, in microseconds.
    #[must_use]
    pub fn new(guess: Micros) -> PollSchedule {
        PollSchedule {
            call_time: guess.clamp(MIN_CALL_TIME, MAX_CALL_TIME),
            call_started_at: None,
            calls_ahead: 0.0,
            consecutive_timeouts: 0,
            next_poll_at: Some(0),
            has_polled: false,
            backoff: MIN_BACKOFF,
        }
    }

    /// The estimated time that one call takes the service, margin included, in microseconds.
    #[must_use]
    pub fn call_time(&self) -> Micros {
        self.call_time
    }

    /// How long to wait before the first call, in microseconds.
    pub fn first_delay(&mut self, parameters: PollParameters) -> Micros {
        let position = parameters.position();
        self.delay(parameters, CallSlot { position, interval_factor: 1, max_delay: MAX_FIRST_DELAY })
    }

    /// How long to wait before the first call to a service that has moved, in microseconds, where the operators want such calls
    /// spread: over a whole round, as they know the time per call.
    pub fn delay_after_move(&mut self, parameters: PollParameters) -> Micros {
        let position = parameters.position();
        self.delay(parameters, CallSlot { position, interval_factor: 1, max_delay: Micros::MAX })
    }

    /// Begins a call at `now` if one is due and returns whether it is: a wait that was superseded by another one, or by a watch
    /// event, ends in no call.
    pub fn begin_poll(&mut self, now: Micros) -> bool {
        let is_due = self.next_poll_at.take_if(|at| *at <= now).is_some();
        if is_due {
            self.call_started_at = Some(now);
            self.has_polled = true;
        }
        is_due
    }

    /// Records a watch event, which answers the call in flight, if there is one; returns whether there was.
    pub fn record_answer(&mut self, now: Micros) -> bool {
        self.backoff = MIN_BACKOFF;
        self.consecutive_timeouts = 0;
        // A list cached before the start is no watch event.
        self.next_poll_at.take_if(|_| self.has_polled);
        let Some(started_at) = self.call_started_at.take() else { return false };
        // No call takes the service longer than its caller waited. A longer wait than estimated shows a queue, which the calls
        // ahead built up together.
        let waited = (now - started_at).max(MIN_CALL_TIME) as f64;
        let estimate = self.call_time as f64 / MARGIN;
        // One call alone, or the first of few, may wait for other reasons: it at most doubles the estimate.
        let measured = waited.min(estimate + waited / self.calls_ahead.max(1.0)).min(2.0 * estimate);
        self.call_time = ((measured * MARGIN) as Micros).clamp(MIN_CALL_TIME, MAX_CALL_TIME);
        true
    }

    /// Records a failed call or a broken watch; returns how long to wait before the next call, in microseconds. `draw` is a new
    /// random number, uniform in 0..1.
    ///
    /// A change counts as notified after [`NOTIFICATION_DEADLINE`] while the service can be reached. So only repeated timeouts,
    /// which indicate an overloaded service, are followed by a longer wait.
    pub fn delay_after_end(
        &mut self,
        now: Micros,
        parameters: PollParameters,
        draw: f64,
        end: WatchEnd,
    ) -> Micros {
        let max_prompt_delay = (end.in_sync_until + MAX_FIRST_DELAY - now).max(MIN_BACKOFF);
        let backoff = self.backoff;
        let slot = match self.call_started_at.take() {
            Some(started_at) => {
                let waited = (now - started_at).max(0);
                self.backoff = (backoff * 2).min((parameters.poll_interval / 8).max(MIN_BACKOFF));
                self.slot_after_failure(end.reason, waited, draw, max_prompt_delay)
            }
            // A watch that breaks for all dispatchers at once is handled like a start: each has a position of its own.
            None => CallSlot {
                position: parameters.position(),
                interval_factor: 1,
                max_delay: max_prompt_delay.min(MAX_DELAY_AFTER_BREAK),
            },
        };
        let backoff = backoff.min(slot.max_delay / 2);
        let delay_in_round = self.delay(parameters, CallSlot { max_delay: slot.max_delay - backoff, ..slot });
        // Calls spread at least over the backoff, where a dispatcher is alone or calls take no time.
        let spread = ((backoff as f64 * slot.position) as Micros).max(delay_in_round);
        self.next_poll_at = Some(now + backoff + spread);
        backoff + spread
    }

    /// Where the call after a failed one is placed.
    fn slot_after_failure(
        &mut self,
        reason: WatchEndReason,
        waited: Micros,
        draw: f64,
        max_prompt_delay: Micros,
    ) -> CallSlot {
        // A call that waited took its place in a queue. One that failed at once cost next to nothing: the service is down or
        // rejects callers, and is called no less often, so that its return is noticed.
        let reached_service = !matches!(reason, WatchEndReason::Unreachable | WatchEndReason::LocalFailure);
        let timed_out = reached_service && waited >= IMMEDIATE_FAILURE;
        self.consecutive_timeouts = if timed_out { self.consecutive_timeouts + 1 } else { 0 };
        if timed_out {
            self.call_time = (2 * self.call_time).clamp(MIN_CALL_TIME, MAX_CALL_TIME);
        }
        if self.consecutive_timeouts > PROMPT_RETRIES {
            // The first half of a round is left out: drawn from all of it, the next call would come after half a round on average, and
            // the service would be called twice as often as the round says.
            return CallSlot {
                position: position_in(LATE_RETRY_POSITION, draw),
                interval_factor: FAILURE_INTERVAL_FACTOR,
                max_delay: Micros::MAX,
            };
        }
        // Calls that failed together are retried at other positions, beside others; after a timeout half of the time is left
        // out, so that few retries last through an outage.
        let position = if timed_out { position_in(PROMPT_RETRY_POSITION, draw) } else { draw };
        CallSlot { position, interval_factor: FAILURE_INTERVAL_FACTOR / 2, max_delay: max_prompt_delay }
    }

    /// The time from the start of a round to a call in it, in microseconds.
    fn delay(&mut self, parameters: PollParameters, slot: CallSlot) -> Micros {
        self.calls_ahead = slot.position * f64::from(parameters.instance_count);
        let round_length = parameters.round_length(self.call_time, slot.interval_factor);
        (round_length.min(slot.max_delay) as f64 * slot.position) as Micros
    }
}

/// The position in a range that a number drawn from 0..1 stands for.
fn position_in(range: Range<f64>, draw: f64) -> f64 {
    range.start + draw * (range.end - range.start)
}
