//! State of the decision logic: jobs, workers, estimates, prices and the endpoint list. Each module updates
//! its own state; decisions based on it are made in [`crate::decisions`].

pub(crate) mod capacity;
pub(crate) mod discovery;
pub(crate) mod estimates;
pub(crate) mod health;
pub(crate) mod jobs;
pub(crate) mod placement;
pub(crate) mod prices;
pub(crate) mod resources;
pub(crate) mod run_times;
pub(crate) mod sequence;
pub(crate) mod timers;
pub(crate) mod traffic;
pub(crate) mod workers;
