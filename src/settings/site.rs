//! Conversion of [`Options`] into [`Settings`].

use super::ids_by_name::IdsByName;
use super::micros_from_seconds;
use super::options::{self, Lane, Options, WorkerReport};
use crate::api::{
    Class, Costs, DEFAULT_INITIAL_SLOTS, DEFAULT_LIST_CALL_TIME, Idempotency, KeyScope, KindId, Limits,
    LoadReport, RetryBudget, Safety, Settings, Tenant, ZoneId,
};

/// The reason why [`Options`] cannot be converted into [`Settings`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OptionsError {
    /// `effect` of a lane is not one of the supported values.
    #[error("lanes[].effect of {lane}: unknown value {value:?}")]
    UnknownEffect {
        /// Name of the lane.
        lane: String,
        /// The unknown value.
        value: String,
    },
    /// `keyScope` of a keyed lane is not one of the supported values.
    #[error("lanes[].keyScope of {lane}: unknown value {value:?}")]
    UnknownKeyScope {
        /// Name of the lane.
        lane: String,
        /// The unknown value.
        value: String,
    },
}

/// Which of the generic fields of a load report hold a given quantity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReportFields {
    in_x0: bool,
    in_x1: bool,
}

impl ReportFields {
    /// The fields whose description contains this word.
    fn described_as(word: &str, info: &options::FamilyInfo) -> ReportFields {
        ReportFields { in_x0: info.report_x0.contains(word), in_x1: info.report_x1.contains(word) }
    }

    /// Reads the quantity from a report; `x0` takes precedence.
    fn read(self, report: &WorkerReport) -> Option<f64> {
        if self.in_x0 {
            report.x0
        } else if self.in_x1 {
            report.x1
        } else {
            None
        }
    }
}

/// Settings together with the names behind their ids.
#[derive(Clone, Debug)]
pub struct Site {
    /// The settings of one dispatcher.
    pub settings: Settings,
    /// Ids of the zones.
    pub zones: IdsByName,
    /// Ids of the machine kinds.
    pub kinds: IdsByName,
    /// Ids of the request classes.
    pub classes: IdsByName,
    /// Ids of the tenants.
    pub tenants: IdsByName,
    free_slots: ReportFields,
    free_memory: ReportFields,
}

impl Site {
    /// Whether the ids of classes, tenants, zones and kinds, and the fields of load reports, have the same
    /// meaning as in another site.
    #[must_use]
    pub fn has_same_names_as(&self, other: &Site) -> bool {
        self.classes == other.classes
            && self.tenants == other.tenants
            && self.zones == other.zones
            && self.kinds == other.kinds
            && self.free_slots == other.free_slots
            && self.free_memory == other.free_memory
    }

    /// Converts a worker's report, whose generic fields have the meaning given in the settings.
    #[must_use]
    pub fn load_report(&self, report: &WorkerReport) -> LoadReport {
        LoadReport {
            free_slots: self.free_slots.read(report),
            free_memory: self.free_memory.read(report),
            delayed: true,
            utilization: report.util,
            service_time: report.latency_ms.map(|milliseconds| micros_from_seconds(milliseconds / 1e3)),
        }
    }
}

impl Options {
    /// Converts the options into settings without checking their ranges, which [`Settings::check`] does.
    ///
    /// # Errors
    /// Returns [`OptionsError`] if a lane has an unknown `effect` or `keyScope`.
    pub fn site(&self) -> Result<Site, OptionsError> {
        let mut zones = IdsByName::new(self.zones.clone());
        let zone = ZoneId(zones.get_or_insert(&self.zone) as u16);
        let class_names = self.lanes.iter().map(|lane| lane.name.clone()).collect();
        let tenant_names = self.parties.iter().map(|party| party.name.clone()).collect();
        Ok(Site {
            settings: self.settings(zone)?,
            zones,
            kinds: IdsByName::new(self.kinds.clone()),
            classes: IdsByName::new(class_names),
            tenants: IdsByName::new(tenant_names),
            free_slots: ReportFields::described_as("slot", &self.family_info),
            free_memory: ReportFields::described_as("memory", &self.family_info),
        })
    }

