//! Prices of slots and memory over the horizon, and the history of columns from which they are learned.

use super::resources::{MEMORY, RESOURCES, SLOT};
use crate::api::Micros;
use std::collections::VecDeque;

/// Price horizon in ticks. Longer runs are priced as if they ended there.
pub(crate) const HORIZON_TICKS: usize = 16;
/// Length of the payoff window in ticks. When its end is reached, a new window of this length begins.
pub(crate) const PAYOFF_WINDOW_TICKS: f64 = 256.0;
/// Number of columns kept, enough to span several turnovers of the capacity of a small fleet.
const MAX_HISTORY_COLUMNS: usize = 64;

/// A value per resource and tick of the horizon.
pub(crate) type ResourceTimeline = [[f64; HORIZON_TICKS]; 2];

/// Adds a column to a timeline: `need` for `ticks` ticks, starting at tick `from`.
pub(crate) fn add_column(timeline: &mut ResourceTimeline, need: [f64; 2], from: usize, ticks: f64) {
    for (row, need) in timeline.iter_mut().zip(need) {
        for (tick, sum) in row.iter_mut().enumerate().skip(from) {
            *sum += need * (ticks - (tick - from) as f64).clamp(0.0, 1.0);
        }
    }
}

/// A column of the history. It is relative to its start and so represents a similar job that starts at any
/// tick.
pub(crate) struct HistoryColumn {
    /// Index of the worker.
    pub(crate) worker: usize,
    /// Payoff in mean priority weights.
    pub(crate) payoff: f64,
    /// Required slots and memory units.
    pub(crate) need: [f64; 2],
    /// Run time in ticks.
    pub(crate) ticks: f64,
}

/// The prices at one worker, in mean priority weights per resource unit and tick.
pub(crate) struct WorkerPrices {
    pub(crate) price: ResourceTimeline,
    /// Prefix sums of `price`.
    price_sums: [[f64; HORIZON_TICKS + 1]; 2],
    /// Residual capacity over the horizon, as of the last price update.
    pub(crate) residual: ResourceTimeline,
    /// Demand of the sampled columns since the last gradient step.
    pub(crate) used: ResourceTimeline,
}

impl WorkerPrices {
    pub(crate) fn new(price: ResourceTimeline) -> WorkerPrices {
        let mut prices = WorkerPrices {
            price,
            price_sums: [[0.0; HORIZON_TICKS + 1]; 2],
            residual: ResourceTimeline::default(),
            used: ResourceTimeline::default(),
        };
        prices.update_price_sums();
        prices
    }

    /// Whether any price is above 0.
    pub(crate) fn has_prices(&self) -> bool {
        self.price_sums.iter().any(|sums| sums[HORIZON_TICKS] > 0.0)
    }

    /// Price of `need` for `ticks` ticks, starting at tick `from`.
    pub(crate) fn column_cost(&self, need: [f64; 2], from: usize, ticks: f64) -> f64 {
        let slot_cost = need[SLOT] * self.unit_cost(SLOT, from, ticks);
        let memory_cost =
            if need[MEMORY] > 0.0 { need[MEMORY] * self.unit_cost(MEMORY, from, ticks) } else { 0.0 };
        slot_cost + memory_cost
    }

    /// Price of one unit of a resource for `ticks` ticks, starting at tick `from`.
    fn unit_cost(&self, resource: usize, from: usize, ticks: f64) -> f64 {
        let end = (from as f64 + ticks).min(HORIZON_TICKS as f64);
        let whole_ticks = end as usize;
        let fraction = end.fract();
        let last_tick = if fraction > 0.0 { fraction * self.price[resource][whole_ticks] } else { 0.0 };
        self.price_sums[resource][whole_ticks] + last_tick - self.price_sums[resource][from]
    }

    /// Drops the prices of past ticks, and fills the end of the horizon with the last known price.
    pub(crate) fn advance(&mut self, ticks: usize) {
        for price in &mut self.price {
            price.rotate_left(ticks);
            let last = price[HORIZON_TICKS - 1 - ticks];
            price[HORIZON_TICKS - ticks..].fill(last);
        }
        self.update_price_sums();
    }

    /// Recomputes the prefix sums; required after each change of `price`.
    pub(crate) fn update_price_sums(&mut self) {
        for (price, sums) in self.price.iter().zip(self.price_sums.iter_mut()) {
            for tick in 0..HORIZON_TICKS {
                sums[tick + 1] = sums[tick] + price[tick];
            }
        }
    }

    /// Takes one projected gradient step and resets the demand of the sampled columns. The gradient is scaled
    /// to the worker's capacity and clamped to ±1; otherwise a large backlog would make the residual's share
    /// vanish, and prices would stay high at idle workers.
    pub(crate) fn take_gradient_step(&mut self, totals: [f64; 2], step: &GradientStep) {
        for resource in RESOURCES {
            let unit = step.expected_starts / totals[resource].max(1.0);
            for tick in 0..HORIZON_TICKS {
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

/// Parameters shared by the gradient steps of one price update.
pub(crate) struct GradientStep {
    /// Expected number of starts within the horizon.
    pub(crate) expected_starts: f64,
    /// Number of columns sampled per step.
    pub(crate) columns: f64,
    /// Learning rate η, scaled to a tick.
    pub(crate) rate: f64,
}

/// Timing of the price updates, and the columns from which prices are learned.
pub(crate) struct PriceState {
    /// The latest columns, newest first.
    pub(crate) history: VecDeque<HistoryColumn>,
    /// Sorted indices of the workers that have a price above 0 or sampled columns.
    pub(crate) active_workers: Vec<usize>,
    /// Length of a tick in microseconds.
    pub(crate) tick: Micros,
    /// Number of the first tick of the horizon.
    pub(crate) first_tick: Micros,
    /// End T of the payoff window, as a tick number.
    pub(crate) window_end: f64,
    /// Time of the last price update.
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

    /// Initializes the times. The first update is due immediately.
    pub(crate) fn start(&mut self, now: Micros) {
        self.first_tick = now / self.tick;
        self.updated_at = now - self.tick;
        self.window_end = (now / self.tick) as f64 + PAYOFF_WINDOW_TICKS;
    }

    /// Advances to the current tick; returns the number of ticks of the horizon that have passed.
    pub(crate) fn advance(&mut self, now: Micros) -> usize {
        let tick = now / self.tick;
        let passed = (tick - self.first_tick).clamp(0, HORIZON_TICKS as Micros - 1) as usize;
        self.first_tick = tick;
        if tick as f64 >= self.window_end {
            self.window_end = tick as f64 + PAYOFF_WINDOW_TICKS;
        }
        passed
    }

    /// Whether at least half a tick has passed since the last update.
    pub(crate) fn update_is_due(&self, now: Micros) -> bool {
        now - self.updated_at >= self.tick / 2
    }

    /// Adds a column, if there is one, to the history.
    pub(crate) fn record(&mut self, column: Option<HistoryColumn>) {
        if let Some(column) = column {
            self.history.push_front(column);
        }
        self.history.truncate(MAX_HISTORY_COLUMNS);
    }
}
