//! Call-backs between the two processes of an upgrade, through `$TMPDIR`: both accept on the one inherited
//! listener, so a host's word of a stream may reach the process that does not hold it. Each process appends such
//! words to a file of its own and reads the files of the other processes of its name (docs/design/operation.md).

use crate::core::{CallbackRelay, Inbox};
use crate::wire::callbacks;
use roselock::settings::{Site, fnv};
use std::collections::{HashMap, VecDeque};
use std::fs::File;
use std::io::{Read, Seek, SeekFrom, Write};
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

/// How often the files are looked at.
const LOOK: Duration = Duration::from_millis(10);
/// Most bytes a process writes; beyond, call-backs are dropped.
const MOST_BYTES: u64 = 4 << 20;
/// Most call-backs that wait for the thread; one more is dropped.
const QUEUE: usize = 1024;
/// Most bytes of one call-back: a body holds 64 KiB at most.
const MOST_RECORD: usize = 64 << 10;

/// The owner's end: never waits.
struct Sender {
    queue: SyncSender<Vec<u8>>,
}

impl CallbackRelay for Sender {
    fn forward(&self, body: Vec<u8>) {
        if let Err(TrySendError::Full(_)) = self.queue.try_send(body) {
            tracing::warn!("a call-back to pass on is dropped: 1,024 wait already");
        }
    }
}

/// Starts the thread; what it reads goes to the owner as call-backs that are not passed on again.
/// The files are named by the dispatcher, its classes and its tenants: another customer's, where a folder is shared, are
/// not read.
pub fn start(name: &str, site: Arc<Site>, inbox: Inbox) -> Box<dyn CallbackRelay> {
    let (queue, outlet) = sync_channel(QUEUE);
    let prefix = prefix(name, &[site.classes.names(), site.tenants.names()]);
    std::thread::spawn(move || run(&prefix, &site, &inbox, &outlet));
    Box::new(Sender { queue })
}

/// What the names of the files begin with.
fn prefix(name: &str, names: &[&[String]]) -> String {
    let whose = fnv(format!("{name:?} {names:?}").as_bytes());
    let name: String = name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '_' }).collect();
    format!("roselock-{name}-{whose:016x}.relay.")
}

/// A file of another process, read up to here.
struct Other {
    file: File,
    at: u64,
}

fn run(prefix: &str, site: &Site, inbox: &Inbox, outlet: &Receiver<Vec<u8>>) {
    let dir = std::env::temp_dir();
    let own = dir.join(format!("{prefix}{}", std::process::id()));
    let mut out = Own::new(own.clone());
    // What the others wrote before this process began is not for it.
    let mut others: HashMap<PathBuf, Other> = HashMap::new();
    scan(&dir, prefix, &own, &mut others, true);
    loop {
        out.waiting.extend(outlet.try_iter().take(QUEUE.saturating_sub(out.waiting.len())));
        out.write_all_that_waits();
        scan(&dir, prefix, &own, &mut others, false);
        for other in others.values_mut() {
            for body in read(other) {
                callbacks::take(&body, site, inbox, false);
            }
        }
        std::thread::sleep(LOOK);
    }
}

/// This process's own file, and what is yet to be written to it: the call-backs were answered, so they are kept while the
/// disk fails.
struct Own {
    path: PathBuf,
    file: Option<File>,
    /// Bytes of whole records.
    written: u64,
    waiting: VecDeque<Vec<u8>>,
    dropped: u64,
}

impl Own {
    fn new(path: PathBuf) -> Own {
        Own { path, file: None, written: 0, waiting: VecDeque::new(), dropped: 0 }
    }

    /// Writes what waits, as far as the disk and the bound of the file allow.
    fn write_all_that_waits(&mut self) {
        while let Some(body) = self.waiting.front() {
            let record = [format!("{}\n", body.len()).as_bytes(), body, b"\n"].concat();
            if self.written + record.len() as u64 > MOST_BYTES {
                self.dropped += 1;
                if self.dropped == 1 {
                    tracing::warn!("call-backs to pass on are dropped: {} holds 4 MiB", self.path.display());
                }
            } else if let Err(why) = self.append(&record) {
                tracing::debug!("a call-back to pass on waits: {}: {why}", self.path.display());
                return;
            }
            self.waiting.pop_front();
        }
    }

    /// Appends a record; a part of one, as a full disk leaves it, is taken back.
    fn append(&mut self, record: &[u8]) -> std::io::Result<()> {
        let file = match &mut self.file {
            Some(file) => file,
            none => none.insert(File::options().create(true).append(true).open(&self.path)?),
        };
        if let Err(why) = file.set_len(self.written).and_then(|()| file.write_all(record)) {
            let _ = file.set_len(self.written);
            return Err(why);
        }
        self.written += record.len() as u64;
        Ok(())
    }
}

/// Finds the files of the other processes; those found at the start are read from their end on.
fn scan(
    dir: &std::path::Path,
    prefix: &str,
    own: &PathBuf,
    others: &mut HashMap<PathBuf, Other>,
    first: bool,
) {
    let Ok(entries) = std::fs::read_dir(dir) else { return };
    for entry in entries.flatten() {
        let path = entry.path();
        let ours = entry.file_name().to_str().is_some_and(|n| n.starts_with(prefix));
        if !ours || &path == own || others.contains_key(&path) {
            continue;
        }
        if let Ok(file) = File::open(&path) {
            let at = if first { file.metadata().map_or(0, |m| m.len()) } else { 0 };
            others.insert(path, Other { file, at });
        }
    }
}

/// The whole records that came since the last look.
fn read(other: &mut Other) -> Vec<Vec<u8>> {
    let mut bytes = Vec::new();
    if other.file.seek(SeekFrom::Start(other.at)).is_err() || other.file.read_to_end(&mut bytes).is_err() {
        return Vec::new();
    }
    let (records, used) = records(&bytes);
    other.at += used as u64;
    records
}

/// Splits `length \n body \n` records; how many bytes they took. A record that makes no sense ends the reading.
fn records(bytes: &[u8]) -> (Vec<Vec<u8>>, usize) {
    let (mut records, mut used) = (Vec::new(), 0);
    while let Some(end) = bytes[used..].iter().position(|&b| b == b'\n') {
        let length = std::str::from_utf8(&bytes[used..used + end]).ok().and_then(|l| l.parse::<usize>().ok());
        let Some(length) = length.filter(|l| *l <= MOST_RECORD) else { return (records, bytes.len()) };
        let start = used + end + 1;
        if bytes.len() < start + length + 1 {
            break;
        }
        records.push(bytes[start..start + length].to_vec());
        used = start + length + 1;
    }
    (records, used)
}

#[cfg(test)]
#[path = "relay_tests.rs"]
mod tests;
