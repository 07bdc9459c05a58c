//! Settings for the event sequences of the decision trace.

use roselock::*;

pub const MILLISECOND: Micros = SECOND / 1000;

/// A combination of settings that a sequence runs with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// One dispatcher whose limits permit everything, hedged requests included, without a retry budget.
    SingleScheduler,
    /// One dispatcher with the default limits, which permit a single attempt of each request, and no reports or
    /// tenants.
    SingleAttempt,
    /// Thirty dispatchers with tenants, slow start and a retry budget.
    ThirtySchedulers,
    /// Three hundred dispatchers that must call the discovery service and hold the endpoint list under a lease.
    ListLease,
    /// Like `ListLease`, with an endpoint list that the discovery service has not confirmed yet.
    UnconfirmedList,
    /// Classes with idempotency keys of each scope.
    IdempotencyKeys,
    /// A streaming class, without start or progress reports and without cancellation.
    Streaming,
    /// Units that fall as a worker has more requests in flight.
    UnitsFallWithLoad,
    /// Tail latency is scored and hedged requests are permitted.
    TailLatency,
}

fn class(idempotency: Idempotency, latency_objective: Micros) -> Class {
    Class {
        priority_weight: 1.0,
        late_answer_fraction: 0.4,
        latency_objective,
        objective_per_work: 1.5,
        client_timeout: 6 * SECOND,
        idempotency,
        streaming: false,
        kind: None,
    }
}

fn keyed_idempotency(scope: KeyScope) -> Idempotency {
    Idempotency::IdempotencyKey { scope, window: 2 * SECOND }
}

fn permissive_limits() -> Limits {
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

fn slow_start_safety() -> Safety {
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

pub fn settings(scenario: Scenario) -> Settings {
    let mut heavy = class(Idempotency::Idempotent, SECOND);
    (heavy.priority_weight, heavy.kind) = (4.0, Some(KindId(1)));
    let mut no_late_value = class(Idempotency::NonIdempotent, SECOND / 5);
    no_late_value.late_answer_fraction = 0.0;
    let classes = vec![
        class(Idempotency::Idempotent, SECOND / 3),
        no_late_value,
        class(keyed_idempotency(KeyScope::All), SECOND / 2),
        heavy,
    ];
    let mut settings = Settings::new(classes);
    (settings.tick, settings.progress_interval, settings.reports_start) = (2 * MILLISECOND, SECOND / 2, true);
    settings.tenants = vec![Tenant { quota_per_s: 40.0 }, Tenant { quota_per_s: 4.0 }];
    settings.over_quota_weight = 0.3;
    settings.costs = Costs {
        cross_zone: 0.05,
        handshake: 0.02,
        origin_fetch: 0.1,
        wasted_work: 0.05,
        late_failure: 0.1,
        health_check: 0.001,
    };
    (settings.limits, settings.safety) = (permissive_limits(), slow_start_safety());
    match scenario {
        Scenario::SingleScheduler => {
            settings.limits.hedged_requests = true;
            settings.safety.retry_budget = None;
            settings.weighted_by_work = true;
        }
        Scenario::SingleAttempt => {
            (settings.limits, settings.safety) = (Limits::default(), Safety::default());
            (settings.progress_interval, settings.reports_start, settings.tenants) = (0, false, Vec::new());
        }
        Scenario::ThirtySchedulers => (settings.fleet_size, settings.instance_index) = (30, 7),
        Scenario::ListLease | Scenario::UnconfirmedList => {
            (settings.fleet_size, settings.instance_index) = (300, 211);
            (settings.watch_required, settings.list_lease_enabled, settings.list_unconfirmed) =
                (true, true, scenario == Scenario::UnconfirmedList);
        }
        Scenario::IdempotencyKeys => {
            let scopes = [KeyScope::All, KeyScope::Zone, KeyScope::Cell];
            settings.classes = scopes.map(|scope| class(keyed_idempotency(scope), SECOND / 2)).to_vec();
            settings.classes.push(class(Idempotency::NonIdempotent, SECOND / 2));
            (settings.fleet_size, settings.limits.hedged_requests) = (3, true);
        }
        Scenario::Streaming => {
            settings.classes[0].streaming = true;
            (settings.reports_start, settings.progress_interval, settings.limits.cancel) = (false, 0, false);
            (settings.watch_required, settings.fleet_size, settings.safety.rejection_may_have_run) =
                (true, 2, true);
        }
        Scenario::UnitsFallWithLoad => {
            (settings.units_fall_with_load, settings.fleet_size, settings.instance_index) = (true, 20, 19)
        }
        Scenario::TailLatency => {
            (settings.tail_miss_fraction, settings.fleet_size) = (Some(0.01), 5);
            settings.limits.hedged_requests = true;
        }
    }
    settings
}
