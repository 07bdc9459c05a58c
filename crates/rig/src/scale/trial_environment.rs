//! The environment of a trial: the dispatchers as processes, and the stand-ins around them.

use crate::dispatcher_process::{DispatcherProcess, DispatcherSpec, Limits, StartSettings};
use crate::list::EMPTY_LIST;
use crate::net::{NetClaim, address, claim_net};
use crate::process::Signal;
use crate::scale::admin::{Metrics, metrics};
use crate::scale::load::{Load, RequestCount};
use crate::scale::plan::Plan;
use crate::scale::registry::Registry;
use crate::scale::simulated_workers::{SimulatedWorkers, WorkerCount};
use crate::scale::trial_error::TrialError;
use crate::scale::usage::{Usage, machine_kib, resident_kib};
use crate::scenario::Scenario;
use crate::time::{Clock, Micros, SECOND};
use crate::traffic::TrafficCount;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;

/// What a dispatcher may use: the class of small dispatchers on the platform.
const LIMITS: Limits = Limits { memory_mb: 48, sockets: 640 };
/// Longest pause between two checks of the processes, in microseconds.
const MAX_CHECK_INTERVAL: Micros = SECOND / 5;
/// The decisions' settings follow from it, with the numbers of dispatchers and workers of the trial.
const SCENARIO: &str = r#"
name = "scale"
about = "workers that are warm, and a list service that answers at once"
processes = 1
workers_n = 1
seconds = 1.0
rate = 1.0
[workers]
cold_s = 0.0
"#;

/// All that was counted up to a moment.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The moment.
    pub at: Micros,
    /// The usage of each dispatcher.
    pub usage: Vec<Usage>,
    /// The traffic of the list service with each dispatcher.
    pub registry: Vec<TrafficCount>,
    /// The traffic at the workers.
    pub workers: WorkerCount,
    /// The requests of the clients.
    pub requests: RequestCount,
}

/// The environment of a trial; all processes end with it.
pub struct TrialEnvironment {
    /// The list service.
    pub registry: Arc<Registry>,
    /// The clients.
    pub load: Arc<Load>,
    /// The clock of the trial.
    pub clock: Clock,
    workers: Arc<SimulatedWorkers>,
    scenario: Scenario,
    specs: Vec<DispatcherSpec>,
    dispatchers: Vec<DispatcherProcess>,
    plan: Plan,
    max_resident_kib: u64,
    _folder: tempfile::TempDir,
    _net_claims: [NetClaim; 2],
    _reserved_ports: [TcpListener; 2],
}

impl TrialEnvironment {
    /// Stand-ins for so many workers; no process yet.
    ///
    /// # Errors
    ///
    /// There are no free nets, ports or folders, or the memory of the machine is not known.
    pub fn new(plan: &Plan, workers: usize) -> Result<TrialEnvironment, TrialError> {
        let mut scenario = Scenario::parse(SCENARIO)?;
        scenario.processes = plan.dispatchers;
        scenario.worker_count = workers;
        TrialEnvironment::set_up(plan, scenario).map_err(TrialError::Setup)
    }

    fn set_up(plan: &Plan, scenario: Scenario) -> io::Result<TrialEnvironment> {
        let clock = Clock::start();
        let folder = tempfile::tempdir()?;
        let claim = claim_net()?;
        let workers_claim = claim_net()?;
        // Held, so that no stand-in gets them; the dispatchers use them at other addresses.
        let reserved = TcpListener::bind("127.0.0.1:0")?;
        let reserved_admin = TcpListener::bind("127.0.0.1:0")?;
        let port = reserved.local_addr()?.port();
        let admin_port = reserved_admin.local_addr()?.port();
        let listen: Vec<SocketAddr> = (0..plan.dispatchers)
            .map(|number| SocketAddr::from((address(claim.net, number), port)))
            .collect();
        let workers =
            SimulatedWorkers::start(scenario.worker_count, workers_claim.net, listen.clone(), clock)?;
        let registry = Registry::start(workers.entries(), plan.dispatchers, clock)?;
        let spec = |(number, listen): (usize, &SocketAddr)| DispatcherSpec {
            number,
            listen: *listen,
            admin: SocketAddr::from((listen.ip(), admin_port)),
            list_service: registry.address(number),
            moved_list_service: registry.moved_address(number),
            folder: folder.path().join(format!("n{number}")),
        };
        let specs = listen.iter().enumerate().map(spec).collect();
        Ok(TrialEnvironment {
            load: Load::new(&listen, clock),
            registry,
            clock,
            workers,
            scenario,
            specs,
            dispatchers: Vec::new(),
            plan: plan.clone(),
            max_resident_kib: machine_kib()? / 2,
            _folder: folder,
            _net_claims: [claim, workers_claim],
            _reserved_ports: [reserved, reserved_admin],
        })
    }

