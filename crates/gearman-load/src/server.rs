//! Starts the measured programs as child processes on free loopback ports.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// The dispatcher to measure.
pub struct Program {
    /// The path of the executable.
    pub roselock: PathBuf,
    /// The path of its configuration, which is used with other addresses and limits.
    pub config: PathBuf,
}

/// A child process that serves Gearman; killed on drop.
pub struct Server {
    child: Child,
    /// The address at which it listens.
    pub at: SocketAddr,
    _files: Option<tempfile::TempDir>,
    _discovery: Option<TcpListener>,
}

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads the address that a child process logs after a text.
fn address_after(child: &mut Child, text: &str) -> SocketAddr {
    let log = child.stderr.take().expect("piped");
    let mut lines = BufReader::new(log).lines();
    let at = lines
        .by_ref()
        .map_while(Result::ok)
        .find_map(|line| Some(line.split_once(text)?.1.trim().to_owned()));
    // Drains the log, or the child would block once the pipe is full.
    std::thread::spawn(move || lines.for_each(drop));
    at.and_then(|at| at.parse().ok()).expect("the program logs its address")
}

impl Program {
    /// Starts the dispatcher. `gearman` is the section `[gearman]` of the operator file without `listen`.
    pub fn start(&self, gearman: &str) -> Server {
        let files = tempfile::tempdir().expect("a folder");
        let discovery = TcpListener::bind("127.0.0.1:0").expect("a port");
        let config = std::fs::read_to_string(&self.config).expect("the configuration");
        // Hundreds of workers need more sockets than the example allows.
        let config = config
            .replace("\"sockets\": 1024", "\"sockets\": 8192")
            .replace("127.0.0.1:7070", "127.0.0.1:0")
            .replace("127.0.0.1:8500", &discovery.local_addr().expect("bound").to_string());
        let json = files.path().join("config.json");
        let toml = files.path().join("operator.toml");
        std::fs::write(&json, config).expect("written");
        std::fs::write(&toml, format!("[gearman]\nlisten = \"127.0.0.1:0\"\n{gearman}")).expect("written");
        let mut child = Command::new(&self.roselock)
            .arg("serve")
            .arg("--config")
            .arg(json)
            .arg("--operator")
            .arg(toml)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let at = address_after(&mut child, "Gearman on ");
        Server { child, at, _files: Some(files), _discovery: Some(discovery) }
    }
}

/// Starts the bare relay.
pub fn start_relay() -> Server {
    let program = std::env::current_exe().expect("this program");
    let mut child =
        Command::new(program).arg("relay").stderr(Stdio::piped()).spawn().expect("the relay starts");
    let at = address_after(&mut child, "relaying on ");
    Server { child, at, _files: None, _discovery: None }
}

impl Server {
    /// The resident memory of the process, in bytes.
    pub fn resident_bytes(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        kibibytes(&status, "VmRSS:") << 10
    }
}

/// Describes the processors and the memory of the machine.
pub fn machine_description() -> String {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let memory = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let gibibytes = kibibytes(&memory, "MemTotal:") >> 20;
    format!("Machine: {cores} cores, {gibibytes} GiB of memory; clients, workers and server share them.")
}

/// The value of the line `KEY N kB` in a file from `/proc`; 0 if it is missing.
fn kibibytes(text: &str, key: &str) -> usize {
    let value = text.lines().find_map(|line| line.strip_prefix(key)).unwrap_or_default();
    value.trim().trim_end_matches(" kB").trim().parse().unwrap_or(0)
}
