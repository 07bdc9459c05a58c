//! Plays one case step by step.

use crate::case::Case;
use crate::connection::{Connection, ReceiveError};
use roselock_gearman::{Kind, Magic, packet};
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The first difference between a server and a case.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("step {step}: awaited {expected}; came {received}")]
pub struct Difference {
    /// The step, from 1.
    pub step: usize,
    /// What was expected, or could not be done.
    pub expected: String,
    /// What was received.
    pub received: String,
}

/// The difference of one step.
struct Mismatch {
    expected: String,
    received: String,
}

impl Mismatch {
    fn new(expected: impl ToString, received: impl ToString) -> Mismatch {
        Mismatch { expected: expected.to_string(), received: received.to_string() }
    }

    /// A step that a case must not have.
    fn invalid_step(step: &[String]) -> Mismatch {
        Mismatch::new("a step", format!("{step:?}"))
    }
}

/// The bytes of an argument that are shown of a longer one.
const SHOWN_BYTES: usize = 60;
/// The pause between two calls of a repeated line.
const REPEAT_INTERVAL: Duration = Duration::from_millis(2);

/// A case in progress.
struct Play<'a> {
    server: SocketAddr,
    case: &'a Case,
    /// The open connections by name.
    connections: BTreeMap<String, Connection>,
    /// Values by the name that the case has bound them to.
    bound: BTreeMap<String, Vec<u8>>,
}

/// Plays a case. `run_id` is part of function names and unique ids, so that cases and runs don't affect each other.
///
/// # Errors
/// The first [`Difference`].
pub fn play(server: SocketAddr, case: &Case, run_id: &str) -> Result<(), Difference> {
    let mut play = Play { server, case, connections: BTreeMap::new(), bound: BTreeMap::new() };
    let name: String = case.name.chars().map(|c| if c.is_alphanumeric() { c } else { '_' }).collect();
    for (key, end) in [("F", ""), ("F2", "_2"), ("U", "_u")] {
        play.bound.insert(key.into(), format!("{name}_{run_id}{end}").into_bytes());
    }
    for (index, step) in case.steps.iter().enumerate() {
        play.step(step).map_err(|mismatch| Difference {
            step: index + 1,
            expected: mismatch.expected,
            received: mismatch.received,
        })?;
    }
    Ok(())
}

/// A packet as text.
fn show(kind: Kind, args: &[Vec<u8>]) -> String {
    let args: Vec<String> = args.iter().map(|arg| show_argument(arg)).collect();
    format!("{} {args:?}", kind.label())
}

fn show_argument(arg: &[u8]) -> String {
    let text = String::from_utf8_lossy(&arg[..arg.len().min(SHOWN_BYTES)]).into_owned();
    if arg.len() > SHOWN_BYTES { format!("{text}... ({} bytes)", arg.len()) } else { text }
}

/// The arguments of a packet; the last one takes the rest.
fn split(kind: Kind, data: &[u8]) -> Vec<Vec<u8>> {
    let count = kind.arguments().len();
    if count == 0 && data.is_empty() {
        return Vec::new();
    }
    data.splitn(count.max(1), |byte| *byte == 0).map(<[u8]>::to_vec).collect()
}

/// The result of one step.
type StepResult = Result<(), Mismatch>;

