//! Guards against refactorings that change the behaviour of the poll schedule, the list lease or the dial limiter: makes random
//! calls through the public interface, hashes the results, and compares the hash with the expected one.

use oorandom::Rand32;
use roselock_dial_limiter::{DialLimiter, DialLimits, rejected_recently};
use roselock_discovery_client::lease::ListLease;
use roselock_discovery_client::poll_schedule::{
    Micros, PollParameters, PollSchedule, WatchEnd, WatchEndReason,
};
use rstest::rstest;
use sha2::{Digest, Sha256};

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Number of calls in one trace.
const CALLS_PER_TRACE: usize = 20_000;

/// Draws random calls and hashes their results.
struct TraceRecorder {
    random: Rand32,
    hasher: Sha256,
    now: Micros,
}

impl TraceRecorder {
    fn new(seed: u64) -> TraceRecorder {
        TraceRecorder { random: Rand32::new(seed), hasher: Sha256::new(), now: SECOND }
    }

    fn draw(&mut self, end: u32) -> u32 {
        self.random.rand_range(0..end)
    }

    fn draw_duration(&mut self, max: Micros) -> Micros {
        Micros::from(self.draw(max as u32))
    }

    fn advance_time(&mut self) {
        self.now += match self.draw(8) {
            0 => self.draw_duration(20 * SECOND),
            1..=3 => self.draw_duration(SECOND),
            _ => self.draw_duration(50 * MILLISECOND),
        };
    }

    fn record(&mut self, result: Micros) {
        self.hasher.update(result.to_le_bytes());
    }

    fn draw_watch_end(&mut self) -> WatchEnd {
        let reasons = [
            WatchEndReason::Refused,
            WatchEndReason::Unreachable,
            WatchEndReason::LocalFailure,
            WatchEndReason::TimedOut,
        ];
        WatchEnd {
            reason: reasons[self.draw(4) as usize],
            in_sync_until: self.now - self.draw_duration(5 * SECOND),
        }
    }

    fn into_hex_digest(self) -> String {
        self.hasher.finalize().iter().map(|byte| format!("{byte:02x}")).collect()
    }
}

#[rstest]
#[case(1, 1, "995a465a4a6860b0d330fa181939afa2b837d48c13db9c300375137cdc856427")]
#[case(2, 30, "039342f8af776d86f7fb6e204ec2a5214afa7e784986437ec9e1072815d043c6")]
#[case(3, 300, "07a78a914b5a6491888a1a89c25f0bda85e24f20f5a6e5d7cb5ca38974372bd5")]
#[case(4, 900, "ef81becbdb3671ffb65d0cc352f00362b9414a90b717e76cef16b8d8b5a130c4")]
fn a_poll_schedule_returns_the_same_delays(
    #[case] seed: u64,
    #[case] instance_count: u32,
    #[case] expected_hash: &str,
) {
    let mut recorder = TraceRecorder::new(seed);
    let mut schedule = PollSchedule::new(SECOND / 12);
    let parameters =
        PollParameters { instance_count, instance_index: instance_count / 3, poll_interval: 10 * SECOND };
    for call in 0..CALLS_PER_TRACE {
        recorder.advance_time();
        let now = recorder.now;
        // During an outage, many consecutive calls fail.
        let is_outage = call / 100 % 2 == 1;
        let drawn = recorder.draw(12);
        match if is_outage && drawn < 9 { 2 } else { drawn } {
            0 => {
                let delay = schedule.first_delay(parameters);
                recorder.record(delay);
            }
            1 => {
                let delay = schedule.delay_after_move(parameters);
                recorder.record(delay);
            }
            2..=5 => recorder.record(Micros::from(schedule.begin_poll(now))),
            6..=8 => recorder.record(Micros::from(schedule.record_answer(now))),
            _ => {
                let (random, end) = (f64::from(recorder.draw(1000)) / 1000.0, recorder.draw_watch_end());
                let delay = schedule.delay_after_watch_end(now, parameters, random, end);
                recorder.record(delay);
            }
        }
        recorder.record(schedule.call_time());
    }
    assert_eq!(
        recorder.into_hex_digest(),
        expected_hash,
        "seed {seed}, {instance_count} dispatchers: the schedule has changed"
    );
}

#[rstest]
#[case(5, ListLease::unlimited(), "40b33dbad3e8aa6fab74594f7157f3101b3db5933d878b3dce5ba4dfaf7772de")]
#[case(6, ListLease::unconfirmed(SECOND / 4), "366076c853008af5f32d8517a218d6c43de0591ff277a54df5fc6025e251472f")]
#[case(7, ListLease::unconfirmed(SECOND), "c5c0b0bb580eb3302605dd78d0e32a594fe25523c729dc63b986fdcf0af3c4d5")]
#[case(8, ListLease::trusted(SECOND / 2), "941f2656deb54ceee947178af083052129fae39ebcece3552d70e2c886347e31")]
fn a_lease_is_valid_at_the_same_times(
    #[case] seed: u64,
    #[case] mut lease: ListLease,
    #[case] expected_hash: &str,
) {
    let mut recorder = TraceRecorder::new(seed);
    for _ in 0..CALLS_PER_TRACE {
        recorder.advance_time();
        let now = recorder.now;
        match recorder.draw(12) {
            0..=2 => lease.renew(),
            3 => lease.discovery_moved(now),
            4 => lease.set_connect_timeout(recorder.draw_duration(3 * SECOND)),
            5..=8 => {
                let (end, delay) = (recorder.draw_watch_end(), recorder.draw_duration(8 * SECOND));
                lease.watch_ended(end, now + delay);
            }
            _ => {}
        }
        for offset in [0, SECOND, 3 * SECOND, 6 * SECOND] {
            recorder.record(Micros::from(lease.is_valid(now + offset)));
        }
        recorder.record(lease.in_sync_at(now));
    }
    assert_eq!(recorder.into_hex_digest(), expected_hash, "seed {seed}: the lease has changed");
}

#[rstest]
#[case(9, None, "04aaa31e18e136fa8613dcc54a1dec7fe05ce85d69386884cb1e2a709966dc0d")]
#[case(10, Some(0.1), "6c4a8afb64eee0e0277c4579bc7cbeb72033f280e7d8c1109008ff8e31992291")]
#[case(11, Some(200.0), "dff7513687d764c727df7151701025b3d2b1695591a8bb991259948d63ef298c")]
fn a_dial_limiter_allows_the_same_dials(
    #[case] seed: u64,
    #[case] dials_per_s: Option<f64>,
    #[case] expected_hash: &str,
) {
    let mut recorder = TraceRecorder::new(seed);
    let (limits, mut limiter) = (DialLimits::share_of(dials_per_s, 30), DialLimiter::new(recorder.now));
    let mut rejected_at = None;
    for _ in 0..CALLS_PER_TRACE {
        recorder.advance_time();
        let now = recorder.now;
        match recorder.draw(6) {
            0 | 1 => limiter.record_dial(limits, now),
            2 => limiter.record_accepted(),
            3 => {
                let jitter = f64::from(recorder.draw(1000)) / 1000.0;
                limiter.record_rejected(now, jitter);
                rejected_at = Some(now);
            }
            _ => {}
        }
        recorder.record(limiter.next_dial_at(limits, now));
        recorder.record(Micros::from(rejected_recently(rejected_at, now)));
    }
    assert_eq!(recorder.into_hex_digest(), expected_hash, "seed {seed}: the limiter has changed");
}
