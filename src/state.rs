//! The state that the decision module keeps: plain types, no decisions (those are in `rules.rs`).

use crate::api::*;
use crate::rules::{POOL_WEIGHT, WATCH_TOKEN};
use roselock_discovery_client::lease::ListLease;
use roselock_discovery_client::poll_schedule::{GOLDEN_RATIO, PollSchedule};
use std::collections::{BTreeMap, VecDeque};

/// Look-ahead of the prices, in ticks: longer runs are priced as if they ended there.
pub(crate) const HORIZON: usize = 16;
pub(crate) const SLOT: usize = 0;
pub(crate) const MEMORY: usize = 1;
/// A figure for each resource and tick of the look-ahead.
pub(crate) type ResourceTimeline = [[f64; HORIZON]; 2];

/// One attempt of a job.
#[derive(Default)]
pub(crate) struct Attempt {
    pub(crate) worker: usize,
    pub(crate) sent_at: Micros,
    pub(crate) started: Option<Micros>,
    /// Last word about this attempt.
    pub(crate) heard: Micros,
    /// Expected run time in microseconds.
    pub(crate) expected_run: f64,
    /// Own slots booked at the worker when it was sent.
    pub(crate) booked_before: f64,
    pub(crate) in_flight: bool,
    /// Its booking still counts.
    pub(crate) booked: bool,
    pub(crate) never_ran: bool,
    /// How long it may stand without a start before it is called off, and whether it was.
    pub(crate) patience: Micros,
    pub(crate) withdrawn: bool,
}

/// The lease on the list of workers at the start.
fn list_lease(set: &Settings) -> ListLease {
    let connect = set.limits.connect_timeout;
    match (set.list_lease_enabled, set.list_unconfirmed) {
        (false, _) => ListLease::unlimited(),
        (true, false) => ListLease::unconfirmed(connect),
        (true, true) => ListLease::trusted(connect),
    }
}

/// A tenant's jobs of a class.
pub(crate) type TenantClass = (Option<TenantId>, ClassId);

#[derive(Default)]
pub(crate) struct Job {
    pub(crate) class: usize,
    /// What its class said of repeats when it came: new settings are for those that come after them.
    pub(crate) effect: Idempotency,
    pub(crate) lane: TenantClass,
    pub(crate) need: [f64; 2],
    /// Expected work in seconds at speed 1, and whether a hint says so.
    pub(crate) work: f64,
    pub(crate) hinted: bool,
    pub(crate) key: Option<KeyId>,
    /// Workers where its data is likely, see `Dispatcher::homes`.
    pub(crate) cached_on: [Option<usize>; 2],
    pub(crate) arrived: Micros,
    /// When its client first asked, as far as known.
    pub(crate) first_asked_at: Micros,
    pub(crate) deadline: Micros,
    /// Worth in mean worths.
    pub(crate) value: f64,
    pub(crate) attempts: Vec<Attempt>,
    /// Workers that may still tell of an attempt that has ended.
    pub(crate) late_report_possible_from: Vec<usize>,
    pub(crate) waiting: bool,
    pub(crate) streaming: bool,
    pub(crate) ended: bool,
}

impl Job {
    pub(crate) fn new(new: &JobRequest, hint: Option<f64>, now: Micros) -> Job {
        Job {
            class: new.class.0 as usize,
            lane: (new.tenant, new.class),
            need: [new.slots.max(0.0), new.memory.max(0.0)],
            hinted: hint.is_some(),
            arrived: now,
            deadline: now.saturating_add(new.budget.max(0)),
            waiting: true,
            ..Job::default()
        }
    }
    /// Whether an earlier attempt leaves its class the right to one more.
    pub(crate) fn repeatable(&self, now: Micros) -> bool {
        let first = self.attempts.iter().find(|t| !t.never_ran);
        match self.effect {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => first.is_none(),
            Idempotency::IdempotencyKey { window, .. } => first.is_none_or(|t| now - t.sent_at < window),
        }
    }
    pub(crate) fn any_in_flight(&self) -> bool {
        self.attempts.iter().any(|t| t.in_flight)
    }
}

/// A mean that forgets with time.
#[derive(Clone, Default)]
pub(crate) struct DecayingMean {
    pub(crate) sum: f64,
    pub(crate) weight: f64,
    pub(crate) at: Micros,
}

