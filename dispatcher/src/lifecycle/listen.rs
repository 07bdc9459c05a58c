//! The listeners: the clients', which the platform may hold and hand down, and those of other parts.

use super::config::Config;
use super::inherit;
use crate::core::clock;
use crate::wire::socket::{ConnectError, LocalRetry};
use may::net::TcpListener;
use roselock::{Micros, SECOND};
use std::net::SocketAddr;

/// How long a listener is tried for where this machine is short of something, or the process before still has its address.
const BIND: Micros = 3 * SECOND;

/// Listens at an address; `what` names the part in an error.
pub fn bind(at: SocketAddr, what: &str) -> Result<TcpListener, String> {
    let (last, mut retry) = (clock::now() + BIND, LocalRetry::default());
    loop {
        match TcpListener::bind(at).map_err(ConnectError::from) {
            Ok(listener) => return Ok(listener),
            Err(ConnectError::Local(_)) if retry.wait(last) => {}
            Err(ConnectError::Local(why) | ConnectError::Peer(why)) => {
                return Err(format!("cannot listen on {at}{what}: {why}"));
            }
        }
    }
}

/// The clients' listener: the one that the platform holds, where `$NODE_FD` names it, else bound anew; and whether
/// it was inherited, so that others may accept on it once this process stops.
pub fn for_clients(config: &Config) -> Result<(TcpListener, bool), String> {
    let told = std::env::var(inherit::VARIABLE).ok().filter(|told| !told.trim().is_empty());
    match told.as_deref().map(inherit::check) {
        Some(Ok((fd, address))) => {
            if address != config.listen {
                tracing::warn!(
                    "{}: the inherited listener is at {address}, not at {}",
                    config.name,
                    config.listen
                );
            }
            return Ok((inherit::adopt(fd), true));
        }
        Some(Err(why)) => tracing::error!("{}: {why}; the listener is bound anew", config.name),
        None => {}
    }
    Ok((bind(config.listen, "")?, false))
}
