//! Estimators: a mean that decays with time, a mean over the latest samples, a log-normal distribution.

use crate::api::Micros;

/// How many samples the prior of a pooled mean counts as.
const PRIOR_SAMPLES: f64 = 2.0;
/// Age, in time constants, from which samples count for nothing: it spares the exponential.
const MAX_AGE: f64 = 10.0;
/// Least variance of a logarithm, so that equal samples don't make an estimate look exact.
const MIN_LOG_VARIANCE: f64 = 0.01;
/// Slope of the logistic curve that comes closest to the normal distribution.
const LOGISTIC_SLOPE: f64 = 1.7;

/// A weighted mean whose samples lose weight exponentially with their age. Time constants are in
/// microseconds.
#[derive(Clone, Default)]
pub(crate) struct DecayingMean {
    /// Sum of the weighted samples as of `updated_at`.
    sum: f64,
    /// Sum of the weights as of `updated_at`.
    pub(crate) weight: f64,
    updated_at: Micros,
}

impl DecayingMean {
    /// Share of the weight at the last update that is left now.
    fn retained(&self, now: Micros, time_constant: f64) -> f64 {
        let age = (now - self.updated_at).max(0) as f64 / time_constant;
        if self.weight == 0.0 || age > MAX_AGE { 0.0 } else { (-age).exp() }
    }

    /// Adds a sample.
    pub(crate) fn add(&mut self, sample: f64, weight: f64, now: Micros, time_constant: f64) {
        let retained = self.retained(now, time_constant);
        self.sum = self.sum * retained + sample * weight;
        self.weight = self.weight * retained + weight;
        self.updated_at = now;
    }

    /// The weight that is left now: of samples of weight 1 it is the count of recent ones.
    pub(crate) fn current_weight(&self, now: Micros, time_constant: f64) -> f64 {
        self.weight * self.retained(now, time_constant)
    }

    /// The mean, drawn towards `prior` the more the older the samples are.
    pub(crate) fn pooled(&self, prior: f64, now: Micros, time_constant: f64) -> f64 {
        let retained = self.retained(now, time_constant);
        (self.sum * retained + PRIOR_SAMPLES * prior) / (self.weight * retained + PRIOR_SAMPLES)
    }
}

/// A mean over about the latest samples.
#[derive(Default)]
pub(crate) struct RunningMean {
    /// The mean.
    pub(crate) mean: f64,
    /// Weight of the samples that it stands for.
    pub(crate) samples: f64,
}

impl RunningMean {
    /// Adds a sample; earlier ones keep a weight of `max_samples` at most.
    pub(crate) fn add(&mut self, sample: f64, weight: f64, max_samples: f64) {
        self.samples = (self.samples + weight).min(max_samples);
        self.mean += (sample - self.mean) * weight / self.samples.max(weight);
    }
}

/// A log-normal quantity, by the means of its logarithm and of the square of that.
pub(crate) struct LogNormalEstimate {
    log: RunningMean,
    log_square: RunningMean,
}

impl LogNormalEstimate {
    /// A first guess: a standard deviation of a factor of e around `median`.
    pub(crate) fn new(median: f64) -> LogNormalEstimate {
        let log = median.ln();
        LogNormalEstimate {
            log: RunningMean { mean: log, samples: 1.0 },
            log_square: RunningMean { mean: log * log + 1.0, samples: 1.0 },
        }
    }

    /// Adds a sample by its logarithm.
    pub(crate) fn add(&mut self, log: f64, weight: f64, max_samples: f64) {
        self.log.add(log, weight, max_samples);
        self.log_square.add(log * log, weight, max_samples);
    }

    /// Probability of a value below `limit`, with the logistic curve in place of the normal one.
    pub(crate) fn probability_below(&self, limit: f64) -> f64 {
        if limit <= 0.0 {
            return 0.0;
        }
        let variance = self.log_square.mean - self.log.mean * self.log.mean;
        let deviation = variance.max(MIN_LOG_VARIANCE).sqrt();
        1.0 / (1.0 + (-LOGISTIC_SLOPE * (limit.ln() - self.log.mean) / deviation).exp())
    }
}
