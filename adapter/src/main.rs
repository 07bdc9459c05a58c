//! Runs dispatchers over the simulator's wire: a batch of events a line on standard input, a reply a line on
//! standard output. End of input exits with 0, malformed input with 1 and a message on standard error.

mod instance;
mod instances;
mod reply;
mod wire;

use instances::{BatchError, Instances};
use std::io::{self, BufRead, BufReader, Write, stdin, stdout};
use std::process::ExitCode;

/// Size of the input buffer, in bytes.
const INPUT_BUFFER_BYTES: usize = 1 << 16;

/// Why a line can't be answered.
#[derive(Debug, thiserror::Error)]
enum LineError {
    #[error("{0}")]
    Read(io::Error),
    #[error("not UTF-8: {0}")]
    NotUtf8(#[from] std::str::Utf8Error),
    #[error(transparent)]
    Batch(#[from] BatchError),
    #[error("cannot write the reply: {0}")]
    Write(io::Error),
}

/// An error with the number of its line, from 1.
#[derive(Debug, thiserror::Error)]
#[error("line {number}: {source}")]
struct RunError {
    number: u64,
    source: LineError,
}

/// Input and output of the process, with their buffers.
struct Wire<R, W> {
    input: R,
    output: W,
    line: Vec<u8>,
    reply: String,
}

impl<R: BufRead, W: Write> Wire<R, W> {
    /// Answers the next line; returns `false` at the end of the input.
    fn answer_line(&mut self, instances: &mut Instances) -> Result<bool, LineError> {
        self.line.clear();
        let read = self.input.read_until(b'\n', &mut self.line).map_err(LineError::Read)?;
        if read == 0 {
            return Ok(false);
        }
        let text = std::str::from_utf8(&self.line)?;
        instances.answer(text, &mut self.reply)?;
        self.output.write_all(self.reply.as_bytes()).map_err(LineError::Write)?;
        self.output.flush().map_err(LineError::Write)?;
        Ok(true)
    }
}

fn run() -> Result<(), RunError> {
    let mut instances = Instances::default();
    let mut wire = Wire {
        input: BufReader::with_capacity(INPUT_BUFFER_BYTES, stdin().lock()),
        output: stdout().lock(),
        line: Vec::new(),
        reply: String::new(),
    };
    let mut number = 1;
    while wire.answer_line(&mut instances).map_err(|source| RunError { number, source })? {
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
