//! The text commands of the Gearman administrative protocol.

use super::Gearman;
use super::peer::Peer;
use crate::core::Input;
use roselock_backlog::{Cancellation, Counts, State};
use std::fmt::Write;
use std::sync::atomic::Ordering;

/// Maximum number of jobs in a list, because replies are built in memory.
const MAX_LISTED_JOBS: usize = 10_000;
/// Replies to `verbose`.
const VERBOSITY_LEVELS: [&str; 4] = ["ERROR", "WARN", "INFO", "DEBUG"];

/// Executes a command and returns its reply, or `None` for a command that shuts the process down.
pub fn execute(front: &Gearman, peer: &Peer, line: &str) -> Option<String> {
    let words: Vec<&str> = line.split_whitespace().collect();
    if is_privileged(&words) && !front.settings.admins.contains(&peer.address.ip()) {
        let text = "only from the addresses under admins in the operators' file";
        return Some(error_line("NOT_PERMITTED", text));
    }
    let reply = match words.as_slice() {
        ["version"] => format!("OK {}\n", env!("CARGO_PKG_VERSION")),
        ["status"] => status(front),
        ["prioritystatus"] => priority_status(front),
        ["workers"] => workers(front),
        ["show", "jobs"] => show_jobs(front),
        ["show", "unique", "jobs"] => show_unique_jobs(front),
        ["show", "ends"] => show_ends(front),
        ["cancel", "job", handle] => cancel_job(front, handle),
        ["maxqueue", name, sizes @ ..] => set_max_queue(front, name, sizes),
        ["create", "function", name] => create_function(front, name),
        ["drop", "function", name] => drop_function(front, name),
        ["getpid"] => format!("OK {}\n", std::process::id()),
        ["verbose"] => verbosity(front),
        ["shutdown"] | ["shutdown", "graceful"] => return None,
        ["show" | "cancel" | "maxqueue" | "create" | "drop" | "shutdown", ..] => {
            error_line("INCOMPLETE_ARGS", "an argument is missing, or there is one too many")
        }
        _ => error_line("UNKNOWN_COMMAND", "unknown server command"),
    };
    Some(reply)
}

/// Whether a command is accepted from administrators' addresses only.
fn is_privileged(words: &[&str]) -> bool {
    matches!(
        words,
        ["cancel", ..]
            | ["maxqueue", ..]
            | ["create", ..]
            | ["drop", ..]
            | ["getpid"]
            | ["verbose"]
            | ["shutdown", ..]
    )
}

fn error_line(code: &str, text: &str) -> String {
    format!("ERR {code} {}\n", text.replace(' ', "+"))
}

fn verbosity(front: &Gearman) -> String {
    let level = front.verbosity.load(Ordering::Relaxed) % VERBOSITY_LEVELS.len();
    format!("OK {}\n", VERBOSITY_LEVELS[level])
}

/// Formats one line per function, followed by the end-of-list marker. Functions for which `line` returns `None` are
/// omitted.
fn list_functions(front: &Gearman, line: impl Fn(&str, &Counts) -> Option<String>) -> String {
    let registry = front.function_registry();
    let jobs = front.jobs.lock();
    let mut lines = String::new();
    for (index, function) in registry.functions.iter().enumerate() {
        let counts = jobs.backlog.counts(index);
        if let Some(line) = line(&function.name, &counts) {
            lines.push_str(&line);
        }
    }
    lines + ".\n"
}

/// Per function: its name, and the numbers of jobs, of running jobs and of registered workers.
fn status(front: &Gearman) -> String {
    list_functions(front, |name, counts| {
        let total = counts.jobs();
        if counts.closed && total + counts.registered_workers == 0 {
            return None;
        }
        Some(format!("{name}\t{total}\t{}\t{}\n", counts.running, counts.registered_workers))
    })
}

/// Per function: its name, the number of queued jobs by priority, and the number of registered workers.
fn priority_status(front: &Gearman) -> String {
    list_functions(front, |name, counts| {
        let [high, normal, low] = counts.queued;
        Some(format!("{name}\t{high}\t{normal}\t{low}\t{}\n", counts.registered_workers))
    })
}

/// Per connection: its number, IP address, client ID and registered functions.
fn workers(front: &Gearman) -> String {
    let registry = front.function_registry();
    let mut lines = String::new();
    for peer in front.peers.lock().values() {
        let name = peer.name.lock().clone();
        let name = if name.is_empty() { "-" } else { &name };
        let _ = write!(lines, "{} {} {name} :", peer.number, peer.address.ip());
        for function in peer.registered_functions() {
            let _ = write!(lines, " {}", registry.functions[function].name);
        }
        lines.push('\n');
    }
    lines + ".\n"
}

