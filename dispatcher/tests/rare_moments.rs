//! Stories of rare moments: a word, a signal or a close that comes between two others. Each makes its order happen every
//! time, and each was a fault.

mod common;
use common::*;
use roselock_rig::process::{Process, Signal};
use rstest::rstest;
use std::net::Shutdown;
use std::process::Command;
use std::time::{Duration, Instant};

const DONE: &str = r#""state":"done","result":"r","load":{"x0":1}"#;

/// A dispatcher with these settings that knows these hosts.
fn world_of(settings: &str, hosts: &[&Host]) -> (Discovery, Dispatcher) {
    let discovery = Discovery::start();
    let known: Vec<String> = hosts.iter().map(|h| h.line("ready")).collect();
    let known = list(7, true, &known);
    let start = Start { admin: true, ..Start::new(discovery.at, settings, &known) };
    let dispatcher = Dispatcher::launch(start);
    (discovery, dispatcher)
}

fn world(hosts: &[&Host]) -> (Discovery, Dispatcher) {
    world_of(&settings(0.0, 2.0), hosts)
}

/// Waits until METRICS shows this.
fn until(dispatcher: &Dispatcher, shown: &str) {
    let start = Instant::now();
    while !dispatcher.call("METRICS")[0].contains(shown) {
        assert!(start.elapsed() < PATIENCE, "{shown}: {:?}", dispatcher.call("METRICS"));
    }
}

fn request(id: &str, class: &str) -> String {
    let head = format!("X-Call-Id: {id}\r\nX-Call-Class: {class}\r\nX-Budget: 10");
    format!("POST /api/u HTTP/1.1\r\n{head}\r\nContent-Length: 4\r\n\r\nbody")
}

