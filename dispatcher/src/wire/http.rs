//! HTTP/1.1: heads parsed in place in the buffer they were read into, bodies by length or in chunks.

use super::arrivals::Arrivals;
use super::socket::Socket;
use crate::core::clock;
use roselock::Micros;
use std::io::ErrorKind;
use std::ops::Range;

/// Most bytes of a head.
const HEAD: usize = 8 * 1024;
/// Most headers.
const HEADERS: usize = 64;
/// Most bytes of a body.
pub const BODY: usize = 64 * 1024;
/// Most bytes of the line before a chunk.
const CHUNK_LINE: usize = 256;
/// Bytes read at a time.
const CHUNK: usize = 4096;
/// Reads in a row that found bytes waiting before others have a turn: the runtime looks for what else has come only when
/// nothing runs, so who sends without end would keep all others out.
const IN_A_ROW: u32 = 32;
const TURN: std::time::Duration = std::time::Duration::from_millis(1);
/// Most interim responses (1xx) before the one that counts.
const INTERIM: u32 = 16;

/// Why a message did not come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// The connection ended between messages.
    Ended,
    /// It ended or broke within one.
    Broken,
    /// The deadline passed.
    Late,
    /// It makes no sense: the status to answer with.
    Status(u16),
}

/// A message: one buffer and where its parts lie in it.
#[derive(Debug, Default)]
pub struct Message {
    /// All of it.
    pub raw: Vec<u8>,
    /// The method, of a request.
    pub method: Range<usize>,
    /// Path and query, of a request.
    pub target: Range<usize>,
    /// The status, of a response.
    pub status: u16,
    /// The body.
    pub body: Range<usize>,
    /// The connection does not outlive it.
    pub close: bool,
    /// When its last byte was read.
    pub arrived: Micros,
    headers: Vec<(Range<usize>, Range<usize>)>,
    chunked: bool,
    length: Option<usize>,
    expects: bool,
}

impl Message {
    /// A part as text; heads are ASCII where it matters.
    pub fn text(&self, part: &Range<usize>) -> &str {
        std::str::from_utf8(&self.raw[part.clone()]).unwrap_or("")
    }
    /// Where a header's value lies.
    pub fn header(&self, name: &str) -> Option<Range<usize>> {
        let found = |h: &&(Range<usize>, Range<usize>)| self.text(&h.0).eq_ignore_ascii_case(name);
        self.headers.iter().find(found).map(|h| h.1.clone())
    }
    /// A header's value, trimmed.
    pub fn value(&self, name: &str) -> Option<&str> {
        self.header(name).map(|v| self.text(&v).trim())
    }
    /// Whether it has two headers of a name that say different things.
    pub fn contradicts(&self, name: &str) -> bool {
        let named = self.headers.iter().filter(|h| self.text(&h.0).eq_ignore_ascii_case(name));
        let mut values = named.map(|h| self.text(&h.1).trim());
        values.next().is_some_and(|first| values.any(|other| other != first))
    }
    /// The most bytes that its body may take beyond what is read at a time.
    pub fn bulk(&self) -> usize {
        if self.chunked { BODY } else { self.length.unwrap_or(0).saturating_sub(CHUNK) }
    }
    /// The body.
    pub fn body(&self) -> &[u8] {
        &self.raw[self.body.clone()]
    }

    /// Reads what its headers say of its framing.
    fn frame(&mut self, body_bound: usize) -> Result<(), u16> {
        let mut lengths = Vec::new();
        for (name, value) in &self.headers {
            let (name, value) = (self.text(name), self.text(value).trim());
            if name.eq_ignore_ascii_case("content-length") {
                if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
                    return Err(400);
                }
                lengths.push(value.parse::<usize>().map_err(|_| 413u16)?);
            } else if name.eq_ignore_ascii_case("transfer-encoding") {
                if !value.eq_ignore_ascii_case("chunked") || self.chunked {
                    return Err(400);
                }
                self.chunked = true;
            } else if name.eq_ignore_ascii_case("connection") {
                self.close |= value.split(',').any(|v| v.trim().eq_ignore_ascii_case("close"));
            } else if name.eq_ignore_ascii_case("expect") {
                self.expects |= value.eq_ignore_ascii_case("100-continue");
            }
        }
        self.length = lengths.first().copied();
        if lengths.windows(2).any(|w| w[0] != w[1]) || (self.chunked && self.length.is_some()) {
            return Err(400);
        }
        if self.length.is_some_and(|l| l > body_bound) { Err(413) } else { Ok(()) }
    }
}

