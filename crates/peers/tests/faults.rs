//! Simulations of many members under faults of members, links and the discovery service.

mod sim;

use roselock_peers::SECOND;
use roselock_peers::membership::Change;
use rstest::rstest;
use sim::{Simulation, node_index};

/// Returns the seed of the simulation, from `SIM_SEED`. The printed seed of a failed test reproduces the failure.
fn seed() -> u64 {
    let seed = std::env::var("SIM_SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    println!("seed {seed}");
    seed
}

/// Returns a simulation whose members have all started and joined.
fn joined(n: usize) -> Simulation {
    let mut simulation = Simulation::new(n, seed());
    join(&mut simulation);
    simulation
}

/// Starts all members within one second, and checks that all are live at all others after 30 seconds.
fn join(simulation: &mut Simulation) {
    let n = simulation.nodes.len();
    for i in 0..n {
        simulation.run_until(i as i64 * SECOND / n as i64);
        simulation.start(i);
    }
    simulation.run_until(30 * SECOND);
    assert_eq!(simulation.unseen_pairs(|_, _| true), [], "not all members are live at all others");
}

/// When all members start within one second, only a few call the discovery service, and all have its list soon after.
#[rstest]
#[case(30)]
#[case(120)]
fn members_that_start_within_one_second_share_the_list(#[case] n: usize) {
    let mut simulation = Simulation::new(n, seed());
    for i in 0..n {
        simulation.run_until(i as i64 * SECOND / n as i64);
        simulation.start(i);
    }
    simulation.run_until(4 * SECOND);
    assert_eq!(simulation.unseen_pairs(|_, _| true), [], "not all members are live at all others after 3 s");
    simulation.run_until(30 * SECOND);
    let first = simulation.nodes.iter().filter_map(|x| x.first_list_at).min().expect("a member has a list");
    let late = simulation
        .nodes
        .iter()
        .filter(|x| x.first_list_at.is_none_or(|l| l > x.started_at.max(first) + 2 * SECOND))
        .count();
    assert_eq!((late, simulation.service_calls <= 12), (0, true), "{} calls", simulation.service_calls);
    assert!(
        simulation.nodes.iter().all(|x| x.fleet.size == n as u32),
        "not all members count the whole fleet"
    );
    let mut indices: Vec<u32> = simulation.nodes.iter().map(|x| x.fleet.index).collect();
    indices.sort_unstable();
    assert!(
        indices.iter().enumerate().all(|(i, s)| i as u32 == *s),
        "the indices in the fleet are not unique"
    );
}

/// A change of the list reaches almost all members within a bound and all of them later, even with packet loss.
#[rstest]
#[case(0.0, 250_000)]
#[case(0.1, 1_000_000)]
#[case(0.3, 3_000_000)]
fn a_change_reaches_all_members(#[case] loss: f64, #[case] within: i64) {
    let mut simulation = joined(80);
    simulation.packet_loss = loss;
    for k in 0..5 {
        simulation.change_hosts(&[&format!("s-{k}")], 2);
        let at = simulation.now;
        simulation.run_until(at + within);
        let behind = simulation.nodes.iter().filter(|x| x.rev != simulation.rev).count();
        assert!(behind * 100 <= 80, "{behind} members have not received the change within {within} us");
        simulation.run_until(at + 5 * SECOND);
        assert!(
            simulation.nodes.iter().all(|x| x.rev == simulation.rev),
            "some members have not received the change"
        );
    }
}

/// All members report within a bound that a member has failed or left, and no running member is reported as failed.
#[rstest]
#[case::killed(false)]
#[case::left(true)]
fn a_failed_or_departed_member_is_detected(#[case] leaves: bool) {
    let mut simulation = joined(50);
    let at = simulation.now;
    if leaves {
        simulation.leave(20)
    } else {
        simulation.kill(20)
    }
    simulation.run_until(at + if leaves { SECOND / 2 } else { 5 * SECOND });
    let is_reported = |c: &(i64, Change)| match &c.1 {
        Change::Lost(m) => !leaves && node_index(m.address) == 20,
        Change::Left(m) => leaves && node_index(m.address) == 20,
        _ => false,
    };
    let unaware = simulation
        .running()
        .filter(|n| !simulation.nodes[*n].changes.iter().any(|c| c.0 >= at && is_reported(c)))
        .count();
    assert_eq!((unaware, simulation.false_failures(at)), (0, 0));
    // A member that has left is not counted; a failed one may be partitioned and is still counted.
    let size = if leaves { 49 } else { 50 };
    assert!(simulation.running().all(|n| simulation.nodes[n].fleet.size == size));
    simulation.run_until(at + simulation.longest_partition + 10 * SECOND);
    assert!(simulation.running().all(|n| simulation.nodes[n].fleet.size == 49));
}

/// Packet loss and partitions between some members do not cause a running member to be reported as failed.
#[rstest]
#[case::tenth_lost(0.1, "", 60)]
#[case::third_lost(0.3, "", 120)]
#[case::one_way(0.0, "one way", 60)]
#[case::two_zones(0.0, "two zones", 60)]
#[case::two_zones_and_loss(0.05, "two zones", 60)]
fn lossy_or_partitioned_links_fail_no_live_member(
    #[case] loss: f64,
    #[case] link_fault: &'static str,
    #[case] seconds: i64,
) {
    let mut simulation = joined(45);
    let at = simulation.now;
    simulation.packet_loss = loss;
    simulation.link_works = match link_fault {
        "one way" => Box::new(|a, b| !(a < 5 && (15..30).contains(&b))),
        // Two of three zones.
        "two zones" => Box::new(|a, b| [a % 3, b % 3] != [0, 1] && [a % 3, b % 3] != [1, 0]),
        _ => Box::new(|_, _| true),
    };
    simulation.run_until(at + seconds * SECOND);
    assert_eq!(simulation.false_failures(at), 0);
    let rejoined = simulation
        .nodes
        .iter()
        .flat_map(|x| &x.changes)
        .filter(|c| matches!(c.1, Change::Rejoined(_)))
        .count();
    assert_eq!(rejoined, 0, "some members were declared down and rejoined");
}

/// After a partition all members rejoin, and up to the longest expected partition both sides count all dispatchers.
#[rstest]
#[case::halves(25, 5)]
#[case::halves_for_long(25, 30)]
#[case::for_longer(25, 300)]
#[case::one_alone(1, 30)]
fn a_partition_heals(#[case] side: usize, #[case] seconds: i64) {
    let mut simulation = Simulation::new(50, seed());
    simulation.longest_partition = 600 * SECOND;
    join(&mut simulation);
    let at = simulation.now;
    simulation.link_works = Box::new(move |a, b| (a < side) == (b < side));
    // The discovery service is on the second side.
    simulation.reaches_service = Box::new(move |n| n >= side);
    simulation.run_until(at + seconds * SECOND / 2);
    simulation.change_hosts(&["s-1"], 2);
    simulation.run_until(at + seconds * SECOND);
    if seconds < 300 {
        assert!(simulation.nodes.iter().all(|x| x.fleet.size == 50), "one side counts only its own members");
    }
    assert!(simulation.nodes[side..].iter().all(|x| x.rev == simulation.rev));
    simulation.link_works = Box::new(|_, _| true);
    simulation.reaches_service = Box::new(|_| true);
    simulation.run_until(simulation.now + 15 * SECOND);
    assert_eq!(simulation.unseen_pairs(|_, _| true), [], "the partition has not healed");
    assert!(simulation.nodes.iter().all(|x| x.rev == simulation.rev && x.fleet.size == 50));
}

/// Members that continue after a stop rejoin, and do not report others as failed.
#[rstest]
#[case(2)]
#[case(5)]
#[case(60)]
fn stopped_members_rejoin_when_they_continue(#[case] seconds: i64) {
    let mut simulation = joined(50);
    let at = simulation.now;
    (0..5).for_each(|n| simulation.stop(n * 10));
    simulation.run_until(at + seconds * SECOND);
    let continued_at = simulation.now;
    (0..5).for_each(|n| simulation.resume(n * 10));
    simulation.run_until(continued_at + 10 * SECOND);
    let lost = |c: &(i64, Change)| {
        c.0 >= continued_at && matches!(&c.1, Change::Lost(m) if !node_index(m.address).is_multiple_of(10))
    };
    let mistaken = (0..50).filter(|n| simulation.nodes[*n].changes.iter().any(lost)).count();
    assert_eq!(mistaken, 0, "a stopped member reported others as failed");
    assert_eq!(simulation.unseen_pairs(|_, _| true), [], "not all members have rejoined");
}

/// A cluster works with clocks of different rates: a third of the clocks is 5% fast.
#[rstest]
fn clocks_may_run_at_different_rates() {
    let mut simulation = Simulation::new(40, seed());
    (0..40).for_each(|n| simulation.nodes[n].clock_rate = if n % 3 == 0 { 1.05 } else { 1.0 });
    (0..40).for_each(|n| simulation.start(n));
    simulation.run_until(60 * SECOND);
    assert_eq!((simulation.unseen_pairs(|_, _| true), simulation.false_failures(0)), (Vec::new(), 0));
    simulation.change_hosts(&["s-1"], 2);
    simulation.run_until(simulation.now + 2 * SECOND);
    assert!(simulation.nodes.iter().all(|x| x.rev == simulation.rev));
}

/// A member can restart under its name ten times in ten seconds, and once with an earlier generation, as after its
/// wall clock was set back.
#[rstest]
fn a_member_can_restart_repeatedly() {
    let mut simulation = joined(40);
    for _ in 0..10 {
        simulation.kill(7);
        simulation.run_until(simulation.now + SECOND / 2);
        simulation.start(7);
        simulation.run_until(simulation.now + SECOND / 2);
    }
    simulation.run_until(simulation.now + 10 * SECOND);
    assert_eq!(simulation.unseen_pairs(|_, _| true), []);
    simulation.kill(8);
    simulation.run_until(simulation.now + 10 * SECOND);
    simulation.start_in_generation(8, 3);
    simulation.run_until(simulation.now + 10 * SECOND);
    assert_eq!(
        simulation.unseen_pairs(|_, _| true),
        [],
        "the later generation of the former process prevents the rejoin"
    );
}

/// Each change reaches all members while one watcher after another is killed, stopped, or partitioned from the discovery
/// service or from its peers.
#[rstest]
#[case("killed")]
#[case("stopped")]
#[case("cut off from the service")]
#[case("cut off from its peers")]
fn changes_reach_all_while_watchers_fail(#[case] fault: &str) {
    let mut simulation = joined(40);
    for k in 0..4 {
        let watcher = simulation
            .running()
            .find(|n| simulation.is_watching(*n) && !simulation.nodes[*n].stopped)
            .expect("a member watches the service");
        let link_works = move |a: usize, b: usize| a != watcher && b != watcher;
        match fault {
            "killed" => simulation.kill(watcher),
            "stopped" => simulation.stop(watcher),
            "cut off from the service" => simulation.reaches_service = Box::new(move |n| n != watcher),
            _ => simulation.link_works = Box::new(link_works),
        }
        let at = simulation.now;
        simulation.change_hosts(&[&format!("s-{k}")], 2);
        simulation.run_until(at + SECOND);
        let behind = simulation
            .running()
            .filter(|n| {
                *n != watcher && !simulation.nodes[*n].stopped && simulation.nodes[*n].rev != simulation.rev
            })
            .count();
        assert_eq!(behind, 0, "watcher {watcher}, fault: {fault}");
        simulation.run_until(at + 10 * SECOND);
        let watching = simulation
            .running()
            .filter(|n| simulation.is_watching(*n) && !simulation.nodes[*n].stopped && *n != watcher)
            .count();
        assert!(watching >= 6, "{watching} members watch the service after fault: {fault}");
    }
}

/// The list of a restarted discovery service replaces the earlier one, even with a lower or the same revision.
#[rstest]
#[case::lower(1)]
#[case::the_same(3)]
fn the_list_of_a_restarted_service_replaces_the_earlier_one(#[case] rev: u64) {
    let mut simulation = joined(40);
    simulation.change_hosts(&["s-1"], 2);
    simulation.run_until(simulation.now + 2 * SECOND);
    simulation.change_hosts(&["s-2"], 2);
    simulation.run_until(simulation.now + 2 * SECOND);
    assert_eq!(simulation.rev, 3);
    simulation.service_hosts.remove("s-5");
    simulation.restart_service(rev);
    simulation.run_until(simulation.now + 10 * SECOND);
    let stored_list = |n: usize| {
        simulation.nodes[n]
            .peers
            .as_ref()
            .and_then(|peers| peers.list(simulation.now))
            .map(|list| (list.version, list.hosts))
    };
    let first = stored_list(0);
    assert!(first.is_some_and(|f| f.0.generation == 2 && f.0.rev == rev && f.1 == 59), "{first:?}");
    assert!((0..40).all(|n| stored_list(n) == first));
}

/// While the discovery service is unreachable, only the watchers call it until the lists of the others are stale.
/// After it is reachable again, only the watchers keep a watch.
#[rstest]
fn only_watchers_call_an_unreachable_service_while_lists_are_fresh() {
    let mut simulation = joined(40);
    let calls = simulation.service_calls;
    simulation.reaches_service = Box::new(|_| false);
    simulation.run_until(simulation.now + 8 * SECOND);
    let early = simulation.running().filter(|n| simulation.is_watching(*n)).count();
    assert!(early <= 12, "{early} members watch while their list is fresh");
    simulation.run_until(simulation.now + 20 * SECOND);
    simulation.reaches_service = Box::new(|_| true);
    simulation.run_until(simulation.now + 20 * SECOND);
    let watching = simulation.running().filter(|n| simulation.is_watching(*n)).count();
    assert!(
        (6..=12).contains(&watching),
        "{watching} members watch the service, {} calls",
        simulation.service_calls - calls
    );
    simulation.change_hosts(&["s-1"], 2);
    simulation.run_until(simulation.now + SECOND);
    assert!(simulation.nodes.iter().all(|x| x.rev == simulation.rev));
}

/// The number of stored members is bounded: further members are rejected.
#[rstest]
fn the_number_of_stored_members_is_bounded() {
    let mut simulation = Simulation::new(60, seed());
    simulation.max_members = 30;
    (0..60).for_each(|n| simulation.start(n));
    simulation.run_until(20 * SECOND);
    for n in 0..60 {
        let known = simulation.nodes[n]
            .peers
            .as_ref()
            .expect("the member is running")
            .member_statuses(simulation.now)
            .len();
        assert!(known <= 31, "{known}");
    }
}

/// Three hundred members that start at the same time all join (a thousand: docs/measurements/peers.md).
#[rstest]
fn three_hundred_members_join_simultaneously() {
    let mut simulation = Simulation::new(300, seed());
    (0..300).for_each(|n| simulation.start(n));
    simulation.run_until(10 * SECOND);
    assert_eq!(simulation.unseen_pairs(|_, _| true), []);
    assert!(
        simulation.nodes.iter().all(|x| x.first_list_at.is_some()) && simulation.service_calls <= 12,
        "{} calls",
        simulation.service_calls
    );
}
