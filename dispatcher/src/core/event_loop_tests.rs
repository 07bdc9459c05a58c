//! Tests of the event loop.

use super::test_support::{new_stream, settings};
use super::*;
use crate::core::NewStream;
use parking_lot::Mutex;
use roselock::WorkerId;
use roselock::settings::fnv1a;
use rstest::rstest;

/// A job source with one job.
struct SingleJobSource(Mutex<Option<NewStream>>);

impl JobSource for SingleJobSource {
    fn next(&self, _: Micros) -> Option<NewStream> {
        self.0.lock().take()
    }
    fn next_due(&self) -> Option<Micros> {
        None
    }
    fn shut_down(&self) {}
}

/// Guards against a panic that ends the process: a job source may release a job of a function that was just added while
/// the message that adds its fleet is still queued.
#[rstest]
fn a_job_may_precede_the_message_that_adds_its_fleet() {
    let options = r#"{"fleetSize":1,"lanes":[{"name":"look","promiseS":0.2,"giveUpS":5,"effect":"safe"}],"tickS":0.005}"#;
    let settings = settings(options);
    let (inbox, inputs) = Inbox::new();
    let mut core = Core::new(inbox.clone(), inputs, None, AdminState::new(vec!["look".into()]));
    assert_eq!(core.add_fleet(settings.clone(), 7, None), Ok(0));
    let new = NewStream { fleet: 1, ..new_stream(inbox.next_stream_id(), "c1") };
    core.add_job_source(Box::new(SingleJobSource(Mutex::new(Some(new)))));
    inbox.post(Input::FleetAdded { fleet: 1, settings: Box::new(settings), seed: 7 });
    core.poll_job_sources(clock::now());
    assert_eq!((core.fleets.len(), core.streams.by_id.len(), core.fleets[1].events.len()), (2, 1, 1));
}

/// Guards against a fleet with settings that the decision logic rejects.
#[rstest]
fn a_fleet_with_invalid_settings_is_not_added() {
    let (inbox, inputs) = Inbox::new();
    let mut core = Core::new(inbox, inputs, None, AdminState::new(Vec::new()));
    let without_classes = Settings::new(Vec::new());
    let error = without_classes.check().expect_err("settings without classes are invalid");
    assert_eq!(core.add_fleet(without_classes, 7, None), Err(error));
    assert_eq!(core.fleets.len(), 0);
}

/// Guards against requests to a suspended worker by a fleet that was added after the suspension, as for a function that
/// a reload adds.
#[rstest]
fn a_new_fleet_is_notified_of_the_suspended_workers() {
    let options = r#"{"fleetSize":1,"lanes":[{"name":"look","promiseS":9,"giveUpS":60,"effect":"safe"}],"tickS":0.005}"#;
    let settings = settings(options);
    let (inbox, inputs) = Inbox::new();
    let mut core = Core::new(inbox, inputs, None, AdminState::new(vec!["look".into()]));
    core.add_fleet(settings.clone(), 7, None).expect("valid settings");
    let suspensions = core.admin.suspensions.clone();
    suspensions.record_listed(["s-1", "s-2"].into_iter());
    suspensions.set("s-1", true).expect("the worker is listed");
    suspensions.set("s-2", true).expect("the worker is listed");
    core.apply_suspensions();
    suspensions.set("s-2", false).expect("the worker is listed");
    core.apply_suspensions();
    core.handle(Input::FleetAdded { fleet: 1, settings: Box::new(settings), seed: 7 });
    core.step(1, clock::now());
    let is_suspended =
        ["s-1", "s-2"].map(|uid| core.fleets[1].dispatcher.is_avoided(WorkerId(fnv1a(uid.as_bytes()))));
    assert_eq!(is_suspended, [true, false]);
}

/// Guards against a stream that is accepted and then lost because the process ends: all posted streams are received
/// first, and then no further streams are accepted.
#[rstest]
fn posted_streams_are_received_before_the_process_ends() {
    let options = r#"{"fleetSize":1,"lanes":[{"name":"look","promiseS":9,"giveUpS":60,"effect":"safe"}],"tickS":0.005}"#;
    let (inbox, inputs) = Inbox::new();
    let mut core = Core::new(inbox.clone(), inputs, None, AdminState::new(vec!["look".into()]));
    core.add_fleet(settings(options), 7, None).expect("valid settings");
    assert!(inbox.submit(Box::new(new_stream(1, "n1"))));
    assert!(!inbox.stop_accepting(), "a posted stream has not been received");
    let input = core.inputs.try_recv().expect("the posted stream");
    core.handle(input);
    assert!(inbox.stop_accepting());
    assert!(!inbox.submit(Box::new(new_stream(2, "n2"))));
    assert!(core.inputs.try_recv().is_err());
}
