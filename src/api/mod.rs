//! The interface of the decision logic: its settings, input events and output actions. It holds data types
//! only, no code that decides.
//!
//! Times are microseconds ([`Micros`]) on the caller's clock, which may have any origin but must be
//! monotonic. Work is in seconds on a core of speed 1.
//!
//! The caller must report exactly one [`Event::AttemptEnded`] for each [`Action::Send`], cancelled or not,
//! and one [`Event::TimerFired`] for each [`Action::Timer`] (the timer of a job that has ended need not
//! fire). The dispatcher returns exactly one final answer ([`Action::Reject`] or [`Action::Fail`]) for each
//! [`Event::JobArrived`], unless an attempt ended with `concluded` set, its stream was accepted, or the
//! client disconnected.

mod action;
mod class;
mod endpoint;
mod event;
mod ids;
mod limits;
mod settings;
mod settings_check;

pub use action::Action;
pub use class::{Class, Idempotency, KeyScope, Tenant};
pub use endpoint::{Endpoint, EndpointState, ListMode, LoadReport};
pub use event::{AttemptUpdate, Event, JobRequest, Outcome};
pub use ids::{CellId, ClassId, JobId, KeyId, KindId, Micros, SECOND, TenantId, WorkerId, ZoneId};
pub use limits::{Costs, Limits, RetryBudget, Safety};
pub use roselock_discovery_client::poll_schedule::{WatchEnd, WatchEndReason};
pub use settings::{DEFAULT_INITIAL_SLOTS, DEFAULT_LIST_CALL_TIME, Settings};
pub use settings_check::SettingsError;
