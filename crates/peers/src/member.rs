//! The identity of a member.

use crate::wire;
use compact_str::CompactString;
use std::net::{IpAddr, SocketAddr};

/// The maximum length of a member name and of a zone name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// A member's identity: one dispatcher process at an address.
///
/// An address has one member: of two identities, the one with the higher generation wins, then the one with the higher
/// renewal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member {
    /// The dispatcher's name.
    pub name: CompactString,
    /// The address for datagrams and requests.
    pub address: SocketAddr,
    /// The start time of its process, in milliseconds since 1970.
    pub generation: u64,
    /// The number of identity renewals in this generation: one for each time it was declared down and rejoined.
    pub renewal: u32,
    /// The zone that it runs in.
    pub zone: CompactString,
    /// Its configured dispatcher number.
    pub number: u32,
}

impl Member {
    /// Returns a placeholder for a member of which only the address is known.
    pub fn unknown_at(address: SocketAddr) -> Member {
        let empty = CompactString::default;
        Member { name: empty(), address, generation: 0, renewal: 0, zone: empty(), number: 0 }
    }

    /// Converts the member to its wire representation.
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

    /// Converts the wire representation to a member; returns `None` if it is malformed.
    pub fn from_wire(identity: &wire::Identity) -> Option<Member> {
        let ip = match identity.ip.len() {
            4 => IpAddr::from(<[u8; 4]>::try_from(&identity.ip[..]).ok()?),
            16 => IpAddr::from(<[u8; 16]>::try_from(&identity.ip[..]).ok()?),
            _ => return None,
        };
        let address = SocketAddr::new(ip, u16::try_from(identity.port).ok()?);
        (identity.name.len() <= MAX_NAME_BYTES && identity.zone.len() <= MAX_NAME_BYTES).then(|| Member {
            name: identity.name.as_str().into(),
            address,
            generation: identity.generation,
            renewal: identity.renewal,
            zone: identity.zone.as_str().into(),
            number: identity.number,
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
