//! Dispatchers as processes, ended with whoever holds them.

use crate::scenario::Scenario;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::collections::BTreeSet;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::time::{Duration, Instant};

/// How long an event may take to come.
pub const PATIENCE: Duration = Duration::from_secs(30);
/// What each may take, in MB, and descriptors.
pub const MEMORY_MB: usize = 64;
/// See [`MEMORY_MB`].
pub const SOCKETS: usize = 512;

/// Where a dispatcher is, and what it is told.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its number.
    pub number: usize,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Its admin address.
    pub admin: SocketAddr,
    /// Its list service.
    pub list: SocketAddr,
    /// Where the list service is after it has moved.
    pub moved: SocketAddr,
    /// Its own folder.
    pub folder: PathBuf,
}

/// The ids of those that run.
static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

fn running() -> std::sync::MutexGuard<'static, BTreeSet<u32>> {
    RUNNING.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Ends all that run, by their ids; none can be started after it.
pub fn kill_all() {
    let running = running();
    running.iter().for_each(|id| _ = kill(Pid::from_raw(*id as i32), Signal::SIGKILL));
    // Who still starts one waits here until the process ends.
    std::mem::forget(running);
}

/// A dispatcher that runs.
pub struct Process {
    child: Child,
    /// Where it is.
    pub place: Place,
    log: Receiver<String>,
    seen: Vec<String>,
    stopped: bool,
}

impl Process {
    /// Starts one; `known` is the list that it comes up with.
    pub fn start(
        program: &Path,
        place: &Place,
        scenario: &Scenario,
        seed: u64,
        known: &str,
    ) -> std::io::Result<Process> {
        let tmp = place.folder.join("tmp");
        std::fs::create_dir_all(&tmp)?;
        let known: serde_json::Value = serde_json::from_str(known)?;
        let config = serde_json::json!({
            "name": format!("n{}", place.number), "listen": place.listen.to_string(), "admin": place.admin.to_string(),
            "discovery": place.list.to_string(), "seed": format!("{seed:016x}"),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}, "known": known,
            "settings": scenario.settings(place.number),
        });
        let path = place.folder.join("config.json");
        std::fs::write(&path, config.to_string())?;
        let mut command = Command::new(program);
        command.arg("serve").arg("--config").arg(&path).env("TMPDIR", &tmp);
        if let Some(operator) = &scenario.operator {
            let path = place.folder.join("operator.toml");
            std::fs::write(&path, operator)?;
            command.arg("--operator").arg(path);
        }
        let mut ids = running();
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).spawn()?;
        ids.insert(child.id());
        drop(ids);
        let (tell, log) = channel();
        let stderr = child.stderr.take().map(BufReader::new);
        let reader = std::thread::Builder::new().stack_size(64 * 1024);
        reader.spawn(move || {
            stderr.into_iter().flat_map(|s| s.lines().map_while(Result::ok)).for_each(|l| _ = tell.send(l))
        })?;
        Ok(Process { child, place: place.clone(), log, seen: Vec::new(), stopped: false })
    }

    /// Waits until it logs these words; the line.
    pub fn logs(&mut self, words: &str) -> Result<String, String> {
        let until = Instant::now() + PATIENCE;
        loop {
            match self.log.recv_timeout(until.saturating_duration_since(Instant::now())) {
                Ok(line) => {
                    self.seen.push(line.clone());
                    if line.contains(words) {
                        return Ok(line);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {
                    return Err(format!("n{}: {words:?} was not logged", self.place.number));
                }
                Err(RecvTimeoutError::Disconnected) => {
                    let last = self.last();
                    return Err(format!("n{}: ended: {last:?}", self.place.number));
                }
            }
        }
    }

    /// The last lines of its log.
    pub fn last(&mut self) -> Vec<String> {
        self.seen.extend(self.log.try_iter());
        let from = self.seen.len().saturating_sub(5);
        self.seen.split_off(from)
    }

    /// Sends it a signal, by its id.
    pub fn signal(&mut self, signal: Signal) -> Result<(), String> {
        self.stopped = match signal {
            Signal::SIGSTOP => true,
            Signal::SIGCONT => false,
            _ => self.stopped,
        };
        kill(Pid::from_raw(self.child.id() as i32), signal)
            .map_err(|e| format!("n{}: {signal}: {e}", self.place.number))
    }

    /// Writes the list service's other address into its configuration, and has it read again.
    pub fn move_list(&mut self) -> Result<(), String> {
        let path = self.place.folder.join("config.json");
        let place = &self.place;
        let moved = std::fs::read_to_string(&path)
            .map(|text| text.replace(&format!("\"{}\"", place.list), &format!("\"{}\"", place.moved)))
            .and_then(|text| std::fs::write(&path, text));
        moved.map_err(|e| format!("n{}: {e}", place.number))?;
        self.signal(Signal::SIGHUP)
    }

    /// Whether it has ended.
    pub fn ended(&mut self) -> bool {
        // Waited for within the lock: once it was, another process may have its id.
        let mut ids = running();
        let ended = matches!(self.child.try_wait(), Ok(Some(_)) | Err(_));
        if ended {
            ids.remove(&self.child.id());
        }
        ended
    }

    /// Its memory in MB and its descriptors, as the system counts them.
    pub fn takes(&self) -> Option<(usize, usize)> {
        let proc = PathBuf::from(format!("/proc/{}", self.child.id()));
        let status = std::fs::read_to_string(proc.join("status")).ok()?;
        let rss = status
            .lines()
            .find_map(|l| l.strip_prefix("VmRSS:"))?
            .split_whitespace()
            .next()?
            .parse::<usize>()
            .ok()?;
        Some((rss / 1024, std::fs::read_dir(proc.join("fd")).ok()?.count()))
    }

    /// Ends it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        // No other process can have its id before it was waited for.
        running().remove(&self.child.id());
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
