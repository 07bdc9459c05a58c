//! A run: the world of one scenario, its processes, what happens to them, and what came of it.

use crate::ledger::{Seen, Slack};
use crate::list::{self, Line};
pub use crate::net::claim_net;
use crate::net::{address, free_port, raise_limits};
use crate::node::{LIMITS, Node, Place};
use crate::process::PATIENCE;
use crate::report::Report;
use crate::scenario::{Event, Happens, Scenario};
use crate::time::{Micros, SECOND};
use crate::worker::Worker;
use crate::world::World;
use crate::{clients, crowd, list_service, worker_service};
use may::net::TcpListener;
use nix::sys::signal::Signal;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Words of stack for a coroutine.
const STACK: usize = 8 * 1024;

/// How a scenario is to be played.
pub struct Options {
    /// The program.
    pub program: PathBuf,
    /// For everything that is drawn.
    pub seed: u64,
    /// Say on standard error how far the run is.
    pub progress: bool,
    /// What the dispatchers find in their environment, beside what the platform tells.
    pub environment: Vec<(String, String)>,
}

/// A run that is under way; its processes end with it.
pub struct Run {
    world: Arc<World>,
    options: Options,
    known: String,
    processes: Vec<Option<Node>>,
    faults: Vec<String>,
    takes: (usize, usize),
    _folder: tempfile::TempDir,
    _claim: std::net::TcpListener,
}

/// Plays a scenario to its end.
pub fn play(scenario: Scenario, options: Options) -> Result<Report, String> {
    let mut run = Run::new(scenario, options).map_err(|e| e.to_string())?;
    run.play()?;
    Ok(run.report())
}

impl Run {
    /// Sets up the stand-ins; no process yet.
    pub fn new(scenario: Scenario, options: Options) -> std::io::Result<Run> {
        raise_limits();
        // One worker thread: of several, one may fire the time-out of a wait that another is still setting up, and panics
        // then ("Node value is None" and others, may 0.3.51), which takes the stand-ins of all runs along.
        may::config().set_workers(1).set_stack_size(STACK);
        let folder = tempfile::tempdir()?;
        let (n, workers) = (scenario.processes, scenario.workers_n);
        let (port, admin) = (free_port()?, free_port()?);
        let (net, claim) = claim_net()?;
        let mut places = Vec::new();
        let mut lists = Vec::new();
        for number in 0..n {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let other = TcpListener::bind("127.0.0.1:0")?;
            let moved = other.local_addr()?;
            let ip = address(net, number);
            let folder = folder.path().join(format!("n{number}"));
            let (listen, admin) = (SocketAddr::from((ip, port)), SocketAddr::from((ip, admin)));
            places.push(Place { number, listen, admin, list: listener.local_addr()?, moved, folder });
            lists.push((listener, other));
        }
        let hosts: Vec<TcpListener> =
            (0..workers).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<std::io::Result<_>>()?;
        let mut lines = Vec::new();
        for (w, listener) in hosts.iter().enumerate() {
            let endpoint = listener.local_addr()?.to_string();
            lines.push(Line { uid: Worker::uid(w), endpoint, zone: "a".into(), state: "ready", boot_ms: 0 });
        }
        let known = if scenario.known {
            list::object(1, true, &lines)
        } else {
            r#"{"rev":0,"all":true,"targets":[]}"#.into()
        };
        let world = Arc::new(World::new(scenario, options.seed, lines, places));
        for (number, (listener, other)) in lists.into_iter().enumerate() {
            let (world, again) = (world.clone(), world.clone());
            may::go!(move || list_service::serve(&world, number, &listener));
            may::go!(move || list_service::serve(&again, number, &other));
        }
        for (number, listener) in hosts.into_iter().enumerate() {
            let world = world.clone();
            may::go!(move || worker_service::serve(&world, number, &listener, 0));
        }
        let processes = (0..n).map(|_| None).collect();
        Ok(Run {
            world,
            options,
            known,
            processes,
            faults: Vec::new(),
            takes: (0, 0),
            _folder: folder,
            _claim: claim,
        })
    }

