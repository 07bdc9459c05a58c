//! Guards against changes of behaviour during refactoring: seeded random sequences of events are fed to the dispatcher through
//! its public interface, each action is encoded field by field, and the hash of all bytes is compared with a recorded one.
//!
//! The encoding uses its own numbers in place of names, so that renaming a type, field or variant cannot change a hash. A
//! different hash means that a decision has changed.

#[path = "decision_trace/scenarios.rs"]
mod scenarios;
#[path = "decision_trace/simulation.rs"]
mod simulation;

use rstest::rstest;
use scenarios::Scenario;
use simulation::Simulation;

#[rstest]
#[case(Scenario::SingleScheduler, 1, "b4609bc655020848ad7d9bfea94db1e1e37d422b4a191c71581fb389ea7c7bdb")]
#[case(Scenario::SingleScheduler, 2, "216f4112de11979c19d6e09cb4f5d91160b9764d23ef6266b361f40a3ea0bb5a")]
#[case(Scenario::SingleAttempt, 3, "0ff6dcf95f8e3ede422bf5e504072f4e7ff9771c40a154363cf295e74db29706")]
#[case(Scenario::SingleAttempt, 4, "3d48d566b9279777b7be5c7d61770046ebcadfc5dcf7699c31b5164bb6b39c88")]
#[case(Scenario::ThirtySchedulers, 5, "3a350b03684a1a9bbc725f1b42df19e5b57e790d60945bb5de519e0fec8e02dc")]
#[case(Scenario::ThirtySchedulers, 6, "602aac29c830f5e5ec842eeddfb7f2435c703b402a4b9db6c5f98c45e33a87cd")]
#[case(Scenario::ListLease, 7, "63e43bbb400c0adc720d864072795bcabe9450b3c0f91e5f0daa1fcbe63649bf")]
#[case(Scenario::ListLease, 8, "8aaf54c2161aac5ecf495bd36266209461959629e6337990458917da371291b2")]
#[case(Scenario::UnconfirmedList, 9, "d2fcda243ebb10d5d76d0c741395d30e1cf049274c36b5cdbc3e089a431a7e61")]
#[case(Scenario::UnconfirmedList, 10, "cca90b004f974658ac398c7c73f26a65ccde9d8d9e835ec5789b4b7d4ca33774")]
#[case(Scenario::IdempotencyKeys, 11, "7e7339ce78a0e2535603ef025ef6cd12c96457c67424f793ae33fb4ebc3d686c")]
#[case(Scenario::IdempotencyKeys, 12, "a6723856ada564ce085b88f7de1b02b79feb32cfc45c85aa205af38f54728675")]
#[case(Scenario::Streaming, 13, "0f631946a1ce334d2b3de245eb6ded28664266206db319cfd10c5cc4e228b03b")]
#[case(Scenario::Streaming, 14, "f209699be074b4814ae98dbc2ea8e0a6fd5d2c647eaadf2c303e4e8689ca5af1")]
#[case(Scenario::UnitsFallWithLoad, 15, "c71ef4c2db79f79ae1dfc8fbebb62715d9e510b61db7ff4f577555be0ae937b2")]
#[case(Scenario::UnitsFallWithLoad, 16, "2fdb696e54dbb6b7143a4753027363ea050905390ed868ae74b6c2be53c1a275")]
#[case(Scenario::TailLatency, 17, "d157264aae50888cc56b097113853f6f0ad714f8eaea7cd012c5018bea7b479e")]
#[case(Scenario::TailLatency, 18, "122ea7c1fa9b6c7081905ed43150d1f6f5a4f32a81443bd0579723166ac3f0fd")]
fn actions_of_a_sequence_match_the_recorded_hash(
    #[case] scenario: Scenario,
    #[case] seed: u64,
    #[case] recorded: &str,
) {
    let (actual, action_counts) = Simulation::new(scenario, seed).run();
    println!("{scenario:?} {seed} {actual} {action_counts:?}");
    assert_eq!(actual, recorded, "{scenario:?}, seed {seed}: the decisions have changed");
}

/// Each kind of action occurs often enough in the sequences for the hashes to cover it.
#[test]
fn every_kind_of_action_occurs() {
    let scenarios = [
        Scenario::SingleScheduler,
        Scenario::ListLease,
        Scenario::UnconfirmedList,
        Scenario::IdempotencyKeys,
        Scenario::Streaming,
    ];
    let action_counts = scenarios.map(|scenario| Simulation::new(scenario, 21).run().1);
    for kind in 0..9 {
        let count: usize = action_counts.iter().map(|counts| counts[kind]).sum();
        assert!(count > 10, "kind {kind} occurred {count} times");
    }
}
