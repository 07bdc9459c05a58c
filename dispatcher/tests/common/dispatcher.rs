//! A dispatcher as a process.

use super::faults::Faults;
use super::{Admin, PATIENCE, Peer, bind, connect};
use roselock_rig::process::{Process, Signal};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A dispatcher's process, killed when it is dropped.
pub struct Dispatcher {
    /// The process.
    pub process: Process,
    /// Its configuration file.
    pub config: PathBuf,
    /// The configuration file of the Gearman front, if it is on.
    pub gearman_file: Option<PathBuf>,
    /// The address of the HTTP front.
    pub http: SocketAddr,
    /// The address of the Gearman front, if it is on.
    pub gearman: Option<SocketAddr>,
    /// The admin address, if it is on.
    pub admin: Option<SocketAddr>,
    /// Its `$TMPDIR`.
    pub tmp: PathBuf,
}

/// How a test starts a dispatcher.
pub struct Start<'a> {
    /// The memory limit, in MB.
    pub memory: usize,
    /// The limit of descriptors.
    pub sockets: usize,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The settings, as JSON.
    pub settings: &'a str,
    /// The cached endpoint list, as JSON.
    pub known: &'a str,
    /// The functions of the Gearman front, as TOML, if it is on.
    pub gearman: Option<&'a str>,
    /// The operators' configuration, as TOML.
    pub operator: Option<&'a str>,
    /// The address of the IPFIX collector, if it is on.
    pub collector: Option<SocketAddr>,
    /// Whether the admin address is on.
    pub admin: bool,
    /// A `$TMPDIR` shared with another process; without, one of its own.
    pub tmp: Option<PathBuf>,
    /// The inherited listener of the HTTP front, passed as descriptor 3.
    pub inherit: Option<TcpListener>,
    /// Injected faults.
    pub faults: Option<Faults>,
}

impl<'a> Start<'a> {
    /// One with the common limits and nothing optional.
    pub fn new(discovery: SocketAddr, settings: &'a str, known: &'a str) -> Start<'a> {
        Start {
            memory: 192,
            sockets: 1024,
            discovery,
            settings,
            known,
            gearman: None,
            operator: None,
            collector: None,
            admin: false,
            tmp: None,
            inherit: None,
            faults: None,
        }
    }
}

impl Start<'_> {
    /// The configuration of the dispatcher, as JSON.
    fn config(&self) -> String {
        let Start { memory, sockets, discovery, known, settings, .. } = self;
        let listen = match &self.inherit {
            Some(listener) => listener.local_addr().expect("an address").to_string(),
            None => "127.0.0.1:0".to_owned(),
        };
        let admin = if self.admin { r#""admin":"127.0.0.1:0","# } else { "" };
        format!(
            r#"{{"name":"n0","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be964",{admin}
            "limits":{{"cores":1.0,"memory_mb":{memory},"sockets":{sockets}}},"known":{known},"settings":{settings}}}"#
        )
    }
}

/// The files of one dispatcher, with names that no other dispatcher of the tests has. Ports don't make unique names: a port
/// that has become free may be another test's.
struct Files {
    folder: PathBuf,
    number: usize,
}

impl Files {
    fn new() -> Files {
        static STARTED: AtomicUsize = AtomicUsize::new(0);
        Files {
            folder: PathBuf::from(env!("CARGO_TARGET_TMPDIR")),
            number: STARTED.fetch_add(1, Ordering::Relaxed),
        }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{}-{}-{name}", std::process::id(), self.number))
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path(name);
        std::fs::write(&path, text).expect("a file");
        path
    }

    fn folder(&self, name: &str) -> PathBuf {
        let path = self.path(name);
        std::fs::create_dir_all(&path).expect("a folder");
        path
    }
}

impl Dispatcher {
    /// Starts a dispatcher, with the Gearman front if functions are given.
    pub fn start(discovery: SocketAddr, settings: &str, known: &str, gearman: Option<&str>) -> Dispatcher {
        Dispatcher::start_with(discovery, settings, known, gearman, None)
    }

    /// The same, with an IPFIX collector if its address is given.
    pub fn start_with(
        discovery: SocketAddr,
        settings: &str,
        known: &str,
        gearman: Option<&str>,
        collector: Option<SocketAddr>,
    ) -> Dispatcher {
        Dispatcher::start_within((192, 1024), discovery, settings, known, gearman, collector)
    }

    /// The same, with limits: memory in MB, and descriptors.
    pub fn start_within(
        (memory, sockets): (usize, usize),
        discovery: SocketAddr,
        settings: &str,
        known: &str,
        gearman: Option<&str>,
        collector: Option<SocketAddr>,
    ) -> Dispatcher {
        let start = Start { memory, sockets, gearman, collector, ..Start::new(discovery, settings, known) };
        Dispatcher::launch(start)
    }

