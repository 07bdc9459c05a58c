//! A run of an experiment with limits: several sizes, several plays of each.

use crate::error::CapacityError;
use crate::experiment::Experiment;
use crate::fit::FEWEST;
use crate::report::Report;
use std::time::{Duration, Instant};

/// The largest number of plays of a size.
pub const MOST_PLAYS: u32 = 20;
/// The largest number of sizes of a run.
pub const MOST_SIZES: u64 = 16;
/// The longest time limit of a run, in seconds.
pub const MOST_SECONDS: u64 = 600;

/// The parameters of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The sizes; if empty, those of the experiment.
    pub sizes: Vec<u32>,
    /// Plays of each size.
    pub plays: u32,
    /// The seed of the first play.
    pub seed: u64,
    /// The time limit of the run, in seconds; it then ends with an error.
    pub most_seconds: u64,
}

impl Plan {
    /// The sizes to play, each once, in ascending order.
    fn sizes_of(&self, experiment: &Experiment) -> Result<Vec<u32>, CapacityError> {
        let mut sizes = if self.sizes.is_empty() { experiment.sizes.to_vec() } else { self.sizes.clone() };
        sizes.sort_unstable();
        sizes.dedup();
        for &size in &sizes {
            within("--sizes", u64::from(size), 1, u64::from(experiment.most))?;
        }
        if sizes.len() < FEWEST {
            return Err(CapacityError::TooFewSizes { given: sizes.len(), needed: FEWEST });
        }
        within("the number of --sizes", sizes.len() as u64, 1, MOST_SIZES)?;
        Ok(sizes)
    }

    fn check(&self) -> Result<(), CapacityError> {
        within("--plays", u64::from(self.plays), 1, u64::from(MOST_PLAYS))?;
        within("--most-seconds", self.most_seconds, 1, MOST_SECONDS)?;
        within("--seed", self.seed, 0, u64::MAX - u64::from(MOST_PLAYS))
    }
}

fn within(argument: &'static str, value: u64, least: u64, most: u64) -> Result<(), CapacityError> {
    if (least..=most).contains(&value) {
        return Ok(());
    }
    Err(CapacityError::OutOfRange { argument, value, least, most })
}

/// Runs an experiment.
///
/// # Errors
/// [`CapacityError::OutOfRange`] or [`CapacityError::TooFewSizes`] for an invalid plan, [`CapacityError::OutOfTime`] for a run
/// that exceeds its time limit, or the error of a play.
pub fn run(experiment: &Experiment, plan: &Plan) -> Result<Report, CapacityError> {
    plan.check()?;
    let sizes = plan.sizes_of(experiment)?;
    let deadline = Instant::now() + Duration::from_secs(plan.most_seconds);
    let mut report = Report::new(experiment.name, experiment.size_is, plan.seed, plan.plays);
    // All sizes are played in each round, so that a disturbance of the machine does not affect one size alone.
    for play in 0..plan.plays {
        for &size in &sizes {
            if Instant::now() >= deadline {
                return Err(CapacityError::OutOfTime { seconds: plan.most_seconds, size });
            }
            let figures = (experiment.play)(size, plan.seed + u64::from(play))?;
            report.add(size, &figures);
        }
    }
    report.fit();
    Ok(report)
}
