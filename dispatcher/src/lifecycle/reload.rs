//! Applies a configuration that was read again to the running parts.

use super::config::Config;
use super::log;
use crate::core::event_loop::max_client_timeout;
use crate::core::{FleetId, Inbox, Input};
use crate::wire::discovery::DiscoveryHandle;
use crate::wire::gearman::{self, Gearman};
use roselock::Micros;
use roselock::settings::Site;
use roselock_discovery_client::poll_schedule::PollSchedule;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// The parts that a reload, or the end of the process, reaches.
pub struct ReloadHandles {
    inbox: Inbox,
    fleet: FleetId,
    discovery: DiscoveryHandle,
    /// Counts the moves of discovery that were configured: a delayed one is void once there is a later one.
    discovery_moves: Arc<AtomicUsize>,
    gearman: Option<Arc<Gearman>>,
}

impl ReloadHandles {
    /// The handles of the running parts. `fleet` is that of the HTTP hosts.
    pub fn new(
        inbox: Inbox,
        fleet: FleetId,
        discovery: DiscoveryHandle,
        gearman: Option<Arc<Gearman>>,
    ) -> ReloadHandles {
        ReloadHandles { inbox, fleet, discovery, discovery_moves: Arc::default(), gearman }
    }

    /// Begins the graceful shutdown.
    pub fn request_shutdown(&self) {
        self.inbox.request_shutdown();
    }

    /// Applies a new configuration, and logs the changes that need a restart. `site_in_use` are the settings in use,
    /// which are those of `old` unless its names were others.
    pub fn reload(&self, old: &Config, new: &Config, site_in_use: &mut Site) {
        let name = &old.name;
        // Whether or not the settings are applied.
        self.inbox.note_client_timeout(max_client_timeout(&new.site.settings));
        if new.discovery != old.discovery {
            self.move_discovery(name, new);
        }
        let has_same_names = new.site.has_same_names_as(site_in_use);
        if has_same_names {
            *site_in_use = new.site.clone();
            self.apply_settings(new);
        } else {
            let change = "names of classes, tenants, zones or kinds, or load reports";
            tracing::warn!(%name, %change, "keeping the current settings, change takes effect at the next start");
        }
        if new.listen != old.listen || new.limits != old.limits {
            tracing::info!(%name, change = "address or limits", "change takes effect at the next start");
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
            (Some(front), Some(file)) if has_same_names => reload_gearman_front(name, front, file, new),
            (Some(_), Some(_)) | (None, None) => {}
            (Some(_), None) | (None, Some(_)) => {
                let change = "Gearman front on or off";
                tracing::warn!(%name, %change, "change takes effect at the next start");
            }
        }
    }

    /// Moves discovery: at once, or at this dispatcher's place in a first round of polls, as all may be reloaded in the
    /// same second; the watch at the former address stays open until then.
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
            may::coroutine::sleep(delay);
            discovery_move.apply();
        });
    }
}

/// A move of discovery that was configured.
struct DiscoveryMove {
    /// The dispatcher's name.
    name: String,
    /// Where discovery is from now on.
    address: SocketAddr,
    /// Which one of the process's moves it is.
    number: usize,
    /// The number of the latest move.
    latest: Arc<AtomicUsize>,
    discovery: DiscoveryHandle,
}

impl DiscoveryMove {
    /// Moves discovery, unless there is a later move.
    fn apply(&self) {
        let is_latest = self.latest.load(Ordering::SeqCst) == self.number;
        if is_latest && self.discovery.move_to(self.address) {
            tracing::info!(name = %self.name, address = %self.address, "discovery moved");
        }
    }
}

/// How long a move of discovery is delayed.
fn move_delay(new: &Config) -> Duration {
    if !new.spread_moves {
        return Duration::ZERO;
    }
    let settings = &new.site.settings;
    let mut schedule = PollSchedule::new(settings.list_call_time);
    let delay: Micros = schedule.delay_after_move(settings.poll_parameters());
    Duration::from_micros(delay as u64)
}

fn reload_gearman_front(name: &str, front: &Gearman, file: &gearman::GearmanSettings, new: &Config) {
    match front.reload(file.clone(), Arc::new(new.site.clone())) {
        Ok(delayed) => {
            for change in delayed {
                tracing::warn!(%name, %change, "Gearman change takes effect at the next start");
            }
        }
        Err(error) => {
            tracing::error!(%name, reason = %error, "Gearman settings rejected, keeping the current ones");
        }
    }
}
