//! Heads of requests and responses, parsed in place.

use super::HttpError;
use super::message::{Header, Message};
use std::ops::Range;

/// Most headers of a message.
const MAX_HEADERS: usize = 64;

/// A message whose body has not been read.
pub struct Head {
    /// The message, without its buffer and body.
    pub message: Message,
    /// Where the head ends in the buffer.
    pub(super) end: usize,
}

/// A head; none if it is not complete yet.
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

/// The range of a part of a buffer.
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
