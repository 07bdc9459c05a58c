//! State saved in a durable folder survives write faults and kills. The requirements: "In a folder that lasts, writes and
//! syncs may fail for a while (ENOSPC, EIO), a kill may cut a write; what was taken on is still owed"; "from the dispatcher's
//! yes … until the call back, the rule on drains holds for that worker …, and it holds over an upgrade"
//! (docs/terms-audit.md).

mod common;
use common::faults::Faults;
use common::*;
use rstest::rstest;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

const DONE_FIELDS: &str = r#""state":"done","result":"r","load":{"x0":1}"#;

/// A durable folder, and the path of a file whose presence makes writes to the folder fail.
fn folder(name: &str) -> (PathBuf, PathBuf) {
    let folder =
        Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("durable-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("cannot create directory");
    let failing = folder.with_extension("failing");
    let _ = std::fs::remove_file(&failing);
    (folder, failing)
}

/// The faults that make writes to `folder` fail while the file `failing` exists.
fn write_faults(failing: &Path, folder: &Path) -> Option<Faults> {
    Some(Faults::new().with("FAULT_WHILE", failing.display()).with("FAULT_FOLDER", folder.display()))
}

/// Repeats a call at the admin address until it is answered with `+OK`.
fn call_until_ok(dispatcher: &Dispatcher, call: &str) {
    let started = Instant::now();
    while !dispatcher.admin_call(call)[0].starts_with("+OK") {
        assert!(started.elapsed() < WAIT_TIMEOUT, "{call}");
    }
}

/// A `SUSPEND` or `RESTORE` that was answered with `+OK` survives SIGKILL. Regression: the answer came before the file was
/// written, so that a kill within the next 0.1 s or a full disk lost the change.
#[rstest]
fn a_confirmed_suspension_survives_sigkill() {
    let (first, second) = (Host::new("s-1"), Host::new("s-2"));
    let (folder, failing) = folder("yes");
    let discovery = MockDiscovery::start();
    let (settings, cached_list) = (
        settings(0.0, 2.0),
        endpoint_list(7, true, &[first.list_entry("ready"), second.list_entry("ready")]),
    );
    let start = || StartOptions {
        admin: true,
        tmp: Some(folder.clone()),
        faults: write_faults(&failing, &folder),
        ..StartOptions::new(discovery.address, &settings, &cached_list)
    };
    let unhealthy = |dispatcher: &Dispatcher| {
        let figures: serde_json::Value =
            serde_json::from_str(&dispatcher.admin_call("METRICS")[0]).expect("METRICS is not JSON");
        figures["cluster_unhealthy"].as_u64()
    };
    for (call, wanted) in [("SUSPEND s-1", 1), ("RESTORE s-1", 0), ("SUSPEND s-2", 1)] {
        let mut process = Dispatcher::launch(start());
        wait_until_ready(&process);
        call_until_ok(&process, call);
        process.process.kill();
        let next = Dispatcher::launch(start());
        wait_until_ready(&next);
        assert_eq!(unhealthy(&next), Some(wanted), "{call} was answered with +OK");
    }
    // A change that cannot be saved is answered with `-ERR` within the second that a caller waits, and still takes effect.
    let mut process = Dispatcher::launch(start());
    wait_until_ready(&process);
    std::fs::write(&failing, "").expect("cannot write file");
    let called = Instant::now();
    let response = process.admin_call("SUSPEND s-1");
    assert!(response[0].starts_with("-ERR") && called.elapsed() < Duration::from_secs(1), "{response:?}");
    assert_eq!(unhealthy(&process), Some(2));
    std::fs::remove_file(&failing).expect("cannot remove file");
    call_until_ok(&process, "SUSPEND s-1");
    process.process.kill();
    let next = Dispatcher::launch(start());
    wait_until_ready(&next);
    assert_eq!(unhealthy(&next), Some(2));
}

/// A callback that reaches the other process of an upgrade is relayed once writes succeed again. Regression: it was answered
/// with 204 and dropped if the write failed or was cut short, and later callbacks were not read.
#[rstest]
fn a_callback_is_relayed_once_writes_succeed_again() {
    let host = Host::new("s-1");
    let (folder, failing) = folder("relay");
    let discovery = MockDiscovery::start();
    let (settings, cached_list) = (settings(0.0, 5.0), endpoint_list(7, true, &[host.list_entry("ready")]));
    let start = || StartOptions {
        admin: true,
        tmp: Some(folder.clone()),
        inherited_listener: Some(bind()),
        faults: write_faults(&failing, &folder),
        ..StartOptions::new(discovery.address, &settings, &cached_list)
    };
    let connection_owner = Dispatcher::launch(start());
    let other = Dispatcher::launch(start());
    wait_until_ready(&connection_owner);
    wait_until_ready(&other);
    let mut clients = Vec::new();
    for id in ["c1", "c2"] {
        clients.push(connection_owner.send_request(id, "pay", 15.0));
        let mut peer = host.accept_request().0;
        peer.write(&ACCEPTED_RESPONSE.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n"));
        assert_eq!(connection_owner.send_callback(id, "s-1", r#""state":"started","load":{"x0":9}"#), 204);
    }
    std::fs::write(&failing, "").expect("cannot write file");
    assert_eq!(other.send_callback("c1", "s-1", DONE_FIELDS), 204);
    // Writes fail during several polls of the writer thread.
    let started = Instant::now();
    while started.elapsed() < Duration::from_millis(200) {
        std::thread::yield_now();
    }
    std::fs::remove_file(&failing).expect("cannot remove file");
    assert_eq!(other.send_callback("c2", "s-1", DONE_FIELDS), 204);
    let statuses: Vec<u16> = clients.iter_mut().map(|c| c.read().expect("no response").status()).collect();
    assert_eq!(statuses, [200; 2]);
    assert!(started.elapsed() < Duration::from_secs(5));
}