impl DecayingMean {
    pub(crate) fn keep(&self, now: Micros, memory: f64) -> f64 {
        let age = (now - self.at).max(0) as f64 / memory;
        // Spares the exponential where nothing is left to keep.
        if self.weight == 0.0 || age > 10.0 { 0.0 } else { (-age).exp() }
    }
    pub(crate) fn add(&mut self, x: f64, weight: f64, now: Micros, memory: f64) {
        let keep = self.keep(now, memory);
        self.sum = self.sum * keep + x * weight;
        self.weight = self.weight * keep + weight;
        self.at = now;
    }
    /// The mean, pulled towards `prior` as if that were `POOL_WEIGHT` samples, ever more as it ages.
    pub(crate) fn pooled(&self, prior: f64, now: Micros, memory: f64) -> f64 {
        let keep = self.keep(now, memory);
        (self.sum * keep + POOL_WEIGHT * prior) / (self.weight * keep + POOL_WEIGHT)
    }
}

/// Learned room for our own jobs in one resource of a worker: what we hold plus what is free.
#[derive(Clone)]
pub(crate) struct CapacityEstimate {
    /// Most ever seen, the worker's total as far as known; slow mean; latest figure with its time.
    pub(crate) total: f64,
    pub(crate) mean: f64,
    pub(crate) latest: f64,
    pub(crate) at: Micros,
    pub(crate) reported: bool,
    /// Last 'full' or late start.
    pub(crate) exhausted_at: Option<Micros>,
}

impl CapacityEstimate {
    pub(crate) fn new(room: f64, now: Micros) -> CapacityEstimate {
        CapacityEstimate {
            total: room,
            mean: room,
            latest: room,
            at: now,
            reported: false,
            exhausted_at: None,
        }
    }
}

/// What is known of a worker, in an order that keeps what every pass touches together: with many dispatchers on
/// a machine their memory is cold, and a large fleet is walked at each pass.
#[repr(C)]
pub(crate) struct Worker {
    pub(crate) listed: Endpoint,
    /// When its process started, by our own clock; none: long ago.
    pub(crate) started: Option<Micros>,
    pub(crate) ready: bool,
    /// Most `units` listed.
    pub(crate) size: f64,
    /// Own bookings, those of them that run, and the learned room for them.
    pub(crate) booked_need: [f64; 2],
    pub(crate) running: [f64; 2],
    /// What ran until then, latest last: beside this a report was made.
    pub(crate) running_history: VecDeque<(Micros, [f64; 2])>,
    pub(crate) room: [CapacityEstimate; 2],
    /// Time from send to start in microseconds; log(run time / work); and a lower bound of the latter from
    /// own jobs that overrun.
    pub(crate) wait: DecayingMean,
    pub(crate) log_slowdown: DecayingMean,
    pub(crate) overrun: f64,
    /// How long, in microseconds, an own job has stood there that did not start.
    pub(crate) head_of_line_wait: f64,
    pub(crate) successes: f64,
    pub(crate) failures: DecayingMean,
    /// After an error no trial before this time, and how long that was put off.
    pub(crate) retry_after_error: Option<Micros>,
    pub(crate) error_backoff: Micros,
    /// Silent or unreachable: no room before this time, then single trials.
    pub(crate) ejected_until: Option<Micros>,
    pub(crate) ejection_backoff: Micros,
    pub(crate) trial_in_flight: bool,
    /// Its process was last seen to be down.
    pub(crate) down_at: Option<Micros>,
    /// A connection that broke is all that says so.
    pub(crate) reset_is_only_sign: bool,
    pub(crate) heard: Micros,
    pub(crate) health_checked_at: Micros,
    /// When each idle connection fell idle; work sent within the last `safety.fall`; keys sent, latest first.
    pub(crate) idle_connections: Vec<Micros>,
    pub(crate) recent_sends: Vec<(Micros, f64)>,
    /// Lanes that it turns away, and until when that is taken for so.
    pub(crate) rejected_classes: Vec<(TenantClass, Micros)>,
    /// Sent to since connections were last closed, or had an outcome since.
    pub(crate) connected: bool,
    pub(crate) recent_keys: VecDeque<KeyId>,
    /// 0 the first of our order, as many as each scheduler's share of the fleet; 1 the rest of our zone; 2 beyond.
    pub(crate) locality_tier: usize,
    /// Something was learned since the last pass, and what that pass held true of it.
    pub(crate) changed: bool,
    pub(crate) snapshot: WorkerSnapshot,
    pub(crate) price: ResourceTimeline,
    /// Prefix sums of the prices.
    pub(crate) price_sums: [[f64; HORIZON + 1]; 2],
    /// Residual room along the look-ahead, and its use by the sampled history.
    pub(crate) residual: ResourceTimeline,
    pub(crate) used: ResourceTimeline,
}

