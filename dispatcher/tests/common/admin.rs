//! A client of the admin address, one line per call.

use super::connect;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};

/// A client of the admin address.
pub struct AdminClient(BufReader<TcpStream>);

impl AdminClient {
    /// Opens a connection to the admin address.
    pub fn new(address: SocketAddr) -> AdminClient {
        AdminClient(BufReader::new(connect(address)))
    }
    /// Sends raw bytes.
    pub fn send(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).expect("write failed");
    }
    /// Reads the next line, without its line ending; `None` at the end of the stream.
    pub fn read_line(&mut self) -> Option<String> {
        let mut line = String::new();
        (self.0.read_line(&mut line).ok()? > 0).then(|| line.trim_end().to_owned())
    }
    /// Makes a call and reads its response: one line, or for METRICS the lines before `.`.
    pub fn call(&mut self, line: &str) -> Vec<String> {
        self.send(format!("{line}\n").as_bytes());
        let first = self.read_line().expect("no response");
        if !line.eq_ignore_ascii_case("metrics") || first.starts_with("-ERR") {
            return vec![first];
        }
        let mut lines = vec![first];
        while let Some(line) = self.read_line().filter(|l| l != ".") {
            lines.push(line);
        }
        lines
    }
}
