//! Throughput, bursts, a flood beside a trickle, and a worker with Nagle's algorithm.

use crate::clients::{self, BurstResults, Results};
use crate::server::{self, Program};
use crate::workers;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// The longest wait for clients to finish.
const END_TIMEOUT: Duration = Duration::from_secs(20);
/// The longest wait for the end of a burst.
const BURST_TIMEOUT: Duration = Duration::from_secs(120);
/// Jobs of the trickle beside a flood, one every [`TRICKLE_INTERVAL`].
const TRICKLE_JOBS: usize = 100;
/// The interval between two jobs of the trickle.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(50);
/// The latency objective of the trickle.
const TRICKLE_OBJECTIVE: Duration = Duration::from_millis(260);

/// One function without slow start, as TOML.
const WARM: &str = r#"cold_s = 0.0
[[gearman.function]]
name = "f"
class = "account-view"
deadline_s = 30.0
target = "gearman"
"#;

fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// The throughput of a server.
struct Throughput {
    jobs_per_s: f64,
    results: Results,
}

/// Measures a server with `count` workers and as many clients with one open job each.
fn measure(server: SocketAddr, count: usize, duration: Duration, seconds: f64) -> Throughput {
    workers::start(server, count, &["f"], duration);
    let stop = Arc::new(AtomicBool::new(false));
    let start = Instant::now();
    let results = clients::start(server, count, 1, "f", &stop);
    sleep(seconds);
    stop.store(true, Ordering::SeqCst);
    let jobs_per_s = results.served() as f64 / start.elapsed().as_secs_f64();
    let stopped = Instant::now();
    while results.ended.load(Ordering::SeqCst) < count as u64 && stopped.elapsed() < END_TIMEOUT {
        sleep(0.002);
    }
    Throughput { jobs_per_s, results }
}

/// Throughput and latency by the number of workers and the duration of jobs, beside the relay.
pub fn rate(program: &Program, seconds: f64) {
    println!("## Jobs a second\n");
    println!("As many clients as workers, one job open each, {seconds} s a cell; p50 and p99 in ms.\n");
    println!(
        "| workers | job, ms | relay, jobs/s | p50 | p99 | roselock, jobs/s | p50 | p99 | of the relay | failed |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for ms in [0, 1, 20] {
        for count in [1, 8, 64, 256] {
            let duration = Duration::from_millis(ms);
            let relay = server::relay();
            let through_relay = measure(relay.at, count, duration, seconds);
            drop(relay);
            let roselock = program.start(WARM);
            let through_roselock = measure(roselock.at, count, duration, seconds);
            let (relayed, served) = (&through_relay.results, &through_roselock.results);
            println!(
                "| {count} | {ms} | {:.0} | {:.2} | {:.2} | {:.0} | {:.2} | {:.2} | {:.2} | {} |",
                through_relay.jobs_per_s,
                relayed.ms(0.5),
                relayed.ms(0.99),
                through_roselock.jobs_per_s,
                served.ms(0.5),
                served.ms(0.99),
                through_roselock.jobs_per_s / through_relay.jobs_per_s,
                served.failed.load(Ordering::SeqCst),
            );
        }
    }
    println!();
}

/// Bursts of jobs at two workers, with and without slow start.
pub fn burst(program: &Program) {
    println!("## Many at once\n");
    println!(
        "Two workers that have just registered (24 s cold by the example's settings, or warm), jobs of 0 ms.\n"
    );
    println!("| jobs | as | workers | created | served | failed | left | time, s |");
    println!("| ---: | --- | --- | ---: | ---: | ---: | ---: | ---: |");
    for (setting, state) in [("", "cold"), ("cold_s = 0.0\n", "warm")] {
        for (count, background) in [(200, false), (200, true), (10_000, false), (10_000, true)] {
            let file = WARM.replace("cold_s = 0.0\n", setting);
            let server = program.start(&file);
            workers::start(server.at, 2, &["f"], Duration::ZERO);
            let start = Instant::now();
            let BurstResults { created, served, failed } = clients::burst(server.at, count, background, "f");
            let mut left = clients::status(server.at).jobs;
            while left > 0 && start.elapsed() < BURST_TIMEOUT {
                sleep(0.01);
                left = clients::status(server.at).jobs;
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

/// The configuration of the functions `flood` and `trickle`, as TOML.
fn flood_functions(queue: bool) -> String {
    let entry = |name, class| {
        format!(
            "[[gearman.function]]\nname = \"{name}\"\nclass = \"{class}\"\ndeadline_s = 30.0\n\
             target = \"gearman\"\nqueue = {queue}\n"
        )
    };
    format!("cold_s = 0.0\n{}{}", entry("flood", "account-view"), entry("trickle", "plan-payment"))
}

/// A flood of one function beside a trickle of another, at workers that serve both.
pub fn flood(program: &Program) {
    println!("## A flood beside a trickle\n");
    println!(
        "Eight workers take both functions, jobs of 5 ms. The flood keeps 400 jobs open; the trickle brings 20 jobs a \
         second for 5 s, wanted within 0.26 s.\n"
    );
    println!("| queue | flood, jobs/s | flood failed | trickle in time | trickle p50, ms | p99, ms |");
    println!("| --- | ---: | ---: | ---: | ---: | ---: |");
    for queue in [true, false] {
        let server = program.start(&flood_functions(queue));
        workers::start(server.at, 8, &["flood", "trickle"], Duration::from_millis(5));
        let stop = Arc::new(AtomicBool::new(false));
        let flood = clients::start(server.at, 8, 50, "flood", &stop);
        sleep(1.0);
        let start = Instant::now();
        let before = flood.served();
        let trickle = clients::start_constant_rate(server.at, TRICKLE_INTERVAL, TRICKLE_JOBS, "trickle");
        while trickle.ended.load(Ordering::SeqCst) < TRICKLE_JOBS as u64
            && start.elapsed() < Duration::from_secs(40)
        {
            sleep(0.01);
        }
        let rate = (flood.served() - before) as f64 / start.elapsed().as_secs_f64();
        stop.store(true, Ordering::SeqCst);
        println!(
            "| {} | {rate:.0} | {} | {:.2} | {:.1} | {:.1} |",
            if queue { "yes" } else { "no" },
            flood.failed.load(Ordering::SeqCst),
            trickle.within(TRICKLE_OBJECTIVE),
            trickle.ms(0.5),
            trickle.ms(0.99),
        );
    }
    println!();
}

/// One job after another at a worker whose library leaves Nagle's algorithm on and writes its packets separately.
pub fn nagle(program: &Program) {
    println!("## A worker that holds its packets back\n");
    println!(
        "One job of 0 ms after another; the worker writes WORK_COMPLETE and GRAB_JOB apart, with Nagle's algorithm on.\n"
    );
    println!("| quick_ack | p50, ms | p99, ms |");
    println!("| --- | ---: | ---: |");
    for quick in [false, true] {
        let server = program.start(&format!("quick_ack = {quick}\n{WARM}"));
        workers::start_unbuffered(server.at, "f");
        let stop = Arc::new(AtomicBool::new(false));
        let results = clients::start(server.at, 1, 1, "f", &stop);
        sleep(3.0);
        stop.store(true, Ordering::SeqCst);
        let setting = if quick { "yes" } else { "no" };
        println!("| {setting} | {:.2} | {:.2} |", results.ms(0.5), results.ms(0.99));
    }
    println!();
}
