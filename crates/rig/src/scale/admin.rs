//! A dispatcher's own figures, asked for at its admin address.

use serde::Deserialize;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long an answer may take.
const PATIENCE: Duration = Duration::from_secs(1);

/// As much as is needed of the answer to `METRICS`.
#[derive(Clone, Debug, Deserialize)]
pub struct Metrics {
    /// Workers in the list.
    pub cluster_size: usize,
    /// How the start goes.
    pub start: Start,
}

/// How a dispatcher's start goes.
#[derive(Clone, Debug, Deserialize)]
pub struct Start {
    /// Seconds from its start to its first list.
    pub confirmed_after_s: Option<f64>,
}

/// Asks for them.
pub fn metrics(admin: SocketAddr) -> io::Result<Metrics> {
    let mut stream = TcpStream::connect_timeout(&admin, PATIENCE)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.write_all(b"METRICS\n")?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    Ok(serde_json::from_str(&line)?)
}
