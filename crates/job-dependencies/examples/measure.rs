//! Benchmarks the job queue and prints Markdown tables: waits during a flood from one tenant under three release
//! policies, and time and memory per job by queue length.

use roselock_job_dependencies::*;
use std::collections::{BTreeSet, VecDeque};
use std::time::Instant;

const SECOND: Micros = 1_000_000;
const TENANT_NAMES: [&str; 8] =
    ["conecta", "airenorte", "valleonda", "picosnet", "ruralink", "montewifi", "cantabred", "paramo"];
const SHARES: [f64; 8] = [20.0, 19.0, 18.0, 16.0, 13.0, 7.0, 4.0, 3.0];
/// Releases per second and duration, both in simulated time.
const RELEASES_PER_SECOND: i64 = 40;
const SIMULATED_SECONDS: i64 = 300;
/// The maximum number of queued jobs of one tenant.
const MAX_QUEUED_PER_TENANT: usize = 400;

fn new_job(id: JobId, tenant: usize, now: Micros) -> NewJob<(usize, Micros)> {
    NewJob {
        id,
        tenant,
        class: (id % 2) as usize,
        not_before: None,
        dependencies: Dependencies::default(),
        deadline: i64::MAX,
        payload: (tenant, now),
    }
}

/// A policy that decides the release order. Payloads are the tenant and the time of arrival.
trait ReleasePolicy {
    fn push(&mut self, id: JobId, tenant: usize, now: Micros) -> bool;
    fn pop(&mut self, now: Micros) -> Option<(usize, Micros)>;
}

impl ReleasePolicy for JobQueue<(usize, Micros)> {
    fn push(&mut self, id: JobId, tenant: usize, now: Micros) -> bool {
        self.submit(new_job(id, tenant, now), now, 0).is_ok()
    }
    fn pop(&mut self, now: Micros) -> Option<(usize, Micros)> {
        let job = self.release(now)?;
        self.complete(job.id, Outcome::Served, now);
        Some(job.payload)
    }
}

/// First in, first out, with the same total limit.
struct Fifo(VecDeque<(usize, Micros)>);

impl ReleasePolicy for Fifo {
    fn push(&mut self, _: JobId, tenant: usize, now: Micros) -> bool {
        let accepted = self.0.len() < MAX_QUEUED_PER_TENANT * SHARES.len();
        if accepted {
            self.0.push_back((tenant, now));
        }
        accepted
    }
    fn pop(&mut self, _: Micros) -> Option<(usize, Micros)> {
        self.0.pop_front()
    }
}

/// Strict priority: the tenant with the largest share first.
struct StrictPriority(BTreeSet<(usize, Micros, JobId)>, [usize; 8]);

impl ReleasePolicy for StrictPriority {
    fn push(&mut self, id: JobId, tenant: usize, now: Micros) -> bool {
        let accepted = self.1[tenant] < MAX_QUEUED_PER_TENANT;
        if accepted {
            self.1[tenant] += 1;
            self.0.insert((tenant, now, id));
        }
        accepted
    }
    fn pop(&mut self, _: Micros) -> Option<(usize, Micros)> {
        let (tenant, arrived, _) = self.0.pop_first()?;
        self.1[tenant] -= 1;
        Some((tenant, arrived))
    }
}

#[derive(Default)]
struct WaitStats {
    waits: [Vec<Micros>; 8],
    rejected: [usize; 8],
}

/// Simulates a flood from the first tenant at ten times the capacity; every other tenant submits half of its share.
fn simulate_flood(policy: &mut dyn ReleasePolicy) -> WaitStats {
    let mut stats = WaitStats::default();
    let mut id = 0;
    let total: f64 = SHARES.iter().sum();
    let mut credit = [0.0; 8];
    for step in 0..SIMULATED_SECONDS * RELEASES_PER_SECOND {
        let now = step * SECOND / RELEASES_PER_SECOND;
        for tenant in 0..8 {
            credit[tenant] += if tenant == 0 { 10.0 } else { SHARES[tenant] / total / 2.0 };
            while credit[tenant] >= 1.0 {
                credit[tenant] -= 1.0;
                id += 1;
                stats.rejected[tenant] += !policy.push(id, tenant, now) as usize;
            }
        }
        if let Some((tenant, arrived)) = policy.pop(now) {
            stats.waits[tenant].push(now - arrived);
        }
    }
    stats
}

