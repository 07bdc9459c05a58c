//! The commands of the admin address: one line each, answered by one line that begins with `+OK` or `-ERR`.

pub use crate::line_reader::{LineReader, ReadLine};

/// The longest line that is read, in bytes, without its end.
pub const MAX_LINE_BYTES: usize = 256;
/// The longest worker id, in bytes.
pub const MAX_ID_BYTES: usize = 128;

/// A command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command<'a> {
    /// Show whether this process can serve.
    Status,
    /// Show the metrics, then a line `.`.
    Metrics,
    /// Suspend the worker with this id.
    Suspend(&'a str),
    /// Restore the worker with this id.
    Restore(&'a str),
}

/// Why a line is no command. Operators' tools see the text, after `-ERR`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// Nothing but blanks.
    #[error("empty line: say STATUS, METRICS, SUSPEND ID or RESTORE ID")]
    Empty,
    /// Longer than [`MAX_LINE_BYTES`].
    #[error("line too long: at most 256 bytes")]
    TooLong,
    /// Not printable ASCII.
    #[error("not text: calls are printable ASCII")]
    NotPrintable,
    /// No such verb.
    #[error("unknown call: say STATUS, METRICS, SUSPEND ID or RESTORE ID")]
    Unknown,
    /// No worker id after a verb that needs one.
    #[error("no worker id: say SUSPEND ID or RESTORE ID")]
    MissingId,
    /// More words than the verb takes.
    #[error("too many words")]
    TooManyWords,
    /// A worker id with other bytes than are allowed, or longer than [`MAX_ID_BYTES`].
    #[error("not a worker id: at most 128 bytes of letters, digits and -_.:")]
    InvalidId,
}

impl CommandError {
    /// The line that answers it, without its end.
    #[must_use]
    pub fn response(self) -> String {
        format!("-ERR {self}")
    }
}

/// Parses one line, without its end. Verbs may be in any case, words are separated by spaces or tabs.
///
/// # Errors
/// Returns [`CommandError`] if the line is no command.
pub fn parse(line: &[u8]) -> Result<Command<'_>, CommandError> {
    let text = printable(line)?;
    let mut words = text.split_ascii_whitespace();
    let verb = words.next().ok_or(CommandError::Empty)?;
    let id = words.next();
    if words.next().is_some() {
        return Err(CommandError::TooManyWords);
    }
    match verb.to_ascii_uppercase().as_str() {
        "STATUS" => without_id(id, Command::Status),
        "METRICS" => without_id(id, Command::Metrics),
        "SUSPEND" => Ok(Command::Suspend(valid_id(id)?)),
        "RESTORE" => Ok(Command::Restore(valid_id(id)?)),
        _ => Err(CommandError::Unknown),
    }
}

/// The line as text of printable ASCII, spaces and tabs.
fn printable(line: &[u8]) -> Result<&str, CommandError> {
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

fn without_id<'a>(id: Option<&str>, command: Command<'a>) -> Result<Command<'a>, CommandError> {
    match id {
        Some(_) => Err(CommandError::TooManyWords),
        None => Ok(command),
    }
}

fn valid_id(id: Option<&str>) -> Result<&str, CommandError> {
    let id = id.ok_or(CommandError::MissingId)?;
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    if id.len() > MAX_ID_BYTES || !id.bytes().all(is_allowed) {
        return Err(CommandError::InvalidId);
    }
    Ok(id)
}
