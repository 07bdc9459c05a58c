//! Call-backs between the two processes of an upgrade, through `$TMPDIR`: both accept on the one inherited
//! listener, so a host's call-back may reach the process that does not have its stream. Each process appends such
//! call-backs to a file of its own and reads the files of the other processes of its name (docs/design/operation.md).

mod reader;
mod writer;

use crate::core::{CallbackRelay, Inbox};
use crate::wire::callbacks;
use reader::RelayReader;
use roselock::settings::{Site, fnv};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;
use writer::RelayWriter;

/// How often the files are looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Most call-backs that wait for the thread; one more is dropped.
const QUEUE_CAPACITY: usize = 1024;

/// The near end of the queue to the thread.
struct RelaySender {
    queue: SyncSender<Vec<u8>>,
}

impl CallbackRelay for RelaySender {
    fn forward(&self, body: Vec<u8>) {
        if let Err(TrySendError::Full(_)) = self.queue.try_send(body) {
            tracing::warn!(capacity = QUEUE_CAPACITY, "call-back dropped: the relay's queue is full");
        }
    }
}

/// Starts the thread; the call-backs that it reads go to the owner of the decisions and are not relayed again.
/// The files are named by the dispatcher, its classes and its tenants, so that another customer's, where a directory is
/// shared, are not read.
pub fn start(name: &str, site: Arc<Site>, inbox: Inbox) -> Box<dyn CallbackRelay> {
    let (queue, outlet) = sync_channel(QUEUE_CAPACITY);
    let prefix = file_prefix(name, &[site.classes.names(), site.tenants.names()]);
    std::thread::spawn(move || run(&prefix, &site, &inbox, &outlet));
    Box::new(RelaySender { queue })
}

/// What the names of the files begin with.
fn file_prefix(name: &str, names: &[&[String]]) -> String {
    let owner = fnv(format!("{name:?} {names:?}").as_bytes());
    let replace = |character: char| if character.is_ascii_alphanumeric() { character } else { '_' };
    let name: String = name.chars().map(replace).collect();
    format!("roselock-{name}-{owner:016x}.relay.")
}

fn run(prefix: &str, site: &Site, inbox: &Inbox, outlet: &Receiver<Vec<u8>>) {
    let directory = std::env::temp_dir();
    let own_path = directory.join(format!("{prefix}{}", std::process::id()));
    let mut writer = RelayWriter::new(own_path.clone());
    let mut reader = RelayReader::new(directory, prefix.to_owned(), own_path);
    loop {
        let capacity_left = QUEUE_CAPACITY.saturating_sub(writer.queued());
        writer.enqueue(outlet.try_iter().take(capacity_left));
        writer.write_queued();
        for body in reader.read_new() {
            callbacks::post(&body, site, inbox, false);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

#[cfg(test)]
#[path = "relay_tests.rs"]
mod tests;
