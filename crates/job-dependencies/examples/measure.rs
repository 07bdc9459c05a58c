//! Measures the list, and prints tables in Markdown: a flood from one brand under three orders of release, and what
//! jobs cost by their number.

use roselock_job_dependencies::*;
use std::collections::{BTreeSet, VecDeque};
use std::time::Instant;

const SECOND: Micros = 1_000_000;
const NAMES: [&str; 8] =
    ["conecta", "airenorte", "valleonda", "picosnet", "ruralink", "montewifi", "cantabred", "paramo"];
const SHARES: [f64; 8] = [20.0, 19.0, 18.0, 16.0, 13.0, 7.0, 4.0, 3.0];
/// Releases a second, and seconds, in simulated time.
const CAPACITY: i64 = 40;
const SECONDS: i64 = 300;
/// Most jobs of one brand that wait.
const QUEUE: usize = 400;

fn new(id: JobId, tenant: usize, now: Micros) -> NewJob<(usize, Micros)> {
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

/// An order of release.
trait Order {
    fn push(&mut self, id: JobId, tenant: usize, now: Micros) -> bool;
    fn pop(&mut self, now: Micros) -> Option<(usize, Micros)>;
}

impl Order for Waiting<(usize, Micros)> {
    fn push(&mut self, id: JobId, tenant: usize, now: Micros) -> bool {
        self.submit(new(id, tenant, now), now, 0).is_ok()
    }
    fn pop(&mut self, now: Micros) -> Option<(usize, Micros)> {
        let job = self.release(now)?;
        self.complete(job.id, Outcome::Served, now);
        Some(job.payload)
    }
}

/// First in, first out, within the same bound in all.
struct Fifo(VecDeque<(usize, Micros)>);

impl Order for Fifo {
    fn push(&mut self, _: JobId, tenant: usize, now: Micros) -> bool {
        let room = self.0.len() < QUEUE * SHARES.len();
        if room {
            self.0.push_back((tenant, now));
        }
        room
    }
    fn pop(&mut self, _: Micros) -> Option<(usize, Micros)> {
        self.0.pop_front()
    }
}

/// The largest share first, always.
struct Priorities(BTreeSet<(usize, Micros, JobId)>, [usize; 8]);

impl Order for Priorities {
    fn push(&mut self, id: JobId, tenant: usize, now: Micros) -> bool {
        let room = self.1[tenant] < QUEUE;
        if room {
            self.1[tenant] += 1;
            self.0.insert((tenant, now, id));
        }
        room
    }
    fn pop(&mut self, _: Micros) -> Option<(usize, Micros)> {
        let (tenant, came, _) = self.0.pop_first()?;
        self.1[tenant] -= 1;
        Some((tenant, came))
    }
}

#[derive(Default)]
struct Seen {
    waits: [Vec<Micros>; 8],
    refused: [usize; 8],
}

/// A flood from the first brand at ten times the capacity, half of its share from every other.
fn play(order: &mut dyn Order) -> Seen {
    let mut seen = Seen::default();
    let mut id = 0;
    let total: f64 = SHARES.iter().sum();
    let mut owed = [0.0; 8];
    for step in 0..SECONDS * CAPACITY {
        let now = step * SECOND / CAPACITY;
        for tenant in 0..8 {
            owed[tenant] += if tenant == 0 { 10.0 } else { SHARES[tenant] / total / 2.0 };
            while owed[tenant] >= 1.0 {
                owed[tenant] -= 1.0;
                id += 1;
                seen.refused[tenant] += !order.push(id, tenant, now) as usize;
            }
        }
        if let Some((tenant, came)) = order.pop(now) {
            seen.waits[tenant].push(now - came);
        }
    }
    seen
}

fn flood() {
    println!("## A flood from one brand\n");
    println!(
        "{CAPACITY} releases a second for {SECONDS} s of simulated time. {} brings ten times that, every other brand half \
         of its share; at most {QUEUE} jobs a brand wait. Waits in seconds.\n",
        NAMES[0]
    );
    println!(
        "| brand | share | longest, fair | p99 | bound | longest, first in first out | p99 | refused | longest, priorities | served of its jobs, priorities |"
    );
    println!("| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |");
    let set = Settings {
        shares: SHARES.to_vec(),
        max_jobs: 1 << 20,
        max_jobs_per_tenant: QUEUE,
        max_outcomes: 8,
        outcome_retention: SECOND,
    };
    let mut fair = Waiting::new(set);
    let of =
        [play(&mut fair), play(&mut Fifo(VecDeque::new())), play(&mut Priorities(BTreeSet::new(), [0; 8]))];
    let secs = |t: Micros| t as f64 / SECOND as f64;
    let longest = |s: &Seen, t: usize| secs(s.waits[t].iter().copied().max().unwrap_or(0));
    let p99 = |s: &Seen, t: usize| {
        let mut waits = s.waits[t].clone();
        waits.sort_unstable();
        secs(waits.get(waits.len().saturating_sub(1) * 99 / 100).copied().unwrap_or(0))
    };
    for tenant in 0..8 {
        let [f, first, strict] = &of;
        // A brand below its share queues little; its bound is that of the most it had, here at most ten jobs.
        let queued = if tenant == 0 { QUEUE } else { 10 };
        let bound = secs(fair.longest_wait(tenant, queued, CAPACITY as f64));
        let all = strict.waits[tenant].len() + strict.refused[tenant];
        println!(
            "| {} | {:.0}% | {:.2} | {:.2} | {bound:.1} | {:.2} | {:.2} | {} | {:.2} | {:.2} |",
            NAMES[tenant],
            SHARES[tenant],
            longest(f, tenant),
            p99(f, tenant),
            longest(first, tenant),
            p99(first, tenant),
            first.refused[tenant],
            longest(strict, tenant),
            strict.waits[tenant].len() as f64 / all.max(1) as f64,
        );
    }
    let served = |s: &Seen| s.waits.iter().map(Vec::len).sum::<usize>();
    println!(
        "\nReleased in all: {} fair, {} first in first out, {} by priorities. The last column is the share of a brand's \
         jobs that priorities released within the run.\n",
        served(&of[0]),
        served(&of[1]),
        served(&of[2])
    );
}

fn resident() -> usize {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    statm.split(' ').nth(1).and_then(|n| n.parse::<usize>().ok()).unwrap_or(0) * 4096
}

fn cost() {
    println!("## What jobs cost\n");
    println!(
        "Jobs without a payload, a fifth of them after another one; the mean of 1,000 of each at that depth, in ns. What \
         grows beyond a logarithm is the cache: a job touched is one not seen for long.\n"
    );
    println!("| waiting | bytes a job | submit | release and end | cancel |");
    println!("| ---: | ---: | ---: | ---: | ---: |");
    for n in [1_000u64, 100_000, 1_000_000] {
        let set = Settings {
            shares: SHARES.to_vec(),
            max_jobs: 4 << 20,
            max_jobs_per_tenant: 4 << 20,
            max_outcomes: 1000,
            outcome_retention: SECOND,
        };
        let before = resident();
        let mut list: Waiting<()> = Waiting::new(set);
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
        (1..=n).for_each(|id| _ = list.submit(job(id), 0, 0).expect("room"));
        let bytes = resident().saturating_sub(before) / n as usize;
        let timed = |mut act: Box<dyn FnMut(u64) + '_>| {
            let start = Instant::now();
            (0..1000).for_each(&mut act);
            start.elapsed().as_nanos() / 1000
        };
        let submit = timed(Box::new(|i| _ = list.submit(job(n + 1 + i), 0, 0).expect("room")));
        let release = timed(Box::new(|_| {
            if let Some(job) = list.release(0) {
                list.complete(job.id, Outcome::Served, 0);
            }
        }));
        let cancel = timed(Box::new(|i| _ = list.cancel(n + 1 + i, 0)));
        // So few that what the process holds anyway hides them.
        let bytes = if n < 10_000 { "-".to_owned() } else { bytes.to_string() };
        println!("| {n} | {bytes} | {submit} | {release} | {cancel} |");
    }
    println!();
}

fn main() {
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    println!("Machine: {cores} cores; one is used.\n");
    flood();
    cost();
}
