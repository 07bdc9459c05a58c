//! A run: the world of one scenario, its processes, what happens to them, and what came of it.

use crate::http::Connection;
use crate::ledger::{Ledger, Seen, Slack};
use crate::links::{Harm, Links, Party};
use crate::list::{self, Line, List};
use crate::node::{MEMORY_MB, Node, Place, SOCKETS};
use crate::process::PATIENCE;
use crate::report::Report;
use crate::scenario::{Event, Happens, Scenario};
use crate::worker::{self, Worker};
use crate::{Clock, Micros, SECOND, clients};
use may::net::TcpListener;
use nix::sys::signal::Signal;
use oorandom::Rand64;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Words of stack for a coroutine.
const STACK: usize = 4 * 1024;
/// How often a worker's call is tried, and how long it waits between.
const CALLS: usize = 10;
const CALL_PAUSE: Micros = SECOND / 4;

/// What all stand-ins of a run share.
pub struct World {
    /// Its clock.
    pub clock: Clock,
    /// What is played.
    pub scenario: Scenario,
    /// The list service.
    pub list: List,
    /// The workers.
    pub workers: Vec<Worker>,
    /// Where the dispatchers are.
    pub places: Vec<Place>,
    /// Idle connections of clients, by dispatcher.
    pub pools: Vec<Mutex<Vec<Connection>>>,
    calls: Vec<Mutex<Vec<Connection>>>,
    /// How often each dispatcher was started; who starts again is a new one to the front.
    pub lives: Vec<AtomicUsize>,
    admitted: Vec<AtomicBool>,
    ended_by_rig: Vec<AtomicBool>,
    links: Links,
    ledger: Mutex<Ledger>,
    /// What links draw.
    random: Mutex<Rand64>,
    end: AtomicBool,
    /// What the rig itself could not do: then no figure of the run is worth anything.
    unable: Mutex<Option<String>>,
    /// Requests under way.
    pub asking: AtomicUsize,
    /// Ids given to requests.
    pub ids: AtomicUsize,
}

impl World {
    /// Writes something down.
    pub fn note(&self, seen: Seen) {
        let mut ledger = self.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        // Within the lock, so that the ledger is in the order of time.
        ledger.note(self.clock.now(), seen);
    }
    /// What befalls words from one party to another now; late ones are waited for.
    pub fn harm(&self, from: Party, to: Party) -> Option<Harm> {
        let now = self.clock.now();
        let draw = self.random.lock().unwrap_or_else(PoisonError::into_inner).rand_float();
        let (harm, late) = self.links.harm(from, to, now, draw);
        if harm.is_none() && late > 0 {
            self.clock.sleep_until(now + late);
        }
        harm
    }
    /// What a stand-in gets of its own side of the system: a failure that is the rig's, such as too few descriptors or
    /// ports, ends the run.
    pub fn own<T>(&self, got: std::io::Result<T>) -> Option<T> {
        use nix::errno::Errno::{self, EADDRINUSE, EADDRNOTAVAIL, EMFILE, ENFILE, ENOBUFS};
        let ours = |e: &std::io::Error| {
            let number = Errno::from_raw(e.raw_os_error().unwrap_or(0));
            matches!(number, EMFILE | ENFILE | ENOBUFS | EADDRINUSE | EADDRNOTAVAIL)
        };
        got.inspect_err(|e| {
            if ours(e) {
                *self.unable.lock().unwrap_or_else(PoisonError::into_inner) = Some(e.to_string());
                self.clock.sleep_until(self.clock.now() + SECOND / 100);
            }
        })
        .ok()
    }
    /// Whether the run is over.
    pub fn ended(&self) -> bool {
        self.end.load(Ordering::SeqCst)
    }
    /// The dispatcher to which a client gave a request, by its id.
    pub fn dispatcher_of(id: &str) -> Option<usize> {
        id.strip_prefix('d')?.split_once('-')?.0.parse().ok()
    }
    /// One of those admitted.
    pub fn admitted(&self, draw: f64) -> Option<usize> {
        let of: Vec<usize> =
            (0..self.admitted.len()).filter(|d| self.admitted[*d].load(Ordering::SeqCst)).collect();
        of.get((draw * of.len() as f64) as usize).copied()
    }
    /// Admits a dispatcher.
    pub fn admit(&self, dispatcher: usize) {
        self.admitted[dispatcher].store(true, Ordering::SeqCst);
    }
    /// Whether the rig has ended it.
    pub fn killed(&self, dispatcher: usize) -> bool {
        self.ended_by_rig[dispatcher].load(Ordering::SeqCst)
    }
    /// A worker tells a job's dispatcher of it, again until it is heard.
    pub fn call_back(&self, number: usize, id: &str, body: &str) {
        let Some(dispatcher) = World::dispatcher_of(id).filter(|d| *d < self.places.len()) else { return };
        for _ in 0..CALLS {
            let heard = match self.harm(Party::Worker(number), Party::Dispatcher(dispatcher)) {
                Some(_) => false,
                None => self.tell(dispatcher, body).unwrap_or(false),
            };
            if heard || self.ended() {
                return;
            }
            self.clock.sleep_until(self.clock.now() + CALL_PAUSE);
        }
    }
    fn tell(&self, dispatcher: usize, body: &str) -> std::io::Result<bool> {
        let pool = &self.calls[dispatcher];
        let kept = pool.lock().ok().and_then(|mut p| p.pop());
        let opened = || Connection::open(self.places[dispatcher].listen, Duration::from_secs(1));
        let Some(mut connection) = self.own(kept.map_or_else(opened, Ok)) else { return Ok(false) };
        connection.patience(Duration::from_secs(1))?;
        let length = body.len();
        connection.write(&format!(
            "POST /v1/job-events HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n{body}"
        ))?;
        let heard = connection.read()?.is_some_and(|a| matches!(a.status(), 200 | 204));
        if let Some(mut pool) = pool.lock().ok().filter(|p| heard && p.len() < 8) {
            pool.push(connection);
        }
        Ok(heard)
    }
}

