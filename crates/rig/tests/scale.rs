//! Tests of `roselock-rig scale`: counts are exact, and invalid arguments are rejected. No test here checks a duration or
//! a processor share.

use roselock_rig::Clock;
use roselock_rig::list::{ListEntry, list_json};
use roselock_rig::net::{self, SubnetClaim};
use roselock_rig::scale::figure::{Figure, FigureValue};
use roselock_rig::scale::fit::{Point, fit};
use roselock_rig::scale::load::RequestCount;
use roselock_rig::scale::plan::{Plan, Sizes};
use roselock_rig::scale::registry::Registry;
use roselock_rig::scale::report::{Outcome, Report, Row};
use roselock_rig::scale::simulated_workers::{SimulatedWorkers, worker_uid};
use roselock_rig::scale::table;
use roselock_rig::scale::usage::Usage;
use rstest::rstest;
use std::collections::BTreeSet;
use std::io::{ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::process::Command;
use std::sync::Arc;
use std::time::{Duration, Instant};

const TIMEOUT: Duration = Duration::from_secs(10);

fn connect(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect_timeout(&to, TIMEOUT).expect("a connection");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a time limit");
    stream
}

/// Reads until the received text ends with `end`, and returns all of it.
fn read_until(stream: &mut TcpStream, end: &str) -> String {
    let mut text = String::new();
    let mut buffer = [0; 64 * 1024];
    while !text.ends_with(end) {
        // A stopped and continued process interrupts reads from sockets with a timeout.
        let read = match stream.read(&mut buffer) {
            Err(error) if error.kind() == ErrorKind::Interrupted => continue,
            read => read.expect("more bytes"),
        };
        assert!(read > 0, "the connection ended after {} bytes", text.len());
        text += std::str::from_utf8(&buffer[..read]).expect("text");
    }
    text
}

fn watch(registry: &Registry) -> TcpStream {
    let mut stream = connect(registry.address(0));
    stream
        .write_all(b"GET /registry/instances?watch=1&after=0 HTTP/1.1\r\nHost: a\r\n\r\n")
        .expect("written");
    stream
}

/// Bytes that the service has counted as written. Waits until they are at least those that were read, as the service
/// counts only after it has written.
fn written(registry: &Registry, read: usize) -> u64 {
    let until = Instant::now() + TIMEOUT;
    let counted = || registry.traffic(0).written >= read as u64 && registry.first_list(0).is_some();
    while !counted() && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(1));
    }
    registry.traffic(0).written
}

/// A discovery service and workers, whose net is reserved while the claim is held.
struct StandIns {
    registry: Arc<Registry>,
    workers: Arc<SimulatedWorkers>,
    _claim: SubnetClaim,
}

fn stand_ins(workers: usize) -> StandIns {
    let clock = Clock::start();
    let claim = net::claim_subnet().expect("a net");
    let closed_addresses = vec![SocketAddr::from((Ipv4Addr::LOCALHOST, 1))];
    let workers = SimulatedWorkers::start(workers, claim.net, closed_addresses, clock).expect("workers");
    let registry = Registry::start(workers.entries(), 1, clock).expect("a list service");
    StandIns { registry, workers, _claim: claim }
}

/// Each worker adds the bytes of its entry and a comma to the list, and the service counts the bytes that a reader receives.
#[rstest]
fn first_list_grows_by_the_bytes_of_each_entry() {
    let counted = [1, 700, 5000].map(|count| {
        let StandIns { registry, workers, _claim } = stand_ins(count);
        let got = read_until(&mut watch(&registry), "]}\n\r\n");
        let list_of_one = |entry: &ListEntry| list_json(0, false, std::slice::from_ref(entry)).len();
        let empty = list_json(0, false, &[]).len();
        let entry_bytes: usize = workers.entries().iter().map(|entry| list_of_one(entry) - empty + 1).sum();
        let framing = got.len() - (empty + entry_bytes - 1);
        assert_eq!(written(&registry, got.len()), got.len() as u64);
        assert_eq!(registry.first_list(0).expect("a list").written, got.len() as u64);
        assert!(framing <= 64, "{framing} bytes of framing for a list of {count}");
        got.len()
    });
    assert!(counted[2] > 4000 * 100 + counted[1], "{counted:?}");
}

/// Guards against sending the entire list with a change.
#[rstest]
fn change_has_the_same_bytes_for_any_number_of_workers() {
    let changes = [2, 700, 5000].map(|count| {
        let StandIns { registry, .. } = &stand_ins(count);
        let mut stream = watch(registry);
        let first = read_until(&mut stream, "]}\n\r\n").len();
        registry.set_state("draining", 1..2);
        let got = read_until(&mut stream, "]}\n\r\n");
        assert_eq!(written(registry, first + got.len()), (first + got.len()) as u64);
        assert!(got.contains(&worker_uid(1)) && got.contains("draining"), "{got}");
        got.len()
    });
    assert_eq!(changes[0], changes[1]);
    assert_eq!(changes[1], changes[2]);
}

