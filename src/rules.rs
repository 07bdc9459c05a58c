//! The decisions of roselock; their interface (settings, events, actions) is in `src/api.rs`.
//!
//! Bid-price control after "Online Linear Programming for Multi-Objective Routing in LLM Serving": payoff
//! on a worker less prices along the run is a margin; positive ones leave highest first within residual room.

use crate::api::*;
pub use crate::state::Dispatcher;
use crate::state::*;
use roselock_discovery_client::poll_schedule::GOLDEN_RATIO;
use std::collections::BTreeSet;

const WINDOW: f64 = 256.0; // length of the payoff window in ticks, by which T is pushed on when it is reached
const HISTORY: usize = 64; // columns kept, to span several turnovers of the room of a small fleet
const SAMPLE: usize = 8; // columns per price step, and steps per update: a few microseconds
const STEPS: usize = 2;
const ETA: f64 = 0.1; // η, in mean worths of a slot for a tick: a price crosses its range in a dozen steps
/// Weights of saved steps (β, γ), of a start within t2' (ζ2), and σ; small: they order what is else equal.
const SAVED_STEPS: f64 = 0.05;
const START_BONUS: f64 = 0.05;
const START_SHARE: f64 = 0.5;
const SIGMA: f64 = 0.02;
/// Memory of the estimates, in microseconds: speed and health change within troubles of some ten seconds.
const PACE_MEMORY: f64 = 6e6;
const KIND_MEMORY: f64 = 20e6;
const HEALTH_MEMORY: f64 = 5e6;
const WAIT_MEMORY: f64 = 4e6;
const RATE_MEMORY: f64 = 3e6;
const FLOW_MEMORY: f64 = 10e6;
const FLOW_PRIOR: f64 = 2.0; // seconds of mean traffic that count before any
pub(crate) const POOL_WEIGHT: f64 = 2.0; // samples that the mean of a wider pool counts as
const PACE_CLIP: f64 = 1.0; // of a speed sample around the estimate, in log units, against heavy tails
const UNHINTED: f64 = 0.3; // weight of a speed sample without a hint
const HEALTH_PRIOR: f64 = 0.3; // answers that success counts as before any: little, so that one error tells
const TRIAL_BELOW: f64 = 0.6; // chance of success from which down a worker gets single trials
const EJECTION_BACKOFF: [Micros; 2] = [SECOND / 2, 4 * SECOND]; // between trials: first, longest
const DEFAULT_CAPACITY: f64 = 2.0; // of a worker when nothing at all is known, in slots or memory units
const REPORT_AGE: Micros = SECOND / 2; // of a report that comes with a delay
const SLOW_START_BUDGET_USED: f64 = 0.7; // share of the cold budget that is used, since the capacity behind it is a guess
const MIN_FLEET_FOR_ROTATION: u32 = 16; // schedulers from which on they take turns; fewer have their part somewhere anyway
const ROTATION_WINDOWS: Micros = 4; // spans of the cold budget in which the same schedulers send to it
const INFERRED_RESTART_TTL: Micros = 5 * SECOND; // how long a process seen down counts as started, as the list is late
const CORRELATED_FAILURE_WINDOW: Micros = SECOND / 2; // breaks within this span are one event
const KEYS: usize = 8; // remembered per worker
const HOME_MISS: [f64; 2] = [0.3, 0.7]; // chance that data is missing at its first or second home
const SENT_MISS: f64 = 0.4; // chance that it is missing where we sent it: others may have pushed it out
const MIN_USEFUL_PROBABILITY: f64 = 0.1; // least chance of worth for which a job is held
const MIN_TIMELY_PROBABILITY: f64 = 0.6; // the same where the slow end counts, in which one miss costs the credit of many
const MISS_COST: f64 = 1.0; // of such a miss, in worths of the job
const MAX_SCAN: usize = 64; // newest waiting jobs looked at in one pass: in an overload older ones are late
const CANDIDATES_WITH_ROOM: [usize; 3] = [5, 3, usize::MAX]; // with room looked at: in our zone, beyond, our cold ones
const CLASS_REJECTION_TTL: Micros = 10 * SECOND; // no room for a lane at a worker that turned it away beside free slots
const MIN_HELD_RUNS_TO_QUEUE: f64 = 0.25; // mean runs for which a job is held before one may stand in line
const STALE_AFTER_RUNS: f64 = 0.25; // age, in mean runs, from which a figure of free room is checked by a probe
const QUEUED_REACH: f64 = 4.0; // workers of a pool that are tried where jobs wait a mean run there
const CONNECT_ALLOWANCE: Micros = SECOND / 100; // that a worker may take over a new connection, beside its way
const WITHDRAWN_RETURN_RUNS: f64 = 4.0; // mean runs after which a job may go again where it was called off
const TICK_TOKEN: u64 = 1 << 40; // timer tokens above every job id
pub(crate) const WATCH_TOKEN: u64 = 1 << 41;
const MOVE_TOKEN: u64 = 1 << 42;

impl CapacityEstimate {
    /// Takes in what is free beside own jobs that run; these may have changed, so they don't raise the total.
    pub(crate) fn record(&mut self, running: f64, free: f64, now: Micros) {
        let room = running + free;
        self.total = self.total.max(free);
        self.mean = if self.reported { self.mean + 0.2 * (room - self.mean) } else { room };
        (self.latest, self.at, self.reported) = (room, now, true);
    }
    /// Without figures a start at once at the limit widens the room, 'full' or a late start narrows it.
    pub(crate) fn infer_from_start(&mut self, beside: f64, at_once: bool, running: f64, now: Micros) {
        if self.reported {
            if !at_once {
                self.record(running, 0.0, now);
                self.exhausted_at = Some(now);
            }
            return;
        }
        if !at_once {
            self.latest = (0.8 * self.latest + 0.2 * beside).max(1.0);
        } else if beside + 1.5 > self.latest {
            self.latest += 0.25;
        }
        self.mean += 0.1 * (self.latest - self.mean);
        self.total = self.latest;
    }
    /// The present room. A figure ages over a run, as others' jobs come and go unseen; a mean without news
    /// drifts to the total, or a worker once full would never be tried again.
    fn current(&self, now: Micros, turnover: f64) -> f64 {
        if !self.reported {
            return self.latest;
        }
        let age = (now - self.at).max(0) as f64 / turnover;
        let mean = self.mean + (self.total - self.mean) * (1.0 - (-age / 4.0).exp());
        mean + (self.latest - mean) * (-age).exp()
    }
}

