//! Plays dispatchers that start in the same second against a list service that serves one call after another, in
//! simulated time, and prints a table: `cargo run --release -p roselock-discovery-client --example pace`.

use oorandom::Rand64;
use roselock_discovery_client::poll_schedule::{
    Micros, PollParameters, PollSchedule, WatchEnd, WatchEndReason,
};
use std::collections::BTreeSet;

const SECOND: Micros = 1_000_000;
/// A run ends after so long.
const END: Micros = 200 * SECOND;

/// What one run showed: calls, of them failed, the longest queue, times until a list, sorted.
struct Shown {
    calls: usize,
    failed: usize,
    queue: usize,
    lists: Vec<Micros>,
}

/// The service refused a call, or ended a watch, at that time.
fn refused(as_of: Micros) -> WatchEnd {
    WatchEnd { reason: WatchEndReason::Refused, in_sync_until: as_of }
}

/// A service that answers a call after `call`, and turns away who waited over `wait`; `late` serves it all the same.
fn play(all: u32, call: Micros, wait: Micros, late: bool, guess: Micros, rounds: usize, seed: u128) -> Shown {
    let mut draw = Rand64::new(seed);
    let mut paces: Vec<PollSchedule> = (0..all).map(|_| PollSchedule::new(guess)).collect();
    let round = |me: usize| PollParameters {
        instance_count: all,
        instance_index: me as u32,
        poll_interval: 10 * SECOND,
    };
    let mut due: BTreeSet<(Micros, u8, usize)> = BTreeSet::new();
    let mut shown = Shown { calls: 0, failed: 0, queue: 0, lists: Vec::new() };
    for n in 0..rounds {
        // The last round counts: in those before, the service restarted and every watch broke.
        let last = n + 1 == rounds;
        shown = Shown { calls: 0, failed: 0, queue: 0, lists: Vec::new() };
        let start = n as Micros * 1000 * SECOND;
        for (me, pace) in paces.iter_mut().enumerate() {
            let after = if n == 0 {
                pace.first_delay(round(me))
            } else {
                pace.delay_after_end(start, round(me), 0.0, refused(start))
            };
            due.insert((start + after, 1, me));
        }
        let (mut free, mut queue) = (start, BTreeSet::new());
        // Who has no list after so long counts with that time.
        while let Some((now, kind, me)) = due.pop_first().filter(|e| e.0 < start + END) {
            let pace = &mut paces[me];
            match kind {
                1 => {
                    pace.begin_poll(now);
                    shown.calls += 1;
                    let begins = free.max(now);
                    let fails = begins > now + wait;
                    if !fails || late {
                        free = begins + call;
                    }
                    let ends = if fails { now + wait } else { begins + call };
                    queue.retain(|e: &(Micros, usize)| e.0 > now);
                    queue.insert((ends, me));
                    shown.queue = shown.queue.max(queue.len());
                    due.insert((ends, if fails { 0 } else { 2 }, me));
                }
                0 => {
                    shown.failed += 1;
                    let after = pace.delay_after_end(now, round(me), draw.rand_float(), refused(now));
                    due.insert((now + after, 1, me));
                }
                _ => {
                    pace.record_answer(now);
                    shown.lists.push(now - start);
                }
            }
        }
        due.clear();
        shown.lists.resize(all as usize, END);
        shown.lists.sort_unstable();
        if last {
            break;
        }
    }
    shown
}

fn main() {
    println!(
        "| all | call ms | late calls are served | guess ms | | calls | failed | queue | mean s | p50 s | p99 s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    for all in [50, 150, 300] {
        for call in [5, 20, 80, 200] {
            for late in [false, true] {
                for guess in [10, 20, 40, 83] {
                    for rounds in [1, 2] {
                        let runs: Vec<Shown> = (1..=3)
                            .map(|s| play(all, call * 1000, 2 * SECOND, late, guess * 1000, rounds, s))
                            .collect();
                        let mean = |f: &dyn Fn(&Shown) -> f64| runs.iter().map(f).sum::<f64>() / 3.0;
                        let at = |share: f64| {
                            mean(&|s: &Shown| {
                                s.lists[((s.lists.len() - 1) as f64 * share) as usize] as f64 / 1e6
                            })
                        };
                        println!(
                            "| {all} | {call} | {late} | {guess} | {} | {:.0} | {:.0} | {:.0} | {:.1} | {:.1} | {:.1} |",
                            if rounds == 1 { "start" } else { "all watches broke" },
                            mean(&|s| s.calls as f64),
                            mean(&|s| s.failed as f64),
                            mean(&|s| s.queue as f64),
                            mean(&|s| s.lists.iter().map(|l| *l as f64 / 1e6).sum::<f64>()
                                / s.lists.len() as f64),
                            at(0.5),
                            at(0.99)
                        );
                    }
                }
            }
        }
    }
}
