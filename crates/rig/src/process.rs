//! Processes that end with whoever holds them, and what they log.

pub use nix::sys::signal::Signal;

use nix::errno::Errno;
use nix::sys::signal::kill;
use nix::unistd::Pid;
use parking_lot::Mutex;
use serde::Serialize;
use std::collections::BTreeSet;
use std::io::{self, BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};
use thiserror::Error;

/// How long an event may take to come.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(30);
/// Stack of the thread that reads a log, in bytes.
const LOG_READER_STACK_BYTES: usize = 64 * 1024;
/// How often it is checked whether a process has ended.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// Lines of a log that an error shows.
const LAST_LOG_LINES: usize = 5;

/// The ids of the processes that run.
static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// Kills all that run, by their ids; none can be started after it.
pub fn kill_all() {
    let running = RUNNING.lock();
    for id in running.iter() {
        let _ = kill(Pid::from_raw(*id as i32), Signal::SIGKILL);
    }
    // A thread that still starts one waits for the lock until this process ends.
    std::mem::forget(running);
}

/// What went wrong with a process.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// It did not log what was expected in time.
    #[error("{name}: {words:?} was not logged")]
    NotLogged {
        /// Its name.
        name: String,
        /// What was expected.
        words: String,
    },
    /// It ended before it logged what was expected.
    #[error("{name}: {words:?} was not logged before it ended: {last_lines:?}")]
    EndedBeforeLog {
        /// Its name.
        name: String,
        /// What was expected.
        words: String,
        /// The last lines of its log.
        last_lines: Vec<String>,
    },
    /// A signal could not be sent to it.
    #[error("{name}: {signal}")]
    Signal {
        /// Its name.
        name: String,
        /// The signal.
        signal: Signal,
        /// Why not.
        source: Errno,
    },
    /// It did not end in time.
    #[error("{name} did not end")]
    StillRuns {
        /// Its name.
        name: String,
    },
    /// It could not be waited for.
    #[error("{name}")]
    Wait {
        /// Its name.
        name: String,
        /// Why not.
        source: io::Error,
    },
}

/// What a process uses, as the system counts it. In JSON it is the pair of both numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(into = "(usize, usize)")]
pub struct ResourceUsage {
    /// Resident memory in MB.
    pub memory_mb: usize,
    /// Open descriptors.
    pub descriptors: usize,
}

impl From<ResourceUsage> for (usize, usize) {
    fn from(usage: ResourceUsage) -> (usize, usize) {
        (usage.memory_mb, usage.descriptors)
    }
}