    /// Starts all dispatchers.
    ///
    /// # Errors
    ///
    /// One cannot be started.
    pub fn start(&mut self) -> Result<(), TrialError> {
        for spec in &self.specs {
            self.registry.reset_first_list(spec.number);
            let settings = StartSettings {
                scenario: &self.scenario,
                limits: LIMITS,
                seed: self.plan.seed ^ ((spec.number as u64 + 1) << 20),
                known_list: EMPTY_LIST,
            };
            let command = Command::new(&self.plan.program);
            self.dispatchers.push(DispatcherProcess::start(command, spec, &settings)?);
        }
        Ok(())
    }

    /// Kills all dispatchers at once.
    pub fn kill(&mut self) {
        for dispatcher in &self.dispatchers {
            let _ = dispatcher.process.signal(Signal::SIGKILL);
        }
        // Each is waited for as it is dropped.
        self.dispatchers.clear();
    }

    /// The list service moves, and all dispatchers reload their configuration.
    ///
    /// # Errors
    ///
    /// A configuration cannot be changed, or a signal cannot be sent.
    pub fn move_list_service(&self) -> Result<(), TrialError> {
        for dispatcher in 0..self.specs.len() {
            self.registry.reset_first_list(dispatcher);
        }
        for dispatcher in &self.dispatchers {
            dispatcher.move_list_service()?;
        }
        Ok(())
    }

    /// Waits for a span in microseconds.
    ///
    /// # Errors
    ///
    /// A process ends unasked, or all use too much memory together.
    pub fn wait(&mut self, span: Micros) -> Result<(), TrialError> {
        let until = self.clock.now() + span;
        loop {
            self.check()?;
            let left = until - self.clock.now();
            if left <= 0 {
                return Ok(());
            }
            std::thread::sleep(Duration::from_micros(left.min(MAX_CHECK_INTERVAL) as u64));
        }
    }

    fn check(&mut self) -> Result<(), TrialError> {
        let mut used_kib = resident_kib(std::process::id()).unwrap_or(0);
        for dispatcher in &mut self.dispatchers {
            if dispatcher.process.has_ended() {
                let number = dispatcher.spec.number;
                let last_lines = dispatcher.process.last_log_lines();
                return Err(TrialError::EndedUnasked { number, last_lines });
            }
            used_kib += resident_kib(dispatcher.process.id()).unwrap_or(0);
        }
        if used_kib > self.max_resident_kib {
            let max_mib = self.max_resident_kib / 1024;
            return Err(TrialError::Memory { used_mib: used_kib / 1024, max_mib });
        }
        Ok(())
    }

    /// All that was counted up to now.
    ///
    /// # Errors
    ///
    /// The usage of a dispatcher cannot be read.
    pub fn sample(&self) -> Result<Sample, TrialError> {
        let mut usage = Vec::new();
        for dispatcher in &self.dispatchers {
            let number = dispatcher.spec.number;
            let of_dispatcher = Usage::of(dispatcher.process.id());
            usage.push(of_dispatcher.map_err(|source| TrialError::Usage { number, source })?);
        }
        Ok(Sample {
            at: self.clock.now(),
            usage,
            registry: (0..self.specs.len()).map(|number| self.registry.traffic(number)).collect(),
            workers: self.workers.count(),
            requests: self.load.count(),
        })
    }

    /// Bytes that the list service has written to a dispatcher, the mean.
    #[must_use]
    pub fn list_bytes(&self) -> f64 {
        let total: u64 = (0..self.specs.len()).map(|number| self.registry.traffic(number).written).sum();
        total as f64 / self.specs.len() as f64
    }

    /// The traffic up to the end of the first list of each dispatcher.
    #[must_use]
    pub fn first_lists(&self) -> Vec<TrafficCount> {
        (0..self.specs.len()).filter_map(|number| self.registry.first_list(number)).collect()
    }

    /// Dispatchers that have not followed the list service to its other address.
    #[must_use]
    pub fn not_moved(&self) -> Vec<usize> {
        (0..self.specs.len()).filter(|number| !self.registry.has_moved(*number)).collect()
    }

    /// The figures of each dispatcher; none where it does not answer.
    #[must_use]
    pub fn metrics(&self) -> Vec<Option<Metrics>> {
        self.specs.iter().map(|spec| metrics(spec.admin).ok()).collect()
    }

    /// The last lines of a dispatcher's log.
    pub fn last_log_lines(&mut self, dispatcher: usize) -> Vec<String> {
        self.dispatchers[dispatcher].process.last_log_lines()
    }
}

impl Drop for TrialEnvironment {
    fn drop(&mut self) {
        self.kill();
        self.registry.stop();
        self.workers.stop();
    }
}
