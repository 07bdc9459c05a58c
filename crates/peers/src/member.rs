//! Who a member is.

use crate::wire;
use compact_str::CompactString;
use std::net::{IpAddr, SocketAddr};

/// Longest name, and longest name of a zone, in bytes.
pub const NAME: usize = 64;

/// A member: a life of a dispatcher's process at an address. One address has one; of two the later life wins, then the
/// later turn.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member {
    /// Its name.
    pub name: CompactString,
    /// Where it is reached.
    pub at: SocketAddr,
    /// When its process started, in milliseconds since 1970.
    pub life: u64,
    /// How often it renewed itself in this life.
    pub turn: u32,
    /// Its zone.
    pub zone: CompactString,
    /// The number that it was told.
    pub number: u32,
}

impl Member {
    /// Whoever is at an address, of whom nothing else is known.
    pub fn at(at: SocketAddr) -> Member {
        let none = CompactString::default;
        Member { name: none(), at, life: 0, turn: 0, zone: none(), number: 0 }
    }

    /// As it is written.
    pub fn written(&self) -> wire::Identity {
        let ip = match self.at.ip() {
            IpAddr::V4(ip) => ip.octets().to_vec(),
            IpAddr::V6(ip) => ip.octets().to_vec(),
        };
        wire::Identity {
            name: self.name.as_str().to_owned(),
            ip,
            port: u32::from(self.at.port()),
            life: self.life,
            turn: self.turn,
            zone: self.zone.as_str().to_owned(),
            number: self.number,
        }
    }

    /// As it was written; none, if that makes no sense.
    pub fn read(written: &wire::Identity) -> Option<Member> {
        let ip = match written.ip.len() {
            4 => IpAddr::from(<[u8; 4]>::try_from(&written.ip[..]).ok()?),
            16 => IpAddr::from(<[u8; 16]>::try_from(&written.ip[..]).ok()?),
            _ => return None,
        };
        let at = SocketAddr::new(ip, u16::try_from(written.port).ok()?);
        (written.name.len() <= NAME && written.zone.len() <= NAME).then(|| Member {
            name: written.name.as_str().into(),
            at,
            life: written.life,
            turn: written.turn,
            zone: written.zone.as_str().into(),
            number: written.number,
        })
    }
}

impl foca::Identity for Member {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Member> {
        Some(Member { turn: self.turn.checked_add(1)?, ..self.clone() })
    }
    fn addr(&self) -> SocketAddr {
        self.at
    }
    fn win_addr_conflict(&self, other: &Member) -> bool {
        (self.life, self.turn, &self.name) > (other.life, other.turn, &other.name)
    }
}