impl ResourceUsage {
    /// The larger one of each number.
    #[must_use]
    pub fn max(self, other: ResourceUsage) -> ResourceUsage {
        ResourceUsage {
            memory_mb: self.memory_mb.max(other.memory_mb),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}

/// A process that runs; it is killed, by its id, when this is dropped.
pub struct Process {
    child: Child,
    name: String,
    log: Mutex<Receiver<String>>,
    logged: Vec<String>,
}

impl Process {
    /// Starts one. What it writes to standard error is its log; the other streams are closed to it.
    ///
    /// # Errors
    ///
    /// The system does not start the program, or the thread that reads the log.
    pub fn spawn(name: &str, mut command: Command) -> io::Result<Process> {
        let mut running = RUNNING.lock();
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).spawn()?;
        running.insert(child.id());
        drop(running);
        let (sender, log) = channel();
        if let Some(stderr) = child.stderr.take() {
            let reader = std::thread::Builder::new().stack_size(LOG_READER_STACK_BYTES);
            reader.spawn(move || read_log(stderr, &sender))?;
        }
        Ok(Process { child, name: name.to_owned(), log: Mutex::new(log), logged: Vec::new() })
    }

    /// Its id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits until it logs these words; the line.
    ///
    /// # Errors
    ///
    /// It does not log them within [`EVENT_TIMEOUT`], or ends before.
    pub fn logs(&mut self, words: &str) -> Result<String, ProcessError> {
        let deadline = Instant::now() + EVENT_TIMEOUT;
        loop {
            let time_left = deadline.saturating_duration_since(Instant::now());
            match self.log.get_mut().recv_timeout(time_left) {
                Ok(line) => {
                    self.logged.push(line.clone());
                    if line.contains(words) {
                        return Ok(line);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {
                    let name = self.name.clone();
                    return Err(ProcessError::NotLogged { name, words: words.to_owned() });
                }
                Err(RecvTimeoutError::Disconnected) => {
                    return Err(ProcessError::EndedBeforeLog {
                        name: self.name.clone(),
                        words: words.to_owned(),
                        last_lines: self.last_log_lines(),
                    });
                }
            }
        }
    }

    /// Waits until it logs these words, unless it has logged them before; the line.
    ///
    /// # Errors
    ///
    /// As [`Process::logs`].
    pub fn has_logged(&mut self, words: &str) -> Result<String, ProcessError> {
        match self.logged.iter().find(|line| line.contains(words)) {
            Some(line) => Ok(line.clone()),
            None => self.logs(words),
        }
    }

    /// The last lines of its log.
    pub fn last_log_lines(&mut self) -> Vec<String> {
        self.logged.extend(self.log.get_mut().try_iter());
        self.logged[self.logged.len().saturating_sub(LAST_LOG_LINES)..].to_vec()
    }

    /// Sends it a signal, by its id.
    ///
    /// # Errors
    ///
    /// The system does not send it.
    pub fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let sent = kill(Pid::from_raw(self.child.id() as i32), signal);
        sent.map_err(|source| ProcessError::Signal { name: self.name.clone(), signal, source })
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        // Waited for within the lock: afterwards, another process may have its id.
        let mut running = RUNNING.lock();
        let ended = matches!(self.child.try_wait(), Ok(Some(_)) | Err(_));
        if ended {
            running.remove(&self.child.id());
        }
        ended
    }

    /// How it ended by itself, if it has.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        if !self.has_ended() {
            return None;
        }
        self.child.try_wait().ok().flatten()
    }

    /// Waits for its end.
    ///
    /// # Errors
    ///
    /// It does not end within [`EVENT_TIMEOUT`], or cannot be waited for.
    pub fn end(&mut self) -> Result<ExitStatus, ProcessError> {
        let deadline = Instant::now() + EVENT_TIMEOUT;
        while !self.has_ended() {
            if Instant::now() > deadline {
                return Err(ProcessError::StillRuns { name: self.name.clone() });
            }
            std::thread::sleep(END_CHECK_INTERVAL);
        }
        self.child.wait().map_err(|source| ProcessError::Wait { name: self.name.clone(), source })
    }

    /// Its memory and its descriptors; none if it has not become its program yet.
    #[must_use]
    pub fn resource_usage(&self) -> Option<ResourceUsage> {
        let process = PathBuf::from(format!("/proc/{}", self.child.id()));
        // Before that, a child shows what its parent uses.
        if std::fs::read_link(process.join("exe")).ok()? == std::env::current_exe().ok()? {
            return None;
        }
        let status = std::fs::read_to_string(process.join("status")).ok()?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let resident_kb: usize = resident.split_whitespace().next()?.parse().ok()?;
        let descriptors = std::fs::read_dir(process.join("fd")).ok()?.count();
        Some(ResourceUsage { memory_mb: resident_kb / 1024, descriptors })
    }

    /// Kills it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        // No other process can have its id before it was waited for.
        RUNNING.lock().remove(&self.child.id());
        let _ = self.child.wait();
    }
}

/// Sends each line to the process's owner, until the process closes its log.
fn read_log(stderr: ChildStderr, sender: &Sender<String>) {
    for line in BufReader::new(stderr).lines() {
        let Ok(line) = line else { return };
        // The owner may be gone; the log is read to its end, so that the process is never blocked by it.
        let _ = sender.send(line);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Kills all processes and then ends this one when a signal asks it to end: a signal runs no destructor.
///
/// # Errors
///
/// The signals cannot be handled.
pub fn kill_all_on_signals() -> io::Result<()> {
    use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
    let mut signals = signal_hook::iterator::Signals::new([SIGINT, SIGTERM, SIGHUP])?;
    std::thread::spawn(move || {
        let signal = signals.forever().next().unwrap_or(SIGTERM);
        kill_all();
        std::process::exit(128 + signal);
    });
    Ok(())
}
