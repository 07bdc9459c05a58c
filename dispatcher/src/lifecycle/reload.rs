//! Applies a reloaded configuration to the running components.

use super::config::Config;
use super::log;
use crate::core::event_loop::max_client_timeout;
use crate::core::{FleetId, Inbox, Input, clock};
use crate::wire::discovery::DiscoveryHandle;
use crate::wire::gearman::{self, Gearman};
use roselock::Micros;
use roselock::settings::Site;
use roselock_discovery_client::poll_schedule::PollSchedule;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Handles to the running components that a reload or a shutdown affects.
pub struct ReloadHandles {
    inbox: Inbox,
    fleet: FleetId,
    discovery: DiscoveryHandle,
    /// Sequence number of the latest configured move of the discovery service. A delayed move is discarded
    /// once there is a later one.
    discovery_moves: Arc<AtomicUsize>,
    gearman: Option<Arc<Gearman>>,
}

impl ReloadHandles {
    /// Collects the handles. `fleet` is the fleet of HTTP hosts.
    pub fn new(
        inbox: Inbox,
        fleet: FleetId,
        discovery: DiscoveryHandle,
        gearman: Option<Arc<Gearman>>,
    ) -> ReloadHandles {
        ReloadHandles { inbox, fleet, discovery, discovery_moves: Arc::default(), gearman }
    }

    /// Starts the graceful shutdown.
    pub fn request_shutdown(&self) {
        self.inbox.request_shutdown();
    }

    /// Applies a new configuration, and logs the changes that need a restart. `site_in_use` holds the
    /// settings in use; they differ from those of `old` if `old` could not be applied because its names
    /// differed.
    pub fn reload(&self, old: &Config, new: &Config, site_in_use: &mut Site) {
        let name = &old.name;
        // Noted even if the settings are not applied, because the platform may derive the time of its SIGKILL
        // from any settings that it has passed.
        self.inbox.record_client_timeout(max_client_timeout(&new.site.settings));
        if new.discovery != old.discovery {
            self.move_discovery(name, new);
        }
        let has_same_names = new.site.has_same_names_as(site_in_use);
        if has_same_names {
            *site_in_use = new.site.clone();
            self.apply_settings(new);
        } else {
            let change = "names of classes, tenants, zones or kinds, or load reports";
            tracing::warn!(%name, %change, "keeping the current settings, change takes effect after a restart");
        }
        if new.listen != old.listen || new.limits != old.limits {
            tracing::info!(%name, change = "listen address or limits", "change takes effect after a restart");
        }
        log::set_level(new.log.level);
        self.reload_gearman(name, new, has_same_names);
        tracing::info!(%name, "configuration reloaded");
    }

    fn apply_settings(&self, new: &Config) {
        let fleet = self.fleet;
        let settings = Box::new(new.site.settings.clone());
        self.inbox.post(Input::SettingsChanged { fleet, settings });
        if let Some(limits) = new.dial_limits {
            self.inbox.post(Input::DialLimitsChanged { fleet, limits });
        }
        self.discovery.set_always_watch(!new.site.settings.watch_required);
    }

    fn reload_gearman(&self, name: &str, new: &Config, has_same_names: bool) {
        match (&self.gearman, &new.gearman) {
            (Some(front), Some(settings)) if has_same_names => {
                reload_gearman_front(name, front, settings, new)
            }
            (Some(_), Some(_)) | (None, None) => {}
            (Some(_), None) | (None, Some(_)) => {
                let change = "Gearman front end enabled or disabled";
                tracing::warn!(%name, %change, "change takes effect after a restart");
            }
        }
    }

    /// Switches to a new discovery address: immediately, or in this dispatcher's slot of a polling round,
    /// because all dispatchers may be reloaded in the same second. The watch at the old address stays open
    /// until then.
    fn move_discovery(&self, name: &str, new: &Config) {
        let discovery_move = DiscoveryMove {
            name: name.to_owned(),
            address: new.discovery,
            number: self.discovery_moves.fetch_add(1, Ordering::SeqCst) + 1,
            latest: self.discovery_moves.clone(),
            discovery: self.discovery.clone(),
        };
        let delay = move_delay(new);
        if delay.is_zero() {
            discovery_move.apply();
            return;
        }
        may::go!(move || {
            clock::sleep(delay);
            discovery_move.apply();
        });
    }
}

/// A configured change of the discovery address.
struct DiscoveryMove {
    /// Name of the dispatcher.
    name: String,
    /// The new address.
    address: SocketAddr,
    /// Sequence number of this move.
    number: usize,
    /// Sequence number of the latest move.
    latest: Arc<AtomicUsize>,
    discovery: DiscoveryHandle,
}

impl DiscoveryMove {
    /// Switches to the new address, unless there is a later move.
    fn apply(&self) {
        let is_latest = self.latest.load(Ordering::SeqCst) == self.number;
        if is_latest && self.discovery.move_to(self.address) {
            tracing::info!(name = %self.name, address = %self.address, "discovery address changed");
        }
    }
}

/// Delay before switching to a new discovery address.
fn move_delay(new: &Config) -> Duration {
    if !new.spread_moves {
        return Duration::ZERO;
    }
    let settings = &new.site.settings;
    let mut schedule = PollSchedule::new(settings.list_call_time);
    let delay: Micros = schedule.delay_after_move(settings.poll_parameters());
    Duration::from_micros(delay as u64)
}

fn reload_gearman_front(name: &str, front: &Gearman, settings: &gearman::GearmanSettings, new: &Config) {
    match front.reload(settings.clone(), Arc::new(new.site.clone())) {
        Ok(deferred) => {
            for change in deferred {
                tracing::warn!(%name, %change, "Gearman change takes effect after a restart");
            }
        }
        Err(error) => {
            tracing::error!(%name, reason = %error, "Gearman settings rejected, keeping the current ones");
        }
    }
}
