//! Incremental parser of the endpoint lists in the bytes of a discovery watch. No I/O.

use super::list::EndpointList;
use serde::de::IgnoredAny;
use serde_json::Deserializer;
use thiserror::Error;

/// The reason why bytes of a watch were skipped.
#[derive(Debug, Error)]
pub enum MalformedList {
    /// The list is incomplete and followed by another one.
    #[error("truncated list")]
    Truncated,
    /// The bytes are not valid JSON, or the value is not an endpoint list.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
}

/// Extracts the lists from a stream of bytes. Lists are JSON objects, each on a single line or spread over
/// several indented lines. Truncated or malformed input is skipped up to the next line that begins with a
/// brace, because only a list begins in the first column.
#[derive(Default)]
pub struct ListParser {
    buffer: Vec<u8>,
    /// `Some` while malformed bytes are skipped: whether the last skipped byte ended a line.
    skipping: Option<bool>,
}

impl ListParser {
    /// Appends received bytes.
    pub fn push(&mut self, mut bytes: &[u8]) {
        if let Some(at_line_start) = self.skipping {
            let Some(start) = next_list_start(bytes, at_line_start) else {
                self.skipping = Some(bytes.last().map_or(at_line_start, |byte| *byte == b'\n'));
                return;
            };
            self.skipping = None;
            bytes = &bytes[start..];
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Number of buffered bytes of an incomplete list; at least 1 while malformed bytes are skipped.
    pub fn buffered(&self) -> usize {
        self.buffer.len() + usize::from(self.skipping.is_some())
    }

    /// The next list, or the reason why bytes were skipped; `None` if more bytes are needed.
    pub fn next_list(&mut self) -> Option<Result<EndpointList, MalformedList>> {
        self.skip_whitespace();
        if self.buffer.is_empty() {
            return None;
        }
        let mut values = Deserializer::from_slice(&self.buffer).into_iter::<IgnoredAny>();
        let value = values.next()?;
        let end = values.byte_offset();
        match value {
            Ok(_) => Some(self.take_list(end)),
            Err(error) if error.is_eof() => self.skip_truncated(),
            Err(error) => {
                self.skip_malformed();
                Some(Err(error.into()))
            }
        }
    }

    fn skip_whitespace(&mut self) {
        let whitespace_length = self.buffer.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
        self.buffer.drain(..whitespace_length);
    }

    /// Removes the value that ends at `end` and parses it as a list.
    fn take_list(&mut self, end: usize) -> Result<EndpointList, MalformedList> {
        let list = serde_json::from_slice(&self.buffer[..end]);
        self.buffer.drain(..end);
        Ok(list?)
    }

    /// Skips an incomplete list if a complete one follows it; otherwise its remaining bytes may still arrive.
    fn skip_truncated(&mut self) -> Option<Result<EndpointList, MalformedList>> {
        let next = next_list_start(&self.buffer[1..], false)? + 1;
        let mut following = Deserializer::from_slice(&self.buffer[next..]).into_iter::<EndpointList>();
        if !matches!(following.next(), Some(Ok(_))) {
            return None;
        }
        self.buffer.drain(..next);
        Some(Err(MalformedList::Truncated))
    }

    /// Skips bytes up to the next list, which may not have been received yet.
    fn skip_malformed(&mut self) {
        if let Some(next) = next_list_start(&self.buffer[1..], false) {
            self.buffer.drain(..=next);
        } else {
            self.skipping = Some(self.buffer.ends_with(b"\n"));
            self.buffer.clear();
        }
    }
}

/// Whether a list may end within these bytes of a watch. It is false for most parts of a long list, which so is parsed a few
/// times only while it arrives.
pub fn may_end_list(bytes: &[u8]) -> bool {
    let ends_here = |next: Option<&u8>| next.is_none_or(|byte| byte.is_ascii_whitespace() || *byte == b'{');
    (0..bytes.len()).any(|index| bytes[index] == b'}' && ends_here(bytes.get(index + 1)))
        || bytes.iter().all(u8::is_ascii_whitespace)
}

/// The first position where a line begins with a brace. `at_line_start` is whether `bytes` begins a line.
fn next_list_start(bytes: &[u8], at_line_start: bool) -> Option<usize> {
    let starts_line = |index: usize| if index == 0 { at_line_start } else { bytes[index - 1] == b'\n' };
    (0..bytes.len()).find(|index| bytes[*index] == b'{' && starts_line(*index))
}

#[cfg(test)]
#[path = "list_parser_tests.rs"]
mod tests;
