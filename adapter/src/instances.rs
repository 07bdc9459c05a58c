//! All instances of one process: a batch of events in, a reply out.

use crate::instance::{Instance, InstanceError};
use crate::wire;
use roselock::Micros;
use roselock::settings::micros;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Why a batch can't be answered.
#[derive(Debug, thiserror::Error)]
pub enum BatchError {
    /// The line is no batch.
    #[error("not a batch of events: {0}")]
    Malformed(#[from] serde_json::Error),
    /// An event can't be applied to its instance.
    #[error("scheduler {id}: {source}")]
    Instance {
        /// The instance.
        id: u64,
        /// What is wrong with the event.
        source: InstanceError,
    },
}

/// The instances between their `attach` and their `down`.
#[derive(Default)]
pub struct Instances {
    instances: BTreeMap<u64, Instance>,
}

impl Instances {
    /// Applies one line of input and writes the reply, with the end of its line, in place of what `reply` held. After an
    /// error, `reply` holds no complete reply.
    pub fn answer(&mut self, line: &str, reply: &mut String) -> Result<(), BatchError> {
        let batch: wire::Batch = serde_json::from_str(line)?;
        let now = micros(batch.clock);
        reply.clear();
        // Writing to a string cannot fail.
        let _ = write!(reply, r#"{{"batch":{},"schedulers":["#, batch.batch);
        let mut is_first = true;
        for group in &batch.schedulers {
            self.queue_events(now, group)?;
            if !group.events.is_empty() && self.write_actions(now, group.id, is_first, reply) {
                is_first = false;
            }
        }
        reply.push_str("]}\n");
        Ok(())
    }

    fn queue_events(&mut self, now: Micros, group: &wire::Group) -> Result<(), BatchError> {
        let in_instance = |source| BatchError::Instance { id: group.id, source };
        for event in &group.events {
            match event {
                wire::Event::Attach { seed, options } => {
                    let instance = Instance::new(*seed, options).map_err(in_instance)?;
                    self.instances.insert(group.id, instance);
                }
                wire::Event::Down => {
                    self.instances.remove(&group.id);
                }
                event => {
                    // Events of an instance that isn't attached are dropped.
                    if let Some(instance) = self.instances.get_mut(&group.id) {
                        instance.queue(now, event).map_err(in_instance)?;
                    }
                }
            }
        }
        Ok(())
    }

    /// Steps an instance and appends its actions to the reply, if there are any; returns whether there were.
    fn write_actions(&mut self, now: Micros, id: u64, is_first: bool, reply: &mut String) -> bool {
        let Some(instance) = self.instances.get_mut(&id) else { return false };
        let before = reply.len();
        let comma = if is_first { "" } else { "," };
        let _ = write!(reply, r#"{comma}{{"schedulerId":{id},"do":["#);
        if !instance.step(now, reply) {
            reply.truncate(before);
            return false;
        }
        reply.push_str("]}");
        true
    }
}
