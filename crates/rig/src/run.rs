//! A run: the environment of one scenario, its dispatchers, the events, and the report.

mod error;
mod events;
mod setup;

pub use error::RunError;

use crate::dispatcher_process::{DispatcherProcess, LIMITS, StartSettings};
use crate::ledger::{Observation, Tolerances};
use crate::net::NetClaim;
use crate::process::{EVENT_TIMEOUT, ResourceUsage};
use crate::report::{Report, RunResult};
use crate::scenario::{Event, Scenario};
use crate::test_environment::TestEnvironment;
use crate::time::{Micros, SECOND};
use crate::{clients, idle_clients};
use nix::sys::signal::Signal;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Longest pause between two checks of the processes, in microseconds.
const MAX_CHECK_INTERVAL: Micros = SECOND / 5;
/// How often it is checked whether requests are in flight at the end.
const IN_FLIGHT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How a scenario is to be played.
pub struct RunOptions {
    /// The program.
    pub program: PathBuf,
    /// For everything that is drawn.
    pub seed: u64,
    /// Show the progress of the run on standard error.
    pub progress: bool,
    /// Environment variables of the dispatchers, beside those of the platform.
    pub environment: Vec<(String, String)>,
}

/// A run that is under way; its processes end with it.
pub struct Run {
    environment: Arc<TestEnvironment>,
    options: RunOptions,
    /// The list that dispatchers start with, as on the wire.
    known_list: String,
    /// By number; none while it does not run.
    processes: Vec<Option<DispatcherProcess>>,
    failures: Vec<String>,
    peak_usage: ResourceUsage,
    _folder: tempfile::TempDir,
    _claim: NetClaim,
}

/// Plays a scenario to its end.
///
/// # Errors
///
/// It cannot be set up or played on; broken rules are in the report.
pub fn play(scenario: Scenario, options: RunOptions) -> Result<Report, RunError> {
    let mut run = Run::new(scenario, options)?;
    run.play()?;
    Ok(run.report())
}

/// What is next in a run.
enum Step {
    StartDispatcher(usize),
    Event(Event),
}

/// A step at a time in seconds since the start.
struct ScheduledStep {
    at_s: f64,
    step: Step,
}

/// The starts of the dispatchers and the events, in the order of time.
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
    /// Sets up the stand-ins; no process yet.
    ///
    /// # Errors
    ///
    /// There are no free ports, nets or folders.
    pub fn new(scenario: Scenario, options: RunOptions) -> Result<Run, RunError> {
        setup::run(scenario, options).map_err(RunError::Setup)
    }

    /// Starts a dispatcher; the front admits it once it is ready.
    fn start(&mut self, number: usize) -> Result<(), RunError> {
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
            limits: LIMITS,
            seed,
            known_list: &self.known_list,
        };
        let process = DispatcherProcess::start(command, &environment.dispatchers[number], &settings)?;
        self.processes[number] = Some(process);
        environment.process_histories[number].record_start();
        let incarnation = incarnations.fetch_add(1, Ordering::SeqCst) + 1;
        let front = self.environment.clone();
        may::go!(move || clients::admit_when_ready(&front, number, incarnation));
        Ok(())
    }

    /// Plays the entire scenario.
    ///
    /// # Errors
    ///
    /// A dispatcher cannot be started or controlled, or ends unasked; requests do not end; or the rig lacks resources.
    pub fn play(&mut self) -> Result<(), RunError> {
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
        }
        for ScheduledStep { at_s, step } in steps {
            self.wait_until(at_s)?;
            match step {
                Step::StartDispatcher(number) => self.start(number)?,
                Step::Event(event) => self.apply_event(&event)?,
            }
        }
        self.wait_until(scenario.seconds)?;
        self.wait_for_requests()
    }

    /// Requests in flight may end: for the longest deadline, with a margin for a busy machine.
    fn wait_for_requests(&mut self) -> Result<(), RunError> {
        let deadline = self.environment.clock.now() + EVENT_TIMEOUT.as_micros() as Micros;
        while self.environment.requests_in_flight.load(Ordering::SeqCst) > 0 {
            if self.environment.clock.now() > deadline {
                return Err(RunError::RequestsInFlight);
            }
            self.check()?;
            std::thread::sleep(IN_FLIGHT_CHECK_INTERVAL);
        }
        Ok(())
    }

    fn wait_until(&mut self, at_s: f64) -> Result<(), RunError> {
        let at = (at_s * 1e6) as Micros;
        loop {
            self.check()?;
            let left = at - self.environment.clock.now();
            if self.options.progress {
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

    /// Checks the rig and the processes.
    fn check(&mut self) -> Result<(), RunError> {
        if let Some(error) = self.environment.take_rig_failure() {
            return Err(RunError::RigFailure(error));
        }
        for number in 0..self.processes.len() {
            self.check_process(number)?;
        }
        Ok(())
    }

    /// A dispatcher that ended unasked is an error; one beyond its limits is a failure in the report.
    fn check_process(&mut self, number: usize) -> Result<(), RunError> {
        let Some(dispatcher) = &mut self.processes[number] else { return Ok(()) };
        if self.environment.process_histories[number].is_shutting_down() {
            return Ok(());
        }
        if dispatcher.process.has_ended() {
            let last_lines = dispatcher.process.last_log_lines();
            return Err(RunError::EndedUnasked { number, last_lines });
        }
        let Some(usage) = dispatcher.process.resource_usage() else { return Ok(()) };
        // Before its first instruction it still has the rig's own descriptors, and no memory.
        if usage.memory_mb == 0 {
            return Ok(());
        }
        self.peak_usage = self.peak_usage.max(usage);
        let ResourceUsage { memory_mb, descriptors } = usage;
        if memory_mb > LIMITS.memory_mb || descriptors > LIMITS.sockets {
            let failure = format!("n{number} is over its limits: {memory_mb} MB, {descriptors} descriptors");
            self.failures.push(failure);
        }
        Ok(())
    }

    /// Ends the run; its figures by the ledger.
    #[must_use]
    pub fn report(self) -> Report {
        self.environment.end_run();
        let ledger = self.environment.take_ledger();
        Report::new(RunResult {
            scenario: &self.environment.scenario,
            seed: self.options.seed,
            ledger: &ledger,
            tolerances: Tolerances::default(),
            failures: self.failures.clone(),
            peak_usage: self.peak_usage,
        })
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.environment.end_run();
        // All at once, then each is waited for.
        for dispatcher in self.processes.iter().flatten() {
            let _ = dispatcher.process.signal(Signal::SIGKILL);
        }
        self.processes.clear();
    }
}

/// The program beside the one that runs, as both are built into one folder.
#[must_use]
pub fn default_program(current_exe: &Path) -> PathBuf {
    current_exe.with_file_name("roselock")
}
