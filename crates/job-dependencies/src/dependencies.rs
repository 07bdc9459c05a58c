//! What a job waits for.

use crate::JobId;

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It was served.
    Served,
    /// It failed; it did not take effect.
    Failed,
    /// It was refused.
    Refused,
    /// It may have taken effect: nobody knows. It counts neither as served nor as failed.
    Unknown,
    /// It ended without being released.
    Dropped,
}

/// The outcome that a job wants of a prerequisite.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Served.
    Served,
    /// Any outcome.
    Ended,
    /// Failed for certain, refused, or never released.
    Failed,
}

impl Condition {
    /// Whether an outcome meets the condition.
    pub fn is_met_by(self, outcome: Outcome) -> bool {
        match self {
            Condition::Served => outcome == Outcome::Served,
            Condition::Ended => true,
            Condition::Failed => matches!(outcome, Outcome::Failed | Outcome::Refused | Outcome::Dropped),
        }
    }
}

/// How many prerequisites must meet their condition.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Quorum {
    /// All.
    #[default]
    All,
    /// One.
    Any,
}

/// What happens to a job whose prerequisites cannot meet their conditions any more.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OnUnmet {
    /// It fails.
    #[default]
    Fail,
    /// It runs anyway.
    Run,
    /// It ends, and nobody is told.
    DropQuietly,
}

/// What a prerequisite counts as that is no job here and whose outcome is not kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UnknownPrerequisite {
    /// It does not meet its condition.
    #[default]
    Unmet,
    /// It may yet be submitted, until the deadline of the job that waits for it.
    Await,
}

/// What a job waits for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Dependencies {
    /// The prerequisites, each with its condition.
    pub prerequisites: Vec<(JobId, Condition)>,
    /// How many of them must meet their condition.
    pub quorum: Quorum,
    /// What happens if they cannot.
    pub on_unmet: OnUnmet,
    /// What an unknown prerequisite counts as.
    pub unknown: UnknownPrerequisite,
}
