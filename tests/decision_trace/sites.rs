//! The settings that the sequences are played with.

use roselock::*;

pub const MILLISECOND: Micros = SECOND / 1000;

/// The settings that a sequence is played with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Site {
    /// One scheduler with all that is permitted.
    Single,
    /// The same, where nothing beyond one attempt at a time is permitted.
    Plain,
    /// Thirty schedulers with tenants, slow start and a budget for retries.
    Thirty,
    /// Three hundred schedulers that have to ask for the list, under a lease.
    Leased,
    /// The same with a list from before the start.
    Unconfirmed,
    /// Classes with idempotency keys of each scope.
    Keyed,
    /// Streams, no reports of a start, no cancellation.
    Streaming,
    /// Weights that fall as a worker holds more requests; memory counts.
    LiveUnits,
    /// The result counts its slow end; health checks are permitted.
    SlowEnd,
}

fn class(effect: Idempotency, promise: Micros) -> Class {
    Class {
        priority_weight: 1.0,
        late_answer_fraction: 0.4,
        latency_objective: promise,
        objective_per_work: 1.5,
        client_timeout: 6 * SECOND,
        idempotency: effect,
        streaming: false,
        kind: None,
    }
}

fn keyed(scope: KeyScope) -> Idempotency {
    Idempotency::IdempotencyKey { scope, window: 2 * SECOND }
}

fn permitted() -> Limits {
    Limits {
        cancel: true,
        health_checks_allowed: true,
        hedged_requests: false,
        max_attempts: 4,
        idle_timeout: 3 * SECOND,
        max_streams: 1,
        connect_timeout: SECOND / 4,
        retry_after: true,
        max_retry_after: 2 * SECOND,
    }
}

fn slow_start() -> Safety {
    Safety {
        answer_grace: 10 * MILLISECOND,
        poll_interval: 5 * SECOND,
        initial_capacity_fraction: 0.2,
        slow_start_window: 8 * SECOND,
        overload_multiple: 2.0,
        overload_window: SECOND,
        retry_budget: Some(RetryBudget { min_retries: 2.0, ratio: 0.2, window: 10 * SECOND }),
        drain_close_timeout: Some(SECOND),
        rejection_may_have_run: false,
    }
}

/// The settings of a site.
pub fn settings(site: Site) -> Settings {
    let mut heavy = class(Idempotency::Idempotent, SECOND);
    (heavy.priority_weight, heavy.kind) = (4.0, Some(KindId(1)));
    let mut late = class(Idempotency::NonIdempotent, SECOND / 5);
    late.late_answer_fraction = 0.0;
    let classes = vec![
        class(Idempotency::Idempotent, SECOND / 3),
        late,
        class(keyed(KeyScope::All), SECOND / 2),
        heavy,
    ];
    let mut set = Settings::new(classes);
    (set.tick, set.progress_interval, set.reports_start) = (2 * MILLISECOND, SECOND / 2, true);
    set.tenants = vec![Tenant { quota_per_s: 40.0 }, Tenant { quota_per_s: 4.0 }];
    set.over_quota_weight = 0.3;
    set.costs = Costs {
        cross_zone: 0.05,
        handshake: 0.02,
        origin_fetch: 0.1,
        wasted_work: 0.05,
        late_failure: 0.1,
        health_check: 0.001,
    };
    (set.limits, set.safety) = (permitted(), slow_start());
    match site {
        Site::Single => {
            set.limits.hedged_requests = true;
            set.safety.retry_budget = None;
            set.weighted_by_work = true;
        }
        Site::Plain => {
            (set.limits, set.safety) = (Limits::default(), Safety::default());
            (set.progress_interval, set.reports_start, set.tenants) = (0, false, Vec::new());
        }
        Site::Thirty => (set.fleet_size, set.instance_index) = (30, 7),
        Site::Leased | Site::Unconfirmed => {
            (set.fleet_size, set.instance_index) = (300, 211);
            (set.watch_required, set.list_lease_enabled, set.list_unconfirmed) =
                (true, true, site == Site::Unconfirmed);
        }
        Site::Keyed => {
            let scopes = [KeyScope::All, KeyScope::Zone, KeyScope::Cell];
            set.classes = scopes.map(|scope| class(keyed(scope), SECOND / 2)).to_vec();
            set.classes.push(class(Idempotency::NonIdempotent, SECOND / 2));
            (set.fleet_size, set.limits.hedged_requests) = (3, true);
        }
        Site::Streaming => {
            set.classes[0].streaming = true;
            (set.reports_start, set.progress_interval, set.limits.cancel) = (false, 0, false);
            (set.watch_required, set.fleet_size, set.safety.rejection_may_have_run) = (true, 2, true);
        }
        Site::LiveUnits => (set.units_fall_with_load, set.fleet_size, set.instance_index) = (true, 20, 19),
        Site::SlowEnd => {
            (set.tail_miss_fraction, set.fleet_size) = (Some(0.01), 5);
            set.limits.hedged_requests = true;
        }
    }
    set
}
