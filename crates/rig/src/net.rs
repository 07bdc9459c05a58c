//! Addresses on loopback and descriptors for a run.

use std::net::Ipv4Addr;

/// Nets of 127/8 for runs, and where each is claimed: at an address of it that no dispatcher has.
const NETS: std::ops::Range<u8> = 20..220;
const CLAIM: ([u8; 2], u16) = ([255, 254], 20_999);
/// Addresses used of each 256.
const ADDRESSES: usize = 250;

/// A net that no other run on this machine has, in this process or another, for as long as the claim is held.
pub fn claim_net() -> std::io::Result<(u8, std::net::TcpListener)> {
    let claim = |net: u8| {
        let ([c, d], port) = CLAIM;
        std::net::TcpListener::bind((Ipv4Addr::new(127, net, c, d), port)).map(|claim| (net, claim))
    };
    let none = || std::io::Error::other("all nets of 127/8 for runs are taken");
    NETS.into_iter().find_map(|net| claim(net).ok()).ok_or_else(none)
}

/// A port that nobody listens at on 127.0.0.1 now.
pub fn free_port() -> std::io::Result<u16> {
    Ok(std::net::TcpListener::bind("127.0.0.1:0")?.local_addr()?.port())
}

/// The address of a party in a net of 127/8, by its number.
pub fn address(net: u8, number: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, net, (number / ADDRESSES) as u8, (number % ADDRESSES) as u8 + 1)
}

/// Raises the bound of descriptors as far as it goes.
pub fn raise_limits() {
    use nix::sys::resource::{Resource, getrlimit, setrlimit};
    if let Ok((_, hard)) = getrlimit(Resource::RLIMIT_NOFILE) {
        let _ = setrlimit(Resource::RLIMIT_NOFILE, hard, hard);
    }
}

/// The number of the party at an address of a net.
pub fn number_at(net: u8, address: Ipv4Addr) -> Option<usize> {
    let [first, second, third, fourth] = address.octets();
    let within = (1..=ADDRESSES).contains(&usize::from(fourth));
    (first == 127 && second == net && within)
        .then(|| usize::from(third) * ADDRESSES + usize::from(fourth) - 1)
}
