//! Reads messages from a connection.

use super::chunked::{ChunkStream, StreamRead};
use super::head::{self, Head, ParsedHead};
use super::message::Message;
use super::read_buffer::ReadBuffer;
use super::{BufferedRequest, HttpError, MAX_BODY_BYTES, MAX_HEAD_BYTES, chunked};
use crate::wire::socket::Socket;
use roselock::Micros;

/// Maximum number of interim (1xx) responses before the final one.
const MAX_INTERIM_RESPONSES: u32 = 16;

/// Reads messages from a connection.
pub struct Reader {
    buffer: ReadBuffer,
    /// The chunk that [`Reader::read_stream`] is reading.
    stream: ChunkStream,
    /// Maximum size of a body, in bytes.
    max_body: usize,
}

impl Reader {
    /// Creates a reader at the start of a connection, for bodies of up to [`MAX_BODY_BYTES`].
    pub fn new(socket: Socket) -> Reader {
        Reader::with_max_body(socket, MAX_BODY_BYTES)
    }

    /// Creates a reader for bodies of up to `max_body` bytes.
    pub fn with_max_body(socket: Socket, max_body: usize) -> Reader {
        Reader { buffer: ReadBuffer::new(socket), stream: ChunkStream::default(), max_body }
    }

    /// The bytes that were read but are not parsed yet.
    pub fn unparsed(&self) -> &[u8] {
        self.buffer.bytes()
    }

    /// Whether all bytes that were read have been parsed.
    pub fn is_empty(&self) -> bool {
        self.unparsed().is_empty()
    }

    /// Whether any byte was read on the connection.
    pub fn has_read(&self) -> bool {
        self.buffer.has_read()
    }

    /// Discards bytes that are read from now on; the unparsed bytes are kept.
    pub fn start_discarding(&mut self) {
        self.buffer.start_discarding();
    }

    /// Whether bytes that are read are discarded, see [`Reader::start_discarding`].
    pub fn is_discarding(&self) -> bool {
        self.buffer.is_discarding()
    }

    /// When the first unparsed byte was read.
    pub fn first_byte_at(&self) -> Option<Micros> {
        self.buffer.first_byte_at()
    }

    /// Removes empty lines between messages (RFC 9112, 2.2).
    pub fn skip_blank_lines(&mut self) {
        let blank_length = self.unparsed().iter().take_while(|byte| matches!(byte, b'\r' | b'\n')).count();
        self.buffer.advance(blank_length);
    }

    /// Reads once. Returns false at the end of the connection.
    ///
    /// # Errors
    /// The deadline passed, or the connection failed.
    pub fn fill(&mut self, deadline: Micros) -> Result<bool, HttpError> {
        self.buffer.fill(deadline)
    }

    /// Discards the unparsed bytes and reads once. Returns false at the end of the connection.
    ///
    /// # Errors
    /// The deadline passed, or the connection failed.
    pub fn discard_and_fill(&mut self, deadline: Micros) -> Result<bool, HttpError> {
        self.buffer.stop_discarding();
        self.buffer.advance(self.buffer.bytes().len());
        self.fill(deadline)
    }

    /// Reads the head of a request.
    ///
    /// # Errors
    /// No valid head was received before the deadline.
    pub fn read_request_head(&mut self, deadline: Micros) -> Result<Head, HttpError> {
        self.read_head(deadline, head::parse_request)
    }

    /// Reads the body of a request. Sends `100 Continue` first if the client waits for it.
    ///
    /// # Errors
    /// No valid body was received before the deadline.
    pub fn read_request_body(&mut self, head: Head, deadline: Micros) -> Result<Message, HttpError> {
        let Head { mut message, end } = head;
        let framing = &message.framing;
        let is_incomplete = |length| self.unparsed().len() < end + length;
        if framing.expects_continue && framing.content_length.is_some_and(is_incomplete) {
            let written = self.buffer.socket.write(&[b"HTTP/1.1 100 Continue\r\n\r\n"], deadline);
            written.map_err(|_| HttpError::ConnectionLost)?;
        }
        self.read_body(&mut message, end, deadline)?;
        Ok(message)
    }

