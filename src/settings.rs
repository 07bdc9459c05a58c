//! A site's settings as they stand in JSON, the same on the simulator's wire and in a dispatcher's configuration.

use crate::api::{
    Class, Costs as Prices, DEFAULT_LIST_CALL_TIME, Idempotency, KeyScope, KindId, Limits as Permits, Micros,
    RetryBudget, SECOND, Safety as Rules, Settings, Tenant, ZoneId,
};
use serde::Deserialize;
use serde::de::Deserializer;

/// A value that is absent, null or of use; null reads as the default.
fn or_default<'de, D: Deserializer<'de>, T: Default + Deserialize<'de>>(d: D) -> Result<T, D::Error> {
    Ok(Option::<T>::deserialize(d)?.unwrap_or_default())
}

macro_rules! objects {
    ($($name:ident { $($field:ident: $kind:ty),* $(,)? })*) => {$(
        /// As on the wire; the names say it.
        #[derive(Clone, Debug, Default, Deserialize)]
        #[serde(rename_all = "camelCase", default)]
        #[allow(missing_docs)]
        pub struct $name { $(#[serde(deserialize_with = "or_default")] pub $field: $kind),* }
    )*};
}

objects! {
    Options {
        fleet_size: u32,
        me: u32,
        zone: String,
        zones: Vec<String>,
        kinds: Vec<String>,
        lanes: Vec<Lane>,
        parties: Vec<Party>,
        counted_by: String,
        over_share_worth: Option<f64>,
        discovery: String,
        weight_kind: String,
        tick_s: f64,
        limits: Limits,
        costs: Costs,
        safety: Safety,
        objective_mix: ObjectiveMix,
        family_info: FamilyInfo,
    }
    Lane {
        name: String,
        worth: f64,
        late_value: f64,
        promise_s: f64,
        give_up_s: f64,
        aim_stretch: Option<f64>,
        effect: String,
        key_scope: String,
        window_s: f64,
        streaming: bool,
    }
    Party { name: String, quota_per_s: f64 }
    Limits {
        cancel: bool,
        may_probe: bool,
        second_copies: bool,
        send_cap: Option<u32>,
        conn_idle_s: f64,
        connect_timeout_s: f64,
        max_streams: Option<u32>,
        retry_after: bool,
        max_retry_after_s: f64,
    }
    Costs { cross_zone: f64, handshake: f64, origin: f64, waste: f64, late_fail: f64, probe: f64 }
    Safety {
        grace_to_answer_s: f64,
        ask_within_s: f64,
        cold_share: Option<f64>,
        cold_s: f64,
        fall_multiple: Option<f64>,
        fall_s: f64,
        extra_floor: Option<f64>,
        repeat_ratio: Option<f64>,
        counted_over_s: Option<f64>,
        release_within_s: Option<f64>,
        full_unproven: bool,
    }
    ObjectiveMix { slow_end: f64, miss_share: Option<f64> }
    FamilyInfo {
        class_kind: Vec<i64>,
        class_stretch: Vec<f64>,
        progress_s: f64,
        tells_start: bool,
        report_x0: String,
        report_x1: String,
    }
    WorkerReport {
        util: Option<f64>,
        latency_ms: Option<f64>,
        x0: Option<f64>,
        x1: Option<f64>,
    }
}

/// Seconds on the wire to microseconds.
pub fn micros(seconds: f64) -> Micros {
    (seconds * SECOND as f64).round() as Micros
}

/// Numbers for names, in the order of their first appearance. A site has few of each kind: a scan is quickest.
#[derive(Clone, Debug, Default)]
pub struct Names(Vec<String>);

impl Names {
    /// The number of a name, a new one if need be.
    pub fn id(&mut self, name: &str) -> u32 {
        self.known(name).unwrap_or_else(|| {
            self.0.push(name.to_owned());
            self.0.len() as u32 - 1
        })
    }
    /// All names, by number.
    pub fn names(&self) -> &[String] {
        &self.0
    }
    /// The number of a name met before.
    pub fn known(&self, name: &str) -> Option<u32> {
        self.0.iter().position(|n| n == name).map(|i| i as u32)
    }
}

/// FNV-1a: the same number for the same key in every process.
pub fn fnv(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}

/// Settings with the names that their numbers stand for.
#[derive(Clone, Debug)]
pub struct Site {
    /// What an instance is told.
    pub settings: Settings,
    /// Zones by number.
    pub zones: Names,
    /// Machine kinds by number.
    pub kinds: Names,
    /// Request classes by number.
    pub classes: Names,
    /// Tenants by number.
    pub tenants: Names,
    slots_in: [bool; 2],
    memory_in: [bool; 2],
}

impl Site {
    /// Whether the numbers of classes, tenants, zones and kinds, and the figures of reports, mean the same as in another
    /// site.
    pub fn has_same_names_as(&self, other: &Site) -> bool {
        let names = |s: &Site| [&s.classes, &s.tenants, &s.zones, &s.kinds].map(|n| n.0.clone());
        let reports = |s: &Site| [s.slots_in, s.memory_in];
        names(self) == names(other) && reports(self) == reports(other)
    }
    /// The figures of a report that the decisions use, by what the settings say they mean.
    pub fn load_report(&self, g: &self::WorkerReport) -> crate::LoadReport {
        let pick = |which: [bool; 2]| {
            if which[0] {
                g.x0
            } else if which[1] {
                g.x1
            } else {
                None
            }
        };
        crate::LoadReport {
            free_slots: pick(self.slots_in),
            free_memory: pick(self.memory_in),
            delayed: true,
            utilization: g.util,
            service_time: g.latency_ms.map(|ms| micros(ms / 1e3)),
        }
    }
}

fn effect(lane: &Lane) -> Result<Idempotency, String> {
    Ok(match lane.effect.as_str() {
        "safe" => Idempotency::Idempotent,
        "unsafe" => Idempotency::NonIdempotent,
        "keyed" => Idempotency::IdempotencyKey {
            scope: match lane.key_scope.as_str() {
                "all" => KeyScope::All,
                "zone" => KeyScope::Zone,
                "cell" => KeyScope::Cell,
                other => return Err(format!("lanes[].keyScope of {}: unknown {other:?}", lane.name)),
            },
            window: micros(lane.window_s),
        },
        other => return Err(format!("lanes[].effect of {}: unknown {other:?}", lane.name)),
    })
}

impl Options {
    /// The settings proper, or what is wrong with them.
    pub fn site(&self) -> Result<Site, String> {
        let (mut zones, kinds) = (Names(self.zones.clone()), Names(self.kinds.clone()));
        let class_names: Vec<String> = self.lanes.iter().map(|l| l.name.clone()).collect();
        let tenant_names: Vec<String> = self.parties.iter().map(|p| p.name.clone()).collect();
        let info = &self.family_info;
        let mut classes = Vec::new();
        for (i, lane) in self.lanes.iter().enumerate() {
            classes.push(Class {
                priority_weight: lane.worth,
                late_answer_fraction: lane.late_value,
                latency_objective: micros(lane.promise_s),
                objective_per_work: lane.aim_stretch.or(info.class_stretch.get(i).copied()).unwrap_or(0.0),
                client_timeout: micros(lane.give_up_s),
                idempotency: effect(lane)?,
                streaming: lane.streaming,
                kind: info.class_kind.get(i).and_then(|k| u16::try_from(*k).ok()).map(KindId),
            });
        }
        let settings = Settings {
            // Who has a later number than told knows that there are more, at least.
            fleet_size: if self.fleet_size > 0 { self.fleet_size.max(self.me.saturating_add(1)) } else { 0 },
            instance_index: self.me,
            zone: ZoneId(zones.id(&self.zone) as u16),
            classes,
            tenants: self.parties.iter().map(|p| Tenant { quota_per_s: p.quota_per_s }).collect(),
            weighted_by_work: self.counted_by == "work",
            over_quota_weight: self.over_share_worth.unwrap_or(1.0),
            tail_miss_fraction: self.objective_mix.miss_share.filter(|_| self.objective_mix.slow_end > 0.0),
            watch_required: self.discovery == "subscribe",
            list_lease_enabled: false,
            list_call_time: DEFAULT_LIST_CALL_TIME,
            list_unconfirmed: false,
            units_fall_with_load: self.weight_kind == "live",
            reports_start: info.tells_start,
            progress_interval: micros(info.progress_s),
            tick: micros(self.tick_s),
            limits: Permits {
                cancel: self.limits.cancel,
                health_checks_allowed: self.limits.may_probe,
                hedged_requests: self.limits.second_copies,
                max_attempts: self.limits.send_cap.unwrap_or(1),
                idle_timeout: micros(self.limits.conn_idle_s),
                connect_timeout: micros(self.limits.connect_timeout_s),
                max_streams: self.limits.max_streams.unwrap_or(1),
                retry_after: self.limits.retry_after,
                max_retry_after: micros(self.limits.max_retry_after_s),
            },
            costs: Prices {
                cross_zone: self.costs.cross_zone,
                handshake: self.costs.handshake,
                origin_fetch: self.costs.origin,
                wasted_work: self.costs.waste,
                late_failure: self.costs.late_fail,
                health_check: self.costs.probe,
            },
            safety: Rules {
                answer_grace: micros(self.safety.grace_to_answer_s),
                poll_interval: micros(self.safety.ask_within_s),
                initial_capacity_fraction: self.safety.cold_share.unwrap_or(1.0),
                slow_start_window: micros(self.safety.cold_s),
                overload_multiple: self.safety.fall_multiple.unwrap_or(1.0),
                overload_window: micros(self.safety.fall_s),
                retry_budget: self.safety.counted_over_s.map(|over| RetryBudget {
                    min_retries: self.safety.extra_floor.unwrap_or(0.0),
                    ratio: self.safety.repeat_ratio.unwrap_or(0.0),
                    window: micros(over),
                }),
                drain_close_timeout: self.safety.release_within_s.map(micros),
                rejection_may_have_run: self.safety.full_unproven,
            },
        };
        let means = |text: &str| [info.report_x0.contains(text), info.report_x1.contains(text)];
        Ok(Site {
            settings,
            zones,
            kinds,
            classes: Names(class_names),
            tenants: Names(tenant_names),
            slots_in: means("slot"),
            memory_in: means("memory"),
        })
    }
}