/// How a scenario is to be played.
pub struct Options {
    /// The program.
    pub program: PathBuf,
    /// For everything that is drawn.
    pub seed: u64,
    /// Say on standard error how far the run is.
    pub progress: bool,
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

/// Nets of 127/8 for runs, and where each is claimed: at an address of it that no dispatcher has.
const NETS: std::ops::Range<u8> = 20..220;
const CLAIM: ([u8; 2], u16) = ([255, 254], 20_999);

/// A net that no other run on this machine has, in this process or another, for as long as the claim is held.
pub fn claim_net() -> std::io::Result<(u8, std::net::TcpListener)> {
    let claim = |net: u8| {
        let ([c, d], port) = CLAIM;
        std::net::TcpListener::bind((Ipv4Addr::new(127, net, c, d), port)).map(|claim| (net, claim))
    };
    let none = || std::io::Error::other("all nets of 127/8 for runs are taken");
    NETS.into_iter().find_map(|net| claim(net).ok()).ok_or_else(none)
}

fn free_port() -> std::io::Result<u16> {
    Ok(std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?.port())
}

/// Raises the bound of descriptors as far as it goes.
fn raise_limits() {
    use nix::sys::resource::{Resource, getrlimit, setrlimit};
    if let Ok((_, hard)) = getrlimit(Resource::RLIMIT_NOFILE) {
        let _ = setrlimit(Resource::RLIMIT_NOFILE, hard, hard);
    }
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
        may::config().set_stack_size(STACK);
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
            let ip = Ipv4Addr::new(127, net, (number / 250) as u8, (number % 250) as u8 + 1);
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
        let world = Arc::new(World {
            clock: Clock::start(),
            list: List::new(lines, n),
            workers: (0..workers).map(Worker::new).collect(),
            pools: places.iter().map(|_| Mutex::default()).collect(),
            calls: places.iter().map(|_| Mutex::default()).collect(),
            lives: places.iter().map(|_| AtomicUsize::new(0)).collect(),
            admitted: places.iter().map(|_| AtomicBool::new(false)).collect(),
            ended_by_rig: places.iter().map(|_| AtomicBool::new(false)).collect(),
            links: Links(scenario.cuts.clone()),
            ledger: Mutex::default(),
            random: Mutex::new(Rand64::new(u128::from(options.seed))),
            end: AtomicBool::new(false),
            unable: Mutex::default(),
            asking: AtomicUsize::new(0),
            ids: AtomicUsize::new(0),
            places,
            scenario,
        });
        for (number, (listener, other)) in lists.into_iter().enumerate() {
            let (world, again) = (world.clone(), world.clone());
            may::go!(move || list::serve(&world, number, &listener));
            may::go!(move || list::serve(&again, number, &other));
        }
        for (number, listener) in hosts.into_iter().enumerate() {
            let world = world.clone();
            may::go!(move || worker::serve(&world, number, &listener, 0));
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
        let process = Node::start(&self.options.program, place, &world.scenario, seed, &self.known);
        self.processes[number] = Some(process.map_err(|e| format!("n{number}: {e}"))?);
        world.ended_by_rig[number].store(false, Ordering::SeqCst);
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
                let up = world.admitted.iter().filter(|a| a.load(Ordering::SeqCst)).count();
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
        if let Some(why) = self.world.unable.lock().unwrap_or_else(PoisonError::into_inner).take() {
            return Err(format!("the rig itself was not able to go on: {why}"));
        }
        for number in 0..self.processes.len() {
            let Some(node) = &mut self.processes[number] else { continue };
            if self.world.killed(number) {
                continue;
            }
            if node.process.ended() {
                return Err(format!("n{number} ended unasked: {:?}", node.process.last()));
            }
            // Before its first instruction it still has the rig's own descriptors, and no memory.
            if let Some((memory, files)) = node.process.takes().filter(|t| t.0 > 0) {
                self.takes = (self.takes.0.max(memory), self.takes.1.max(files));
                if memory > MEMORY_MB || files > SOCKETS {
                    self.faults
                        .push(format!("n{number} is over its limits: {memory} MB, {files} descriptors"));
                }
            }
        }
        Ok(())
    }

    fn reboot(&self, workers: std::ops::Range<usize>) {
        let ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64);
        workers.clone().for_each(|w| self.world.workers[w].boot(&self.world));
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
            may::go!(move || worker::serve(&world, w, &listener, address));
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
            self.processes[number] = None;
            return self.start(number);
        }
        let Some(node) = &mut self.processes[number] else { return Ok(()) };
        match what {
            Happens::Kill | Happens::Term => {
                world.ended_by_rig[number].store(true, Ordering::SeqCst);
                world.admitted[number].store(false, Ordering::SeqCst);
                if what == Happens::Term {
                    return node.process.signal(Signal::SIGTERM);
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
        self.world.end.store(true, Ordering::SeqCst);
        let ledger = std::mem::take(&mut *self.world.ledger.lock().unwrap_or_else(PoisonError::into_inner));
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
        self.world.end.store(true, Ordering::SeqCst);
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
