//! Links between participants, and their faults, each with a start and an end.

use crate::time::Micros;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::Range;
use thiserror::Error;

/// A participant of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Participant {
    /// The discovery service.
    List,
    /// A dispatcher, by its number.
    Dispatcher(usize),
    /// A worker, by its number.
    Worker(usize),
}

/// A fault of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// No message passes: open connections stay open, and new ones are accepted and stay silent.
    Silent,
    /// Connections are closed at once, including new ones.
    Reset,
    /// Messages are delayed by [`LinkFault::late_ms`] and up to [`LinkFault::jitter_ms`] more.
    Late,
}

/// The kind of a group's members.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum GroupKind {
    List,
    Dispatchers,
    Workers,
}

impl GroupKind {
    const ALL: [GroupKind; 3] = [GroupKind::List, GroupKind::Dispatchers, GroupKind::Workers];

    fn name(self) -> &'static str {
        match self {
            GroupKind::List => "list",
            GroupKind::Dispatchers => "dispatchers",
            GroupKind::Workers => "workers",
        }
    }
}

/// A named set of participants: `list`, `dispatchers`, `workers`, or a range of these such as `dispatchers[0..4]`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ParticipantGroup {
    kind: GroupKind,
    range: Option<Range<usize>>,
}

/// A text is not a participant group.
#[derive(Debug, Error)]
#[error(
    "{text:?} is not a participant group: expected list, dispatchers, workers, or a part such as workers[0..3]"
)]
pub struct GroupError {
    text: String,
}

impl ParticipantGroup {
    /// The discovery service.
    #[must_use]
    pub fn list() -> ParticipantGroup {
        ParticipantGroup { kind: GroupKind::List, range: None }
    }

    /// One dispatcher.
    #[must_use]
    pub fn dispatcher(number: usize) -> ParticipantGroup {
        ParticipantGroup { kind: GroupKind::Dispatchers, range: Some(number..number + 1) }
    }

    /// All dispatchers.
    #[must_use]
    pub fn all_dispatchers() -> ParticipantGroup {
        ParticipantGroup { kind: GroupKind::Dispatchers, range: None }
    }

    /// A range of workers, by their numbers.
    #[must_use]
    pub fn workers(numbers: Range<usize>) -> ParticipantGroup {
        ParticipantGroup { kind: GroupKind::Workers, range: Some(numbers) }
    }

    /// Whether its members are dispatchers.
    #[must_use]
    pub fn is_of_dispatchers(&self) -> bool {
        self.kind == GroupKind::Dispatchers
    }

    /// Whether a participant belongs to it.
    #[must_use]
    pub fn contains(&self, participant: Participant) -> bool {
        let (kind, number) = match participant {
            Participant::List => (GroupKind::List, 0),
            Participant::Dispatcher(number) => (GroupKind::Dispatchers, number),
            Participant::Worker(number) => (GroupKind::Workers, number),
        };
        kind == self.kind && self.range.as_ref().is_none_or(|range| range.contains(&number))
    }

    /// Scales its range to a run of another size, by the factors for dispatchers and for workers.
    pub fn scale(&mut self, dispatchers: f64, workers: f64) {
        let factor = if self.is_of_dispatchers() { dispatchers } else { workers };
        let scaled = |number: usize| (number as f64 * factor).round() as usize;
        if let Some(range) = &mut self.range {
            let start = scaled(range.start);
            *range = start..scaled(range.end).max(start + 1);
        }
    }

    /// The numbers of its members in a run with `count` participants of its kind.
    #[must_use]
    pub fn members(&self, count: usize) -> Range<usize> {
        match &self.range {
            None => 0..count,
            Some(range) => range.start.min(count)..range.end.min(count),
        }
    }
}

impl TryFrom<String> for ParticipantGroup {
    type Error = GroupError;

    fn try_from(text: String) -> Result<ParticipantGroup, GroupError> {
        parse_group(&text).ok_or(GroupError { text })
    }
}

fn parse_group(text: &str) -> Option<ParticipantGroup> {
    let (name, range) = match text.split_once('[') {
        None => (text, None),
        Some((name, rest)) => {
            let (start, end) = rest.strip_suffix(']')?.split_once("..")?;
            (name, Some(start.parse().ok()?..end.parse().ok()?))
        }
    };
    let kind = GroupKind::ALL.into_iter().find(|kind| kind.name() == name)?;
    Some(ParticipantGroup { kind, range })
}

impl fmt::Display for ParticipantGroup {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = self.kind.name();
        match &self.range {
            None => formatter.write_str(name),
            Some(range) => write!(formatter, "{name}[{}..{}]", range.start, range.end),
        }
    }
}

impl From<ParticipantGroup> for String {
    fn from(group: ParticipantGroup) -> String {
        group.to_string()
    }
}

/// A temporary fault of the links between two groups.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkFault {
    /// Its start, in seconds since the start of the run.
    pub from_s: f64,
    /// Its end, in seconds since the start of the run.
    pub until_s: f64,
    /// The senders of the affected messages.
    pub from: ParticipantGroup,
    /// Their receivers.
    pub to: ParticipantGroup,
    /// Whether messages in the other direction are not affected.
    #[serde(default)]
    pub one_way: bool,
    /// The fault.
    #[serde(rename = "harm")]
    pub fault: Fault,
    /// One-way delay of messages, in milliseconds.
    #[serde(default)]
    pub late_ms: f64,
    /// Maximum additional delay in milliseconds; the delay is drawn uniformly between 0 and this.
    #[serde(default)]
    pub jitter_ms: f64,
}

impl LinkFault {
    /// Whether it affects messages between two participants, in either direction.
    #[must_use]
    pub fn connects(&self, first: Participant, second: Participant) -> bool {
        let forward = self.from.contains(first) && self.to.contains(second);
        forward || self.from.contains(second) && self.to.contains(first)
    }

    /// Whether it applies to messages between two participants at a time in seconds since the start of the run.
    fn applies_to(&self, from: Participant, to: Participant, now_s: f64) -> bool {
        let forward = self.from.contains(from) && self.to.contains(to);
        let backward = !self.one_way && self.from.contains(to) && self.to.contains(from);
        (self.from_s..self.until_s).contains(&now_s) && (forward || backward)
    }
}

/// The effect of a link on a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkEffect {
    /// The fault that stops the message, if there is one.
    pub fault: Option<Fault>,
    /// Its delay, in microseconds.
    pub delay: Micros,
}

/// The link faults of a run.
#[derive(Clone, Debug, Default)]
pub struct Links(pub Vec<LinkFault>);

impl Links {
    /// The effect on a message between two participants at a time; `draw` is a random number for the jitter, uniform in
    /// 0..1.
    #[must_use]
    pub fn effect(&self, from: Participant, to: Participant, now: Micros, draw: f64) -> LinkEffect {
        let now_s = now as f64 / 1e6;
        let mut effect = LinkEffect { fault: None, delay: 0 };
        for link_fault in &self.0 {
            if !link_fault.applies_to(from, to, now_s) {
                continue;
            }
            if link_fault.fault == Fault::Late {
                effect.delay += ((link_fault.late_ms + draw * link_fault.jitter_ms) * 1e3) as Micros;
            } else if effect.fault.is_none() {
                effect.fault = Some(link_fault.fault);
            }
        }
        effect
    }
}
