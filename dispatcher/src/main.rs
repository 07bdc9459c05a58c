//! The dispatcher on real sockets: what is spoken on the wire, what is kept in memory, start and stop.

mod cli;
mod core;
mod lifecycle;
mod wire;

fn main() -> std::process::ExitCode {
    cli::run(argh::from_env())
}
