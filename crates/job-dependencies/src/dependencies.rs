//! What a job waits for.

use crate::JobId;

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// It was served.
    Served,
    /// It failed; it did not take effect.
    Failed,
    /// It was rejected.
    Refused,
    /// It is unknown whether it took effect. It counts neither as served nor as failed.
    Unknown,
    /// It ended without being released.
    Dropped,
}

/// The outcome that a job requires of a prerequisite.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// Served.
    Served,
    /// Any outcome.
    Ended,
    /// Failed for certain, rejected, or never released.
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
    /// It ends without a notification.
    DropQuietly,
}

/// How a prerequisite counts that is not listed and whose outcome is not stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UnknownPrerequisite {
    /// It does not meet its condition.
    #[default]
    Unmet,
    /// It may still be submitted, until the deadline of the job that waits for it.
    Await,
}

/// What a job waits for.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Dependencies {
    /// The prerequisites, each with its condition.
    pub prerequisites: Vec<(JobId, Condition)>,
    /// How many of them must meet their condition.
    pub quorum: Quorum,
    /// What happens if they can't.
    pub on_unmet: OnUnmet,
    /// How an unknown prerequisite counts.
    pub unknown: UnknownPrerequisite,
}
