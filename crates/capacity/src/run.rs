//! A bounded run of an experiment: several sizes, several plays of each.

use crate::error::CapacityError;
use crate::experiment::Experiment;
use crate::fit::FEWEST;
use crate::report::Report;
use std::time::{Duration, Instant};

/// Most plays of a size.
pub const MOST_PLAYS: u32 = 20;
/// Most sizes of a run.
pub const MOST_SIZES: u64 = 16;
/// The longest run that can be asked for, in seconds.
pub const MOST_SECONDS: u64 = 600;

/// What is to be run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// The sizes; none: those of the experiment.
    pub sizes: Vec<u32>,
    /// Plays of each size.
    pub plays: u32,
    /// The seed of the first play.
    pub seed: u64,
    /// The run ends with an error after so many seconds.
    pub most_seconds: u64,
}

impl Plan {
    /// The sizes to play, each once, in order.
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
/// A plan out of its bounds, a run that takes longer than the plan allows, or the error of a play.
pub fn run(experiment: &Experiment, plan: &Plan) -> Result<Report, CapacityError> {
    plan.check()?;
    let sizes = plan.sizes_of(experiment)?;
    let until = Instant::now() + Duration::from_secs(plan.most_seconds);
    let mut report = Report::new(experiment.name, experiment.size_is, plan.seed, plan.plays);
    // All sizes in each turn, so that a disturbance of the machine does not fall on one size alone.
    for play in 0..plan.plays {
        for &size in &sizes {
            if Instant::now() >= until {
                return Err(CapacityError::OutOfTime { seconds: plan.most_seconds, size });
            }
            let figures = (experiment.play)(size, plan.seed + u64::from(play))?;
            report.add(size, &figures);
        }
    }
    report.fit();
    Ok(report)
}
