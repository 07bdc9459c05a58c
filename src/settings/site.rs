//! [`Options`] translated into [`Settings`].

use super::ids_by_name::IdsByName;
use super::micros;
use super::options::{self, Lane, Options, WorkerReport};
use crate::api::{
    Class, Costs, DEFAULT_LIST_CALL_TIME, Idempotency, KeyScope, KindId, Limits, LoadReport, RetryBudget,
    Safety, Settings, Tenant, ZoneId,
};

/// Why [`Options`] can't be translated.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OptionsError {
    /// `effect` of a lane is none of the known words.
    #[error("lanes[].effect of {lane}: unknown {value:?}")]
    UnknownEffect {
        /// Name of the lane.
        lane: String,
        /// What stands there.
        value: String,
    },
    /// `keyScope` of a keyed lane is none of the known words.
    #[error("lanes[].keyScope of {lane}: unknown {value:?}")]
    UnknownKeyScope {
        /// Name of the lane.
        lane: String,
        /// What stands there.
        value: String,
    },
}

/// Which of a load report's generic figures hold a quantity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ReportFigures {
    in_x0: bool,
    in_x1: bool,
}

impl ReportFigures {
    /// The figures whose meaning contains this word.
    fn that_mean(word: &str, info: &options::FamilyInfo) -> ReportFigures {
        ReportFigures { in_x0: info.report_x0.contains(word), in_x1: info.report_x1.contains(word) }
    }

    /// The quantity in a report; `x0` has precedence.
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

/// Settings with the names that their ids stand for.
#[derive(Clone, Debug)]
pub struct Site {
    /// The settings of one scheduler.
    pub settings: Settings,
    /// Zones by id.
    pub zones: IdsByName,
    /// Machine kinds by id.
    pub kinds: IdsByName,
    /// Request classes by id.
    pub classes: IdsByName,
    /// Tenants by id.
    pub tenants: IdsByName,
    free_slots: ReportFigures,
    free_memory: ReportFigures,
}

impl Site {
    /// Whether the ids of classes, tenants, zones and kinds, and the figures of load reports, mean the same
    /// as in another site.
    #[must_use]
    pub fn has_same_names_as(&self, other: &Site) -> bool {
        self.classes == other.classes
            && self.tenants == other.tenants
            && self.zones == other.zones
            && self.kinds == other.kinds
            && self.free_slots == other.free_slots
            && self.free_memory == other.free_memory
    }

    /// The load report that the decisions use, by what the settings say that the figures mean.
    #[must_use]
    pub fn load_report(&self, report: &WorkerReport) -> LoadReport {
        LoadReport {
            free_slots: self.free_slots.read(report),
            free_memory: self.free_memory.read(report),
            delayed: true,
            utilization: report.util,
            service_time: report.latency_ms.map(|milliseconds| micros(milliseconds / 1e3)),
        }
    }
}

impl Options {
    /// Translates the options into settings. Their values aren't checked: [`Settings::check`] does that.
    ///
    /// # Errors
    /// Returns [`OptionsError`] if a lane has an unknown `effect` or `keyScope`.
    pub fn site(&self) -> Result<Site, OptionsError> {
        let mut zones = IdsByName::new(self.zones.clone());
        let zone = ZoneId(zones.id(&self.zone) as u16);
        let class_names = self.lanes.iter().map(|lane| lane.name.clone()).collect();
        let tenant_names = self.parties.iter().map(|party| party.name.clone()).collect();
        Ok(Site {
            settings: self.settings(zone)?,
            zones,
            kinds: IdsByName::new(self.kinds.clone()),
            classes: IdsByName::new(class_names),
            tenants: IdsByName::new(tenant_names),
            free_slots: ReportFigures::that_mean("slot", &self.family_info),
            free_memory: ReportFigures::that_mean("memory", &self.family_info),
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
            reports_start: self.family_info.tells_start,
            progress_interval: micros(self.family_info.progress_s),
            tick: micros(self.tick_s),
            limits: limits(&self.limits),
            costs: costs(&self.costs),
            safety: safety(&self.safety),
        })
    }

    /// The fleet's size; at least this scheduler's number plus one, if one is given at all: a scheduler that
    /// has a later number than the size allows shows that the size is out of date.
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
            latency_objective: micros(lane.promise_s),
            objective_per_work: lane.aim_stretch.or(family_stretch).unwrap_or(0.0),
            client_timeout: micros(lane.give_up_s),
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
            Ok(Idempotency::IdempotencyKey { scope, window: micros(lane.window_s) })
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
        idle_timeout: micros(limits.conn_idle_s),
        connect_timeout: micros(limits.connect_timeout_s),
        max_streams: limits.max_streams.unwrap_or(1),
        retry_after: limits.retry_after,
        max_retry_after: micros(limits.max_retry_after_s),
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
        window: micros(window_s),
    });
    Safety {
        answer_grace: micros(safety.grace_to_answer_s),
        poll_interval: micros(safety.ask_within_s),
        initial_capacity_fraction: safety.cold_share.unwrap_or(1.0),
        slow_start_window: micros(safety.cold_s),
        overload_multiple: safety.fall_multiple.unwrap_or(1.0),
        overload_window: micros(safety.fall_s),
        retry_budget,
        drain_close_timeout: safety.release_within_s.map(micros),
        rejection_may_have_run: safety.full_unproven,
    }
}
