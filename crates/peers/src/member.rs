//! The identity of a member.

use crate::wire;
use compact_str::CompactString;
use std::net::{IpAddr, SocketAddr};

/// Longest name, and longest name of a zone, in bytes.
pub const MAX_NAME: usize = 64;

/// A member's identity: one process of a dispatcher at an address.
///
/// An address has one member: of two identities the one of the later generation wins, then that of the later renewal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member {
    /// Its name.
    pub name: CompactString,
    /// Its address.
    pub address: SocketAddr,
    /// When its process started, in milliseconds since 1970.
    pub generation: u64,
    /// How often it has renewed its identity in this generation: each time it counted as down and rejoined.
    pub renewal: u32,
    /// Its zone.
    pub zone: CompactString,
    /// Its number, from its configuration.
    pub number: u32,
}

impl Member {
    /// The unknown member at an address.
    pub fn unknown_at(address: SocketAddr) -> Member {
        let none = CompactString::default;
        Member { name: none(), address, generation: 0, renewal: 0, zone: none(), number: 0 }
    }

    /// As it is encoded.
    pub fn to_wire(&self) -> wire::Identity {
        let ip = match self.address.ip() {
            IpAddr::V4(ip) => ip.octets().to_vec(),
            IpAddr::V6(ip) => ip.octets().to_vec(),
        };
        wire::Identity {
            name: self.name.as_str().to_owned(),
            ip,
            port: u32::from(self.address.port()),
            generation: self.generation,
            renewal: self.renewal,
            zone: self.zone.as_str().to_owned(),
            number: self.number,
        }
    }

    /// Decodes; none if that is malformed.
    pub fn from_wire(written: &wire::Identity) -> Option<Member> {
        let ip = match written.ip.len() {
            4 => IpAddr::from(<[u8; 4]>::try_from(&written.ip[..]).ok()?),
            16 => IpAddr::from(<[u8; 16]>::try_from(&written.ip[..]).ok()?),
            _ => return None,
        };
        let address = SocketAddr::new(ip, u16::try_from(written.port).ok()?);
        (written.name.len() <= MAX_NAME && written.zone.len() <= MAX_NAME).then(|| Member {
            name: written.name.as_str().into(),
            address,
            generation: written.generation,
            renewal: written.renewal,
            zone: written.zone.as_str().into(),
            number: written.number,
        })
    }
}

impl foca::Identity for Member {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Member> {
        Some(Member { renewal: self.renewal.checked_add(1)?, ..self.clone() })
    }
    fn addr(&self) -> SocketAddr {
        self.address
    }
    fn win_addr_conflict(&self, other: &Member) -> bool {
        (self.generation, self.renewal, &self.name) > (other.generation, other.renewal, &other.name)
    }
}
