//! Runs dispatchers over the simulator's wire: a batch of events a line on standard input, a reply a line on
//! standard output. End of input exits with 0, malformed input with 1 and a message on standard error.

mod instance;
mod wire;

use instance::Instance;
use roselock::settings::micros;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Write, stdin, stdout};
use std::process::ExitCode;

fn answer(instances: &mut BTreeMap<u64, Instance>, line: &str, reply: &mut String) -> Result<(), String> {
    let batch: wire::Batch = serde_json::from_str(line).map_err(|e| format!("not a batch of events: {e}"))?;
    let now = micros(batch.clock);
    reply.clear();
    let _ = write!(reply, r#"{{"batch":{},"schedulers":["#, batch.batch);
    let mut first = true;
    for group in &batch.schedulers {
        let at = |e: String| format!("scheduler {}: {e}", group.id);
        for event in &group.events {
            match event {
                wire::Event::Attach { seed, options } => {
                    instances.insert(group.id, Instance::new(*seed, options).map_err(at)?);
                }
                wire::Event::Down => {
                    instances.remove(&group.id);
                }
                // Without an attach there is no instance to tell.
                event => {
                    if let Some(instance) = instances.get_mut(&group.id) {
                        instance.take(now, event).map_err(at)?;
                    }
                }
            }
        }
        let Some(instance) = instances.get_mut(&group.id).filter(|_| !group.events.is_empty()) else {
            continue;
        };
        let before = reply.len();
        let comma = if first { "" } else { "," };
        let _ = write!(reply, r#"{comma}{{"schedulerId":{},"do":["#, group.id);
        let actions = reply.len();
        instance.step(now, reply);
        if reply.len() == actions {
            reply.truncate(before);
        } else {
            reply.push_str("]}");
            first = false;
        }
    }
    reply.push_str("]}\n");
    Ok(())
}

fn run() -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 16, stdin().lock());
    let mut output = stdout().lock();
    let mut instances = BTreeMap::new();
    let (mut line, mut reply) = (Vec::new(), String::new());
    for number in 1.. {
        line.clear();
        let read = input.read_until(b'\n', &mut line).map_err(|e| format!("line {number}: {e}"))?;
        if read == 0 {
            break;
        }
        let text = std::str::from_utf8(&line).map_err(|e| format!("line {number}: not UTF-8: {e}"))?;
        answer(&mut instances, text, &mut reply).map_err(|e| format!("line {number}: {e}"))?;
        let sent = output.write_all(reply.as_bytes()).and_then(|()| output.flush());
        sent.map_err(|e| format!("line {number}: cannot write the reply: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("roselock-simhost: {message}");
            ExitCode::FAILURE
        }
    }
}