    /// Takes the next request from the unparsed bytes. Returns `None` if it is incomplete, invalid, or has a chunked
    /// body.
    pub fn take_buffered_request(&mut self) -> Option<BufferedRequest> {
        let Head { mut message, end } = head::parse_request(self.unparsed()).ok()??;
        message.parse_framing(self.buffer.bytes(), self.max_body).ok()?;
        let length = end + message.framing.content_length.unwrap_or(0);
        if message.framing.is_chunked || self.unparsed().len() < length {
            return None;
        }
        let raw = self.buffer.split_to(length);
        Some(BufferedRequest::new(raw, self.buffer.last_removed_at()))
    }

    /// Reads a complete response; interim responses are skipped.
    ///
    /// # Errors
    /// No valid response was received before the deadline.
    pub fn read_response(&mut self, deadline: Micros) -> Result<Message, HttpError> {
        let Head { mut message, end } = self.read_final_head(deadline)?;
        if message.framing.is_chunked {
            self.read_body(&mut message, end, deadline)?;
        } else {
            self.read_unchunked_body(&mut message, end, deadline)?;
        }
        Ok(message)
    }

    fn read_unchunked_body(
        &mut self,
        message: &mut Message,
        head_end: usize,
        deadline: Micros,
    ) -> Result<(), HttpError> {
        // A body without a length ends with the connection (RFC 9112, 6.3).
        if message.framing.content_length.is_none() {
            message.close = true;
            while self.unparsed().len() < head_end + self.max_body && self.fill(deadline)? {}
            message.framing.content_length = Some(self.unparsed().len() - head_end);
        }
        self.read_body(message, head_end, deadline)
    }

    /// Reads a complete response like [`Reader::read_response`]. Calls `on_body` with the status and the body so far, each time that
    /// a part of it has arrived, and with the whole body.
    ///
    /// # Errors
    /// No valid response was received before the deadline.
    pub fn read_response_in_parts(
        &mut self,
        deadline: Micros,
        mut on_body: impl FnMut(u16, &[u8]),
    ) -> Result<Message, HttpError> {
        let Head { mut message, end } = self.read_final_head(deadline)?;
        if message.framing.is_chunked {
            message.raw = self.buffer.split_to(end);
            while self.read_stream(&mut message.raw, self.max_body, deadline)? != StreamRead::End {
                if message.raw.len() > end + self.max_body {
                    return Err(HttpError::Status(413));
                }
                on_body(message.status, &message.raw[end..]);
            }
            message.body = end..message.raw.len();
        } else {
            let length = message.framing.content_length.unwrap_or(0);
            while self.unparsed().len() < end + length {
                self.buffer.fill_more(deadline)?;
                let received = self.unparsed().len().min(end + length);
                on_body(message.status, &self.unparsed()[end..received]);
            }
            self.read_unchunked_body(&mut message, end, deadline)?;
        }
        on_body(message.status, message.body());
        Ok(message)
    }

    /// Reads a complete response like [`Reader::read_response`], but discards its body.
    ///
    /// # Errors
    /// No valid response was received before the deadline.
    pub fn read_response_without_body(&mut self, deadline: Micros) -> Result<Message, HttpError> {
        let Head { mut message, end } = self.read_final_head(deadline)?;
        message.raw = self.buffer.split_to(end);
        message.body = end..end;
        if message.framing.is_chunked {
            chunked::skip_body(&mut self.buffer, self.max_body, deadline)?;
        } else if let Some(length) = message.framing.content_length {
            self.buffer.skip(length, deadline)?;
        } else {
            // A body without a length ends with the connection (RFC 9112, 6.3).
            message.close = true;
            self.skip_to_end(deadline)?;
        }
        Ok(message)
    }

