//! Validation of [`Settings`].
//!
//! Errors name the key in the operator's configuration (see [`crate::settings`]) rather than the Rust field.

use super::class::{Class, Idempotency};
use super::ids::Micros;
use super::limits::{Costs, Limits, RetryBudget, Safety};
use super::settings::Settings;

/// A setting whose value is out of range.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{field} {problem}")]
pub struct SettingsError {
    /// Key in the operator's configuration, such as `lanes[2].promiseS`.
    pub field: String,
    /// What is wrong with the value.
    pub problem: &'static str,
}

impl Settings {
    /// Checks that each value is within its range. [`Dispatcher::new`](crate::Dispatcher::new) calls this.
    ///
    /// # Errors
    /// Returns the first setting whose value is out of range.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_instance()?;
        check_limits(&self.limits)?;
        check_costs(&self.costs)?;
        check_safety(&self.safety)?;
        require_fraction("objectiveMix.missShare", self.tail_miss_fraction.unwrap_or(0.0))?;
        for (index, class) in self.classes.iter().enumerate() {
            check_class(index, class)?;
        }
        if let Some(budget) = &self.safety.retry_budget {
            check_retry_budget(budget)?;
        }
        for (index, tenant) in self.tenants.iter().enumerate() {
            require_non_negative(&format!("parties[{index}].quotaPerS"), tenant.quota_per_s)?;
        }
        Ok(())
    }

    fn check_instance(&self) -> Result<(), SettingsError> {
        require("fleetSize", self.fleet_size > 0, "must be at least 1")?;
        require("lanes", !self.classes.is_empty(), "must not be empty")?;
        require_fraction("overShareWorth", self.over_quota_weight)?;
        require_duration("familyInfo.progressS", self.progress_interval)?;
        // `list_call_ms` is a key of the dispatcher's own configuration, not one of the site's settings.
        require_duration("list_call_ms", self.list_call_time)?;
        let has_slots = self.initial_slots >= 1.0 && self.initial_slots.is_finite();
        // The dispatcher's own configuration sets it, not the site's settings.
        require("initial slots", has_slots, "must be at least 1")?;
        require("tickS", self.tick > 0, "must be above 0")
    }
}

fn check_limits(limits: &Limits) -> Result<(), SettingsError> {
    require("limits.sendCap", limits.max_attempts > 0, "must be at least 1")?;
    require_duration("limits.connIdleS", limits.idle_timeout)?;
    require("limits.maxStreams", limits.max_streams > 0, "must be at least 1")?;
    require_duration("limits.connectTimeoutS", limits.connect_timeout)?;
    require_duration("limits.maxRetryAfterS", limits.max_retry_after)
}

fn check_costs(costs: &Costs) -> Result<(), SettingsError> {
    require_non_negative("costs.crossZone", costs.cross_zone)?;
    require_non_negative("costs.handshake", costs.handshake)?;
    require_non_negative("costs.origin", costs.origin_fetch)?;
    require_non_negative("costs.waste", costs.wasted_work)?;
    require_non_negative("costs.lateFail", costs.late_failure)?;
    require_non_negative("costs.probe", costs.health_check)
}

/// Checks all safety parameters except the retry budget, which is checked after the classes.
fn check_safety(safety: &Safety) -> Result<(), SettingsError> {
    require_duration("safety.graceToAnswerS", safety.answer_grace)?;
    require_duration("safety.askWithinS", safety.poll_interval)?;
    require_fraction("safety.coldShare", safety.initial_capacity_fraction)?;
    require_duration("safety.coldS", safety.slow_start_window)?;
    require_non_negative("safety.fallMultiple", safety.overload_multiple)?;
    require_duration("safety.fallS", safety.overload_window)?;
    require_duration("safety.releaseWithinS", safety.drain_close_timeout.unwrap_or(0))
}

fn check_class(index: usize, class: &Class) -> Result<(), SettingsError> {
    let key = |name: &str| format!("lanes[{index}].{name}");
    require_non_negative(&key("worth"), class.priority_weight)?;
    require_fraction(&key("lateValue"), class.late_answer_fraction)?;
    require_duration(&key("promiseS"), class.latency_objective)?;
    let stretch_keys = format!("lanes[{index}].aimStretch or familyInfo.classStretch[{index}]");
    require_non_negative(&stretch_keys, class.objective_per_work)?;
    require_duration(&key("giveUpS"), class.client_timeout)?;
    if let Idempotency::IdempotencyKey { window, .. } = class.idempotency {
        require_duration(&key("windowS"), window)?;
    }
    Ok(())
}

fn check_retry_budget(budget: &RetryBudget) -> Result<(), SettingsError> {
    require_non_negative("safety.extraFloor", budget.min_retries)?;
    require_non_negative("safety.repeatRatio", budget.ratio)?;
    require_duration("safety.countedOverS", budget.window)
}

fn require(key: &str, is_valid: bool, problem: &'static str) -> Result<(), SettingsError> {
    if is_valid {
        return Ok(());
    }
    Err(SettingsError { field: key.to_owned(), problem })
}

fn require_non_negative(key: &str, value: f64) -> Result<(), SettingsError> {
    require(key, value.is_finite() && value >= 0.0, "must be a number of at least 0")
}

fn require_fraction(key: &str, value: f64) -> Result<(), SettingsError> {
    require(key, (0.0..=1.0).contains(&value), "must be between 0 and 1")
}

fn require_duration(key: &str, value: Micros) -> Result<(), SettingsError> {
    require(key, value >= 0, "must not be negative")
}
