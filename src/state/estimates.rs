//! Estimators: an exponentially decaying mean, a running mean and a log-normal distribution.

use crate::api::Micros;

/// Weight of the prior of a pooled mean, in samples.
const PRIOR_SAMPLES: f64 = 2.0;
/// Age beyond which samples have no weight, which saves computing the exponential.
const MAX_AGE_TIME_CONSTANTS: f64 = 10.0;
/// Lower bound of the variance of a logarithm, so that equal samples don't make an estimate look exact.
const MIN_LOG_VARIANCE: f64 = 0.01;
/// Slope of the logistic function that best approximates the normal distribution function.
const LOGISTIC_SLOPE: f64 = 1.7;

/// A weighted mean whose samples decay exponentially with their age. Time constants are in microseconds.
#[derive(Clone, Default)]
pub(crate) struct DecayingMean {
    /// Sum of the weighted samples as of `updated_at`.
    sum: f64,
    /// Sum of the weights as of `updated_at`.
    pub(crate) weight: f64,
    updated_at: Micros,
}

impl DecayingMean {
    /// Fraction of the weight at the last update that is left now.
    fn decay_factor(&self, now: Micros, time_constant: f64) -> f64 {
        let age = (now - self.updated_at).max(0) as f64 / time_constant;
        if self.weight == 0.0 || age > MAX_AGE_TIME_CONSTANTS { 0.0 } else { (-age).exp() }
    }

    /// Adds a sample.
    pub(crate) fn add(&mut self, sample: f64, weight: f64, now: Micros, time_constant: f64) {
        let decay = self.decay_factor(now, time_constant);
        self.sum = self.sum * decay + sample * weight;
        self.weight = self.weight * decay + weight;
        self.updated_at = now;
    }

    /// The weight that is left now. For samples of weight 1 it is the number of recent samples.
    pub(crate) fn current_weight(&self, now: Micros, time_constant: f64) -> f64 {
        self.weight * self.decay_factor(now, time_constant)
    }

    /// The mean, which shrinks towards `prior` as the samples age.
    pub(crate) fn pooled(&self, prior: f64, now: Micros, time_constant: f64) -> f64 {
        let decay = self.decay_factor(now, time_constant);
        (self.sum * decay + PRIOR_SAMPLES * prior) / (self.weight * decay + PRIOR_SAMPLES)
    }
}

/// A running mean in which the weight of earlier samples is bounded, so that it follows recent ones.
#[derive(Default)]
pub(crate) struct RunningMean {
    /// The mean.
    pub(crate) mean: f64,
    /// Total weight of the samples in the mean.
    pub(crate) samples: f64,
}

impl RunningMean {
    /// Adds a sample. The total weight is capped at `max_samples`.
    pub(crate) fn add(&mut self, sample: f64, weight: f64, max_samples: f64) {
        self.samples = (self.samples + weight).min(max_samples);
        self.mean += (sample - self.mean) * weight / self.samples.max(weight);
    }
}

/// Estimate of a log-normal distribution from the first two moments of the logarithm.
pub(crate) struct LogNormalEstimate {
    log: RunningMean,
    log_square: RunningMean,
}

impl LogNormalEstimate {
    /// The estimate before any sample: this median, and a standard deviation of 1 for the logarithm (a factor
    /// of e).
    pub(crate) fn new(median: f64) -> LogNormalEstimate {
        let log = median.ln();
        LogNormalEstimate {
            log: RunningMean { mean: log, samples: 1.0 },
            log_square: RunningMean { mean: log * log + 1.0, samples: 1.0 },
        }
    }

    /// Adds the logarithm of a sample.
    pub(crate) fn add(&mut self, log: f64, weight: f64, max_samples: f64) {
        self.log.add(log, weight, max_samples);
        self.log_square.add(log * log, weight, max_samples);
    }

    /// Probability of a value below `limit`, with the normal distribution function approximated by the
    /// logistic one.
    pub(crate) fn probability_below(&self, limit: f64) -> f64 {
        if limit <= 0.0 {
            return 0.0;
        }
        let variance = self.log_square.mean - self.log.mean * self.log.mean;
        let deviation = variance.max(MIN_LOG_VARIANCE).sqrt();
        1.0 / (1.0 + (-LOGISTIC_SLOPE * (limit.ln() - self.log.mean) / deviation).exp())
    }
}
