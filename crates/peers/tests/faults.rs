//! Many members in simulated time, with faults between them.

mod sim;

use roselock_peers::SECOND;
use roselock_peers::membership::Change;
use rstest::rstest;
use sim::{World, number};

/// A seed that failed is given back in SIM_SEED.
fn seed() -> u64 {
    let seed = std::env::var("SIM_SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    println!("seed {seed}");
    seed
}

/// A world of members that all started in one second and know each other.
fn joined(n: usize) -> World {
    let mut world = World::new(n, seed());
    join(&mut world);
    world
}

fn join(world: &mut World) {
    let n = world.nodes.len();
    for i in 0..n {
        world.run_until(i as i64 * SECOND / n as i64);
        world.start(i);
    }
    world.run_until(30 * SECOND);
    assert_eq!(world.blind(|_, _| true), [], "not all know all");
}

/// Guards against a start in which hundreds ask the list service: a few do, and all have its list soon after.
#[rstest]
#[case(30)]
#[case(120)]
fn all_start_in_one_second(#[case] n: usize) {
    let mut world = World::new(n, seed());
    for i in 0..n {
        world.run_until(i as i64 * SECOND / n as i64);
        world.start(i);
    }
    world.run_until(4 * SECOND);
    assert_eq!(world.blind(|_, _| true), [], "not all know all after 3 s");
    world.run_until(30 * SECOND);
    let first = world.nodes.iter().filter_map(|x| x.listed).min().expect("a list");
    let late =
        world.nodes.iter().filter(|x| x.listed.is_none_or(|l| l > x.started.max(first) + 2 * SECOND)).count();
    assert_eq!((late, world.calls <= 12), (0, true), "{} calls", world.calls);
    assert!(world.nodes.iter().all(|x| x.fleet.size == n as u32), "not all count all");
    let mut seats: Vec<u32> = world.nodes.iter().map(|x| x.fleet.me).collect();
    seats.sort_unstable();
    assert!(seats.iter().enumerate().all(|(i, s)| i as u32 == *s), "two of one number");
}

/// Guards against news that take a second, or reach not all: from the service to the last member, and a member that was
/// not there meanwhile.
#[rstest]
#[case(0.0, 250_000)]
#[case(0.1, 1_000_000)]
#[case(0.3, 3_000_000)]
fn a_change_reaches_all(#[case] loss: f64, #[case] within: i64) {
    let mut world = joined(80);
    world.loss = loss;
    for k in 0..5 {
        world.change(&[&format!("s-{k}")], 2);
        let at = world.now;
        world.run_until(at + within);
        let behind = world.nodes.iter().filter(|x| x.rev != world.rev).count();
        assert!(behind * 100 <= 80, "{behind} have not heard of it within {within} us");
        world.run_until(at + 5 * SECOND);
        assert!(world.nodes.iter().all(|x| x.rev == world.rev), "some never heard of it");
    }
}

/// Guards against a death that nobody notices, or late, and one that is told of a live member.
#[rstest]
#[case::killed(false)]
#[case::by_its_word(true)]
fn who_is_gone_is_known_to_be(#[case] leaves: bool) {
    let mut world = joined(50);
    let at = world.now;
    if leaves {
        world.leave(20)
    } else {
        world.kill(20)
    }
    world.run_until(at + if leaves { SECOND / 2 } else { 5 * SECOND });
    let told = |c: &(i64, Change)| match &c.1 {
        Change::Lost(m) => !leaves && number(m.address) == 20,
        Change::Left(m) => leaves && number(m.address) == 20,
        _ => false,
    };
    let unaware =
        world.up().filter(|n| !world.nodes[*n].changes.iter().any(|c| c.0 >= at && told(c))).count();
    assert_eq!((unaware, world.false_deaths(at)), (0, 0));
    // Who left is not counted any more; who was lost may be cut off, and is.
    let size = if leaves { 49 } else { 50 };
    assert!(world.up().all(|n| world.nodes[n].fleet.size == size));
    world.run_until(at + world.heal + 10 * SECOND);
    assert!(world.up().all(|n| world.nodes[n].fleet.size == 49));
}

/// Guards against members that are held for dead because words are lost, and against a cut between two that is taken for
/// a death.
#[rstest]
#[case::tenth_lost(0.1, "", 60)]
#[case::third_lost(0.3, "", 120)]
#[case::one_way(0.0, "one way", 60)]
#[case::two_zones(0.0, "two zones", 60)]
#[case::two_zones_and_loss(0.05, "two zones", 60)]
fn nobody_dies_of_bad_links(#[case] loss: f64, #[case] cut: &'static str, #[case] seconds: i64) {
    let mut world = joined(45);
    let at = world.now;
    world.loss = loss;
    world.passes = match cut {
        "one way" => Box::new(|a, b| !(a < 5 && (15..30).contains(&b))),
        // Of three.
        "two zones" => Box::new(|a, b| [a % 3, b % 3] != [0, 1] && [a % 3, b % 3] != [1, 0]),
        _ => Box::new(|_, _| true),
    };
    world.run_until(at + seconds * SECOND);
    assert_eq!(world.false_deaths(at), 0);
    let back = world.nodes.iter().flat_map(|x| &x.changes).filter(|c| matches!(c.1, Change::Back(_))).count();
    assert_eq!(back, 0, "some were told that they are dead");
}

/// Guards against a split that never heals, and against a smaller number of dispatchers while it may: both sides count all.
#[rstest]
#[case::halves(25, 5)]
#[case::halves_for_long(25, 30)]
#[case::for_longer(25, 300)]
#[case::one_alone(1, 30)]
fn a_split_heals(#[case] side: usize, #[case] seconds: i64) {
    let mut world = World::new(50, seed());
    world.heal = 600 * SECOND;
    join(&mut world);
    let at = world.now;
    world.passes = Box::new(move |a, b| (a < side) == (b < side));
    // The service stands with the second side.
    world.serves = Box::new(move |n| n >= side);
    world.run_until(at + seconds * SECOND / 2);
    world.change(&["s-1"], 2);
    world.run_until(at + seconds * SECOND);
    if seconds < 300 {
        assert!(world.nodes.iter().all(|x| x.fleet.size == 50), "a side counts itself alone");
    }
    assert!(world.nodes[side..].iter().all(|x| x.rev == world.rev));
    world.passes = Box::new(|_, _| true);
    world.serves = Box::new(|_| true);
    world.run_until(world.now + 15 * SECOND);
    assert_eq!(world.blind(|_, _| true), [], "it has not healed");
    assert!(world.nodes.iter().all(|x| x.rev == world.rev && x.fleet.size == 50));
}

/// Guards against members that come back from a stop and hold the world for dead, or are not taken back.
#[rstest]
#[case(2)]
#[case(5)]
#[case(60)]
fn a_tenth_is_stopped_and_goes_on(#[case] seconds: i64) {
    let mut world = joined(50);
    let at = world.now;
    (0..5).for_each(|n| world.stop(n * 10));
    world.run_until(at + seconds * SECOND);
    let on = world.now;
    (0..5).for_each(|n| world.go_on(n * 10));
    world.run_until(on + 10 * SECOND);
    let lost = |c: &(i64, Change)| {
        c.0 >= on && matches!(&c.1, Change::Lost(m) if !number(m.address).is_multiple_of(10))
    };
    let believed = (0..50).filter(|n| world.nodes[*n].changes.iter().any(lost)).count();
    assert_eq!(believed, 0, "one that was stopped held others for dead");
    assert_eq!(world.blind(|_, _| true), [], "not all are back");
}

/// Guards against clocks that are taken for equal: a third of them runs 5% fast.
#[rstest]
fn clocks_run_at_rates_of_their_own() {
    let mut world = World::new(40, seed());
    (0..40).for_each(|n| world.nodes[n].rate = if n % 3 == 0 { 1.05 } else { 1.0 });
    (0..40).for_each(|n| world.start(n));
    world.run_until(60 * SECOND);
    assert_eq!((world.blind(|_, _| true), world.false_deaths(0)), (Vec::new(), 0));
    world.change(&["s-1"], 2);
    world.run_until(world.now + 2 * SECOND);
    assert!(world.nodes.iter().all(|x| x.rev == world.rev));
}

/// Guards against a member that cannot come back under its name: killed and started ten times in ten seconds, and once
/// with a wall clock that ran back an hour.
#[rstest]
fn a_member_comes_again_and_again() {
    let mut world = joined(40);
    for _ in 0..10 {
        world.kill(7);
        world.run_until(world.now + SECOND / 2);
        world.start(7);
        world.run_until(world.now + SECOND / 2);
    }
    world.run_until(world.now + 10 * SECOND);
    assert_eq!(world.blind(|_, _| true), []);
    world.kill(8);
    world.run_until(world.now + 10 * SECOND);
    world.start_in_generation(8, 3);
    world.run_until(world.now + 10 * SECOND);
    assert_eq!(world.blind(|_, _| true), [], "its former life stands against it");
}

/// Guards against an installation that hangs on its askers: one after another is killed, stopped, cut off from the service
/// or from its peers, and each change still reaches the others.
#[rstest]
#[case("killed")]
#[case("stopped")]
#[case("cut off from the service")]
#[case("cut off from its peers")]
fn askers_fail(#[case] how: &str) {
    let mut world = joined(40);
    for k in 0..4 {
        let asker = world.up().find(|n| world.asks(*n) && !world.nodes[*n].stopped).expect("an asker");
        let all = move |a: usize, b: usize| a != asker && b != asker;
        match how {
            "killed" => world.kill(asker),
            "stopped" => world.stop(asker),
            "cut off from the service" => world.serves = Box::new(move |n| n != asker),
            _ => world.passes = Box::new(all),
        }
        let at = world.now;
        world.change(&[&format!("s-{k}")], 2);
        world.run_until(at + SECOND);
        let behind = world
            .up()
            .filter(|n| *n != asker && !world.nodes[*n].stopped && world.nodes[*n].rev != world.rev)
            .count();
        assert_eq!(behind, 0, "asker {asker}, {how}");
        world.run_until(at + 10 * SECOND);
        let asking = world.up().filter(|n| world.asks(*n) && !world.nodes[*n].stopped && *n != asker).count();
        assert!(asking >= 6, "{asking} keep the watch after {how}");
    }
}

/// Guards against revs of a service that began again taken for old ones, and against two lists mixed.
#[rstest]
#[case::lower(1)]
#[case::the_same(3)]
fn the_service_begins_again(#[case] rev: u64) {
    let mut world = joined(40);
    world.change(&["s-1"], 2);
    world.run_until(world.now + 2 * SECOND);
    world.change(&["s-2"], 2);
    world.run_until(world.now + 2 * SECOND);
    assert_eq!(world.rev, 3);
    world.service.remove("s-5");
    world.restart_service(rev);
    world.run_until(world.now + 10 * SECOND);
    let held = |n: usize| world.nodes[n].peers.as_ref().and_then(|p| p.list(world.now)).map(|l| (l.0, l.1));
    let first = held(0);
    assert!(first.is_some_and(|f| f.0.generation == 2 && f.0.rev == rev && f.1 == 59), "{first:?}");
    assert!((0..40).all(|n| held(n) == first));
}

/// Guards against a list service that everybody calls because it is silent: the askers do, the others when what they have
/// is old; and when it is back, the askers alone keep the watch.
#[rstest]
fn the_service_is_silent_for_long() {
    let mut world = joined(40);
    let calls = world.calls;
    world.serves = Box::new(|_| false);
    world.run_until(world.now + 8 * SECOND);
    let early = world.up().filter(|n| world.asks(*n)).count();
    assert!(early <= 12, "{early} ask while what they have is fresh");
    world.run_until(world.now + 20 * SECOND);
    world.serves = Box::new(|_| true);
    world.run_until(world.now + 20 * SECOND);
    let asking = world.up().filter(|n| world.asks(*n)).count();
    assert!((6..=12).contains(&asking), "{asking} keep the watch, {} calls", world.calls - calls);
    world.change(&["s-1"], 2);
    world.run_until(world.now + SECOND);
    assert!(world.nodes.iter().all(|x| x.rev == world.rev));
}

/// Guards against memory that others can fill: names beyond the bound are not taken.
#[rstest]
fn the_number_of_members_is_bounded() {
    let mut world = World::new(60, seed());
    world.most = 30;
    (0..60).for_each(|n| world.start(n));
    world.run_until(20 * SECOND);
    for n in 0..60 {
        let known = world.nodes[n].peers.as_ref().expect("up").standings(world.now).len();
        assert!(known <= 31, "{known}");
    }
}

/// Three hundred start in the same instant (a thousand: docs/measurements/peers.md).
#[rstest]
fn hundreds_join_at_once() {
    let mut world = World::new(300, seed());
    (0..300).for_each(|n| world.start(n));
    world.run_until(10 * SECOND);
    assert_eq!(world.blind(|_, _| true), []);
    assert!(world.nodes.iter().all(|x| x.listed.is_some()) && world.calls <= 12, "{} calls", world.calls);
}
