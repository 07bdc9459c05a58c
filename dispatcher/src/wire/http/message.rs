//! A message, and the framing of its body according to its headers.

use super::MAX_BODY_BYTES;
use super::read_buffer::READ_SIZE;
use roselock::Micros;
use std::ops::Range;

/// A message: a buffer, and the ranges of the message parts in it.
#[derive(Debug, Default)]
pub struct Message {
    /// The buffer, which holds the head and the body.
    pub raw: Vec<u8>,
    /// The method of a request.
    pub method: Range<usize>,
    /// The path and query of a request.
    pub target: Range<usize>,
    /// The status of a response.
    pub status: u16,
    /// The range of the body.
    pub body: Range<usize>,
    /// Whether the connection closes after this message.
    pub close: bool,
    /// When the last byte of the message was read.
    pub received_at: Micros,
    pub(super) headers: Vec<Header>,
    pub(super) framing: Framing,
}

/// The ranges of the name and value of a header.
#[derive(Debug)]
pub(super) struct Header {
    pub(super) name: Range<usize>,
    pub(super) value: Range<usize>,
}

/// The framing of the body, and the connection options in the headers.
#[derive(Debug, Default)]
pub(super) struct Framing {
    /// The value of `Content-Length`.
    pub(super) content_length: Option<usize>,
    /// Whether the body uses the chunked transfer coding.
    pub(super) is_chunked: bool,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub(super) expects_continue: bool,
    /// Whether `Connection: close` is set.
    close: bool,
    /// Whether two `Content-Length` headers differ.
    has_conflicting_lengths: bool,
}

impl Framing {
    /// Evaluates one header. The error is the status to respond with.
    fn add_header(&mut self, name: &str, value: &str) -> Result<(), u16> {
        if name.eq_ignore_ascii_case("content-length") {
            self.add_content_length(value)?;
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") || self.is_chunked {
                return Err(400);
            }
            self.is_chunked = true;
        } else if name.eq_ignore_ascii_case("connection") {
            self.close |= value.split(',').any(|option| option.trim().eq_ignore_ascii_case("close"));
        } else if name.eq_ignore_ascii_case("expect") {
            self.expects_continue |= value.eq_ignore_ascii_case("100-continue");
        }
        Ok(())
    }

    fn add_content_length(&mut self, value: &str) -> Result<(), u16> {
        if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_digit()) {
            return Err(400);
        }
        let length: usize = value.parse().map_err(|_| 413u16)?;
        let first = *self.content_length.get_or_insert(length);
        self.has_conflicting_lengths |= first != length;
        Ok(())
    }

    /// Fails if the headers contradict each other, or announce a body above the limit. The error is the
    /// status to respond with.
    fn check(&self, max_body: usize) -> Result<(), u16> {
        if self.has_conflicting_lengths || (self.is_chunked && self.content_length.is_some()) {
            return Err(400);
        }
        if self.content_length.is_some_and(|length| length > max_body) { Err(413) } else { Ok(()) }
    }
}

/// A part of a buffer as text; empty if it is not UTF-8. The parts of a head that are evaluated are ASCII.
fn text_in<'a>(raw: &'a [u8], part: &Range<usize>) -> &'a str {
    std::str::from_utf8(&raw[part.clone()]).unwrap_or("")
}

impl Message {
    /// A part of the message as text; empty if it is not UTF-8.
    pub fn text(&self, part: &Range<usize>) -> &str {
        text_in(&self.raw, part)
    }

    /// The range of the value of the first header with this name.
    pub fn header_range(&self, name: &str) -> Option<Range<usize>> {
        let header = self.headers.iter().find(|header| self.is_named(header, name));
        header.map(|header| header.value.clone())
    }

    /// The value of the first header with this name, trimmed.
    pub fn header_value(&self, name: &str) -> Option<&str> {
        self.header_range(name).map(|value| self.text(&value).trim())
    }

    /// Whether two headers with this name have different values.
    pub fn has_conflicting_values(&self, name: &str) -> bool {
        let named = self.headers.iter().filter(|header| self.is_named(header, name));
        let mut values = named.map(|header| self.text(&header.value).trim());
        values.next().is_some_and(|first| values.any(|other| other != first))
    }

    /// Upper bound of the memory that the body occupies beyond one read, in bytes. A chunk is in the read buffer and in the body
    /// for a moment.
    pub fn max_body_beyond_read(&self) -> usize {
        if self.framing.is_chunked {
            return 2 * MAX_BODY_BYTES;
        }
        self.framing.content_length.unwrap_or(0).saturating_sub(READ_SIZE)
    }

    /// The bytes of the body.
    pub fn body(&self) -> &[u8] {
        &self.raw[self.body.clone()]
    }

    fn is_named(&self, header: &Header, name: &str) -> bool {
        self.text(&header.name).eq_ignore_ascii_case(name)
    }

    /// Parses the framing from the headers. `raw` is the buffer of the head, which the message does not own
    /// yet. The error is the status to respond with.
    pub(super) fn parse_framing(&mut self, raw: &[u8], max_body: usize) -> Result<(), u16> {
        let mut framing = Framing::default();
        for header in &self.headers {
            framing.add_header(text_in(raw, &header.name), text_in(raw, &header.value).trim())?;
        }
        framing.check(max_body)?;
        self.close |= framing.close;
        self.framing = framing;
        Ok(())
    }
}