fn print_flood() {
    println!("## Flood from one tenant\n");
    println!(
        "{RELEASES_PER_SECOND} releases per second for {SIMULATED_SECONDS} s of simulated time. {} submits ten times \
         that rate, every other tenant half of its share; at most {MAX_QUEUED_PER_TENANT} jobs per tenant are queued. \
         Waits in seconds.\n",
        TENANT_NAMES[0]
    );
    println!(
        "| tenant | share | max, fair | p99 | bound | max, FIFO | p99 | rejected, FIFO | max, strict priority | released, \
         strict priority |"
    );
    println!("| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    let settings = Settings {
        shares: SHARES.to_vec(),
        max_jobs: 1 << 20,
        max_jobs_per_tenant: MAX_QUEUED_PER_TENANT,
        max_outcomes: 8,
        outcome_retention: SECOND,
    };
    let mut fair = JobQueue::new(settings);
    let results = [
        simulate_flood(&mut fair),
        simulate_flood(&mut Fifo(VecDeque::new())),
        simulate_flood(&mut StrictPriority(BTreeSet::new(), [0; 8])),
    ];
    let secs = |t: Micros| t as f64 / SECOND as f64;
    let longest = |s: &WaitStats, t: usize| secs(s.waits[t].iter().copied().max().unwrap_or(0));
    let p99 = |s: &WaitStats, t: usize| {
        let mut waits = s.waits[t].clone();
        waits.sort_unstable();
        secs(waits.get(waits.len().saturating_sub(1) * 99 / 100).copied().unwrap_or(0))
    };
    for tenant in 0..8 {
        let [fair_stats, fifo, strict] = &results;
        // The bound depends on the queue length: a tenant below its share has at most ten jobs queued here.
        let queued = if tenant == 0 { MAX_QUEUED_PER_TENANT } else { 10 };
        let bound = secs(fair.longest_wait(tenant, queued, RELEASES_PER_SECOND as f64));
        let all = strict.waits[tenant].len() + strict.rejected[tenant];
        println!(
            "| {} | {:.0}% | {:.2} | {:.2} | {bound:.1} | {:.2} | {:.2} | {} | {:.2} | {:.2} |",
            TENANT_NAMES[tenant],
            SHARES[tenant],
            longest(fair_stats, tenant),
            p99(fair_stats, tenant),
            longest(fifo, tenant),
            p99(fifo, tenant),
            fifo.rejected[tenant],
            longest(strict, tenant),
            strict.waits[tenant].len() as f64 / all.max(1) as f64,
        );
    }
    let served = |s: &WaitStats| s.waits.iter().map(Vec::len).sum::<usize>();
    println!(
        "\nTotal releases: {} fair, {} FIFO, {} strict priority. The last column is the fraction of the tenant's jobs \
         that strict priority released during the run.\n",
        served(&results[0]),
        served(&results[1]),
        served(&results[2])
    );
}

fn resident_bytes() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm.split(' ').nth(1).and_then(|n| n.parse::<usize>().ok()).unwrap_or(0) * 4096
}

fn print_cost() {
    println!("## Cost per job\n");
    println!(
        "Jobs without a payload, a fifth of them with a prerequisite; mean of 1,000 operations at that queue length, \
         in ns. Growth beyond a logarithm comes from cache misses: each job was last accessed long before.\n"
    );
    println!("| queued | bytes per job | submit | release and complete | cancel |");
    println!("| ---: | ---: | ---: | ---: | ---: |");
    for n in [1_000u64, 100_000, 1_000_000] {
        let settings = Settings {
            shares: SHARES.to_vec(),
            max_jobs: 4 << 20,
            max_jobs_per_tenant: 4 << 20,
            max_outcomes: 1000,
            outcome_retention: SECOND,
        };
        let before = resident_bytes();
        let mut queue: JobQueue<()> = JobQueue::new(settings);
        let job = |id: JobId| NewJob {
            id,
            tenant: (id % 8) as usize,
            class: (id % 3) as usize,
            not_before: None,
            dependencies: Dependencies {
                prerequisites: if id.is_multiple_of(5) { vec![(id - 1, Condition::Ended)] } else { vec![] },
                ..Dependencies::default()
            },
            deadline: 1_000 * SECOND + id as Micros,
            payload: (),
        };
        (1..=n).for_each(|id| _ = queue.submit(job(id), 0, 0).expect("accepted"));
        let bytes = resident_bytes().saturating_sub(before) / n as usize;
        let timed = |mut operation: Box<dyn FnMut(u64) + '_>| {
            let start = Instant::now();
            (0..1000).for_each(&mut operation);
            start.elapsed().as_nanos() / 1000
        };
        let submit = timed(Box::new(|i| _ = queue.submit(job(n + 1 + i), 0, 0).expect("accepted")));
        let release = timed(Box::new(|_| {
            if let Some(job) = queue.release(0) {
                queue.complete(job.id, Outcome::Served, 0);
            }
        }));
        let cancel = timed(Box::new(|i| _ = queue.cancel(n + 1 + i, 0)));
        // The memory of so few jobs is lost in that of the rest of the process.
        let bytes = if n < 10_000 { "-".to_owned() } else { bytes.to_string() };
        println!("| {n} | {bytes} | {submit} | {release} | {cancel} |");
    }
    println!();
}

fn main() {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    println!("Machine: {cores} cores; one is used.\n");
    print_flood();
    print_cost();
}
