//! Simulations of many members with faults of members, links and the discovery service.

mod sim;

use roselock_peers::SECOND;
use roselock_peers::membership::Change;
use rstest::rstest;
use sim::{World, number};

/// The seed of the simulation, from `SIM_SEED`: that of a failed test reproduces it.
fn seed() -> u64 {
    let seed = std::env::var("SIM_SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    println!("seed {seed}");
    seed
}

/// Members that have all started within one second and know one another.
fn joined(n: usize) -> World {
    let mut world = World::new(n, seed());
    join(&mut world);
    world
}

/// Starts all members within one second, and waits until they know one another.
fn join(world: &mut World) {
    let n = world.nodes.len();
    for i in 0..n {
        world.run_until(i as i64 * SECOND / n as i64);
        world.start(i);
    }
    world.run_until(30 * SECOND);
    assert_eq!(world.unseen_pairs(|_, _| true), [], "not all know all");
}

/// When all members start within one second, a few poll the discovery service, and all have its list soon after.
#[rstest]
#[case(30)]
#[case(120)]
fn members_that_start_within_one_second_share_the_list(#[case] n: usize) {
    let mut world = World::new(n, seed());
    for i in 0..n {
        world.run_until(i as i64 * SECOND / n as i64);
        world.start(i);
    }
    world.run_until(4 * SECOND);
    assert_eq!(world.unseen_pairs(|_, _| true), [], "not all know all after 3 s");
    world.run_until(30 * SECOND);
    let first = world.nodes.iter().filter_map(|x| x.first_list_at).min().expect("a list");
    let late = world
        .nodes
        .iter()
        .filter(|x| x.first_list_at.is_none_or(|l| l > x.started_at.max(first) + 2 * SECOND))
        .count();
    assert_eq!((late, world.calls <= 12), (0, true), "{} calls", world.calls);
    assert!(world.nodes.iter().all(|x| x.fleet.size == n as u32), "not all count all");
    let mut indices: Vec<u32> = world.nodes.iter().map(|x| x.fleet.me).collect();
    indices.sort_unstable();
    assert!(indices.iter().enumerate().all(|(i, s)| i as u32 == *s), "two of one number");
}

/// A change of the list reaches almost all members within a bound and all of them later, also with packet loss.
#[rstest]
#[case(0.0, 250_000)]
#[case(0.1, 1_000_000)]
#[case(0.3, 3_000_000)]
fn a_change_reaches_all_members(#[case] loss: f64, #[case] within: i64) {
    let mut world = joined(80);
    world.loss = loss;
    for k in 0..5 {
        world.change_hosts(&[&format!("s-{k}")], 2);
        let at = world.now;
        world.run_until(at + within);
        let behind = world.nodes.iter().filter(|x| x.rev != world.rev).count();
        assert!(behind * 100 <= 80, "{behind} have not heard of it within {within} us");
        world.run_until(at + 5 * SECOND);
        assert!(world.nodes.iter().all(|x| x.rev == world.rev), "some never heard of it");
    }
}

/// All members notice within a bound that a member has failed or left, and no live member counts as failed.
#[rstest]
#[case::killed(false)]
#[case::left(true)]
fn a_failed_or_departed_member_is_detected(#[case] leaves: bool) {
    let mut world = joined(50);
    let at = world.now;
    if leaves {
        world.leave(20)
    } else {
        world.kill(20)
    }
    world.run_until(at + if leaves { SECOND / 2 } else { 5 * SECOND });
    let is_reported = |c: &(i64, Change)| match &c.1 {
        Change::Lost(m) => !leaves && number(m.address) == 20,
        Change::Left(m) => leaves && number(m.address) == 20,
        _ => false,
    };
    let unaware = world
        .running()
        .filter(|n| !world.nodes[*n].changes.iter().any(|c| c.0 >= at && is_reported(c)))
        .count();
    assert_eq!((unaware, world.false_failures(at)), (0, 0));
    // A member that has left no longer counts; a failed one may be partitioned, and counts.
    let size = if leaves { 49 } else { 50 };
    assert!(world.running().all(|n| world.nodes[n].fleet.size == size));
    world.run_until(at + world.longest_partition + 10 * SECOND);
    assert!(world.running().all(|n| world.nodes[n].fleet.size == 49));
}

/// Packet loss and partitions between some members don't make a live member count as failed.
#[rstest]
#[case::tenth_lost(0.1, "", 60)]
#[case::third_lost(0.3, "", 120)]
#[case::one_way(0.0, "one way", 60)]
#[case::two_zones(0.0, "two zones", 60)]
#[case::two_zones_and_loss(0.05, "two zones", 60)]
fn bad_links_fail_no_live_member(#[case] loss: f64, #[case] cut: &'static str, #[case] seconds: i64) {
    let mut world = joined(45);
    let at = world.now;
    world.loss = loss;
    world.link_works = match cut {
        "one way" => Box::new(|a, b| !(a < 5 && (15..30).contains(&b))),
        // Two of three zones.
        "two zones" => Box::new(|a, b| [a % 3, b % 3] != [0, 1] && [a % 3, b % 3] != [1, 0]),
        _ => Box::new(|_, _| true),
    };
    world.run_until(at + seconds * SECOND);
    assert_eq!(world.false_failures(at), 0);
    let back = world.nodes.iter().flat_map(|x| &x.changes).filter(|c| matches!(c.1, Change::Back(_))).count();
    assert_eq!(back, 0, "some were is_reported that they are dead");
}

/// A partition heals, and until the longest expected partition both sides count all dispatchers.
#[rstest]
#[case::halves(25, 5)]
#[case::halves_for_long(25, 30)]
#[case::for_longer(25, 300)]
#[case::one_alone(1, 30)]
fn a_partition_heals(#[case] side: usize, #[case] seconds: i64) {
    let mut world = World::new(50, seed());
    world.longest_partition = 600 * SECOND;
    join(&mut world);
    let at = world.now;
    world.link_works = Box::new(move |a, b| (a < side) == (b < side));
    // The discovery service is on the second side.
    world.reaches_service = Box::new(move |n| n >= side);
    world.run_until(at + seconds * SECOND / 2);
    world.change_hosts(&["s-1"], 2);
    world.run_until(at + seconds * SECOND);
    if seconds < 300 {
        assert!(world.nodes.iter().all(|x| x.fleet.size == 50), "a side counts itself alone");
    }
    assert!(world.nodes[side..].iter().all(|x| x.rev == world.rev));
    world.link_works = Box::new(|_, _| true);
    world.reaches_service = Box::new(|_| true);
    world.run_until(world.now + 15 * SECOND);
    assert_eq!(world.unseen_pairs(|_, _| true), [], "it has not healed");
    assert!(world.nodes.iter().all(|x| x.rev == world.rev && x.fleet.size == 50));
}

/// Members that continue after a stop rejoin, and don't count others as failed.
#[rstest]
#[case(2)]
#[case(5)]
#[case(60)]
fn stopped_members_rejoin_when_they_continue(#[case] seconds: i64) {
    let mut world = joined(50);
    let at = world.now;
    (0..5).for_each(|n| world.stop(n * 10));
    world.run_until(at + seconds * SECOND);
    let on = world.now;
    (0..5).for_each(|n| world.resume(n * 10));
    world.run_until(on + 10 * SECOND);
    let lost = |c: &(i64, Change)| {
        c.0 >= on && matches!(&c.1, Change::Lost(m) if !number(m.address).is_multiple_of(10))
    };
    let believed = (0..50).filter(|n| world.nodes[*n].changes.iter().any(lost)).count();
    assert_eq!(believed, 0, "one that was stopped held others for dead");
    assert_eq!(world.unseen_pairs(|_, _| true), [], "not all are back");
}

/// Members whose clocks run at different rates work together: a third of the clocks is 5% fast.
#[rstest]
fn clocks_may_run_at_different_rates() {
    let mut world = World::new(40, seed());
    (0..40).for_each(|n| world.nodes[n].rate = if n % 3 == 0 { 1.05 } else { 1.0 });
    (0..40).for_each(|n| world.start(n));
    world.run_until(60 * SECOND);
    assert_eq!((world.unseen_pairs(|_, _| true), world.false_failures(0)), (Vec::new(), 0));
    world.change_hosts(&["s-1"], 2);
    world.run_until(world.now + 2 * SECOND);
    assert!(world.nodes.iter().all(|x| x.rev == world.rev));
}

/// A member can restart under its name ten times in ten seconds, and once with an earlier generation, as after a wall clock
/// that was set back.
#[rstest]
fn a_member_can_restart_repeatedly() {
    let mut world = joined(40);
    for _ in 0..10 {
        world.kill(7);
        world.run_until(world.now + SECOND / 2);
        world.start(7);
        world.run_until(world.now + SECOND / 2);
    }
    world.run_until(world.now + 10 * SECOND);
    assert_eq!(world.unseen_pairs(|_, _| true), []);
    world.kill(8);
    world.run_until(world.now + 10 * SECOND);
    world.start_in_generation(8, 3);
    world.run_until(world.now + 10 * SECOND);
    assert_eq!(world.unseen_pairs(|_, _| true), [], "its earlier generation blocks it");
}

/// Each change reaches all members although one watcher after another is killed, stopped, or partitioned from the discovery
/// service or from its peers.
#[rstest]
#[case("killed")]
#[case("stopped")]
#[case("cut off from the service")]
#[case("cut off from its peers")]
fn changes_reach_all_while_watchers_fail(#[case] how: &str) {
    let mut world = joined(40);
    for k in 0..4 {
        let watcher =
            world.running().find(|n| world.is_watching(*n) && !world.nodes[*n].stopped).expect("a watcher");
        let all = move |a: usize, b: usize| a != watcher && b != watcher;
        match how {
            "killed" => world.kill(watcher),
            "stopped" => world.stop(watcher),
            "cut off from the service" => world.reaches_service = Box::new(move |n| n != watcher),
            _ => world.link_works = Box::new(all),
        }
        let at = world.now;
        world.change_hosts(&[&format!("s-{k}")], 2);
        world.run_until(at + SECOND);
        let behind = world
            .running()
            .filter(|n| *n != watcher && !world.nodes[*n].stopped && world.nodes[*n].rev != world.rev)
            .count();
        assert_eq!(behind, 0, "watcher {watcher}, {how}");
        world.run_until(at + 10 * SECOND);
        let asking = world
            .running()
            .filter(|n| world.is_watching(*n) && !world.nodes[*n].stopped && *n != watcher)
            .count();
        assert!(asking >= 6, "{asking} keep the watch after {how}");
    }
}

/// The list of a restarted discovery service replaces the earlier one, also with a lower or the same revision.
#[rstest]
#[case::lower(1)]
#[case::the_same(3)]
fn the_list_of_a_restarted_service_replaces_the_earlier_one(#[case] rev: u64) {
    let mut world = joined(40);
    world.change_hosts(&["s-1"], 2);
    world.run_until(world.now + 2 * SECOND);
    world.change_hosts(&["s-2"], 2);
    world.run_until(world.now + 2 * SECOND);
    assert_eq!(world.rev, 3);
    world.service_hosts.remove("s-5");
    world.restart_service(rev);
    world.run_until(world.now + 10 * SECOND);
    let held = |n: usize| {
        world.nodes[n]
            .peers
            .as_ref()
            .and_then(|peers| peers.list(world.now))
            .map(|list| (list.version, list.hosts))
    };
    let first = held(0);
    assert!(first.is_some_and(|f| f.0.generation == 2 && f.0.rev == rev && f.1 == 59), "{first:?}");
    assert!((0..40).all(|n| held(n) == first));
}

/// While the discovery service does not answer, only the watchers call it, and the others once their list is stale. When it
/// answers again, only the watchers keep a watch.
#[rstest]
fn only_watchers_call_a_silent_service_while_lists_are_fresh() {
    let mut world = joined(40);
    let calls = world.calls;
    world.reaches_service = Box::new(|_| false);
    world.run_until(world.now + 8 * SECOND);
    let early = world.running().filter(|n| world.is_watching(*n)).count();
    assert!(early <= 12, "{early} ask while what they have is fresh");
    world.run_until(world.now + 20 * SECOND);
    world.reaches_service = Box::new(|_| true);
    world.run_until(world.now + 20 * SECOND);
    let asking = world.running().filter(|n| world.is_watching(*n)).count();
    assert!((6..=12).contains(&asking), "{asking} keep the watch, {} calls", world.calls - calls);
    world.change_hosts(&["s-1"], 2);
    world.run_until(world.now + SECOND);
    assert!(world.nodes.iter().all(|x| x.rev == world.rev));
}

/// The number of members that are stored is bounded: further names are rejected.
#[rstest]
fn the_number_of_stored_members_is_bounded() {
    let mut world = World::new(60, seed());
    world.max_members = 30;
    (0..60).for_each(|n| world.start(n));
    world.run_until(20 * SECOND);
    for n in 0..60 {
        let known = world.nodes[n].peers.as_ref().expect("up").standings(world.now).len();
        assert!(known <= 31, "{known}");
    }
}

/// Three hundred members start at the same time (a thousand: docs/measurements/peers.md).
#[rstest]
fn three_hundred_members_join_at_once() {
    let mut world = World::new(300, seed());
    (0..300).for_each(|n| world.start(n));
    world.run_until(10 * SECOND);
    assert_eq!(world.unseen_pairs(|_, _| true), []);
    assert!(
        world.nodes.iter().all(|x| x.first_list_at.is_some()) && world.calls <= 12,
        "{} calls",
        world.calls
    );
}
