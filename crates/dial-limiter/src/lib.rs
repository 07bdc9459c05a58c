//! The dial limiter of one worker, in one dispatcher: when the next connection to that worker may be opened.
//!
//! Connections at workers are scarce, and hundreds of dispatchers dial them without coordination. A token bucket
//! (J. Turner: *New Directions in Communications (or Which Way to the Information Age?)*, 1986) bounds a dispatcher's
//! share of the new connections a second. A worker that closes a new connection before its first byte has rejected it,
//! as its connections are all in use: the next dial waits for a backoff that doubles with each rejection and has jitter
//! over its upper half, as in the binary exponential backoff of Ethernet (R. Metcalfe, D. Boggs, 1976); an accepted
//! connection halves it.

/// A point in time or a span, in microseconds.
pub type Micros = i64;

const SECOND: Micros = 1_000_000;
/// A connection that is closed so soon after it came up, without a byte, was rejected.
pub const IMMEDIATE_CLOSE: Micros = SECOND / 20;
/// Shortest and longest backoff after a rejection.
const BACKOFF: [Micros; 2] = [SECOND / 20, 2 * SECOND];
/// For so long after a rejection, what must not run twice goes only on connections that were accepted.
const CAUTIOUS_FOR: Micros = 10 * SECOND;
/// Smallest share of a dispatcher, in connections a second, so that none starves.
const MIN_RATE: f64 = 0.5;
/// A kept connection that was not used for so long is surplus where connections are scarce: it is closed, or those who dialled
/// first would keep all others out for as long as they have work now and then.
pub const SURPLUS_AFTER: Micros = SECOND;

/// What an installation allows of new connections to one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DialLimits {
    /// New connections a second that this dispatcher may open; none: unlimited.
    per_s: Option<f64>,
}

impl DialLimits {
    /// The share of one of `all` dispatchers in so many new connections a second at one worker: at least one every 2 s.
    pub fn share_of(per_s: Option<f64>, all: u32) -> DialLimits {
        DialLimits { per_s: per_s.map(|n| (n / f64::from(all.max(1))).max(MIN_RATE)) }
    }
}

/// Whether new connections were rejected recently, by whichever worker: where one has no connections to spare, others
/// have none either. Then what must not run twice goes on a connection that was accepted.
pub fn rejected_recently(latest: Option<Micros>, now: Micros) -> bool {
    latest.is_some_and(|at| now - at < CAUTIOUS_FOR)
}

/// The dial limiter of one worker.
#[derive(Clone, Debug)]
pub struct DialLimiter {
    /// Tokens in the bucket, each for one dial, as of `filled_at`.
    tokens: f64,
    filled_at: Micros,
    /// The present backoff, and until when it lasts.
    backoff: Micros,
    backoff_until: Micros,
}

impl DialLimiter {
    /// For a worker of which nothing is known.
    pub fn new(now: Micros) -> DialLimiter {
        DialLimiter { tokens: 1.0, filled_at: now, backoff: 0, backoff_until: now }
    }

    /// Tokens in the bucket now.
    fn tokens_at(&self, limits: DialLimits, now: Micros) -> f64 {
        let Some(per_s) = limits.per_s else { return f64::INFINITY };
        let more = per_s * (now - self.filled_at).max(0) as f64 / SECOND as f64;
        (self.tokens + more).min(per_s.max(1.0))
    }

    /// When the next connection may be dialled; at once if that is not after `now`.
    pub fn next_dial_at(&self, limits: DialLimits, now: Micros) -> Micros {
        let missing = 1.0 - self.tokens_at(limits, now);
        let token = match limits.per_s {
            // A microsecond more, or rounding would bring the caller back just before.
            Some(per_s) if missing > 0.0 => now + (missing / per_s * SECOND as f64) as Micros + 1,
            _ => now,
        };
        token.max(self.backoff_until)
    }

    /// Takes a token for a connection that is being dialled.
    pub fn record_dial(&mut self, limits: DialLimits, now: Micros) {
        let tokens = self.tokens_at(limits, now);
        (self.tokens, self.filled_at) = (if tokens.is_finite() { tokens - 1.0 } else { 1.0 }, now);
    }

    /// The worker has sent something on a new connection.
    pub fn record_accepted(&mut self) {
        self.backoff /= 2;
    }

    /// The worker has rejected a new connection. `jitter` is a new random number, uniform in 0..1.
    pub fn record_rejected(&mut self, now: Micros, jitter: f64) {
        self.backoff = (self.backoff * 2).clamp(BACKOFF[0], BACKOFF[1]);
        self.backoff_until = now + (self.backoff as f64 * (0.5 + jitter / 2.0)) as Micros;
    }
}
