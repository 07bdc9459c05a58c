//! Encodes actions in wire format.

use roselock::{Action, Micros, SECOND, WorkerId};
use std::collections::HashMap;
use std::fmt::Write;

/// Appends an action to a reply. `addresses` maps worker ids to addresses.
pub fn write_action(action: &Action, addresses: &HashMap<u64, String>, reply: &mut String) {
    let address = |worker: &WorkerId| addresses.get(&worker.0).map_or("", String::as_str);
    let quoted_address = |worker: &WorkerId| quoted(address(worker));
    // Writing to a `String` cannot fail.
    let _ = match action {
        Action::Send { job, worker, timeout } => {
            write!(reply, r#"["callOut",{},{},{}]"#, job.0, quoted_address(worker), seconds(*timeout))
        }
        Action::Cancel { job, attempt } => write!(reply, r#"["abortAttempt",{},{attempt}]"#, job.0),
        Action::Reject { job, retry_after } => {
            write!(reply, r#"["bounce",{},{}]"#, job.0, seconds(*retry_after))
        }
        Action::Fail { job } => write!(reply, r#"["reportFailure",{}]"#, job.0),
        Action::Timer { delay, token } => write!(reply, r#"["defer",{},{token}]"#, seconds(*delay)),
        Action::WatchEndpoints => write!(reply, r#"["watch",true]"#),
        Action::HealthCheck(worker) => write!(reply, r#"["soundOut",{}]"#, quoted_address(worker)),
        Action::CloseIdleConnections(worker) => write!(reply, r#"["hangUp",{}]"#, quoted_address(worker)),
        Action::Log { message, worker } => {
            write!(reply, r#"["sayLog",{}]"#, quoted(&format!("{} {message}", address(worker))))
        }
    };
}

fn seconds(time: Micros) -> f64 {
    time as f64 / SECOND as f64
}

/// Encodes text as a JSON string.
fn quoted(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}
