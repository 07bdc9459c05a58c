//! Measures members in simulated time: `measure [MEMBERS] [LOSS] [SECONDS] [SEED]`. All start in one second; then come
//! 20 quiet seconds, changes of the list, deaths, and the rest of the time with nothing but loss.

#[path = "../tests/sim/mod.rs"]
mod sim;

use roselock_peers::SECOND;
use roselock_peers::membership::Change;
use roselock_peers::peers::DatagramCount;
use sim::{World, number};

fn arg<T: std::str::FromStr>(n: usize, otherwise: T) -> T {
    std::env::args().nth(n).and_then(|a| a.parse().ok()).unwrap_or(otherwise)
}

fn shares(mut all: Vec<i64>) -> String {
    all.sort_unstable();
    let at = |share: f64| all.get(((all.len() - 1) as f64 * share) as usize).map_or(0.0, |t| *t as f64 / 1e6);
    format!("p50 {:.3} p99 {:.3} last {:.3} s", at(0.5), at(0.99), at(1.0))
}

/// What has not happened by the end counts as this late.
const NEVER: i64 = i64::MAX / 2;

fn main() {
    let (n, loss): (usize, f64) = (arg(1, 300), arg(2, 0.0));
    let (seconds, seed): (i64, u64) = (arg(3, 60), arg(4, 1));
    let mut world = World::new(n, seed);
    world.loss = loss;
    let began = std::time::Instant::now();
    println!("{n} members, loss {loss}, seed {seed}");
    measure_start(&mut world, n);
    measure_rest(&mut world, n);
    measure_changes(&mut world);
    measure_deaths(&mut world, n);
    world.run_until(seconds.max(world.now / SECOND) * SECOND);
    println!("false deaths told in {} s: {}", world.now / SECOND, world.false_failures(0));
    println!("wall time {:.0} s", began.elapsed().as_secs_f64());
}

/// All members start within a second; 30 seconds pass.
fn measure_start(world: &mut World, n: usize) {
    for i in 0..n {
        world.run_until(i as i64 * SECOND / n as i64);
        world.start(i);
    }
    let mut complete_at = None;
    for quarter in 5..=120 {
        world.run_until(quarter * SECOND / 4);
        if complete_at.is_none() && world.unseen_pairs(|_, _| true).is_empty() {
            complete_at = Some(world.now);
        }
    }
    let first = world.nodes.iter().filter_map(|x| x.first_list_at).min().unwrap_or(0);
    let listed =
        world.nodes.iter().map(|x| x.first_list_at.map_or(NEVER, |l| l - x.started_at.max(first))).collect();
    println!("calls to the list service in 30 s: {}", world.calls);
    println!("from the first list (or the start) to one's own: {}", shares(listed));
    println!("all know all after {:?} s", complete_at.map(|at| at as f64 / 1e6));
}

/// Packets and bytes that each member has sent.
fn sent(world: &World) -> Vec<DatagramCount> {
    world.nodes.iter().filter_map(|node| node.peers.as_ref().map(|peers| peers.figures().sent)).collect()
}

/// Nothing happens for 20 seconds.
fn measure_rest(world: &mut World, n: usize) {
    let (before, from, real) = (sent(world), world.now, std::time::Instant::now());
    world.run_until(from + 20 * SECOND);
    let sum = before.iter().zip(&sent(world)).fold(DatagramCount::default(), |sum, (before, after)| {
        DatagramCount {
            packets: sum.packets + after.packets - before.packets,
            bytes: sum.bytes + after.bytes - before.bytes,
        }
    });
    let each = |of: u64| of as f64 / n as f64 / 20.0;
    let spent = real.elapsed().as_secs_f64() / n as f64 / 20.0;
    println!(
        "a member and second: {:.1} packets, {:.0} bytes, {:.0} us of a processor",
        each(sum.packets),
        each(sum.bytes),
        spent * 1e6
    );
}

/// Ten changes of the list, three seconds apart.
fn measure_changes(world: &mut World) {
    let mut delays = Vec::new();
    for k in 0..10 {
        world.change_hosts(&[&format!("s-{k}")], 2);
        let at = world.now;
        world.run_until(at + 3 * SECOND);
        delays.extend(world.nodes.iter().map(|x| if x.rev == world.rev { x.rev_at - at } else { NEVER }));
    }
    println!("from a change to those told of it: {}", shares(delays));
}

/// Up to ten members die, ten seconds apart.
fn measure_deaths(world: &mut World, n: usize) {
    let mut delays = Vec::new();
    for k in 0..10.min(n / 10) {
        let (dead, at) = (n / 2 + k, world.now);
        world.kill(dead);
        world.run_until(at + 10 * SECOND);
        let lost =
            |c: &&(i64, Change)| c.0 >= at && matches!(&c.1, Change::Lost(m) if number(m.address) == dead);
        let known = |x: usize| world.nodes[x].changes.iter().find(lost).map_or(NEVER, |c| c.0 - at);
        delays.extend(world.running().map(known));
    }
    println!("from a death to those that know: {}", shares(delays));
}
