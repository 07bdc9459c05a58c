//! A message, and the framing of its body as its headers state it.

use super::MAX_BODY;
use super::read_buffer::READ_SIZE;
use roselock::Micros;
use std::ops::Range;

/// A message: one buffer, and the ranges of its parts in that buffer.
#[derive(Debug, Default)]
pub struct Message {
    /// The whole message.
    pub raw: Vec<u8>,
    /// The method, of a request.
    pub method: Range<usize>,
    /// Path and query, of a request.
    pub target: Range<usize>,
    /// The status, of a response.
    pub status: u16,
    /// The body.
    pub body: Range<usize>,
    /// The connection closes after this message.
    pub close: bool,
    /// When its last byte was read.
    pub received_at: Micros,
    pub(super) headers: Vec<Header>,
    pub(super) framing: Framing,
}

/// The ranges of a header.
#[derive(Debug)]
pub(super) struct Header {
    pub(super) name: Range<usize>,
    pub(super) value: Range<usize>,
}

/// How the body is framed, and what else the headers say of the connection.
#[derive(Debug, Default)]
pub(super) struct Framing {
    /// The value of `Content-Length`, in bytes.
    pub(super) content_length: Option<usize>,
    /// The body comes in chunks.
    pub(super) is_chunked: bool,
    /// The client waits for `100 Continue` before it sends the body.
    pub(super) expects_continue: bool,
    /// `Connection: close`.
    close: bool,
    /// Two `Content-Length` headers differ.
    has_conflicting_lengths: bool,
}

impl Framing {
    /// Takes one header into account; an error is the status to respond with.
    fn add(&mut self, name: &str, value: &str) -> Result<(), u16> {
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

    /// Whether the headers contradict each other, or announce more than may come.
    fn check(&self, max_body: usize) -> Result<(), u16> {
        if self.has_conflicting_lengths || (self.is_chunked && self.content_length.is_some()) {
            return Err(400);
        }
        if self.content_length.is_some_and(|length| length > max_body) { Err(413) } else { Ok(()) }
    }
}

/// A part of a buffer as text; heads are ASCII where it matters. Empty if it is not UTF-8.
fn text_in<'a>(raw: &'a [u8], part: &Range<usize>) -> &'a str {
    std::str::from_utf8(&raw[part.clone()]).unwrap_or("")
}

impl Message {
    /// A part as text. Empty if it is not UTF-8.
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

    /// The most bytes that its body may occupy beyond one read.
    pub fn max_body_beyond_read(&self) -> usize {
        if self.framing.is_chunked {
            return MAX_BODY;
        }
        self.framing.content_length.unwrap_or(0).saturating_sub(READ_SIZE)
    }

    /// The body.
    pub fn body(&self) -> &[u8] {
        &self.raw[self.body.clone()]
    }

    fn is_named(&self, header: &Header, name: &str) -> bool {
        self.text(&header.name).eq_ignore_ascii_case(name)
    }

    /// Reads the framing from the headers. The buffer of the head is `raw`, which the message does not own
    /// yet. An error is the status to respond with.
    pub(super) fn parse_framing(&mut self, raw: &[u8], max_body: usize) -> Result<(), u16> {
        let mut framing = Framing::default();
        for header in &self.headers {
            framing.add(text_in(raw, &header.name), text_in(raw, &header.value).trim())?;
        }
        framing.check(max_body)?;
        self.close |= framing.close;
        self.framing = framing;
        Ok(())
    }
}
