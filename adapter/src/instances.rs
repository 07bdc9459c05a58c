//! The dispatcher instances of one process. Each batch of events yields one reply.

use crate::instance::{Instance, InstanceError};
use crate::wire;
use roselock::Micros;
use roselock::settings::micros_from_seconds;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Why a batch cannot be processed.
#[derive(Debug, thiserror::Error)]
pub enum BatchError {
    /// The line is not a batch of events.
    #[error("malformed batch of events: {0}")]
    Malformed(#[from] serde_json::Error),
    /// An event cannot be applied to its instance.
    #[error("scheduler {id}: {source}")]
    Instance {
        /// The id of the instance.
        id: u64,
        /// Why the event cannot be applied.
        source: InstanceError,
    },
}

/// The attached instances: each from its `attach` to its `down`.
#[derive(Default)]
pub struct Instances {
    instances: BTreeMap<u64, Instance>,
}

impl Instances {
    /// Processes one line of input and replaces the content of `reply` by the reply, including its line ending. After an error,
    /// `reply` holds no complete reply.
    pub fn process_line(&mut self, line: &str, reply: &mut String) -> Result<(), BatchError> {
        let batch: wire::Batch = serde_json::from_str(line)?;
        let now = micros_from_seconds(batch.clock);
        reply.clear();
        // Writing to a `String` cannot fail.
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
        let to_batch_error = |source| BatchError::Instance { id: group.id, source };
        for event in &group.events {
            match event {
                wire::Event::Attach { seed, options } => {
                    let instance = Instance::new(*seed, options).map_err(to_batch_error)?;
                    self.instances.insert(group.id, instance);
                }
                wire::Event::Down => {
                    self.instances.remove(&group.id);
                }
                event => {
                    // Events for an instance that is not attached are ignored.
                    if let Some(instance) = self.instances.get_mut(&group.id) {
                        instance.queue(now, event).map_err(to_batch_error)?;
                    }
                }
            }
        }
        Ok(())
    }

    /// Steps an instance and appends its actions to the reply, if any; returns whether there were any.
    fn write_actions(&mut self, now: Micros, id: u64, is_first: bool, reply: &mut String) -> bool {
        let Some(instance) = self.instances.get_mut(&id) else { return false };
        let length_before = reply.len();
        let comma = if is_first { "" } else { "," };
        let _ = write!(reply, r#"{comma}{{"schedulerId":{id},"do":["#);
        if !instance.step(now, reply) {
            reply.truncate(length_before);
            return false;
        }
        reply.push_str("]}");
        true
    }
}
