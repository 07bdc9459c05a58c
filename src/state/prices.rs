//! Prices of slots and memory along the look-ahead, and the history of columns that they are learned from.

use super::resources::{MEMORY, RESOURCES, SLOT};
use crate::api::Micros;
use std::collections::VecDeque;

/// Look-ahead of the prices, in ticks: longer runs are priced as if they ended there.
pub(crate) const HORIZON: usize = 16;
/// Length of the payoff window in ticks; its end is moved on by as much when it is reached.
pub(crate) const WINDOW: f64 = 256.0;
/// Columns kept, to span several turnovers of the capacity of a small fleet.
const HISTORY: usize = 64;

/// A figure for each resource and tick of the look-ahead.
pub(crate) type ResourceTimeline = [[f64; HORIZON]; 2];

/// Adds a column: `need` along `ticks` from tick `from` on.
pub(crate) fn add_column(timeline: &mut ResourceTimeline, need: [f64; 2], from: usize, ticks: f64) {
    for (row, need) in timeline.iter_mut().zip(need) {
        for (tick, sum) in row.iter_mut().enumerate().skip(from) {
            *sum += need * (ticks - (tick - from) as f64).clamp(0.0, 1.0);
        }
    }
}

/// A column of the history, relative to its start, so that it stands for a like job that starts at any tick.
pub(crate) struct HistoryColumn {
    /// Index of the worker.
    pub(crate) worker: usize,
    /// In mean priority weights.
    pub(crate) payoff: f64,
    /// Slots and memory units.
    pub(crate) need: [f64; 2],
    /// Length of the run.
    pub(crate) ticks: f64,
}

/// The prices at one worker, in mean priority weights for a unit and tick.
pub(crate) struct WorkerPrices {
    pub(crate) price: ResourceTimeline,
    /// Prefix sums of `price`.
    price_sums: [[f64; HORIZON + 1]; 2],
    /// Capacity left along the look-ahead, as of the last price update.
    pub(crate) residual: ResourceTimeline,
    /// Its use by the sampled columns.
    pub(crate) used: ResourceTimeline,
}

impl WorkerPrices {
    pub(crate) fn new(price: ResourceTimeline) -> WorkerPrices {
        let mut prices = WorkerPrices {
            price,
            price_sums: [[0.0; HORIZON + 1]; 2],
            residual: ResourceTimeline::default(),
            used: ResourceTimeline::default(),
        };
        prices.update_price_sums();
        prices
    }

    /// Whether any price is above 0.
    pub(crate) fn has_prices(&self) -> bool {
        self.price_sums.iter().any(|sums| sums[HORIZON] > 0.0)
    }

    /// Price of `need` along `ticks` from tick `from` on.
    pub(crate) fn column_cost(&self, need: [f64; 2], from: usize, ticks: f64) -> f64 {
        let slot_cost = need[SLOT] * self.unit_cost(SLOT, from, ticks);
        let memory_cost =
            if need[MEMORY] > 0.0 { need[MEMORY] * self.unit_cost(MEMORY, from, ticks) } else { 0.0 };
        slot_cost + memory_cost
    }

    /// Price of one unit of a resource along `ticks` from tick `from` on.
    fn unit_cost(&self, resource: usize, from: usize, ticks: f64) -> f64 {
        let end = (from as f64 + ticks).min(HORIZON as f64);
        let whole = end as usize;
        let part = end.fract();
        let tail = if part > 0.0 { part * self.price[resource][whole] } else { 0.0 };
        self.price_sums[resource][whole] + tail - self.price_sums[resource][from]
    }

    /// Drops past ticks; the far end starts from the price before it.
    pub(crate) fn advance(&mut self, ticks: usize) {
        for price in &mut self.price {
            price.rotate_left(ticks);
            let last = price[HORIZON - 1 - ticks];
            price[HORIZON - ticks..].fill(last);
        }
        self.update_price_sums();
    }

    /// To be called after each change of `price`.
    pub(crate) fn update_price_sums(&mut self) {
        for (price, sums) in self.price.iter().zip(self.price_sums.iter_mut()) {
            for tick in 0..HORIZON {
                sums[tick + 1] = sums[tick] + price[tick];
            }
        }
    }

    /// One projected gradient step, and the use by the sampled columns starts again from nothing. A gradient
    /// counts in shares of the worker's capacity, at most 1: otherwise a large backlog lets the residual's
    /// part vanish, and prices stay high over idle workers.
    pub(crate) fn take_gradient_step(&mut self, totals: [f64; 2], step: &GradientStep) {
        for resource in RESOURCES {
            let unit = step.expected_starts / totals[resource].max(1.0);
            for tick in 0..HORIZON {
                let supply = self.residual[resource][tick].max(0.0) / step.expected_starts;
                let gradient = supply - self.used[resource][tick] / step.columns;
                let change = step.rate * (gradient * unit).clamp(-1.0, 1.0);
                self.price[resource][tick] = (self.price[resource][tick] - change).max(0.0);
            }
        }
        self.used = ResourceTimeline::default();
        self.update_price_sums();
    }
}

/// What the price steps of one update have in common.
pub(crate) struct GradientStep {
    /// Starts expected within the look-ahead.
    pub(crate) expected_starts: f64,
    /// Columns sampled for each step.
    pub(crate) columns: f64,
    /// η, scaled to a tick.
    pub(crate) rate: f64,
}

/// The clock of the prices and the columns that they are learned from.
pub(crate) struct PriceState {
    /// The latest first.
    pub(crate) history: VecDeque<HistoryColumn>,
    /// Workers with a price above 0 or sampled columns, in the order of their indices.
    pub(crate) active_workers: Vec<usize>,
    /// Length of a tick in microseconds.
    pub(crate) tick: Micros,
    /// Number of the first tick of the look-ahead.
    pub(crate) first_tick: Micros,
    /// End T of the payoff window, as the number of a tick.
    pub(crate) window_end: f64,
    /// When the prices were last updated.
    pub(crate) updated_at: Micros,
}

impl PriceState {
    pub(crate) fn new(tick: Micros) -> PriceState {
        PriceState {
            history: VecDeque::new(),
            active_workers: Vec::new(),
            tick,
            first_tick: 0,
            window_end: 0.0,
            updated_at: 0,
        }
    }

    /// Starts the clock, with an update due at once.
    pub(crate) fn start(&mut self, now: Micros) {
        self.first_tick = now / self.tick;
        self.updated_at = now - self.tick;
        self.window_end = (now / self.tick) as f64 + WINDOW;
    }

    /// Moves on to the present tick; by how many ticks of the look-ahead.
    pub(crate) fn advance(&mut self, now: Micros) -> usize {
        let tick = now / self.tick;
        let passed = (tick - self.first_tick).clamp(0, HORIZON as Micros - 1) as usize;
        self.first_tick = tick;
        if tick as f64 >= self.window_end {
            self.window_end = tick as f64 + WINDOW;
        }
        passed
    }

    /// Whether half a tick has passed since the last update.
    pub(crate) fn update_is_due(&self, now: Micros) -> bool {
        now - self.updated_at >= self.tick / 2
    }

    /// Puts a column into the history.
    pub(crate) fn record(&mut self, column: Option<HistoryColumn>) {
        if let Some(column) = column {
            self.history.push_front(column);
        }
        self.history.truncate(HISTORY);
    }
}
