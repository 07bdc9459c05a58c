//! What happens to messages between two participants: faults as data, with a beginning and an end.

use crate::time::Micros;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::Range;
use thiserror::Error;

/// A participant of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Participant {
    /// The list service.
    List,
    /// A dispatcher, by its number.
    Dispatcher(usize),
    /// A worker, by its number.
    Worker(usize),
}

/// What a link does to messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Open connections stay open, nothing passes, and new ones are accepted and stay silent.
    Silent,
    /// Connections are closed at once, new ones too.
    Reset,
    /// Messages pass, delayed by [`LinkFault::late_ms`] and up to [`LinkFault::jitter_ms`] more.
    Late,
}

/// What a group consists of.
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

/// A named set of participants: `list`, `dispatchers`, `workers`, or a part of one: `dispatchers[0..4]`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ParticipantGroup {
    kind: GroupKind,
    part: Option<Range<usize>>,
}

/// A text names no group.
#[derive(Debug, Error)]
#[error("{text:?} is no group: list, dispatchers, workers, or a part such as workers[0..3]")]
pub struct GroupError {
    text: String,
}

impl ParticipantGroup {
    /// One dispatcher.
    #[must_use]
    pub fn dispatcher(number: usize) -> ParticipantGroup {
        ParticipantGroup { kind: GroupKind::Dispatchers, part: Some(number..number + 1) }
    }

    /// All dispatchers.
    #[must_use]
    pub fn all_dispatchers() -> ParticipantGroup {
        ParticipantGroup { kind: GroupKind::Dispatchers, part: None }
    }

    /// Some workers, by their numbers.
    #[must_use]
    pub fn workers(numbers: Range<usize>) -> ParticipantGroup {
        ParticipantGroup { kind: GroupKind::Workers, part: Some(numbers) }
    }

    /// Whether it consists of dispatchers.
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
        kind == self.kind && self.part.as_ref().is_none_or(|part| part.contains(&number))
    }

    /// Makes it the same part of a run of another size, by the factors for dispatchers and for workers.
    pub fn scale(&mut self, dispatchers: f64, workers: f64) {
        let factor = if self.is_of_dispatchers() { dispatchers } else { workers };
        let scaled = |number: usize| (number as f64 * factor).round() as usize;
        if let Some(part) = &mut self.part {
            let start = scaled(part.start);
            *part = start..scaled(part.end).max(start + 1);
        }
    }

    /// The numbers of its members where there are `all` participants of its kind.
    #[must_use]
    pub fn members(&self, all: usize) -> Range<usize> {
        match &self.part {
            None => 0..all,
            Some(part) => part.start.min(all)..part.end.min(all),
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
    let (name, part) = match text.split_once('[') {
        None => (text, None),
        Some((name, rest)) => {
            let (start, end) = rest.strip_suffix(']')?.split_once("..")?;
            (name, Some(start.parse().ok()?..end.parse().ok()?))
        }
    };
    let kind = GroupKind::ALL.into_iter().find(|kind| kind.name() == name)?;
    Some(ParticipantGroup { kind, part })
}

impl fmt::Display for ParticipantGroup {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = self.kind.name();
        match &self.part {
            None => formatter.write_str(name),
            Some(part) => write!(formatter, "{name}[{}..{}]", part.start, part.end),
        }
    }
}

impl From<ParticipantGroup> for String {
    fn from(group: ParticipantGroup) -> String {
        group.to_string()
    }
}

/// A fault of the links from one group to another, while it lasts.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LinkFault {
    /// From when, in seconds since the start.
    pub from_s: f64,
    /// Until when, in seconds since the start.
    pub until_s: f64,
    /// Whose messages.
    pub from: ParticipantGroup,
    /// To whom.
    pub to: ParticipantGroup,
    /// Messages in the other direction pass, if this is set.
    #[serde(default)]
    pub one_way: bool,
    /// What happens to them.
    #[serde(rename = "harm")]
    pub fault: Fault,
    /// Delay of messages, one way, in milliseconds.
    #[serde(default)]
    pub late_ms: f64,
    /// Largest additional delay in milliseconds, drawn evenly between 0 and this.
    #[serde(default)]
    pub jitter_ms: f64,
}

impl LinkFault {
    /// Whether it applies to messages from one participant to another at a time in seconds since the start.
    fn applies(&self, from: Participant, to: Participant, now_s: f64) -> bool {
        let forward = self.from.contains(from) && self.to.contains(to);
        let backward = !self.one_way && self.from.contains(to) && self.to.contains(from);
        (self.from_s..self.until_s).contains(&now_s) && (forward || backward)
    }
}

/// What a link does to a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkEffect {
    /// The fault that stops it, if one does.
    pub fault: Option<Fault>,
    /// How long it is delayed, in microseconds.
    pub delay: Micros,
}

/// All links of a run.
#[derive(Clone, Debug, Default)]
pub struct Links(pub Vec<LinkFault>);

impl Links {
    /// What happens to a message from one participant to another now, with `draw` drawn from 0..1 for the jitter.
    #[must_use]
    pub fn effect(&self, from: Participant, to: Participant, now: Micros, draw: f64) -> LinkEffect {
        let now_s = now as f64 / 1e6;
        let mut effect = LinkEffect { fault: None, delay: 0 };
        for link_fault in &self.0 {
            if !link_fault.applies(from, to, now_s) {
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
