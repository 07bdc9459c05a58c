//! Relays callbacks between the two processes of an upgrade through files in `$TMPDIR`. Both accept on the
//! same inherited listener, so a host's callback may reach the process that does not have its stream. Each
//! process appends such callbacks to its own file and reads the files of the other processes of the same
//! dispatcher (docs/design/operation.md).

mod reader;
mod writer;

use super::file_names::sanitize;
use crate::core::{CallbackRelay, CallbackRelevance, Inbox};
use crate::wire::callbacks;
use reader::RelayReader;
use roselock::settings::{Site, fnv1a};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;
use writer::RelayWriter;

/// Interval between polls of the files.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of callbacks queued for the relay thread; further ones are dropped.
const QUEUE_CAPACITY: usize = 1024;

/// Maximum number of queued callbacks that no process is known to wait for. They have a queue of their own, so that any
/// number of them keeps none of the others from being relayed.
const UNEXPECTED_QUEUE_CAPACITY: usize = 64;

/// Queues callbacks for the relay thread.
struct RelaySender {
    expected: SyncSender<Vec<u8>>,
    unexpected: SyncSender<Vec<u8>>,
}

impl CallbackRelay for RelaySender {
    fn forward(&self, body: Vec<u8>, relevance: CallbackRelevance) {
        match relevance {
            CallbackRelevance::Expected => {
                if let Err(TrySendError::Full(_)) = self.expected.try_send(body) {
                    tracing::warn!(capacity = QUEUE_CAPACITY, "callback dropped: relay queue is full");
                }
            }
            CallbackRelevance::Unexpected => {
                if let Err(TrySendError::Full(_)) = self.unexpected.try_send(body) {
                    tracing::debug!("callback dropped: no process is known to wait for it");
                }
            }
        }
    }
}

/// The receivers of a [`RelaySender`].
struct RelayQueues {
    expected: Receiver<Vec<u8>>,
    unexpected: Receiver<Vec<u8>>,
}

/// Creates the queues of the relay thread.
fn relay_queues() -> (RelaySender, RelayQueues) {
    let (expected, expected_receiver) = sync_channel(QUEUE_CAPACITY);
    let (unexpected, unexpected_receiver) = sync_channel(UNEXPECTED_QUEUE_CAPACITY);
    let queues = RelayQueues { expected: expected_receiver, unexpected: unexpected_receiver };
    (RelaySender { expected, unexpected }, queues)
}

/// Starts the relay thread. Callbacks that it reads are posted to the event loop and are not relayed again.
/// The file names depend on the dispatcher's name, classes and tenants, so that the files of another
/// customer's dispatcher in a shared directory are not read.
pub fn start(name: &str, site: Arc<Site>, inbox: Inbox) -> Box<dyn CallbackRelay> {
    let (sender, queues) = relay_queues();
    let prefix = file_prefix(name, &[site.classes.names(), site.tenants.names()]);
    let directory = std::env::temp_dir();
    let own_path = directory.join(format!("{prefix}{}", std::process::id()));
    let writer = RelayWriter::new(own_path.clone());
    // Created before the first attempt: from here on, callbacks in the files may be for this process.
    let reader = RelayReader::new(directory, prefix, own_path);
    std::thread::spawn(move || run(writer, reader, &site, &inbox, &queues));
    Box::new(sender)
}

/// The common prefix of the names of the relay files.
fn file_prefix(name: &str, names: &[&[String]]) -> String {
    let hash = fnv1a(format!("{name:?} {names:?}").as_bytes());
    format!("roselock-{}-{hash:016x}.relay.", sanitize(name))
}

fn run(mut writer: RelayWriter, mut reader: RelayReader, site: &Site, inbox: &Inbox, queues: &RelayQueues) {
    loop {
        let capacity_left = QUEUE_CAPACITY.saturating_sub(writer.queued());
        writer.enqueue(queues.expected.try_iter().take(capacity_left));
        writer.enqueue_unexpected(queues.unexpected.try_iter().take(UNEXPECTED_QUEUE_CAPACITY));
        writer.write_queued();
        for body in reader.read_new() {
            callbacks::post(&body, site, inbox, None, false);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

#[cfg(test)]
#[path = "relay_tests.rs"]
mod tests;
