//! Tests of the history of endpoint lists, in particular of the effect of older revisions.

use super::ListHistory;
use crate::wire::list::EndpointList;
use rstest::rstest;

fn list(revision: u64, all: bool, targets: &[(&str, &str, u64)]) -> EndpointList {
    let line = |(uid, state, boot): &(&str, &str, u64)| {
        format!(r#"{{"uid":"{uid}","endpoint":"127.0.0.1:1","state":"{state}","boot_ms":{boot}}}"#)
    };
    let lines: Vec<String> = targets.iter().map(line).collect();
    let text = format!(r#"{{"rev":{revision},"all":{all},"targets":[{}]}}"#, lines.join(","));
    serde_json::from_str(&text).expect("a list")
}

fn states(history: &mut ListHistory, mut list: EndpointList) -> Vec<String> {
    history.record(&mut list);
    list.targets.into_iter().map(|target| target.state).collect()
}

/// An older revision does not put an unavailable worker back into use, but the same or a later one does, and
/// so does a restart of the worker.
#[rstest]
#[case::older(5, 1, "draining")]
#[case::same(6, 1, "ready")]
#[case::later(7, 1, "ready")]
#[case::older_but_restarted(5, 2, "ready")]
fn older_revision_does_not_restore_unavailable_worker(
    #[case] revision: u64,
    #[case] boot: u64,
    #[case] state: &str,
) {
    for state_before in ["draining", "gone"] {
        let mut history = ListHistory::default();
        states(&mut history, list(5, true, &[("s-1", "ready", 1), ("s-2", "ready", 0)]));
        states(&mut history, list(6, false, &[("s-1", state_before, 1)]));
        let complete = list(revision, true, &[("s-1", "ready", boot), ("s-2", "ready", 0)]);
        assert_eq!(states(&mut history, complete), [state, "ready"], "{state_before}");
    }
}

/// A worker that is missing from a complete list is not put back into use by an older list.
#[rstest]
fn worker_missing_from_newer_complete_list_is_unavailable() {
    let mut history = ListHistory::default();
    states(&mut history, list(5, true, &[("s-1", "ready", 0), ("s-2", "ready", 0)]));
    states(&mut history, list(7, true, &[("s-2", "ready", 0)]));
    let complete = list(6, true, &[("s-1", "ready", 0), ("s-2", "ready", 0)]);
    assert_eq!(states(&mut history, complete), ["draining", "ready"]);
}