/// A worker as one pass sees it, so that a margin takes few operations.
#[derive(Clone, Default)]
pub(crate) struct WorkerSnapshot {
    /// Run time in microseconds of one second's work, wait before it, chance of success seen alone.
    pub(crate) run_time_per_work: f64,
    pub(crate) wait: f64,
    pub(crate) success: f64,
    /// Crossing zones and a new connection.
    pub(crate) fees: f64,
    /// Room for one more job, in each resource; without figures an idle worker may start anything.
    pub(crate) free: [f64; 2],
    /// One job may wait there for the next slot.
    pub(crate) may_queue: bool,
}

impl Worker {
    /// Work sent to it from then on, as far as it is remembered.
    pub(crate) fn sent_since(&self, at: Micros) -> f64 {
        self.recent_sends.iter().filter(|s| s.0 >= at).map(|s| s.1).sum()
    }

    pub(crate) fn new(e: &Endpoint, room: [f64; 2], price: ResourceTimeline, now: Micros) -> Worker {
        let mut worker = Worker {
            listed: e.clone(),
            started: e.started_at.map(|up| up.min(now)),
            size: e.units,
            ready: e.state == EndpointState::Ready,
            booked_need: [0.0; 2],
            running: [0.0; 2],
            running_history: VecDeque::new(),
            room: room.map(|r| CapacityEstimate::new(r, now)),
            wait: DecayingMean::default(),
            log_slowdown: DecayingMean::default(),
            overrun: f64::NEG_INFINITY,
            head_of_line_wait: 0.0,
            successes: 1.0,
            failures: DecayingMean::default(),
            retry_after_error: None,
            error_backoff: 0,
            ejected_until: None,
            ejection_backoff: 0,
            trial_in_flight: false,
            down_at: None,
            reset_is_only_sign: false,
            heard: now,
            health_checked_at: 0,
            idle_connections: Vec::new(),
            recent_sends: Vec::new(),
            rejected_classes: Vec::new(),
            connected: false,
            recent_keys: VecDeque::new(),
            price,
            price_sums: [[0.0; HORIZON + 1]; 2],
            residual: ResourceTimeline::default(),
            used: ResourceTimeline::default(),
            locality_tier: 0,
            changed: true,
            snapshot: WorkerSnapshot::default(),
        };
        worker.update_price_sums();
        worker
    }
    pub(crate) fn remember(&mut self, key: KeyId, most: usize) {
        self.recent_keys.retain(|k| *k != key);
        self.recent_keys.push_front(key);
        self.recent_keys.truncate(most);
    }
    pub(crate) fn reject_class(&mut self, lane: TenantClass, until: Micros) {
        self.rejected_classes.retain(|s| s.0 != lane);
        self.rejected_classes.push((lane, until));
    }
    pub(crate) fn rejects_class(&self, lane: TenantClass, now: Micros) -> bool {
        self.rejected_classes.iter().any(|s| s.0 == lane && s.1 > now)
    }
    pub(crate) fn has_prices(&self) -> bool {
        self.price_sums.iter().any(|c| c[HORIZON] > 0.0)
    }
    /// Imputed cost of a column: `need` along `ticks` from tick `from` on.
    pub(crate) fn column_cost(&self, need: [f64; 2], from: usize, ticks: f64) -> f64 {
        let end = (from as f64 + ticks).min(HORIZON as f64);
        let (whole, part) = (end as usize, end.fract());
        let along = |r: usize| {
            let tail = if part > 0.0 { part * self.price[r][whole] } else { 0.0 };
            self.price_sums[r][whole] + tail - self.price_sums[r][from]
        };
        need[SLOT] * along(SLOT) + if need[MEMORY] > 0.0 { need[MEMORY] * along(MEMORY) } else { 0.0 }
    }
    /// Drops past ticks; the far end starts from its neighbour's price.
    pub(crate) fn advance(&mut self, steps: usize) {
        for price in &mut self.price {
            price.rotate_left(steps);
            let last = price[HORIZON - 1 - steps];
            price[HORIZON - steps..].fill(last);
        }
        self.update_price_sums();
    }
    /// Bookings are about to change.
    pub(crate) fn record_running(&mut self, now: Micros) {
        self.running_history.push_back((now, self.running));
        while self.running_history.front().is_some_and(|p| p.0 < now - 2 * SECOND) {
            self.running_history.pop_front();
        }
    }
    /// Own bookings that ran at that time.
    pub(crate) fn running_at(&self, at: Micros) -> [f64; 2] {
        self.running_history.iter().find(|p| p.0 > at).map_or(self.running, |p| p.1)
    }
    /// Books a job's need, or frees it with a negative `sign`; `runs`: it counts as running.
    pub(crate) fn book(&mut self, need: [f64; 2], sign: f64, runs: bool, now: Micros) {
        self.record_running(now);
        for r in [SLOT, MEMORY] {
            self.booked_need[r] = (self.booked_need[r] + sign * need[r]).max(0.0);
            if runs {
                self.running[r] = (self.running[r] + sign * need[r]).max(0.0);
            }
        }
    }
    pub(crate) fn update_price_sums(&mut self) {
        for (price, cost) in self.price.iter().zip(self.price_sums.iter_mut()) {
            for i in 0..HORIZON {
                cost[i + 1] = cost[i] + price[i];
            }
        }
    }
}

