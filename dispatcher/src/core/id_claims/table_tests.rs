//! Tests of the table of claims.

use super::*;
use std::sync::Barrier;

const OLD: Owner = Owner(0);
const NEW: Owner = Owner(1);
const HASH: u64 = 0x1234_5678_9abc_def0;
const HOLD_S: u32 = 70;

fn empty_words() -> Vec<AtomicU64> {
    (0..TABLE_WORDS).map(|_| AtomicU64::new(FREE)).collect()
}

/// Claims while both processes are running.
fn claim(words: &[AtomicU64], hash: u64, owner: Owner, now: u32) -> Result<(), ClaimError> {
    ClaimTable::new(words).claim(hash, owner, now, HOLD_S, |_| true)
}

/// The n-th other hash of the bucket of [`HASH`].
fn same_bucket(n: u64) -> u64 {
    HASH ^ n << 40
}

/// Guards against an id that is in use at both processes: each state of a claim keeps the other process away.
#[test]
fn a_claim_holds_against_the_other_process_until_it_is_released_or_expires() {
    let words = empty_words();
    let table = ClaimTable::new(&words);
    assert_eq!(claim(&words, HASH, OLD, 0), Ok(()));
    assert_eq!(claim(&words, HASH, NEW, 1), Err(ClaimError::InUse));
    assert!(!table.begin_attempt(HASH, NEW), "it is not the owner");
    table.release(HASH, OLD);
    assert_eq!(claim(&words, HASH, NEW, 2), Ok(()));
    assert!(table.begin_attempt(HASH, NEW) && table.begin_attempt(HASH, NEW), "a second attempt");
    assert_eq!(claim(&words, HASH, OLD, 3), Err(ClaimError::InUse));
    table.finish(HASH, NEW, 10, HOLD_S);
    assert_eq!(claim(&words, HASH, OLD, 10 + HOLD_S - 1), Err(ClaimError::InUse));
    assert!(!table.begin_attempt(HASH, NEW), "the request has ended");
    assert_eq!(claim(&words, HASH, OLD, 10 + HOLD_S), Ok(()));
}

/// Guards against a payment that runs twice after its process was killed, and against a request that is rejected
/// though it never ran.
#[test]
fn of_a_process_that_has_ended_only_claims_without_an_attempt_are_taken_over() {
    for (was_sent, expected) in [(false, Ok(())), (true, Err(ClaimError::InUse))] {
        let words = empty_words();
        let table = ClaimTable::new(&words);
        assert_eq!(claim(&words, HASH, OLD, 0), Ok(()));
        if was_sent {
            assert!(table.begin_attempt(HASH, OLD));
        }
        let only_new_is_alive = |owner| owner == NEW;
        assert_eq!(table.claim(HASH, NEW, 1, HOLD_S, only_new_is_alive), expected);
        // A process that only seemed to have ended does not make its attempt.
        assert_eq!(table.begin_attempt(HASH, OLD), was_sent);
    }
}

/// Guards against claims of an earlier process that seem to be those of a running one with the same number.
#[test]
fn a_process_removes_the_claims_without_an_attempt_that_were_left_under_its_number() {
    let words = empty_words();
    let table = ClaimTable::new(&words);
    let (sent, of_other) = (same_bucket(1), same_bucket(2));
    assert_eq!(claim(&words, HASH, OLD, 0), Ok(()));
    assert_eq!(claim(&words, sent, OLD, 0), Ok(()));
    assert!(table.begin_attempt(sent, OLD));
    assert_eq!(claim(&words, of_other, NEW, 0), Ok(()));
    table.clear_unsent(OLD);
    let results = [HASH, sent, of_other].map(|hash| claim(&words, hash, OLD, 1));
    assert_eq!(results, [Ok(()), Err(ClaimError::InUse), Err(ClaimError::InUse)]);
}

/// Guards against a full bucket that forgets a request in flight: the id that finished first makes room, and if there
/// is none, nothing is claimed.
#[test]
fn a_full_bucket_forgets_the_id_that_finished_first_and_no_open_one() {
    let words = empty_words();
    let table = ClaimTable::new(&words);
    for n in 0..BUCKET_SLOTS as u64 {
        assert_eq!(claim(&words, same_bucket(n), OLD, 0), Ok(()));
        assert!(table.begin_attempt(same_bucket(n), OLD));
    }
    let newcomer = same_bucket(99);
    assert_eq!(claim(&words, newcomer, NEW, 1), Err(ClaimError::Full));
    table.finish(same_bucket(5), OLD, 3, HOLD_S);
    table.finish(same_bucket(4), OLD, 2, HOLD_S);
    assert_eq!(claim(&words, newcomer, NEW, 4), Ok(()));
    assert_eq!(claim(&words, same_bucket(5), NEW, 4), Err(ClaimError::InUse));
}

/// Guards against claims of the time before the machine started, when the clock began anew.
#[test]
fn a_claim_that_would_last_too_long_has_expired() {
    let words = empty_words();
    assert_eq!(claim(&words, HASH, OLD, 500_000), Ok(()));
    assert_eq!(claim(&words, HASH, NEW, 10), Ok(()));
}

/// Guards against two processes that claim an id at the same time and both succeed, or that leave it unusable.
#[test]
fn of_two_simultaneous_claims_at_most_one_succeeds() {
    const ROUNDS: u64 = 5_000;
    let words = empty_words();
    let barrier = Barrier::new(2);
    let play = |owner: Owner| {
        let table = ClaimTable::new(&words);
        let claims = (0..ROUNDS).map(|round| {
            barrier.wait();
            let hash = same_bucket(round);
            let is_claimed = claim(&words, hash, owner, 0).is_ok();
            barrier.wait();
            let may_attempt = table.begin_attempt(hash, owner);
            assert_eq!(may_attempt, is_claimed, "round {round}");
            barrier.wait();
            table.update(hash, owner, |_| None);
            is_claimed
        });
        claims.collect::<Vec<bool>>()
    };
    let (old, new) = std::thread::scope(|scope| {
        let new = scope.spawn(|| play(NEW));
        (play(OLD), new.join().expect("thread panicked"))
    });
    let both = old.iter().zip(&new).filter(|(old, new)| **old && **new).count();
    let none = old.iter().zip(&new).filter(|(old, new)| !**old && !**new).count();
    assert_eq!(both, 0);
    assert!(none < ROUNDS as usize / 2, "{none} ids were claimed by neither");
    assert!(words.iter().all(|word| word.load(Ordering::SeqCst) == FREE));
}