/// Reads messages from a connection.
pub struct Reader {
    socket: Socket,
    buffer: Vec<u8>,
    /// When the bytes of the buffer were read.
    arrivals: Arrivals,
    /// Reads since it last waited.
    in_a_row: u32,
    /// The longest body that it takes.
    body_bound: usize,
    /// Nothing that comes is kept any more.
    sealed: bool,
}

impl Reader {
    /// A reader of a connection at its start.
    pub fn new(socket: Socket) -> Reader {
        Reader::with_body_bound(socket, BODY)
    }
    /// One that takes bodies of up to so many bytes.
    pub fn with_body_bound(socket: Socket, body_bound: usize) -> Reader {
        Reader {
            socket,
            buffer: Vec::new(),
            arrivals: Arrivals::default(),
            in_a_row: 0,
            body_bound,
            sealed: false,
        }
    }
    /// What is read and not yet parsed.
    pub fn held(&self) -> &[u8] {
        &self.buffer
    }
    /// Whether nothing is read that is not yet parsed.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
    /// Keeps nothing that comes from now on; what is read and not yet parsed stays.
    pub fn seal(&mut self) {
        self.sealed = true;
    }
    /// Whether nothing that comes is kept any more.
    pub fn is_sealed(&self) -> bool {
        self.sealed
    }
    /// Drops empty lines between messages (RFC 9112, 2.2).
    pub fn skip_blank_lines(&mut self) {
        let blank = self.buffer.iter().take_while(|b| matches!(b, b'\r' | b'\n')).count();
        self.advance(blank);
    }
    /// Reads on until there are as many bytes.
    pub fn want(&mut self, bytes: usize, deadline: Micros) -> Result<(), HttpError> {
        while self.buffer.len() < bytes {
            self.more(deadline)?;
        }
        Ok(())
    }
    /// When the first byte that is not yet parsed was read.
    pub fn began(&self) -> Option<Micros> {
        self.arrivals.first()
    }
    /// Takes the first bytes.
    fn split(&mut self, bytes: usize) -> Vec<u8> {
        self.arrivals.consume(bytes);
        let rest = self.buffer.split_off(bytes);
        std::mem::replace(&mut self.buffer, rest)
    }
    /// Drops the first bytes.
    fn advance(&mut self, bytes: usize) {
        self.arrivals.consume(bytes);
        self.buffer.drain(..bytes);
    }
    /// Reads on; false at the end.
    pub fn fill(&mut self, deadline: Micros) -> Result<bool, HttpError> {
        if self.in_a_row >= IN_A_ROW {
            self.in_a_row = 0;
            may::coroutine::sleep(TURN);
        }
        let old = self.buffer.len();
        self.buffer.resize(old + CHUNK, 0);
        let read = self.socket.read_or_wait(&mut self.buffer[old..], deadline).map(|(read, waited)| {
            self.in_a_row = if waited { 0 } else { self.in_a_row + 1 };
            read
        });
        let kept = if self.sealed { 0 } else { read.as_ref().copied().unwrap_or(0) };
        self.buffer.truncate(old + kept);
        self.arrivals.extend(self.buffer.len(), clock::now());
        match read {
            Ok(n) => Ok(n > 0),
            Err(e) if matches!(e.kind(), ErrorKind::TimedOut | ErrorKind::WouldBlock) => Err(HttpError::Late),
            Err(_) => Err(HttpError::Broken),
        }
    }
    /// Reads on, and keeps nothing of it; false at the end.
    pub fn skip(&mut self, deadline: Micros) -> Result<bool, HttpError> {
        self.sealed = false;
        self.advance(self.buffer.len());
        self.fill(deadline)
    }
    fn more(&mut self, deadline: Micros) -> Result<(), HttpError> {
        if self.sealed {
            return Err(HttpError::Ended);
        }
        let empty = self.buffer.is_empty();
        match self.fill(deadline)? {
            true => Ok(()),
            false => Err(if empty { HttpError::Ended } else { HttpError::Broken }),
        }
    }

