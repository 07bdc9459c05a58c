//! A stand-in for the list service.

use super::{Peer, bind};
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::Duration;

/// Discovery: each connection gets the lines that the story sends, and an empty one now and then.
pub struct Discovery {
    pub at: SocketAddr,
    /// The target of each watch, as it comes.
    pub asked: Receiver<String>,
    /// To the watch that came last; `None` ends it.
    pub lines: Sender<Option<String>>,
}

impl Discovery {
    pub fn start() -> Discovery {
        Discovery::start_with(None)
    }

    /// One that also tells the whole list when asked for it without a watch.
    pub fn start_with(whole: Option<String>) -> Discovery {
        let (listener, (ask, asked), (lines, said)) = (bind(), channel(), channel::<Option<String>>());
        let at = listener.local_addr().expect("an address");
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let mut peer = Peer::new(stream.expect("a connection"));
                let Some(request) = peer.read() else { continue };
                let _ = ask.send(request.start.clone());
                if let Some(whole) = whole.as_ref().filter(|_| !request.start.contains("watch")) {
                    peer.write(&format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{whole}", whole.len()));
                    let Some(next) = peer.read() else { continue };
                    let _ = ask.send(next.start);
                }
                peer.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                loop {
                    let line = match said.recv_timeout(Duration::from_secs(1)) {
                        Ok(Some(line)) => line + "\n",
                        Err(std::sync::mpsc::RecvTimeoutError::Timeout) => "\n".into(),
                        _ => break,
                    };
                    peer.write(&format!("{:x}\r\n{line}\r\n", line.len()));
                }
            }
        });
        Discovery { at, asked, lines }
    }
}
