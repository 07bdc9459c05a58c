//! Jobs a second, bursts, and a flood beside a trickle.

use crate::peers::{self, Seen};
use crate::server::{self, Program};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

const WARM: &str = r#"cold_s = 0.0
[[gearman.function]]
name = "f"
class = "account-view"
deadline_s = 30.0
target = "gearman"
"#;

fn pass(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}

/// So many clients with one job open each for some seconds: jobs a second, and what they saw.
fn measure(at: SocketAddr, n: usize, span: Duration, seconds: f64) -> (f64, Seen) {
    peers::workers(at, n, &["f"], span);
    let stop = Arc::new(AtomicBool::new(false));
    let start = Instant::now();
    let seen = peers::clients(at, n, 1, "f", &stop);
    pass(seconds);
    stop.store(true, Ordering::SeqCst);
    let rate = seen.served() as f64 / start.elapsed().as_secs_f64();
    let ended = Instant::now();
    while seen.ended.load(Ordering::SeqCst) < n as u64 && ended.elapsed() < Duration::from_secs(20) {
        pass(0.002);
    }
    (rate, seen)
}

/// Workers and clients by number, jobs by length, beside the relay.
pub fn rate(program: &Program, seconds: f64) {
    println!("## Jobs a second\n");
    println!("As many clients as workers, one job open each, {seconds} s a cell; p50 and p99 in ms.\n");
    println!(
        "| workers | job, ms | relay, jobs/s | p50 | p99 | roselock, jobs/s | p50 | p99 | of the relay | failed |"
    );
    println!("| ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    for ms in [0, 1, 20] {
        for n in [1, 8, 64, 256] {
            let span = Duration::from_millis(ms);
            let relay = server::relay();
            let (bare, there) = measure(relay.at, n, span, seconds);
            drop(relay);
            let roselock = program.start(WARM);
            let (rate, seen) = measure(roselock.at, n, span, seconds);
            println!(
                "| {n} | {ms} | {bare:.0} | {:.2} | {:.2} | {rate:.0} | {:.2} | {:.2} | {:.2} | {} |",
                there.ms(0.5),
                there.ms(0.99),
                seen.ms(0.5),
                seen.ms(0.99),
                rate / bare,
                seen.failed.load(Ordering::SeqCst),
            );
        }
    }
    println!();
}

/// Many jobs at once, with two workers and the example's own settings.
pub fn burst(program: &Program) {
    println!("## Many at once\n");
    println!(
        "Two workers that have just registered (24 s cold by the example's settings, or warm), jobs of 0 ms.\n"
    );
    println!("| jobs | as | workers | created | served | failed | left | time, s |");
    println!("| ---: | --- | --- | ---: | ---: | ---: | ---: | ---: |");
    for (cold, words) in [("", "cold"), ("cold_s = 0.0\n", "warm")] {
        for (n, background) in [(200, false), (200, true), (10_000, false), (10_000, true)] {
            let file = WARM.replace("cold_s = 0.0\n", cold);
            let server = program.start(&file);
            peers::workers(server.at, 2, &["f"], Duration::ZERO);
            let start = Instant::now();
            let (created, served, failed) = peers::at_once(server.at, n, background, "f");
            let (mut left, _) = peers::status(server.at);
            while left > 0 && start.elapsed() < Duration::from_secs(120) {
                pass(0.01);
                left = peers::status(server.at).0;
            }
            let (took, kind) =
                (start.elapsed().as_secs_f64(), if background { "background" } else { "foreground" });
            let served = if background { "-".to_owned() } else { served.to_string() };
            println!("| {n} | {kind} | {words} | {created} | {served} | {failed} | {left} | {took:.2} |");
        }
    }
    println!();
}

/// A flood of one function beside a trickle of another, at workers that take both.
pub fn flood(program: &Program) {
    println!("## A flood beside a trickle\n");
    println!(
        "Eight workers take both functions, jobs of 5 ms. The flood keeps 400 jobs open; the trickle brings 20 jobs a \
         second for 5 s, wanted within 0.26 s.\n"
    );
    println!("| queue | flood, jobs/s | flood failed | trickle in time | trickle p50, ms | p99, ms |");
    println!("| --- | ---: | ---: | ---: | ---: | ---: |");
    for queue in [true, false] {
        let entry = |name, class| {
            format!(
                "[[gearman.function]]\nname = \"{name}\"\nclass = \"{class}\"\ndeadline_s = 30.0\n\
                 target = \"gearman\"\nqueue = {queue}\n"
            )
        };
        let file =
            format!("cold_s = 0.0\n{}{}", entry("flood", "account-view"), entry("trickle", "plan-payment"));
        let server = program.start(&file);
        peers::workers(server.at, 8, &["flood", "trickle"], Duration::from_millis(5));
        let stop = Arc::new(AtomicBool::new(false));
        let flood = peers::clients(server.at, 8, 50, "flood", &stop);
        pass(1.0);
        let start = Instant::now();
        let before = flood.served();
        let trickle = peers::steady(server.at, Duration::from_millis(50), 100, "trickle");
        while trickle.ended.load(Ordering::SeqCst) < 100 && start.elapsed() < Duration::from_secs(40) {
            pass(0.01);
        }
        let rate = (flood.served() - before) as f64 / start.elapsed().as_secs_f64();
        stop.store(true, Ordering::SeqCst);
        println!(
            "| {} | {rate:.0} | {} | {:.2} | {:.1} | {:.1} |",
            if queue { "yes" } else { "no" },
            flood.failed.load(Ordering::SeqCst),
            trickle.within(Duration::from_millis(260)),
            trickle.ms(0.5),
            trickle.ms(0.99),
        );
    }
    println!();
}

/// One job after another at a worker whose library leaves Nagle's algorithm on and writes its packets apart.
pub fn nagle(program: &Program) {
    println!("## A worker that holds its packets back\n");
    println!(
        "One job of 0 ms after another; the worker writes WORK_COMPLETE and GRAB_JOB apart, with Nagle's algorithm on.\n"
    );
    println!("| quick_ack | p50, ms | p99, ms |");
    println!("| --- | ---: | ---: |");
    for quick in [false, true] {
        let server = program.start(&format!("quick_ack = {quick}\n{WARM}"));
        peers::apart(server.at, "f");
        let stop = Arc::new(AtomicBool::new(false));
        let seen = peers::clients(server.at, 1, 1, "f", &stop);
        pass(3.0);
        stop.store(true, Ordering::SeqCst);
        println!("| {} | {:.2} | {:.2} |", if quick { "yes" } else { "no" }, seen.ms(0.5), seen.ms(0.99));
    }
    println!();
}
