//! Throughput, bursts, isolation of a low-rate function from a flood, and a worker with Nagle's algorithm.

use crate::clients::{self, BurstResults, Results};
use crate::server::{self, Program};
use crate::workers;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// How long to wait for clients to finish.
const CLIENT_END_TIMEOUT: Duration = Duration::from_secs(20);
/// How long to wait for the end of a burst.
const BURST_TIMEOUT: Duration = Duration::from_secs(120);
/// The number of jobs of the low-rate function `trickle`, one every [`TRICKLE_INTERVAL`].
const TRICKLE_JOBS: usize = 100;
/// The interval between two jobs of `trickle`.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(50);
/// The latency objective of `trickle`.
const TRICKLE_OBJECTIVE: Duration = Duration::from_millis(260);

/// The `[gearman]` section with one function and no slow start.
const NO_SLOW_START: &str = r#"cold_s = 0.0
[[gearman.function]]
name = "f"
class = "account-view"
deadline_s = 30.0
target = "gearman"
"#;

fn sleep_seconds(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// The throughput of a server.
struct Throughput {
    jobs_per_s: f64,
    results: Results,
}

/// Measures a server with `count` workers and as many clients that keep one job in flight each.
fn measure_throughput(server: SocketAddr, count: usize, duration: Duration, seconds: f64) -> Throughput {
    workers::start(server, count, &["f"], duration);
    let stop = Arc::new(AtomicBool::new(false));
    let start = Instant::now();
    let results = clients::start_closed_loop(server, count, 1, "f", &stop);
    sleep_seconds(seconds);
    stop.store(true, Ordering::SeqCst);
    let jobs_per_s = results.completed() as f64 / start.elapsed().as_secs_f64();
    let stopped_at = Instant::now();
    while results.ended.load(Ordering::SeqCst) < count as u64 && stopped_at.elapsed() < CLIENT_END_TIMEOUT {
        sleep_seconds(0.002);
    }
    Throughput { jobs_per_s, results }
}

/// Prints throughput and latency by number of workers and job duration, compared with the relay.
pub fn rate(program: &Program, seconds: f64) {
    println!("## Throughput\n");
    println!(
        "As many clients as workers, one job in flight each, {seconds} s per measurement; p50 and p99 in ms.\n"
    );
    println!(
        "| workers | job, ms | relay, jobs/s | p50 | p99 | roselock, jobs/s | p50 | p99 | relative to relay | failed |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for ms in [0, 1, 20] {
        for count in [1, 8, 64, 256] {
            let duration = Duration::from_millis(ms);
            let relay = server::start_relay();
            let through_relay = measure_throughput(relay.at, count, duration, seconds);
            drop(relay);
            let roselock = program.start(NO_SLOW_START);
            let through_roselock = measure_throughput(roselock.at, count, duration, seconds);
            let (relayed, served) = (&through_relay.results, &through_roselock.results);
            println!(
                "| {count} | {ms} | {:.0} | {:.2} | {:.2} | {:.0} | {:.2} | {:.2} | {:.2} | {} |",
                through_relay.jobs_per_s,
                relayed.quantile_ms(0.5),
                relayed.quantile_ms(0.99),
                through_roselock.jobs_per_s,
                served.quantile_ms(0.5),
                served.quantile_ms(0.99),
                through_roselock.jobs_per_s / through_relay.jobs_per_s,
                served.failed.load(Ordering::SeqCst),
            );
        }
    }
    println!();
}

/// Prints the results of job bursts on two workers, with and without slow start.
pub fn burst(program: &Program) {
    println!("## Bursts\n");
    println!(
        "Two newly registered workers, with slow start (24 s in the example's settings) or without; jobs of 0 ms.\n"
    );
    println!("| jobs | mode | workers | created | served | failed | left | time, s |");
    println!("| ---: | --- | --- | ---: | ---: | ---: | ---: | ---: |");
    for (setting, state) in [("", "cold"), ("cold_s = 0.0\n", "warm")] {
        for (count, background) in [(200, false), (200, true), (10_000, false), (10_000, true)] {
            let file = NO_SLOW_START.replace("cold_s = 0.0\n", setting);
            let server = program.start(&file);
            workers::start(server.at, 2, &["f"], Duration::ZERO);
            let start = Instant::now();
            let BurstResults { created, served, failed } = clients::burst(server.at, count, background, "f");
            let mut left = clients::query_status(server.at).jobs;
            while left > 0 && start.elapsed() < BURST_TIMEOUT {
                sleep_seconds(0.01);
                left = clients::query_status(server.at).jobs;
            }
            let seconds = start.elapsed().as_secs_f64();
            let kind = if background { "background" } else { "foreground" };
            let served = if background { "-".to_owned() } else { served.to_string() };
            println!(
                "| {count} | {kind} | {state} | {created} | {served} | {failed} | {left} | {seconds:.2} |"
            );
        }
    }
    println!();
}

/// The `[gearman]` section with the functions `flood` and `trickle`.
fn flood_functions(queue: bool) -> String {
    let entry = |name, class| {
        format!(
            "[[gearman.function]]\nname = \"{name}\"\nclass = \"{class}\"\ndeadline_s = 30.0\n\
             target = \"gearman\"\nqueue = {queue}\n"
        )
    };
    format!("cold_s = 0.0\n{}{}", entry("flood", "account-view"), entry("trickle", "plan-payment"))
}

/// Prints how a flood of one function affects a low-rate function on workers that serve both.
pub fn flood(program: &Program) {
    println!("## Low-rate function during a flood\n");
    println!(
        "Eight workers serve both functions, jobs of 5 ms. The flood keeps 400 jobs in flight; the low-rate function \
         (trickle) submits 20 jobs per second for 5 s with an objective of 0.26 s.\n"
    );
    println!(
        "| queue | flood, jobs/s | flood failed | trickle within objective | trickle p50, ms | p99, ms |"
    );
    println!("| --- | ---: | ---: | ---: | ---: | ---: |");
    for queue in [true, false] {
        let server = program.start(&flood_functions(queue));
        workers::start(server.at, 8, &["flood", "trickle"], Duration::from_millis(5));
        let stop = Arc::new(AtomicBool::new(false));
        let flood = clients::start_closed_loop(server.at, 8, 50, "flood", &stop);
        sleep_seconds(1.0);
        let start = Instant::now();
        let before = flood.completed();
        let trickle = clients::start_constant_rate(server.at, TRICKLE_INTERVAL, TRICKLE_JOBS, "trickle");
        while trickle.ended.load(Ordering::SeqCst) < TRICKLE_JOBS as u64
            && start.elapsed() < Duration::from_secs(40)
        {
            sleep_seconds(0.01);
        }
        let rate = (flood.completed() - before) as f64 / start.elapsed().as_secs_f64();
        stop.store(true, Ordering::SeqCst);
        println!(
            "| {} | {rate:.0} | {} | {:.2} | {:.1} | {:.1} |",
            if queue { "yes" } else { "no" },
            flood.failed.load(Ordering::SeqCst),
            trickle.fraction_within(TRICKLE_OBJECTIVE),
            trickle.quantile_ms(0.5),
            trickle.quantile_ms(0.99),
        );
    }
    println!();
}

/// Prints the latency at a worker that leaves Nagle's algorithm on and writes each packet separately, with and without
/// `quick_ack`.
pub fn nagle(program: &Program) {
    println!("## Worker with Nagle's algorithm\n");
    println!(
        "Sequential jobs of 0 ms; the worker writes WORK_COMPLETE and GRAB_JOB separately, with Nagle's algorithm on.\n"
    );
    println!("| quick_ack | p50, ms | p99, ms |");
    println!("| --- | ---: | ---: |");
    for quick_ack in [false, true] {
        let server = program.start(&format!("quick_ack = {quick_ack}\n{NO_SLOW_START}"));
        workers::start_unbuffered(server.at, "f");
        let stop = Arc::new(AtomicBool::new(false));
        let results = clients::start_closed_loop(server.at, 1, 1, "f", &stop);
        sleep_seconds(3.0);
        stop.store(true, Ordering::SeqCst);
        let setting = if quick_ack { "yes" } else { "no" };
        println!("| {setting} | {:.2} | {:.2} |", results.quantile_ms(0.5), results.quantile_ms(0.99));
    }
    println!();
}
