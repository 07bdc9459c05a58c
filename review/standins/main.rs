//! The stand-ins of the review's cases: clients, workers, discovery and the platform, on loopback addresses and the
//! real clock. Usage: `standins CASE FOLDER`, from the repository's root. Exit status: 1 if the rule was broken, 0 if
//! it held, 2 if the case could not run.

mod cases;
mod client;
mod discovery;
mod http;
mod platform;
mod record;
mod worker;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let with_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    platform::start_watchdog(std::time::Duration::from_secs(110));
    let record = record::Record::new();
    let result = cases::run(case, &record, with_trouble);
    let (verdict, status) = match &result {
        Ok(broken) if broken.is_empty() => ("the rule held".to_owned(), 0),
        Ok(broken) => (format!("the rule was broken: {}", broken.join("; ")), 1),
        Err(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record.note(&format!("verdict: {verdict}"));
    if let Err(error) = record.write(folder) {
        eprintln!("cannot write record.txt: {error}");
        return ExitCode::from(2);
    }
    println!("{case}, trouble {}: {verdict}", if with_trouble { "on" } else { "off" });
    ExitCode::from(status)
}
