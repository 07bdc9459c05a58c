//! A dispatcher's own figures, from its admin address.

use serde::Deserialize;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long a connection and an answer may take.
const TIMEOUT: Duration = Duration::from_secs(1);

/// The part of the answer to `METRICS` that is used.
#[derive(Clone, Debug, Deserialize)]
pub struct Metrics {
    /// Workers in the list.
    pub cluster_size: usize,
    /// The progress of its start.
    pub start: Start,
}

/// The progress of a dispatcher's start.
#[derive(Clone, Debug, Deserialize)]
pub struct Start {
    /// Seconds from its start to its first list.
    pub confirmed_after_s: Option<f64>,
}

/// Reads a dispatcher's figures.
///
/// # Errors
///
/// It does not answer within a second, or not with the JSON that is expected.
pub fn metrics(admin: SocketAddr) -> io::Result<Metrics> {
    let mut stream = TcpStream::connect_timeout(&admin, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.write_all(b"METRICS\n")?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    Ok(serde_json::from_str(&line)?)
}