/// Per job: its handle, the number of attempts so far, and whether it is scheduled, queued and running.
fn show_jobs(front: &Gearman) -> String {
    let jobs = front.jobs.lock();
    let mut listed: Vec<_> = jobs.backlog.iter().collect();
    listed.sort_unstable_by_key(|(job_no, _)| *job_no);
    let mut lines = String::new();
    for (job_no, job) in listed.into_iter().take(MAX_LISTED_JOBS) {
        let handle = front.job_handle(job_no);
        let is_scheduled = u8::from(job.state == State::Scheduled);
        let is_queued = u8::from(job.state == State::Queued);
        let is_running = u8::from(job.running);
        let attempts = job.attempts;
        let _ = writeln!(lines, "{handle}\t{attempts}\t{is_scheduled}\t{is_queued}\t{is_running}");
    }
    lines + ".\n"
}

/// The unique IDs of all jobs that have one.
fn show_unique_jobs(front: &Gearman) -> String {
    let jobs = front.jobs.lock();
    let mut listed: Vec<_> = jobs.backlog.iter().filter(|(_, job)| !job.unique.is_empty()).collect();
    listed.sort_unstable_by_key(|(job_no, _)| *job_no);
    let mut lines = String::new();
    for (_, job) in listed.into_iter().take(MAX_LISTED_JOBS) {
        let unique = String::from_utf8_lossy(&job.unique);
        let _ = writeln!(lines, "{}", unique.replace(char::is_control, "?"));
    }
    lines + ".\n"
}

/// The number of jobs that have ended since the process started, by outcome.
fn show_ends(front: &Gearman) -> String {
    let ended = front.jobs.lock().ended_counts;
    let counts = [
        ("served", ended.served),
        ("failed", ended.failed),
        ("refused", ended.rejected),
        ("expired", ended.expired),
        ("cancelled", ended.cancelled),
        ("left", ended.abandoned),
        ("lost", ended.lost),
    ];
    let lines: String = counts.iter().map(|(name, count)| format!("{name}\t{count}\n")).collect();
    lines + ".\n"
}

fn cancel_job(front: &Gearman, handle: &str) -> String {
    let Some(job_no) = front.job_no(handle.as_bytes()) else {
        return error_line("NOT_FOUND", "no such job");
    };
    match front.cancel_job(job_no) {
        Cancellation::Cancelled(ended, stream) => {
            front.notify_failed(&ended, b"cancelled");
            if ended.background {
                front.log_lost(&ended, "cancelled by an administrator");
            }
            if let Some(stream) = stream {
                front.inbox.post(Input::ClientDisconnected(stream));
            }
            "OK\n".into()
        }
        Cancellation::Running => error_line("JOB_RUNS", "a worker has it, or may have had it"),
        Cancellation::Unknown => error_line("NOT_FOUND", "no such job"),
    }
}

/// Sets the queue limits of a function: one size for all priorities, or one size each. Without sizes, the limits from
/// the settings file are restored. A negative size stands for the limit on the jobs of all functions.
fn set_max_queue(front: &Gearman, name: &str, sizes: &[&str]) -> String {
    let registry = front.function_registry();
    let Some(function) = registry.find(name.as_bytes()) else {
        return error_line("UNKNOWN_FUNCTION", "not taken here");
    };
    let parsed: Result<Vec<i64>, _> = sizes.iter().map(|size| size.parse::<i64>()).collect();
    let limit = |size: i64| usize::try_from(size).unwrap_or(front.settings.bounds.max_jobs);
    let max_queue = match parsed.as_deref() {
        Ok([]) => registry.functions[function].queue.max_queue,
        Ok([all]) => [limit(*all); 3],
        Ok([high, normal, low]) => [limit(*high), limit(*normal), limit(*low)],
        _ => return error_line("INCOMPLETE_ARGS", "one size, or one each for high, ordinary and low"),
    };
    front.jobs.lock().backlog.set_max_queue(function, max_queue);
    "OK\n".into()
}

fn create_function(front: &Gearman, name: &str) -> String {
    let Some(function) = front.find_or_add_function(name.as_bytes()) else {
        let text = "the operators' file neither names it nor has a default entry";
        return error_line("UNKNOWN_FUNCTION", text);
    };
    let queue = front.function_registry().functions[function].queue.clone();
    front.jobs.lock().backlog.reconfigure(function, queue);
    "OK\n".into()
}

fn drop_function(front: &Gearman, name: &str) -> String {
    let Some(function) = front.function_registry().find(name.as_bytes()) else {
        return error_line("UNKNOWN_FUNCTION", "not taken here");
    };
    let counts = front.jobs.lock().backlog.counts(function);
    if counts.jobs() > 0 || counts.registered_workers > 0 {
        return error_line("FUNCTION_IN_USE", "there are still workers or jobs of it");
    }
    front.close_function(function);
    "OK\n".into()
}
