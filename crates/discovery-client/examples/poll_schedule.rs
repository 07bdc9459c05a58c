//! Simulates dispatchers that start in the same second and call a discovery service that serves one call at a time, and
//! prints a table: `cargo run --release -p roselock-discovery-client --example poll_schedule`.

use oorandom::Rand64;
use roselock_discovery_client::poll_schedule::{
    Micros, PollParameters, PollSchedule, WatchEnd, WatchEndReason,
};
use std::collections::BTreeSet;

const SECOND: Micros = 1_000_000;
/// Duration of a run; a dispatcher without a list at the end counts with this time.
const RUN_TIME: Micros = 200 * SECOND;

/// The result of one run.
struct RunResult {
    calls: usize,
    failed_calls: usize,
    longest_queue: usize,
    /// Times until each dispatcher received a list, sorted, in microseconds.
    list_times: Vec<Micros>,
}

/// The service refused a call, or ended a watch, at `in_sync_until`.
fn refused(in_sync_until: Micros) -> WatchEnd {
    WatchEnd { reason: WatchEndReason::Refused, in_sync_until }
}

/// Simulates a service that serves a call in `service_time`; calls that would wait for longer than `max_wait` fail. With
/// `serves_late_calls`, the service spends time on these calls, too. Returns the result of the last of `starts`.
fn simulate(
    instance_count: u32,
    service_time: Micros,
    max_wait: Micros,
    serves_late_calls: bool,
    initial_estimate: Micros,
    starts: usize,
    seed: u128,
) -> RunResult {
    let mut rng = Rand64::new(seed);
    let mut schedules: Vec<PollSchedule> =
        (0..instance_count).map(|_| PollSchedule::new(initial_estimate)).collect();
    let params = |index: usize| PollParameters {
        instance_count,
        instance_index: index as u32,
        poll_interval: 10 * SECOND,
    };
    // The kinds of events: 0: a call fails, 1: a call begins, 2: a call is answered.
    let mut events: BTreeSet<(Micros, u8, usize)> = BTreeSet::new();
    let mut result = RunResult { calls: 0, failed_calls: 0, longest_queue: 0, list_times: Vec::new() };
    for start_number in 0..starts {
        // Only the last start is measured. After each of the others, the service restarts and all watches break.
        let is_last = start_number + 1 == starts;
        result = RunResult { calls: 0, failed_calls: 0, longest_queue: 0, list_times: Vec::new() };
        let start = start_number as Micros * 1000 * SECOND;
        for (index, schedule) in schedules.iter_mut().enumerate() {
            let delay = if start_number == 0 {
                schedule.first_delay(params(index))
            } else {
                schedule.delay_after_watch_end(start, params(index), 0.0, refused(start))
            };
            events.insert((start + delay, 1, index));
        }
        let (mut free_at, mut queue) = (start, BTreeSet::new());
        while let Some((now, kind, index)) = events.pop_first().filter(|event| event.0 < start + RUN_TIME) {
            let schedule = &mut schedules[index];
            match kind {
                1 => {
                    schedule.begin_poll(now);
                    result.calls += 1;
                    let service_start = free_at.max(now);
                    let fails = service_start > now + max_wait;
                    if !fails || serves_late_calls {
                        free_at = service_start + service_time;
                    }
                    let end = if fails { now + max_wait } else { service_start + service_time };
                    queue.retain(|call: &(Micros, usize)| call.0 > now);
                    queue.insert((end, index));
                    result.longest_queue = result.longest_queue.max(queue.len());
                    events.insert((end, if fails { 0 } else { 2 }, index));
                }
                0 => {
                    result.failed_calls += 1;
                    let delay =
                        schedule.delay_after_watch_end(now, params(index), rng.rand_float(), refused(now));
                    events.insert((now + delay, 1, index));
                }
                _ => {
                    schedule.record_answer(now);
                    result.list_times.push(now - start);
                }
            }
        }
        events.clear();
        result.list_times.resize(instance_count as usize, RUN_TIME);
        result.list_times.sort_unstable();
        if is_last {
            break;
        }
    }
    result
}

fn main() {
    println!(
        "| dispatchers | call ms | late calls are served | estimate ms | | calls | failed | queue | mean s | p50 s | p99 s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for dispatchers in [50, 150, 300] {
        for call_ms in [5, 20, 80, 200] {
            for serves_late in [false, true] {
                for estimate_ms in [10, 20, 40, 83] {
                    for starts in [1, 2] {
                        let runs: Vec<RunResult> = (1..=3)
                            .map(|seed| {
                                simulate(
                                    dispatchers,
                                    call_ms * 1000,
                                    2 * SECOND,
                                    serves_late,
                                    estimate_ms * 1000,
                                    starts,
                                    seed,
                                )
                            })
                            .collect();
                        let mean =
                            |value: &dyn Fn(&RunResult) -> f64| runs.iter().map(value).sum::<f64>() / 3.0;
                        let quantile = |fraction: f64| {
                            mean(&|run: &RunResult| {
                                run.list_times[((run.list_times.len() - 1) as f64 * fraction) as usize] as f64
                                    / 1e6
                            })
                        };
                        println!(
                            "| {dispatchers} | {call_ms} | {serves_late} | {estimate_ms} | {} | {:.0} | {:.0} | {:.0} | {:.1} | {:.1} | {:.1} |",
                            if starts == 1 { "start" } else { "all watches broke" },
                            mean(&|run| run.calls as f64),
                            mean(&|run| run.failed_calls as f64),
                            mean(&|run| run.longest_queue as f64),
                            mean(&|run| run.list_times.iter().map(|time| *time as f64 / 1e6).sum::<f64>()
                                / run.list_times.len() as f64),
                            quantile(0.5),
                            quantile(0.99)
                        );
                    }
                }
            }
        }
    }
}
