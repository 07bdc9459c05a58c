//! What an older list may say, and what it may not.

use super::ListHistory;
use crate::wire::list::List;
use rstest::rstest;

fn list(rev: u64, all: bool, targets: &[(&str, &str, u64)]) -> List {
    let line = |(uid, state, boot): &(&str, &str, u64)| {
        format!(r#"{{"uid":"{uid}","endpoint":"127.0.0.1:1","state":"{state}","boot_ms":{boot}}}"#)
    };
    let lines: Vec<String> = targets.iter().map(line).collect();
    let text = format!(r#"{{"rev":{rev},"all":{all},"targets":[{}]}}"#, lines.join(","));
    serde_json::from_str(&text).expect("a list")
}

fn states(history: &mut ListHistory, mut list: List) -> Vec<String> {
    history.admit(&mut list);
    list.targets.into_iter().map(|target| target.state).collect()
}

/// Guards against a word that is taken back by an older version, and against one that is never taken back.
#[rstest]
#[case::older(5, 1, "draining")]
#[case::same(6, 1, "ready")]
#[case::later(7, 1, "ready")]
#[case::older_but_started_anew(5, 2, "ready")]
fn an_older_version_takes_nothing_back(#[case] rev: u64, #[case] boot: u64, #[case] state: &str) {
    for out in ["draining", "gone"] {
        let mut history = ListHistory::default();
        states(&mut history, list(5, true, &[("s-1", "ready", 1), ("s-2", "ready", 0)]));
        states(&mut history, list(6, false, &[("s-1", out, 1)]));
        let whole = list(rev, true, &[("s-1", "ready", boot), ("s-2", "ready", 0)]);
        assert_eq!(states(&mut history, whole), [state, "ready"], "{out}");
    }
}

/// Guards against a worker that a whole list left out, and that an older one puts back in use.
#[rstest]
fn who_was_missing_from_a_later_list_is_out() {
    let mut history = ListHistory::default();
    states(&mut history, list(5, true, &[("s-1", "ready", 0), ("s-2", "ready", 0)]));
    states(&mut history, list(7, true, &[("s-2", "ready", 0)]));
    let whole = list(6, true, &[("s-1", "ready", 0), ("s-2", "ready", 0)]);
    assert_eq!(states(&mut history, whole), ["draining", "ready"]);
}
