//! Shared by the tests of the platform's HTTP front.

use super::{Discovery, Dispatcher, Host, Start, list, settings};

/// Starts a dispatcher whose cached endpoint list has these hosts.
pub fn world(hosts: &[&Host]) -> (Discovery, Dispatcher) {
    let discovery = Discovery::start();
    let known: Vec<String> = hosts.iter().map(|h| h.line("ready")).collect();
    let dispatcher = Dispatcher::start(discovery.at, &settings(0.0, 2.0), &list(7, true, &known), None);
    (discovery, dispatcher)
}

/// Starts a dispatcher with these settings and an admin address whose cached endpoint list has these hosts.
pub fn dispatcher_with_settings(settings: &str, hosts: &[&Host]) -> (Discovery, Dispatcher) {
    let discovery = Discovery::start();
    let known: Vec<String> = hosts.iter().map(|h| h.line("ready")).collect();
    let known = list(7, true, &known);
    let start = Start { admin: true, ..Start::new(discovery.at, settings, &known) };
    let dispatcher = Dispatcher::launch(start);
    (discovery, dispatcher)
}

/// The rest of a callback of a job that is done, with a quote in its result.
pub const DONE: &str = r#""state":"done","result":"a \"b\"","load":{"x0":1}"#;
