//! Random runs generated from seeds (`roselock_rig::soak`): series of signals, SIGKILL as early as the platform allows,
//! hanging workers and idle clients. With some seeds system calls fail and clocks are stepped. CI runs a few seeds; for more, run
//! `SOAK_FROM=1 SOAK_SEEDS=60 cargo test --release -p roselock-dispatcher --test soak -- --nocapture`.

mod common;
use common::faults::Faults;
use roselock_rig::dispatcher_process::{DISPATCHER_LIMITS, Limits};
use roselock_rig::ledger::{ColdBudgetBound, MissedNotifications, Tolerances};
use roselock_rig::report::Report;
use roselock_rig::run::{RunError, RunOptions, run_scenario};
use roselock_rig::scenario::Scenario;
use roselock_rig::soak::{drain_scenario, pressure_scenario, scenario};
use rstest::rstest;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// The seeds by default.
const SEEDS: [u64; 8] = [1, 2, 3, 4, 5, 6, 7, 8];
/// The seeds by default, for runs under pressure.
const PRESSURE_SEEDS: [u64; 4] = [1, 2, 3, 4];
/// The seeds by default, for runs with drains.
const DRAIN_SEEDS: [u64; 4] = [1, 2, 3, 4];
/// The smallest limits that operators configure, except on days with a crowd. A debug build takes twice the memory.
const SMALL_LIMITS: Limits = Limits { memory_mb: if cfg!(debug_assertions) { 64 } else { 32 }, sockets: 256 };
/// The number of concurrent runs by default.
const CONCURRENT_RUNS: u64 = 4;
/// The interval between clock steps of a run.
const STEP_INTERVAL: Duration = Duration::from_secs(3);
/// The offsets to which the clocks are stepped in turn, in seconds.
const CLOCK_STEPS_S: [i64; 6] = [0, 3600, -7, -3600, 12, 0];

fn variable_or(variable: &str, default: u64) -> u64 {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// The seeds that the environment asks for, if it does.
fn seeds_or(default: &[u64]) -> Vec<u64> {
    if std::env::var_os("SOAK_FROM").is_none() {
        return default.to_vec();
    }
    let from = variable_or("SOAK_FROM", 1);
    (from..from + variable_or("SOAK_SEEDS", default.len() as u64)).collect()
}

/// The injected faults of a seed: failing system calls with every second seed, stepped clocks with every third.
fn faults(seed: u64, clock: &Path) -> Faults {
    let mut faults = Faults::new();
    if seed.is_multiple_of(2) {
        let primes = [("FAULT_ACCEPT", 31), ("FAULT_SOCKET", 37), ("FAULT_CONNECT", 41), ("FAULT_RECV", 43)];
        faults = primes.into_iter().fold(faults, |faults, (call, every)| faults.with(call, every));
        faults = faults.with("FAULT_SEND", 47).with("FAULT_EPOLL", 53);
    }
    if seed.is_multiple_of(3) { faults.with("FAULT_CLOCK", clock.display()) } else { faults }
}

/// Steps the clocks of a run until it ends.
fn step_clocks(clock: PathBuf, ended: std::sync::mpsc::Receiver<()>) {
    for step in CLOCK_STEPS_S.iter().cycle() {
        std::fs::write(&clock, step.to_string()).expect("cannot write file");
        if ended.recv_timeout(STEP_INTERVAL) != Err(std::sync::mpsc::RecvTimeoutError::Timeout) {
            return;
        }
    }
}

/// Held by tests that run one after the other.
static SEQUENCE: Mutex<()> = Mutex::new(());

/// Runs that are generated from seeds.
#[derive(Clone, Copy)]
struct GeneratedRuns<'a> {
    scenario: fn(u64) -> Scenario,
    limits: Limits,
    tolerances: Tolerances,
    default_seeds: &'a [u64],
}