    /// A request's head, and where it ends.
    pub fn request(&mut self, deadline: Micros) -> Result<(Message, usize), HttpError> {
        self.head(deadline, parse_request)
    }

    /// The rest of it.
    pub fn request_body(
        &mut self,
        (mut message, at): (Message, usize),
        deadline: Micros,
    ) -> Result<Message, HttpError> {
        if message.expects && message.length.is_some_and(|l| self.buffer.len() < at + l) {
            let go_on = self.socket.write(&[b"HTTP/1.1 100 Continue\r\n\r\n"], deadline);
            go_on.map_err(|_| HttpError::Broken)?;
        }
        self.take_body(&mut message, at, deadline)?;
        Ok(message)
    }

    /// A whole response, past any interim ones.
    pub fn response(&mut self, deadline: Micros) -> Result<Message, HttpError> {
        let mut interim = 0;
        loop {
            let (mut message, at) = self.head(deadline, parse_response)?;
            if (100..200).contains(&message.status) {
                self.advance(at);
                interim += 1;
                if interim > INTERIM {
                    return Err(HttpError::Status(502));
                }
                continue;
            }
            if matches!(message.status, 204 | 304) {
                (message.length, message.chunked) = (Some(0), false);
            }
            // Without a length the body ends with the connection.
            if message.length.is_none() && !message.chunked {
                message.close = true;
                while self.buffer.len() < at + self.body_bound && self.fill(deadline)? {}
                message.length = Some(self.buffer.len() - at);
            }
            self.take_body(&mut message, at, deadline)?;
            return Ok(message);
        }
    }

    /// The head of a response whose chunks are taken one by one.
    pub fn stream_head(&mut self, deadline: Micros) -> Result<Message, HttpError> {
        let (message, at) = self.head(deadline, parse_response)?;
        self.advance(at);
        Ok(message)
    }

    /// Appends the next chunk's bytes, of which there may be so many; false after the last one.
    pub fn chunk(&mut self, into: &mut Vec<u8>, most: usize, deadline: Micros) -> Result<bool, HttpError> {
        loop {
            match httparse::parse_chunk_size(&self.buffer) {
                Ok(httparse::Status::Complete((start, 0))) => {
                    self.trailers(start, deadline)?;
                    return Ok(false);
                }
                Ok(httparse::Status::Complete((start, size))) => {
                    let size =
                        usize::try_from(size).ok().filter(|s| *s <= most).ok_or(HttpError::Status(413))?;
                    self.want(start + size + 2, deadline)?;
                    if &self.buffer[start + size..start + size + 2] != b"\r\n" {
                        return Err(HttpError::Status(400));
                    }
                    into.extend_from_slice(&self.buffer[start..start + size]);
                    self.advance(start + size + 2);
                    return Ok(size > 0);
                }
                Ok(httparse::Status::Partial) if self.buffer.len() <= CHUNK_LINE => self.more(deadline)?,
                _ => return Err(HttpError::Status(400)),
            }
        }
    }

