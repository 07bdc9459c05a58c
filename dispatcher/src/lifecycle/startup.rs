//! The startup steps in order: each creates a component from the configuration and connects it to the others.

use super::config::{Config, ResourceShares};
use super::inherit::InheritedListener;
use super::listen::{self, Listener};
use super::resource_sharing::ResourceSharing;
use super::start_error::StartError;
use super::suspension_store::SuspensionStore;
use crate::core::event_loop::{AdminState, Core, max_client_timeout};
use crate::core::memory_monitor::MemoryMonitor;
use crate::core::resource_limit::UsageTable;
use crate::core::{FleetId, FlowSink, Inbox, Input, MemoryBudget, Resource, ResourceLimit, clock};
use crate::wire::admin::{self, Admin};
use crate::wire::connection_limiter::ConnectionLimiter;
use crate::wire::discovery::{DiscoveryHandle, DiscoveryWatcher, WatcherParameters};
use crate::wire::front::{self, Front, FrontParameters};
use crate::wire::gearman::{self, Gearman, GearmanParameters, GearmanSettings, ResolvedSettings};
use crate::wire::ipfix;
use crate::wire::upstream::HttpDialer;
use may::sync::mpsc;
use roselock::Settings;
use roselock::settings::{Site, fnv1a};
use std::net::SocketAddr;
use std::sync::Arc;

/// State shared by the startup steps.
pub struct Startup<'a> {
    config: &'a Config,
    site: Arc<Site>,
    shares: ResourceShares,
    /// What the processes of the dispatcher use of the shares.
    usage: Arc<UsageTable>,
    inbox: Inbox,
    admin_state: AdminState,
    /// The memory for request bodies of the HTTP front end.
    memory: Arc<MemoryBudget>,
}

/// The HTTP front end, which is accepting connections.
pub struct StartedHttpFront {
    /// The front end.
    pub front: Arc<Front>,
    /// Local address of its listener.
    pub address: SocketAddr,
}

