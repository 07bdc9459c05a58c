//! The platform: starts the program with the command of the deploy file, passes the clients' listener on, calls the
//! second address, and sends signals.

use crate::record::Record;
use std::fs;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// The settings of a small deployment with one dispatcher, with the names and figures of portal-norte.
const SETTINGS: &str = r#"{"fleetSize":1,"me":0,"zone":"burgos","zones":["burgos","leon","santander"],
"kinds":["node-fast","node-std"],"discovery":"subscribe","tickS":0.005,"weightKind":"nominal","countedBy":"request",
"overShareWorth":0.2,"domainType":"jobs","stage":0,"tiers":["portal-workers"],
"lanes":[{"name":"account-view","worth":1.0,"promiseS":0.2,"giveUpS":5.0,"effect":"safe","keyScope":"all","windowS":5.0,"lateValue":0.0,"streaming":false},
{"name":"plan-payment","worth":2.0,"promiseS":0.25,"giveUpS":10.0,"effect":"unsafe","keyScope":"all","windowS":5.0,"lateValue":0.0,"streaming":false}],
"parties":[{"name":"conecta","quotaPerS":200.0,"fraction":0.6},{"name":"airenorte","quotaPerS":100.0,"fraction":0.4}],
"clients":{"marksRetry":false},
"costs":{"connection":0.0,"crossZone":0.03,"discovery":0.02,"handshake":0.02,"lateFail":0.056,"probe":0.0015,"waste":0.05},
"limits":{"cancel":true,"connIdleS":15.0,"connectTimeoutS":0.2,"maxOpen":20000,"maxRetryAfterS":2.0,"maxStreams":1,
"mayProbe":true,"peers":false,"retryAfter":true,"secondCopies":false,"sendCap":4},
"familyInfo":{"classKind":[-1,-1],"classPriority":[0,1],"classStretch":[1.75,2.0],"tellsStart":true,"progressS":0,
"queueOrder":"fifo","reportX0":"free slots","reportX1":"free memory"},
"reporting":{"fields":["x0","queue","eps","x1"],"source":"answers"},
"safety":{"askWithinS":10.0,"coldS":24.0,"coldShare":0.15,"fallMultiple":4.0,"fallS":1.0,"graceToAnswerS":0.02,"stopSendingWithinS":0.5}}"#;

/// `safety.stopSendingWithinS` of these settings, and the 50 ms that each limit is longer on sockets.
pub const DRAIN_GRACE_S: f64 = 0.5 + 0.05;

/// The machine of one dispatcher: a folder that lasts, the clients' listener, and the processes.
pub struct Machine {
    pub listen: SocketAddr,
    listener: TcpListener,
    folder: PathBuf,
    discovery: SocketAddr,
    known: String,
    run: String,
    started: u32,
    record: Record,
}

/// A process of the dispatcher; it is killed when it is dropped.
pub struct Process {
    child: Child,
    pub admin: SocketAddr,
    name: String,
    record: Record,
}

/// The processes that were started, for the watchdog.
static PIDS: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case, and all processes that it started, if it runs for too long.
pub fn start_watchdog(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        eprintln!("the case ran for too long");
        for pid in PIDS.lock().unwrap().iter() {
            let _ = Command::new("/bin/sh").args(["-c", &format!("kill -KILL {pid}")]).status();
        }
        std::process::exit(2);
    });
}

fn free_address() -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    listener.local_addr().map_err(|error| error.to_string())
}

/// The command `run` of the deploy file.
fn run_command() -> Result<String, String> {
    let text = fs::read_to_string("deploy/balancer.toml").map_err(|error| error.to_string())?;
    let line = text.lines().find_map(|line| line.strip_prefix("run = \"")).ok_or("no run command")?;
    Ok(line.trim_end().trim_end_matches('"').to_owned())
}

