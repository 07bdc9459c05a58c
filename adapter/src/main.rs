//! Runs dispatchers over the simulator's wire protocol: reads one batch of events per line from standard input, and writes one
//! reply per line to standard output. Exits with 0 at the end of the input, and with 1 and a message on standard error if the
//! input is malformed.

mod instance;
mod instances;
mod reply;
mod wire;

use instances::{BatchError, Instances};
use std::io::{self, BufRead, BufReader, Write, stdin, stdout};
use std::process::ExitCode;

/// Size of the input buffer, in bytes.
const INPUT_BUFFER_BYTES: usize = 1 << 16;

/// Why a line cannot be processed.
#[derive(Debug, thiserror::Error)]
enum LineError {
    #[error("cannot read the input: {0}")]
    Read(io::Error),
    #[error("input is not UTF-8: {0}")]
    NotUtf8(#[from] std::str::Utf8Error),
    #[error(transparent)]
    Batch(#[from] BatchError),
    #[error("cannot write the reply: {0}")]
    Write(io::Error),
}

/// An error with its line number, from 1.
#[derive(Debug, thiserror::Error)]
#[error("line {number}: {source}")]
struct RunError {
    number: u64,
    source: LineError,
}

/// The input and output of the process, with their buffers.
struct Transport<R, W> {
    input: R,
    output: W,
    line: Vec<u8>,
    reply: String,
}

impl<R: BufRead, W: Write> Transport<R, W> {
    /// Processes the next line and writes its reply; returns `false` at the end of the input.
    fn process_next_line(&mut self, instances: &mut Instances) -> Result<bool, LineError> {
        self.line.clear();
        let read = self.input.read_until(b'\n', &mut self.line).map_err(LineError::Read)?;
        if read == 0 {
            return Ok(false);
        }
        let text = std::str::from_utf8(&self.line)?;
        instances.process_line(text, &mut self.reply)?;
        self.output.write_all(self.reply.as_bytes()).map_err(LineError::Write)?;
        self.output.flush().map_err(LineError::Write)?;
        Ok(true)
    }
}

fn run() -> Result<(), RunError> {
    let mut instances = Instances::default();
    let mut transport = Transport {
        input: BufReader::with_capacity(INPUT_BUFFER_BYTES, stdin().lock()),
        output: stdout().lock(),
        line: Vec::new(),
        reply: String::new(),
    };
    let mut number = 1;
    while transport.process_next_line(&mut instances).map_err(|source| RunError { number, source })? {
        number += 1;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("roselock-simhost: {error}");
            ExitCode::FAILURE
        }
    }
}
