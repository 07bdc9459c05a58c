//! The administrators' lines.

use super::{Gearman, Peer};
use roselock_backlog::{Cancellation, State};
use std::fmt::Write;
use std::sync::atomic::Ordering;

/// Most lines of a list of jobs: an answer is built whole.
const JOBS: usize = 10_000;

/// The answer to one; none where the process is to end.
pub fn answer(front: &Gearman, peer: &Peer, line: &str) -> Option<String> {
    let words: Vec<&str> = line.split_whitespace().collect();
    let changes = matches!(
        words.as_slice(),
        ["cancel", ..]
            | ["maxqueue", ..]
            | ["create", ..]
            | ["drop", ..]
            | ["getpid"]
            | ["verbose"]
            | ["shutdown", ..]
    );
    if changes && !front.figures.admins.contains(&peer.address.ip()) {
        return Some(err("NOT_PERMITTED", "only from the addresses under admins in the operators' file"));
    }
    Some(match words.as_slice() {
        ["version"] => format!("OK {}\n", env!("CARGO_PKG_VERSION")),
        ["status"] => status(front),
        ["prioritystatus"] => priority_status(front),
        ["workers"] => workers(front),
        ["show", "jobs"] => show_jobs(front),
        ["show", "unique", "jobs"] => show_unique(front),
        ["show", "ends"] => ends(front),
        ["cancel", "job", handle] => cancel(front, handle),
        ["maxqueue", name, sizes @ ..] => max_queue(front, name, sizes),
        ["create", "function", name] => create(front, name),
        ["drop", "function", name] => drop_function(front, name),
        ["getpid"] => format!("OK {}\n", std::process::id()),
        ["verbose"] => {
            format!("OK {}\n", ["ERROR", "WARN", "INFO", "DEBUG"][front.verbose.load(Ordering::Relaxed) & 3])
        }
        ["shutdown"] | ["shutdown", "graceful"] => return None,
        ["show" | "cancel" | "maxqueue" | "create" | "drop" | "shutdown", ..] => {
            err("INCOMPLETE_ARGS", "an argument is missing, or there is one too many")
        }
        _ => err("UNKNOWN_COMMAND", "unknown server command"),
    })
}

fn err(code: &str, text: &str) -> String {
    format!("ERR {code} {}\n", text.replace(' ', "+"))
}

/// Function, jobs, those that run, workers that can.
fn status(front: &Gearman) -> String {
    let registry = front.functions();
    let jobs = front.jobs.lock();
    let mut lines = String::new();
    for (f, function) in registry.all.iter().enumerate() {
        let counts = jobs.backlog.counts(f);
        if counts.closed && counts.jobs() + counts.able == 0 {
            continue;
        }
        let _ = writeln!(lines, "{}\t{}\t{}\t{}", function.name, counts.jobs(), counts.running, counts.able);
    }
    lines + ".\n"
}

/// Function, jobs that wait by priority, workers that can.
fn priority_status(front: &Gearman) -> String {
    let registry = front.functions();
    let jobs = front.jobs.lock();
    let mut lines = String::new();
    for (f, function) in registry.all.iter().enumerate() {
        let counts = jobs.backlog.counts(f);
        let [high, normal, low] = counts.queued;
        let _ = writeln!(lines, "{}\t{high}\t{normal}\t{low}\t{}", function.name, counts.able);
    }
    lines + ".\n"
}

/// Connection, address, name, and what it can do.
fn workers(front: &Gearman) -> String {
    let registry = front.functions();
    let mut lines = String::new();
    for peer in front.peers.lock().values() {
        let name = peer.name.lock().clone();
        let name = if name.is_empty() { "-" } else { &name };
        let _ = write!(lines, "{} {} {name} :", peer.number, peer.address.ip());
        for f in peer.able() {
            let _ = write!(lines, " {}", registry.all[f].name);
        }
        lines.push('\n');
    }
    lines + ".\n"
}

/// Handle, attempts so far, whether it waits for its time, whether it is queued, whether a worker has it.
fn show_jobs(front: &Gearman) -> String {
    let jobs = front.jobs.lock();
    let mut all: Vec<_> = jobs.backlog.iter().collect();
    all.sort_unstable_by_key(|j| j.0);
    let mut lines = String::new();
    for (no, job) in all.into_iter().take(JOBS) {
        let flag = |on: bool| on as u8;
        let (set, queued) = (flag(job.state == State::Scheduled), flag(job.state == State::Queued));
        let _ =
            writeln!(lines, "{}\t{}\t{set}\t{queued}\t{}", front.handle(no), job.attempts, flag(job.running));
    }
    lines + ".\n"
}

