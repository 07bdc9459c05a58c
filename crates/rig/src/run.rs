//! Runs a scenario: its stand-ins, its dispatchers, its events, and the report.

mod error;
mod events;
mod setup;

pub use error::RunError;

use crate::dispatcher_process::{DispatcherProcess, Limits, StartSettings};
use crate::ledger::{Observation, Tolerances};
use crate::net::SubnetClaim;
use crate::process::{EVENT_TIMEOUT, ResourceUsage};
use crate::report::{Report, RunResult};
use crate::scenario::{Event, Scenario};
use crate::test_environment::TestEnvironment;
use crate::time::{Micros, SECOND};
use crate::{clients, greedy_clients, idle_clients};
use nix::sys::signal::Signal;
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitStatus};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Maximum interval between two checks of the processes, in microseconds.
const MAX_CHECK_INTERVAL: Micros = SECOND / 5;
/// Interval between checks whether requests are still in flight at the end.
const IN_FLIGHT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The options of a run.
pub struct RunOptions {
    /// The dispatcher's program.
    pub program: PathBuf,
    /// The seed of all random numbers.
    pub seed: u64,
    /// Whether to show the progress of the run on standard error.
    pub show_progress: bool,
    /// The resource limits of each dispatcher.
    pub limits: Limits,
    /// The tolerances of the rules.
    pub tolerances: Tolerances,
    /// Additional environment variables of the dispatchers.
    pub environment: Vec<(String, String)>,
}

/// A run in progress; its processes are killed when it is dropped.
pub struct Run {
    environment: Arc<TestEnvironment>,
    options: RunOptions,
    /// The endpoint list that dispatchers start with, as JSON.
    cached_list: String,
    /// The dispatchers by number; none before the first start.
    processes: Vec<Option<DispatcherProcess>>,
    failures: Vec<String>,
    peak_usage: ResourceUsage,
    _directory: tempfile::TempDir,
    _subnet_claim: SubnetClaim,
}

/// Runs a scenario to its end.
///
/// # Errors
///
/// It cannot be set up or completed; violated rules are in the report.
pub fn run_scenario(scenario: Scenario, options: RunOptions) -> Result<Report, RunError> {
    let mut run = Run::new(scenario, options)?;
    run.execute()?;
    Ok(run.report())
}

/// A step of a run.
enum Step {
    StartDispatcher(usize),
    Event(Event),
}

/// A step with its time in seconds since the start of the run.
struct ScheduledStep {
    at_s: f64,
    step: Step,
}

/// The starts of the dispatchers and the events, in chronological order.
fn schedule(scenario: &Scenario) -> Vec<ScheduledStep> {
    let start = |number: usize| ScheduledStep {
        at_s: number as f64 / scenario.processes as f64 * scenario.start_spread_s,
        step: Step::StartDispatcher(number),
    };
    let event = |event: &Event| ScheduledStep { at_s: event.at_s, step: Step::Event(event.clone()) };
    let mut steps: Vec<ScheduledStep> = (0..scenario.processes).map(start).collect();
    steps.extend(scenario.events.iter().map(event));
    steps.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    steps
}

impl Run {
    /// Sets up the stand-ins, without starting a process.
    ///
    /// # Errors
    ///
    /// No port, subnet or directory is available.
    pub fn new(scenario: Scenario, options: RunOptions) -> Result<Run, RunError> {
        setup::create_run(scenario, options).map_err(RunError::Setup)
    }

    /// Starts a dispatcher; the load balancer admits it once it is ready.
    fn start_dispatcher(&mut self, number: usize) -> Result<(), RunError> {
        let environment = self.environment.clone();
        let incarnations = &environment.incarnations[number];
        let seed =
            self.options.seed ^ ((number as u64 + 1) << 20) ^ incarnations.load(Ordering::SeqCst) as u64;
        environment.list.reset_first_list(number);
        environment.record(Observation::DispatcherStarted(number));
        let mut command = Command::new(&self.options.program);
        command.envs(self.options.environment.iter().map(|(name, value)| (name, value)));
        let settings = StartSettings {
            scenario: &environment.scenario,
            limits: self.options.limits,
            seed,
            cached_list: &self.cached_list,
        };
        let process = DispatcherProcess::start(command, &environment.dispatchers[number], &settings)?;
        self.processes[number] = Some(process);
        environment.process_histories[number].record_start();
        let incarnation = incarnations.fetch_add(1, Ordering::SeqCst) + 1;
        let environment = self.environment.clone();
        may::go!(move || clients::admit_when_ready(&environment, number, incarnation));
        Ok(())
    }

