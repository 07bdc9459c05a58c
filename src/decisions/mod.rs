//! The decisions, one per file, as methods of [`crate::Dispatcher`].
//!
//! Bid-price control as in the paper "Online Linear Programming for Multi-Objective Routing in LLM Serving":
//! the margin of a job at a worker is its payoff there minus the prices along its run. Jobs with the highest
//! positive margins are sent first, within the residual capacity.
//!
//! The rule numbers in comments are those of `tests/rules.rs`.

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
