//! The packet types, their arguments, and the encoding of packets.
//!
//! A packet consists of a magic word of four bytes (`\0REQ` or `\0RES`), the type and the size of the arguments (both
//! four bytes, big-endian), and the arguments, separated by NUL bytes. The last argument extends to the end of the
//! packet, so that it may contain any bytes.

use std::fmt;

/// Size of a packet's header in bytes: the magic word, the type and the size of the arguments.
pub const HEADER_BYTES: usize = 12;

/// The direction of a packet, as its magic word gives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Magic {
    /// To a server.
    Req,
    /// From a server.
    Res,
}

impl Magic {
    /// The four bytes of the magic word.
    pub const fn bytes(self) -> &'static [u8; 4] {
        match self {
            Magic::Req => b"\0REQ",
            Magic::Res => b"\0RES",
        }
    }
}

/// The sender of a packet type, as listed in the specification.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// A client.
    Client,
    /// A worker.
    Worker,
    /// A client or a worker.
    Peer,
    /// A server, to clients or workers.
    Server,
    /// A worker, to the server, which relays the packet to the waiting clients.
    Relayed,
}

/// The error for a packet that lacks arguments of its type.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed {
    /// The type of the packet.
    pub kind: Kind,
}

impl fmt::Display for Malformed {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} takes: {}", self.kind.label(), self.kind.arguments().join(", "))
    }
}

impl std::error::Error for Malformed {}

macro_rules! packets {
    ($($name:ident = $code:literal $label:literal $sender:ident ($($field:ident),*);)*) => {
        /// The packet types with their numbers in the specification. 5 and 43 are not assigned.
        #[allow(missing_docs)]
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Kind { $($name = $code),* }

        impl Kind {
            /// All packet types, in the order of their numbers.
            pub const ALL: &'static [Kind] = &[$(Kind::$name),*];

            /// The type with this number, if it is assigned.
            pub fn from_code(code: u32) -> Option<Kind> {
                match code { $($code => Some(Kind::$name),)* _ => None }
            }
            /// The name of the type in the specification.
            pub fn label(self) -> &'static str {
                match self { $(Kind::$name => $label),* }
            }
            /// The sender of packets of this type.
            pub fn sender(self) -> Sender {
                match self { $(Kind::$name => Sender::$sender),* }
            }
            /// The names of the arguments, in order.
            pub fn arguments(self) -> &'static [&'static str] {
                match self { $(Kind::$name => &[$(stringify!($field)),*]),* }
            }
        }

        /// A packet with its arguments, which borrow the bytes that it was parsed from.
        #[allow(missing_docs)]
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Packet<'a> { $($name { $($field: &'a [u8]),* }),* }

        impl<'a> Packet<'a> {
            /// The type of the packet.
            pub fn kind(&self) -> Kind {
                match self { $(Packet::$name { .. } => Kind::$name),* }
            }
            /// Parses the arguments of a packet.
            ///
            /// # Errors
            /// If arguments are missing. In reports about a job, data that is missing together with its separator counts
            /// as empty, since old workers omit both.
            pub fn parse(kind: Kind, data: &'a [u8]) -> Result<Packet<'a>, Malformed> {
                match kind {
                    $(Kind::$name => {
                        let [$($field),*] = split_arguments(data, kind).ok_or(Malformed { kind })?;
                        Ok(Packet::$name { $($field),* })
                    })*
                }
            }
            /// Appends the encoded packet.
            pub fn write(&self, magic: Magic, out: &mut Vec<u8>) {
                match self {
                    $(Packet::$name { $($field),* } => encode(magic, Kind::$name, &[$($field),*], out)),*
                }
            }
        }
    };
}

