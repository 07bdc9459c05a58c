//! What the tests of the platform's front share.

use super::{Discovery, Dispatcher, Host, list, settings};

/// A dispatcher that knows these hosts.
pub fn world(hosts: &[&Host]) -> (Discovery, Dispatcher) {
    let discovery = Discovery::start();
    let known: Vec<String> = hosts.iter().map(|h| h.line("ready")).collect();
    let dispatcher = Dispatcher::start(discovery.at, &settings(0.0, 2.0), &list(7, true, &known), None);
    (discovery, dispatcher)
}

pub const DONE: &str = r#""state":"done","result":"a \"b\"","load":{"x0":1}"#;
