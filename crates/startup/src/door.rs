//! The door of a worker, as one dispatcher sees it: when the next connection may be opened there.
//!
//! Connections at workers are scarce, and hundreds of dispatchers dial them without a word to one another. A token bucket
//! (J. Turner: *New Directions in Communications (or Which Way to the Information Age?)*, 1986) bounds a dispatcher's part
//! of the new connections a second. A worker that closes a new connection before its first byte is full: the next dial
//! waits for a pause that doubles with each such close and is drawn from its upper half, as in the binary exponential
//! backoff of Ethernet (R. Metcalfe, D. Boggs, 1976); one that is let in halves it.

use crate::pace::Micros;

const SECOND: Micros = 1_000_000;
/// A connection that is closed so soon after it came up, without a byte, was turned away.
pub const AT_THE_DOOR: Micros = SECOND / 20;
/// Least and longest pause after one was turned away.
const PAUSE: [Micros; 2] = [SECOND / 20, 2 * SECOND];
/// A dispatcher that is turned away is wary of new connections there for so long.
const WARY: Micros = 10 * SECOND;
/// Least part of a dispatcher, in connections a second, so that nobody starves.
const LEAST: f64 = 0.5;
/// A kept connection that was not used for so long is one more than are in use at once of late, where the one that fell
/// idle last is used first: all but one of those may go.
pub const UNUSED: Micros = 5 * SECOND;

/// What an installation allows.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Terms {
    /// New connections a second that this dispatcher may open at one worker; none, and there is no bound.
    per_s: Option<f64>,
}

impl Terms {
    /// This dispatcher's part of so many new connections a second at one worker, of `all` dispatchers: at least one
    /// every 2 s.
    pub fn part_of(per_s: Option<f64>, all: u32) -> Terms {
        Terms { per_s: per_s.map(|n| (n / f64::from(all.max(1))).max(LEAST)) }
    }
}

/// Whether new connections were closed at a door of late, at whichever worker: where one table is full, others are, too.
/// Then what must not run twice goes on a connection that was let in.
pub fn wary(latest: Option<Micros>, now: Micros) -> bool {
    latest.is_some_and(|at| now - at < WARY)
}

/// One worker's door.
#[derive(Clone, Debug)]
pub struct Door {
    /// Dials that may be made at once, as of when.
    tokens: f64,
    at: Micros,
    /// The pause after the latest close, and until when the door is shut.
    pause: Micros,
    shut: Micros,
}

impl Door {
    /// One that nothing is known of.
    pub fn new(now: Micros) -> Door {
        Door { tokens: 1.0, at: now, pause: 0, shut: now }
    }

    fn filled(&self, terms: Terms, now: Micros) -> f64 {
        let Some(per_s) = terms.per_s else { return f64::INFINITY };
        let more = per_s * (now - self.at).max(0) as f64 / SECOND as f64;
        (self.tokens + more).min(per_s.max(1.0))
    }

    /// When the next connection may be opened; not after `now`, and it may be at once.
    pub fn opens(&self, terms: Terms, now: Micros) -> Micros {
        let missing = 1.0 - self.filled(terms, now);
        let token = match terms.per_s {
            // A microsecond more, or rounding would bring it back just before.
            Some(per_s) if missing > 0.0 => now + (missing / per_s * SECOND as f64) as Micros + 1,
            _ => now,
        };
        token.max(self.shut)
    }

    /// A connection is dialled.
    pub fn dialled(&mut self, terms: Terms, now: Micros) {
        let filled = self.filled(terms, now);
        (self.tokens, self.at) = (if filled.is_finite() { filled - 1.0 } else { 1.0 }, now);
    }

    /// A new connection had a word from the worker.
    pub fn let_in(&mut self) {
        self.pause /= 2;
    }

    /// A new connection was closed at the door. `draw` is drawn anew, even in 0..1.
    pub fn turned_away(&mut self, now: Micros, draw: f64) {
        self.pause = (self.pause * 2).clamp(PAUSE[0], PAUSE[1]);
        self.shut = now + (self.pause as f64 * (0.5 + draw / 2.0)) as Micros;
    }
}
