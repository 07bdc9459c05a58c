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
/// Where in a round a call comes after two in a row that waited in vain.
const AGAIN: std::ops::Range<f64> = 0.5..1.2;
/// An empty line comes on a watch every 2 s: one that says nothing for so long is broken.
pub const SILENCE: Micros = SECOND * 5 / 2;
/// What the list service has known for so long counts as told, heard or not.
const TOLD: Micros = 6 * SECOND;
/// How long a call takes to be answered, with its connection, in a service that does its work.
const ANSWER: Micros = SECOND;
/// The longest waits that leave time to be told: before the first call, and before one to a service that refused the
/// last one at once or could not be reached, from the moment it is back; after a watch that fell silent; and after a
/// connection that never came up, for which a call waits as long as for an answer.
const FIRST: Micros = TOLD - 3 * ANSWER / 2;
const AFTER_SILENCE: Micros = TOLD - SILENCE - 3 * ANSWER / 2;
const AFTER_NOTHING: Micros = FIRST - ANSWER;
/// So many times as long as otherwise a dispatcher may go without asking after a call that failed.
pub const AFTER_FAILURE: Micros = 4;

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
    /// The last call waited in vain.
    waited: bool,
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
            waited: false,
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
        (self.pause, self.waited) = (PAUSE, false);
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

    /// The call failed, or the watch broke: how long to wait before the next one. `draw` is drawn anew, even in 0..1;
    /// `reached` says whether there was a connection to call on.
    ///
    /// What changes while the service can be reached counts as told soon. So only a call that waited in its queue in
    /// vain, the sign of a service with too many callers, is followed by a longer wait.
    pub fn broken(&mut self, now: Micros, round: Round, draw: f64, reached: bool) -> Micros {
        let (pause, failed) = (self.pause, self.since.take());
        let (mut times, mut most) = (1, AFTER_SILENCE);
        let place = match failed {
            Some(since) => {
                let waited = (now - since).max(0);
                // A call that waited took its place in a queue. One that failed at once cost next to nothing: the
                // service is down or turns callers away, and is asked no less often for it once it is back.
                let queued = reached && waited >= AT_ONCE;
                most = match (queued, reached) {
                    (true, _) => Micros::MAX,
                    (false, true) => FIRST,
                    (false, false) => AFTER_NOTHING,
                };
                if queued {
                    self.call = (2 * self.call).clamp(LEAST, MOST);
                }
                self.pause = (pause * 2).min((round.within / 8).max(PAUSE));
                // Those that failed together come again at other places, beside others. Whose second call in a row
                // waited in vain leaves most of a round out: drawn from all of it, the next one would come after half
                // a round on average, and the service be called twice as often as the round says.
                // The first time in a round half as long as what binds: most services cost nothing for a call that they
                // turned away, and a dispatcher without a list serves nobody.
                times = AFTER_FAILURE / 2;
                if std::mem::replace(&mut self.waited, queued) && self.waited {
                    times = AFTER_FAILURE;
                    AGAIN.start + draw * (AGAIN.end - AGAIN.start)
                } else {
                    draw
                }
            }
            // What broke under all of us at once is met like a start, where nobody stands beside another.
            None => round.place(),
        };
        // At least the pause is spread over, where one is alone or calls take no time.
        let spread = ((pause as f64 * place) as Micros).max(self.at(round, place, times, most - pause));
        self.due = Some(now + pause + spread);
        pause + spread
    }

    fn at(&mut self, round: Round, place: f64, times: Micros, most: Micros) -> Micros {
        self.ahead = place * f64::from(round.all);
        (round.length(self.call, times).min(most) as f64 * place) as Micros
    }
}