    fn settings(&self, zone: ZoneId) -> Result<Settings, OptionsError> {
        let mut classes = Vec::new();
        for (index, lane) in self.lanes.iter().enumerate() {
            classes.push(self.class(index, lane)?);
        }
        Ok(Settings {
            fleet_size: self.effective_fleet_size(),
            instance_index: self.me,
            zone,
            classes,
            tenants: self.parties.iter().map(|party| Tenant { quota_per_s: party.quota_per_s }).collect(),
            weighted_by_work: self.counted_by == "work",
            over_quota_weight: self.over_share_worth.unwrap_or(1.0),
            tail_miss_fraction: self.objective_mix.miss_share.filter(|_| self.objective_mix.slow_end > 0.0),
            watch_required: self.discovery == "subscribe",
            list_lease_enabled: false,
            list_call_time: DEFAULT_LIST_CALL_TIME,
            list_unconfirmed: false,
            units_fall_with_load: self.weight_kind == "live",
            initial_slots: DEFAULT_INITIAL_SLOTS,
            reports_start: self.family_info.tells_start,
            progress_interval: micros_from_seconds(self.family_info.progress_s),
            tick: micros_from_seconds(self.tick_s),
            limits: limits(&self.limits),
            costs: costs(&self.costs),
            safety: safety(&self.safety),
        })
    }

    /// The fleet size, raised to this dispatcher's index plus one if needed: an index beyond the stated
    /// size shows that the size is out of date. A size of 0 (not stated) is left for the check to report.
    fn effective_fleet_size(&self) -> u32 {
        if self.fleet_size == 0 {
            return 0;
        }
        self.fleet_size.max(self.me.saturating_add(1))
    }

    fn class(&self, index: usize, lane: &Lane) -> Result<Class, OptionsError> {
        let info = &self.family_info;
        let family_stretch = info.class_stretch.get(index).copied();
        let required_kind = info.class_kind.get(index).and_then(|kind| u16::try_from(*kind).ok());
        Ok(Class {
            priority_weight: lane.worth,
            late_answer_fraction: lane.late_value,
            latency_objective: micros_from_seconds(lane.promise_s),
            objective_per_work: lane.aim_stretch.or(family_stretch).unwrap_or(0.0),
            client_timeout: micros_from_seconds(lane.give_up_s),
            idempotency: idempotency(lane)?,
            streaming: lane.streaming,
            kind: required_kind.map(KindId),
        })
    }
}

fn idempotency(lane: &Lane) -> Result<Idempotency, OptionsError> {
    match lane.effect.as_str() {
        "safe" => Ok(Idempotency::Idempotent),
        "unsafe" => Ok(Idempotency::NonIdempotent),
        "keyed" => {
            let scope = key_scope(lane)?;
            Ok(Idempotency::IdempotencyKey { scope, window: micros_from_seconds(lane.window_s) })
        }
        other => Err(OptionsError::UnknownEffect { lane: lane.name.clone(), value: other.to_owned() }),
    }
}

fn key_scope(lane: &Lane) -> Result<KeyScope, OptionsError> {
    match lane.key_scope.as_str() {
        "all" => Ok(KeyScope::All),
        "zone" => Ok(KeyScope::Zone),
        "cell" => Ok(KeyScope::Cell),
        other => Err(OptionsError::UnknownKeyScope { lane: lane.name.clone(), value: other.to_owned() }),
    }
}

fn limits(limits: &options::Limits) -> Limits {
    Limits {
        cancel: limits.cancel,
        health_checks_allowed: limits.may_probe,
        hedged_requests: limits.second_copies,
        max_attempts: limits.send_cap.unwrap_or(1),
        idle_timeout: micros_from_seconds(limits.conn_idle_s),
        connect_timeout: micros_from_seconds(limits.connect_timeout_s),
        max_streams: limits.max_streams.unwrap_or(1),
        retry_after: limits.retry_after,
        max_retry_after: micros_from_seconds(limits.max_retry_after_s),
    }
}

fn costs(costs: &options::Costs) -> Costs {
    Costs {
        cross_zone: costs.cross_zone,
        handshake: costs.handshake,
        origin_fetch: costs.origin,
        wasted_work: costs.waste,
        late_failure: costs.late_fail,
        health_check: costs.probe,
    }
}

fn safety(safety: &options::Safety) -> Safety {
    let retry_budget = safety.counted_over_s.map(|window_s| RetryBudget {
        min_retries: safety.extra_floor.unwrap_or(0.0),
        ratio: safety.repeat_ratio.unwrap_or(0.0),
        window: micros_from_seconds(window_s),
    });
    Safety {
        answer_grace: micros_from_seconds(safety.grace_to_answer_s),
        poll_interval: micros_from_seconds(safety.ask_within_s),
        initial_capacity_fraction: safety.cold_share.unwrap_or(1.0),
        slow_start_window: micros_from_seconds(safety.cold_s),
        overload_multiple: safety.fall_multiple.unwrap_or(1.0),
        overload_window: micros_from_seconds(safety.fall_s),
        retry_budget,
        drain_close_timeout: safety.release_within_s.map(micros_from_seconds),
        rejection_may_have_run: safety.full_unproven,
    }
}