impl Worker {
    /// Any word from a worker ends the doubt of it. Its process was there then and is: no restart since, if a
    /// broken connection alone spoke for one.
    fn record_response(&mut self, then: Micros, now: Micros) {
        (self.heard, self.ejected_until, self.trial_in_flight, self.ejection_backoff, self.changed) =
            (now, None, false, 0, true);
        if self.reset_is_only_sign && self.down_at.is_some_and(|at| then <= at) {
            (self.reset_is_only_sign, self.down_at, self.changed) = (false, None, true);
        }
    }
    /// Chance that a job sent there is answered, seen alone.
    fn success_probability(&self, now: Micros) -> f64 {
        let good = self.successes + HEALTH_PRIOR;
        good / (good + self.failures.weight * self.failures.keep(now, HEALTH_MEMORY))
    }
    /// Books an answer or an error, which voids successes: one that errs quickly looks cheap.
    fn record_outcome(&mut self, ok: bool, now: Micros) {
        self.failures.add(0.0, if ok { 0.0 } else { 1.0 }, now, HEALTH_MEMORY);
        if ok {
            self.successes = (self.successes + 0.5).min(1.0);
            self.failures.weight *= 0.5;
            // One error is chance: only what errs again before two answers is put off.
            self.error_backoff = if self.successes < 1.0 { self.error_backoff } else { 0 };
        } else {
            self.retry_after_error = Some(now + self.error_backoff);
            self.error_backoff = (self.error_backoff * 2).clamp(EJECTION_BACKOFF[0], EJECTION_BACKOFF[1]);
            self.successes = 0.0;
            self.failures.weight = self.failures.weight.min(4.0);
        }
    }
    /// A live weight, size over 1 + requests held a core; each counts as a slot of the `total` of its kind.
    fn apply_listed_units(&mut self, total: f64, now: Micros) {
        self.size = self.size.max(self.listed.units);
        self.room[SLOT].total = self.room[SLOT].total.max(total);
        let held = self.size / self.listed.units.max(f64::MIN_POSITIVE) - 1.0;
        let free = (self.room[SLOT].total * (1.0 - held)).round().max(0.0);
        self.room[SLOT].record(self.running[SLOT], free, now);
        self.changed = true;
    }
    fn apply_report(&mut self, gauge: &LoadReport, now: Micros) {
        // Its figures were taken beside what ran then: not what has started since, but what has ended since.
        let running = self.running_at(if gauge.delayed { now - REPORT_AGE } else { now });
        for (r, free) in [(SLOT, gauge.free_slots), (MEMORY, gauge.free_memory)] {
            if let Some(free) = free.filter(|f| f.is_finite()) {
                // Slots are whole, reports noisy.
                let free = if r == SLOT { free.round() } else { free }.max(0.0);
                self.room[r].record(running[r], free, now);
            }
        }
    }
}

impl Dispatcher {
    /// A dispatcher without workers or jobs; equal seeds and events give equal actions.
    pub fn new(set: Settings, seed: u64) -> Result<Dispatcher, SettingsError> {
        set.check()?;
        let work = |c: &Class| c.latency_objective.max(SECOND / 1000) as f64 / SECOND as f64;
        let classes: Vec<_> = set.classes.iter().map(|c| RunningMean { mean: work(c), seen: 1.0 }).collect();
        let mean = set.classes.iter().map(work).sum::<f64>() / set.classes.len() as f64;
        let tick = ((mean * SECOND as f64) as Micros / 2).clamp(SECOND / 1000, SECOND);
        Ok(Dispatcher::with_estimates(set, seed, classes, RunningMean { mean, seen: 2.0 }, tick))
    }

    /// Takes the clock, which never runs back, and what happened then; appends what to do, in order.
    pub fn step(&mut self, now: Micros, events: &[Event], out: &mut Vec<Action>) {
        self.now = now;
        if !self.started {
            (self.started, self.bucket, self.priced, self.expired_at) =
                (true, now / self.tick, now - self.tick, now);
            self.window_end = (now / self.tick) as f64 + WINDOW;
            self.counting_since = now;
            if self.settings.watch_required {
                // All may have come up at once, and discovery serves in turn: each at a time of its own.
                let after = self.poll_schedule.first_delay(self.settings.poll_parameters());
                out.push(Action::Timer { delay: after, token: WATCH_TOKEN });
            }
        }
        let mut changed = events.iter().fold(false, |changed, e| self.handle_event(e, out) | changed);
        self.withdraw_stalled(out);
        if now - self.expired_at >= self.tick / 2 {
            self.expired_at = now;
            changed |= self.check_overdue_attempts(out);
        }
        if changed && !self.waiting.is_empty() {
            self.release(out);
        }
        self.set_tick_timer(out);
    }

    /// Books one event; true if a waiting job might leave because of it.
    fn handle_event(&mut self, event: &Event, out: &mut Vec<Action>) -> bool {
        match event {
            Event::EndpointList { .. }
            | Event::WatchEnded(_)
            | Event::DiscoveryMoved(_)
            | Event::SuspensionChanged { .. } => {
                self.handle_list_event(event, out);
            }
            Event::JobArrived(job) => self.admit(job, out),
            Event::StreamAccepted { job, .. } => self.stream_accepted(*job),
            Event::AttemptProgress { job, attempt, update } => {
                return self.attempt_progressed(*job, *attempt, *update);
            }
            Event::LateReportPossible { job, worker } => {
                let w = self.index.get(worker).copied();
                self.jobs.entry(*job).and_modify(|j| j.late_report_possible_from.extend(w));
            }
            Event::AttemptEnded { job, attempt, outcome, concluded, report } => {
                self.attempt_ended(*job, *attempt, (*outcome, *concluded), report, out);
            }
            Event::ClientDisconnected(job) => self.end(*job, out),
            Event::TimerFired(TICK_TOKEN) => self.tick_due = None,
            Event::TimerFired(WATCH_TOKEN) => {
                out.extend(self.poll_schedule.begin_poll(self.now).then_some(Action::WatchEndpoints))
            }
            Event::TimerFired(MOVE_TOKEN) => {}
            Event::TimerFired(id) => {
                let id = JobId(*id as u32);
                if self.jobs.get(&id).is_some_and(|j| self.now >= j.deadline - 2 * self.settings.tick) {
                    self.answer(id, out);
                }
            }
            Event::HealthCheckEnded { worker, ok, report } => {
                if let Some(&w) = self.index.get(worker).filter(|_| *ok) {
                    // A process that died is not back so soon.
                    let asked =
                        self.workers[w].down_at.filter(|at| self.now - at < CORRELATED_FAILURE_WINDOW);
                    self.workers[w].record_response(asked.unwrap_or(self.now), self.now);
                    self.workers[w].apply_report(report, self.now);
                }
            }
        }
        true
    }

    // ---- Job ledger and rule guards ----

    fn admit(&mut self, new: &JobRequest, out: &mut Vec<Action>) {
        let c = new.class.0 as usize;
        if c >= self.settings.classes.len() || self.jobs.contains_key(&new.job) {
            return;
        }
        let hint = new.work_hint.filter(|h| h.is_finite() && *h > 0.0);
        hint.iter().for_each(|h| self.classes[c].add(*h, 1.0, 100.0));
        let work = hint.unwrap_or(self.classes[c].mean);
        let worth = self.settings.classes[c].priority_weight
            * if self.settings.weighted_by_work { work } else { 1.0 };
        self.mean_weight.add(worth, 1.0, 200.0);
        self.work.add(work, 1.0, 200.0);
        self.arrival_rate.add(0.0, 1.0, self.now, RATE_MEMORY);
        self.long_term_rate.add(0.0, 1.0, self.now, FLOW_MEMORY);
        self.settings
            .safety
            .retry_budget
            .iter()
            .for_each(|a| push_recent(&mut self.admitted, self.now, a.window));
        let share = new.tenant.map_or(1.0, |t| self.quota_weight(t.0 as usize));
        // Rule 1: each job carries its own timer. A tick early, so that the answer is never late.
        out.push(Action::Timer { delay: (new.budget - self.settings.tick).max(0), token: new.job.0 as u64 });
        // A later try of a client brings the less patience; its aim counts from the first.
        self.patience[c] = self.patience[c].max(new.budget);
        let before = if new.budget > self.patience[c] / 2 { self.patience[c] - new.budget } else { 0 };
        let key = new.key.filter(|_| self.settings.costs.origin_fetch > 0.0);
        let (homes, value) =
            (self.cache_locations(key), share * worth / self.mean_weight.mean.max(f64::MIN_POSITIVE));
        let first = self.now - before;
        let effect = self.settings.classes[c].idempotency;
        self.jobs.insert(
            new.job,
            Job {
                effect,
                work,
                key,
                cached_on: homes,
                value,
                first_asked_at: first,
                ..Job::new(new, hint, self.now)
            },
        );
        self.waiting.push(new.job);
    }

