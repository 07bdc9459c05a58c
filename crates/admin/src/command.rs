//! The commands of the admin address. Each is one line; its response begins with `+OK` or `-ERR`.

pub use crate::line_reader::{LineReader, ReadLine};

/// The longest line that is accepted, in bytes, without its line ending.
pub const MAX_LINE_BYTES: usize = 256;
/// The longest worker id, in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// A command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command<'a> {
    /// Show whether this process can serve.
    Status,
    /// Show the metrics, followed by a line `.`.
    Metrics,
    /// Suspend the worker with this id.
    Suspend(&'a str),
    /// Restore the worker with this id.
    Restore(&'a str),
}

/// Why a line is not a valid command. Operators' tools match the text, which follows `-ERR`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// The line is empty or blank.
    #[error("empty line: say STATUS, METRICS, SUSPEND ID or RESTORE ID")]
    Empty,
    /// The line is longer than [`MAX_LINE_BYTES`].
    #[error("line too long: at most 256 bytes")]
    TooLong,
    /// The line has bytes other than printable ASCII, spaces and tabs.
    #[error("not text: calls are printable ASCII")]
    NotPrintable,
    /// The first word is not a known verb.
    #[error("unknown call: say STATUS, METRICS, SUSPEND ID or RESTORE ID")]
    UnknownCommand,
    /// The worker id is missing after a verb that requires one.
    #[error("no worker id: say SUSPEND ID or RESTORE ID")]
    MissingId,
    /// The line has more words than the verb takes.
    #[error("too many words")]
    TooManyWords,
    /// The worker id has invalid bytes or is longer than [`MAX_ID_BYTES`].
    #[error("not a worker id: at most 128 bytes of letters, digits and -_.:")]
    InvalidId,
}

impl CommandError {
    /// The response line, without its line ending.
    #[must_use]
    pub fn response(self) -> String {
        format!("-ERR {self}")
    }
}

/// Parses one line, without its line ending. Verbs are case-insensitive; words are separated by spaces or tabs.
///
/// # Errors
/// Returns [`CommandError`] if the line is not a valid command.
pub fn parse(line: &[u8]) -> Result<Command<'_>, CommandError> {
    let text = parse_printable_ascii(line)?;
    let mut words = text.split_ascii_whitespace();
    let verb = words.next().ok_or(CommandError::Empty)?;
    let id = words.next();
    if words.next().is_some() {
        return Err(CommandError::TooManyWords);
    }
    match verb.to_ascii_uppercase().as_str() {
        "STATUS" => expect_no_id(id, Command::Status),
        "METRICS" => expect_no_id(id, Command::Metrics),
        "SUSPEND" => Ok(Command::Suspend(parse_worker_id(id)?)),
        "RESTORE" => Ok(Command::Restore(parse_worker_id(id)?)),
        _ => Err(CommandError::UnknownCommand),
    }
}

/// Checks that the line is short enough and consists of printable ASCII, spaces and tabs, and returns it as text.
fn parse_printable_ascii(line: &[u8]) -> Result<&str, CommandError> {
    if line.len() > MAX_LINE_BYTES {
        return Err(CommandError::TooLong);
    }
    let text = std::str::from_utf8(line).map_err(|_| CommandError::NotPrintable)?;
    let is_allowed = |byte: u8| byte == b' ' || byte == b'\t' || byte.is_ascii_graphic();
    if !text.bytes().all(is_allowed) {
        return Err(CommandError::NotPrintable);
    }
    Ok(text)
}

fn expect_no_id<'a>(id: Option<&str>, command: Command<'a>) -> Result<Command<'a>, CommandError> {
    match id {
        Some(_) => Err(CommandError::TooManyWords),
        None => Ok(command),
    }
}

fn parse_worker_id(id: Option<&str>) -> Result<&str, CommandError> {
    let id = id.ok_or(CommandError::MissingId)?;
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    if id.len() > MAX_ID_BYTES || !id.bytes().all(is_allowed) {
        return Err(CommandError::InvalidId);
    }
    Ok(id)
}
