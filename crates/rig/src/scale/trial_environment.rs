//! Environment of a trial: the dispatcher processes, and the discovery service, workers and clients that they run
//! against.

use crate::dispatcher_process::{DispatcherProcess, DispatcherSpec, Limits, StartSettings};
use crate::list::EMPTY_LIST;
use crate::net::{SubnetClaim, claim_subnet, participant_address};
use crate::process::Signal;
use crate::scale::admin::{Metrics, fetch_metrics};
use crate::scale::load::{LoadGenerator, RequestCount};
use crate::scale::plan::Plan;
use crate::scale::registry::Registry;
use crate::scale::simulated_workers::{SimulatedWorkers, WorkerTraffic};
use crate::scale::trial_error::TrialError;
use crate::scale::usage::{Usage, resident_kib, total_memory_kib};
use crate::scenario::Scenario;
use crate::time::{Clock, Micros, SECOND};
use crate::traffic::TrafficCount;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;

/// Resource limits of a dispatcher: those of the platform's class of small dispatchers.
const LIMITS: Limits = Limits { memory_mb: 48, sockets: 640 };
/// Longest interval between two checks of the processes, in microseconds.
const MAX_CHECK_INTERVAL: Micros = SECOND / 5;
/// Scenario from which the dispatchers' settings are derived; a trial replaces the numbers of dispatchers and workers.
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

/// All counters at one time.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Time of the sample.
    pub at: Micros,
    /// Resource usage of each dispatcher.
    pub usage: Vec<Usage>,
    /// Traffic between the discovery service and each dispatcher.
    pub registry: Vec<TrafficCount>,
    /// Traffic of the workers.
    pub workers: WorkerTraffic,
    /// Requests of the clients.
    pub requests: RequestCount,
}

/// Environment of a trial. Dropping it ends all processes.
pub struct TrialEnvironment {
    /// The discovery service.
    pub registry: Arc<Registry>,
    /// The clients.
    pub load: Arc<LoadGenerator>,
    /// The clock of the trial.
    pub clock: Clock,
    workers: Arc<SimulatedWorkers>,
    scenario: Scenario,
    specs: Vec<DispatcherSpec>,
    dispatchers: Vec<DispatcherProcess>,
    plan: Plan,
    max_resident_kib: u64,
    _folder: tempfile::TempDir,
    _subnet_claims: [SubnetClaim; 2],
    _reserved_ports: [TcpListener; 2],
}

impl TrialEnvironment {
    /// Sets up the stand-ins, with this many workers; no process is started.
    ///
    /// # Errors
    ///
    /// No net, port or temporary folder is available, or the memory size of the machine cannot be read.
    pub fn new(plan: &Plan, workers: usize) -> Result<TrialEnvironment, TrialError> {
        let mut scenario = Scenario::parse(SCENARIO)?;
        scenario.processes = plan.dispatchers;
        scenario.worker_count = workers;
        TrialEnvironment::set_up(plan, scenario).map_err(TrialError::Setup)
    }

