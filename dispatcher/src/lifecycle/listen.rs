//! Listening sockets: the client listener, which may be inherited from the platform, and those of other
//! components.

use super::config::Config;
use super::error_chain::ErrorChain;
use super::inherit::{self, InheritedListener};
use crate::core::clock;
use crate::wire::socket::{ConnectError, LocalShortageBackoff};
use may::net::TcpListener;
use roselock::{Micros, SECOND};
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// How long binding is retried while the machine lacks a resource or the previous process still uses the
/// address.
const BIND_TIMEOUT: Micros = 3 * SECOND;
/// Number of connections that may wait to be accepted at an inherited listener. The runtime sets the same for new ones.
const BACKLOG: i32 = 1024;

/// Why a listener cannot be opened.
#[derive(Debug, Error)]
pub enum ListenError {
    /// The address cannot be bound.
    #[error("cannot listen on {address}{suffix}")]
    Bind {
        /// The address to bind.
        address: SocketAddr,
        /// Names the component in the message, such as ` (admin)`; empty for a front end.
        suffix: &'static str,
        /// The operating system's error.
        source: io::Error,
    },
    /// The listener's address cannot be determined.
    #[error(transparent)]
    NoAddress(io::Error),
}

/// A listening socket and its local address.
pub struct Listener {
    /// The socket that accepts connections.
    pub socket: TcpListener,
    /// The local address; the operating system chooses the port if 0 was requested.
    pub address: SocketAddr,
}

impl Listener {
    fn new(socket: TcpListener) -> Result<Listener, ListenError> {
        let address = socket.local_addr().map_err(ListenError::NoAddress)?;
        Ok(Listener { socket, address })
    }
}

/// The client listener.
pub struct ClientListener {
    /// The listening socket.
    pub listener: Listener,
    /// Whether the platform owns the listener, so that the next process can accept on it once this one stops.
    pub is_inherited: bool,
}

/// Binds an address; `suffix` names the component in an error message.
///
/// # Errors
/// Fails if the address cannot be bound in time, or at once on any error other than a local resource
/// shortage.
pub fn bind(address: SocketAddr, suffix: &'static str) -> Result<Listener, ListenError> {
    let deadline = clock::now() + BIND_TIMEOUT;
    let mut retry = LocalShortageBackoff::default();
    loop {
        match TcpListener::bind(address).map_err(ConnectError::from) {
            Ok(socket) => return Listener::new(socket),
            Err(ConnectError::Local(_)) if retry.wait(deadline) => {}
            Err(ConnectError::Local(source) | ConnectError::Peer(source)) => {
                return Err(ListenError::Bind { address, suffix, source });
            }
        }
    }
}

/// The client listener: the inherited one, otherwise one that is newly bound.
///
/// # Errors
/// Fails if there is no listener to inherit and the address cannot be bound.
pub fn client_listener(
    config: &Config,
    inherited: Option<InheritedListener>,
) -> Result<ClientListener, ListenError> {
    if let Some(inherited) = inherited {
        let listener = Listener::new(inherited.into_listener())?;
        raise_backlog(&listener.socket);
        return Ok(ClientListener { listener, is_inherited: true });
    }
    Ok(ClientListener { listener: bind(config.listen, "")?, is_inherited: false })
}

/// Lets more connections wait to be accepted at an inherited listener. Beyond the number that it was opened with, the system
/// drops their first packets, and the clients try again only after a second.
fn raise_backlog(socket: &TcpListener) {
    if let Err(error) = SockRef::from(socket.inner()).listen(BACKLOG) {
        tracing::debug!(reason = %error, "cannot raise the number of connections that wait to be accepted");
    }
}

/// The inherited listener that `$NODE_FD` names, if it is valid.
pub fn inherited_listener(config: &Config) -> Option<InheritedListener> {
    let name = &config.name;
    let value = std::env::var(inherit::FD_VARIABLE).ok().filter(|value| !value.trim().is_empty())?;
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
        tracing::warn!(%name, %address, %expected, "inherited listener is not at the configured address");
    }
    Some(inherited)
}