fn run_seed(runs: GeneratedRuns<'_>, seed: u64) -> Result<Report, RunError> {
    let scenario = (runs.scenario)(seed);
    let clock = format!("{}-{}", scenario.name, std::process::id());
    let clock = Path::new(env!("CARGO_TARGET_TMPDIR")).join(clock);
    let environment = faults(seed, &clock).environment();
    let (end, ended) = std::sync::mpsc::channel();
    let stepping = std::thread::spawn(move || step_clocks(clock, ended));
    let program = env!("CARGO_BIN_EXE_roselock").into();
    let (limits, tolerances) = (runs.limits, runs.tolerances);
    let options = RunOptions { program, seed, show_progress: false, limits, tolerances, environment };
    let report = run_scenario(scenario, options);
    drop(end);
    stepping.join().expect("clock thread panicked");
    report
}

/// Runs a seed and prints its report. Returns the problem, if there is one.
fn check_seed(runs: GeneratedRuns<'_>, seed: u64) -> Option<String> {
    let problem = match run_seed(runs, seed) {
        Ok(report) if report.passed() => {
            println!("{}", report.row());
            return None;
        }
        Ok(report) => format!("{} {:?} {:?}", report.row(), report.violations, report.failures),
        Err(error) => format!("{error:?}"),
    };
    println!("seed {seed}: {problem}");
    Some(format!("seed {seed}: {problem}"))
}

/// Runs the seeds, some of them at a time, and fails if one has a problem.
fn check_seeds(runs: GeneratedRuns<'_>) {
    let seeds = seeds_or(runs.default_seeds);
    let next = AtomicUsize::new(0);
    let problems = Mutex::new(Vec::new());
    let check_next = || {
        loop {
            let Some(seed) = seeds.get(next.fetch_add(1, Ordering::SeqCst)) else { return };
            if let Some(problem) = check_seed(runs, *seed) {
                problems.lock().expect("lock is poisoned").push(problem);
            }
        }
    };
    std::thread::scope(|threads| {
        for _ in 0..variable_or("SOAK_SIDE_BY_SIDE", CONCURRENT_RUNS) {
            threads.spawn(check_next);
        }
    });
    let problems = problems.into_inner().expect("lock is poisoned");
    assert!(problems.is_empty(), "repeat a seed with SOAK_FROM=seed SOAK_SEEDS=1: {problems:#?}");
}

#[rstest]
fn all_rules_are_kept_on_drawn_runs() {
    let tolerances = Tolerances::default();
    check_seeds(GeneratedRuns { scenario, limits: DISPATCHER_LIMITS, tolerances, default_seeds: &SEEDS });
}

/// Guards against a process that ends by itself or passes its memory limit (issue 50), beside greedy clients, crowds and kills.
#[rstest]
fn limits_and_rules_are_kept_under_pressure() {
    let _sequence = SEQUENCE.lock().unwrap_or_else(PoisonError::into_inner);
    check_seeds(GeneratedRuns {
        scenario: pressure_scenario,
        limits: SMALL_LIMITS,
        // A dispatcher that is started again does not know what was sent to a cold worker just before.
        tolerances: Tolerances { cold_budget_bound: ColdBudgetBound::Platform, ..Tolerances::default() },
        default_seeds: &PRESSURE_SEEDS,
    });
}

/// Guards against requests to workers that drain (issue 53), also where the dispatcher has missed the notification.
#[rstest]
fn nothing_is_sent_to_draining_workers() {
    let _sequence = SEQUENCE.lock().unwrap_or_else(PoisonError::into_inner);
    let missed_notifications = MissedNotifications::Counted;
    check_seeds(GeneratedRuns {
        scenario: drain_scenario,
        limits: DISPATCHER_LIMITS,
        tolerances: Tolerances {
            missed_notifications,
            cold_budget_bound: ColdBudgetBound::Platform,
            ..Tolerances::default()
        },
        default_seeds: &DRAIN_SEEDS,
    });
}
