//! Encoding of flow records.

use super::elements::{CLASS_NAME_LENGTH, IPV4_FLOW_TEMPLATE, IPV6_FLOW_TEMPLATE};
use crate::core::{Flow, StreamOutcome};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr};

/// Initial capacity of a record's buffer, in bytes; a usual record fits.
const RECORD_CAPACITY: usize = 128;
/// protocolIdentifier of TCP.
const PROTOCOL_TCP: u8 = 6;
const MICROS_PER_MILLI: i64 = 1000;

/// An encoded flow record.
pub(super) struct Record {
    /// The id of the template.
    pub(super) template: u16,
    /// The encoded elements.
    pub(super) bytes: Vec<u8>,
}

/// The exported elements that describe how a flow ended.
struct FlowEnd {
    /// httpStatusCode; 0 if the client got none.
    status: u16,
    /// flowEndReason.
    reason: u8,
}

/// flowEndReason "active timeout" (IANA).
const ACTIVE_TIMEOUT: u8 = 2;
/// flowEndReason "end of Flow detected".
const END_OF_FLOW: u8 = 3;
/// flowEndReason "forced end".
const FORCED_END: u8 = 4;
/// flowEndReason "lack of resources".
const LACK_OF_RESOURCES: u8 = 5;

impl FlowEnd {
    fn from_outcome(outcome: StreamOutcome) -> FlowEnd {
        let (status, reason) = match outcome {
            StreamOutcome::Served => (200, END_OF_FLOW),
            StreamOutcome::Rejected => (503, LACK_OF_RESOURCES),
            StreamOutcome::Failed => (500, END_OF_FLOW),
            StreamOutcome::TimedOut => (504, ACTIVE_TIMEOUT),
            StreamOutcome::ClientDisconnected => (0, FORCED_END),
        };
        FlowEnd { status, reason }
    }
}

impl Record {
    /// Encodes the record of a flow.
    pub(super) fn new(flow: &Flow, class_name: &str) -> Record {
        let source = flow.downstream;
        let destination = flow.upstream;
        let is_ipv4 = source.is_ipv4() && destination.is_none_or(|address| address.is_ipv4());
        let end = FlowEnd::from_outcome(flow.outcome);
        let mut bytes = Vec::with_capacity(RECORD_CAPACITY);
        push_address(&mut bytes, Some(source.ip()), is_ipv4);
        push_address(&mut bytes, destination.map(|address| address.ip()), is_ipv4);
        bytes.extend(((flow.start / MICROS_PER_MILLI) as u64).to_be_bytes());
        bytes.extend(((flow.end / MICROS_PER_MILLI) as u64).to_be_bytes());
        bytes.extend(u64::from(flow.stream).to_be_bytes());
        bytes.extend((flow.bytes_received as u64).to_be_bytes());
        bytes.extend((flow.bytes_sent as u64).to_be_bytes());
        bytes.extend([PROTOCOL_TCP, end.reason]);
        bytes.extend(end.status.to_be_bytes());
        bytes.extend(source.port().to_be_bytes());
        bytes.extend(destination.map_or(0, |address| address.port()).to_be_bytes());
        bytes.extend(padded_name(class_name));
        Record { template: if is_ipv4 { IPV4_FLOW_TEMPLATE } else { IPV6_FLOW_TEMPLATE }, bytes }
    }
}

/// Appends an address, or zeros if there is none.
fn push_address(bytes: &mut Vec<u8>, address: Option<IpAddr>, is_ipv4: bool) {
    match (address, is_ipv4) {
        (Some(IpAddr::V4(address)), true) => bytes.extend(address.octets()),
        (None, true) => bytes.extend(Ipv4Addr::UNSPECIFIED.octets()),
        (Some(IpAddr::V4(address)), false) => bytes.extend(address.to_ipv6_mapped().octets()),
        (Some(IpAddr::V6(address)), _) => bytes.extend(address.octets()),
        (None, false) => bytes.extend(Ipv6Addr::UNSPECIFIED.octets()),
    }
}

/// Truncates a name to its length in a record, or pads it with zeros.
fn padded_name(name: &str) -> [u8; CLASS_NAME_LENGTH] {
    let mut padded = [0; CLASS_NAME_LENGTH];
    let length = name.len().min(CLASS_NAME_LENGTH);
    padded[..length].copy_from_slice(&name.as_bytes()[..length]);
    padded
}