impl Play<'_> {
    /// By when whatever is expected must be received.
    fn deadline(&self) -> Instant {
        Instant::now() + Duration::from_millis(self.case.within_ms)
    }

    /// The connection of this name, opened on first use.
    fn connection(&mut self, who: &str) -> Result<&mut Connection, Mismatch> {
        match self.connections.entry(who.to_owned()) {
            Entry::Occupied(open) => Ok(open.into_mut()),
            Entry::Vacant(vacant) => {
                let opened = Connection::open(self.server);
                Ok(vacant.insert(opened.map_err(|error| Mismatch::new("a connection", error))?))
            }
        }
    }

    fn step(&mut self, step: &[String]) -> StepResult {
        let [who, what, rest @ ..] = step else { return Err(Mismatch::invalid_step(step)) };
        match (what.as_str(), rest) {
            (">", [kind, args @ ..]) => self.send(who, kind, args),
            ("<", [kind, args @ ..]) => self.expect_packet(who, kind, args),
            (">line", [line]) => {
                let mut line = self.value(line)?;
                line.push(b'\n');
                self.write(who, &line)
            }
            (">hex", [hex]) => self.write_hex(who, hex),
            ("<line", [pattern]) => self.expect_line(who, pattern),
            ("<lines" | "<nolines", patterns) => self.expect_lines(who, patterns, what == "<lines"),
            ("until", [line, pattern]) => self.repeat_line(who, line, pattern),
            ("<end", []) => self.expect_end(who),
            ("close", []) => {
                self.connections.remove(who);
                Ok(())
            }
            ("quiet", []) => {
                self.send(who, "ECHO_REQ", &["still there".into()])?;
                self.expect_packet(who, "ECHO_RES", &["still there".into()])
            }
            ("sleep", []) => {
                self.send(who, "GRAB_JOB", &[])?;
                self.expect_packet(who, "NO_JOB", &[])?;
                self.send(who, "PRE_SLEEP", &[])
            }
            ("take", args) => {
                self.expect_packet(who, "NOOP", &[])?;
                self.send(who, "GRAB_JOB", &[])?;
                self.expect_packet(who, "JOB_ASSIGN", args)
            }
            ("pause", [text]) => {
                let milliseconds = text.parse().map_err(|_| Mismatch::new("milliseconds", text))?;
                std::thread::sleep(Duration::from_millis(milliseconds));
                Ok(())
            }
            _ => Err(Mismatch::invalid_step(step)),
        }
    }

    /// Writes bytes that the case has as hexadecimal digits.
    fn write_hex(&mut self, who: &str, hex: &str) -> StepResult {
        let digits: Vec<u8> = hex.bytes().filter(|byte| !byte.is_ascii_whitespace()).collect();
        let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
        let bytes: Option<Vec<u8>> = digits.chunks(2).map(byte).collect();
        let bytes = bytes.ok_or_else(|| Mismatch::new("hexadecimal digits", hex))?;
        self.write(who, &bytes)
    }

    /// Expects a line that matches a pattern.
    fn expect_line(&mut self, who: &str, pattern: &str) -> StepResult {
        let deadline = self.deadline();
        match self.connection(who)?.line(deadline) {
            Ok(line) if self.matches(pattern, line.as_bytes()) => Ok(()),
            Ok(line) => Err(Mismatch::new(pattern, line)),
            Err(error) => Err(Mismatch::new(pattern, error)),
        }
    }

    /// Sends a line repeatedly until one of the lines of its answer matches a pattern.
    fn repeat_line(&mut self, who: &str, line: &str, pattern: &String) -> StepResult {
        let deadline = self.deadline();
        loop {
            self.step(&[who.to_owned(), ">line".into(), line.to_owned()])?;
            let answered = self.expect_lines(who, std::slice::from_ref(pattern), true);
            if answered.is_ok() || Instant::now() >= deadline {
                return answered;
            }
            std::thread::sleep(REPEAT_INTERVAL);
        }
    }

    /// Expects the end of a connection: anything but a packet or silence.
    fn expect_end(&mut self, who: &str) -> StepResult {
        let deadline = self.deadline();
        let expected = ReceiveError::Closed;
        match self.connection(who)?.packet(deadline) {
            Err(ReceiveError::TimedOut) => Err(Mismatch::new(expected, ReceiveError::TimedOut)),
            Err(_) => Ok(()),
            Ok((kind, data)) => Err(Mismatch::new(expected, show(kind, &split(kind, &data)))),
        }
    }

    fn write(&mut self, who: &str, bytes: &[u8]) -> StepResult {
        let timeout = Duration::from_millis(self.case.within_ms);
        let written = self.connection(who)?.write(bytes, timeout);
        written.map_err(|error| Mismatch::new("that it is read", error))
    }

    /// Sends a packet.
    fn send(&mut self, who: &str, kind: &str, args: &[String]) -> StepResult {
        let kind = Kind::named(kind).ok_or_else(|| Mismatch::new("a packet type", kind))?;
        let args = args.iter().map(|arg| self.value(arg)).collect::<Result<Vec<_>, _>>()?;
        let parts: Vec<&[u8]> = args.iter().map(Vec::as_slice).collect();
        self.write(who, &packet(Magic::Req, kind, &parts))
    }

    /// Expects a packet of a type whose arguments match these patterns.
    fn expect_packet(&mut self, who: &str, kind: &str, patterns: &[String]) -> StepResult {
        let kind = Kind::named(kind).ok_or_else(|| Mismatch::new("a packet type", kind))?;
        let expected = format!("{} {patterns:?}", kind.label());
        let deadline = self.deadline();
        let (received, data) = match self.connection(who)?.packet(deadline) {
            Ok(packet) => packet,
            Err(error) => return Err(Mismatch::new(expected, error)),
        };
        let args = split(received, &data);
        let matches = received == kind
            && args.len() == patterns.len()
            && args.iter().zip(patterns).all(|(arg, pattern)| self.matches(pattern, arg));
        if matches { Ok(()) } else { Err(Mismatch::new(expected, show(received, &args))) }
    }

    /// Expects an answer up to a single dot: each pattern matches one of its lines, or (not `present`) none does.
    fn expect_lines(&mut self, who: &str, patterns: &[String], present: bool) -> StepResult {
        let deadline = self.deadline();
        let mut lines = Vec::new();
        loop {
            match self.connection(who)?.line(deadline) {
                Ok(line) if line == "." => break,
                Ok(line) => lines.push(line),
                Err(error) => return Err(Mismatch::new("a line with a single dot", error)),
            }
        }
        for pattern in patterns {
            if lines.iter().any(|line| self.matches(pattern, line.as_bytes())) != present {
                let article = if present { "the line" } else { "no line" };
                return Err(Mismatch::new(format!("{article} {pattern:?}"), format!("{lines:?}")));
            }
        }
        Ok(())
    }

    /// The bytes that an argument stands for.
    fn value(&self, arg: &str) -> Result<Vec<u8>, Mismatch> {
        if let Some(seconds) = arg.strip_prefix("$now+") {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs() as i64;
            let time = now + seconds.parse::<i64>().unwrap_or(0);
            return Ok(time.to_string().into_bytes());
        }
        if let Some((text, count)) = arg.strip_prefix('%').and_then(|repeat| repeat.split_once('*')) {
            let count = count.parse().map_err(|_| Mismatch::new("a number", arg))?;
            return Ok(text.repeat(count).into_bytes());
        }
        // A text may contain names: of names with the same beginning the longest is replaced first.
        let mut text = arg.to_owned();
        for (name, value) in self.bound.iter().rev() {
            text = text.replace(&format!("${name}"), &String::from_utf8_lossy(value));
        }
        Ok(text.into_bytes())
    }

    /// Whether an argument matches a pattern; binds names.
    fn matches(&mut self, pattern: &str, received: &[u8]) -> bool {
        if pattern == "*" {
            return true;
        }
        if let Some(name) = pattern.strip_prefix('=') {
            self.bound.insert(name.to_owned(), received.to_vec());
            return !received.is_empty();
        }
        if let Some(part) = pattern.strip_prefix('?') {
            return self
                .value(part)
                .is_ok_and(|part| received.windows(part.len().max(1)).any(|window| window == part));
        }
        match pattern.strip_prefix('~') {
            Some(start) => self.value(start).is_ok_and(|start| received.starts_with(&start)),
            None => self.value(pattern).is_ok_and(|value| value == received),
        }
    }
}