/// The shared listener answers at the address of every worker, and at no other address.
#[rstest]
fn each_worker_answers_at_its_own_address() {
    let StandIns { workers, .. } = &stand_ins(600);
    let entries = workers.entries();
    let addresses: BTreeSet<_> = entries.iter().map(|entry| entry.endpoint.clone()).collect();
    let names: BTreeSet<_> = entries.iter().map(|entry| entry.uid.clone()).collect();
    assert_eq!((addresses.len(), names.len()), (600, 600));
    for entry in [&entries[0], &entries[249], &entries[250], &entries[599]] {
        let mut stream = connect(entry.endpoint.parse().expect("an address"));
        stream.write_all(b"DELETE /jobs/d0-1 HTTP/1.1\r\nHost: a\r\n\r\n").expect("written");
        assert!(read_until(&mut stream, "\r\n\r\n").starts_with("HTTP/1.1 200"));
    }
    let port = entries[0].endpoint.parse::<SocketAddr>().expect("an address").port();
    let mut stream = connect(SocketAddr::from((Ipv4Addr::LOCALHOST, port)));
    let _ = stream.write_all(b"DELETE /jobs/d0-1 HTTP/1.1\r\nHost: a\r\n\r\n");
    assert!(matches!(stream.read(&mut [0; 16]), Ok(0) | Err(_)), "served at an address of no worker");
    let requests = workers.traffic().requests;
    assert_eq!((requests.connections, requests.messages), (4, 4));
}

#[rstest]
#[case::first(0, [127, 9, 0, 1])]
#[case::last_of_a_block(249, [127, 9, 0, 250])]
#[case::next_block(250, [127, 9, 1, 1])]
fn addresses_and_numbers_are_one_to_one(#[case] number: usize, #[case] address: [u8; 4]) {
    assert_eq!(net::participant_address(9, number), Ipv4Addr::from(address));
    assert_eq!(net::participant_number(9, Ipv4Addr::from(address)), Some(number));
    assert_eq!(net::participant_number(8, Ipv4Addr::from(address)), None);
    assert_eq!(net::participant_number(9, Ipv4Addr::new(127, 9, 0, 251)), None);
}

fn points(value: fn(f64) -> f64) -> Vec<Point> {
    [60.0, 700.0, 1450.0, 2900.0, 5000.0].map(|workers| Point { workers, value: value(workers) }).to_vec()
}

#[rstest]
#[case::line(|w| 3.0 * w + 20.0, 3.0, 20.0)]
#[case::constant(|_| 159.0, 0.0, 159.0)]
#[case::nothing(|_| 0.0, 0.0, 0.0)]
fn line_fit_recovers_slope_and_constant(
    #[case] value: fn(f64) -> f64,
    #[case] slope: f64,
    #[case] constant: f64,
) {
    let line = fit(&points(value)).expect("a line");
    assert!((line.slope - slope).abs() < 1e-9 && (line.constant - constant).abs() < 1e-6, "{line:?}");
    assert!(line.largest_residual < 1e-9 && line.is_linear() && line.checked, "{line:?}");
}

#[rstest]
#[case::square(|w| w * w)]
#[case::logarithm(f64::ln)]
#[case::jump(|w| if w < 2000.0 { 1.0 } else { 2.0 })]
fn nonlinear_growth_is_detected(#[case] value: fn(f64) -> f64) {
    assert!(!fit(&points(value)).expect("a line").is_linear());
}

/// The largest residual is given as a share of the mean: a middle value that is 10 above the line through 0, 100 and 200
/// has a residual of 6.67.
#[rstest]
fn largest_residual_is_a_share_of_the_mean() {
    let values = [(0.0, 0.0), (1.0, 110.0), (2.0, 200.0)].map(|(workers, value)| Point { workers, value });
    let line = fit(&values).expect("a line");
    assert!((line.largest_residual - (20.0 / 3.0) / (310.0 / 3.0)).abs() < 1e-12, "{line:?}");
    assert_eq!(line.residual_at, 1.0);
}

#[rstest]
#[case::none(&[], None)]
#[case::one(&[4.0], Some([4.0, 4.0, 4.0]))]
#[case::odd(&[9.0, 1.0, 2.0], Some([2.0, 1.0, 9.0]))]
#[case::even(&[9.0, 1.0, 2.0, 4.0], Some([3.0, 1.0, 9.0]))]
fn repetitions_give_median_and_range(#[case] values: &[f64], #[case] expected: Option<[f64; 3]>) {
    let measured = FigureValue::median_of(Figure::ChangeProcessor, values.to_vec());
    assert_eq!(measured.map(|m| [m.value, m.least, m.most]), expected);
}

/// Guards against combined rows that hide a rejected repetition or a fault.
#[rstest]
fn row_of_repetitions_keeps_faults_and_rejections() {
    let figures = vec![FigureValue::single(Figure::ChangeBytes, 160.0)];
    let measured = |faults: &[&str]| Outcome::Measured {
        figures: figures.clone(),
        requests: RequestCount { served: 3, ..RequestCount::default() },
        faults: faults.iter().map(|f| (*f).to_owned()).collect(),
    };
    let row = |outcome| Row { workers: 7, list_bytes: 900, outcome };
    let both = Row::of_repetitions(vec![row(measured(&[])), row(measured(&["late"]))]).expect("a row");
    let Outcome::Measured { requests, faults, .. } = both.outcome else { panic!("measured") };
    assert_eq!((requests.served, faults), (6, vec!["late".to_owned()]));
    let refused = Outcome::Refused { reason: "too long".into() };
    let both = Row::of_repetitions(vec![row(measured(&[])), row(refused)]).expect("a row");
    assert!(matches!(both.outcome, Outcome::Refused { .. }), "{both:?}");
}

