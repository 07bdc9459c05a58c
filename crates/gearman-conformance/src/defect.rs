//! Fault injection: a relay in front of a server that breaks its responses.

use roselock_gearman::{Decoder, Frame, Kind, Limits, Magic, packet};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

/// How the relay breaks responses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Not at all.
    None,
    /// Sleeping workers are not woken.
    LostNoop,
    /// A client receives the end of a job twice.
    DoubledComplete,
    /// Responses about the status of a job are dropped.
    SilentStatus,
    /// The handle of a new job differs from that in later packets.
    WrongHandle,
    /// The data of a job lack the last byte.
    ShortData,
    /// Exceptions are relayed as warnings.
    ExceptionAsWarning,
    /// The two numbers of a progress report are swapped.
    SwappedStatus,
}

/// All defects, without [`Defect::None`].
pub const DEFECTS: [Defect; 7] = [
    Defect::LostNoop,
    Defect::DoubledComplete,
    Defect::SilentStatus,
    Defect::WrongHandle,
    Defect::ShortData,
    Defect::ExceptionAsWarning,
    Defect::SwappedStatus,
];

/// Starts the relay and returns its address. It ends with the process.
///
/// # Panics
/// If there is no free port.
pub fn relay(server: SocketAddr, defect: Defect) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = listener.local_addr().expect("an address");
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
    at
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
                Frame::Packet(kind, data) => corrupt(kind, data, defect),
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

/// The bytes in place of a packet.
fn corrupt(kind: Kind, mut data: Vec<u8>, defect: Defect) -> Vec<u8> {
    let encode = |kind, data: &[u8]| packet(Magic::Res, kind, &[data]);
    match (defect, kind) {
        (Defect::LostNoop, Kind::Noop) | (Defect::SilentStatus, Kind::StatusRes) => Vec::new(),
        (Defect::DoubledComplete, Kind::WorkComplete) => encode(kind, &data).repeat(2),
        (Defect::WrongHandle, Kind::JobCreated) => {
            data.push(b'0');
            encode(kind, &data)
        }
        (Defect::ShortData, Kind::JobAssign) => {
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