    /// Starts a dispatcher; the front admits it once it is ready.
    fn start(&mut self, number: usize) -> Result<(), String> {
        let world = &self.world;
        let seed = self.options.seed
            ^ ((number as u64 + 1) << 20)
            ^ world.lives[number].load(Ordering::SeqCst) as u64;
        world.list.forget(number);
        let place = &world.places[number];
        world.note(Seen::Started(number));
        let mut program = Command::new(&self.options.program);
        program.envs(self.options.environment.iter().map(|(name, value)| (name, value)));
        let process = Node::start(program, place, &world.scenario, LIMITS, seed, &self.known);
        self.processes[number] = Some(process.map_err(|e| format!("n{number}: {e}"))?);
        world.fates[number].starts();
        let life = world.lives[number].fetch_add(1, Ordering::SeqCst) + 1;
        let world = world.clone();
        may::go!(move || clients::front(&world, number, life));
        Ok(())
    }

    /// Plays all of it.
    pub fn play(&mut self) -> Result<(), String> {
        let scenario = self.world.scenario.clone();
        if scenario.all_cold {
            self.reboot(0..scenario.workers_n);
        }
        let start = |n: usize| (n as f64 / scenario.processes as f64 * scenario.start_over_s, Err(n));
        let mut plan: Vec<(f64, Result<Event, usize>)> = (0..scenario.processes).map(start).collect();
        plan.extend(scenario.events.iter().map(|e| (e.at_s, Ok(e.clone()))));
        plan.sort_by(|a, b| a.0.total_cmp(&b.0));
        let (world, seed) = (self.world.clone(), self.options.seed);
        may::go!(move || clients::come(&world, seed));
        (0..scenario.processes).for_each(|number| crowd::gather(&self.world, number));
        for (at, what) in plan {
            self.watch_until(at)?;
            match what {
                Err(number) => self.start(number)?,
                Ok(event) => self.happen(&event)?,
            }
        }
        self.watch_until(scenario.seconds)?;
        // What is under way may end: the longest patience, with a margin for a busy machine.
        let until = self.world.clock.now() + PATIENCE.as_micros() as Micros;
        while self.world.asking.load(Ordering::SeqCst) > 0 {
            if self.world.clock.now() > until {
                return Err("requests that did not end".into());
            }
            self.check()?;
            std::thread::sleep(Duration::from_millis(20));
        }
        Ok(())
    }

    fn watch_until(&mut self, at_s: f64) -> Result<(), String> {
        let at = (at_s * 1e6) as Micros;
        loop {
            self.check()?;
            let left = at - self.world.clock.now();
            if self.options.progress {
                let world = &self.world;
                let up = world.admitted_count();
                let (now, all) = (world.clock.now() / SECOND, world.scenario.seconds);
                let name = &world.scenario.name;
                eprint!("\r{name}: {now} of {all:.0} s, {up} of {} admitted \r", self.processes.len());
            }
            if left <= 0 {
                return Ok(());
            }
            std::thread::sleep(Duration::from_micros(left.min(SECOND / 5) as u64));
        }
    }

    /// Looks after the processes: one that ended unasked fails the run.
    fn check(&mut self) -> Result<(), String> {
        if let Some(why) = self.world.take_unable() {
            return Err(format!("the rig itself was not able to go on: {why}"));
        }
        for number in 0..self.processes.len() {
            let Some(node) = &mut self.processes[number] else { continue };
            if self.world.fates[number].is_ending() {
                continue;
            }
            if node.process.ended() {
                return Err(format!("n{number} ended unasked: {:?}", node.process.last()));
            }
            // Before its first instruction it still has the rig's own descriptors, and no memory.
            if let Some((memory, files)) = node.process.takes().filter(|t| t.0 > 0) {
                self.takes = (self.takes.0.max(memory), self.takes.1.max(files));
                if memory > LIMITS.memory_mb || files > LIMITS.sockets {
                    self.faults
                        .push(format!("n{number} is over its limits: {memory} MB, {files} descriptors"));
                }
            }
        }
        Ok(())
    }

    fn reboot(&self, workers: std::ops::Range<usize>) {
        let ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        workers.clone().for_each(|w| worker_service::boot(&self.world, w));
        self.world.list.change(|_, line| (line.state, line.boot_ms) = ("ready", ms), workers);
    }

