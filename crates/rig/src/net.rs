//! Addresses on loopback and descriptors for a run.

use std::io;
use std::net::{Ipv4Addr, TcpListener};

/// Second octets of the nets of 127/8 that runs use.
const NETS: std::ops::Range<u8> = 20..220;
/// The third and the fourth octet of the address at which a net is claimed; no dispatcher has it.
const CLAIM_OCTETS: [u8; 2] = [255, 254];
/// The port at which a net is claimed.
const CLAIM_PORT: u16 = 20_999;
/// Addresses used of each 256.
const ADDRESSES_PER_BLOCK: usize = 250;

/// A net of 127/8 that no other run on this machine has, in this process or another, while this is held.
pub struct NetClaim {
    /// Its second octet.
    pub net: u8,
    _listener: TcpListener,
}

/// Claims a net for a run.
///
/// # Errors
///
/// All nets are claimed.
pub fn claim_net() -> io::Result<NetClaim> {
    for net in NETS {
        let [third, fourth] = CLAIM_OCTETS;
        if let Ok(listener) = TcpListener::bind((Ipv4Addr::new(127, net, third, fourth), CLAIM_PORT)) {
            return Ok(NetClaim { net, _listener: listener });
        }
    }
    Err(io::Error::other("all nets of 127/8 for runs are taken"))
}

/// A port at which nobody listens on 127.0.0.1 now.
///
/// # Errors
///
/// The system gives none.
pub fn free_port() -> io::Result<u16> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.port())
}

/// The address of a participant in a net of 127/8, by its number.
#[must_use]
pub fn address(net: u8, number: usize) -> Ipv4Addr {
    let block = (number / ADDRESSES_PER_BLOCK) as u8;
    let within_block = (number % ADDRESSES_PER_BLOCK) as u8 + 1;
    Ipv4Addr::new(127, net, block, within_block)
}

/// The number of the participant at an address of a net; none at any other address.
#[must_use]
pub fn number_at(net: u8, address: Ipv4Addr) -> Option<usize> {
    let [first, second, third, fourth] = address.octets();
    if first != 127 || second != net || !(1..=ADDRESSES_PER_BLOCK).contains(&usize::from(fourth)) {
        return None;
    }
    Some(usize::from(third) * ADDRESSES_PER_BLOCK + usize::from(fourth) - 1)
}

/// Raises the limit of descriptors as far as it goes.
pub fn raise_limits() {
    use nix::sys::resource::{Resource, getrlimit, setrlimit};
    if let Ok((_, hard)) = getrlimit(Resource::RLIMIT_NOFILE) {
        let _ = setrlimit(Resource::RLIMIT_NOFILE, hard, hard);
    }
}