    /// A key's homes: two workers drawn by one hash at all schedulers, so each finds the others' data there.
    fn cache_locations(&self, key: Option<KeyId>) -> [Option<usize>; 2] {
        let Some(key) = key else { return [None; 2] };
        let rank = |w: &&(u64, usize)| mix_bits(key.0 ^ w.0);
        let first = self.hash_ring.iter().max_by_key(rank).map(|w| w.1);
        [first, self.hash_ring.iter().filter(|w| Some(w.1) != first).max_by_key(rank).map(|w| w.1)]
    }

    /// Traffic beyond our part of a tenant's quota is worth less: each job carries the expected worth.
    fn quota_weight(&mut self, tenant: usize) -> f64 {
        let known = self.tenant_rate.get_mut(tenant).zip(self.settings.tenants.get(tenant));
        let Some((rate, t)) = known else { return 1.0 };
        rate.add(0.0, 1.0, self.now, RATE_MEMORY);
        let own = rate.weight * SECOND as f64 / RATE_MEMORY;
        let quota = t.quota_per_s / self.settings.fleet_size as f64;
        self.settings.over_quota_weight + (1.0 - self.settings.over_quota_weight) * (quota / own).min(1.0)
    }

    /// Rules 2 to 5, and what the site allows: the only way to a send.
    pub(crate) fn may_send(&self, job: &Job, w: usize) -> bool {
        let (worker, class, limits) =
            (&self.workers[w], &self.settings.classes[job.class], &self.settings.limits);
        // Rule 3: from the word of a drain on, nothing new.
        if !worker.ready
            || !self.list_is_valid()
            || job.ended
            || job.streaming
            || self.now >= job.deadline
            || job.attempts.len() >= limits.max_attempts as usize
            || job.late_report_possible_from.contains(&w)
            || (!job.attempts.is_empty() && !self.within_retry_budget())
            || class.kind.is_some_and(|k| k != worker.listed.kind)
            || (self.list_unconfirmed
                && job.effect == Idempotency::NonIdempotent
                && worker.ejected_until.is_some())
            || (job.any_in_flight()
                && (!limits.hedged_requests || job.attempts.iter().any(|t| t.in_flight && t.worker == w)))
        {
            return false;
        }
        // Rule 2: what may have run already binds what may follow.
        let mut may_have_run = job.attempts.iter().filter(|t| !t.never_ran);
        let repeat_ok = match (job.effect, may_have_run.clone().next()) {
            (_, None) | (Idempotency::Idempotent, _) => true,
            (Idempotency::NonIdempotent, _) => false,
            (Idempotency::IdempotencyKey { scope, window }, Some(first)) => {
                // The repeat must arrive, too, while the group remembers.
                self.now - first.sent_at < window - SECOND / 100
                    && may_have_run.all(|t| scope.shares_keys(&self.workers[t.worker].listed, &worker.listed))
            }
        };
        repeat_ok && self.within_slow_start_budget(worker, job)
    }

    /// Rule 5: attempts beyond the first, this included. The span's first instant counts for these alone.
    fn within_retry_budget(&self) -> bool {
        let Some(a) = &self.settings.safety.retry_budget else { return true };
        let since = self.now - a.window;
        let further = self.retries.iter().rev().take_while(|at| **at >= since).count() + 1;
        let taken = self.admitted.iter().rev().take_while(|at| **at > since).count();
        further as f64 <= a.min_retries + a.ratio * taken as f64
    }

    /// Least share of its capacity that a worker had then, on the slowest warming allowed.
    fn warm_up_fraction(&self, worker: &Worker, at: Micros) -> f64 {
        let safety = &self.settings.safety;
        let broke = worker.down_at.filter(|at| self.now - at < INFERRED_RESTART_TTL);
        let up = worker.started.max(broke).filter(|up| at < up.saturating_add(safety.slow_start_window));
        let age = |up: Micros| (at - up).max(0) as f64 / safety.slow_start_window as f64;
        up.map_or(1.0, |up| {
            safety.initial_capacity_fraction + (1.0 - safety.initial_capacity_fraction) * age(up)
        })
    }

    /// Whether a worker may still be warming up: over any span of `fall` that ends now.
    fn is_warming_up(&self, worker: &Worker) -> bool {
        self.warm_up_fraction(worker, self.now - self.settings.safety.overload_window) < 1.0
    }

    /// Work that we all together may send to a cold worker in that span, by what it could do at its start.
    fn slow_start_budget(&self, worker: &Worker) -> f64 {
        let safety = &self.settings.safety;
        let warmth = self.warm_up_fraction(worker, self.now - safety.overload_window);
        let capacity = worker.room[SLOT].total.max(1.0) * warmth / self.log_slowdown(worker).exp();
        SLOW_START_BUDGET_USED * safety.overload_multiple * capacity * safety.overload_window as f64
            / SECOND as f64
    }

    /// Schedulers that may send to it: so few that a job of any class fits into a part.
    fn slow_start_senders(&self, worker: &Worker) -> f64 {
        let heaviest = self.classes.iter().map(|c| c.mean).fold(f64::MIN_POSITIVE, f64::max);
        (self.slow_start_budget(worker) / heaviest).floor().clamp(1.0, self.settings.fleet_size as f64)
    }

    /// Whether we are one of them in this turn of the common clock; the busy, by the quotas, stand ahead: the
    /// sum stays. In its last span only those of the next turn too: in no `fall` do two sets send.
    fn is_slow_start_sender(&self, worker: &Worker) -> bool {
        let (all, stewards) = (self.settings.fleet_size, self.slow_start_senders(worker));
        let usual = self.settings.tenants.iter().map(|t| t.quota_per_s).sum::<f64>() / all as f64;
        let span = (self.now - self.counting_since).min(FLOW_MEMORY as Micros) as f64 / SECOND as f64;
        let flow = self.long_term_rate.weight * self.long_term_rate.keep(self.now, FLOW_MEMORY);
        let part = if usual > 0.0 { (flow / usual + FLOW_PRIOR) / (span + FLOW_PRIOR) } else { 1.0 };
        let (id, fall) = (mix_bits(worker.listed.worker.0), self.settings.safety.overload_window.max(1));
        let turn = if all < MIN_FLEET_FOR_ROTATION { Micros::MAX / 4 } else { ROTATION_WINDOWS * fall };
        let at = self.now + (id % turn as u64) as Micros;
        let first = |at: Micros| self.sequence_rank(mix_bits(id ^ (at / turn) as u64)) as f64;
        stewards >= all as f64 || first(at).max(first(at + fall)) < stewards * part
    }

    /// Rule 4: over any span of `fall`, our part of what a cold worker bears, or one job of a guessed work.
    fn within_slow_start_budget(&self, worker: &Worker, job: &Job) -> bool {
        if !self.is_warming_up(worker) {
            return true;
        }
        // A short job counts as its class's mean, or a crowd of them would push a worker over.
        let (seen, weight) = (self.classes[job.class].seen, job.work.max(self.classes[job.class].mean));
        let recent = worker.sent_since(self.now - self.settings.safety.overload_window);
        let alone = seen <= 1.0 && recent + worker.booked_need[SLOT] == 0.0;
        let part =
            || if alone { weight } else { self.slow_start_budget(worker) / self.slow_start_senders(worker) };
        self.is_slow_start_sender(worker) && weight + recent <= part()
    }

