//! A mock of the discovery service.

use super::{HttpPeer, bind};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

/// The response head of a watch.
pub const WATCH_RESPONSE: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// One chunk of a response with `Transfer-Encoding: chunked`.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// A mock discovery service: a watch receives the events that the test sends, and an empty line after each second without one.
pub struct MockDiscovery {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Receives the request line of each request.
    pub requests: Receiver<String>,
    /// Sends an event to the latest watch; `None` closes that watch.
    pub events: Sender<Option<String>>,
}

impl MockDiscovery {
    /// Starts a service that has no complete list.
    pub fn start() -> MockDiscovery {
        MockDiscovery::start_with_list(None)
    }

    /// Starts a service that also answers polls of the complete list with `complete_list`.
    pub fn start_with_list(complete_list: Option<String>) -> MockDiscovery {
        let (listener, (request_sender, requests), (events, event_receiver)) =
            (bind(), channel(), channel::<Option<String>>());
        let address = listener.local_addr().expect("no local address");
        let (watch_sender, watches) = channel::<Sender<Option<String>>>();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let (stream, request_sender, complete_list) =
                    (stream.expect("no connection"), request_sender.clone(), complete_list.clone());
                let watch_sender = watch_sender.clone();
                std::thread::spawn(move || {
                    serve_list_and_watch(stream, &request_sender, complete_list.as_deref(), &watch_sender)
                });
            }
        });
        std::thread::spawn(move || {
            let Ok(mut latest) = watches.recv() else { return };
            for event in event_receiver {
                // Events go to the latest watch; after one is closed, to the next one.
                latest = watches.try_iter().last().unwrap_or(latest);
                let closes_watch = event.is_none();
                let _ = latest.send(event);
                if closes_watch && let Ok(next) = watches.recv() {
                    latest = next;
                }
            }
        });
        MockDiscovery { address, requests, events }
    }
}

/// Serves one connection: optionally a poll of the complete list, then a watch.
fn serve_list_and_watch(
    stream: TcpStream,
    request_sender: &Sender<String>,
    complete_list: Option<&str>,
    watch_sender: &Sender<Sender<Option<String>>>,
) {
    let mut peer = HttpPeer::new(stream);
    let Some(request) = peer.read() else { return };
    let mut request_line = request.start;
    let _ = request_sender.send(request_line.clone());
    if let Some(list) = complete_list.filter(|_| !request_line.contains("watch")) {
        peer.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len()));
        let Some(next) = peer.read() else { return };
        request_line = next.start;
        let _ = request_sender.send(request_line.clone());
    }
    peer.write(WATCH_RESPONSE);
    let (events, event_receiver) = channel();
    // The local sender keeps the channel open until this watch ends, also once the next watch has opened.
    let _ = watch_sender.send(events.clone());
    let mut line = first_event(&request_line, complete_list) + "\n";
    loop {
        if !peer.try_write(&chunk(&line)) {
            return;
        }
        line = match event_receiver.recv_timeout(Duration::from_secs(1)) {
            Ok(Some(event)) => event + "\n",
            Ok(None) => return,
            Err(_) => "\n".into(),
        };
    }
}

/// The first event of a watch: the complete list if the watch starts from another version, otherwise an event without changes.
fn first_event(request_line: &str, complete_list: Option<&str>) -> String {
    let version = request_line.split("after=").nth(1).and_then(|rest| rest.split(' ').next()).unwrap_or("0");
    match complete_list {
        Some(list) if !list.starts_with(&format!(r#"{{"rev":{version},"#)) => list.to_owned(),
        _ => format!(r#"{{"rev":{version},"all":false,"targets":[]}}"#),
    }
}
