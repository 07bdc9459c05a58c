//! Chunked transfer coding (RFC 9112, 7.1).

use super::read_buffer::ReadBuffer;
use super::{HttpError, MAX_HEAD_BYTES};
use roselock::Micros;

/// Maximum length of the line with the chunk size, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 256;
/// The data of a body grows by this part (1/N) of its bytes at least.
const GROWTH_DIVISOR: usize = 8;
const CRLF: &[u8] = b"\r\n";

/// Appends the data of the next chunk, at most `max_size` bytes, to `into`. Returns false after the last
/// chunk.
pub(super) fn read_chunk(
    buffer: &mut ReadBuffer,
    into: &mut Vec<u8>,
    max_size: usize,
    deadline: Micros,
) -> Result<bool, HttpError> {
    let ChunkHead { start, size } = read_chunk_head(buffer, max_size, deadline)?;
    if size == 0 {
        skip_trailers(buffer, start, deadline)?;
        return Ok(false);
    }
    read_chunk_data(buffer, start, size, into, deadline)?;
    Ok(true)
}

/// What [`ChunkStream::read`] has read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamRead {
    /// A part of the data of a chunk.
    Part,
    /// The rest of the data of a chunk.
    ChunkEnd,
    /// The end of the stream.
    End,
}

/// Reads a stream of chunks as its bytes arrive, whatever is still to come of a chunk.
#[derive(Debug, Default)]
pub(super) struct ChunkStream {
    /// Number of bytes of the current chunk that have not been read.
    left: usize,
    /// Whether the CRLF after the data of a chunk is still to come.
    expects_crlf: bool,
}

impl ChunkStream {
    /// Appends data of the current or the next chunk, of at most `max_size` bytes, to `into`.
    pub(super) fn read(
        &mut self,
        buffer: &mut ReadBuffer,
        into: &mut Vec<u8>,
        max_size: usize,
        deadline: Micros,
    ) -> Result<StreamRead, HttpError> {
        if self.expects_crlf {
            skip_crlf(buffer, deadline)?;
            self.expects_crlf = false;
        }
        if self.left == 0 {
            let ChunkHead { start, size } = read_chunk_head(buffer, max_size, deadline)?;
            if size == 0 {
                skip_trailers(buffer, start, deadline)?;
                return Ok(StreamRead::End);
            }
            buffer.advance(start);
            self.left = size;
        }
        if buffer.bytes().is_empty() {
            buffer.fill_more(deadline)?;
        }
        let size = self.left.min(buffer.bytes().len());
        into.extend_from_slice(&buffer.bytes()[..size]);
        buffer.advance(size);
        self.left -= size;
        self.expects_crlf = self.left == 0;
        Ok(if self.expects_crlf { StreamRead::ChunkEnd } else { StreamRead::Part })
    }
}

/// Skips the CRLF after the data of a chunk.
fn skip_crlf(buffer: &mut ReadBuffer, deadline: Micros) -> Result<(), HttpError> {
    buffer.fill_to(CRLF.len(), deadline)?;
    if !buffer.bytes().starts_with(CRLF) {
        return Err(HttpError::Status(400));
    }
    buffer.advance(CRLF.len());
    Ok(())
}

/// Discards a body of at most `max_size` bytes.
pub(super) fn skip_body(buffer: &mut ReadBuffer, max_size: usize, deadline: Micros) -> Result<(), HttpError> {
    let mut left = max_size;
    loop {
        let ChunkHead { start, size } = read_chunk_head(buffer, left, deadline)?;
        if size == 0 {
            return skip_trailers(buffer, start, deadline);
        }
        buffer.skip(start + size, deadline)?;
        skip_crlf(buffer, deadline)?;
        left -= size;
    }
}

/// The line before the data of a chunk.
struct ChunkHead {
    /// Where the data starts in the buffer.
    start: usize,
    /// The size of the data; 0 for the last chunk.
    size: usize,
}

/// Reads the line of the next chunk, which stays in the buffer.
fn read_chunk_head(
    buffer: &mut ReadBuffer,
    max_size: usize,
    deadline: Micros,
) -> Result<ChunkHead, HttpError> {
    loop {
        match httparse::parse_chunk_size(buffer.bytes()) {
            Ok(httparse::Status::Complete((start, size))) => {
                let size = usize::try_from(size).ok().filter(|size| *size <= max_size);
                return Ok(ChunkHead { start, size: size.ok_or(HttpError::Status(413))? });
            }
            Ok(httparse::Status::Partial) if buffer.bytes().len() <= MAX_CHUNK_LINE_BYTES => {
                buffer.fill_more(deadline)?;
            }
            _ => return Err(HttpError::Status(400)),
        }
    }
}

/// Appends the data of a chunk that begins at `start`, and removes the chunk with its terminating CRLF.
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
    if into.capacity() - into.len() < size {
        into.reserve_exact(size.max(into.len() / GROWTH_DIVISOR));
    }
    into.extend_from_slice(&buffer.bytes()[start..end]);
    buffer.advance(next);
    Ok(())
}

/// Skips the trailer section (RFC 9112, 7.1.2) after the last chunk, from `start` through its empty line.
/// Trailers are discarded.
fn skip_trailers(buffer: &mut ReadBuffer, start: usize, deadline: Micros) -> Result<(), HttpError> {
    loop {
        let rest = &buffer.bytes()[start.min(buffer.bytes().len())..];
        if let Some(length) = trailer_section_length(rest) {
            buffer.advance(start + length);
            return Ok(());
        }
        if rest.len() > MAX_HEAD_BYTES {
            return Err(HttpError::Status(431));
        }
        buffer.fill_more(deadline)?;
    }
}

/// The length of a trailer section including its empty line; `None` if that line has not been received yet.
fn trailer_section_length(bytes: &[u8]) -> Option<usize> {
    if bytes.starts_with(CRLF) {
        return Some(CRLF.len());
    }
    let empty_line = b"\r\n\r\n";
    let position = bytes.windows(empty_line.len()).position(|window| window == empty_line);
    position.map(|position| position + empty_line.len())
}