/// Unique ids.
fn show_unique(front: &Gearman) -> String {
    let jobs = front.jobs.lock();
    let mut all: Vec<_> = jobs.backlog.iter().filter(|j| !j.1.unique.is_empty()).collect();
    all.sort_unstable_by_key(|j| j.0);
    let mut lines = String::new();
    for (_, job) in all.into_iter().take(JOBS) {
        let unique = String::from_utf8_lossy(&job.unique);
        let _ = writeln!(lines, "{}", unique.replace(char::is_control, "?"));
    }
    lines + ".\n"
}

/// Jobs that have ended since the start, by how; `lost` are background jobs without a worker's word.
fn ends(front: &Gearman) -> String {
    let e = front.jobs.lock().ends;
    let all = [
        ("served", e.served),
        ("failed", e.failed),
        ("refused", e.refused),
        ("expired", e.expired),
        ("cancelled", e.cancelled),
        ("left", e.left),
        ("lost", e.lost),
    ];
    all.iter().map(|(how, n)| format!("{how}\t{n}\n")).collect::<String>() + ".\n"
}

fn cancel(front: &Gearman, handle: &str) -> String {
    let Some(no) = front.job_no(handle.as_bytes()) else { return err("NOT_FOUND", "no such job") };
    let cancelled = {
        let mut jobs = front.jobs.lock();
        let cancelled = jobs.backlog.cancel(no);
        if let Cancellation::Cancelled(ended, _) = &cancelled {
            jobs.ends.cancelled += 1;
            jobs.ends.lost += (ended.background && ended.waiters.is_empty()) as u64;
        }
        cancelled
    };
    match cancelled {
        Cancellation::Cancelled(ended, stream) => {
            front.last_words(&ended, b"cancelled");
            if ended.background {
                front.log_lost(&ended, "cancelled by an administrator");
            }
            stream.into_iter().for_each(|s| front.inbox.post(crate::core::Input::ClientDisconnected(s)));
            "OK\n".into()
        }
        Cancellation::Running => err("JOB_RUNS", "a worker has it, or may have had it"),
        Cancellation::Unknown => err("NOT_FOUND", "no such job"),
    }
}

/// One size for all priorities, or one each; none: as the file says; below 0: without a bound of its own.
fn max_queue(front: &Gearman, name: &str, sizes: &[&str]) -> String {
    let registry = front.functions();
    let Some(f) = registry.find(name.as_bytes()) else { return err("UNKNOWN_FUNCTION", "not taken here") };
    let parsed: Result<Vec<i64>, _> = sizes.iter().map(|s| s.parse::<i64>()).collect();
    let most = |n: i64| usize::try_from(n).unwrap_or(front.figures.bounds.jobs);
    let each = match parsed.as_deref() {
        Ok([]) => registry.all[f].queue.max_queue,
        Ok([all]) => [most(*all); 3],
        Ok([high, normal, low]) => [most(*high), most(*normal), most(*low)],
        _ => return err("INCOMPLETE_ARGS", "one size, or one each for high, ordinary and low"),
    };
    front.jobs.lock().backlog.set_max_queue(f, each);
    "OK\n".into()
}

fn create(front: &Gearman, name: &str) -> String {
    match front.function_for(name.as_bytes()) {
        Some(f) => {
            let queue = front.functions().all[f].queue.clone();
            front.jobs.lock().backlog.reconfigure(f, queue);
            "OK\n".into()
        }
        None => err("UNKNOWN_FUNCTION", "the operators' file neither names it nor has a default entry"),
    }
}

fn drop_function(front: &Gearman, name: &str) -> String {
    let Some(f) = front.functions().find(name.as_bytes()) else {
        return err("UNKNOWN_FUNCTION", "not taken here");
    };
    let counts = front.jobs.lock().backlog.counts(f);
    if counts.jobs() > 0 || counts.able > 0 {
        return err("FUNCTION_IN_USE", "there are still workers or jobs of it");
    }
    front.close(f);
    "OK\n".into()
}
