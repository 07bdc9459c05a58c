//! Loopback addresses, ports and the descriptor limit of a run.

use std::io;
use std::net::{Ipv4Addr, TcpListener};

/// Second octets of the subnets of 127/8 that runs use.
const NET_OCTETS: std::ops::Range<u8> = 20..220;
/// The third and the fourth octet of the address whose port claims a subnet; no dispatcher has this address.
const CLAIM_OCTETS: [u8; 2] = [255, 254];
/// The port that claims a subnet while a process listens on it.
const CLAIM_PORT: u16 = 20_999;
/// Number of addresses used in each block of 256.
const ADDRESSES_PER_BLOCK: usize = 250;

/// The exclusive claim of a subnet of 127/8 on this machine, across processes, while this is held.
pub struct SubnetClaim {
    /// Its second octet.
    pub net: u8,
    _listener: TcpListener,
}

/// Claims a subnet for a run.
///
/// # Errors
///
/// All subnets are claimed.
pub fn claim_subnet() -> io::Result<SubnetClaim> {
    for net in NET_OCTETS {
        let [third, fourth] = CLAIM_OCTETS;
        if let Ok(listener) = TcpListener::bind((Ipv4Addr::new(127, net, third, fourth), CLAIM_PORT)) {
            return Ok(SubnetClaim { net, _listener: listener });
        }
    }
    Err(io::Error::other("all subnets of 127/8 for runs are claimed"))
}

/// A port that is currently free on 127.0.0.1.
///
/// # Errors
///
/// The system assigns no port.
pub fn free_port() -> io::Result<u16> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?.port())
}

/// The address of a participant in a subnet of 127/8, by its number.
#[must_use]
pub fn participant_address(net: u8, number: usize) -> Ipv4Addr {
    let block = (number / ADDRESSES_PER_BLOCK) as u8;
    let within_block = (number % ADDRESSES_PER_BLOCK) as u8 + 1;
    Ipv4Addr::new(127, net, block, within_block)
}

/// The number of the participant with this address in a subnet; none for any other address.
#[must_use]
pub fn participant_number(net: u8, address: Ipv4Addr) -> Option<usize> {
    let [first, second, third, fourth] = address.octets();
    if first != 127 || second != net || !(1..=ADDRESSES_PER_BLOCK).contains(&usize::from(fourth)) {
        return None;
    }
    Some(usize::from(third) * ADDRESSES_PER_BLOCK + usize::from(fourth) - 1)
}

/// Raises the soft limit of file descriptors to the hard limit.
pub fn raise_descriptor_limit() {
    use nix::sys::resource::{Resource, getrlimit, setrlimit};
    if let Ok((_, hard)) = getrlimit(Resource::RLIMIT_NOFILE) {
        let _ = setrlimit(Resource::RLIMIT_NOFILE, hard, hard);
    }
}
