//! Splits the bytes of a connection into lines.

use crate::command::MAX_LINE_BYTES;

/// Splits the bytes of a connection into lines. A line longer than [`MAX_LINE_BYTES`] is reported as too long when its end is
/// read, and its bytes are discarded, so that no more than one line and one read are buffered.
#[derive(Default)]
pub struct LineReader {
    buffer: Vec<u8>,
    /// Number of bytes at the front of the buffer that were returned as a line; the next call discards them.
    consumed: usize,
    /// Whether the start of a line that is too long has been discarded, and its end has not been read.
    skipping_long_line: bool,
}

/// The result of [`LineReader::next_line`].
#[derive(Debug, PartialEq, Eq)]
pub enum ReadLine<'a> {
    /// A line, without its line ending (`\n` or `\r\n`).
    Line(&'a [u8]),
    /// The end of a line that was too long.
    TooLong,
    /// No complete line is buffered: more bytes are needed.
    Incomplete,
}

impl LineReader {
    /// Adds bytes that were read. Afterwards, call [`LineReader::next_line`] until it returns [`ReadLine::Incomplete`].
    pub fn push(&mut self, bytes: &[u8]) {
        self.drop_consumed();
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether the input ends in an incomplete line.
    #[must_use]
    pub fn has_partial_line(&self) -> bool {
        self.buffer.len() > self.consumed || self.skipping_long_line
    }

    /// Returns the next line.
    pub fn next_line(&mut self) -> ReadLine<'_> {
        self.drop_consumed();
        let Some(end) = self.buffer.iter().position(|&byte| byte == b'\n') else {
            // One byte more than a line, as the line ending may be `\r\n`.
            if self.buffer.len() > MAX_LINE_BYTES + 1 {
                self.buffer.clear();
                self.skipping_long_line = true;
            }
            return ReadLine::Incomplete;
        };
        self.consumed = end + 1;
        let line_end = if end > 0 && self.buffer[end - 1] == b'\r' { end - 1 } else { end };
        let was_skipping = std::mem::take(&mut self.skipping_long_line);
        if was_skipping || line_end > MAX_LINE_BYTES {
            return ReadLine::TooLong;
        }
        ReadLine::Line(&self.buffer[..line_end])
    }

    fn drop_consumed(&mut self) {
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
    }
}

#[cfg(test)]
#[path = "line_reader_tests.rs"]
mod tests;
