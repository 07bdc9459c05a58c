//! The listeners: the clients', which the platform may hold and hand down, and those of other parts.

use super::config::Config;
use super::error_chain::ErrorChain;
use super::inherit::{self, InheritedListener};
use crate::core::clock;
use crate::wire::socket::{ConnectError, LocalRetry};
use may::net::TcpListener;
use roselock::{Micros, SECOND};
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// How long an address is tried where this machine is short of something, or the previous process still listens on it.
const BIND_TIMEOUT: Micros = 3 * SECOND;

/// Why there is no listener.
#[derive(Debug, Error)]
pub enum ListenError {
    /// The address cannot be bound.
    #[error("cannot listen on {address}{part}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// Whose it is, such as ` (admin)`; empty for a front.
        part: &'static str,
        /// What the system says.
        source: io::Error,
    },
    /// The listener has no address.
    #[error(transparent)]
    NoAddress(io::Error),
}

/// A listener, and the address it got.
pub struct Listener {
    /// Accepts connections.
    pub socket: TcpListener,
    /// Where it listens; the port is the system's choice where 0 was asked for.
    pub address: SocketAddr,
}

impl Listener {
    fn new(socket: TcpListener) -> Result<Listener, ListenError> {
        let address = socket.local_addr().map_err(ListenError::NoAddress)?;
        Ok(Listener { socket, address })
    }
}

/// The clients' listener.
pub struct ClientListener {
    /// The listener.
    pub listener: Listener,
    /// The platform holds it, so that the next process can accept on it once this one stops.
    pub is_inherited: bool,
}

/// Listens at an address; `part` names the part in an error.
///
/// # Errors
/// The address cannot be bound in time, or for another reason than a shortage of this machine.
pub fn bind(address: SocketAddr, part: &'static str) -> Result<Listener, ListenError> {
    let deadline = clock::now() + BIND_TIMEOUT;
    let mut retry = LocalRetry::default();
    loop {
        match TcpListener::bind(address).map_err(ConnectError::from) {
            Ok(socket) => return Listener::new(socket),
            Err(ConnectError::Local(_)) if retry.wait(deadline) => {}
            Err(ConnectError::Local(source) | ConnectError::Peer(source)) => {
                return Err(ListenError::Bind { address, part, source });
            }
        }
    }
}

/// The clients' listener: the one that the platform holds, where `$NODE_FD` names it, else a new one.
///
/// # Errors
/// There is none to inherit, and the address cannot be bound.
pub fn for_clients(config: &Config) -> Result<ClientListener, ListenError> {
    if let Some(inherited) = inherited_listener(config) {
        return Ok(ClientListener { listener: Listener::new(inherited.adopt())?, is_inherited: true });
    }
    Ok(ClientListener { listener: bind(config.listen, "")?, is_inherited: false })
}

/// The listener that `$NODE_FD` names, if it is one.
fn inherited_listener(config: &Config) -> Option<InheritedListener> {
    let name = &config.name;
    let value = std::env::var(inherit::VARIABLE).ok().filter(|value| !value.trim().is_empty())?;
    let inherited = match InheritedListener::check(&value) {
        Ok(inherited) => inherited,
        Err(error) => {
            let reason = ErrorChain(&error);
            tracing::error!(%name, %reason, "inherited listener rejected, binding a new one");
            return None;
        }
    };
    if inherited.address != config.listen {
        let address = inherited.address;
        let expected = config.listen;
        tracing::warn!(%name, %address, %expected, "inherited listener has another address than configured");
    }
    Some(inherited)
}
