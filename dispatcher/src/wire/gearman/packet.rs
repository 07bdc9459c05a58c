//! Gearman's binary packets: a magic word, a type, a length, and arguments with NULs between.

use crate::wire::http::{BODY, Bad, Reader};
use roselock::Micros;

macro_rules! kinds {
    ($($name:ident = $code:literal),* $(,)?) => {
        /// The types that are spoken here, by their published numbers.
        #[allow(missing_docs)]
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Kind { $($name = $code),* }
        impl Kind {
            fn of(code: u32) -> Option<Kind> {
                match code { $($code => Some(Kind::$name),)* _ => None }
            }
        }
    };
}

kinds! {
    CanDo = 1, CantDo = 2, ResetAbilities = 3, PreSleep = 4, Noop = 6, SubmitJob = 7, JobCreated = 8,
    GrabJob = 9, NoJob = 10, JobAssign = 11, WorkStatus = 12, WorkComplete = 13, WorkFail = 14, GetStatus = 15,
    EchoReq = 16, EchoRes = 17, SubmitJobBg = 18, Error = 19, StatusRes = 20, SubmitJobHigh = 21,
    SetClientId = 22, CanDoTimeout = 23, AllYours = 24, WorkException = 25, OptionReq = 26, OptionRes = 27,
    WorkData = 28, WorkWarning = 29, GrabJobUniq = 30, JobAssignUniq = 31, SubmitJobHighBg = 32,
    SubmitJobLow = 33, SubmitJobLowBg = 34, GrabJobAll = 39, JobAssignAll = 40, GetStatusUnique = 41,
    StatusResUnique = 42,
}

const REQ: &[u8; 4] = b"\0REQ";
const RES: &[u8; 4] = b"\0RES";
/// Most bytes of a packet: a body and its names.
const MOST: usize = BODY + 4096;
/// Most bytes of an administrator's line.
const LINE: usize = 1024;

/// What came in.
#[derive(Debug, PartialEq, Eq)]
pub enum Incoming {
    /// A packet, and its arguments with NULs between.
    Packet(Kind, Vec<u8>),
    /// A packet of a type that is not spoken here.
    Unknown(u32),
    /// An administrator's line.
    Line(String),
}

/// Reads the next packet or line.
pub fn read(reader: &mut Reader, idle_by: Micros, whole_by: impl Fn() -> Micros) -> Result<Incoming, Bad> {
    if reader.is_empty() && !reader.fill(idle_by)? {
        return Err(Bad::Ended);
    }
    let by = whole_by();
    if reader.bytes()[0] != 0 {
        let end = loop {
            if let Some(end) = reader.bytes().iter().position(|b| *b == b'\n') {
                break end;
            }
            if reader.bytes().len() > LINE {
                return Err(Bad::Status(413));
            }
            reader.want(reader.bytes().len() + 1, by)?;
        };
        let line = reader.split(end + 1);
        return Ok(Incoming::Line(String::from_utf8_lossy(&line).trim().to_owned()));
    }
    reader.want(12, by)?;
    let number =
        |at: usize, from: &[u8]| u32::from_be_bytes([from[at], from[at + 1], from[at + 2], from[at + 3]]);
    let (code, size) = (number(4, reader.bytes()), number(8, reader.bytes()) as usize);
    if &reader.bytes()[..4] != REQ {
        return Err(Bad::Status(400));
    }
    if size > MOST {
        return Err(Bad::Status(413));
    }
    reader.want(12 + size, by)?;
    let mut data = reader.split(12 + size);
    data.drain(..12);
    Ok(Kind::of(code).map_or(Incoming::Unknown(code), |kind| Incoming::Packet(kind, data)))
}

/// The arguments of a packet; the last one may hold NULs. None if there are fewer.
pub fn args<const N: usize>(data: &[u8]) -> Option<[&[u8]; N]> {
    let mut parts = data.splitn(N, |b| *b == 0);
    let mut args = [&data[..0]; N];
    for arg in &mut args {
        *arg = parts.next()?;
    }
    Some(args)
}

/// A packet to a client or worker.
pub fn packet(kind: Kind, args: &[&[u8]]) -> Vec<u8> {
    let data = args.join(&0);
    let mut packet = Vec::with_capacity(12 + data.len());
    packet.extend_from_slice(RES);
    packet.extend_from_slice(&(kind as u32).to_be_bytes());
    packet.extend_from_slice(&(data.len() as u32).to_be_bytes());
    packet.extend_from_slice(&data);
    packet
}
