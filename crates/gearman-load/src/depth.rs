//! What waiting jobs cost.

use crate::peers;
use crate::server::Program;
use roselock_gearman::worker::{Event, Worker};
use roselock_gearman::{Kind, Submission};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

const FILE: &str = r#"cold_s = 0.0
max_jobs = 200000
memory_mb = 1024
[[gearman.function]]
name = "f"
class = "account-view"
deadline_s = 30.0
target = "gearman"
max_queue = 200000
"#;
/// Jobs that are timed.
const TIMED: usize = 1000;

/// Bytes and times with few and with many waiting.
pub fn depth(program: &Program) {
    println!("## Waiting jobs\n");
    println!(
        "Background jobs with 100 bytes of data; the mean of {TIMED} submissions, grabs and 50 calls of `status`.\n"
    );
    println!("| waiting | bytes a job | submit, µs | grab and end, µs | status, µs |");
    println!("| ---: | ---: | ---: | ---: | ---: |");
    let mut first: Option<[f64; 3]> = None;
    for waiting in [1000, 100_000] {
        let server = program.start(FILE);
        let empty = server.resident();
        fill(server.at, waiting);
        let bytes = server.resident().saturating_sub(empty) / waiting;
        let submit = one_by_one(server.at);
        let status: Duration = (0..50).map(|_| peers::status(server.at).1).sum();
        let grab = grabs(server.at);
        let micros = [submit / TIMED as u32, grab / TIMED as u32, status / 50].map(|d| d.as_secs_f64() * 1e6);
        println!("| {waiting} | {bytes} | {:.0} | {:.0} | {:.0} |", micros[0], micros[1], micros[2]);
        match first {
            None => first = Some(micros),
            Some(few) => {
                let r: Vec<String> = micros.iter().zip(few).map(|(m, f)| format!("{:.2}", m / f)).collect();
                println!("| ratio | | {} | {} | {} |", r[0], r[1], r[2]);
            }
        }
    }
    println!();
}

fn submissions(n: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    let data = [b'x'; 100];
    for _ in 0..n {
        Submission { background: true, ..Submission::new(b"f", b"", &data) }.write(&mut bytes);
    }
    bytes
}

fn fill(at: SocketAddr, n: usize) {
    let mut stream = TcpStream::connect(at).expect("a connection");
    let mut writing = stream.try_clone().expect("a clone");
    let writer = std::thread::spawn(move || writing.write_all(&submissions(n)));
    let mut created = 0;
    let mut buffer = vec![0; 65536];
    let mut decoder =
        roselock_gearman::Decoder::new(roselock_gearman::Magic::Res, roselock_gearman::Limits::default());
    while created < n {
        let read = stream.read(&mut buffer).expect("answers");
        assert!(read > 0, "the server closed the connection after {created} jobs");
        decoder.feed(&buffer[..read]);
        while let Some(frame) = decoder.next_frame().expect("sense") {
            match frame {
                roselock_gearman::Frame::Packet(Kind::JobCreated, _) => created += 1,
                other => panic!("{other:?}"),
            }
        }
    }
    writer.join().expect("no panic").expect("written");
}

fn one_by_one(at: SocketAddr) -> Duration {
    let mut stream = TcpStream::connect(at).expect("a connection");
    let _ = stream.set_nodelay(true);
    let one = submissions(1);
    let mut buffer = vec![0; 1024];
    let start = Instant::now();
    for _ in 0..TIMED {
        stream.write_all(&one).expect("written");
        assert!(stream.read(&mut buffer).expect("an answer") > 0);
    }
    start.elapsed()
}

fn grabs(at: SocketAddr) -> Duration {
    let mut stream = TcpStream::connect(at).expect("a connection");
    let _ = stream.set_nodelay(true);
    let mut worker = Worker::new(Kind::GrabJob);
    worker.can_do(b"f");
    worker.grab();
    let mut buffer = vec![0; 8192];
    let (mut done, mut start) = (0, Instant::now());
    // The first ones are not timed: the server learns how long a job takes.
    while done < 2 * TIMED {
        stream.write_all(&worker.take_output()).expect("written");
        let n = stream.read(&mut buffer).expect("bytes");
        assert!(n > 0 && worker.input(&buffer[..n]).is_ok());
        while let Some(event) = worker.poll() {
            if let Event::Assigned(job) = event {
                worker.complete(&job.handle, b"");
                done += 1;
                if done == TIMED {
                    start = Instant::now();
                }
            }
        }
    }
    start.elapsed()
}
