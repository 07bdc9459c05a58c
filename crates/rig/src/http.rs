//! The subset of HTTP/1.1 that the stand-ins need, on `may` sockets.

use crate::traffic::Traffic;
use may::net::TcpStream;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum length of a message, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Maximum number of headers of a message.
const MAX_HEADERS: usize = 32;
/// Size of the read buffer, in bytes.
const READ_BYTES: usize = 2048;

/// A request or a response; header names are in lower case.
#[derive(Debug)]
pub struct Message {
    /// Method and path of a request; for a response, its status in both elements.
    pub start_line: [String; 2],
    headers: Vec<Header>,
    /// The body.
    pub body: Vec<u8>,
}

#[derive(Debug)]
struct Header {
    name: String,
    value: String,
}

/// The head of a message, and its length in bytes.
struct Head {
    start: [String; 2],
    headers: Vec<Header>,
    bytes: usize,
}

impl Message {
    /// A header's value, by its name in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|header| header.name == name).map(|header| header.value.as_str())
    }

    /// A response's status; 0 for a request.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.start_line[0].parse().unwrap_or(0)
    }

    /// Whether the connection stays open after this response.
    #[must_use]
    pub fn keeps_alive(&self) -> bool {
        self.header("connection") != Some("close")
    }
}

/// A connection.
pub struct Connection {
    stream: TcpStream,
    received: Vec<u8>,
    traffic: Option<Arc<Traffic>>,
}

impl Connection {
    /// Wraps a connected stream.
    #[must_use]
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, received: Vec::new(), traffic: None }
    }

    /// Counts the connection and its traffic from now on.
    #[must_use]
    pub fn with_traffic_counters(mut self, traffic: &Arc<Traffic>) -> Connection {
        traffic.count_connection();
        self.traffic = Some(traffic.clone());
        self
    }

    /// Whether the peer has closed the connection, as far as is known here.
    #[must_use]
    pub fn is_closed_by_peer(&self) -> bool {
        // The runtime's sockets do not block.
        match self.stream.inner().peek(&mut [0]) {
            Ok(bytes) => bytes == 0,
            Err(error) => {
                error.kind() != io::ErrorKind::WouldBlock && error.kind() != io::ErrorKind::Interrupted
            }
        }
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// It cannot be established within `timeout`.
    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Connection> {
        Ok(Connection::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    /// Writes the entire text.
    ///
    /// # Errors
    ///
    /// The connection is broken.
    pub fn write(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())?;
        if let Some(traffic) = &self.traffic {
            traffic.count_written(text.len());
        }
        Ok(())
    }

    /// Sets the timeout of each read.
    ///
    /// # Errors
    ///
    /// The system rejects the timeout.
    pub fn set_read_timeout(&self, timeout: Duration) -> io::Result<()> {
        self.stream.set_read_timeout(Some(timeout))
    }

    /// Shuts the connection down, also for a coroutine that is reading from it.
    pub fn close(&self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }

    /// Reads the next message; `None` if the connection ends between two messages.
    ///
    /// # Errors
    ///
    /// The read times out, the connection fails or ends within a message, or the message is not valid HTTP or too long.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(message) = self.parse()? {
                if let Some(traffic) = &self.traffic {
                    traffic.count_message();
                }
                return Ok(Some(message));
            }
            let mut buffer = [0; READ_BYTES];
            let bytes = self.stream.read(&mut buffer)?;
            if bytes == 0 && self.received.is_empty() {
                return Ok(None);
            }
            if bytes == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if let Some(traffic) = &self.traffic {
                traffic.count_read(bytes);
            }
            self.received.extend_from_slice(&buffer[..bytes]);
            if self.received.len() > MAX_MESSAGE_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
        }
    }

    /// Parses the first message in the received bytes, if it is complete.
    fn parse(&mut self) -> io::Result<Option<Message>> {
        let Some(head) = parse_head(&self.received).map_err(|_| io::ErrorKind::InvalidData)? else {
            return Ok(None);
        };
        let mut message = Message { start_line: head.start, headers: head.headers, body: Vec::new() };
        let length: usize =
            message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        let end = head.bytes + length;
        if self.received.len() < end {
            return Ok(None);
        }
        message.body = self.received[head.bytes..end].to_vec();
        self.received.drain(..end);
        Ok(Some(message))
    }
}

fn parse_head(received: &[u8]) -> Result<Option<Head>, httparse::Error> {
    let mut header_buffer = [httparse::EMPTY_HEADER; MAX_HEADERS];
    if received.starts_with(b"HTTP/") {
        let mut response = httparse::Response::new(&mut header_buffer);
        let httparse::Status::Complete(bytes) = response.parse(received)? else { return Ok(None) };
        let status = response.code.unwrap_or(0).to_string();
        return Ok(Some(Head {
            start: [status.clone(), status],
            headers: owned_headers(response.headers),
            bytes,
        }));
    }
    let mut request = httparse::Request::new(&mut header_buffer);
    let httparse::Status::Complete(bytes) = request.parse(received)? else { return Ok(None) };
    let start = [request.method, request.path].map(|word| word.unwrap_or("").to_owned());
    Ok(Some(Head { start, headers: owned_headers(request.headers), bytes }))
}

fn owned_headers(headers: &[httparse::Header]) -> Vec<Header> {
    let owned = |header: &httparse::Header| Header {
        name: header.name.to_lowercase(),
        value: String::from_utf8_lossy(header.value).into_owned(),
    };
    headers.iter().map(owned).collect()
}

/// A response with a body; `headers` consists of complete header lines.
#[must_use]
pub fn response(status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} -\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// A client's request for a job; `budget` is the time left until its deadline, in seconds.
#[must_use]
pub fn job_request(id: &str, class: &str, budget: &str) -> String {
    let head = format!("X-Call-Id: {id}\r\nX-Call-Class: {class}\r\nX-Budget: {budget}\r\nContent-Length: 4");
    format!("POST /api/u HTTP/1.1\r\nHost: a\r\n{head}\r\n\r\nbody")
}

/// A worker's request that reports an event of a job.
#[must_use]
pub fn job_event_request(body: &str) -> String {
    let length = body.len();
    format!("POST /v1/job-events HTTP/1.1\r\nHost: a\r\nContent-Length: {length}\r\n\r\n{body}")
}

/// The head of a chunked response.
pub const CHUNKED_HEAD: &str = "HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A line as one chunk of a chunked response.
#[must_use]
pub fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}
