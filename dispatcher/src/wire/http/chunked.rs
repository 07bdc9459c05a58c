//! Chunked transfer coding (RFC 9112, 7.1).

use super::read_buffer::ReadBuffer;
use super::{HttpError, MAX_HEAD};
use roselock::Micros;

/// Longest line before a chunk, in bytes.
const MAX_CHUNK_LINE: usize = 256;
/// The end of a line.
const CRLF: &[u8] = b"\r\n";

/// Appends the bytes of the next chunk, of which there may be at most `max_size`; false after the last chunk.
pub(super) fn read_chunk(
    buffer: &mut ReadBuffer,
    into: &mut Vec<u8>,
    max_size: usize,
    deadline: Micros,
) -> Result<bool, HttpError> {
    loop {
        match httparse::parse_chunk_size(buffer.bytes()) {
            Ok(httparse::Status::Complete((start, 0))) => {
                skip_trailers(buffer, start, deadline)?;
                return Ok(false);
            }
            Ok(httparse::Status::Complete((start, size))) => {
                let size = usize::try_from(size).ok().filter(|size| *size <= max_size);
                let size = size.ok_or(HttpError::Status(413))?;
                read_chunk_data(buffer, start, size, into, deadline)?;
                return Ok(size > 0);
            }
            Ok(httparse::Status::Partial) if buffer.bytes().len() <= MAX_CHUNK_LINE => {
                buffer.fill_more(deadline)?;
            }
            _ => return Err(HttpError::Status(400)),
        }
    }
}

/// Appends a chunk that lies at `start`, and removes it with the end of its line.
fn read_chunk_data(
    buffer: &mut ReadBuffer,
    start: usize,
    size: usize,
    into: &mut Vec<u8>,
    deadline: Micros,
) -> Result<(), HttpError> {
    let end = start + size;
    let next = end + CRLF.len();
    buffer.fill_to(next, deadline)?;
    if &buffer.bytes()[end..next] != CRLF {
        return Err(HttpError::Status(400));
    }
    into.extend_from_slice(&buffer.bytes()[start..end]);
    buffer.advance(next);
    Ok(())
}

/// Skips the trailer section (RFC 9112, 7.1.2) after the last chunk, from `start` up to its empty line.
/// Trailers are not kept.
fn skip_trailers(buffer: &mut ReadBuffer, start: usize, deadline: Micros) -> Result<(), HttpError> {
    loop {
        let rest = &buffer.bytes()[start.min(buffer.bytes().len())..];
        if let Some(length) = trailer_section_length(rest) {
            buffer.advance(start + length);
            return Ok(());
        }
        if rest.len() > MAX_HEAD {
            return Err(HttpError::Status(431));
        }
        buffer.fill_more(deadline)?;
    }
}

/// The length of a trailer section with its empty line; none if that has not come yet.
fn trailer_section_length(bytes: &[u8]) -> Option<usize> {
    if bytes.starts_with(CRLF) {
        return Some(CRLF.len());
    }
    let empty_line = b"\r\n\r\n";
    let position = bytes.windows(empty_line.len()).position(|window| window == empty_line);
    position.map(|position| position + empty_line.len())
}
