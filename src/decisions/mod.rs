//! The decisions, one a file, as methods of [`crate::Dispatcher`].
//!
//! Bid-price control after "Online Linear Programming for Multi-Objective Routing in LLM Serving": payoff on
//! a worker less prices along the run is a margin; the highest positive ones are sent first, within the
//! residual capacity.

mod admission;
mod candidates;
mod endpoint_list;
mod final_answers;
mod load_shedding;
mod migration;
mod outliers;
mod overdue;
mod payoff;
mod price_updates;
mod progress;
mod release;
mod retries;
mod send;
mod send_guard;
mod slow_start;
mod snapshots;