impl<'a> Startup<'a> {
    /// Prepares the startup. `inbox` is the input queue of the event loop. A process that may be upgraded divides its
    /// limits with the next one by `sharing`, or takes half of them without it.
    pub fn new(
        config: &'a Config,
        inbox: Inbox,
        may_be_upgraded: bool,
        sharing: Option<&ResourceSharing>,
    ) -> Startup<'a> {
        let all = config.limits.shares(config.gearman.is_some(), may_be_upgraded);
        let shares = if may_be_upgraded && sharing.is_none() { all.halved() } else { all };
        let usage = sharing.map_or_else(UsageTable::of_single_process, ResourceSharing::table);
        let message_limit = ResourceLimit::new(shares.http_bytes, Resource::MessageBytes, usage.clone());
        Startup {
            config,
            site: Arc::new(config.site.clone()),
            memory: MemoryBudget::with_limit(message_limit),
            shares,
            usage,
            inbox,
            admin_state: AdminState::new(config.site.classes.names().to_vec()),
        }
    }

    /// A limit on a resource, which the processes of an upgrade divide.
    fn limit(&self, total: usize, resource: Resource) -> ResourceLimit {
        ResourceLimit::new(total, resource, self.usage.clone())
    }

    /// Starts the IPFIX flow export, if it is enabled.
    ///
    /// # Errors
    /// Fails if its socket cannot be opened.
    pub fn start_flow_export(&self) -> Result<Option<Box<dyn FlowSink>>, StartError> {
        let Some(settings) = &self.config.ipfix else { return Ok(None) };
        let flows = ipfix::start(settings, &self.site).map_err(StartError::FlowExport)?;
        Ok(Some(flows))
    }

    /// Restores the suspended workers that the previous process saved.
    pub fn load_suspensions(&self) -> SuspensionStore {
        let listen_address = self.config.listen.to_string();
        SuspensionStore::load(listen_address, self.config.name.clone(), self.admin_state.suspensions.clone())
    }

    /// Creates the event loop, with the fleet of HTTP hosts.
    ///
    /// # Errors
    /// Fails if the scheduling settings are invalid.
    pub fn create_core(
        &self,
        inputs: std::sync::mpsc::Receiver<Input>,
        flows: Option<Box<dyn FlowSink>>,
        poll_requests: mpsc::Sender<()>,
        discovery: DiscoveryHandle,
    ) -> Result<(Core, FleetId), StartError> {
        let dialer = HttpDialer::new(
            self.inbox.clone(),
            self.site.clone(),
            self.admin_state.metrics.clone(),
            self.limit(self.shares.upstream_connections, Resource::UpstreamConnections),
            poll_requests,
            discovery,
        );
        // Only this fleet's endpoint list expires when the discovery service is silent: Gearman workers
        // connect to this process, so their connections show that they exist.
        let settings = Settings { list_lease_enabled: true, ..self.site.settings.clone() };
        let mut core = Core::new(self.inbox.clone(), inputs, flows, self.admin_state.clone());
        let fleet = core.add_fleet(settings, self.config.seed, Some(Box::new(dialer)))?;
        core.set_memory_monitor(MemoryMonitor::new(self.config.limits.memory_bytes(), self.memory.clone()));
        if let Some(limits) = self.config.dial_limits {
            core.set_dial_limits(fleet, limits);
        }
        Ok((core, fleet))
    }

    /// Starts the discovery client with the cached endpoint list.
    pub fn start_discovery(
        &self,
        core: &mut Core,
        fleet: FleetId,
        handle: DiscoveryHandle,
        poll_requests: mpsc::Receiver<()>,
    ) {
        let mut watcher = DiscoveryWatcher::new(WatcherParameters {
            handle,
            cached_revision: self.config.cached_list.revision,
            site: self.config.site.clone(),
            inbox: self.inbox.clone(),
            fleet,
            metrics: self.admin_state.metrics.clone(),
            resync_after: self.config.resync_after,
        });
        let cached_hosts = watcher.record_cached(self.config.cached_list.clone());
        core.apply_cached_list(fleet, cached_hosts);
        may::go!(move || watcher.run(&poll_requests));
    }

    /// Starts the HTTP front end.
    ///
    /// # Errors
    /// Fails if its address cannot be bound.
    pub fn start_http_front(
        &self,
        fleet: FleetId,
        inherited: Option<InheritedListener>,
    ) -> Result<StartedHttpFront, StartError> {
        let client_listener = listen::client_listener(self.config, inherited)?;
        let Listener { socket, address } = client_listener.listener;
        let front = Front::new(FrontParameters {
            site: self.site.clone(),
            inbox: self.inbox.clone(),
            fleet,
            connection_limit: self.limit(self.shares.http_connections, Resource::ClientConnections),
            memory: self.memory.clone(),
            inherited: client_listener.is_inherited,
            metrics: self.admin_state.metrics.clone(),
        });
        self.inbox.record_client_timeout(max_client_timeout(&self.config.site.settings));
        let accepting_front = front.clone();
        may::go!(move || front::accept(accepting_front, &socket));
        Ok(StartedHttpFront { front, address })
    }

    /// Starts the Gearman front end, if it is enabled.
    ///
    /// # Errors
    /// Fails if its settings are invalid, a function cannot be added or its address cannot be bound.
    pub fn start_gearman_front(
        &self,
        core: &mut Core,
        fleet: FleetId,
    ) -> Result<Option<Arc<Gearman>>, StartError> {
        let Some(settings) = &self.config.gearman else { return Ok(None) };
        let front = self.create_gearman_front(settings, fleet)?;
        core.add_job_source(Box::new(gearman::GearmanJobSource(front.clone())));
        let Listener { socket, address } = listen::bind(settings.listen, "")?;
        // Tools parse the address from this line.
        tracing::info!("{}: Gearman on {address}", self.config.name);
        let accepting_front = front.clone();
        may::go!(move || gearman::accept(accepting_front, &socket));
        let timer_front = front.clone();
        may::go!(move || gearman::run_timers(&timer_front));
        Ok(Some(front))
    }

    fn create_gearman_front(
        &self,
        settings: &GearmanSettings,
        http_fleet: FleetId,
    ) -> Result<Arc<Gearman>, StartError> {
        let resolved = ResolvedSettings::resolve(settings, self.shares.gearman_bytes)?;
        let seed = self.config.seed;
        let incarnation = seed ^ fnv1a(self.config.name.as_bytes()) ^ clock::now() as u64;
        let front = Arc::new(Gearman::new(GearmanParameters {
            file: settings.clone(),
            settings: resolved,
            site: self.site.clone(),
            inbox: self.inbox.clone(),
            http_fleet,
            first_worker_fleet: http_fleet + 1,
            seed,
            incarnation,
            connection_limit: self.limit(self.shares.gearman_connections, Resource::GearmanConnections),
        }));
        for function in gearman::resolve_functions(settings, &self.config.site)? {
            front.add_function(function)?;
        }
        Ok(front)
    }

    /// Starts the admin interface, if it is enabled.
    ///
    /// # Errors
    /// Fails if its address cannot be bound.
    pub fn start_admin(&self) -> Result<(), StartError> {
        let Some(address) = self.config.admin else { return Ok(()) };
        let Listener { socket, address } = listen::bind(address, " (admin)")?;
        let connection_limit = self.limit(admin::MAX_CONNECTIONS, Resource::AdminConnections);
        let admin = Arc::new(Admin {
            metrics: self.admin_state.metrics.clone(),
            suspensions: self.admin_state.suspensions.clone(),
            inbox: self.inbox.clone(),
            connections: ConnectionLimiter::new(connection_limit),
        });
        may::go!(move || admin::accept(admin, &socket));
        // Tools parse the address from this line.
        tracing::info!("{}: admin on {address}", self.config.name);
        Ok(())
    }
}
