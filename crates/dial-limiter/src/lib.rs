//! The dial limiter determines when a dispatcher may open the next connection to a worker. Each dispatcher has one limiter per
//! worker.
//!
//! Connections at workers are scarce, and hundreds of dispatchers dial them without coordination. A token bucket
//! (J. Turner: *New Directions in Communications (or Which Way to the Information Age?)*, 1986) limits each dispatcher to its
//! share of the new connections per second. A worker that closes a new connection before its first byte has rejected it, as
//! its connections are all in use. The next dial then waits for a backoff that doubles with each rejection and has jitter
//! over its upper half, like the binary exponential backoff of Ethernet (R. Metcalfe, D. Boggs, 1976). Each accepted
//! connection halves the backoff.
//!
//! The crate has no I/O, clock or random number generator: times and random numbers are arguments.

/// A point in time or a duration, in microseconds.
pub type Micros = i64;

const SECOND: Micros = 1_000_000;
/// A new connection that is closed within this time, in microseconds, before its first byte, was rejected.
pub const IMMEDIATE_CLOSE: Micros = SECOND / 20;
/// Shortest backoff after a rejection, in microseconds.
const MIN_BACKOFF: Micros = SECOND / 20;
/// Longest backoff after a rejection, in microseconds.
const MAX_BACKOFF: Micros = 2 * SECOND;
/// For this long after a rejection, in microseconds, non-idempotent requests use only connections that were accepted.
const RECENT_REJECTION_WINDOW: Micros = 10 * SECOND;
/// Smallest share of a dispatcher, in new connections per second, so that none starves.
const MIN_DIALS_PER_S: f64 = 0.5;
/// Idle timeout of a cached connection where connections are scarce, in microseconds. With a longer one, the dispatchers that
/// dialled first would lock out all others for as long as they have occasional work.
pub const SCARCE_IDLE_TIMEOUT: Micros = SECOND;

/// Limits on the new connections to one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DialLimits {
    /// New connections per second that this dispatcher may open; `None`: unlimited.
    dials_per_s: Option<f64>,
}

impl DialLimits {
    /// One dispatcher's equal share of the new connections per second at one worker, but at least one every 2 s.
    #[must_use]
    pub fn share_of(total_per_s: Option<f64>, dispatchers: u32) -> DialLimits {
        let share = |total: f64| (total / f64::from(dispatchers.max(1))).max(MIN_DIALS_PER_S);
        DialLimits { dials_per_s: total_per_s.map(share) }
    }
}

/// Whether the latest rejection of a new connection, by any worker, is recent. If one worker has no free connections, others
/// have none either, so non-idempotent requests use connections that were accepted.
#[must_use]
pub fn rejected_recently(latest: Option<Micros>, now: Micros) -> bool {
    latest.is_some_and(|at| now - at < RECENT_REJECTION_WINDOW)
}

/// The dial limiter of one worker.
#[derive(Clone, Debug)]
pub struct DialLimiter {
    /// Tokens in the bucket at `refilled_at`; each dial takes one.
    tokens: f64,
    refilled_at: Micros,
    /// The current backoff, in microseconds.
    backoff: Micros,
    /// When the current backoff ends.
    backoff_until: Micros,
}

impl DialLimiter {
    /// A limiter without history, with one token.
    #[must_use]
    pub fn new(now: Micros) -> DialLimiter {
        DialLimiter { tokens: 1.0, refilled_at: now, backoff: 0, backoff_until: now }
    }

    /// Tokens in the bucket at `now`.
    fn tokens_at(&self, limits: DialLimits, now: Micros) -> f64 {
        let Some(dials_per_s) = limits.dials_per_s else { return f64::INFINITY };
        let added = dials_per_s * (now - self.refilled_at).max(0) as f64 / SECOND as f64;
        (self.tokens + added).min(dials_per_s.max(1.0))
    }

    /// When the next connection may be dialled; immediately if the result is not after `now`.
    #[must_use]
    pub fn next_dial_at(&self, limits: DialLimits, now: Micros) -> Micros {
        let missing = 1.0 - self.tokens_at(limits, now);
        let token_at = match limits.dials_per_s {
            // Adds a microsecond, as otherwise rounding would make the caller retry just before the token is available.
            Some(dials_per_s) if missing > 0.0 => now + (missing / dials_per_s * SECOND as f64) as Micros + 1,
            _ => now,
        };
        token_at.max(self.backoff_until)
    }

    /// Takes a token for a connection that is being dialled.
    pub fn record_dial(&mut self, limits: DialLimits, now: Micros) {
        let tokens = self.tokens_at(limits, now);
        self.tokens = if tokens.is_finite() { tokens - 1.0 } else { 1.0 };
        self.refilled_at = now;
    }

    /// Records that the worker has accepted a new connection: it sent at least one byte.
    pub fn record_accepted(&mut self) {
        self.backoff /= 2;
    }

    /// Records that the worker has rejected a new connection. `jitter` is a new random number, uniform in 0..1.
    pub fn record_rejected(&mut self, now: Micros, jitter: f64) {
        self.backoff = (self.backoff * 2).clamp(MIN_BACKOFF, MAX_BACKOFF);
        self.backoff_until = now + (self.backoff as f64 * (0.5 + jitter / 2.0)) as Micros;
    }
}
