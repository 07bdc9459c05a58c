//! Resource usage of processes, read from `/proc`.

use std::io;
use std::path::{Path, PathBuf};

/// Resource usage of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time of the threads that are alive, in nanoseconds.
    pub processor_ns: u64,
    /// Resident memory in KiB.
    pub resident_kib: u64,
    /// Peak resident memory in KiB.
    pub resident_peak_kib: u64,
    /// Number of open descriptors.
    pub descriptors: u64,
}

impl Usage {
    /// Reads the usage of a process.
    ///
    /// # Errors
    ///
    /// There is no such process, or `/proc` cannot be read.
    pub fn of(pid: u32) -> io::Result<Usage> {
        let process = PathBuf::from(format!("/proc/{pid}"));
        let status = std::fs::read_to_string(process.join("status"))?;
        Ok(Usage {
            processor_ns: processor_ns(&process)?,
            resident_kib: parse_kib(&status, "VmRSS:")?,
            resident_peak_kib: parse_kib(&status, "VmHWM:")?,
            descriptors: std::fs::read_dir(process.join("fd"))?.count() as u64,
        })
    }
}

/// Resident memory of a process, in KiB.
///
/// # Errors
///
/// There is no such process, or `/proc` cannot be read.
pub fn resident_kib(pid: u32) -> io::Result<u64> {
    parse_kib(&std::fs::read_to_string(format!("/proc/{pid}/status"))?, "VmRSS:")
}

/// Memory of the machine, in KiB.
///
/// # Errors
///
/// `/proc` cannot be read.
pub fn total_memory_kib() -> io::Result<u64> {
    parse_kib(&std::fs::read_to_string("/proc/meminfo")?, "MemTotal:")
}

/// Parses the value of a line such as `VmRSS: 1234 kB`.
fn parse_kib(text: &str, key: &str) -> io::Result<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(key));
    let word = line.and_then(|line| line.split_whitespace().next());
    let number = word.and_then(|word| word.parse().ok());
    number.ok_or_else(|| io::Error::other(format!("no {key} in /proc")))
}

/// Sum of the threads' processor times: the clock ticks of `/proc/PID/stat` are too coarse for an idle process.
fn processor_ns(process: &Path) -> io::Result<u64> {
    let mut sum = 0;
    for task in std::fs::read_dir(process.join("task"))? {
        // A thread may end between the two reads.
        let Ok(text) = std::fs::read_to_string(task?.path().join("schedstat")) else { continue };
        let run_ns = text.split_whitespace().next().and_then(|word| word.parse::<u64>().ok());
        sum += run_ns.unwrap_or(0);
    }
    Ok(sum)
}
