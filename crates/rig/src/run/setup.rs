//! Sets up the stand-ins of a run: their listeners, and the coroutines that serve them.

use super::{Run, RunOptions};
use crate::dispatcher_process::DispatcherSpec;
use crate::list::{EMPTY_LIST, ListEntry, list_json};
use crate::net::{claim_subnet, free_port, participant_address, raise_descriptor_limit};
use crate::process::ResourceUsage;
use crate::scenario::Scenario;
use crate::test_environment::TestEnvironment;
use crate::worker::Worker;
use crate::{list_service, worker_service};
use may::net::TcpListener;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

/// Stack size of a coroutine, in words.
const COROUTINE_STACK_WORDS: usize = 8 * 1024;
/// The loopback address with a port that the system chooses.
const ANY_PORT: &str = "127.0.0.1:0";

/// The listeners of the discovery service for one dispatcher: at its address, and at the address to which it moves.
struct ListServiceListeners {
    current: TcpListener,
    moved: TcpListener,
}

/// Creates a run with its stand-ins, without starting a process.
pub(super) fn create_run(scenario: Scenario, options: RunOptions) -> io::Result<Run> {
    raise_descriptor_limit();
    // A single worker thread: with several, one may fire the timeout of a wait that another is still setting up, and panic
    // ("Node value is None" and others, may 0.3.51), which would end the stand-ins of all runs.
    may::config().set_workers(1).set_stack_size(COROUTINE_STACK_WORDS).set_worker_pin(false);
    let directory = tempfile::tempdir()?;
    let ports = Ports { listen: free_port()?, admin: free_port()? };
    let claim = claim_subnet()?;
    let mut dispatchers = Vec::new();
    let mut list_listeners = Vec::new();
    for number in 0..scenario.processes {
        let listeners = ListServiceListeners {
            current: TcpListener::bind(ANY_PORT)?,
            moved: TcpListener::bind(ANY_PORT)?,
        };
        dispatchers.push(dispatcher_spec(number, claim.net, &ports, &listeners, directory.path())?);
        list_listeners.push(listeners);
    }
    let worker_listeners = bind_listeners(scenario.worker_count)?;
    let mut entries = Vec::new();
    for (number, listener) in worker_listeners.iter().enumerate() {
        let endpoint = listener.local_addr()?.to_string();
        entries.push(ListEntry::ready(Worker::uid(number), endpoint));
    }
    let cached_list =
        if scenario.starts_with_list { list_json(1, true, &entries) } else { EMPTY_LIST.into() };
    let environment = Arc::new(TestEnvironment::new(scenario, options.seed, entries, dispatchers));
    serve_list_services(&environment, list_listeners);
    serve_workers(&environment, worker_listeners);
    let processes = environment.dispatchers.iter().map(|_| None).collect();
    Ok(Run {
        environment,
        options,
        cached_list,
        processes,
        failures: Vec::new(),
        peak_usage: ResourceUsage::default(),
        _directory: directory,
        _subnet_claim: claim,
    })
}

/// The ports of all dispatchers of a run, each of which has its own address.
struct Ports {
    listen: u16,
    admin: u16,
}

fn dispatcher_spec(
    number: usize,
    net: u8,
    ports: &Ports,
    listeners: &ListServiceListeners,
    directory: &Path,
) -> io::Result<DispatcherSpec> {
    let ip = participant_address(net, number);
    Ok(DispatcherSpec {
        number,
        listen: SocketAddr::from((ip, ports.listen)),
        admin: SocketAddr::from((ip, ports.admin)),
        list_service: listeners.current.local_addr()?,
        moved_list_service: listeners.moved.local_addr()?,
        directory: directory.join(format!("n{number}")),
    })
}

/// Binds the given number of loopback listeners, each to its own port.
pub(super) fn bind_listeners(count: usize) -> io::Result<Vec<TcpListener>> {
    (0..count).map(|_| TcpListener::bind(ANY_PORT)).collect()
}

fn serve_list_services(environment: &Arc<TestEnvironment>, listeners: Vec<ListServiceListeners>) {
    for (number, ListServiceListeners { current, moved }) in listeners.into_iter().enumerate() {
        for listener in [current, moved] {
            let environment = environment.clone();
            may::go!(move || list_service::serve(&environment, number, &listener));
        }
    }
}

fn serve_workers(environment: &Arc<TestEnvironment>, listeners: Vec<TcpListener>) {
    for (number, listener) in listeners.into_iter().enumerate() {
        let environment = environment.clone();
        may::go!(move || worker_service::serve(&environment, number, &listener, 0));
    }
}