/// Once more had come behind a held stream, its connection was not read until the answer: a client that left was not
/// seen to, its request ran on and was sent on anew. A half-close counts as a close: the pages know no other sign of a
/// client that has gone.
#[rstest]
#[case::nothing("", 0)]
#[case::an_empty_line("\r\n", 0)]
#[case::half_a_request("POST /api/u HT", 0)]
#[case::a_request(
    "POST /api/u HTTP/1.1\r\nX-Call-Id: c2\r\nX-Call-Class: look\r\nX-Budget: 9\r\nContent-Length: 0\r\n\r\n",
    0
)]
#[case::much("", 300_000)]
fn a_client_is_seen_to_leave_whatever_came_behind(
    #[case] behind: &str,
    #[case] more: usize,
    #[values(false, true)] half: bool,
) {
    let host = Host::new("s-1");
    let (_discovery, dispatcher) = world(&[&host]);
    let mut client = dispatcher.ask("c1", "pay", 10.0);
    let (mut peer, _) = host.take();
    assert_eq!(dispatcher.call_back("c1", "s-1", r#""state":"started""#), 204);
    client.write(behind);
    client.write(&"x".repeat(more));
    let left = Instant::now();
    let kept = if half {
        client.0.get_ref().shutdown(Shutdown::Write).expect("it is open");
        Some(client)
    } else {
        drop(client);
        None
    };
    assert_eq!(peer.read().expect("a word").start, "DELETE /jobs/c1 HTTP/1.1");
    assert!(left.elapsed().as_secs_f64() < 2.0);
    drop(kept);
    // Of what came behind nothing was sent on.
    peer.write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    until(&dispatcher, r#""current":0"#);
    assert!(dispatcher.call("METRICS")[0].contains(r#""sends":1,"current""#));
}

/// What waits behind a held stream is served after it, as before.
#[rstest]
fn who_comes_early_is_served_in_turn() {
    let host = Host::new("s-1");
    let (_discovery, dispatcher) = world(&[&host]);
    let mut client = dispatcher.ask("c1", "pay", 10.0);
    let (mut peer, _) = host.take();
    client.write(&request("c2", "look"));
    assert_eq!(dispatcher.call_back("c1", "s-1", DONE), 204);
    assert_eq!(client.read().expect("an answer").status(), 200);
    assert_eq!(peer.read().expect("a request").header("x-call-id"), Some("c2"));
    peer.write(TAKEN);
    assert_eq!(dispatcher.call_back("c2", "s-1", DONE), 204);
    assert_eq!(client.read().expect("an answer").status(), 200);
}

/// A request that crosses a connection's last word was taken and sent on, and nobody could be told what became of it.
#[rstest]
fn what_crosses_the_last_word_is_not_sent_on() {
    let host = Host::new("s-1");
    let (_discovery, dispatcher) = world(&[&host]);
    let _held = dispatcher.ask("c1", "pay", 10.0);
    let (_peer, _) = host.take();
    // Who borrows an id has its answer, and the connection ends with it.
    let mut client = dispatcher.ask("c1", "pay", 10.0);
    let answer = client.read().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (409, Some("close")));
    client.write(&request("c2", "look"));
    assert!(client.ended());
    assert!(dispatcher.call("METRICS")[0].contains(r#""current":1"#));
}

/// The same at the end of the process, when each connection ends with its next answer.
#[rstest]
fn what_crosses_the_last_answer_of_a_process_is_not_sent_on() {
    let host = Host::new("s-1");
    let (_discovery, mut dispatcher) = world(&[&host]);
    let mut client = dispatcher.ask("c0", "pay", 10.0);
    let (mut peer, _) = host.take();
    dispatcher.terminate();
    for number in 0.. {
        assert_eq!(dispatcher.call_back(&format!("c{number}"), "s-1", DONE), 204);
        let answer = client.read().expect("an answer");
        let next = format!("c{}", number + 1);
        client.write(&request(&next, "pay"));
        if answer.header("connection") == Some("close") {
            break;
        }
        assert_eq!(peer.read().expect("a request").header("x-call-id"), Some(&*next));
        peer.write(TAKEN);
    }
    assert!(client.ended());
    assert!(dispatcher.process.end().expect("its end").success());
    assert!(peer.read().is_none(), "what crossed the last answer was sent on");
}

/// Connections that rested were cut as the process went: who sent just then met a reset, which may take an answer along.
/// They are told first, and what crosses that is read.
#[rstest]
fn who_rests_is_told_before_the_process_ends() {
    let host = Host::new("s-1");
    let (_discovery, mut dispatcher) = world(&[&host]);
    let mut client = dispatcher.ask("c1", "pay", 10.0);
    let (_peer, _) = host.take();
    assert_eq!(dispatcher.call_back("c1", "s-1", DONE), 204);
    assert_eq!(client.read().expect("an answer").status(), 200);
    dispatcher.terminate();
    assert!(client.ended(), "its end is told");
    // A reset would come with the answer to the first part.
    use std::io::Write;
    for part in ["POST /api/u HT", "TP/1.1\r\nX-Call-Id: c2\r\n"] {
        client.0.get_mut().write_all(part.as_bytes()).expect("nothing is reset");
    }
    assert!(dispatcher.process.end().expect("its end").success());
}

/// Where all deadlines are short, the process may be killed sooner: what came late was unanswered then.
#[rstest]
fn the_end_follows_the_longest_deadline() {
    let host = Host::new("s-1");
    let short = settings(0.0, 2.0).replace(r#""giveUpS":15"#, r#""giveUpS":1"#);
    let (_discovery, mut dispatcher) = world_of(&short, &[&host]);
    let mut client = dispatcher.ask("c0", "pay", 1.0);
    let (mut peer, _) = host.take();
    assert_eq!(dispatcher.call_back("c0", "s-1", DONE), 204);
    assert_eq!(client.read().expect("an answer").status(), 200);
    let told = Instant::now();
    dispatcher.terminate();
    // Another one holds the process up.
    let held = dispatcher.ask("c1", "pay", 1.0);
    let request = peer.read().or_else(|| Some(host.request().1)).expect("a request");
    assert_eq!(request.header("x-call-id"), Some("c1"));
    while told.elapsed() < Duration::from_millis(850) {
        std::thread::yield_now();
    }
    client.ask("c2", "pay", 1.0);
    assert!(client.read().expect("an answer").status() >= 500);
    assert!(dispatcher.process.end().expect("its end").success());
    drop(held);
    assert!(told.elapsed().as_secs_f64() < 1.7, "SIGKILL comes 0.7 s after the longest deadline");
}

/// Names that only a new start can change were taken for those in use once the file was read twice: payments ran under
/// the settings of a class that may be repeated, and went out again.
#[rstest]
fn a_file_read_twice_does_not_swap_classes() {
    let (first, second) = (Host::new("s-1"), Host::new("s-2"));
    let (_discovery, mut dispatcher) = world(&[&first, &second]);
    // The classes in another order: not for this process.
    let mut text = std::fs::read_to_string(&dispatcher.config).expect("its configuration");
    for (from, to) in
        [("look", "x"), ("pay", "look"), ("x", "pay"), ("unsafe", "y"), ("safe", "unsafe"), ("y", "safe")]
    {
        text = text.replace(&format!(r#":"{from}""#), &format!(r#":"{to}""#));
    }
    std::fs::write(&dispatcher.config, text).expect("it is written");
    dispatcher.reload(r#""connIdleS":15"#, r#""connIdleS":14"#);
    dispatcher.logs("takes effect at the next start");
    dispatcher.logs("configuration reloaded");
    // The same once more, with another figure.
    dispatcher.reload(r#""connIdleS":14"#, r#""connIdleS":13"#);
    dispatcher.logs("configuration reloaded");
    let mut client = dispatcher.ask("c1", "pay", 10.0);
    let (mut peer, _, host) = accept_either(&first, &second);
    let other = if host.uid == first.uid { &second } else { &first };
    peer.write(FAILED);
    assert_eq!(client.read().expect("an answer").status(), 500);
    other.listener.set_nonblocking(true).expect("non-blocking");
    assert!(other.listener.accept().is_err(), "the payment went out again");
}

/// A signal that came while the configuration was still being read ended the process.
#[rstest]
#[case::hup(Signal::SIGHUP)]
#[case::term(Signal::SIGTERM)]
fn a_signal_may_come_before_the_configuration(#[case] signal: Signal) {
    let (discovery, host) = (Discovery::start(), Host::new("s-1"));
    let dir = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let fifo = dir.join(format!("{}-{signal:?}-config", std::process::id()));
    let _ = std::fs::remove_file(&fifo);
    assert!(Command::new("mkfifo").arg(&fifo).status().expect("mkfifo").success());
    let known = list(7, true, &[host.line("ready")]);
    let settings = settings(0.0, 2.0);
    let text = format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"{}","seed":"1","known":{known},"settings":{settings}}}"#,
        discovery.at
    );
    let mut command = Command::new(env!("CARGO_BIN_EXE_roselock"));
    command.arg("serve").arg("--config").arg(&fifo).env("TMPDIR", &dir);
    let mut process = Process::spawn("n0", command).expect("the dispatcher starts");
    // It is open once the other side reads.
    let mut file = std::fs::File::options().write(true).open(&fifo).expect("it is read");
    process.signal(signal).expect("it is sent");
    let whole = fifo.with_extension("whole");
    std::fs::write(&whole, &text).expect("a file");
    std::fs::rename(&whole, &fifo).expect("it takes its place");
    std::io::Write::write_all(&mut file, text.as_bytes()).expect("it still reads");
    drop(file);
    process.logs("serving on ").expect("it serves");
    if signal == Signal::SIGHUP {
        process.logs("configuration reloaded").expect("it is heeded");
        process.signal(Signal::SIGTERM).expect("it is sent");
    }
    assert!(process.end().expect("its end").success());
}

/// Where nothing may be called off, an attempt whose connection was still to come up went out after its client had left.
#[rstest]
fn what_has_not_left_is_held_back_when_the_client_leaves() {
    let host = Host::new("s-1");
    let bound = settings(0.0, 2.0).replace(r#""cancel":true"#, r#""cancel":false"#);
    let bound = bound.replace(r#""connectTimeoutS":0.5"#, r#""connectTimeoutS":9"#);
    let full = Full::new(&host);
    let (_discovery, dispatcher) = world_of(&bound, &[&host]);
    let client = dispatcher.ask("c1", "pay", 15.0);
    full.dialled();
    drop(client);
    until(&dispatcher, r#""current":0"#);
    let mut late = full.take();
    assert!(late.ended(), "it was sent on for a client that had gone");
}

/// A host whose table of new connections is full: the next one comes up when there is room.
struct Full {
    listener: std::net::TcpListener,
    others: Vec<std::net::TcpStream>,
}

impl Full {
    fn new(host: &Host) -> Full {
        let listener = host.listener.try_clone().expect("a clone");
        socket2::SockRef::from(&listener).listen(0).expect("a short table");
        let at = listener.local_addr().expect("an address");
        let mut others = Vec::new();
        // Until one does not come up.
        while let Ok(other) = std::net::TcpStream::connect_timeout(&at, Duration::from_millis(300)) {
            others.push(other);
            assert!(others.len() < 64, "it is never full");
        }
        Full { listener, others }
    }
    /// Waits until somebody dials, in vain so far.
    fn dialled(&self) {
        let (start, port) = (Instant::now(), self.listener.local_addr().expect("an address").port());
        // As the system tells it: the remote address, and SYN_SENT.
        let dials = |line: &str| line.contains(&format!(":{port:04X} 02 "));
        while !std::fs::read_to_string("/proc/net/tcp").expect("a table").lines().any(dials) {
            assert!(start.elapsed() < PATIENCE, "nobody dials");
        }
    }
    /// The connection that comes up after those that filled it.
    fn take(self) -> Peer {
        let ours: Vec<_> = self.others.iter().map(|o| o.local_addr().expect("an address")).collect();
        loop {
            let peer = Peer::accept(&self.listener);
            if !ours.contains(&peer.0.get_ref().peer_addr().expect("an address")) {
                return peer;
            }
        }
    }
}

/// Interim responses without end kept an attempt up to its deadline, and the one thread of the sockets busy.
#[rstest]
fn interim_responses_without_end_are_no_answer() {
    let host = Host::new("s-1");
    let (_discovery, dispatcher) = world(&[&host]);
    let asked = Instant::now();
    let mut client = dispatcher.ask("c1", "pay", 15.0);
    let (mut peer, _) = host.request();
    peer.write(&"HTTP/1.1 100 Continue\r\n\r\n".repeat(1_000));
    assert_eq!(client.read().expect("an answer").status(), 500);
    assert!(asked.elapsed().as_secs_f64() < 5.0);
}

/// A client that sent much that is not taken met a reset in place of the answer that says so.
#[rstest]
fn who_sends_too_much_can_read_the_answer() {
    let host = Host::new("s-1");
    let (_discovery, dispatcher) = world(&[&host]);
    let mut client = Peer::new(connect(dispatcher.http));
    client.write("POST /api/u HTTP/1.1\r\nContent-Length: 6000000\r\n\r\n");
    use std::io::Write;
    client.0.get_mut().write_all(&vec![b'x'; 1_000_000]).expect("it is read");
    assert_eq!(client.read().expect("an answer").status(), 413);
    (0..50).for_each(|_| client.0.get_mut().write_all(&vec![b'x'; 100_000]).expect("it is still read"));
    // An end, and no reset.
    assert_eq!(std::io::Read::read(&mut client.0, &mut [0]).expect("no reset"), 0);
}