packets! {
    CanDo = 1 "CAN_DO" Worker (function);
    CantDo = 2 "CANT_DO" Worker (function);
    ResetAbilities = 3 "RESET_ABILITIES" Worker ();
    PreSleep = 4 "PRE_SLEEP" Worker ();
    Noop = 6 "NOOP" Server ();
    SubmitJob = 7 "SUBMIT_JOB" Client (function, unique, data);
    JobCreated = 8 "JOB_CREATED" Server (handle);
    GrabJob = 9 "GRAB_JOB" Worker ();
    NoJob = 10 "NO_JOB" Server ();
    JobAssign = 11 "JOB_ASSIGN" Server (handle, function, data);
    WorkStatus = 12 "WORK_STATUS" Relayed (handle, numerator, denominator);
    WorkComplete = 13 "WORK_COMPLETE" Relayed (handle, data);
    WorkFail = 14 "WORK_FAIL" Relayed (handle);
    GetStatus = 15 "GET_STATUS" Client (handle);
    EchoReq = 16 "ECHO_REQ" Peer (data);
    EchoRes = 17 "ECHO_RES" Server (data);
    SubmitJobBg = 18 "SUBMIT_JOB_BG" Client (function, unique, data);
    Error = 19 "ERROR" Server (code, text);
    StatusRes = 20 "STATUS_RES" Server (handle, known, running, numerator, denominator);
    SubmitJobHigh = 21 "SUBMIT_JOB_HIGH" Client (function, unique, data);
    SetClientId = 22 "SET_CLIENT_ID" Worker (name);
    CanDoTimeout = 23 "CAN_DO_TIMEOUT" Worker (function, seconds);
    AllYours = 24 "ALL_YOURS" Worker ();
    WorkException = 25 "WORK_EXCEPTION" Relayed (handle, data);
    OptionReq = 26 "OPTION_REQ" Peer (option);
    OptionRes = 27 "OPTION_RES" Server (option);
    WorkData = 28 "WORK_DATA" Relayed (handle, data);
    WorkWarning = 29 "WORK_WARNING" Relayed (handle, data);
    GrabJobUniq = 30 "GRAB_JOB_UNIQ" Worker ();
    JobAssignUniq = 31 "JOB_ASSIGN_UNIQ" Server (handle, function, unique, data);
    SubmitJobHighBg = 32 "SUBMIT_JOB_HIGH_BG" Client (function, unique, data);
    SubmitJobLow = 33 "SUBMIT_JOB_LOW" Client (function, unique, data);
    SubmitJobLowBg = 34 "SUBMIT_JOB_LOW_BG" Client (function, unique, data);
    SubmitJobSched = 35 "SUBMIT_JOB_SCHED" Client (function, unique, minute, hour, day, month, weekday, data);
    SubmitJobEpoch = 36 "SUBMIT_JOB_EPOCH" Client (function, unique, epoch, data);
    SubmitReduceJob = 37 "SUBMIT_REDUCE_JOB" Client (function, unique, reducer, data);
    SubmitReduceJobBackground = 38 "SUBMIT_REDUCE_JOB_BACKGROUND" Client (function, unique, reducer, data);
    GrabJobAll = 39 "GRAB_JOB_ALL" Worker ();
    JobAssignAll = 40 "JOB_ASSIGN_ALL" Server (handle, function, unique, reducer, data);
    GetStatusUnique = 41 "GET_STATUS_UNIQUE" Client (unique);
    StatusResUnique = 42 "STATUS_RES_UNIQUE" Server (unique, known, running, numerator, denominator, waiters);
}

impl Kind {
    /// The type with this name in the specification.
    pub fn from_name(label: &str) -> Option<Kind> {
        Kind::ALL.iter().copied().find(|kind| kind.label() == label)
    }
    /// Whether a server may receive packets of this type.
    pub fn is_request(self) -> bool {
        self.sender() != Sender::Server
    }
    /// Whether the data and its separator may be missing: old workers send only the handle if a job has no data.
    fn may_omit_data(self) -> bool {
        matches!(self, Kind::WorkComplete | Kind::WorkException | Kind::WorkData | Kind::WorkWarning)
    }
}

/// Splits the arguments of a packet of this type. Returns `None` if arguments are missing.
fn split_arguments<const N: usize>(data: &[u8], kind: Kind) -> Option<[&[u8]; N]> {
    let mut args = [&b""[..]; N];
    let mut rest = data;
    for (index, arg) in args.iter_mut().enumerate() {
        let is_last = index + 1 == N;
        let separator = if is_last { None } else { rest.iter().position(|byte| *byte == 0) };
        let Some(end) = separator else {
            if !is_last && !kind.may_omit_data() {
                return None;
            }
            *arg = rest;
            break;
        };
        *arg = &rest[..end];
        rest = &rest[end + 1..];
    }
    Some(args)
}

/// Encodes the header of a packet with `size` bytes of arguments.
pub fn encode_header(magic: Magic, kind: Kind, size: usize) -> [u8; HEADER_BYTES] {
    let mut header = [0; HEADER_BYTES];
    header[..4].copy_from_slice(magic.bytes());
    header[4..8].copy_from_slice(&(kind as u32).to_be_bytes());
    header[8..].copy_from_slice(&(size as u32).to_be_bytes());
    header
}

/// Appends an encoded packet.
pub fn encode(magic: Magic, kind: Kind, args: &[&[u8]], out: &mut Vec<u8>) {
    let size = args.iter().map(|arg| arg.len()).sum::<usize>() + args.len().saturating_sub(1);
    out.reserve(HEADER_BYTES + size);
    out.extend_from_slice(&encode_header(magic, kind, size));
    for (index, arg) in args.iter().enumerate() {
        if index > 0 {
            out.push(0);
        }
        out.extend_from_slice(arg);
    }
}

/// Encodes a packet.
pub fn packet(magic: Magic, kind: Kind, args: &[&[u8]]) -> Vec<u8> {
    let mut out = Vec::new();
    encode(magic, kind, args, &mut out);
    out
}

/// Parses an argument that is an integer in decimal digits.
pub fn parse_number(arg: &[u8]) -> Option<u64> {
    std::str::from_utf8(arg).ok()?.trim().parse().ok()
}
