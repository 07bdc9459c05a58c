//! Parses the heads of requests and responses in place.

use super::HttpError;
use super::message::{Header, Message};
use std::ops::Range;

/// Maximum number of headers of a message.
const MAX_HEADERS: usize = 64;

/// The parsed head of a message whose body has not been read yet.
pub struct Head {
    /// The message, without its buffer and body.
    pub message: Message,
    /// The end offset of the head in the buffer.
    pub(super) end: usize,
}

/// The result of parsing a head; `None` if the head is incomplete.
pub(super) type ParsedHead = Result<Option<Head>, HttpError>;

pub(super) fn parse_request(buffer: &[u8]) -> ParsedHead {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(end) = request.parse(buffer).map_err(parse_error)? else {
        return Ok(None);
    };
    let message = Message {
        method: range_in(buffer, request.method.unwrap_or("").as_bytes()),
        target: range_in(buffer, request.path.unwrap_or("").as_bytes()),
        close: request.version == Some(0),
        headers: header_ranges(buffer, request.headers),
        ..Message::default()
    };
    Ok(Some(Head { message, end }))
}

pub(super) fn parse_response(buffer: &[u8]) -> ParsedHead {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(end) = response.parse(buffer).map_err(parse_error)? else {
        return Ok(None);
    };
    let message = Message {
        status: response.code.unwrap_or(0),
        close: response.version == Some(0),
        headers: header_ranges(buffer, response.headers),
        ..Message::default()
    };
    Ok(Some(Head { message, end }))
}

/// The range in `buffer` of `part`, which is a slice of it.
fn range_in(buffer: &[u8], part: &[u8]) -> Range<usize> {
    let start = (part.as_ptr() as usize).saturating_sub(buffer.as_ptr() as usize);
    start..start + part.len()
}

fn header_ranges(buffer: &[u8], headers: &[httparse::Header]) -> Vec<Header> {
    let ranges = headers.iter().map(|header| Header {
        name: range_in(buffer, header.name.as_bytes()),
        value: range_in(buffer, header.value),
    });
    ranges.collect()
}

fn parse_error(error: httparse::Error) -> HttpError {
    HttpError::Status(if error == httparse::Error::TooManyHeaders { 431 } else { 400 })
}
