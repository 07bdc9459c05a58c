//! Prerequisites of a job and the conditions on their outcomes.

use crate::JobId;

/// How a job ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The job was served.
    Served,
    /// The job failed and did not take effect.
    Failed,
    /// The job was rejected.
    Refused,
    /// It is unknown whether the job took effect. This counts neither as served nor as failed.
    Unknown,
    /// The job ended without being released.
    Dropped,
}

/// The outcome that a job requires of a prerequisite.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Condition {
    /// The prerequisite was served.
    Served,
    /// Any outcome.
    Ended,
    /// The prerequisite definitely failed, was rejected, or was never released.
    Failed,
}

impl Condition {
    /// Returns whether an outcome meets the condition.
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
    /// All prerequisites.
    #[default]
    All,
    /// At least one prerequisite.
    Any,
}

/// What happens to a job whose prerequisites can no longer meet their conditions.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OnUnmet {
    /// The job fails.
    #[default]
    Fail,
    /// The job runs anyway.
    Run,
    /// The job ends without a notification.
    DropSilently,
}

/// How to treat a prerequisite that is neither in the queue nor has a stored outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UnknownPrerequisite {
    /// Its condition counts as unmet.
    #[default]
    Unmet,
    /// It may still be submitted, until the deadline of the dependent job.
    Await,
}

/// The prerequisites of a job and how they are evaluated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Dependencies {
    /// The prerequisites, each with its condition.
    pub prerequisites: Vec<(JobId, Condition)>,
    /// How many of them must meet their condition.
    pub quorum: Quorum,
    /// What happens if they no longer can.
    pub on_unmet: OnUnmet,
    /// How to treat unknown prerequisites.
    pub unknown: UnknownPrerequisite,
}
