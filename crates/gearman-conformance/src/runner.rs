//! Runs one case step by step.

use crate::case::Case;
use crate::connection::{Connection, ReceiveError};
use roselock_gearman::{Kind, Magic, packet};
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The first difference between a server and a case.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("step {step}: expected {expected}; received {received}")]
pub struct Difference {
    /// The number of the step, from 1.
    pub step: usize,
    /// What was expected, or the operation that failed.
    pub expected: String,
    /// What was received, or why nothing was.
    pub received: String,
}

/// The difference found by one step.
struct Mismatch {
    expected: String,
    received: String,
}

impl Mismatch {
    fn new(expected: impl ToString, received: impl ToString) -> Mismatch {
        Mismatch { expected: expected.to_string(), received: received.to_string() }
    }

    /// A step with an unknown operation or wrong arguments.
    fn invalid_step(step: &[String]) -> Mismatch {
        Mismatch::new("a valid step", format!("{step:?}"))
    }
}

/// The number of bytes to which a shown argument is truncated.
const MAX_SHOWN_BYTES: usize = 60;
/// The interval between two attempts of the operation `until`.
const REPEAT_INTERVAL: Duration = Duration::from_millis(2);

/// The state of a running case.
struct CaseRunner<'a> {
    server: SocketAddr,
    case: &'a Case,
    /// Open connections by name.
    connections: BTreeMap<String, Connection>,
    /// Values that the case has bound, by name.
    bindings: BTreeMap<String, Vec<u8>>,
}

/// Runs a case. `run_id` is part of function names and unique ids, so that cases and runs don't affect each other.
///
/// # Errors
/// The first [`Difference`].
pub fn run_case(server: SocketAddr, case: &Case, run_id: &str) -> Result<(), Difference> {
    let mut runner = CaseRunner { server, case, connections: BTreeMap::new(), bindings: BTreeMap::new() };
    let name: String = case.name.chars().map(|c| if c.is_alphanumeric() { c } else { '_' }).collect();
    for (key, end) in [("F", ""), ("F2", "_2"), ("U", "_u")] {
        runner.bindings.insert(key.into(), format!("{name}_{run_id}{end}").into_bytes());
    }
    for (index, step) in case.steps.iter().enumerate() {
        runner.step(step).map_err(|mismatch| Difference {
            step: index + 1,
            expected: mismatch.expected,
            received: mismatch.received,
        })?;
    }
    Ok(())
}

/// Formats a packet for a difference.
fn format_packet(kind: Kind, args: &[Vec<u8>]) -> String {
    let args: Vec<String> = args.iter().map(|arg| format_argument(arg)).collect();
    format!("{} {args:?}", kind.label())
}

fn format_argument(arg: &[u8]) -> String {
    let text = String::from_utf8_lossy(&arg[..arg.len().min(MAX_SHOWN_BYTES)]).into_owned();
    if arg.len() > MAX_SHOWN_BYTES { format!("{text}... ({} bytes)", arg.len()) } else { text }
}

/// Splits the data of a packet into its arguments; the last one takes the remainder.
fn split_arguments(kind: Kind, data: &[u8]) -> Vec<Vec<u8>> {
    let count = kind.arguments().len();
    if count == 0 && data.is_empty() {
        return Vec::new();
    }
    data.splitn(count.max(1), |byte| *byte == 0).map(<[u8]>::to_vec).collect()
}

/// The result of one step.
type StepResult = Result<(), Mismatch>;