#[rstest]
fn one_size_has_no_line_and_two_sizes_are_not_checked() {
    let points = points(|w| w);
    assert_eq!(fit(&points[..1]), None);
    assert_eq!(fit(&[points[0], points[0]]), None);
    assert!(!fit(&points[..2]).expect("a line").checked);
}

#[rstest]
#[case("60,700", Ok(vec![60, 700]))]
#[case("60, 700", Ok(vec![60, 700]))]
#[case("0", Err("between 1 and"))]
#[case("60,many", Err("\"many\" is not a number"))]
#[case("", Err("is not a number"))]
#[case("-4", Err("is not a number"))]
#[case("60001", Err("between 1 and"))]
#[case("1,2,3,4,5,6,7,8,9,10,11,12,13,14,15,16,17", Err("at most 16"))]
fn sizes_are_parsed(#[case] text: &str, #[case] expected: Result<Vec<usize>, &str>) {
    match (text.parse::<Sizes>(), expected) {
        (Ok(sizes), Ok(expected)) => assert_eq!(sizes.0, expected),
        (Err(error), Err(reason)) => assert!(error.to_string().contains(reason), "{error}"),
        (got, expected) => panic!("{got:?} instead of {expected:?}"),
    }
}

#[rstest]
#[case(&["--workers", "0"], "between 1 and")]
#[case(&["--workers", "many"], "is not a number")]
#[case(&["--dispatchers", "0"], "--dispatchers must be")]
#[case(&["--dispatchers", "301"], "--dispatchers must be")]
#[case(&["--requests-per-s", "0"], "--requests-per-s must be")]
#[case(&["--plays", "0"], "--plays must be")]
#[case(&["--changes-per-s", "NaN"], "--changes-per-s must be")]
#[case(&["--changes-per-s", "1000", "--seconds", "11"], "at most 10000 changes")]
#[case(&["--seconds", "0"], "--seconds must be")]
#[case(&["--seconds", "1000"], "--seconds must be")]
#[case(&["--seconds", "soon"], "--seconds")]
#[case(&["--program", "/nowhere/roselock"], "program /nowhere/roselock is not a file")]
#[case(&["--program", "/bin/sh", "--json", "/nowhere/figures.json"], "/nowhere/figures.json")]
#[case(&["--program", "/bin/sh", "--svg", "/nowhere/chart.svg"], "/nowhere/chart.svg")]
fn invalid_arguments_end_with_status_2(#[case] arguments: &[&str], #[case] message: &str) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_roselock-rig"));
    let output = command.arg("scale").args(arguments).output().expect("it runs");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{stderr}");
    assert!(stderr.contains(message), "{stderr}");
    assert!(output.stdout.is_empty(), "{output:?}");
}

/// A program that exits at once is an error of the measurement, not an empty row.
#[rstest]
fn program_that_exits_at_once_is_an_error() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_roselock-rig"));
    let output =
        command.args(["scale", "--workers", "3", "--program", "/bin/true"]).output().expect("it runs");
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{stderr}");
    assert!(stderr.contains("exited unexpectedly"), "{stderr}");
}

#[rstest]
fn usage_of_a_process_is_read() {
    let usage = Usage::of(std::process::id()).expect("its own figures");
    assert!(usage.processor_ns > 0 && usage.descriptors >= 3, "{usage:?}");
    assert!(usage.resident_kib > 0 && usage.resident_peak_kib >= usage.resident_kib, "{usage:?}");
    assert!(Usage::of(u32::MAX).is_err());
}

/// Guards against judging noise: a residual that is within the spread of the repetitions does not show nonlinearity.
#[rstest]
#[case::line([100.0, 200.0, 300.0], 0.0, "| yes |")]
#[case::not_linear([100.0, 200.0, 900.0], 0.0, "| NO |")]
#[case::noise([100.0, 200.0, 900.0], 400.0, "| unknown: repetitions differ by more |")]
fn table_shows_whether_a_figure_is_linear(
    #[case] values: [f64; 3],
    #[case] half_spread: f64,
    #[case] verdict: &str,
) {
    let row = |(number, value): (usize, f64)| {
        let figure = Figure::ChangeProcessor;
        let figures =
            vec![FigureValue { figure, value, least: value - half_spread, most: value + half_spread }];
        let outcome = Outcome::Measured { figures, requests: RequestCount::default(), faults: Vec::new() };
        Row { workers: 100 * (number + 1), list_bytes: 0, outcome }
    };
    let rows = values.into_iter().enumerate().map(row).collect();
    let text = table::render(&Report::new(&Plan::default(), rows));
    assert!(text.contains(verdict), "{text}");
}
