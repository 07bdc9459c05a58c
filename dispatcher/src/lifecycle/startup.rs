//! The steps of the start, in their order: the parts are made of the configuration, and connected.

use super::config::{Config, ResourceShares};
use super::listen::{self, Listener};
use super::start_error::StartError;
use super::suspension_store::SuspensionStore;
use crate::core::event_loop::{AdminState, Core, max_client_timeout};
use crate::core::{FleetId, FlowSink, Inbox, Input, clock};
use crate::wire::admin::{self, Admin};
use crate::wire::connection_limiter::ConnectionLimiter;
use crate::wire::discovery::{DiscoveryHandle, DiscoveryWatcher, WatcherParameters};
use crate::wire::front::{self, Front, FrontParameters};
use crate::wire::gearman::{self, Gearman, GearmanParameters, GearmanSettings, ResolvedSettings};
use crate::wire::ipfix;
use crate::wire::upstream::HttpDialer;
use may::sync::mpsc;
use roselock::Settings;
use roselock::settings::{Site, fnv};
use std::net::SocketAddr;
use std::sync::Arc;

/// What the steps of the start share.
pub struct Startup<'a> {
    config: &'a Config,
    site: Arc<Site>,
    shares: ResourceShares,
    inbox: Inbox,
    admin_state: AdminState,
}

/// The HTTP front, accepting connections.
pub struct StartedHttpFront {
    /// The front.
    pub front: Arc<Front>,
    /// Where it listens.
    pub address: SocketAddr,
}

impl<'a> Startup<'a> {
    /// The start with a configuration. `inbox` is the way to the decisions.
    pub fn new(config: &'a Config, inbox: Inbox) -> Startup<'a> {
        Startup {
            config,
            site: Arc::new(config.site.clone()),
            shares: config.limits.shares(config.gearman.is_some()),
            inbox,
            admin_state: AdminState::new(config.site.classes.names().to_vec()),
        }
    }

    /// Starts the export of flows, if it is on.
    ///
    /// # Errors
    /// Its socket cannot be opened.
    pub fn start_flow_export(&self) -> Result<Option<Box<dyn FlowSink>>, StartError> {
        let Some(settings) = &self.config.ipfix else { return Ok(None) };
        let flows = ipfix::start(settings, &self.site).map_err(StartError::FlowExport)?;
        Ok(Some(flows))
    }

    /// Restores the suspended workers of the previous process.
    pub fn load_suspensions(&self) -> SuspensionStore {
        let site = self.config.listen.to_string();
        SuspensionStore::load(site, self.config.name.clone(), self.admin_state.suspensions.clone())
    }

    /// Makes the owner of the decisions, with the fleet of the HTTP hosts.
    ///
    /// # Errors
    /// The settings of the decisions are rejected.
    pub fn create_core(
        &self,
        inputs: std::sync::mpsc::Receiver<Input>,
        flows: Option<Box<dyn FlowSink>>,
        poll_requests: mpsc::Sender<()>,
    ) -> Result<(Core, FleetId), StartError> {
        let dialer = HttpDialer::new(
            self.inbox.clone(),
            self.site.clone(),
            self.admin_state.metrics.clone(),
            self.shares.upstream_connections,
            poll_requests,
        );
        // The endpoint list of this fleet alone expires where discovery is silent: workers that connect to this process
        // are known by their connections.
        let settings = Settings { list_lease_enabled: true, ..self.site.settings.clone() };
        let mut core = Core::new(self.inbox.clone(), inputs, flows, self.admin_state.clone());
        let fleet = core.add_fleet(settings, self.config.seed, Some(Box::new(dialer)))?;
        if let Some(limits) = self.config.dial_limits {
            core.set_dial_limits(fleet, limits);
        }
        Ok((core, fleet))
    }

    /// Starts the discovery client, with the cached list.
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
        core.seed_known_hosts(fleet, cached_hosts);
        may::go!(move || watcher.run(&poll_requests));
    }

    /// Opens the HTTP front.
    ///
    /// # Errors
    /// Its address cannot be bound.
    pub fn start_http_front(&self, fleet: FleetId) -> Result<StartedHttpFront, StartError> {
        let clients = listen::for_clients(self.config)?;
        let Listener { socket, address } = clients.listener;
        let front = Front::new(FrontParameters {
            site: self.site.clone(),
            inbox: self.inbox.clone(),
            fleet,
            max_connections: self.shares.http_connections,
            body_bytes: self.shares.http_bytes,
            inherited: clients.is_inherited,
            metrics: self.admin_state.metrics.clone(),
        });
        self.inbox.note_client_timeout(max_client_timeout(&self.config.site.settings));
        let accepting = front.clone();
        may::go!(move || front::accept(accepting, &socket));
        Ok(StartedHttpFront { front, address })
    }

    /// Opens the Gearman front, if it is on.
    ///
    /// # Errors
    /// Its settings are rejected, or its address cannot be bound.
    pub fn start_gearman_front(
        &self,
        core: &mut Core,
        fleet: FleetId,
    ) -> Result<Option<Arc<Gearman>>, StartError> {
        let Some(file) = &self.config.gearman else { return Ok(None) };
        let front = self.create_gearman_front(file, fleet)?;
        core.add_job_source(Box::new(gearman::GearmanJobSource(front.clone())));
        let Listener { socket, address } = listen::bind(file.listen, "")?;
        // Tools read the address from this line.
        tracing::info!("{}: Gearman on {address}", self.config.name);
        let accepting = front.clone();
        may::go!(move || gearman::accept(accepting, &socket));
        let timing = front.clone();
        may::go!(move || gearman::run_timers(&timing));
        Ok(Some(front))
    }

    fn create_gearman_front(
        &self,
        file: &GearmanSettings,
        http_fleet: FleetId,
    ) -> Result<Arc<Gearman>, StartError> {
        let settings = ResolvedSettings::resolve(file, self.shares.gearman_bytes)?;
        let seed = self.config.seed;
        let incarnation = seed ^ fnv(self.config.name.as_bytes()) ^ clock::now() as u64;
        let front = Arc::new(Gearman::new(GearmanParameters {
            file: file.clone(),
            settings,
            site: self.site.clone(),
            inbox: self.inbox.clone(),
            http_fleet,
            first_worker_fleet: http_fleet + 1,
            seed,
            incarnation,
            max_connections: self.shares.gearman_connections,
        }));
        for function in gearman::resolve_functions(file, &self.config.site)? {
            front.add_function(function)?;
        }
        Ok(front)
    }

    /// Opens the admin address, if it is on.
    ///
    /// # Errors
    /// It cannot be bound.
    pub fn start_admin(&self) -> Result<(), StartError> {
        let Some(address) = self.config.admin else { return Ok(()) };
        let Listener { socket, address } = listen::bind(address, " (admin)")?;
        let admin = Arc::new(Admin {
            metrics: self.admin_state.metrics.clone(),
            suspensions: self.admin_state.suspensions.clone(),
            inbox: self.inbox.clone(),
            connections: ConnectionLimiter::new(admin::MAX_CONNECTIONS),
        });
        may::go!(move || admin::accept(admin, &socket));
        // Tools read the address from this line.
        tracing::info!("{}: admin on {address}", self.config.name);
        Ok(())
    }
}