impl CaseRunner<'_> {
    /// The deadline of a message that is expected now.
    fn deadline(&self) -> Instant {
        Instant::now() + Duration::from_millis(self.case.within_ms)
    }

    /// Returns the connection of this name, which is opened on first use.
    fn connection(&mut self, name: &str) -> Result<&mut Connection, Mismatch> {
        match self.connections.entry(name.to_owned()) {
            Entry::Occupied(open) => Ok(open.into_mut()),
            Entry::Vacant(vacant) => {
                let opened = Connection::open(self.server);
                Ok(vacant.insert(opened.map_err(|error| Mismatch::new("a connection", error))?))
            }
        }
    }

    fn step(&mut self, step: &[String]) -> StepResult {
        let [name, operation, rest @ ..] = step else { return Err(Mismatch::invalid_step(step)) };
        match (operation.as_str(), rest) {
            (">", [kind, args @ ..]) => self.send(name, kind, args),
            ("<", [kind, args @ ..]) => self.expect_packet(name, kind, args),
            (">line", [line]) => {
                let mut line = self.expand(line)?;
                line.push(b'\n');
                self.write(name, &line)
            }
            (">hex", [hex]) => self.write_hex(name, hex),
            ("<line", [pattern]) => self.expect_line(name, pattern),
            ("<lines" | "<nolines", patterns) => self.expect_lines(name, patterns, operation == "<lines"),
            ("until", [line, pattern]) => self.repeat_line(name, line, pattern),
            ("<end", []) => self.expect_end(name),
            ("close", []) => {
                self.connections.remove(name);
                Ok(())
            }
            ("quiet", []) => {
                self.send(name, "ECHO_REQ", &["still there".into()])?;
                self.expect_packet(name, "ECHO_RES", &["still there".into()])
            }
            ("sleep", []) => {
                self.send(name, "GRAB_JOB", &[])?;
                self.expect_packet(name, "NO_JOB", &[])?;
                self.send(name, "PRE_SLEEP", &[])
            }
            ("take", args) => {
                self.expect_packet(name, "NOOP", &[])?;
                self.send(name, "GRAB_JOB", &[])?;
                self.expect_packet(name, "JOB_ASSIGN", args)
            }
            ("pause", [text]) => {
                let milliseconds =
                    text.parse().map_err(|_| Mismatch::new("a number of milliseconds", text))?;
                std::thread::sleep(Duration::from_millis(milliseconds));
                Ok(())
            }
            _ => Err(Mismatch::invalid_step(step)),
        }
    }

    /// Writes bytes given as hexadecimal digits.
    fn write_hex(&mut self, name: &str, hex: &str) -> StepResult {
        let digits: Vec<u8> = hex.bytes().filter(|byte| !byte.is_ascii_whitespace()).collect();
        let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
        let bytes: Option<Vec<u8>> = digits.chunks(2).map(byte).collect();
        let bytes = bytes.ok_or_else(|| Mismatch::new("hexadecimal digits", hex))?;
        self.write(name, &bytes)
    }

    /// Expects a line that matches a pattern.
    fn expect_line(&mut self, name: &str, pattern: &str) -> StepResult {
        let deadline = self.deadline();
        match self.connection(name)?.read_line(deadline) {
            Ok(line) if self.matches_pattern(pattern, line.as_bytes()) => Ok(()),
            Ok(line) => Err(Mismatch::new(pattern, line)),
            Err(error) => Err(Mismatch::new(pattern, error)),
        }
    }

    /// Sends a line repeatedly until a line of the response matches a pattern.
    fn repeat_line(&mut self, name: &str, line: &str, pattern: &String) -> StepResult {
        let deadline = self.deadline();
        loop {
            self.step(&[name.to_owned(), ">line".into(), line.to_owned()])?;
            let answered = self.expect_lines(name, std::slice::from_ref(pattern), true);
            if answered.is_ok() || Instant::now() >= deadline {
                return answered;
            }
            std::thread::sleep(REPEAT_INTERVAL);
        }
    }

    /// Expects the end of a connection. Any error counts except a timeout.
    fn expect_end(&mut self, name: &str) -> StepResult {
        let deadline = self.deadline();
        let expected = ReceiveError::Closed;
        match self.connection(name)?.read_packet(deadline) {
            Err(ReceiveError::TimedOut) => Err(Mismatch::new(expected, ReceiveError::TimedOut)),
            Err(_) => Ok(()),
            Ok((kind, data)) => {
                Err(Mismatch::new(expected, format_packet(kind, &split_arguments(kind, &data))))
            }
        }
    }

    fn write(&mut self, name: &str, bytes: &[u8]) -> StepResult {
        let timeout = Duration::from_millis(self.case.within_ms);
        let written = self.connection(name)?.write(bytes, timeout);
        written.map_err(|error| Mismatch::new("a successful write", error))
    }

    /// Expands the arguments and sends a packet.
    fn send(&mut self, name: &str, kind: &str, args: &[String]) -> StepResult {
        let kind = Kind::from_name(kind).ok_or_else(|| Mismatch::new("a packet type", kind))?;
        let args = args.iter().map(|arg| self.expand(arg)).collect::<Result<Vec<_>, _>>()?;
        let parts: Vec<&[u8]> = args.iter().map(Vec::as_slice).collect();
        self.write(name, &packet(Magic::Req, kind, &parts))
    }

    /// Expects a packet of a type whose arguments match these patterns.
    fn expect_packet(&mut self, name: &str, kind: &str, patterns: &[String]) -> StepResult {
        let kind = Kind::from_name(kind).ok_or_else(|| Mismatch::new("a packet type", kind))?;
        let expected = format!("{} {patterns:?}", kind.label());
        let deadline = self.deadline();
        let (received, data) = match self.connection(name)?.read_packet(deadline) {
            Ok(packet) => packet,
            Err(error) => return Err(Mismatch::new(expected, error)),
        };
        let args = split_arguments(received, &data);
        let matches = received == kind
            && args.len() == patterns.len()
            && args.iter().zip(patterns).all(|(arg, pattern)| self.matches_pattern(pattern, arg));
        if matches { Ok(()) } else { Err(Mismatch::new(expected, format_packet(received, &args))) }
    }

    /// Expects a response that ends with a single dot: each pattern matches one of its lines or, without `present`, none.
    fn expect_lines(&mut self, name: &str, patterns: &[String], present: bool) -> StepResult {
        let deadline = self.deadline();
        let mut lines = Vec::new();
        loop {
            match self.connection(name)?.read_line(deadline) {
                Ok(line) if line == "." => break,
                Ok(line) => lines.push(line),
                Err(error) => return Err(Mismatch::new("a line with a single dot", error)),
            }
        }
        for pattern in patterns {
            if lines.iter().any(|line| self.matches_pattern(pattern, line.as_bytes())) != present {
                let article = if present { "the line" } else { "no line" };
                return Err(Mismatch::new(format!("{article} {pattern:?}"), format!("{lines:?}")));
            }
        }
        Ok(())
    }

    /// Expands the variables and repetitions of an argument.
    fn expand(&self, arg: &str) -> Result<Vec<u8>, Mismatch> {
        if let Some(seconds) = arg.strip_prefix("$now+") {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs() as i64;
            let time = now + seconds.parse::<i64>().unwrap_or(0);
            return Ok(time.to_string().into_bytes());
        }
        if let Some((text, count)) = arg.strip_prefix('%').and_then(|repeat| repeat.split_once('*')) {
            let count = count.parse().map_err(|_| Mismatch::new("a number", arg))?;
            return Ok(text.repeat(count).into_bytes());
        }
        // In reverse order of names: a name is replaced before its prefixes.
        let mut text = arg.to_owned();
        for (name, value) in self.bindings.iter().rev() {
            text = text.replace(&format!("${name}"), &String::from_utf8_lossy(value));
        }
        Ok(text.into_bytes())
    }

    /// Returns whether a received argument matches a pattern. The pattern `=name` binds the argument.
    fn matches_pattern(&mut self, pattern: &str, received: &[u8]) -> bool {
        if pattern == "*" {
            return true;
        }
        if let Some(name) = pattern.strip_prefix('=') {
            self.bindings.insert(name.to_owned(), received.to_vec());
            return !received.is_empty();
        }
        if let Some(part) = pattern.strip_prefix('?') {
            return self
                .expand(part)
                .is_ok_and(|part| received.windows(part.len().max(1)).any(|window| window == part));
        }
        match pattern.strip_prefix('~') {
            Some(start) => self.expand(start).is_ok_and(|start| received.starts_with(&start)),
            None => self.expand(pattern).is_ok_and(|value| value == received),
        }
    }
}
