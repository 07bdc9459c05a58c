//! The dial limiter of one worker, in one dispatcher: when the next connection to that worker may be opened.
//!
//! Connections at workers are scarce, and hundreds of dispatchers dial them without coordination. A token bucket
//! (J. Turner: *New Directions in Communications (or Which Way to the Information Age?)*, 1986) bounds a dispatcher's
//! share of the new connections a second. A worker that closes a new connection before its first byte has rejected it,
//! as its connections are all in use: the next dial waits for a backoff that doubles with each rejection and has jitter
//! over its upper half, as in the binary exponential backoff of Ethernet (R. Metcalfe, D. Boggs, 1976); an accepted
//! connection halves it.
//!
//! The crate has no I/O, clock or randomness: times and drawn numbers are arguments.

/// A point in time or a duration, in microseconds.
pub type Micros = i64;

const SECOND: Micros = 1_000_000;
/// A new connection that is closed within this time, in microseconds, without a byte, was rejected.
pub const IMMEDIATE_CLOSE: Micros = SECOND / 20;
/// Shortest backoff after a rejection, in microseconds.
const MIN_BACKOFF: Micros = SECOND / 20;
/// Longest backoff after a rejection, in microseconds.
const MAX_BACKOFF: Micros = 2 * SECOND;
/// For this long after a rejection, in microseconds, non-idempotent requests go only on connections that were accepted.
const CAUTION_AFTER_REJECTION: Micros = 10 * SECOND;
/// Smallest share of a dispatcher, in connections a second, so that none starves.
const MIN_RATE: f64 = 0.5;
/// A cached connection that was idle for this long, in microseconds, is closed where connections are scarce. Otherwise the
/// dispatchers that dialled first would keep all others out for as long as they have occasional work.
pub const SURPLUS_AFTER: Micros = SECOND;

/// Limits of the new connections to one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DialLimits {
    /// New connections a second that this dispatcher may open; `None`: unlimited.
    per_s: Option<f64>,
}

impl DialLimits {
    /// The equal share of one of `dispatchers` in this many new connections a second at one worker: at least one every 2 s.
    #[must_use]
    pub fn share_of(total_per_s: Option<f64>, dispatchers: u32) -> DialLimits {
        let share = |total: f64| (total / f64::from(dispatchers.max(1))).max(MIN_RATE);
        DialLimits { per_s: total_per_s.map(share) }
    }
}

/// Whether the latest rejection of a new connection, by any worker, is recent. Where one worker has no connections to spare,
/// others have none either, so non-idempotent requests go on connections that were accepted.
#[must_use]
pub fn rejected_recently(latest: Option<Micros>, now: Micros) -> bool {
    latest.is_some_and(|at| now - at < CAUTION_AFTER_REJECTION)
}

/// The dial limiter of one worker.
#[derive(Clone, Debug)]
pub struct DialLimiter {
    /// Tokens in the bucket at `filled_at`; each dial takes one.
    tokens: f64,
    filled_at: Micros,
    /// The present backoff, in microseconds.
    backoff: Micros,
    /// When it ends.
    backoff_until: Micros,
}

impl DialLimiter {
    /// The limiter of a worker of which nothing is known.
    #[must_use]
    pub fn new(now: Micros) -> DialLimiter {
        DialLimiter { tokens: 1.0, filled_at: now, backoff: 0, backoff_until: now }
    }

    /// Tokens in the bucket at `now`.
    fn tokens_at(&self, limits: DialLimits, now: Micros) -> f64 {
        let Some(per_s) = limits.per_s else { return f64::INFINITY };
        let added = per_s * (now - self.filled_at).max(0) as f64 / SECOND as f64;
        (self.tokens + added).min(per_s.max(1.0))
    }

    /// When the next connection may be dialled; at once if that is not after `now`.
    #[must_use]
    pub fn next_dial_at(&self, limits: DialLimits, now: Micros) -> Micros {
        let missing = 1.0 - self.tokens_at(limits, now);
        let token_at = match limits.per_s {
            // A microsecond more, as rounding would bring the caller back just before the token is there.
            Some(per_s) if missing > 0.0 => now + (missing / per_s * SECOND as f64) as Micros + 1,
            _ => now,
        };
        token_at.max(self.backoff_until)
    }

    /// Takes a token for a connection that is being dialled.
    pub fn record_dial(&mut self, limits: DialLimits, now: Micros) {
        let tokens = self.tokens_at(limits, now);
        self.tokens = if tokens.is_finite() { tokens - 1.0 } else { 1.0 };
        self.filled_at = now;
    }

    /// Records that the worker has sent something on a new connection.
    pub fn record_accepted(&mut self) {
        self.backoff /= 2;
    }

    /// Records that the worker has rejected a new connection. `jitter` is a new random number, uniform in 0..1.
    pub fn record_rejected(&mut self, now: Micros, jitter: f64) {
        self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        self.backoff_until = now + (self.backoff as f64 * (0.5 + jitter / 2.0)) as Micros;
    }
}
