//! The command `roselock-gearman-conformance`.

use argh::FromArgs;
use roselock_gearman_conformance::{Case, Difference, all, run};
use std::net::SocketAddr;
use std::process::ExitCode;

/// Run the conformance cases against a Gearman server on loopback and print where it differs.
#[derive(FromArgs)]
struct Args {
    /// address of the server, such as 127.0.0.1:4730
    #[argh(option)]
    at: Option<SocketAddr>,
    /// run or list only cases whose names contain this text
    #[argh(option)]
    filter: Option<String>,
    /// kind of server; also runs the cases that apply only to it: roselock
    #[argh(option)]
    kind: Option<String>,
    /// list the cases without running them
    #[argh(switch)]
    list: bool,
    /// print one JSON object per case instead of a table
    #[argh(switch)]
    json: bool,
}

/// The exit status of invalid arguments.
const INVALID_ARGUMENTS: u8 = 2;

/// Why the arguments specify no server to test.
#[derive(Debug, thiserror::Error)]
enum ServerError {
    #[error("specify the server with --at, or list the cases with --list")]
    Missing,
    #[error("--at {0}: the server must be at a loopback address")]
    NotLoopback(SocketAddr),
}

impl Args {
    /// Returns whether a case is to be listed or run.
    fn selects(&self, case: &Case) -> bool {
        let name_matches = self.filter.as_ref().is_none_or(|filter| case.name.contains(filter.as_str()));
        name_matches && (self.list || case.only.is_none() || case.only == self.kind)
    }

    /// The address of the server to test.
    fn server(&self) -> Result<SocketAddr, ServerError> {
        let server = self.at.ok_or(ServerError::Missing)?;
        if !server.ip().is_loopback() {
            return Err(ServerError::NotLoopback(server));
        }
        Ok(server)
    }
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let cases: Vec<Case> = all().into_iter().filter(|case| args.selects(case)).collect();
    if args.list {
        for case in &cases {
            println!("{:44} {:34} {}", case.name, case.section, case.why);
        }
        return ExitCode::SUCCESS;
    }
    let server = match args.server() {
        Ok(server) => server,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(INVALID_ARGUMENTS);
        }
    };
    let results = run(server, &cases, &std::process::id().to_string());
    for (case, result) in &results {
        print_result(case, result.as_ref().err(), args.json);
    }
    let differ = results.iter().filter(|(_, result)| result.is_err()).count();
    if !args.json {
        println!("{} cases, {differ} differ", results.len());
    }
    if differ == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn print_result(case: &Case, difference: Option<&Difference>, json: bool) {
    let first = difference.map(ToString::to_string).unwrap_or_default();
    let verdict = if difference.is_none() { "ok" } else { "differs" };
    if json {
        println!(
            "{{\"case\":{:?},\"section\":{:?},\"verdict\":{verdict:?},\"first\":{first:?}}}",
            case.name, case.section
        );
    } else {
        println!("{:44} {:34} {verdict} {first}", case.name, case.section);
    }
}
