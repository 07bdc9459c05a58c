//! Runs an experiment within limits: several sizes, several repetitions of each.

use crate::error::CapacityError;
use crate::experiment::Experiment;
use crate::fit::MIN_POINTS;
use crate::report::Report;
use std::time::{Duration, Instant};

/// The largest number of repetitions of a size.
pub const MAX_REPETITIONS: u32 = 20;
/// The largest number of sizes of a run.
pub const MAX_SIZES: u64 = 16;
/// The longest time limit of a run, in seconds.
pub const MAX_TIME_LIMIT_S: u64 = 600;

/// The parameters of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct RunParameters {
    /// The sizes; if empty, those of the experiment.
    pub sizes: Vec<u32>,
    /// Repetitions of each size.
    pub repetitions: u32,
    /// The seed of the first repetition.
    pub seed: u64,
    /// The time limit of the run, in seconds; it then ends with an error.
    pub time_limit_s: u64,
}

impl RunParameters {
    /// The sizes to simulate, without duplicates, in ascending order.
    fn selected_sizes(&self, experiment: &Experiment) -> Result<Vec<u32>, CapacityError> {
        let mut sizes = if self.sizes.is_empty() { experiment.sizes.to_vec() } else { self.sizes.clone() };
        sizes.sort_unstable();
        sizes.dedup();
        for &size in &sizes {
            check_range("--sizes", u64::from(size), 1, u64::from(experiment.max_size))?;
        }
        if sizes.len() < MIN_POINTS {
            return Err(CapacityError::TooFewSizes { given: sizes.len(), needed: MIN_POINTS });
        }
        check_range("the number of --sizes", sizes.len() as u64, 1, MAX_SIZES)?;
        Ok(sizes)
    }

    fn check(&self) -> Result<(), CapacityError> {
        check_range("--plays", u64::from(self.repetitions), 1, u64::from(MAX_REPETITIONS))?;
        check_range("--most-seconds", self.time_limit_s, 1, MAX_TIME_LIMIT_S)?;
        check_range("--seed", self.seed, 0, u64::MAX - u64::from(MAX_REPETITIONS))
    }
}

fn check_range(argument: &'static str, value: u64, min: u64, max: u64) -> Result<(), CapacityError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(CapacityError::OutOfRange { argument, value, min, max })
}

/// Runs an experiment.
///
/// # Errors
/// [`CapacityError::OutOfRange`] or [`CapacityError::TooFewSizes`] for invalid parameters,
/// [`CapacityError::TimeLimitExceeded`] for a run that exceeds its time limit, or the error of a simulation.
pub fn run(experiment: &Experiment, parameters: &RunParameters) -> Result<Report, CapacityError> {
    parameters.check()?;
    let sizes = parameters.selected_sizes(experiment)?;
    let deadline = Instant::now() + Duration::from_secs(parameters.time_limit_s);
    let mut report =
        Report::new(experiment.name, experiment.size_label, parameters.seed, parameters.repetitions);
    // Each repetition covers all sizes, so that a disturbance of the machine does not affect one size alone.
    for repetition in 0..parameters.repetitions {
        for &size in &sizes {
            if Instant::now() >= deadline {
                return Err(CapacityError::TimeLimitExceeded { seconds: parameters.time_limit_s, size });
            }
            let figures = (experiment.simulate)(size, parameters.seed + u64::from(repetition))?;
            report.add(size, &figures);
        }
    }
    report.fit();
    Ok(report)
}
