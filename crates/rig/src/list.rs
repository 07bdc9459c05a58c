//! The endpoint list as the list service has it: its entries, their revisions, and the watches on it.

use crate::time::Micros;
use may::sync::mpsc::{Receiver, Sender, channel};
use parking_lot::{Mutex, MutexGuard};
use std::ops::Range;
use std::sync::Arc;

/// A list without workers, as on the wire: what a dispatcher knows that starts without one.
pub const EMPTY_LIST: &str = r#"{"rev":0,"all":true,"targets":[]}"#;

/// One worker in the list.
#[derive(Clone, Debug)]
pub struct ListEntry {
    /// Its name.
    pub uid: String,
    /// Its address.
    pub endpoint: String,
    /// Its zone.
    pub zone: String,
    /// `ready`, `draining` or `gone`.
    pub state: &'static str,
    /// When its process started, as Unix time in milliseconds; 0 for long ago.
    pub boot_ms: u64,
}

impl ListEntry {
    /// A ready worker in the only zone that has been up for long.
    #[must_use]
    pub fn ready(uid: String, endpoint: String) -> ListEntry {
        ListEntry { uid, endpoint, zone: "a".into(), state: "ready", boot_ms: 0 }
    }

    /// Whether dispatchers may send it jobs.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.state == "ready"
    }

    fn json(&self) -> serde_json::Value {
        serde_json::json!({"uid": self.uid, "endpoint": self.endpoint, "az": self.zone, "model": "m", "state": self.state,
            "capacity_hint": 1.0, "boot_ms": self.boot_ms})
    }
}

/// A list, or changes of one, as on the wire: `all` says which.
#[must_use]
pub fn list_json(rev: u64, all: bool, entries: &[ListEntry]) -> String {
    let targets: Vec<_> = entries.iter().map(ListEntry::json).collect();
    serde_json::json!({"rev": rev, "all": all, "targets": targets}).to_string()
}

/// The list, and the state of the stand-in that serves it.
#[derive(Default)]
pub(crate) struct ListState {
    pub(crate) rev: u64,
    /// By worker number.
    pub(crate) entries: Vec<ListEntry>,
    /// The revision in which each entry last changed.
    pub(crate) changed_in: Vec<u64>,
    pub(crate) watches: Vec<Sender<WatchEvent>>,
    /// When the service will have worked on the calls before.
    pub(crate) free_at: Micros,
    /// When each call in the queue leaves it.
    pub(crate) queue_exit_times: Vec<Micros>,
    /// By dispatcher: whether it has received the list since its start.
    pub(crate) list_received: Vec<bool>,
}

/// What a watch is sent.
#[derive(Clone)]
pub(crate) enum WatchEvent {
    /// A change of entries.
    Change {
        /// As on the wire.
        text: Arc<str>,
        /// The workers that are not ready by it.
        not_ready: Arc<[usize]>,
    },
    /// The watch ends.
    End,
}

/// A watch that was opened.
pub(crate) struct OpenedWatch {
    /// What changes from then on.
    pub(crate) changes: Receiver<WatchEvent>,
    /// What is new since the revision that was asked for, as on the wire.
    pub(crate) first_event: String,
    /// All entries as of then.
    pub(crate) entries: Vec<ListEntry>,
}

/// The list with its watches.
pub struct EndpointList {
    state: Mutex<ListState>,
}

impl EndpointList {
    /// A list with these entries at revision 1.
    #[must_use]
    pub fn new(entries: Vec<ListEntry>, dispatchers: usize) -> EndpointList {
        let state = ListState {
            rev: 1,
            changed_in: vec![1; entries.len()],
            entries,
            list_received: vec![false; dispatchers],
            ..ListState::default()
        };
        EndpointList { state: Mutex::new(state) }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, ListState> {
        self.state.lock()
    }

    /// The present revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.state().rev
    }

    /// The entire list as on the wire, and its entries.
    #[must_use]
    pub fn whole(&self) -> (String, Vec<ListEntry>) {
        let state = self.state();
        let entries = state.entries.clone();
        let rev = state.rev;
        drop(state);
        (list_json(rev, true, &entries), entries)
    }

    /// Changes entries, by worker number, in one revision, and notifies all watches.
    pub fn change(&self, change: impl Fn(usize, &mut ListEntry), workers: Range<usize>) {
        let mut state = self.state();
        state.rev += 1;
        let rev = state.rev;
        let mut not_ready = Vec::new();
        for worker in workers.clone() {
            change(worker, &mut state.entries[worker]);
            state.changed_in[worker] = rev;
            if !state.entries[worker].is_ready() {
                not_ready.push(worker);
            }
        }
        let text = list_json(rev, false, &state.entries[workers]).into();
        let event = WatchEvent::Change { text, not_ready: not_ready.into() };
        state.watches.retain(|watch| watch.send(event.clone()).is_ok());
    }

    /// Opens a watch for a dispatcher that has the list as of a revision.
    pub(crate) fn watch(&self, after: u64) -> OpenedWatch {
        let (sender, changes) = channel();
        let mut state = self.state();
        state.watches.push(sender);
        let entries = state.entries.clone();
        let rev = state.rev;
        let is_new = |worker: &usize| state.changed_in[*worker] > after;
        let new: Vec<ListEntry> =
            (0..entries.len()).filter(is_new).map(|worker| entries[worker].clone()).collect();
        drop(state);
        // A revision of another incarnation of the service means nothing here: the entire list.
        let first_event =
            if after > rev { list_json(rev, true, &entries) } else { list_json(rev, false, &new) };
        OpenedWatch { changes, first_event, entries }
    }

    /// Ends all watches at once, as a restart of the service does.
    pub fn end_watches(&self) {
        for watch in self.state().watches.drain(..) {
            let _ = watch.send(WatchEvent::End);
        }
    }

    /// A dispatcher starts anew: its first list counts again.
    pub fn reset_first_list(&self, dispatcher: usize) {
        self.state().list_received[dispatcher] = false;
    }
}
