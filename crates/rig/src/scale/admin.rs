//! Reads a dispatcher's metrics from its admin address.

use serde::Deserialize;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time limit for connecting, and for the response.
const TIMEOUT: Duration = Duration::from_secs(1);

/// The part of the response to `METRICS` that the rig uses.
#[derive(Clone, Debug, Deserialize)]
pub struct Metrics {
    /// Number of workers in the dispatcher's list.
    pub cluster_size: usize,
    /// Progress of the dispatcher's start.
    pub start: StartProgress,
}

/// Progress of a dispatcher's start.
#[derive(Clone, Debug, Deserialize)]
pub struct StartProgress {
    /// Seconds from the start to the first list; `None` before.
    pub confirmed_after_s: Option<f64>,
}

/// Reads a dispatcher's metrics.
///
/// # Errors
///
/// The dispatcher does not respond within a second, or the response is not JSON of the expected form.
pub fn fetch_metrics(admin: SocketAddr) -> io::Result<Metrics> {
    let mut stream = TcpStream::connect_timeout(&admin, TIMEOUT)?;
    stream.set_read_timeout(Some(TIMEOUT))?;
    stream.write_all(b"METRICS\n")?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line)?;
    Ok(serde_json::from_str(&line)?)
}