    /// Each goes on as a new process elsewhere; what comes to its old address is closed at once.
    fn replace(&self, workers: std::ops::Range<usize>) -> std::io::Result<()> {
        let ends: Vec<(TcpListener, u32)> = workers
            .clone()
            .map(|w| Ok((TcpListener::bind("127.0.0.1:0")?, self.world.workers[w].moves())))
            .collect::<std::io::Result<_>>()?;
        let endpoints: Vec<String> =
            ends.iter().map(|e| Ok(e.0.local_addr()?.to_string())).collect::<std::io::Result<_>>()?;
        for (w, (listener, address)) in workers.clone().zip(ends) {
            let world = self.world.clone();
            may::go!(move || worker_service::serve(&world, w, &listener, address));
        }
        self.world
            .list
            .change(|w, line| line.endpoint.clone_from(&endpoints[w - workers.start]), workers.clone());
        self.reboot(workers);
        Ok(())
    }

    fn happen(&mut self, event: &Event) -> Result<(), String> {
        if event.what == Happens::EndWatches {
            self.world.list.end_watches();
            return Ok(());
        }
        if event.who.of_dispatchers() {
            return event.who.among(self.processes.len()).try_for_each(|d| self.befall(d, event.what));
        }
        let who = event.who.among(self.world.workers.len());
        match event.what {
            Happens::Kill => who.for_each(|w| self.world.workers[w].kill()),
            Happens::Start => self.reboot(who),
            Happens::Replace => self.replace(who).map_err(|e| e.to_string())?,
            Happens::Drain => self.world.list.change(|_, line| line.state = "draining", who),
            Happens::Gone => {
                who.clone().for_each(|w| self.world.workers[w].kill());
                self.world.list.change(|_, line| line.state = "gone", who);
            }
            other => return Err(format!("{other:?} befalls dispatchers only")),
        }
        Ok(())
    }

    fn befall(&mut self, number: usize, what: Happens) -> Result<(), String> {
        let world = self.world.clone();
        if what == Happens::Start {
            // At most one of a name: whoever is there ends first.
            world.kills(number);
            self.processes[number] = None;
            return self.start(number);
        }
        let Some(node) = &mut self.processes[number] else { return Ok(()) };
        match what {
            // It may have ended by itself since it was told to.
            Happens::Term | Happens::Reload if node.process.ended() => {}
            Happens::Term => {
                world.fates[number].told(world.clock.now());
                node.process.signal(Signal::SIGTERM)?;
            }
            Happens::Reload => node.process.signal(Signal::SIGHUP)?,
            Happens::Kill => {
                world.kills(number);
                if let Some(status) = node.process.exit_status().filter(|status| !status.success()) {
                    self.faults.push(format!("n{number} crashed: {status}: {:?}", node.process.last()));
                }
                node.process.kill();
            }
            Happens::Move => node.move_list()?,
            Happens::Stop => node.process.signal(Signal::SIGSTOP)?,
            Happens::Continue => {
                node.process.signal(Signal::SIGCONT)?;
                world.note(Seen::Resumed(number));
            }
            other => return Err(format!("{other:?} does not befall dispatchers")),
        }
        Ok(())
    }

    /// What came of it, by the ledger.
    pub fn report(self) -> Report {
        self.world.finish();
        let ledger = self.world.take_ledger();
        Report::of(
            &self.world.scenario,
            self.options.seed,
            &ledger,
            Slack::default(),
            self.faults.clone(),
            self.takes,
        )
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        self.world.finish();
        // All at once, then each is waited for.
        for node in self.processes.iter_mut().flatten() {
            let _ = node.process.signal(Signal::SIGKILL);
        }
        self.processes.clear();
    }
}

/// Ends all processes of a run and then this one, when it is told to end: a signal runs no destructor.
pub fn end_with_signals() -> std::io::Result<()> {
    use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
    let mut signals = signal_hook::iterator::Signals::new([SIGINT, SIGTERM, SIGHUP])?;
    std::thread::spawn(move || {
        let signal = signals.forever().next().unwrap_or(SIGTERM);
        crate::process::kill_all();
        std::process::exit(128 + signal);
    });
    Ok(())
}

/// The program beside the one that runs, as both are built into one folder.
pub fn program_beside(me: &Path) -> PathBuf {
    me.with_file_name("roselock")
}
