//! Child processes that are killed when their handle is dropped, and their logs.

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

/// Timeout for an expected event.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(30);
/// Stack size of the thread that reads a log, in bytes.
const LOG_READER_STACK_BYTES: usize = 64 * 1024;
/// Interval between checks whether a process has ended.
const END_CHECK_INTERVAL: Duration = Duration::from_millis(1);
/// Maximum number of log lines that an error shows.
const MAX_LAST_LOG_LINES: usize = 5;

/// The ids of the running child processes.
static RUNNING_PIDS: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// Kills all running child processes by their ids; no further one can be started.
pub fn kill_all() {
    let running = RUNNING_PIDS.lock();
    for id in running.iter() {
        let _ = kill(Pid::from_raw(*id as i32), Signal::SIGKILL);
    }
    // The lock is never released: a thread that starts another child blocks until this process ends.
    std::mem::forget(running);
}

/// An error of a child process.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// The expected text was not logged in time.
    #[error("{name} did not log {text:?} in time")]
    NotLogged {
        /// Its name.
        name: String,
        /// The expected text.
        text: String,
    },
    /// The process ended before it logged the expected text.
    #[error("{name} ended before it logged {text:?}; last log lines: {last_lines:?}")]
    EndedBeforeLog {
        /// Its name.
        name: String,
        /// The expected text.
        text: String,
        /// The last lines of its log.
        last_lines: Vec<String>,
    },
    /// A signal could not be sent to the process.
    #[error("{signal} could not be sent to {name}")]
    Signal {
        /// Its name.
        name: String,
        /// The signal.
        signal: Signal,
        /// The cause.
        source: Errno,
    },
    /// The process did not end in time.
    #[error("{name} did not end in time")]
    StillRunning {
        /// Its name.
        name: String,
    },
    /// Waiting for the process failed.
    #[error("waiting for {name} failed")]
    Wait {
        /// Its name.
        name: String,
        /// The cause.
        source: io::Error,
    },
}

/// Resource usage of a process, as reported by the system. In JSON it is the pair of both numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(into = "(usize, usize)")]
pub struct ResourceUsage {
    /// The highest resident memory so far, in MB.
    pub memory_mb: usize,
    /// Open file descriptors.
    pub descriptors: usize,
}

impl From<ResourceUsage> for (usize, usize) {
    fn from(usage: ResourceUsage) -> (usize, usize) {
        (usage.memory_mb, usage.descriptors)
    }
}

impl ResourceUsage {
    /// The maximum of each number.
    #[must_use]
    pub fn max(self, other: ResourceUsage) -> ResourceUsage {
        ResourceUsage {
            memory_mb: self.memory_mb.max(other.memory_mb),
            descriptors: self.descriptors.max(other.descriptors),
        }
    }
}

/// A child process; it is killed by its id when this is dropped.
pub struct Process {
    child: Child,
    name: String,
    log: Mutex<Receiver<String>>,
    logged: Vec<String>,
}

