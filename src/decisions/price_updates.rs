//! Price updates by projected gradient steps on columns sampled from the history.

use crate::dispatcher::Dispatcher;
use crate::state::prices::{GradientStep, HORIZON_TICKS, ResourceTimeline, add_column};
use crate::state::resources::RESOURCES;
use std::collections::BTreeSet;

/// Columns sampled per gradient step.
const SAMPLE_SIZE: usize = 8;
/// Gradient steps per update. At this sample size they take a few microseconds.
const STEPS_PER_UPDATE: usize = 2;
/// Learning rate η, in mean priority weights per slot and tick: a price crosses its range in about a dozen
/// steps.
const LEARNING_RATE: f64 = 0.1;

/// A column of the history, assumed to start at some tick of the look-ahead.
struct SampledColumn {
    /// Index into the history.
    column: usize,
    start_tick: usize,
}

impl Dispatcher {
    /// Updates the prices by warm-started projected gradient steps p <- (p - eta (d - S/n))+. Sampled columns
    /// stand for future starts, each at a random tick of the look-ahead.
    pub(crate) fn update_prices(&mut self) {
        let passed = self.prices.advance(self.now);
        for &index in &self.prices.active_workers {
            self.workers[index].prices.advance(passed);
        }
        let columns = self.prices.history.len().min(SAMPLE_SIZE);
        let mut batches = Vec::with_capacity(STEPS_PER_UPDATE);
        for _ in 0..STEPS_PER_UPDATE {
            batches.push(self.draw_columns(columns));
        }
        self.select_active_workers(&batches);
        self.update_residual_capacity();
        let horizon = HORIZON_TICKS as f64 * self.prices.tick as f64;
        let arrivals = self.arrivals.recent_rate(self.now) * horizon;
        let step = GradientStep {
            expected_starts: (arrivals + self.jobs.waiting.len() as f64).max(1.0),
            columns: columns as f64,
            rate: LEARNING_RATE * self.prices.tick as f64 / self.mean_run_time(),
        };
        for batch in &batches {
            self.add_profitable_columns(batch);
            for &index in &self.prices.active_workers {
                let worker = &mut self.workers[index];
                let totals = worker.capacity.each_ref().map(|capacity| capacity.total);
                worker.prices.take_gradient_step(totals, &step);
            }
        }
    }

    /// Samples `count` distinct columns of the history, each at a random tick of the look-ahead.
    fn draw_columns(&mut self, count: usize) -> Vec<SampledColumn> {
        let length = self.prices.history.len();
        let mut order: Vec<usize> = (0..length).collect();
        let mut sampled = Vec::with_capacity(count);
        for position in 0..count {
            let drawn = self.rng.rand_range(position as u64..length as u64) as usize;
            order.swap(position, drawn);
            let start_tick = self.rng.rand_range(0..HORIZON_TICKS as u64) as usize;
            sampled.push(SampledColumn { column: order[position], start_tick });
        }
        sampled
    }

    /// Selects the workers to update: a price of 0 without a sampled column stays at 0, so the cost of an
    /// update depends only on the busy part of a large fleet.
    fn select_active_workers(&mut self, batches: &[Vec<SampledColumn>]) {
        let mut active = BTreeSet::new();
        for &index in &self.prices.active_workers {
            if self.workers[index].prices.has_prices() {
                active.insert(index);
            }
        }
        for sampled in batches.iter().flatten() {
            active.insert(self.prices.history[sampled.column].worker);
        }
        self.prices.active_workers = active.into_iter().collect();
    }

    /// Computes the capacity left on each active worker along the look-ahead, in whole slots. Own bookings
    /// are assumed to end when expected.
    fn update_residual_capacity(&mut self) {
        let mean_run_time = self.mean_run_time();
        for &index in &self.prices.active_workers {
            let worker = &mut self.workers[index];
            let is_available = if worker.ready && !worker.health.is_ejected() { 1.0 } else { 0.0 };
            let capacity =
                RESOURCES.map(|resource| worker.capacity[resource].current(self.now, mean_run_time).round());
            worker.prices.residual = capacity.map(|capacity| [is_available * capacity; HORIZON_TICKS]);
        }
        for job in self.jobs.by_id.values() {
            for attempt in job.attempts.iter().filter(|attempt| attempt.booked) {
                let start_offset = (attempt.started_at.unwrap_or(self.now) - self.now) as f64;
                let ticks = ((start_offset + attempt.expected_run) / self.prices.tick as f64).max(1.0);
                let residual: &mut ResourceTimeline = &mut self.workers[attempt.worker].prices.residual;
                add_column(residual, job.need.map(|need| -need), 0, ticks);
            }
        }
    }

    /// Adds each column of a batch whose payoff exceeds its cost to the use of its worker.
    fn add_profitable_columns(&mut self, batch: &[SampledColumn]) {
        for sampled in batch {
            let column = &self.prices.history[sampled.column];
            let prices = &mut self.workers[column.worker].prices;
            if column.payoff > prices.column_cost(column.need, sampled.start_tick, column.ticks) {
                add_column(&mut prices.used, column.need, sampled.start_tick, column.ticks);
            }
        }
    }
}

#[cfg(test)]
#[path = "price_updates_tests.rs"]
mod tests;