    /// Past the last chunk, from `start`: trailer fields (RFC 9112, 7.1.2) up to an empty line, which are not kept.
    fn trailers(&mut self, start: usize, deadline: Micros) -> Result<(), HttpError> {
        loop {
            let rest = &self.buffer[start.min(self.buffer.len())..];
            let end = if rest.starts_with(b"\r\n") {
                Some(2)
            } else {
                rest.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 4)
            };
            if let Some(end) = end {
                self.advance(start + end);
                return Ok(());
            }
            if rest.len() > HEAD {
                return Err(HttpError::Status(431));
            }
            self.more(deadline)?;
        }
    }

    fn head(&mut self, deadline: Micros, parse: fn(&[u8]) -> Parsed) -> Result<(Message, usize), HttpError> {
        loop {
            if !self.buffer.is_empty() {
                if let Some((mut message, at)) = parse(&self.buffer)? {
                    // The ranges hold in the buffer, which the message takes over once the body is in.
                    message.raw = std::mem::take(&mut self.buffer);
                    let framed = message.frame(self.body_bound);
                    self.buffer = std::mem::take(&mut message.raw);
                    return framed.map_err(HttpError::Status).map(|()| (message, at));
                }
                if self.buffer.len() > HEAD {
                    return Err(HttpError::Status(431));
                }
            }
            self.more(deadline)?;
        }
    }

    fn take_body(&mut self, message: &mut Message, at: usize, deadline: Micros) -> Result<(), HttpError> {
        if message.chunked {
            let mut raw = self.split(at);
            loop {
                let most = at + self.body_bound - raw.len();
                if !self.chunk(&mut raw, most, deadline)? {
                    break;
                }
            }
            (message.body, message.raw) = (at..raw.len(), raw);
            message.arrived = self.arrivals.consumed();
            return Ok(());
        }
        let end = at + message.length.unwrap_or(0);
        self.want(end, deadline)?;
        message.raw = self.split(end);
        message.body = at..end;
        message.arrived = self.arrivals.consumed();
        Ok(())
    }
}

/// A message without its body, and where its head ends; nothing yet if the head is not whole.
type Parsed = Result<Option<(Message, usize)>, HttpError>;

/// Where a part of a buffer lies in it.
fn within(buffer: &[u8], part: &[u8]) -> Range<usize> {
    let start = (part.as_ptr() as usize).saturating_sub(buffer.as_ptr() as usize);
    start..start + part.len()
}

fn headers_of(buffer: &[u8], headers: &[httparse::Header]) -> Vec<(Range<usize>, Range<usize>)> {
    headers.iter().map(|h| (within(buffer, h.name.as_bytes()), within(buffer, h.value))).collect()
}

fn status_of(e: httparse::Error) -> HttpError {
    HttpError::Status(if e == httparse::Error::TooManyHeaders { 431 } else { 400 })
}

fn parse_request(buffer: &[u8]) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(at) = request.parse(buffer).map_err(status_of)? else { return Ok(None) };
    let message = Message {
        method: within(buffer, request.method.unwrap_or("").as_bytes()),
        target: within(buffer, request.path.unwrap_or("").as_bytes()),
        close: request.version == Some(0),
        headers: headers_of(buffer, request.headers),
        ..Message::default()
    };
    Ok(Some((message, at)))
}

fn parse_response(buffer: &[u8]) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(at) = response.parse(buffer).map_err(status_of)? else { return Ok(None) };
    let message = Message {
        status: response.code.unwrap_or(0),
        close: response.version == Some(0),
        headers: headers_of(buffer, response.headers),
        ..Message::default()
    };
    Ok(Some((message, at)))
}

/// The usual words for a status.
fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Unknown",
    }
}

/// Writes a response.
pub fn respond(
    socket: &Socket,
    status: u16,
    more: &str,
    body: &[u8],
    close: bool,
    deadline: Micros,
) -> std::io::Result<()> {
    let close = if close { "Connection: close\r\n" } else { "" };
    let length = match status {
        204 => String::new(),
        _ => format!("Content-Length: {}\r\n", body.len()),
    };
    let head = format!("HTTP/1.1 {status} {}\r\n{more}{close}{length}\r\n", reason(status));
    socket.write(&[head.as_bytes(), body], deadline)
}

/// A load report: `TEXT name=value, name=value`, with or without its first word.
pub fn load_report(text: &str) -> Option<roselock::settings::WorkerReport> {
    let text = text.trim();
    if text.starts_with('{') {
        return serde_json::from_str(text).ok();
    }
    let text = text.strip_prefix("TEXT").unwrap_or(text);
    let mut gauge = roselock::settings::WorkerReport::default();
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        let value = value.trim().parse::<f64>().ok().filter(|v| v.is_finite());
        match name.trim() {
            "x0" => gauge.x0 = value,
            "x1" => gauge.x1 = value,
            "util" => gauge.util = value,
            "latency_ms" => gauge.latency_ms = value,
            _ => {}
        }
    }
    Some(gauge)
}

/// A deadline that lies so far ahead from now, for what has none of its own.
pub fn by(span: Micros) -> Micros {
    clock::now() + span
}
