//! As much of HTTP/1.1 as the stand-ins need, on `may` sockets.

use crate::traffic::Traffic;
use may::net::TcpStream;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Longest message.
const MOST: usize = 1 << 20;

/// A message: its first line's words, its headers with names in lower case, its body.
#[derive(Debug)]
pub struct Message {
    /// Method and path, or the status twice.
    pub start: [String; 2],
    headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// A header's value, by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|h| h.0 == name).map(|h| h.1.as_str())
    }
    /// An answer's status.
    pub fn status(&self) -> u16 {
        self.start[0].parse().unwrap_or(0)
    }
}

/// One end of a connection.
pub struct Connection {
    stream: TcpStream,
    read: Vec<u8>,
    traffic: Option<Arc<Traffic>>,
}

impl Connection {
    /// Over a stream that was accepted.
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, read: Vec::new(), traffic: None }
    }
    /// The same, with what passes over it counted from now on.
    pub fn counted(mut self, traffic: &Arc<Traffic>) -> Connection {
        traffic.count_connection();
        self.traffic = Some(traffic.clone());
        self
    }
    /// A new one; gives up after `within`.
    pub fn open(to: SocketAddr, within: Duration) -> io::Result<Connection> {
        Ok(Connection::new(TcpStream::connect_timeout(&to, within)?))
    }
    /// Writes all of it.
    pub fn write(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())?;
        self.traffic.iter().for_each(|t| t.count_written(text.len()));
        Ok(())
    }
    /// How long a read waits.
    pub fn set_read_timeout(&self, within: Duration) -> io::Result<()> {
        self.stream.set_read_timeout(Some(within))
    }
    /// Closes it under whoever reads from it.
    pub fn close(&self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
    /// The next message; `None` at the end between two.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(message) = self.parsed()? {
                self.traffic.iter().for_each(|t| t.count_message());
                return Ok(Some(message));
            }
            let mut buffer = [0; 2048];
            match self.stream.read(&mut buffer)? {
                0 if self.read.is_empty() => return Ok(None),
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                n => {
                    self.traffic.iter().for_each(|t| t.count_read(n));
                    self.read.extend_from_slice(&buffer[..n]);
                }
            }
            if self.read.len() > MOST {
                return Err(io::ErrorKind::InvalidData.into());
            }
        }
    }
    fn parsed(&mut self) -> io::Result<Option<Message>> {
        let mut space = [httparse::EMPTY_HEADER; 32];
        let bad = |_| io::Error::from(io::ErrorKind::InvalidData);
        let (head, start, headers) = if self.read.starts_with(b"HTTP/") {
            let mut answer = httparse::Response::new(&mut space);
            let httparse::Status::Complete(head) = answer.parse(&self.read).map_err(bad)? else {
                return Ok(None);
            };
            let status = answer.code.unwrap_or(0).to_string();
            (head, [status.clone(), status], owned(answer.headers))
        } else {
            let mut request = httparse::Request::new(&mut space);
            let httparse::Status::Complete(head) = request.parse(&self.read).map_err(bad)? else {
                return Ok(None);
            };
            let words = [request.method, request.path].map(|w| w.unwrap_or("").to_owned());
            (head, words, owned(request.headers))
        };
        let mut message = Message { start, headers, body: Vec::new() };
        let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        if self.read.len() < head + length {
            return Ok(None);
        }
        message.body = self.read[head..head + length].to_vec();
        self.read.drain(..head + length);
        Ok(Some(message))
    }
}

fn owned(headers: &[httparse::Header]) -> Vec<(String, String)> {
    let text = |v: &[u8]| String::from_utf8_lossy(v).into_owned();
    headers.iter().map(|h| (h.name.to_lowercase(), text(h.value))).collect()
}

/// An answer with a body.
pub fn answer(status: u16, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status} -\r\n{headers}Content-Length: {}\r\n\r\n{body}", body.len())
}

/// The head of an answer that comes in chunks.
pub const CHUNKED_HEAD: &str = "HTTP/1.1 200 -\r\nTransfer-Encoding: chunked\r\n\r\n";

/// A line as a chunk of such an answer.
pub fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}