    /// Discards the rest of the connection, up to the largest body.
    fn skip_to_end(&mut self, deadline: Micros) -> Result<(), HttpError> {
        let mut left = self.max_body;
        loop {
            let unparsed = self.unparsed().len();
            self.buffer.advance(unparsed);
            left = left.saturating_sub(unparsed);
            if left == 0 || !self.fill(deadline)? {
                return Ok(());
            }
        }
    }

    /// Reads the head of a response whose body is read with [`Reader::read_stream`].
    ///
    /// # Errors
    /// No valid head was received before the deadline.
    pub fn read_stream_head(&mut self, deadline: Micros) -> Result<Message, HttpError> {
        let Head { message, end } = self.read_head(deadline, head::parse_response)?;
        self.buffer.advance(end);
        Ok(message)
    }

    /// Appends the bytes of a chunked body that have arrived, of chunks of at most `max_size` bytes, to `into`. Waits for
    /// the first one.
    ///
    /// # Errors
    /// No valid bytes were received before the deadline, or a chunk is too large.
    pub fn read_stream(
        &mut self,
        into: &mut Vec<u8>,
        max_size: usize,
        deadline: Micros,
    ) -> Result<StreamRead, HttpError> {
        self.stream.read(&mut self.buffer, into, max_size, deadline)
    }

    /// Reads the head of the final response; interim responses are skipped.
    fn read_final_head(&mut self, deadline: Micros) -> Result<Head, HttpError> {
        let mut interim_responses = 0;
        loop {
            let mut head = self.read_head(deadline, head::parse_response)?;
            if matches!(head.message.status, 204 | 304) {
                head.message.framing.content_length = Some(0);
                head.message.framing.is_chunked = false;
            }
            if !(100..200).contains(&head.message.status) {
                return Ok(head);
            }
            self.buffer.advance(head.end);
            interim_responses += 1;
            if interim_responses > MAX_INTERIM_RESPONSES {
                return Err(HttpError::Status(502));
            }
        }
    }

    fn read_head(&mut self, deadline: Micros, parse: fn(&[u8]) -> ParsedHead) -> Result<Head, HttpError> {
        loop {
            if !self.is_empty() {
                if let Some(mut head) = parse(self.unparsed())? {
                    let framed = head.message.parse_framing(self.buffer.bytes(), self.max_body);
                    framed.map_err(HttpError::Status)?;
                    return Ok(head);
                }
                if self.unparsed().len() > MAX_HEAD_BYTES {
                    return Err(HttpError::Status(431));
                }
            }
            self.buffer.fill_more(deadline)?;
        }
    }

    /// Reads the body, and moves the head, which ends at `head_end`, and the body from the buffer into the
    /// message.
    fn read_body(
        &mut self,
        message: &mut Message,
        head_end: usize,
        deadline: Micros,
    ) -> Result<(), HttpError> {
        if message.framing.is_chunked {
            message.raw = self.read_chunks(head_end, deadline)?;
            message.body = head_end..message.raw.len();
        } else {
            let end = head_end + message.framing.content_length.unwrap_or(0);
            self.buffer.fill_to(end, deadline)?;
            message.raw = self.buffer.split_to(end);
            message.body = head_end..end;
        }
        message.received_at = self.buffer.last_removed_at();
        Ok(())
    }

    /// Reads a chunked body. Returns the head, followed by the data of all chunks.
    fn read_chunks(&mut self, head_end: usize, deadline: Micros) -> Result<Vec<u8>, HttpError> {
        let mut raw = self.buffer.split_to(head_end);
        loop {
            let max_size = head_end + self.max_body - raw.len();
            if !chunked::read_chunk(&mut self.buffer, &mut raw, max_size, deadline)? {
                return Ok(raw);
            }
        }
    }
}
