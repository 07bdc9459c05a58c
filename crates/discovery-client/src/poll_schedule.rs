//! The pace of calls to the list service, which serves one call after another, to all dispatchers.
//!
//! Nobody tells a dispatcher how much that service bears, and dispatchers don't talk. So each keeps an estimate of the
//! time that one call takes the service, and calls at a place of its own in a *round*: that time for each dispatcher.
//! The estimate follows what the service shows: a call that fails after a wait doubles it, one that is answered draws it to
//! what its time speaks for. It is the rule of additive increase and multiplicative decrease (D. Chiu, R. Jain:
//! *Analysis of the Increase and Decrease Algorithms for Congestion Avoidance*, 1989) turned from rates to times a
//! call, with a measured target, as a dispatcher makes too few calls to probe for one in small steps.

/// A span or a point in time, in microseconds.
pub type Micros = i64;

const SECOND: Micros = 1_000_000;
/// The golden ratio: its multiples, less their whole parts, lie evenly.
pub const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;
/// Of a round, over the calls' own time, so that a queue that formed goes away.
const MARGIN: f64 = 1.25;
/// Bounds of the estimate.
const MIN_CALL_TIME: Micros = SECOND / 1000;
const MAX_CALL_TIME: Micros = SECOND;
/// Least wait after a break or a failure; a failed call doubles it.
const MIN_BACKOFF: Micros = SECOND / 4;
/// A failure within this span says nothing of how long calls wait.
const IMMEDIATE_FAILURE: Micros = SECOND / 4;
/// Where in a round a call comes after more than [`PROMPT_RETRIES`] in a row that waited in vain.
const LATE_RETRY_POSITION: std::ops::Range<f64> = 0.5..1.2;
/// An empty line comes on a watch every 2 s: one that says nothing for so long is broken.
pub const WATCH_TIMEOUT: Micros = SECOND * 5 / 2;
/// What the list service has known for so long counts as told, heard or not.
pub const NOTIFICATION_DEADLINE: Micros = 6 * SECOND;
/// How long a call takes to be answered, with its connection, in a service that does its work.
pub(crate) const EXPECTED_CALL_TIME: Micros = SECOND;
/// The longest time from the moment up to which the list was in step to the next call that leaves time for its answer.
const MAX_FIRST_DELAY: Micros = NOTIFICATION_DEADLINE - 3 * EXPECTED_CALL_TIME / 2;
/// The longest wait after a watch broke, from then on.
const MAX_DELAY_AFTER_BREAK: Micros = NOTIFICATION_DEADLINE - WATCH_TIMEOUT - 3 * EXPECTED_CALL_TIME / 2;
/// So many calls in a row that waited in vain are followed by a call in time to be told: a service that is down keeps
/// some callers waiting, too. Those after them are the sign of a service with too many callers.
const PROMPT_RETRIES: u32 = 3;
/// Where in the time that is left such a call comes.
const PROMPT_RETRY_POSITION: std::ops::Range<f64> = 0.5..1.0;
/// So many times as long as otherwise a dispatcher may go without asking after a call that failed.
pub const FAILURE_INTERVAL_FACTOR: Micros = 4;

/// Why a watch, or the call for one, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchEndReason {
    /// The service ended it: by an answer that is no list, a reset, or the end of the stream.
    Refused,
    /// No connection came up.
    Unreachable,
    /// This machine was short of something for a connection: that says nothing of the service.
    LocalFailure,
    /// Nothing came in time on an open connection.
    Silent,
}

/// The end of a watch, or of the call for one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchEnd {
    /// Why.
    pub reason: WatchEndReason,
    /// The latest moment at which the list was in step with the service, or the service was seen not to answer: no
    /// change before it is missed that counts as told because of it.
    pub in_sync_until: Micros,
}

/// What an installation is, for the pace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollParameters {
    /// How many dispatchers share the service, this one included; at least 1.
    pub instance_count: u32,
    /// This one's number among them, from 0.
    pub instance_index: u32,
    /// The longest time without a call that counts as up to date; [`AFTER_FAILURE`] times as long after a failed one.
    pub poll_interval: Micros,
}

impl PollParameters {
    /// This dispatcher's place in a round, as a share of it: even over all numbers, however few of them are up.
    fn position(&self) -> f64 {
        (f64::from(self.instance_index) * GOLDEN_RATIO).fract()
    }
    /// The length of a round at so much time a call, within what binds.
    fn duration(&self, call: Micros, times: Micros) -> Micros {
        let time = f64::from(self.instance_count) * call as f64;
        (time as Micros).min(self.poll_interval * 4 / 5 * times)
    }
}

/// One dispatcher's pace.
#[derive(Clone, Debug)]
pub struct PollSchedule {
    /// What one call takes the service, as estimated, with the margin.
    call_time: Micros,
    /// When the call that is under way began.
    call_started_at: Option<Micros>,
    /// How many calls of the round came before it, were all to call.
    calls_ahead: f64,
    /// How many calls in a row waited in vain.
    consecutive_timeouts: u32,
    /// When the next call is due, if one is, and whether any was made.
    next_poll_at: Option<Micros>,
    has_polled: bool,
    /// Least wait before the next call.
    backoff: Micros,
}