    /// Starts a dispatcher as described, and waits until its addresses are open.
    pub fn launch(start: Start) -> Dispatcher {
        let files = Files::new();
        let mut command = Command::new(env!("CARGO_BIN_EXE_roselock"));
        let config = files.write("config.json", &start.config());
        command.arg("serve").arg("--config").arg(&config);
        // A folder of its own: files of another process are not read.
        let tmp = start.tmp.unwrap_or_else(|| files.folder("tmp"));
        command.env("TMPDIR", &tmp);
        if let Some(listener) = start.inherit {
            use command_fds::{CommandFdExt, FdMapping};
            let mapping = FdMapping { parent_fd: listener.into(), child_fd: 3 };
            command.fd_mappings(vec![mapping]).expect("descriptor 3");
            command.env("NODE_FD", "3");
        }
        let gearman = start.gearman;
        let gearman_file = gearman.map(|functions| {
            let path = files.write("gearman.toml", &format!("listen = \"127.0.0.1:0\"\n{functions}"));
            command.arg("--gearman").arg(&path);
            path
        });
        if let Some(text) = start.operator {
            command.arg("--operator").arg(files.write("operator.toml", text));
        }
        if let Some(collector) = start.collector {
            let text = format!("collector = \"{collector}\"\nobservation_domain = 7\n");
            command.arg("--ipfix").arg(files.write("ipfix.toml", &text));
        }
        if let Some(faults) = &start.faults {
            faults.apply(&mut command);
        }
        let process = Process::spawn("n0", command).expect("the dispatcher starts");
        let nowhere = bind().local_addr().expect("an address");
        let mut started =
            Dispatcher { process, config, gearman_file, http: nowhere, gearman: None, admin: None, tmp };
        if gearman.is_some() {
            started.gearman = Some(started.logged("Gearman on "));
        }
        if start.admin {
            started.admin = Some(started.logged("admin on "));
        }
        started.http = started.logged("serving on ");
        started
    }

    /// Makes one call at the admin address on a new connection: the lines of its answer, up to `.` for METRICS.
    pub fn call(&self, line: &str) -> Vec<String> {
        let mut admin = Admin::new(self.admin.expect("the admin address is on"));
        admin.call(line)
    }

    fn logged(&mut self, what: &str) -> SocketAddr {
        self.logs(what).parse().expect("an address")
    }

    /// Waits for a log line with this text; what follows the text.
    pub fn logs(&mut self, what: &str) -> String {
        after(&self.process.logs(what).expect("it is logged"), what)
    }

    /// The same over the complete log since the start.
    pub fn has_logged(&mut self, what: &str) -> String {
        after(&self.process.has_logged(what).expect("it is logged"), what)
    }

    fn signal(&self, signal: Signal) {
        self.process.signal(signal).expect("it is sent");
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Replaces a text in its configuration file and sends SIGHUP.
    pub fn reload(&self, old: &str, new: &str) {
        let text = std::fs::read_to_string(&self.config).expect("its configuration");
        std::fs::write(&self.config, text.replace(old, new)).expect("it is written");
        self.signal(Signal::SIGHUP);
    }

    /// Rewrites the configuration file of the Gearman front and sends SIGHUP.
    pub fn reload_gearman(&self, functions: &str) {
        let path = self.gearman_file.as_ref().expect("the front is on");
        std::fs::write(path, format!("listen = \"127.0.0.1:0\"\n{functions}")).expect("it is written");
        self.signal(Signal::SIGHUP);
    }

    /// Sends a client's request on a new connection, without waiting for the answer; `budget` in seconds.
    pub fn ask(&self, id: &str, class: &str, budget: f64) -> Peer {
        let mut peer = Peer::new(connect(self.http));
        peer.ask(id, class, budget);
        peer
    }

    /// Sends a host's callback; the status of its answer.
    pub fn call_back(&self, id: &str, from: &str, rest: &str) -> u16 {
        let mut peer = Peer::new(connect(self.http));
        let body = format!(r#"{{"id":"{id}","from":"{from}",{rest}}}"#);
        let length = body.len();
        peer.write(&format!("POST /v1/job-events HTTP/1.1\r\nContent-Length: {length}\r\n\r\n{body}"));
        peer.read().expect("an answer").status()
    }
}

/// What follows this text in a line.
fn after(line: &str, words: &str) -> String {
    line.split_once(words).map_or("", |(_, rest)| rest.trim()).to_owned()
}

/// Waits until the readiness check of a dispatcher succeeds.
pub fn until_ready(dispatcher: &Dispatcher) {
    let began = std::time::Instant::now();
    let mut front = Peer::new(connect(dispatcher.http));
    loop {
        front.write("GET /health/ready HTTP/1.1\r\n\r\n");
        if front.read().expect("an answer").status() == 200 {
            return;
        }
        assert!(began.elapsed() < PATIENCE, "not ready in time");
    }
}
