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
#[case(Scenario::SingleScheduler, 1, "5c42bdc1e02153482c97742c86f3f87bf63e0e1f2098f49f0a4efbb83df6c748")]
#[case(Scenario::SingleScheduler, 2, "2197bf4a7cf8dd3cc101389709e62dfbdbacd90e3ec14803e75825b227dc4ade")]
#[case(Scenario::SingleAttempt, 3, "a33acf8e7b68c71a446a18f87daa822e5bcaa19df9c26808376e7e838a150eca")]
#[case(Scenario::SingleAttempt, 4, "3d48d566b9279777b7be5c7d61770046ebcadfc5dcf7699c31b5164bb6b39c88")]
#[case(Scenario::ThirtySchedulers, 5, "342c9f19423e757b8024e9d67919924e69f6724e2e0c9a0081e8e3561369e11b")]
#[case(Scenario::ThirtySchedulers, 6, "602aac29c830f5e5ec842eeddfb7f2435c703b402a4b9db6c5f98c45e33a87cd")]
#[case(Scenario::ListLease, 7, "63e43bbb400c0adc720d864072795bcabe9450b3c0f91e5f0daa1fcbe63649bf")]
#[case(Scenario::ListLease, 8, "8aaf54c2161aac5ecf495bd36266209461959629e6337990458917da371291b2")]
#[case(Scenario::UnconfirmedList, 9, "d2fcda243ebb10d5d76d0c741395d30e1cf049274c36b5cdbc3e089a431a7e61")]
#[case(Scenario::UnconfirmedList, 10, "9de2f0799559bcecaa9e872c6cc223e0a4aeaf31757545891cae3f8cd11894d3")]
#[case(Scenario::IdempotencyKeys, 11, "9d50254dfeaf275cbd7e1ed4def31fcf40b130c510a58d5e812377f2ed8d9b3e")]
#[case(Scenario::IdempotencyKeys, 12, "75a8fb2bccc2c25c2c5e3b7c85871093341aa0836e4a7260e306c6e40a3bab17")]
#[case(Scenario::Streaming, 13, "ba8b275cab917f27129a3df5a108b9183584d41f17dbbb9074199414a19ce50c")]
#[case(Scenario::Streaming, 14, "b11f7e70bbbe23b1abb249003c52a40613162ba2e42f7c6003ca870b39d72213")]
#[case(Scenario::UnitsFallWithLoad, 15, "c71ef4c2db79f79ae1dfc8fbebb62715d9e510b61db7ff4f577555be0ae937b2")]
#[case(Scenario::UnitsFallWithLoad, 16, "8c263e4ee4ec3692c1e5f97593161de57578d63b5cff2d7413907fad7b242ffb")]
#[case(Scenario::TailLatency, 17, "d157264aae50888cc56b097113853f6f0ad714f8eaea7cd012c5018bea7b479e")]
#[case(Scenario::TailLatency, 18, "55c89294a39f9f6248d8cfa048bb079eeae4849f0171ef88fd5dc69a9193fd8a")]
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
