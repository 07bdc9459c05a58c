//! The one clock: microseconds since the Unix epoch, read once and carried on monotonically.

use roselock::Micros;
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static START: OnceLock<(Instant, Micros)> = OnceLock::new();

/// Now. It never runs back.
pub fn now() -> Micros {
    let (start, epoch) = START.get_or_init(|| {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        (Instant::now(), epoch.as_micros() as Micros)
    });
    epoch + start.elapsed().as_micros() as Micros
}

/// What is left until a deadline: the one place where one becomes a span.
pub fn left(deadline: Micros) -> Duration {
    Duration::from_micros((deadline - now()).max(0) as u64)
}
