//! Measures a simulated cluster: `measure [MEMBERS] [LOSS] [SECONDS] [SEED]`. All members start within one second.
//! After an idle period of 20 seconds, the list changes and members fail; the remaining time has packet loss only.

#[path = "../tests/sim/mod.rs"]
mod sim;

use roselock_peers::SECOND;
use roselock_peers::membership::Change;
use roselock_peers::peers::DatagramCount;
use sim::{Simulation, node_index};

fn arg<T: std::str::FromStr>(n: usize, default: T) -> T {
    std::env::args().nth(n).and_then(|a| a.parse().ok()).unwrap_or(default)
}

fn quantiles(mut all: Vec<i64>) -> String {
    all.sort_unstable();
    let at = |fraction: f64| {
        all.get(((all.len() - 1) as f64 * fraction) as usize).map_or(0.0, |t| *t as f64 / 1e6)
    };
    format!("p50 {:.3} p99 {:.3} last {:.3} s", at(0.5), at(0.99), at(1.0))
}

/// The delay that stands for an event that has not happened by the end of the measurement.
const NOT_REACHED: i64 = i64::MAX / 2;

fn main() {
    let (n, loss): (usize, f64) = (arg(1, 300), arg(2, 0.0));
    let (seconds, seed): (i64, u64) = (arg(3, 60), arg(4, 1));
    let mut simulation = Simulation::new(n, seed);
    simulation.packet_loss = loss;
    let started = std::time::Instant::now();
    println!("{n} members, loss {loss}, seed {seed}");
    measure_start(&mut simulation, n);
    measure_idle(&mut simulation, n);
    measure_changes(&mut simulation);
    measure_failures(&mut simulation, n);
    simulation.run_until(seconds.max(simulation.now / SECOND) * SECOND);
    println!("false failure reports in {} s: {}", simulation.now / SECOND, simulation.false_failures(0));
    println!("wall time {:.0} s", started.elapsed().as_secs_f64());
}

/// Starts all members within one second, and measures the first 30 seconds.
fn measure_start(simulation: &mut Simulation, n: usize) {
    for i in 0..n {
        simulation.run_until(i as i64 * SECOND / n as i64);
        simulation.start(i);
    }
    let mut complete_at = None;
    for quarter in 5..=120 {
        simulation.run_until(quarter * SECOND / 4);
        if complete_at.is_none() && simulation.unseen_pairs(|_, _| true).is_empty() {
            complete_at = Some(simulation.now);
        }
    }
    let first = simulation.nodes.iter().filter_map(|x| x.first_list_at).min().unwrap_or(0);
    let listed = simulation
        .nodes
        .iter()
        .map(|x| x.first_list_at.map_or(NOT_REACHED, |l| l - x.started_at.max(first)))
        .collect();
    println!("calls to the discovery service in 30 s: {}", simulation.service_calls);
    println!(
        "delay from the first list at any member (or the own start) to the own first list: {}",
        quantiles(listed)
    );
    println!("membership complete at all members after {:?} s", complete_at.map(|at| at as f64 / 1e6));
}

/// Returns the packets and bytes that each member has sent.
fn sent(simulation: &Simulation) -> Vec<DatagramCount> {
    simulation
        .nodes
        .iter()
        .filter_map(|node| node.peers.as_ref().map(|peers| peers.statistics().sent))
        .collect()
}

/// Measures the traffic and processor time of 20 idle seconds.
fn measure_idle(simulation: &mut Simulation, n: usize) {
    let (before, from, started) = (sent(simulation), simulation.now, std::time::Instant::now());
    simulation.run_until(from + 20 * SECOND);
    let sum = before.iter().zip(&sent(simulation)).fold(DatagramCount::default(), |sum, (before, after)| {
        DatagramCount {
            packets: sum.packets + after.packets - before.packets,
            bytes: sum.bytes + after.bytes - before.bytes,
        }
    });
    let each = |total: u64| total as f64 / n as f64 / 20.0;
    let processor_seconds = started.elapsed().as_secs_f64() / n as f64 / 20.0;
    println!(
        "per member and second: {:.1} packets, {:.0} bytes, {:.0} us of processor time",
        each(sum.packets),
        each(sum.bytes),
        processor_seconds * 1e6
    );
}

/// Measures ten changes of the list, three seconds apart.
fn measure_changes(simulation: &mut Simulation) {
    let mut delays = Vec::new();
    for k in 0..10 {
        simulation.change_hosts(&[&format!("s-{k}")], 2);
        let at = simulation.now;
        simulation.run_until(at + 3 * SECOND);
        delays.extend(
            simulation
                .nodes
                .iter()
                .map(|x| if x.rev == simulation.rev { x.rev_at - at } else { NOT_REACHED }),
        );
    }
    println!("delay from a change of the list to its arrival: {}", quantiles(delays));
}

/// Measures the detection of up to ten failures, ten seconds apart.
fn measure_failures(simulation: &mut Simulation, n: usize) {
    let mut delays = Vec::new();
    for k in 0..10.min(n / 10) {
        let (failed, at) = (n / 2 + k, simulation.now);
        simulation.kill(failed);
        simulation.run_until(at + 10 * SECOND);
        let lost = |c: &&(i64, Change)| {
            c.0 >= at && matches!(&c.1, Change::Lost(m) if node_index(m.address) == failed)
        };
        let detection_delay =
            |x: usize| simulation.nodes[x].changes.iter().find(lost).map_or(NOT_REACHED, |c| c.0 - at);
        delays.extend(simulation.running().map(detection_delay));
    }
    println!("delay from a failure to its detection: {}", quantiles(delays));
}
