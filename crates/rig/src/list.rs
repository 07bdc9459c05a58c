//! The endpoint list of the discovery service: its entries, their revisions, and its watches.

use crate::time::Micros;
use may::sync::mpsc::{Receiver, Sender, channel};
use parking_lot::{Mutex, MutexGuard};
use std::ops::Range;
use std::sync::Arc;

/// A list without workers, as JSON: the initial list of a dispatcher that starts without a cached one.
pub const EMPTY_LIST: &str = r#"{"rev":0,"all":true,"targets":[]}"#;

/// One worker in the list.
#[derive(Clone, Debug)]
pub struct ListEntry {
    /// Its unique name.
    pub uid: String,
    /// Its address.
    pub endpoint: String,
    /// Its zone.
    pub zone: String,
    /// `ready`, `draining` or `gone`.
    pub state: &'static str,
    /// When its process started, as Unix time in milliseconds; 0 for a worker that is warm.
    pub boot_ms: u64,
}

impl ListEntry {
    /// A ready, warm worker in the only zone.
    #[must_use]
    pub fn ready(uid: String, endpoint: String) -> ListEntry {
        ListEntry { uid, endpoint, zone: "a".into(), state: "ready", boot_ms: 0 }
    }

    /// Whether dispatchers may send it jobs.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state == "ready"
    }

    fn to_json(&self) -> serde_json::Value {
        serde_json::json!({"uid": self.uid, "endpoint": self.endpoint, "az": self.zone, "model": "m", "state": self.state,
            "capacity_hint": 1.0, "boot_ms": self.boot_ms})
    }
}

/// A list, or a change of one, as JSON: `is_complete` tells which.
#[must_use]
pub fn list_json(revision: u64, is_complete: bool, entries: &[ListEntry]) -> String {
    let targets: Vec<_> = entries.iter().map(ListEntry::to_json).collect();
    serde_json::json!({"rev": revision, "all": is_complete, "targets": targets}).to_string()
}

/// The list, and the state of the stand-in that serves it.
#[derive(Default)]
pub(crate) struct ListState {
    pub(crate) revision: u64,
    /// By worker number.
    pub(crate) entries: Vec<ListEntry>,
    /// The revision in which each entry last changed.
    pub(crate) entry_revisions: Vec<u64>,
    pub(crate) watches: Vec<Sender<WatchEvent>>,
    /// When the service will have processed the calls in the queue.
    pub(crate) busy_until: Micros,
    /// When each queued call leaves the queue.
    pub(crate) queue_exit_times: Vec<Micros>,
    /// By dispatcher: whether the list has been written to it since its start.
    pub(crate) list_received: Vec<bool>,
}

/// An event sent to a watch.
#[derive(Clone)]
pub(crate) enum WatchEvent {
    /// A change of entries.
    Change {
        /// The change as JSON.
        text: Arc<str>,
        /// The changed workers that are no longer ready.
        not_ready: Arc<[usize]>,
    },
    /// The watch ends.
    End,
}

/// A newly opened watch.
pub(crate) struct OpenedWatch {
    /// The events from then on.
    pub(crate) changes: Receiver<WatchEvent>,
    /// The entries that changed since the requested revision, as JSON.
    pub(crate) first_event: String,
    /// All entries at that time.
    pub(crate) entries: Vec<ListEntry>,
}

/// The endpoint list with its watches.
pub struct EndpointList {
    state: Mutex<ListState>,
}

impl EndpointList {
    /// A list with these entries at revision 1.
    #[must_use]
    pub fn new(entries: Vec<ListEntry>, dispatchers: usize) -> EndpointList {
        let state = ListState {
            revision: 1,
            entry_revisions: vec![1; entries.len()],
            entries,
            list_received: vec![false; dispatchers],
            ..ListState::default()
        };
        EndpointList { state: Mutex::new(state) }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, ListState> {
        self.state.lock()
    }

    /// The current revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.state().revision
    }

    /// The complete list as JSON, and its entries.
    #[must_use]
    pub fn full_list(&self) -> (String, Vec<ListEntry>) {
        let state = self.state();
        let entries = state.entries.clone();
        let revision = state.revision;
        drop(state);
        (list_json(revision, true, &entries), entries)
    }

    /// Changes entries, by worker number, in one revision, and notifies all watches.
    pub fn update_entries(&self, change: impl Fn(usize, &mut ListEntry), workers: Range<usize>) {
        let mut state = self.state();
        state.revision += 1;
        let revision = state.revision;
        let mut not_ready = Vec::new();
        for worker in workers.clone() {
            change(worker, &mut state.entries[worker]);
            state.entry_revisions[worker] = revision;
            if !state.entries[worker].is_ready() {
                not_ready.push(worker);
            }
        }
        let text = list_json(revision, false, &state.entries[workers]).into();
        let event = WatchEvent::Change { text, not_ready: not_ready.into() };
        state.watches.retain(|watch| watch.send(event.clone()).is_ok());
    }

    /// Opens a watch for a dispatcher that has the list as of a revision.
    pub(crate) fn open_watch(&self, after: u64) -> OpenedWatch {
        let (sender, changes) = channel();
        let mut state = self.state();
        state.watches.push(sender);
        let entries = state.entries.clone();
        let revision = state.revision;
        let is_new = |worker: &usize| state.entry_revisions[*worker] > after;
        let new: Vec<ListEntry> =
            (0..entries.len()).filter(is_new).map(|worker| entries[worker].clone()).collect();
        drop(state);
        // A later revision is from another incarnation of the service and cannot be compared: send the complete list.
        let first_event = if after > revision {
            list_json(revision, true, &entries)
        } else {
            list_json(revision, false, &new)
        };
        OpenedWatch { changes, first_event, entries }
    }

    /// Ends all watches at once, as a restart of the service does.
    pub fn end_watches(&self) {
        for watch in self.state().watches.drain(..) {
            let _ = watch.send(WatchEvent::End);
        }
    }

    /// Resets the record of the first list of a dispatcher that restarts.
    pub fn reset_first_list(&self, dispatcher: usize) {
        self.state().list_received[dispatcher] = false;
    }
}