/// A column of the history, kept relative to its start so that it stands for a like job starting at any tick.
pub(crate) struct HistoryColumn {
    pub(crate) worker: usize,
    pub(crate) payoff: f64,
    pub(crate) need: [f64; 2],
    pub(crate) ticks: f64,
}

/// Adds a column, `need` along `ticks` from tick `from` on.
pub(crate) fn add_column(lanes: &mut ResourceTimeline, need: [f64; 2], from: usize, ticks: f64) {
    for (lane, need) in lanes.iter_mut().zip(need) {
        for (b, sum) in lane.iter_mut().enumerate().skip(from) {
            *sum += need * (ticks - (b - from) as f64).clamp(0.0, 1.0);
        }
    }
}

/// A mean over the latest samples, about as many as `add` is told.
#[derive(Default)]
pub(crate) struct RunningMean {
    pub(crate) mean: f64,
    pub(crate) seen: f64,
}

impl RunningMean {
    pub(crate) fn add(&mut self, x: f64, weight: f64, most: f64) {
        self.seen = (self.seen + weight).min(most);
        self.mean += (x - self.mean) * weight / self.seen.max(weight);
    }
}

/// A lognormal quantity, by the means of its logarithm and of that squared.
pub(crate) struct LogNormalEstimate {
    log: RunningMean,
    square: RunningMean,
}

impl LogNormalEstimate {
    /// A first guess: a factor of e either way of `middle`.
    pub(crate) fn new(middle: f64) -> LogNormalEstimate {
        let log = middle.ln();
        LogNormalEstimate {
            log: RunningMean { mean: log, seen: 1.0 },
            square: RunningMean { mean: log * log + 1.0, seen: 1.0 },
        }
    }
    pub(crate) fn add(&mut self, log: f64, weight: f64, most: f64) {
        self.log.add(log, weight, most);
        self.square.add(log * log, weight, most);
    }
    /// Chance of a value below `x`, with the logistic curve for the normal one.
    pub(crate) fn below(&self, x: f64) -> f64 {
        let deviation = (self.square.mean - self.log.mean * self.log.mean).max(0.01).sqrt();
        if x <= 0.0 { 0.0 } else { 1.0 / (1.0 + (-1.7 * (x.ln() - self.log.mean) / deviation).exp()) }
    }
}

/// Notes a time, and drops those older than the span.
pub(crate) fn push_recent(times: &mut VecDeque<Micros>, now: Micros, span: Micros) {
    times.push_back(now);
    while times.front().is_some_and(|at| *at < now - span) {
        times.pop_front();
    }
}

