//! Workers taken out by hand: each test fails without the code that answers it.

mod common;
use common::*;
use roselock::*;

fn suspend(worker: u64, out: bool) -> Event {
    Event::SuspensionChanged { worker: WorkerId(worker), suspended: out }
}

/// Feeds jobs three at a time, as many as there are workers, that run for 0.2 s; the workers sent to meanwhile.
fn work(d: &mut Driver, from: u32, rounds: u32) -> Vec<u64> {
    let before = d.log.len();
    for id in (from..from + 3 * rounds).step_by(3) {
        d.feed(&[job(id, SAFE), job(id + 1, SAFE), job(id + 2, SAFE)]);
        d.pass(SECOND / 5);
        for (job, round, _) in d.out() {
            d.feed(&[started(job, round), verdict(job, round, Outcome::Ok)]);
        }
        d.pass(SECOND / 10);
    }
    let log: Vec<Action> = d.log[before..].iter().map(|l| l.1.clone()).collect();
    sends(&log).into_iter().map(|s| s.1).collect()
}

#[test]
fn a_worker_out_by_hand_gets_nothing_whatever_the_list_says_and_comes_back() {
    let mut d = Driver::with_workers(settings(), 3);
    assert!(work(&mut d, 0, 30).contains(&1), "it was in use before");
    d.feed(&[suspend(1, true)]);
    assert!(d.dispatcher.is_avoided(WorkerId(1)));
    assert!(!work(&mut d, 100, 30).contains(&1), "sent to while out");
    // The list says it is ready, then it restarts and comes back cold; twice out is once out.
    let ready = Event::EndpointList {
        mode: ListMode::Changes,
        endpoints: vec![entry(1, EndpointState::Ready, None)],
    };
    d.feed(&[ready, suspend(1, true)]);
    assert!(!work(&mut d, 200, 30).contains(&1), "sent to after the list named it ready");
    let restarted = vec![entry(1, EndpointState::Ready, Some(d.now))];
    d.feed(&[Event::EndpointList { mode: ListMode::Changes, endpoints: restarted }]);
    let complete = (0..3).map(|w| entry(w, EndpointState::Ready, (w == 1).then_some(d.now))).collect();
    d.feed(&[Event::EndpointList { mode: ListMode::Complete, endpoints: complete }]);
    assert!(!work(&mut d, 300, 30).contains(&1), "sent to after its restart");
    d.feed(&[suspend(1, false)]);
    assert!(!d.dispatcher.is_avoided(WorkerId(1)));
    let back = work(&mut d, 400, 15).iter().filter(|w| **w == 1).count();
    assert!(back > 0, "not used within 4.5 s of its return");
}

#[test]
fn a_worker_out_before_it_is_listed_comes_in_as_draining() {
    let mut d = Driver::new(settings());
    d.feed(&[suspend(2, true), fleet(3)]);
    assert!(!work(&mut d, 0, 30).contains(&2));
    // A call back for one that was never out changes nothing.
    d.feed(&[suspend(0, false), suspend(2, false)]);
    assert!(work(&mut d, 100, 40).contains(&2));
}

/// Guards against a call to discovery that a word of staff answers: the pace took its time for that of a call.
#[test]
fn a_word_of_staff_is_no_answer_of_discovery() {
    let next_call = |by_hand: bool| {
        let mut set = settings();
        (set.watch_required, set.fleet_size, set.instance_index, set.safety.poll_interval) =
            (true, 100, 7, 10 * SECOND);
        let mut d = Dispatcher::new(set, 3).expect("sound settings");
        let mut out = Vec::new();
        d.step(0, &[fleet(3)], &mut out);
        let token = |out: &[Action]| {
            out.iter().rev().find_map(|a| match a {
                Action::Timer { delay, token } => Some((*delay, *token)),
                _ => None,
            })
        };
        let call = token(&out).expect("a first call").1;
        d.step(SECOND, &[Event::TimerFired(call)], &mut out);
        if by_hand {
            d.step(SECOND + 1000, &[suspend(1, true), suspend(1, false)], &mut out);
        }
        out.clear();
        let end = WatchEnd { reason: WatchEndReason::Refused, in_sync_until: 3 * SECOND };
        d.step(3 * SECOND, &[Event::WatchEnded(end)], &mut out);
        token(&out).expect("a further call").0
    };
    assert_eq!(next_call(true), next_call(false));
}
