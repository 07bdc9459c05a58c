//! Main routine of the process: startup, serving until SIGTERM, graceful shutdown.

use super::config::Config;
use super::error_chain::ErrorChain;
use super::process_number::ProcessNumber;
use super::reload::ReloadHandles;
use super::resource_sharing::ResourceSharing;
use super::start_error::StartError;
use super::startup::Startup;
use super::{allocator, id_claim_store, listen, log, panic_log, relay, signals};
use crate::core::event_loop::Core;
use crate::core::{Inbox, clock};
use crate::wire::connection_limiter::ConnectionLimiter;
use crate::wire::discovery::DiscoveryHandle;
use may::sync::mpsc::channel;
use roselock::Micros;
use signal_hook::iterator::Signals;
use std::sync::Arc;
use std::time::Duration;

/// Stack size of a coroutine, in words. The deepest call path parses an HTTP header section and writes it
/// out.
const COROUTINE_STACK_WORDS: usize = 8 * 1024;
/// Number of coroutine stacks kept for reuse. Each takes two pages even before its first use.
const COROUTINE_POOL_CAPACITY: usize = 64;

/// How long connections may take to close at the end of the shutdown.
const CLOSE_TIMEOUT: Micros = 300_000;
/// Interval between checks for open connections meanwhile.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Serves until SIGTERM, and then until no response is pending.
///
/// # Errors
/// Fails if a listener cannot be opened or a component cannot be started.
pub fn run(config: Config, signals: Signals) -> Result<(), StartError> {
    let _log = log::start(config.log);
    panic_log::install(config.log.format);
    allocator::configure();
    for warning in &config.warnings {
        tracing::warn!(reason = %ErrorChain(warning), "deprecated setting");
    }
    configure_coroutines();
    let (inbox, inputs) = Inbox::new();
    let (poll_requests, requested_polls) = channel();
    let always_watch = !config.site.settings.watch_required;
    let discovery = DiscoveryHandle::new(config.discovery, poll_requests.clone(), always_watch);

    let inherited = listen::inherited_listener(&config);
    let process = inherited.is_some().then(|| take_process_number(&config)).flatten();
    let sharing = process.clone().and_then(|process| share_resources(process, &config));
    let startup = Startup::new(&config, inbox.clone(), inherited.is_some(), sharing.as_ref());
    let flows = startup.start_flow_export()?;
    let suspension_store = startup.load_suspensions();
    let (mut core, fleet) = startup.create_core(inputs, flows, poll_requests, discovery.clone())?;
    startup.start_discovery(&mut core, fleet, discovery.clone(), requested_polls);
    let http = startup.start_http_front(fleet, inherited)?;
    let gearman = startup.start_gearman_front(&mut core, fleet)?;
    startup.start_admin()?;
    suspension_store.spawn_sync(inbox.clone());
    if http.front.inherited {
        if let Some(process) = process {
            share_request_ids(&mut core, process, &config);
        }
        core.set_relay(relay::start(&config.name, http.front.site.clone(), inbox.clone()));
    }

    if let Some(sharing) = sharing {
        let connections = http.front.connections.clone();
        may::go!(move || sharing.run(&connections));
    }

    let name = config.name.clone();
    // The platform's tools parse the address from this line.
    tracing::info!("{name}: serving on {}", http.address);
    let handles = ReloadHandles::new(inbox.clone(), fleet, discovery, gearman);
    signals::spawn_handler(signals, config, handles);
    // From here on, this thread runs the event loop and owns the scheduling state.
    core.run();
    close_connections(&http.front.connections, &inbox);
    tracing::info!(%name, "shutdown complete");
    Ok(())
}

/// Takes the number by which the other process of an upgrade knows this one.
fn take_process_number(config: &Config) -> Option<Arc<ProcessNumber>> {
    match ProcessNumber::take(&config.name, config.listen) {
        Ok(process) => Some(Arc::new(process)),
        Err(error) => {
            let reason = ErrorChain(&error);
            tracing::warn!(name = %config.name, %reason, "request ids are not shared with other processes");
            None
        }
    }
}

/// Divides the resource limits with the other process of an upgrade.
fn share_resources(process: Arc<ProcessNumber>, config: &Config) -> Option<ResourceSharing> {
    match ResourceSharing::start(process) {
        Ok(sharing) => Some(sharing),
        Err(error) => {
            let reason = ErrorChain(&error);
            tracing::warn!(name = %config.name, %reason, "limits are not shared with other processes, using half of them");
            None
        }
    }
}

/// Shares the ids of clients' requests with the other process of an upgrade, which accepts on the same listener.
fn share_request_ids(core: &mut Core, process: Arc<ProcessNumber>, config: &Config) {
    match id_claim_store::open(process, config.seed) {
        Ok(claims) => core.set_id_claims(claims),
        Err(error) => {
            let reason = ErrorChain(&error);
            tracing::warn!(name = %config.name, %reason, "request ids are not shared with other processes");
        }
    }
}

/// Runs coroutines on one thread: the process has one core, which the event loop shares. The system chooses the core: the
/// runtime would choose the first one, in each process of a machine.
fn configure_coroutines() {
    may::config()
        .set_workers(1)
        .set_stack_size(COROUTINE_STACK_WORDS)
        .set_pool_capacity(COROUTINE_POOL_CAPACITY)
        .set_worker_pin(false);
}

/// Closes client connections once the process accepts no more requests. Shutting down the write side tells
/// idle clients; a request that is already in transit is still read, so that its client sends it elsewhere.
fn close_connections(connections: &ConnectionLimiter, inbox: &Inbox) {
    connections.shut_down_sheddable_writes();
    let deadline = inbox.exit_deadline().min(clock::now() + CLOSE_TIMEOUT);
    while connections.open() > 0 && clock::now() < deadline {
        std::thread::sleep(POLL_INTERVAL);
    }
}
