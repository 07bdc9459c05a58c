//! The command.

use argh::FromArgs;
use roselock_gearman_conformance::{Case, all, run};
use std::net::SocketAddr;
use std::process::ExitCode;

/// Plays scripted transcripts against a Gearman server on loopback and prints where it differs.
#[derive(FromArgs)]
struct Args {
    /// where the server listens, such as 127.0.0.1:4730
    #[argh(option)]
    at: Option<SocketAddr>,
    /// only cases whose names have this in them
    #[argh(option)]
    filter: Option<String>,
    /// the kind of server, which plays the cases that only such have, too: roselock
    #[argh(option)]
    kind: Option<String>,
    /// list the cases and play none
    #[argh(switch)]
    list: bool,
    /// one JSON object a case instead of a table
    #[argh(switch)]
    json: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let wanted = |case: &Case| {
        args.filter.as_ref().is_none_or(|f| case.name.contains(f.as_str()))
            && (args.list || case.only.is_none() || case.only == args.kind)
    };
    let cases: Vec<Case> = all().into_iter().filter(wanted).collect();
    if args.list {
        cases.iter().for_each(|c| println!("{:44} {:34} {}", c.name, c.section, c.why));
        return ExitCode::SUCCESS;
    }
    let Some(at) = args.at else {
        eprintln!("name the server with --at, or --list the cases");
        return ExitCode::from(2);
    };
    if !at.ip().is_loopback() {
        eprintln!("--at {at}: only a server on this machine, at a loopback address");
        return ExitCode::from(2);
    }
    let results = run(at, &cases, &std::process::id().to_string());
    let mut differ = 0;
    for (case, result) in &results {
        differ += result.is_err() as usize;
        let words = result.as_ref().err().map(ToString::to_string).unwrap_or_default();
        let verdict = if result.is_ok() { "ok" } else { "differs" };
        if args.json {
            println!(
                "{{\"case\":{:?},\"section\":{:?},\"verdict\":{verdict:?},\"first\":{words:?}}}",
                case.name, case.section
            );
        } else {
            println!("{:44} {:34} {verdict} {words}", case.name, case.section);
        }
    }
    if !args.json {
        println!("{} cases, {differ} differ", results.len());
    }
    if differ == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
