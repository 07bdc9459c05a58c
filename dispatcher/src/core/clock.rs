//! The clock of the process: microseconds since the Unix epoch. The system time is read once; from then on the
//! monotonic clock advances it.

use roselock::Micros;
use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static START: OnceLock<(Instant, Micros)> = OnceLock::new();

/// The current time. It never goes backwards.
pub fn now() -> Micros {
    let (start, epoch) = START.get_or_init(|| {
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        (Instant::now(), epoch.as_micros() as Micros)
    });
    epoch + start.elapsed().as_micros() as Micros
}

/// The time until a deadline; zero if it has passed.
pub fn time_until(deadline: Micros) -> Duration {
    Duration::from_micros((deadline - now()).max(0) as u64)
}
