//! What processes use of the machine, as the system counts it.

use std::io;
use std::path::{Path, PathBuf};

/// What one process uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time of the threads that run, in nanoseconds.
    pub processor_ns: u64,
    /// Resident memory in KiB.
    pub resident_kib: u64,
    /// Its peak in KiB.
    pub resident_peak_kib: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

impl Usage {
    /// The usage of a process, by its id.
    ///
    /// # Errors
    ///
    /// There is no such process, or `/proc` cannot be read.
    pub fn of(id: u32) -> io::Result<Usage> {
        let process = PathBuf::from(format!("/proc/{id}"));
        let status = std::fs::read_to_string(process.join("status"))?;
        Ok(Usage {
            processor_ns: processor_ns(&process)?,
            resident_kib: kib(&status, "VmRSS:")?,
            resident_peak_kib: kib(&status, "VmHWM:")?,
            descriptors: std::fs::read_dir(process.join("fd"))?.count() as u64,
        })
    }
}

/// Resident memory of a process in KiB, by its id.
///
/// # Errors
///
/// There is no such process, or `/proc` cannot be read.
pub fn resident_kib(id: u32) -> io::Result<u64> {
    kib(&std::fs::read_to_string(format!("/proc/{id}/status"))?, "VmRSS:")
}

/// The memory of the machine in KiB.
///
/// # Errors
///
/// `/proc` cannot be read.
pub fn machine_kib() -> io::Result<u64> {
    kib(&std::fs::read_to_string("/proc/meminfo")?, "MemTotal:")
}

/// The value of a line such as `VmRSS: 1234 kB`.
fn kib(text: &str, key: &str) -> io::Result<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(key));
    let word = line.and_then(|line| line.split_whitespace().next());
    let number = word.and_then(|word| word.parse().ok());
    number.ok_or_else(|| io::Error::other(format!("no {key} in /proc")))
}

/// The sum over the threads: the clock ticks of `/proc/ID/stat` are too coarse for a process at rest.
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