/// Spreads the bits of an id (the finaliser of SplitMix64).
pub(crate) fn mix_bits(id: u64) -> u64 {
    let x = (id ^ (id >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The seat of scheduler `me` in an order of `all` of them: a permutation in which any few numbers lie apart
/// (multiples of a number prime to `all`, near its golden section).
pub(crate) fn seat(me: u32, all: u32) -> u64 {
    let (me, all) = (u64::from(me), u64::from(all.max(1)));
    let prime = |to: u64| {
        let (mut a, mut b) = (to, all);
        while b != 0 {
            (a, b) = (b, a % b);
        }
        a == 1
    };
    let step = (((all as f64 * GOLDEN_RATIO) as u64).max(1)..=all).find(|s| prime(*s)).unwrap_or(1);
    me % all * step % all
}

/// One scheduler's decisions. Feed it every event through [`Dispatcher::step`].
pub struct Dispatcher {
    pub(crate) settings: Settings,
    pub(crate) rng: oorandom::Rand64,
    pub(crate) now: Micros,
    pub(crate) started: bool,
    pub(crate) workers: Vec<Worker>,
    pub(crate) index: BTreeMap<WorkerId, usize>,
    pub(crate) jobs: BTreeMap<JobId, Job>,
    /// In the order of arrival.
    pub(crate) waiting: Vec<JobId>,
    pub(crate) classes: Vec<RunningMean>,
    /// How the work of each class varies, where it is learned from runs.
    pub(crate) spreads: Vec<LogNormalEstimate>,
    /// The most patience a client of a class came with: that of a first try.
    pub(crate) patience: Vec<Micros>,
    pub(crate) kind_slowdown: BTreeMap<KindId, DecayingMean>,
    /// Mean pace of each kind as of the last pass.
    pub(crate) kind_mean_slowdown: BTreeMap<KindId, f64>,
    /// Most slots seen at a worker of each kind.
    pub(crate) kind_total: BTreeMap<KindId, f64>,
    pub(crate) fleet_slowdown: DecayingMean,
    pub(crate) tenant_rate: Vec<DecayingMean>,
    pub(crate) arrival_rate: DecayingMean,
    /// The same over a longer span, and when we began to count.
    pub(crate) long_term_rate: DecayingMean,
    pub(crate) counting_since: Micros,
    /// Jobs taken, and attempts beyond a job's first, within the site's window where these are counted.
    pub(crate) admitted: VecDeque<Micros>,
    pub(crate) retries: VecDeque<Micros>,
    pub(crate) mean_weight: RunningMean,
    pub(crate) work: RunningMean,
    /// Latest first.
    pub(crate) history: VecDeque<HistoryColumn>,
    /// The ready workers by a hash of their ids; those of our zone and beyond, in our order, and the cold
    /// ones in our care; those of the latest pass; those priced or asked for by the history.
    pub(crate) hash_ring: Vec<(u64, usize)>,
    pub(crate) order: [Vec<usize>; 3],
    pub(crate) candidates: Vec<usize>,
    pub(crate) active_workers: Vec<usize>,
    /// Wait at each pool's workers without own jobs there.
    pub(crate) waits: [DecayingMean; 3],
    /// Mean run time, and the wait at workers that others fill, as of the latest pass.
    pub(crate) outlook: (f64, [f64; 3]),
    /// Length of a price tick, number of the first one priced, and the payoff window's end T.
    pub(crate) tick: Micros,
    pub(crate) bucket: Micros,
    pub(crate) window_end: f64,
    pub(crate) priced: Micros,
    pub(crate) expired_at: Micros,
    pub(crate) tick_due: Option<Micros>,
    /// Highest chance of success among the workers.
    pub(crate) best_success: f64,
    /// Our seat in an order of all schedulers; it follows from the settings.
    pub(crate) seat: u64,
    /// When discovery is called.
    pub(crate) poll_schedule: PollSchedule,
    /// How long the list may be acted on.
    pub(crate) lease: ListLease,
    /// Discovery has told what it knows: a start that it tells of from now on is a new one.
    pub(crate) list_synchronized: bool,
    /// The list is one of before and not confirmed yet, and that is to be minded.
    pub(crate) list_unconfirmed: bool,
    /// The quickest start of a job in each zone.
    pub(crate) quickest_start: BTreeMap<ZoneId, Micros>,
    /// Workers out by hand, with what the list said of them last, if it named them.
    pub(crate) suspended: BTreeMap<WorkerId, Option<EndpointState>>,
}

impl Dispatcher {
    /// Nothing known yet but the settings and first guesses of the work.
    pub(crate) fn with_estimates(
        set: Settings,
        seed: u64,
        classes: Vec<RunningMean>,
        work: RunningMean,
        tick: Micros,
    ) -> Dispatcher {
        Dispatcher {
            rng: oorandom::Rand64::new(seed as u128),
            now: 0,
            started: false,
            workers: Vec::new(),
            index: BTreeMap::new(),
            jobs: BTreeMap::new(),
            waiting: Vec::new(),
            spreads: classes.iter().map(|c| LogNormalEstimate::new(c.mean)).collect(),
            patience: vec![0; classes.len()],
            classes,
            kind_slowdown: BTreeMap::new(),
            kind_mean_slowdown: BTreeMap::new(),
            kind_total: BTreeMap::new(),
            fleet_slowdown: DecayingMean::default(),
            tenant_rate: vec![DecayingMean::default(); set.tenants.len()],
            arrival_rate: DecayingMean::default(),
            long_term_rate: DecayingMean::default(),
            counting_since: 0,
            admitted: VecDeque::new(),
            retries: VecDeque::new(),
            mean_weight: RunningMean::default(),
            work,
            history: VecDeque::new(),
            hash_ring: Vec::new(),
            order: [Vec::new(), Vec::new(), Vec::new()],
            candidates: Vec::new(),
            active_workers: Vec::new(),
            waits: Default::default(),
            outlook: (0.0, [0.0; 3]),
            tick,
            bucket: 0,
            window_end: 0.0,
            priced: 0,
            expired_at: 0,
            tick_due: None,
            best_success: 1.0,
            seat: seat(set.instance_index, set.fleet_size),
            poll_schedule: PollSchedule::new(set.list_call_time),
            lease: list_lease(&set),
            list_synchronized: false,
            // Where nobody is asked, nobody ever confirms.
            list_unconfirmed: set.list_unconfirmed && set.watch_required,
            quickest_start: BTreeMap::new(),
            suspended: BTreeMap::new(),
            settings: set,
        }
    }

    /// Takes news of the workers: the list, or one taken out by hand or given back.
    pub(crate) fn handle_list_event(&mut self, event: &Event, out: &mut Vec<Action>) {
        match event {
            Event::EndpointList { mode, endpoints } => {
                if *mode != ListMode::Cached {
                    self.discovery_answered();
                }
                self.apply_list(*mode, endpoints, out);
                self.list_synchronized |= *mode != ListMode::Cached;
            }
            Event::WatchEnded(end) => self.watch_ended(*end, out),
            Event::DiscoveryMoved(at) => self.lease.discovery_moved(*at),
            Event::SuspensionChanged { worker, suspended: by_hand } => self.suspend(*worker, *by_hand, out),
            _ => {}
        }
    }

    fn discovery_answered(&mut self) {
        self.lease.renew();
        if self.poll_schedule.record_answer(self.now) && std::mem::take(&mut self.list_unconfirmed) {
            // Who is in doubt only for the age of the list is so no longer.
            let new = |w: &&mut Worker| w.ejection_backoff == 0;
            self.workers.iter_mut().filter(new).for_each(|w| (w.ejected_until, w.changed) = (None, true));
        }
    }

    /// Asks anew, more slowly so as not to crowd discovery, but within the time that binds us.
    fn watch_ended(&mut self, end: WatchEnd, out: &mut Vec<Action>) {
        let after = self.poll_schedule.delay_after_end(
            self.now,
            self.settings.poll_parameters(),
            self.rng.rand_float(),
            end,
        );
        self.lease.watch_ended(end, self.now + after);
        out.push(Action::Timer { delay: after, token: WATCH_TOKEN });
    }

    /// When a process started that the list tells of anew, by our own clock. Clocks may be stepped, its machine's, the list's
    /// and our own: what it says is believed where our own steady clock bears it out, which is the time since the list was in
    /// step. Else it has started now. Before the first word of discovery nothing bears it out, nor contradicts it.
    pub(crate) fn start_time(&self, told: Option<Micros>) -> Option<Micros> {
        if !self.list_synchronized {
            return told.map(|up| up.min(self.now));
        }
        let since = self.lease.in_sync_at(self.now);
        Some(told.filter(|up| (since..=self.now).contains(up)).unwrap_or(self.now))
    }

    /// Whether the list of workers may be acted on: nothing is sent while it may not.
    pub fn list_is_valid(&self) -> bool {
        self.lease.is_valid(self.now)
    }

    /// Reads lines of the list through the workers out by hand: those are draining, whatever the list says.
    fn apply_list(&mut self, mode: ListMode, entries: &[Endpoint], out: &mut Vec<Action>) {
        if self.suspended.is_empty() {
            return self.update_workers(mode, entries, out);
        }
        let mut heeded = entries.to_vec();
        for e in &mut heeded {
            if let Some(said) = self.suspended.get_mut(&e.worker) {
                *said = Some(e.state);
                e.state = if e.state == EndpointState::Ready { EndpointState::Draining } else { e.state };
            }
        }
        self.update_workers(mode, &heeded, out);
    }

    /// Takes a worker out by hand, or gives it back as the list last said; a second call of the same is nothing.
    fn suspend(&mut self, worker: WorkerId, by_hand: bool, out: &mut Vec<Action>) {
        let known = self.index.get(&worker).map(|&w| self.workers[w].listed.clone());
        if by_hand {
            if self.suspended.contains_key(&worker) {
                return;
            }
            self.suspended.insert(worker, known.as_ref().map(|e| e.state));
            known.into_iter().for_each(|e| self.apply_list(ListMode::Changes, &[e], out));
        } else if let Some(said) = self.suspended.remove(&worker)
            && let (Some(mut e), Some(said)) = (known, said)
        {
            e.state = said;
            self.update_workers(ListMode::Changes, &[e], out);
        }
    }

    /// Whether the decisions avoid a worker now: by hand, or because it erred or fell silent of late.
    pub fn is_avoided(&self, worker: WorkerId) -> bool {
        let Some(&w) = self.index.get(&worker) else { return self.suspended.contains_key(&worker) };
        let (w, now) = (&self.workers[w], self.now);
        let later = |until: Option<Micros>| until.is_some_and(|until| until > now);
        self.suspended.contains_key(&worker)
            || (w.ready && (later(w.ejected_until) || later(w.retry_after_error)))
    }

    /// Takes new settings in the place of the old ones; classes and tenants must be as many.
    pub fn update_settings(&mut self, set: &Settings) -> Result<(), SettingsError> {
        set.check()?;
        let sizes = |s: &Settings| (s.classes.len(), s.tenants.len());
        if sizes(set) != sizes(&self.settings) {
            let problem = "must be as many as before";
            return Err(SettingsError { field: "classes and tenants".to_owned(), problem });
        }
        (self.settings, self.seat) = (set.clone(), seat(set.instance_index, set.fleet_size));
        self.lease.set_connect_timeout(set.limits.connect_timeout);
        Ok(())
    }

    /// Our place in the order of all schedulers that is the seats, turned by a hash.
    pub(crate) fn sequence_rank(&self, turned: u64) -> u64 {
        let all = u64::from(self.settings.fleet_size);
        (self.seat + turned % all) % all
    }

    /// `n` different columns of the history, each with a tick of the look-ahead.
    pub(crate) fn draw_columns(&mut self, n: usize) -> Vec<(usize, usize)> {
        let len = self.history.len();
        let mut order: Vec<usize> = (0..len).collect();
        let mut draw = |i| {
            order.swap(i, self.rng.rand_range(i as u64..len as u64) as usize);
            (order[i], self.rng.rand_range(0..HORIZON as u64) as usize)
        };
        (0..n).map(&mut draw).collect()
    }

    /// The job's answer has begun.
    pub(crate) fn stream_accepted(&mut self, id: JobId) {
        self.stop_waiting(id);
        self.jobs.entry(id).and_modify(|j| j.streaming = true);
    }

    /// Takes a job off the waiting ones.
    pub(crate) fn stop_waiting(&mut self, id: JobId) {
        if self.jobs.get_mut(&id).is_some_and(|j| std::mem::take(&mut j.waiting)) {
            self.waiting.retain(|w| *w != id);
        }
    }

    /// Mean room and prices of the workers known so far, or `first` room.
    pub(crate) fn initial_estimates(&self, first: f64) -> ([f64; 2], ResourceTimeline) {
        let ready = || self.workers.iter().filter(|w| w.ready);
        let n = ready().count() as f64;
        if n == 0.0 {
            return ([first; 2], ResourceTimeline::default());
        }
        let room = [SLOT, MEMORY].map(|r| ready().map(|w| w.room[r].total).sum::<f64>() / n);
        let mean = |r: usize, b: usize| ready().map(|w| w.price[r][b]).sum::<f64>() / n;
        (room, [SLOT, MEMORY].map(|r| std::array::from_fn(|b| mean(r, b))))
    }
}