    /// Runs the entire scenario.
    ///
    /// # Errors
    ///
    /// A dispatcher cannot be started or controlled, or exits unexpectedly; requests do not end; or the rig lacks resources.
    pub fn execute(&mut self) -> Result<(), RunError> {
        let environment = self.environment.clone();
        let scenario = &environment.scenario;
        if scenario.workers_start_cold {
            self.start_workers(0..scenario.worker_count);
        }
        let steps = schedule(scenario);
        let seed = self.options.seed;
        let clients = self.environment.clone();
        may::go!(move || clients::send_requests(&clients, seed));
        for number in 0..scenario.processes {
            idle_clients::hold_open(&self.environment, number);
            greedy_clients::run(&self.environment, number);
        }
        for ScheduledStep { at_s, step } in steps {
            self.wait_until(at_s)?;
            match step {
                Step::StartDispatcher(number) => self.start_dispatcher(number)?,
                Step::Event(event) => self.apply_event(&event)?,
            }
        }
        self.wait_until(scenario.seconds)?;
        self.wait_for_requests()
    }

    /// Waits until no request is in flight, for at most [`EVENT_TIMEOUT`]: the longest deadline and a margin for a busy
    /// machine.
    fn wait_for_requests(&mut self) -> Result<(), RunError> {
        let deadline = self.environment.clock.now() + EVENT_TIMEOUT.as_micros() as Micros;
        while self.environment.requests_in_flight.load(Ordering::SeqCst) > 0 {
            if self.environment.clock.now() > deadline {
                return Err(RunError::RequestsInFlight);
            }
            self.check_health()?;
            std::thread::sleep(IN_FLIGHT_CHECK_INTERVAL);
        }
        Ok(())
    }

    fn wait_until(&mut self, at_s: f64) -> Result<(), RunError> {
        let at = (at_s * 1e6) as Micros;
        loop {
            self.check_health()?;
            let left = at - self.environment.clock.now();
            if self.options.show_progress {
                self.show_progress();
            }
            if left <= 0 {
                return Ok(());
            }
            std::thread::sleep(Duration::from_micros(left.min(MAX_CHECK_INTERVAL) as u64));
        }
    }

    fn show_progress(&self) {
        let environment = &self.environment;
        let name = &environment.scenario.name;
        let now_s = environment.clock.now() / SECOND;
        let end_s = environment.scenario.seconds;
        let admitted = environment.admitted_count();
        let all = self.processes.len();
        eprint!("\r{name}: {now_s} of {end_s:.0} s, {admitted} of {all} admitted \r");
    }

    /// Checks for failures of the rig and of the processes.
    fn check_health(&mut self) -> Result<(), RunError> {
        if let Some(error) = self.environment.take_rig_failure() {
            return Err(RunError::RigFailure(error));
        }
        for number in 0..self.processes.len() {
            self.check_process(number)?;
        }
        Ok(())
    }

    /// A dispatcher that exited unexpectedly is an error; one that exceeds its limits is a failure in the report. A panic in the
    /// shutdown is an unexpected exit, too.
    fn check_process(&mut self, number: usize) -> Result<(), RunError> {
        let Some(dispatcher) = &mut self.processes[number] else { return Ok(()) };
        let status = dispatcher.process.exit_status();
        let is_shutting_down = self.environment.process_histories[number].is_shutting_down();
        let is_expected = |status: &ExitStatus| {
            is_shutting_down && (status.success() || status.signal() == Some(Signal::SIGKILL as i32))
        };
        if status.is_some_and(|status| !is_expected(&status)) {
            let last_lines = dispatcher.process.last_log_lines();
            return Err(RunError::UnexpectedExit { number, status, last_lines });
        }
        let Some(usage) = dispatcher.process.resource_usage() else { return Ok(()) };
        // Before its first instruction a process still has the rig's own descriptors, and no memory.
        if usage.memory_mb == 0 {
            return Ok(());
        }
        self.peak_usage = self.peak_usage.max(usage);
        let limits = self.options.limits;
        let ResourceUsage { memory_mb, descriptors } = usage;
        let start = format!("n{number} exceeds its limits");
        let is_reported = self.failures.iter().any(|failure| failure.starts_with(&start));
        if !is_reported && (memory_mb >= limits.memory_mb || descriptors > limits.sockets) {
            self.failures.push(format!("{start}: {memory_mb} MB, {descriptors} descriptors"));
        }
        Ok(())
    }

    /// Ends the run and creates its report from the ledger.
    #[must_use]
    pub fn report(self) -> Report {
        self.environment.stop();
        let mut ledger = self.environment.take_ledger();
        ledger.add_reachability(&self.environment.scenario);
        Report::new(RunResult {
            scenario: &self.environment.scenario,
            seed: self.options.seed,
            ledger: &ledger,
            tolerances: self.options.tolerances,
            failures: self.failures.clone(),
            peak_usage: self.peak_usage,
        })
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.environment.stop();
        // Kills all of them before waiting for each.
        for dispatcher in self.processes.iter().flatten() {
            let _ = dispatcher.process.signal(Signal::SIGKILL);
        }
        self.processes.clear();
    }
}

/// The dispatcher's program in the directory of the running executable, as both are built into one directory.
#[must_use]
pub fn default_program(current_exe: &Path) -> PathBuf {
    current_exe.with_file_name("roselock")
}
