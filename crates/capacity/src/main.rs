//! `roselock-capacity`: measures how the cost of a dispatcher scales with its installation.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    roselock_capacity::command::main(&arguments)
}
