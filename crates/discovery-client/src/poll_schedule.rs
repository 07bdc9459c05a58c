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
pub const GOLDEN: f64 = 0.618_033_988_749_894_9;
/// Of a round, over the calls' own time, so that a queue that formed goes away.
const MARGIN: f64 = 1.25;
/// Bounds of the estimate.
const LEAST: Micros = SECOND / 1000;
const MOST: Micros = SECOND;
/// Least wait after a break or a failure; a failed call doubles it.
const PAUSE: Micros = SECOND / 4;
/// A failure within this span says nothing of how long calls wait.
const AT_ONCE: Micros = SECOND / 4;
/// Where in a round a call comes after more than [`PROMPT_RETRIES`] in a row that waited in vain.
const AGAIN: std::ops::Range<f64> = 0.5..1.2;
/// An empty line comes on a watch every 2 s: one that says nothing for so long is broken.
pub const SILENCE: Micros = SECOND * 5 / 2;
/// What the list service has known for so long counts as told, heard or not.
pub const TOLD: Micros = 6 * SECOND;
/// How long a call takes to be answered, with its connection, in a service that does its work.
pub(crate) const ANSWER: Micros = SECOND;
/// The longest time from the moment up to which the list was in step to the next call that leaves time for its answer.
const FIRST: Micros = TOLD - 3 * ANSWER / 2;
/// The longest wait after a watch broke, from then on.
const AFTER_BREAK: Micros = TOLD - SILENCE - 3 * ANSWER / 2;
/// So many calls in a row that waited in vain are followed by a call in time to be told: a service that is down keeps
/// some callers waiting, too. Those after them are the sign of a service with too many callers.
const PROMPT_RETRIES: u32 = 3;
/// Where in the time that is left such a call comes.
const PROMPT: std::ops::Range<f64> = 0.5..1.0;
/// So many times as long as otherwise a dispatcher may go without asking after a call that failed.
pub const AFTER_FAILURE: Micros = 4;

/// Why a watch, or the call for one, ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndReason {
    /// The service ended it: by an answer that is no list, a reset, or the end of the stream.
    Refused,
    /// No connection came up.
    Unreachable,
    /// This machine was short of something for a connection: that says nothing of the service.
    Local,
    /// Nothing came in time on an open connection.
    Silent,
}

/// The end of a watch, or of the call for one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WatchEnd {
    /// Why.
    pub reason: EndReason,
    /// The latest moment at which the list was in step with the service, or the service was seen not to answer: no
    /// change before it is missed that counts as told because of it.
    pub as_of: Micros,
}

/// What an installation is, for the pace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Round {
    /// How many dispatchers share the service, this one included; at least 1.
    pub all: u32,
    /// This one's number among them, from 0.
    pub me: u32,
    /// The longest time without a call that counts as up to date; [`AFTER_FAILURE`] times as long after a failed one.
    pub within: Micros,
}

impl Round {
    /// This dispatcher's place in a round, as a share of it: even over all numbers, however few of them are up.
    fn place(&self) -> f64 {
        (f64::from(self.me) * GOLDEN).fract()
    }
    /// The length of a round at so much time a call, within what binds.
    fn length(&self, call: Micros, times: Micros) -> Micros {
        let time = f64::from(self.all) * call as f64;
        (time as Micros).min(self.within * 4 / 5 * times)
    }
}

/// One dispatcher's pace.
#[derive(Clone, Debug)]
pub struct Pace {
    /// What one call takes the service, as estimated, with the margin.
    call: Micros,
    /// When the call that is under way began.
    since: Option<Micros>,
    /// How many calls of the round came before it, were all to call.
    ahead: f64,
    /// How many calls in a row waited in vain.
    waited: u32,
    /// When the next call is due, if one is, and whether any was made.
    due: Option<Micros>,
    called: bool,
    /// Least wait before the next call.
    pause: Micros,
}

impl Pace {
    /// A pace that begins with a guess of what one call takes the service, in microseconds.
    pub fn new(guess: Micros) -> Pace {
        Pace {
            call: guess.clamp(LEAST, MOST),
            since: None,
            ahead: 0.0,
            waited: 0,
            due: Some(0),
            called: false,
            pause: PAUSE,
        }
    }

    /// What one call is held to take the service, with a margin, in microseconds.
    pub fn call(&self) -> Micros {
        self.call
    }