impl Process {
    /// Starts a process. Its standard error is its log; standard input and output are `/dev/null`.
    ///
    /// # Errors
    ///
    /// The program, or the thread that reads the log, cannot be started.
    pub fn spawn(name: &str, mut command: Command) -> io::Result<Process> {
        let mut running = RUNNING_PIDS.lock();
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

    /// The process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Waits for a new log line that contains the text, and returns it.
    ///
    /// # Errors
    ///
    /// No such line is logged within [`EVENT_TIMEOUT`], or the process ends before.
    pub fn wait_for_log(&mut self, text: &str) -> Result<String, ProcessError> {
        let deadline = Instant::now() + EVENT_TIMEOUT;
        loop {
            let time_left = deadline.saturating_duration_since(Instant::now());
            match self.log.get_mut().recv_timeout(time_left) {
                Ok(line) => {
                    self.logged.push(line.clone());
                    if line.contains(text) {
                        return Ok(line);
                    }
                }
                Err(RecvTimeoutError::Timeout) => {
                    let name = self.name.clone();
                    return Err(ProcessError::NotLogged { name, text: text.to_owned() });
                }
                Err(RecvTimeoutError::Disconnected) => {
                    return Err(ProcessError::EndedBeforeLog {
                        name: self.name.clone(),
                        text: text.to_owned(),
                        last_lines: self.last_log_lines(),
                    });
                }
            }
        }
    }

    /// Returns a log line that contains the text: an earlier one if there is one, else it waits for the next.
    ///
    /// # Errors
    ///
    /// Those of [`Process::wait_for_log`].
    pub fn find_or_wait_for_log(&mut self, text: &str) -> Result<String, ProcessError> {
        match self.logged.iter().find(|line| line.contains(text)) {
            Some(line) => Ok(line.clone()),
            None => self.wait_for_log(text),
        }
    }

    /// The last log lines.
    pub fn last_log_lines(&mut self) -> Vec<String> {
        self.logged.extend(self.log.get_mut().try_iter());
        self.logged[self.logged.len().saturating_sub(MAX_LAST_LOG_LINES)..].to_vec()
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// The signal cannot be sent.
    pub fn signal(&self, signal: Signal) -> Result<(), ProcessError> {
        let sent = kill(Pid::from_raw(self.child.id() as i32), signal);
        sent.map_err(|source| ProcessError::Signal { name: self.name.clone(), signal, source })
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        // The lock is held while the process is reaped: afterwards, another process may have its id.
        let mut running = RUNNING_PIDS.lock();
        let ended = matches!(self.child.try_wait(), Ok(Some(_)) | Err(_));
        if ended {
            running.remove(&self.child.id());
        }
        ended
    }

    /// The exit status, if the process has ended by itself.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        if !self.has_ended() {
            return None;
        }
        self.child.try_wait().ok().flatten()
    }

    /// Waits until the process ends.
    ///
    /// # Errors
    ///
    /// The process does not end within [`EVENT_TIMEOUT`], or waiting for it fails.
    pub fn wait_for_exit(&mut self) -> Result<ExitStatus, ProcessError> {
        let deadline = Instant::now() + EVENT_TIMEOUT;
        while !self.has_ended() {
            if Instant::now() > deadline {
                return Err(ProcessError::StillRunning { name: self.name.clone() });
            }
            std::thread::sleep(END_CHECK_INTERVAL);
        }
        self.child.wait().map_err(|source| ProcessError::Wait { name: self.name.clone(), source })
    }

    /// The resource usage; none while the child has not executed its program yet.
    #[must_use]
    pub fn resource_usage(&self) -> Option<ResourceUsage> {
        let process = PathBuf::from(format!("/proc/{}", self.child.id()));
        // Before `exec`, a child's figures are those of its parent.
        if std::fs::read_link(process.join("exe")).ok()? == std::env::current_exe().ok()? {
            return None;
        }
        let status = std::fs::read_to_string(process.join("status")).ok()?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let peak_kb: usize = peak.split_whitespace().next()?.parse().ok()?;
        let descriptors = std::fs::read_dir(process.join("fd")).ok()?.count();
        Some(ResourceUsage { memory_mb: peak_kb / 1024, descriptors })
    }

    /// The highest resident memory of the process so far, in bytes, as counted by the system.
    #[must_use]
    pub fn peak_memory_bytes(&self) -> Option<u64> {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).ok()?;
        let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
        let peak_kb: u64 = peak.split_whitespace().next()?.parse().ok()?;
        Some(peak_kb * 1024)
    }

    /// Kills the process and waits for it.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        // No other process can get its id before it is reaped.
        RUNNING_PIDS.lock().remove(&self.child.id());
        let _ = self.child.wait();
    }
}

/// Sends each log line to the [`Process`], until the child closes its log.
fn read_log(stderr: ChildStderr, sender: &Sender<String>) {
    for line in BufReader::new(stderr).lines() {
        let Ok(line) = line else { return };
        // The receiver may be gone. The log is still read to its end, so that the child never blocks on a full pipe.
        let _ = sender.send(line);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// On SIGINT, SIGTERM or SIGHUP, kills all child processes and exits: a signal would end this process without running
/// destructors.
///
/// # Errors
///
/// The signal handlers cannot be installed.
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
