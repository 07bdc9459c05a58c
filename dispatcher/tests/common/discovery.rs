//! A mock of the discovery service.

use super::{Peer, bind};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

/// The head of the response to a watch.
pub const WATCH_RESPONSE: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// One chunk of a response with `Transfer-Encoding: chunked`.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A discovery service: a watch receives the lines that the test sends, and an empty line each second.
pub struct Discovery {
    /// Its address.
    pub at: SocketAddr,
    /// Receives the request line of each call.
    pub asked: Receiver<String>,
    /// Sends a line to the latest watch; `None` closes it.
    pub lines: Sender<Option<String>>,
}

impl Discovery {
    /// A service without a complete list.
    pub fn start() -> Discovery {
        Discovery::start_with(None)
    }

    /// A service that also answers polls of the complete list with `whole`.
    pub fn start_with(whole: Option<String>) -> Discovery {
        let (listener, (ask, asked), (lines, said)) = (bind(), channel(), channel::<Option<String>>());
        let at = listener.local_addr().expect("an address");
        let (opened, watches) = channel::<Sender<Option<String>>>();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (stream, ask, whole) = (stream.expect("a connection"), ask.clone(), whole.clone());
                let opened = opened.clone();
                std::thread::spawn(move || answer_watch(stream, &ask, whole.as_deref(), &opened));
            }
        });
        std::thread::spawn(move || {
            let Ok(mut latest) = watches.recv() else { return };
            for line in said {
                // The latest watch; after one was closed, the next watch.
                latest = watches.try_iter().last().unwrap_or(latest);
                let ends = line.is_none();
                let _ = latest.send(line);
                if ends && let Ok(next) = watches.recv() {
                    latest = next;
                }
            }
        });
        Discovery { at, asked, lines }
    }
}

/// Answers the requests on one connection: a poll of the complete list, then a watch.
fn answer_watch(
    stream: TcpStream,
    ask: &Sender<String>,
    whole: Option<&str>,
    opened: &Sender<Sender<Option<String>>>,
) {
    let mut peer = Peer::new(stream);
    let Some(request) = peer.read() else { return };
    let mut asked = request.start;
    let _ = ask.send(asked.clone());
    if let Some(whole) = whole.filter(|_| !asked.contains("watch")) {
        peer.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{whole}", whole.len()));
        let Some(next) = peer.read() else { return };
        asked = next.start;
        let _ = ask.send(asked.clone());
    }
    peer.write(WATCH_RESPONSE);
    let (lines, said) = channel();
    // This sender is kept so that the channel closes with this watch, and not with the next one.
    let _ = opened.send(lines.clone());
    let mut line = first_list(&asked, whole) + "\n";
    loop {
        if !peer.try_write(&chunk(&line)) {
            return;
        }
        line = match said.recv_timeout(Duration::from_secs(1)) {
            Ok(Some(line)) => line + "\n",
            Ok(None) => return,
            Err(_) => "\n".into(),
        };
    }
}

/// The first event of a watch: the complete list if the watch starts from another version, else no change.
fn first_list(asked: &str, whole: Option<&str>) -> String {
    let after = asked.split("after=").nth(1).and_then(|rest| rest.split(' ').next()).unwrap_or("0");
    match whole {
        Some(whole) if !whole.starts_with(&format!(r#"{{"rev":{after},"#)) => whole.to_owned(),
        _ => format!(r#"{{"rev":{after},"all":false,"targets":[]}}"#),
    }
}
