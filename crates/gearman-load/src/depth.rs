//! Memory per queued job, and latencies by queue length.

use crate::clients;
use crate::server::Program;
use roselock_gearman::worker::{Event, Worker};
use roselock_gearman::{Kind, Submission};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The `[gearman]` section of the server's configuration.
const CONFIG: &str = r#"cold_s = 0.0
max_jobs = 200000
memory_mb = 1024
[[gearman.function]]
name = "f"
class = "account-view"
deadline_s = 30.0
target = "gearman"
max_queue = 200000
"#;
/// The number of submissions and of grabs that are measured.
const MEASURED_JOBS: usize = 1000;
/// The number of measured calls of `status`.
const STATUS_CALLS: u32 = 50;
/// The queue length of the first measurement.
const FEW_JOBS: usize = 1000;
/// The queue length of the second measurement.
const MANY_JOBS: usize = 100_000;

/// Prints memory and latencies for a short and for a long queue.
pub fn depth(program: &Program) {
    println!("## Queued jobs\n");
    println!(
        "Background jobs with 100 bytes of data; mean of {MEASURED_JOBS} submissions and grabs and of 50 calls of `status`.\n"
    );
    println!("| queued | bytes per job | submit, µs | grab and complete, µs | status, µs |");
    println!("| ---: | ---: | ---: | ---: | ---: |");
    let few = measure_latencies(program, FEW_JOBS);
    let many = measure_latencies(program, MANY_JOBS);
    println!(
        "| ratio | | {:.2} | {:.2} | {:.2} |",
        many.submit_us / few.submit_us,
        many.grab_us / few.grab_us,
        many.status_us / few.status_us
    );
    println!();
}

/// Mean latencies at one queue length, in microseconds.
struct Latencies {
    submit_us: f64,
    grab_us: f64,
    status_us: f64,
}

/// Measures a server with `queued` jobs and prints the table row.
fn measure_latencies(program: &Program, queued: usize) -> Latencies {
    let server = program.start(CONFIG);
    let empty = server.resident_bytes();
    fill_queue(server.at, queued);
    let bytes_per_job = server.resident_bytes().saturating_sub(empty) / queued;
    let submit = time_submissions(server.at);
    let status: Duration = (0..STATUS_CALLS).map(|_| clients::query_status(server.at).elapsed).sum();
    let grab = time_grabs(server.at);
    let latencies = Latencies {
        submit_us: microseconds(submit / MEASURED_JOBS as u32),
        grab_us: microseconds(grab / MEASURED_JOBS as u32),
        status_us: microseconds(status / STATUS_CALLS),
    };
    println!(
        "| {queued} | {bytes_per_job} | {:.0} | {:.0} | {:.0} |",
        latencies.submit_us, latencies.grab_us, latencies.status_us
    );
    latencies
}

fn microseconds(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e6
}

/// Encodes the submissions of `count` background jobs.
fn submissions(count: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    let data = [b'x'; 100];
    for _ in 0..count {
        Submission { background: true, ..Submission::new(b"f", b"", &data) }.write(&mut bytes);
    }
    bytes
}

/// Submits `count` jobs and waits for `JOB_CREATED` of each.
fn fill_queue(server: SocketAddr, count: usize) {
    let mut stream = TcpStream::connect(server).expect("a connection");
    let mut writing = stream.try_clone().expect("a clone");
    let writer = std::thread::spawn(move || writing.write_all(&submissions(count)));
    let mut created = 0;
    let mut buffer = vec![0; 65536];
    let mut decoder =
        roselock_gearman::Decoder::new(roselock_gearman::Magic::Res, roselock_gearman::Limits::default());
    while created < count {
        let read = stream.read(&mut buffer).expect("a response");
        assert!(read > 0, "the server closed the connection after creating {created} jobs");
        decoder.feed(&buffer[..read]);
        while let Some(frame) = decoder.next_frame().expect("valid packets") {
            match frame {
                roselock_gearman::Frame::Packet(Kind::JobCreated, _) => created += 1,
                other => panic!("{other:?}"),
            }
        }
    }
    writer.join().expect("no panic").expect("written");
}

/// Measures [`MEASURED_JOBS`] submissions, each sent after the response to the previous one.
fn time_submissions(server: SocketAddr) -> Duration {
    let mut stream = TcpStream::connect(server).expect("a connection");
    let _ = stream.set_nodelay(true);
    let submission = submissions(1);
    let mut buffer = vec![0; 1024];
    let start = Instant::now();
    for _ in 0..MEASURED_JOBS {
        stream.write_all(&submission).expect("written");
        assert!(stream.read(&mut buffer).expect("a response") > 0);
    }
    start.elapsed()
}

/// Measures how long a worker takes to grab and complete [`MEASURED_JOBS`] jobs.
fn time_grabs(server: SocketAddr) -> Duration {
    let mut stream = TcpStream::connect(server).expect("a connection");
    let _ = stream.set_nodelay(true);
    let mut worker = Worker::new(Kind::GrabJob);
    worker.can_do(b"f");
    worker.grab();
    let mut buffer = vec![0; 8192];
    let mut completed = 0;
    let mut start = Instant::now();
    // The first jobs are a warm-up in which the server estimates the run time of jobs.
    while completed < 2 * MEASURED_JOBS {
        stream.write_all(&worker.take_output()).expect("written");
        let length = stream.read(&mut buffer).expect("bytes");
        assert!(length > 0 && worker.input(&buffer[..length]).is_ok());
        while let Some(event) = worker.poll() {
            if let Event::Assigned(job) = event {
                worker.complete(&job.handle, b"");
                completed += 1;
                if completed == MEASURED_JOBS {
                    start = Instant::now();
                }
            }
        }
    }
    start.elapsed()
}
