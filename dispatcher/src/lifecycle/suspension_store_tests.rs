//! Tests of the file of suspended workers.

use super::*;

/// A store with its file in an empty folder, and a worker that is suspended and saved.
fn store_with_suspended_worker(test: &str) -> SuspensionStore {
    let folder = std::env::temp_dir().join(format!("roselock-{test}-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("cannot create folder");
    let suspensions = Arc::<Suspensions>::default();
    suspensions.record_listed(["s-1"].into_iter());
    let mut store = SuspensionStore {
        listen_address: "127.0.0.1:1".to_owned(),
        name: "n0".to_owned(),
        path: folder.join("n0.suspended"),
        suspensions,
        fingerprint: None,
        written_at: Instant::now(),
    };
    store.suspensions.set("s-1", true).expect("the worker is listed");
    store.save_changes(&Inbox::new().0);
    assert_eq!(store.suspensions.saved(), Ok(()));
    store
}

/// Guards against a suspension that an upgrade loses after seven days without a call: the file was written on changes
/// only, and one of that age is ignored.
#[test]
fn a_file_without_changes_is_written_again() {
    let mut store = store_with_suspended_worker("refresh");
    let written = FileFingerprint::of(&store.path);
    store.refresh_if_due(store.written_at + REFRESH_INTERVAL / 2);
    assert!(written.is_some() && FileFingerprint::of(&store.path) == written, "it is not due yet");
    store.refresh_if_due(store.written_at + REFRESH_INTERVAL);
    assert!(FileFingerprint::of(&store.path) != written);
    let saved = store.read().expect("no file");
    assert_eq!(saved, store.suspensions.workers());
    assert!(saved.ids.contains("s-1"));
    std::fs::remove_dir_all(store.path.parent().expect("a folder")).expect("cannot remove folder");
}
