//! Messages of HTTP/1.1, framed by `Content-Length`.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When its first byte was read.
    pub began: Instant,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    unread: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, unread: Vec::new() }
    }
    pub fn open(address: SocketAddr) -> io::Result<Connection> {
        Ok(Connection::new(TcpStream::connect_timeout(&address, Duration::from_secs(1))?))
    }
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
    /// Reads a message; `None` at the end of the connection before its first byte.
    pub fn read(&mut self, patience: Duration) -> io::Result<Option<Message>> {
        let deadline = Instant::now() + patience;
        let mut began = (!self.unread.is_empty()).then(Instant::now);
        loop {
            if let Some(end) = find(&self.unread, b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.unread[..end]).into_owned();
                let mut lines = head.split("\r\n");
                let first = lines.next().unwrap_or("").to_owned();
                let pairs = lines.filter_map(|line| line.split_once(':'));
                let headers: Vec<(String, String)> =
                    pairs.map(|(key, value)| (key.to_owned(), value.trim().to_owned())).collect();
                let length = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case("content-length"));
                let length = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
                while self.unread.len() < end + 4 + length {
                    if !self.fill(deadline)? {
                        return Err(ErrorKind::UnexpectedEof.into());
                    }
                }
                let mut message: Vec<u8> = self.unread.drain(..end + 4 + length).collect();
                let body = message.split_off(end + 4);
                let began = began.unwrap_or_else(Instant::now);
                return Ok(Some(Message { first, headers, body, began }));
            }
            if !self.fill(deadline)? {
                return if self.unread.is_empty() { Ok(None) } else { Err(ErrorKind::UnexpectedEof.into()) };
            }
            began.get_or_insert_with(Instant::now);
        }
    }
    fn fill(&mut self, deadline: Instant) -> io::Result<bool> {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut bytes = [0; 16384];
        match self.stream.read(&mut bytes) {
            Ok(count) => {
                self.unread.extend_from_slice(&bytes[..count]);
                Ok(count > 0)
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock => Err(ErrorKind::TimedOut.into()),
            Err(error) => Err(error),
        }
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}