impl Machine {
    pub fn new(record: &Record, listener: TcpListener) -> Result<Machine, String> {
        let listen = listener.local_addr().map_err(|error| error.to_string())?;
        let folder = std::env::temp_dir().join(format!("roselock-review-{}", std::process::id()));
        fs::create_dir_all(folder.join("tmp")).map_err(|error| error.to_string())?;
        Ok(Machine {
            listen,
            listener,
            folder,
            discovery: listen,
            known: String::new(),
            run: run_command()?,
            started: 0,
            record: record.clone(),
        })
    }

    pub fn set_discovery(&mut self, discovery: SocketAddr, known: String) {
        self.discovery = discovery;
        self.known = known;
    }

    fn write_config(&self) -> Result<PathBuf, String> {
        let path = self.folder.join("config.json");
        let text = format!(
            r#"{{"name":"n0","listen":"{}","discovery":"{}","seed":"8c1f30d27a5be9{:02x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{},"settings":{SETTINGS}}}"#,
            self.listen, self.discovery, self.started, self.known
        );
        fs::write(&path, text).map_err(|error| error.to_string())?;
        Ok(path)
    }

    /// Starts a process with the same addresses but a second address of its own. It inherits the clients' listener as
    /// descriptor 3.
    pub fn start(&mut self) -> Result<Process, String> {
        self.started += 1;
        let config = self.write_config()?;
        let admin = free_address()?;
        let name = format!("process {}", self.started);
        let log = fs::File::create(self.folder.join(format!("log-{}.txt", self.started)));
        let log = log.map_err(|error| error.to_string())?;
        let listener = self.listener.try_clone().map_err(|error| error.to_string())?;
        let script = format!("exec 3<&0 0</dev/null\n{}", self.run);
        let child = Command::new("/bin/sh")
            .args(["-c", &script])
            .env("NODE_CONFIG", config)
            .env("NODE_NAME", "n0")
            .env("NODE_FD", "3")
            .env("NODE_ADMIN", admin.to_string())
            .env("TMPDIR", self.folder.join("tmp"))
            .stdin(Stdio::from(OwnedFd::from(listener)))
            .stdout(Stdio::null())
            .stderr(Stdio::from(log))
            .spawn()
            .map_err(|error| error.to_string())?;
        PIDS.lock().unwrap().push(child.id());
        self.record.note(&format!("platform: started {name}, pid {}, second address {admin}", child.id()));
        let process = Process { child, admin, name, record: self.record.clone() };
        process.wait_until_ready(Duration::from_secs(20))?;
        Ok(process)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Process {
    fn wait_until_ready(&self, patience: Duration) -> Result<(), String> {
        let since = Instant::now();
        while since.elapsed() < patience {
            if self.ask("STATUS").is_ok_and(|answer| answer.starts_with("+OK")) {
                self.record.note(&format!("platform: {} says yes", self.name));
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(format!("{} was not ready", self.name))
    }

    /// One call to the second address, without a note.
    fn ask(&self, line: &str) -> Result<String, String> {
        let connect = TcpStream::connect_timeout(&self.admin, Duration::from_secs(1));
        let mut stream = connect.map_err(|error| error.to_string())?;
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        stream.write_all(format!("{line}\n").as_bytes()).map_err(|error| error.to_string())?;
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer).map_err(|error| error.to_string())?;
        Ok(answer.trim_end().to_owned())
    }

    /// One call to the second address.
    pub fn call(&self, line: &str) -> Result<String, String> {
        let answer = self.ask(line)?;
        self.record.note(&format!("operator: {} at {}: {answer}", line, self.name));
        Ok(answer)
    }

    pub fn signal(&self, signal: &str) {
        self.record.note(&format!("platform: SIG{signal} to {}", self.name));
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{signal} {}", self.child.id())]).status();
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits for its end after SIGTERM; SIGKILL comes after the time that the pages allow at the least.
    pub fn end(mut self) {
        self.signal("TERM");
        let since = Instant::now();
        while since.elapsed() < Duration::from_millis(3700) {
            if self.has_ended() {
                self.record.note(&format!("platform: {} has ended", self.name));
                return;
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        self.record.note(&format!("platform: SIGKILL to {}", self.name));
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        PIDS.lock().unwrap().retain(|pid| *pid != self.child.id());
    }
}