impl PollSchedule {
    /// A pace that begins with a guess of what one call takes the service, in microseconds.
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

    /// What one call is held to take the service, with a margin, in microseconds.
    pub fn call_time(&self) -> Micros {
        self.call_time
    }

    /// How long to wait before the first call.
    pub fn first_delay(&mut self, round: PollParameters) -> Micros {
        self.delay_at(round, round.position(), 1, MAX_FIRST_DELAY)
    }

    /// How long to wait before the first call to a service that has moved, where the operators want moves spread: a whole
    /// round, as they know what a call takes.
    pub fn delay_after_move(&mut self, round: PollParameters) -> Micros {
        self.delay_at(round, round.position(), 1, Micros::MAX)
    }

    /// A call begins, if one is due: a wait that was overtaken by another, or by news, ends in none.
    pub fn begin_poll(&mut self, now: Micros) -> bool {
        let due = self.next_poll_at.take_if(|at| *at <= now).is_some();
        if due {
            (self.call_started_at, self.has_polled) = (Some(now), true);
        }
        due
    }

    /// The service has told something: the call that is under way is answered, if there is one; whether there was.
    pub fn record_answer(&mut self, now: Micros) -> bool {
        (self.backoff, self.consecutive_timeouts) = (MIN_BACKOFF, 0);
        // The list that one starts with is no word of the service.
        self.next_poll_at.take_if(|_| self.has_polled);
        let Some(since) = self.call_started_at.take() else { return false };
        // No call takes the service longer than its caller waited. What waited beyond the pace is a queue, which
        // those ahead built up together.
        let waited = (now - since).max(MIN_CALL_TIME) as f64;
        let before = self.call_time as f64 / MARGIN;
        // One call alone, or the first of few, may wait for other reasons: it at most doubles the estimate.
        let shown = waited.min(before + waited / self.calls_ahead.max(1.0)).min(2.0 * before);
        self.call_time = ((shown * MARGIN) as Micros).clamp(MIN_CALL_TIME, MAX_CALL_TIME);
        true
    }

    /// The call failed, or the watch broke: how long to wait before the next one. `draw` is drawn anew, even in 0..1.
    ///
    /// What changes while the service can be reached counts as told after [`TOLD`]. So only calls that waited in its
    /// queue in vain again and again, the sign of a service with too many callers, are followed by a longer wait.
    pub fn delay_after_end(
        &mut self,
        now: Micros,
        round: PollParameters,
        draw: f64,
        end: WatchEnd,
    ) -> Micros {
        let in_time = (end.in_sync_until + MAX_FIRST_DELAY - now).max(MIN_BACKOFF);
        let pause = self.backoff;
        let (place, times, most) = match self.call_started_at.take() {
            Some(since) => {
                let waited = (now - since).max(0);
                self.backoff = (pause * 2).min((round.poll_interval / 8).max(MIN_BACKOFF));
                self.failed(end.reason, waited, draw, in_time)
            }
            // What broke under all of us at once is met like a start, where nobody stands beside another.
            None => (round.position(), 1, in_time.min(MAX_DELAY_AFTER_BREAK)),
        };
        let pause = pause.min(most / 2);
        // At least the pause is spread over, where one is alone or calls take no time.
        let spread = ((pause as f64 * place) as Micros).max(self.delay_at(round, place, times, most - pause));
        self.next_poll_at = Some(now + pause + spread);
        pause + spread
    }

    /// Where in how many rounds the call after a failed one comes, and the longest wait before it.
    fn failed(
        &mut self,
        reason: WatchEndReason,
        waited: Micros,
        draw: f64,
        in_time: Micros,
    ) -> (f64, Micros, Micros) {
        // A call that waited took its place in a queue. One that failed at once cost next to nothing: the service is
        // down or turns callers away, and is asked no less often for it once it is back.
        let called = !matches!(reason, WatchEndReason::Unreachable | WatchEndReason::LocalFailure);
        let queued = called && waited >= IMMEDIATE_FAILURE;
        self.consecutive_timeouts = if queued { self.consecutive_timeouts + 1 } else { 0 };
        if queued {
            self.call_time = (2 * self.call_time).clamp(MIN_CALL_TIME, MAX_CALL_TIME);
        }
        if self.consecutive_timeouts <= PROMPT_RETRIES {
            // Those that failed together come again at other places, beside others; who waited leaves half of the time
            // out, so that few retries last through an outage.
            let place = if queued {
                PROMPT_RETRY_POSITION.start + draw * (PROMPT_RETRY_POSITION.end - PROMPT_RETRY_POSITION.start)
            } else {
                draw
            };
            return (place, FAILURE_INTERVAL_FACTOR / 2, in_time);
        }
        // Most of a round is left out: drawn from all of it, the next call would come after half a round on average,
        // and the service be called twice as often as the round says.
        (
            LATE_RETRY_POSITION.start + draw * (LATE_RETRY_POSITION.end - LATE_RETRY_POSITION.start),
            FAILURE_INTERVAL_FACTOR,
            Micros::MAX,
        )
    }

    fn delay_at(&mut self, round: PollParameters, place: f64, times: Micros, most: Micros) -> Micros {
        self.calls_ahead = place * f64::from(round.instance_count);
        (round.duration(self.call_time, times).min(most) as f64 * place) as Micros
    }
}
