//! `roselock-capacity`: measures how the cost of a dispatcher grows with its surroundings.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    roselock_capacity::command::main(&arguments)
}
