//! A server with a fault on purpose: a relay in front of a sound one.

use roselock_gearman::{Decoder, Frame, Kind, Limits, Magic, packet};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};

/// What is wrong with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    /// Nothing: the relay itself.
    None,
    /// Sleeping workers are not woken.
    LostNoop,
    /// A client hears twice of a job's end.
    DoubledComplete,
    /// Nobody is told how a job stands.
    SilentStatus,
    /// The handle that a client is given is not the one that later words bear.
    WrongHandle,
    /// Data of a job comes without its last byte.
    ShortData,
    /// Exceptions reach those who did not ask for them... as warnings.
    ExceptionAsWarning,
    /// Progress is told with its two numbers exchanged.
    SwappedStatus,
}

/// All but none.
pub const DEFECTS: [Defect; 7] = [
    Defect::LostNoop,
    Defect::DoubledComplete,
    Defect::SilentStatus,
    Defect::WrongHandle,
    Defect::ShortData,
    Defect::ExceptionAsWarning,
    Defect::SwappedStatus,
];

/// Starts the relay; where it listens. It ends with the process.
///
/// # Panics
/// Where there is no port to be had.
pub fn relay(to: SocketAddr, defect: Defect) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let at = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for near in listener.incoming().map_while(Result::ok) {
            let Ok(far) = TcpStream::connect(to) else { continue };
            let _ = (near.set_nodelay(true), far.set_nodelay(true));
            let (Ok(near2), Ok(far2)) = (near.try_clone(), far.try_clone()) else { continue };
            std::thread::spawn(move || copy(near2, far2));
            std::thread::spawn(move || answers(far, near, defect));
        }
    });
    at
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let _ = std::io::copy(&mut from, &mut to);
    let _ = to.shutdown(Shutdown::Both);
}

fn answers(mut from: TcpStream, mut to: TcpStream, defect: Defect) {
    let mut decoder = Decoder::new(Magic::Res, Limits { packet: 64 << 20, line: 1 << 20 });
    let mut buffer = vec![0; 65536];
    'reading: while let Ok(n @ 1..) = from.read(&mut buffer) {
        decoder.feed(&buffer[..n]);
        while let Ok(Some(frame)) = decoder.next_frame() {
            let bytes = match frame {
                Frame::Packet(kind, data) => spoil(kind, data, defect),
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
    let _ = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
}

fn spoil(kind: Kind, mut data: Vec<u8>, defect: Defect) -> Vec<u8> {
    let whole = |kind, data: &[u8]| packet(Magic::Res, kind, &[data]);
    match (defect, kind) {
        (Defect::LostNoop, Kind::Noop) | (Defect::SilentStatus, Kind::StatusRes) => Vec::new(),
        (Defect::DoubledComplete, Kind::WorkComplete) => whole(kind, &data).repeat(2),
        (Defect::WrongHandle, Kind::JobCreated) => {
            data.push(b'0');
            whole(kind, &data)
        }
        (Defect::ShortData, Kind::JobAssign) => {
            data.pop();
            whole(kind, &data)
        }
        (Defect::ExceptionAsWarning, Kind::WorkException) => whole(Kind::WorkWarning, &data),
        (Defect::SwappedStatus, Kind::WorkStatus) => {
            let parts: Vec<&[u8]> = data.split(|b| *b == 0).collect();
            match parts[..] {
                [handle, a, b] => packet(Magic::Res, kind, &[handle, b, a]),
                _ => whole(kind, &data),
            }
        }
        (_, kind) if kind.arguments().is_empty() => packet(Magic::Res, kind, &[]),
        _ => whole(kind, &data),
    }
}
