//! Lines from the bytes of a connection.

use crate::command::MAX_LINE_BYTES;

/// Collects the bytes of a connection into lines. A line longer than [`MAX_LINE_BYTES`] is reported as too long once its end
/// comes, and its bytes are dropped, so that no more than a line and one read are buffered.
#[derive(Default)]
pub struct LineReader {
    buffer: Vec<u8>,
    /// Bytes at the front of the buffer that were returned; the next call drops them.
    consumed: usize,
    skipping_long_line: bool,
}

/// What [`LineReader::next_line`] found.
#[derive(Debug, PartialEq, Eq)]
pub enum ReadLine<'a> {
    /// A line, without its end (`\n` or `\r\n`).
    Line(&'a [u8]),
    /// The end of a line that was too long.
    TooLong,
    /// No end of a line: more bytes are needed.
    Incomplete,
}

impl LineReader {
    /// Adds bytes that were read. Call [`LineReader::next_line`] then, until it returns [`ReadLine::Incomplete`].
    pub fn push(&mut self, bytes: &[u8]) {
        self.drop_consumed();
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether part of a line is buffered.
    #[must_use]
    pub fn has_partial_line(&self) -> bool {
        self.buffer.len() > self.consumed || self.skipping_long_line
    }

    /// The next line. It is valid until the next call.
    pub fn next_line(&mut self) -> ReadLine<'_> {
        self.drop_consumed();
        let Some(end) = self.buffer.iter().position(|&byte| byte == b'\n') else {
            // One byte more than a line, as its end may be `\r\n`.
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