    fn set_up(plan: &Plan, scenario: Scenario) -> io::Result<TrialEnvironment> {
        let clock = Clock::start();
        let folder = tempfile::tempdir()?;
        let claim = claim_subnet()?;
        let workers_claim = claim_subnet()?;
        // Reserves the ports, so that no stand-in gets them. The dispatchers use them at other addresses.
        let reserved = TcpListener::bind("127.0.0.1:0")?;
        let reserved_admin = TcpListener::bind("127.0.0.1:0")?;
        let port = reserved.local_addr()?.port();
        let admin_port = reserved_admin.local_addr()?.port();
        let listen: Vec<SocketAddr> = (0..plan.dispatchers)
            .map(|number| SocketAddr::from((participant_address(claim.net, number), port)))
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
            directory: folder.path().join(format!("n{number}")),
        };
        let specs = listen.iter().enumerate().map(spec).collect();
        Ok(TrialEnvironment {
            load: LoadGenerator::new(&listen, clock),
            registry,
            clock,
            workers,
            scenario,
            specs,
            dispatchers: Vec::new(),
            plan: plan.clone(),
            max_resident_kib: total_memory_kib()? / 2,
            _folder: folder,
            _subnet_claims: [claim, workers_claim],
            _reserved_ports: [reserved, reserved_admin],
        })
    }

    /// Starts all dispatchers.
    ///
    /// # Errors
    ///
    /// A dispatcher cannot be started.
    pub fn start_dispatchers(&mut self) -> Result<(), TrialError> {
        for spec in &self.specs {
            self.registry.reset_first_list(spec.number);
            let settings = StartSettings {
                scenario: &self.scenario,
                limits: LIMITS,
                seed: self.plan.seed ^ ((spec.number as u64 + 1) << 20),
                cached_list: EMPTY_LIST,
            };
            let command = Command::new(&self.plan.program);
            self.dispatchers.push(DispatcherProcess::start(command, spec, &settings)?);
        }
        Ok(())
    }

    /// Kills all dispatchers at once.
    pub fn kill_dispatchers(&mut self) {
        for dispatcher in &self.dispatchers {
            let _ = dispatcher.process.signal(Signal::SIGKILL);
        }
        // Dropping a process waits for it.
        self.dispatchers.clear();
    }

    /// Moves the discovery service and reloads the configuration of all dispatchers.
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

    /// Waits for a number of microseconds and checks the processes meanwhile.
    ///
    /// # Errors
    ///
    /// A dispatcher exits, or all processes together use too much memory.
    pub fn wait(&mut self, duration: Micros) -> Result<(), TrialError> {
        let until = self.clock.now() + duration;
        loop {
            self.check_processes()?;
            let left = until - self.clock.now();
            if left <= 0 {
                return Ok(());
            }
            std::thread::sleep(Duration::from_micros(left.min(MAX_CHECK_INTERVAL) as u64));
        }
    }

    fn check_processes(&mut self) -> Result<(), TrialError> {
        let mut used_kib = resident_kib(std::process::id()).unwrap_or(0);
        for dispatcher in &mut self.dispatchers {
            if dispatcher.process.has_ended() {
                let number = dispatcher.spec.number;
                let last_lines = dispatcher.process.last_log_lines();
                return Err(TrialError::UnexpectedExit { number, last_lines });
            }
            used_kib += resident_kib(dispatcher.process.id()).unwrap_or(0);
        }
        if used_kib > self.max_resident_kib {
            let max_mib = self.max_resident_kib / 1024;
            return Err(TrialError::Memory { used_mib: used_kib / 1024, max_mib });
        }
        Ok(())
    }

    /// Takes a sample of all counters.
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
            workers: self.workers.traffic(),
            requests: self.load.count(),
        })
    }

    /// Bytes that the discovery service has written, mean per dispatcher.
    #[must_use]
    pub fn list_bytes(&self) -> f64 {
        let total: u64 = (0..self.specs.len()).map(|number| self.registry.traffic(number).written).sum();
        total as f64 / self.specs.len() as f64
    }

    /// Traffic up to the end of the first list, for each dispatcher that was sent one.
    #[must_use]
    pub fn first_lists(&self) -> Vec<TrafficCount> {
        (0..self.specs.len()).filter_map(|number| self.registry.first_list(number)).collect()
    }

    /// Dispatchers that have not followed the discovery service to its new address.
    #[must_use]
    pub fn not_moved(&self) -> Vec<usize> {
        (0..self.specs.len()).filter(|number| !self.registry.has_moved(*number)).collect()
    }

    /// Metrics of each dispatcher; `None` if it does not respond.
    #[must_use]
    pub fn metrics(&self) -> Vec<Option<Metrics>> {
        self.specs.iter().map(|spec| fetch_metrics(spec.admin).ok()).collect()
    }

    /// Last lines of a dispatcher's log.
    pub fn last_log_lines(&mut self, dispatcher: usize) -> Vec<String> {
        self.dispatchers[dispatcher].process.last_log_lines()
    }
}

impl Drop for TrialEnvironment {
    fn drop(&mut self) {
        self.kill_dispatchers();
        self.registry.stop();
        self.workers.stop();
    }
}
