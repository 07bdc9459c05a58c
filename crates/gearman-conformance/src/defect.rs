//! Fault injection: a relay in front of a server that alters its responses.

use roselock_gearman::{Decoder, Frame, Kind, Limits, Magic, packet};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

/// The defect that the relay introduces into responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Responses are relayed unchanged.
    None,
    /// `NOOP` packets are dropped, so that sleeping workers are not woken.
    DroppedNoop,
    /// `WORK_COMPLETE` is sent twice.
    DuplicateComplete,
    /// `STATUS_RES` packets are dropped.
    DroppedStatus,
    /// The handle in `JOB_CREATED` differs from that in later packets.
    WrongHandle,
    /// The last byte of the data in `JOB_ASSIGN` is missing.
    TruncatedData,
    /// `WORK_EXCEPTION` is relayed as `WORK_WARNING`.
    ExceptionAsWarning,
    /// Numerator and denominator of `WORK_STATUS` are swapped.
    SwappedStatus,
}

/// All defects, without [`Defect::None`].
pub const DEFECTS: [Defect; 7] = [
    Defect::DroppedNoop,
    Defect::DuplicateComplete,
    Defect::DroppedStatus,
    Defect::WrongHandle,
    Defect::TruncatedData,
    Defect::ExceptionAsWarning,
    Defect::SwappedStatus,
];

/// Starts the relay and returns its address. It runs until the process ends.
///
/// # Panics
/// If no loopback port can be bound.
pub fn relay(server: SocketAddr, defect: Defect) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for client in listener.incoming().map_while(Result::ok) {
            let Ok(upstream) = TcpStream::connect(server) else { continue };
            let _ = client.set_nodelay(true);
            let _ = upstream.set_nodelay(true);
            let Ok(requests) = client.try_clone() else { continue };
            let Ok(requests_out) = upstream.try_clone() else { continue };
            std::thread::spawn(move || relay_requests(requests, requests_out));
            std::thread::spawn(move || relay_responses(upstream, client, defect));
        }
    });
    address
}

fn relay_requests(mut from: TcpStream, mut to: TcpStream) {
    let _ = std::io::copy(&mut from, &mut to);
    let _ = to.shutdown(Shutdown::Both);
}

fn relay_responses(mut from: TcpStream, mut to: TcpStream, defect: Defect) {
    let mut decoder = Decoder::new(Magic::Res, Limits { packet: 64 << 20, line: 1 << 20 });
    let mut buffer = vec![0; 65536];
    'reading: while let Ok(length @ 1..) = from.read(&mut buffer) {
        decoder.feed(&buffer[..length]);
        while let Ok(Some(frame)) = decoder.next_frame() {
            let bytes = match frame {
                Frame::Packet(kind, data) => apply_defect(kind, data, defect),
                Frame::Line(mut line) => {
                    line.push(b'\n');
                    line
                }
                _ => continue,
            };
            if to.write_all(&bytes).is_err() {
                break 'reading;
            }
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}

/// Returns the bytes to send in place of a packet; empty if it is dropped.
fn apply_defect(kind: Kind, mut data: Vec<u8>, defect: Defect) -> Vec<u8> {
    let encode = |kind, data: &[u8]| packet(Magic::Res, kind, &[data]);
    match (defect, kind) {
        (Defect::DroppedNoop, Kind::Noop) | (Defect::DroppedStatus, Kind::StatusRes) => Vec::new(),
        (Defect::DuplicateComplete, Kind::WorkComplete) => encode(kind, &data).repeat(2),
        (Defect::WrongHandle, Kind::JobCreated) => {
            data.push(b'0');
            encode(kind, &data)
        }
        (Defect::TruncatedData, Kind::JobAssign) => {
            data.pop();
            encode(kind, &data)
        }
        (Defect::ExceptionAsWarning, Kind::WorkException) => encode(Kind::WorkWarning, &data),
        (Defect::SwappedStatus, Kind::WorkStatus) => {
            let parts: Vec<&[u8]> = data.split(|byte| *byte == 0).collect();
            match parts[..] {
                [handle, numerator, denominator] => {
                    packet(Magic::Res, kind, &[handle, denominator, numerator])
                }
                _ => encode(kind, &data),
            }
        }
        (_, kind) if kind.arguments().is_empty() => packet(Magic::Res, kind, &[]),
        _ => encode(kind, &data),
    }
}