    fn send(&mut self, id: JobId, w: usize, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|j| self.may_send(j, w)) else { return };
        let (now, run) = (self.now, job.work * self.workers[w].snapshot.run_time_per_work);
        self.stop_waiting(id);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let worker = &mut self.workers[w];
        let beside = worker.booked_need[SLOT];
        // A first word takes as long as the quickest from there so far, twice that on a new connection.
        let quick = self.quickest_start.get(&worker.listed.zone).copied().unwrap_or(self.tick / 8);
        let (ways, extra) =
            if worker.idle_connections.is_empty() { (4.0, CONNECT_ALLOWANCE) } else { (2.0, 0) };
        let patience = (quick as f64 * ways) as Micros + 2 * self.settings.tick + extra;
        let new = Attempt {
            worker: w,
            patience,
            sent_at: now,
            heard: now,
            expected_run: run,
            booked_before: beside,
            in_flight: true,
            ..Attempt::default()
        };
        let counted = self.settings.safety.retry_budget.iter().filter(|_| !job.attempts.is_empty());
        counted.for_each(|a| push_recent(&mut self.retries, now, a.window));
        job.attempts.push(Attempt { booked: true, ..new });
        worker.book(job.need, 1.0, !self.settings.reports_start, now);
        [SLOT, MEMORY].iter().for_each(|&r| worker.snapshot.free[r] -= job.need[r]);
        worker.idle_connections.pop();
        worker.connected = true;
        worker.trial_in_flight = worker.ejected_until.is_some();
        if worker.snapshot.free[SLOT].is_infinite() {
            // Only the first job of an idle worker goes unmeasured.
            let left = worker.room[SLOT].latest - worker.booked_need[SLOT];
            worker.snapshot.free[SLOT] = if worker.trial_in_flight { 0.0 } else { left };
        }
        worker.recent_sends.retain(|s| s.0 >= now - self.settings.safety.overload_window);
        worker.recent_sends.push((now, job.work.max(self.classes[job.class].mean)));
        job.key.iter().for_each(|key| worker.remember(*key, KEYS));
        out.push(Action::Send { job: id, worker: worker.listed.worker, timeout: 0 });
        if self.should_migrate(&self.jobs[&id]) {
            out.push(Action::Timer { delay: patience, token: MOVE_TOKEN });
        }
    }

    /// Rules 1 and 2: the only way to a final answer of our own, once for a job; refused only if harmless.
    fn answer(&mut self, id: JobId, out: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id).filter(|j| !j.ended && !j.streaming) else { return };
        let harmless = matches!(
            job.effect,
            Idempotency::Idempotent | Idempotency::IdempotencyKey { scope: KeyScope::All, .. }
        ) || job.attempts.iter().all(|t| t.never_ran);
        // Come back when the present jobs have run, or after as long as this one was held.
        let most = self.settings.limits.max_retry_after * self.settings.limits.retry_after as Micros;
        let backoff = (self.mean_run_time() as Micros).max(self.now - job.arrived).min(most);
        out.push(if harmless {
            Action::Reject { job: id, retry_after: backoff }
        } else {
            Action::Fail { job: id }
        });
        self.end(id, out);
    }

    /// The job is over: call off what is still out, once, and forget it when nothing is.
    fn end(&mut self, id: JobId, out: &mut Vec<Action>) {
        self.stop_waiting(id);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let call_off =
            self.settings.limits.cancel && !job.streaming && !std::mem::replace(&mut job.ended, true);
        for (round, _) in job.attempts.iter().enumerate().filter(|(_, t)| t.in_flight && call_off) {
            out.push(Action::Cancel { job: id, attempt: round as u32 });
        }
        job.ended = true;
        if !job.any_in_flight() {
            self.jobs.remove(&id);
        }
    }

    /// The job waits for a send (again), where its class allows one; else it fails once nothing is out.
    fn retry(&mut self, id: JobId, out: &mut Vec<Action>) {
        let idle = |j: &&mut Job| !j.ended && !j.waiting && !j.streaming;
        let Some(job) = self.jobs.get_mut(&id).filter(idle) else { return };
        let repeatable = job.repeatable(self.now);
        let (limits, any_out) = (&self.settings.limits, job.any_in_flight());
        if repeatable
            && job.attempts.len() < limits.max_attempts as usize
            && (!any_out || limits.hedged_requests)
        {
            job.waiting = true;
            self.waiting.push(id);
        } else if !any_out {
            self.answer(id, out);
        }
    }

    fn attempt_ended(
        &mut self,
        id: JobId,
        round: u32,
        end: (Outcome, bool),
        gauge: &LoadReport,
        out: &mut Vec<Action>,
    ) {
        let ((outcome, last), now) = (end, self.now);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(t) = job.attempts.get_mut(round as usize).filter(|t| t.in_flight) else { return };
        (t.in_flight, t.never_ran) = (false, outcome.never_ran(self.settings.safety.rejection_may_have_run));
        let w = t.worker;
        let worker = &mut self.workers[w];
        // A report is older than its answer: a job that ran was still in its figures, one turned away never.
        let ran = matches!(outcome, Outcome::Ok | Outcome::Error);
        if ran {
            worker.apply_report(gauge, now);
        }
        let runs = t.started.is_some() || !self.settings.reports_start;
        (worker.changed, worker.overrun, worker.head_of_line_wait) = (true, f64::NEG_INFINITY, 0.0);
        if std::mem::take(&mut t.booked) {
            worker.book(job.need, -1.0, runs, now);
        }
        if !ran {
            worker.apply_report(gauge, now);
        }
        let (took, beside, sent) = (now - t.started.unwrap_or(t.sent_at), t.booked_before, t.sent_at);
        // Not a word since it was sent: freeing its booking must not make a vanished worker look empty.
        let unheard = t.heard == t.sent_at && worker.heard < t.sent_at && took > self.tick;
        let (class, work, hinted) = (job.class, job.work, job.hinted);
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected) {
            worker.record_response(sent, now);
            worker.idle_connections.push(now);
        }
        worker.connected = true;
        match outcome {
            Outcome::Ok => {
                worker.record_outcome(true, now);
                if runs {
                    self.learn_run_time(w, took as f64, work, hinted, class, 1.0);
                }
            }
            Outcome::Error => worker.record_outcome(false, now),
            // Turned away beside free slots: it is the lane (tenant and class) that is not wanted there.
            Outcome::Rejected if gauge.free_slots.is_some_and(|f| f > 0.5) => {
                worker.reject_class(job.lane, now + CLASS_REJECTION_TTL)
            }
            Outcome::Rejected => worker.room[SLOT].infer_from_start(beside, false, worker.running[SLOT], now),
            Outcome::Reset => {
                self.infer_restart(w);
                self.workers[w].reset_is_only_sign = true;
                if self.settings.limits.health_checks_allowed {
                    self.workers[w].health_checked_at = now;
                    out.push(Action::HealthCheck(self.workers[w].listed.worker));
                }
            }
            Outcome::ConnectFailed if took < self.settings.limits.connect_timeout / 2 => {
                self.infer_restart(w)
            }
            _ => {}
        }
        let lost = unheard && matches!(outcome, Outcome::Timeout | Outcome::Cancelled);
        if lost || matches!(outcome, Outcome::Reset | Outcome::ConnectFailed) {
            self.eject(w, out);
        }
        self.close_drained(w, out);
        if last || outcome == Outcome::Ok || self.jobs.get(&id).is_some_and(|j| j.ended) {
            self.end(id, out);
        } else {
            self.retry(id, out);
        }
    }

    // ---- The list of workers ----

    pub(crate) fn update_workers(&mut self, mode: ListMode, entries: &[Endpoint], out: &mut Vec<Action>) {
        let mut changed = mode.is_complete();
        if changed {
            let listed: BTreeSet<WorkerId> = entries.iter().map(|e| e.worker).collect();
            self.workers.iter_mut().for_each(|w| w.ready &= listed.contains(&w.listed.worker));
        }
        let (mut means, turnover) = (None, self.mean_run_time());
        for e in entries {
            let known = self.index.get(&e.worker).copied();
            // A changed time is a start, whatever it says; one that was long ago when first listed is none.
            let started = known.is_some() || e.started_at.is_some();
            match known.filter(|w| e.started_at == self.workers[*w].listed.started_at) {
                None => {
                    let (room, price) =
                        *means.get_or_insert_with(|| self.initial_estimates(DEFAULT_CAPACITY));
                    let mut worker = Worker::new(e, room, price, self.now);
                    worker.started = started.then(|| self.start_time(e.started_at)).flatten();
                    self.add_worker(known, worker);
                    changed = true;
                }
                Some(w) => {
                    let (worker, ready) = (&mut self.workers[w], e.state == EndpointState::Ready);
                    if ready != worker.ready || e.zone != worker.listed.zone {
                        (worker.ready, worker.changed, changed) = (ready, true, true);
                    }
                    worker.listed = e.clone();
                    if self.settings.units_fall_with_load
                        && self.now - worker.room[SLOT].at > (turnover / 2.0) as Micros
                    {
                        let total = self.kind_total.entry(e.kind).or_insert(0.0);
                        *total = total.max(worker.room[SLOT].total);
                        worker.apply_listed_units(*total, self.now);
                    }
                }
            }
        }
        if changed {
            self.rebuild_order();
        }
        // Rule 7: to be told of a drain closes what is idle; what is out closes with its outcome.
        (0..self.workers.len()).for_each(|w| self.close_drained(w, out));
    }

    fn close_drained(&mut self, w: usize, out: &mut Vec<Action>) {
        let worker = &mut self.workers[w];
        if self.settings.safety.drain_close_timeout.is_some()
            && !worker.ready
            && std::mem::take(&mut worker.connected)
        {
            worker.idle_connections.clear();
            out.push(Action::CloseIdleConnections(worker.listed.worker));
        }
    }

    /// Sorts the ready workers of our zone, then those beyond it, into one ring at all schedulers, where each
    /// begins at a place of its own (the golden ratio spreads any numbers) and overflows into few neighbours.
    pub(crate) fn rebuild_order(&mut self) {
        let ready = self.workers.iter().enumerate().filter(|(_, w)| w.ready);
        self.hash_ring = ready.map(|(w, worker)| (mix_bits(worker.listed.worker.0), w)).collect();
        self.hash_ring.sort_unstable();
        let start = (self.settings.instance_index as f64 * GOLDEN_RATIO).fract();
        for beyond in [false, true] {
            let here = |w: &usize| (self.workers[*w].listed.zone != self.settings.zone) == beyond;
            let mut part: Vec<usize> = self.hash_ring.iter().map(|w| w.1).filter(here).collect();
            let from = (start * part.len() as f64) as usize;
            part.rotate_left(from);
            self.order[beyond as usize] = part;
        }
        let share = (self.hash_ring.len() as f64 / self.settings.fleet_size as f64).round().max(1.0) as usize;
        self.order[0]
            .iter()
            .enumerate()
            .for_each(|(i, w)| self.workers[*w].locality_tier = (i >= share) as usize);
        self.order[1].iter().for_each(|w| self.workers[*w].locality_tier = 2);
    }

    /// A new process: what was learned of an old one and what it held is void, what was sent lately counts.
    fn add_worker(&mut self, known: Option<usize>, mut new: Worker) {
        let w = known.unwrap_or(self.workers.len());
        self.order[2].extend(Some(w).filter(|_| new.started.is_some()));
        // From a list of before: tried by one job first.
        new.ejected_until = Some(self.now).filter(|_| self.list_unconfirmed);
        if let Some(old) = self.workers.get_mut(w) {
            (new.recent_sends, new.connected) = (std::mem::take(&mut old.recent_sends), old.connected);
            *old = new;
            let tries = self.jobs.values_mut().flat_map(|j| &mut j.attempts);
            tries.filter(|t| t.worker == w).for_each(|t| t.booked = false);
        } else {
            self.index.insert(new.listed.worker, w);
            self.workers.push(new);
        }
    }

    // ---- Worker estimates ----

    /// Learned log(run time / work) of a worker: its own samples over its kind's over the fleet's.
    fn log_slowdown(&self, worker: &Worker) -> f64 {
        let kind = self.kind_mean_slowdown.get(&worker.listed.kind).copied().unwrap_or(0.0);
        worker.log_slowdown.pooled(kind, self.now, PACE_MEMORY).max(worker.overrun)
    }

    fn learn_run_time(&mut self, w: usize, took: f64, work: f64, hinted: bool, class: usize, weight: f64) {
        let now = self.now;
        let took = took.max(1.0) / SECOND as f64;
        let present = self.log_slowdown(&self.workers[w]);
        if !hinted {
            // Without hints a class's work is known only through the run times and speeds seen.
            self.classes[class].add(took / present.exp(), weight, 50.0);
            self.spreads[class].add(took.ln() - present, weight, 200.0);
        }
        let sample = (took / work.max(1e-6)).ln().clamp(present - PACE_CLIP, present + PACE_CLIP);
        let weight = if hinted { weight } else { UNHINTED * weight };
        let worker = &mut self.workers[w];
        worker.log_slowdown.add(sample, weight, now, PACE_MEMORY);
        self.kind_slowdown.entry(worker.listed.kind).or_default().add(sample, weight, now, KIND_MEMORY);
        self.fleet_slowdown.add(sample, weight, now, KIND_MEMORY);
    }

    /// A silent or unreachable worker: no room for a while, then trials; on new connections, as one that
    /// fails proves that the job never ran.
    fn eject(&mut self, w: usize, out: &mut Vec<Action>) {
        let (now, worker) = (self.now, &mut self.workers[w]);
        if worker.ejected_until.is_some_and(|until| until > now) {
            return;
        }
        if worker.ejection_backoff == 0 {
            out.push(Action::Log { message: "in doubt", worker: worker.listed.worker });
        }
        worker.ejection_backoff =
            (worker.ejection_backoff * 2).clamp(EJECTION_BACKOFF[0], EJECTION_BACKOFF[1]);
        worker.ejected_until = Some(now + worker.ejection_backoff);
        (worker.trial_in_flight, worker.changed) = (false, true);
        if !worker.idle_connections.is_empty() {
            worker.idle_connections.clear();
            out.push(Action::CloseIdleConnections(worker.listed.worker));
        }
    }

    /// A process that broke or refuses connections comes back cold before the list says so, and we all would
    /// push it over: the cold budget holds from here on; for its zone or kind too, if most of that broke.
    fn infer_restart(&mut self, w: usize) {
        let now = self.now;
        (self.workers[w].down_at, self.workers[w].reset_is_only_sign) = (Some(now), false);
        let struck = self.workers[w].listed.clone();
        let fell = |w: &&Worker| w.down_at.is_some_and(|at| now - at < CORRELATED_FAILURE_WINDOW);
        for by_zone in [true, false] {
            let like = |e: &Endpoint| if by_zone { e.zone == struck.zone } else { e.kind == struck.kind };
            let group = || self.workers.iter().filter(|w| like(&w.listed));
            let holding = group().filter(|w| w.booked_need[SLOT] > 0.0 && !fell(w)).count();
            if group().filter(fell).count() >= holding.max(3) {
                self.workers.iter_mut().filter(|w| like(&w.listed)).for_each(|w| w.down_at = Some(now));
            }
        }
    }

    fn attempt_progressed(&mut self, id: JobId, round: u32, note: AttemptUpdate) -> bool {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(&id) else { return false };
        let (work, hinted, class) = (job.work, job.hinted, job.class);
        let Some(t) = job.attempts.get_mut(round as usize).filter(|t| t.in_flight) else { return false };
        t.heard = now;
        let w = t.worker;
        let worker = &mut self.workers[w];
        worker.record_response(t.sent_at, now);
        match note {
            AttemptUpdate::Started => {
                if t.started.replace(now).is_none() && t.booked && self.settings.reports_start {
                    worker.record_running(now);
                    [SLOT, MEMORY].iter().for_each(|&r| worker.running[r] += job.need[r]);
                }
                worker.head_of_line_wait = 0.0;
                let quickest = self.quickest_start.entry(worker.listed.zone).or_insert(now - t.sent_at);
                *quickest = (*quickest + *quickest / 32 + 1).min(now - t.sent_at); // it grows where ways do
                worker.wait.add((now - t.sent_at) as f64, 1.0, now, WAIT_MEMORY);
                if t.booked_before == 0.0 {
                    self.waits[worker.locality_tier].add((now - t.sent_at) as f64, 1.0, now, WAIT_MEMORY);
                }
                let at_once = now - t.sent_at <= self.tick / 8;
                worker.room[SLOT].infer_from_start(t.booked_before, at_once, worker.running[SLOT], now);
                self.stop_waiting(id);
            }
            AttemptUpdate::Progress(done) if done > 0.0 && done <= 1.0 => {
                t.expected_run = (now - t.started.unwrap_or(t.sent_at)) as f64 / done;
                let run = t.expected_run;
                if hinted {
                    self.learn_run_time(w, run, work, true, class, 0.5 * done);
                }
            }
            AttemptUpdate::Progress(_) => {}
        }
        false
    }

    /// Whether an attempt that has not started may be called off: where others fill workers, unseen by us.
    fn should_migrate(&self, job: &Job) -> bool {
        let limits = &self.settings.limits;
        let may = limits.cancel
            && !limits.hedged_requests
            && self.settings.reports_start
            && self.settings.fleet_size > 1;
        may && job.effect == Idempotency::Idempotent && job.attempts.len() < limits.max_attempts as usize
    }

    /// Reports are old, and all act on them: what may be repeated does not stand long at a full worker.
    fn withdraw_stalled(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let late = |t: &Attempt| {
            t.in_flight && t.booked && t.started.is_none() && !t.withdrawn && now - t.sent_at >= t.patience
        };
        let stands = |job: &Job| {
            let met = |w: usize| job.attempts.iter().any(|t| t.worker == w);
            let elsewhere = || self.hash_ring.iter().any(|r| !met(r.1));
            !job.ended && self.should_migrate(job) && job.attempts.last().is_some_and(late) && elsewhere()
        };
        let stands: Vec<JobId> = self.jobs.iter().filter(|j| stands(j.1)).map(|j| *j.0).collect();
        for id in stands {
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            let round = job.attempts.len() - 1;
            let t = &mut job.attempts[round];
            t.withdrawn = true;
            let worker = &mut self.workers[t.worker];
            worker.room[SLOT].infer_from_start(t.booked_before, false, worker.running[SLOT], now);
            worker.changed = true;
            out.push(Action::Cancel { job: id, attempt: round as u32 });
        }
    }

    /// Silence is evidence too: overdue progress notes raise doubt, a late start means that others fill the
    /// worker, jobs stuck on either may go elsewhere, and an overrun tells a slow worker.
    fn check_overdue_attempts(&mut self, out: &mut Vec<Action>) -> bool {
        let now = self.now;
        let (mut silent, mut stuck) = (Vec::new(), Vec::new());
        for (&id, job) in &self.jobs {
            for t in job.attempts.iter().filter(|t| t.in_flight && t.booked) {
                let worker = &mut self.workers[t.worker];
                if let Some(began) = t.started {
                    let elapsed = (now - began) as f64;
                    if job.hinted && elapsed > 1.5 * t.expected_run {
                        worker.overrun = worker.overrun.max((elapsed / SECOND as f64 / job.work).ln());
                    }
                    let due = self.settings.progress_interval * 3 / 2 + 2 * self.tick;
                    if self.settings.progress_interval > 0 && now - t.heard > due {
                        stuck.push(id);
                        if now - worker.heard > due && worker.ready {
                            silent.push(t.worker);
                        }
                    }
                } else {
                    // The waits noted are of jobs that started: one that still stands there says more.
                    worker.head_of_line_wait = worker.head_of_line_wait.max(if self.settings.reports_start {
                        (now - t.sent_at) as f64
                    } else {
                        0.0
                    });
                    let wait = if self.settings.reports_start {
                        2.0 * worker.snapshot.wait
                    } else {
                        4.0 * t.expected_run
                    };
                    if now - t.sent_at > 2 * self.tick + wait as Micros {
                        stuck.push(id);
                        worker.room[SLOT].infer_from_start(t.booked_before, false, worker.running[SLOT], now);
                    }
                }
            }
        }
        silent.into_iter().for_each(|w| self.eject(w, out));
        for &id in &stuck {
            if self.jobs.get(&id).is_some_and(|j| j.attempts.iter().filter(|t| t.in_flight).count() == 1) {
                self.retry(id, out);
            }
        }
        !stuck.is_empty()
    }

    // ---- Payoff and margin ----

    /// Picks the workers of a pass: the first along our order, and past them until as many have room.
    pub(crate) fn refresh_candidates(&mut self, full: bool) {
        let now = self.now;
        let fleet = self.fleet_slowdown.pooled(0.0, now, KIND_MEMORY);
        self.kind_mean_slowdown =
            self.kind_slowdown.iter().map(|(id, k)| (*id, k.pooled(fleet, now, KIND_MEMORY))).collect();
        // A zone short of workers makes jobs wait that others would start at once.
        let waits = self.waits.each_ref().map(|w| w.pooled(0.0, now, WAIT_MEMORY));
        self.outlook = (self.mean_run_time(), waits);
        let warm = now - self.settings.safety.slow_start_window - self.settings.safety.overload_window;
        self.order[2].retain(|w| self.workers[*w].started.is_some_and(|up| up > warm));
        self.candidates.clear();
        for (part, most) in CANDIDATES_WITH_ROOM.into_iter().enumerate() {
            // Queues that all schedulers fill never drain: the longer the wait, the fewer workers we try.
            let reach = QUEUED_REACH * self.outlook.0 / waits.get(part + 1).map_or(0.0, |w| *w);
            let mut room = 0;
            for i in 0..self.order[part].len().min(reach.max(2.0) as usize) {
                let w = self.order[part][i];
                if full || self.workers[w].changed {
                    self.refresh_snapshot(w);
                }
                let worker = &self.workers[w];
                let ours = !self.is_warming_up(worker) || self.is_slow_start_sender(worker);
                let has_room = ours && worker.snapshot.free[SLOT] > 0.0;
                room += (has_room && self.workers[w].rejected_classes.is_empty()) as usize;
                if (has_room || i < most) && (part < 2 || ours && !self.candidates.contains(&w)) {
                    self.candidates.push(w);
                }
                if room == most {
                    break;
                }
            }
        }
        let success = |best: f64, w: &usize| best.max(self.workers[*w].snapshot.success);
        self.best_success = self.candidates.iter().fold(f64::MIN_POSITIVE, success);
    }

    /// Fixes what a pass holds true of a worker.
    fn refresh_snapshot(&mut self, w: usize) {
        let (now, (turnover, waits)) = (self.now, self.outlook);
        let stretch = self.log_slowdown(&self.workers[w]).exp() * SECOND as f64;
        let (costs, best) = (&self.settings.costs, self.best_success);
        let held = self.waiting.first().and_then(|id| self.jobs.get(id)).map_or(0, |j| now - j.arrived);
        let worker = &mut self.workers[w];
        worker.idle_connections.retain(|at| *at > now - self.settings.limits.idle_timeout);
        worker.rejected_classes.retain(|s| s.1 > now);
        let success = worker.success_probability(now);
        // One that errs at once is always idle: each error puts its next trial off, and that is of one job.
        let sound = success >= TRIAL_BELOW * best;
        let trial = match worker.ejected_until {
            Some(until) => now >= until && !worker.trial_in_flight,
            None => {
                worker.booked_need[SLOT] == 0.0
                    && (sound || worker.retry_after_error.is_none_or(|until| now >= until))
            }
        };
        let open = worker.ready && (trial || (worker.ejected_until.is_none() && sound));
        let free = [SLOT, MEMORY].map(|r| match &worker.room[r] {
            _ if !open => 0.0,
            room if !room.reported && (r == MEMORY || trial) => f64::INFINITY,
            room if r == SLOT => (room.current(now, turnover) - worker.booked_need[r] + 0.25).floor(),
            room => room.current(now, turnover) - worker.booked_need[r],
        });
        let free = if sound { free } else { [free[SLOT].min(1.0), free[MEMORY]] };
        let fees = if worker.listed.zone == self.settings.zone { 0.0 } else { costs.cross_zone }
            + if worker.idle_connections.is_empty() { costs.handshake } else { 0.0 };
        let wait =
            worker.wait.pooled(waits[worker.locality_tier], now, WAIT_MEMORY).max(worker.head_of_line_wait);
        // Old figures leave slots idle: a held job may stand in line, but not soon where that failed.
        let none = worker.room[SLOT].exhausted_at.is_some_and(|at| (now - at) as f64 <= turnover);
        let line =
            open && !none && worker.room[SLOT].reported && held as f64 > MIN_HELD_RUNS_TO_QUEUE * turnover;
        worker.snapshot =
            WorkerSnapshot { run_time_per_work: stretch, wait, success, fees, free, may_queue: line };
    }

    /// Payoff, in mean worths, of starting a job on a worker now, and its ô in ticks. The paper's terms, the
    /// worth for its weights; its end-to-end indicator is taken at its chance under the learned wait.
    pub(crate) fn payoff(&self, job: &Job, w: usize) -> (f64, f64) {
        let (worker, class) = (&self.workers[w], &self.settings.classes[job.class]);
        let view = &worker.snapshot;
        // With the fleet's best taken as 1, a trouble of all workers alike locks none of them out.
        let success = view.success / self.best_success;
        let (tick, now) = (self.tick as f64, self.now as f64);
        let left = (self.window_end - now / tick + 1.0).max(1.0);
        let (run, mut fees) = (job.work * view.run_time_per_work, view.fees);
        if let Some(key) = job.key {
            let home = job.cached_on.iter().position(|h| *h == Some(w)).map_or(1.0, |h| HOME_MISS[h]);
            let sent = if worker.recent_keys.contains(&key) { SENT_MISS } else { 1.0 };
            fees += self.settings.costs.origin_fetch * home * sent;
        }
        let ticks = run / tick;
        let aim = class.latency_objective as f64 + class.objective_per_work * job.work * SECOND as f64;
        let (in_time, in_life) = self.success_probabilities(job, view.run_time_per_work, view.wait);
        if job.attempts.iter().any(|t| t.in_flight && self.workers[t.worker].ejected_until.is_none()) {
            // Beside a copy on a live worker another adds only the chance of being in time, at its work.
            let gain = (1.0 - class.late_answer_fraction) * in_time * in_life * success;
            return (job.value * (gain - self.settings.costs.wasted_work) - fees, ticks);
        }
        let throughput = class.late_answer_fraction * in_life * ticks.min(left) / ticks;
        let saved = SAVED_STEPS * ((left - ticks).max(0.0) + left) / (2.0 * WINDOW);
        let start = if now - job.first_asked_at as f64 <= START_SHARE * aim { START_BONUS } else { 0.0 };
        let worth = throughput + (1.0 - class.late_answer_fraction) * in_time * in_life + saved + start
            - self.settings.tail_miss_fraction.map_or(0.0, |_| MISS_COST * (1.0 - in_time * in_life));
        (
            job.value * (success * worth - (1.0 - success) * self.settings.costs.late_failure) + SIGMA - fees,
            ticks,
        )
    }

    /// Chances that a job that starts after `wait` ends in time, and in its client's life.
    pub(crate) fn success_probabilities(&self, job: &Job, stretch: f64, wait: f64) -> (f64, f64) {
        let (class, now) = (&self.settings.classes[job.class], self.now as f64);
        let (since, life) = (now - job.first_asked_at as f64, job.deadline as f64 - now);
        let promise = class.latency_objective as f64 - since - wait;
        if job.hinted {
            let run = job.work * stretch;
            let slack = promise + class.objective_per_work * job.work * SECOND as f64 - run;
            let spread = 0.2 * run + 0.5 * wait + 2.0 * self.settings.tick as f64;
            return (1.0 / (1.0 + (-slack / spread).exp()), if run + wait < life { 1.0 } else { 0.1 });
        }
        // Without a hint the work is any of its class: a short job has less leave, a long one less life.
        let below = |work: f64| self.spreads[job.class].below(work);
        let (gain, lived) =
            (class.objective_per_work * SECOND as f64 - stretch, below((life - wait) / stretch));
        let in_time = match (promise >= 0.0, gain >= 0.0) {
            (true, true) => lived,
            (true, false) => lived.min(below(promise / -gain)),
            (false, true) => (lived - below(-promise / gain)).max(0.0),
            (false, false) => 0.0,
        };
        (in_time, lived.max(in_time))
    }

    // ---- Prices ----

    /// Mean run time in microseconds.
    fn mean_run_time(&self) -> f64 {
        let pace = self.fleet_slowdown.pooled(0.0, self.now, KIND_MEMORY);
        (self.work.mean * pace.exp() * SECOND as f64).max(self.tick as f64)
    }

    /// Warm-started projected steps p <- (p - eta (d - S/n))+. Sampled columns stand for starts to come, each
    /// at a random tick of the look-ahead. A gradient counts in shares of the worker's room, at most 1: else
    /// a large backlog makes d vanish and prices stay high over idle workers.
    pub(crate) fn update_prices(&mut self) {
        // The tick moves on, and with it the prices and T.
        let bucket = self.now / self.tick;
        let steps = (bucket - self.bucket).clamp(0, HORIZON as Micros - 1) as usize;
        self.active_workers.iter().for_each(|w| self.workers[*w].advance(steps));
        self.bucket = bucket;
        if bucket as f64 >= self.window_end {
            self.window_end = bucket as f64 + WINDOW;
        }
        let n = self.history.len().min(SAMPLE);
        let batches: Vec<Vec<_>> = (0..STEPS).map(|_| self.draw_columns(n)).collect();
        // A price of 0 that no column asks for stays at 0: a large fleet costs only its busy part.
        let asked = batches.iter().flatten().map(|(c, _)| self.history[*c].worker);
        let priced = self.active_workers.iter().copied().filter(|w| self.workers[*w].has_prices());
        self.active_workers = priced.chain(asked).collect::<BTreeSet<_>>().into_iter().collect();
        self.find_residuals();
        let rate = self.arrival_rate.weight * self.arrival_rate.keep(self.now, RATE_MEMORY) / RATE_MEMORY;
        let starts = (rate * (HORIZON as f64 * self.tick as f64) + self.waiting.len() as f64).max(1.0);
        let eta = ETA * self.tick as f64 / self.mean_run_time();
        for batch in batches {
            for &(c, from) in &batch {
                let c = &self.history[c];
                let worker = &mut self.workers[c.worker];
                if c.payoff > worker.column_cost(c.need, from, c.ticks) {
                    add_column(&mut worker.used, c.need, from, c.ticks);
                }
            }
            for &w in &self.active_workers {
                let worker = &mut self.workers[w];
                for r in [SLOT, MEMORY] {
                    let unit = starts / worker.room[r].total.max(1.0);
                    for b in 0..HORIZON {
                        let gradient = worker.residual[r][b].max(0.0) / starts - worker.used[r][b] / n as f64;
                        let step = eta * (gradient * unit).clamp(-1.0, 1.0);
                        worker.price[r][b] = (worker.price[r][b] - step).max(0.0);
                    }
                }
                worker.used = ResourceTimeline::default();
                worker.update_price_sums();
            }
        }
    }

    /// Room left on each worker along the look-ahead, in whole slots: own bookings end when expected.
    fn find_residuals(&mut self) {
        let (now, turnover) = (self.now, self.mean_run_time());
        for &w in &self.active_workers {
            let w = &mut self.workers[w];
            let open = if w.ready && w.ejected_until.is_none() { 1.0 } else { 0.0 };
            w.residual = [SLOT, MEMORY].map(|r| [open * w.room[r].current(now, turnover).round(); HORIZON]);
        }
        for job in self.jobs.values() {
            for t in job.attempts.iter().filter(|t| t.booked) {
                let ends = (t.started.unwrap_or(now) - now) as f64 + t.expected_run;
                let ticks = (ends / self.tick as f64).max(1.0);
                add_column(&mut self.workers[t.worker].residual, job.need.map(|n| -n), 0, ticks);
            }
        }
    }

    // ---- Release ----

    /// Whether a worker can start a job now, and as bookings only end, run it; hinted jobs that earn late,
    /// too, may stand in line for the next slot.
    fn fits(&self, w: usize, job: &Job) -> bool {
        let (WorkerSnapshot { free, may_queue: line, .. }, need) = (&self.workers[w].snapshot, job.need);
        let next = *line && job.hinted && self.settings.classes[job.class].late_answer_fraction > 0.0;
        let fits = |&r: &usize| need[r] == 0.0 || need[r] <= free[r] + 1e-9;
        let room =
            next && need[SLOT] <= free[SLOT] + 1.0 || free[SLOT] > 0.0 && [SLOT, MEMORY].iter().all(fits);
        // What an error ends is no trial.
        let again = !matches!(self.settings.classes[job.class].idempotency, Idempotency::NonIdempotent);
        let sound = again || self.workers[w].snapshot.success >= TRIAL_BELOW * self.best_success;
        let lately = self.now - (WITHDRAWN_RETURN_RUNS * self.outlook.0) as Micros;
        let stood = job.attempts.iter().any(|t| t.withdrawn && t.worker == w && t.sent_at > lately);
        room && sound && !stood && !self.workers[w].rejects_class(job.lane, self.now)
    }

    /// Ranks the margins of waiting jobs and starts the highest positive ones within room.
    fn release(&mut self, out: &mut Vec<Action>) {
        let full = self.now - self.priced >= self.tick / 2;
        self.refresh_candidates(full);
        if full {
            self.priced = self.now;
            self.update_prices();
            self.answer_hopeless(out);
        }
        let seen = self.waiting.iter().rev().take(if full { MAX_SCAN } else { 1 });
        let homes = seen.filter_map(|id| self.jobs.get(id)).flat_map(|j| j.cached_on).flatten();
        homes.collect::<BTreeSet<usize>>().into_iter().for_each(|w| self.refresh_snapshot(w));
        let mut ranked: Vec<(f64, u64, JobId, usize)> = Vec::new();
        let mut best: Option<(f64, HistoryColumn)> = None;
        for (i, &id) in self.waiting.iter().rev().take(MAX_SCAN).enumerate() {
            let Some(job) = self.jobs.get(&id) else { continue };
            let homes = job.cached_on.into_iter().flatten().filter(|h| !self.candidates.contains(h));
            for w in self.candidates.iter().copied().chain(homes) {
                let fits = self.fits(w, job);
                // The newest job goes into the history in any case. Without news margins stay wanting.
                let old = job.arrived < self.now && !full && !self.workers[w].changed;
                if !self.workers[w].ready || (i > 0 && (!fits || old)) {
                    continue;
                }
                let (payoff, ticks) = self.payoff(job, w);
                let margin = payoff - self.workers[w].column_cost(job.need, 0, ticks);
                if best.as_ref().is_none_or(|b| margin > b.0) {
                    best = Some((margin, HistoryColumn { worker: w, payoff, need: job.need, ticks }));
                }
                if margin > 0.0 && fits && self.may_send(job, w) {
                    ranked.push((margin, self.rng.rand_u64(), id, w));
                }
            }
        }
        best.into_iter().for_each(|b| self.history.push_front(b.1));
        self.history.truncate(HISTORY);
        let (stale, mut asked) = ((STALE_AFTER_RUNS * self.mean_run_time()) as Micros, BTreeSet::new());
        ranked.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (_, _, id, w) in ranked {
            if !self.jobs.get(&id).is_some_and(|j| j.waiting && self.fits(w, j)) {
                continue;
            }
            // An old figure says little: ask first, where allowed, and let no other job of the pass slip by.
            let moves = self.should_migrate(&self.jobs[&id]);
            let (worker, now) = (&mut self.workers[w], self.now);
            let old =
                self.settings.limits.health_checks_allowed && !moves && now - worker.room[SLOT].at > stale;
            if old && now - worker.health_checked_at > stale {
                // One worker a job and pass: a question costs, and the best one's answer may do.
                if asked.insert(id) {
                    worker.health_checked_at = now;
                    out.push(Action::HealthCheck(worker.listed.worker));
                }
            } else if !old || now - worker.health_checked_at >= self.tick / 8 {
                self.send(id, w, out);
            }
        }
        self.candidates.iter().for_each(|w| self.workers[*w].changed = false);
    }

    /// A job that may not go out again, or that a free worker would hardly serve in time, nor late for some
    /// worth, is answered at once: it would only take room, at its worker, too, from those that wait here.
    fn answer_hopeless(&mut self, out: &mut Vec<Action>) {
        let best = self
            .candidates
            .iter()
            .map(|w| self.workers[*w].snapshot.run_time_per_work)
            .fold(f64::INFINITY, f64::min);
        let least = if self.settings.tail_miss_fraction.is_some() {
            MIN_TIMELY_PROBABILITY
        } else {
            MIN_USEFUL_PROBABILITY
        };
        let may = self.settings.limits.cancel && self.settings.reports_start;
        let lost = |j: &Job| {
            let (class, t) = (&self.settings.classes[j.class], j.attempts.iter().rfind(|t| t.in_flight));
            let stands = |t: &Attempt| may && !j.ended && !j.waiting && t.booked && t.started.is_none();
            let held = t.map_or(j.waiting && best.is_finite(), stands);
            let stretch =
                t.map_or(best, |t| self.log_slowdown(&self.workers[t.worker]).exp() * SECOND as f64);
            let (in_time, in_life) =
                if held { self.success_probabilities(j, stretch, 0.0) } else { (1.0, 1.0) };
            let bound = held && t.is_none() && !j.repeatable(self.now);
            in_time.max(class.late_answer_fraction * in_life) < least
                || bound
                || self.has_no_eligible_worker(j)
        };
        let lost: Vec<JobId> = self.jobs.iter().filter(|j| lost(j.1)).map(|j| *j.0).collect();
        lost.into_iter().for_each(|id| self.answer(id, out));
    }

    /// Whether a waiting job may go to no worker that is ready, as each may still tell of an earlier attempt.
    fn has_no_eligible_worker(&self, job: &Job) -> bool {
        let barred = |worker: &(u64, usize)| job.late_report_possible_from.contains(&worker.1);
        job.waiting && !self.hash_ring.is_empty() && self.hash_ring.iter().all(barred)
    }

    // ---- Timers ----

    /// One tick timer, and only while something waits or is out.
    fn set_tick_timer(&mut self, out: &mut Vec<Action>) {
        let gap = (self.tick / if self.waiting.is_empty() { 2 } else { 8 }).max(self.settings.tick);
        if !self.jobs.is_empty() && self.tick_due.is_none_or(|due| due > self.now + gap) {
            self.tick_due = Some(self.now + gap);
            out.push(Action::Timer { delay: gap, token: TICK_TOKEN });
        }
    }
}