    /// How long to wait before the first call.
    pub fn first(&mut self, round: Round) -> Micros {
        self.at(round, round.place(), 1, FIRST)
    }

    /// How long to wait before the first call to a service that has moved, where the operators want moves spread: a whole
    /// round, as they know what a call takes.
    pub fn moved(&mut self, round: Round) -> Micros {
        self.at(round, round.place(), 1, Micros::MAX)
    }

    /// A call begins, if one is due: a wait that was overtaken by another, or by news, ends in none.
    pub fn called(&mut self, now: Micros) -> bool {
        let due = self.due.take_if(|at| *at <= now).is_some();
        if due {
            (self.since, self.called) = (Some(now), true);
        }
        due
    }

    /// The service has told something: the call that is under way is answered, if there is one; whether there was.
    pub fn answered(&mut self, now: Micros) -> bool {
        (self.pause, self.waited) = (PAUSE, 0);
        // The list that one starts with is no word of the service.
        self.due.take_if(|_| self.called);
        let Some(since) = self.since.take() else { return false };
        // No call takes the service longer than its caller waited. What waited beyond the pace is a queue, which
        // those ahead built up together.
        let waited = (now - since).max(LEAST) as f64;
        let before = self.call as f64 / MARGIN;
        // One call alone, or the first of few, may wait for other reasons: it at most doubles the estimate.
        let shown = waited.min(before + waited / self.ahead.max(1.0)).min(2.0 * before);
        self.call = ((shown * MARGIN) as Micros).clamp(LEAST, MOST);
        true
    }

    /// The call failed, or the watch broke: how long to wait before the next one. `draw` is drawn anew, even in 0..1.
    ///
    /// What changes while the service can be reached counts as told after [`TOLD`]. So only calls that waited in its
    /// queue in vain again and again, the sign of a service with too many callers, are followed by a longer wait.
    pub fn ended(&mut self, now: Micros, round: Round, draw: f64, end: WatchEnd) -> Micros {
        let in_time = (end.as_of + FIRST - now).max(PAUSE);
        let pause = self.pause;
        let (place, times, most) = match self.since.take() {
            Some(since) => {
                let waited = (now - since).max(0);
                self.pause = (pause * 2).min((round.within / 8).max(PAUSE));
                self.failed(end.reason, waited, draw, in_time)
            }
            // What broke under all of us at once is met like a start, where nobody stands beside another.
            None => (round.place(), 1, in_time.min(AFTER_BREAK)),
        };
        let pause = pause.min(most / 2);
        // At least the pause is spread over, where one is alone or calls take no time.
        let spread = ((pause as f64 * place) as Micros).max(self.at(round, place, times, most - pause));
        self.due = Some(now + pause + spread);
        pause + spread
    }

    /// Where in how many rounds the call after a failed one comes, and the longest wait before it.
    fn failed(
        &mut self,
        reason: EndReason,
        waited: Micros,
        draw: f64,
        in_time: Micros,
    ) -> (f64, Micros, Micros) {
        // A call that waited took its place in a queue. One that failed at once cost next to nothing: the service is
        // down or turns callers away, and is asked no less often for it once it is back.
        let called = !matches!(reason, EndReason::Unreachable | EndReason::Local);
        let queued = called && waited >= AT_ONCE;
        self.waited = if queued { self.waited + 1 } else { 0 };
        if queued {
            self.call = (2 * self.call).clamp(LEAST, MOST);
        }
        if self.waited <= PROMPT_RETRIES {
            // Those that failed together come again at other places, beside others; who waited leaves half of the time
            // out, so that few retries last through an outage.
            let place = if queued { PROMPT.start + draw * (PROMPT.end - PROMPT.start) } else { draw };
            return (place, AFTER_FAILURE / 2, in_time);
        }
        // Most of a round is left out: drawn from all of it, the next call would come after half a round on average,
        // and the service be called twice as often as the round says.
        (AGAIN.start + draw * (AGAIN.end - AGAIN.start), AFTER_FAILURE, Micros::MAX)
    }

    fn at(&mut self, round: Round, place: f64, times: Micros, most: Micros) -> Micros {
        self.ahead = place * f64::from(round.all);
        (round.length(self.call, times).min(most) as f64 * place) as Micros
    }
}
