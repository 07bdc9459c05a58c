//! The settings of the front that belong to no function, checked and in the units of the code; and the settings of the
//! decisions about a function's workers.

use super::number_settings::{AllowedRange, bytes_of_kib, micros, number_in_range};
use super::settings::GearmanSettings;
use crate::lifecycle::settings_error::ConfigError;
use roselock::settings::Site;
use roselock::{Micros, Settings};
use roselock_backlog::Bounds;
use std::net::IpAddr;

/// Most functions that can be configured.
const MAX_FUNCTIONS: usize = 1024;
/// Longest slow start that can be configured, in seconds.
const MAX_SLOW_START_S: f64 = 86_400.0;
/// Time between two steps of the decisions where the file has none, in microseconds.
const DEFAULT_TICK: Micros = 200;

/// The settings of the front that belong to no function.
#[derive(Clone, Debug)]
pub struct ResolvedSettings {
    /// Bounds on the jobs of all functions.
    pub bounds: Bounds,
    /// Most bytes of one job's data.
    pub max_job_bytes: usize,
    /// Most bytes that are queued for sending to one connection.
    pub max_outbox_bytes: usize,
    /// How long a woken worker may take to grab its job, in microseconds.
    pub grab_timeout: Micros,
    /// The time zone in which the fields of scheduled times are read.
    pub time_zone: jiff::tz::TimeZone,
    /// Whether a worker's bytes are acknowledged at once.
    pub quick_ack: bool,
    /// The addresses from which administrators may send commands that change something.
    pub admins: Vec<IpAddr>,
    /// Most functions.
    pub max_functions: usize,
}

impl ResolvedSettings {
    /// Checks the settings of the front. `default_job_bytes` is the memory for jobs where the file has none.
    ///
    /// # Errors
    /// The setting that is rejected.
    pub fn resolve(
        file: &GearmanSettings,
        default_job_bytes: usize,
    ) -> Result<ResolvedSettings, ConfigError> {
        let time_zone = resolve_time_zone(file)?;
        check_max_functions(file)?;
        if file.max_jobs == 0 {
            return Err(ConfigError::new(None, "max_jobs", "no job would be taken", "at least 1"));
        }
        let slow_start = AllowedRange { least: 0.0, most: MAX_SLOW_START_S };
        number_in_range("cold_s", file.cold_s.as_ref(), 0.0, slow_start)?;
        let tick = AllowedRange { least: 0.05, most: 100.0 };
        number_in_range("tick_ms", file.tick_ms.as_ref(), 0.2, tick)?;
        let job_bytes = file.memory_mb.map_or(default_job_bytes, |mebibytes| mebibytes << 20);
        let max_job_bytes = bytes_of_kib("max_job_kb", file.max_job_kb.as_ref(), 1024, 64 << 10)?;
        let max_outbox_bytes = bytes_of_kib("outbox_kb", file.outbox_kb.as_ref(), 4096, 1 << 20)?;
        let grab_timeout = AllowedRange { least: 0.01, most: 3600.0 };
        let grab_timeout = number_in_range("grab_s", file.grab_s.as_ref(), 1.0, grab_timeout)?;
        Ok(ResolvedSettings {
            bounds: Bounds { jobs: file.max_jobs, bytes: job_bytes },
            max_job_bytes,
            max_outbox_bytes,
            grab_timeout: micros(grab_timeout),
            time_zone,
            quick_ack: file.quick_ack,
            admins: file.admins.clone(),
            max_functions: file.max_functions,
        })
    }

    /// Whether other settings differ from these in something that only a restart can change.
    pub fn needs_restart_for(&self, new: &ResolvedSettings) -> bool {
        self.bounds != new.bounds
            || self.max_job_bytes != new.max_job_bytes
            || self.max_outbox_bytes != new.max_outbox_bytes
            || self.grab_timeout != new.grab_timeout
            || self.max_functions != new.max_functions
            || self.admins != new.admins
    }
}

fn resolve_time_zone(file: &GearmanSettings) -> Result<jiff::tz::TimeZone, ConfigError> {
    let Some(name) = &file.timezone else { return Ok(jiff::tz::TimeZone::UTC) };
    roselock_backlog::time_zone(name.get_ref()).map_err(|error| {
        ConfigError::new(name.span(), "timezone", error, "a name such as UTC or Europe/Madrid")
    })
}

fn check_max_functions(file: &GearmanSettings) -> Result<(), ConfigError> {
    let named = file.function.len();
    if file.max_functions == 0 || file.max_functions < named {
        let expected = format!("at least {}", named.max(1));
        return Err(ConfigError::new(None, "max_functions", "fewer than the file names", expected));
    }
    if file.max_functions > MAX_FUNCTIONS {
        let expected = format!("at most {MAX_FUNCTIONS}");
        return Err(ConfigError::new(None, "max_functions", "each has its own decisions", expected));
    }
    Ok(())
}

/// The settings of the decisions in the fleet of a function: its workers connect to this process alone, and each takes
/// one job at a time.
pub fn fleet_settings(site: &Site, file: &GearmanSettings) -> Settings {
    let mut settings = site.settings.clone();
    settings.fleet_size = 1;
    settings.instance_index = 0;
    settings.watch_required = false;
    settings.units_fall_with_load = false;
    settings.reports_start = true;
    settings.limits.health_checks_allowed = false;
    settings.limits.max_streams = 1;
    settings.costs.cross_zone = 0.0;
    settings.costs.handshake = 0.0;
    settings.costs.origin_fetch = 0.0;
    for class in &mut settings.classes {
        class.kind = None;
    }
    // A step follows each arrival and each worker that becomes free.
    settings.tick =
        file.tick_ms.as_ref().map_or(DEFAULT_TICK, |tick_ms| (*tick_ms.get_ref() * 1000.0) as Micros);
    if let Some(slow_start_s) = &file.cold_s {
        settings.safety.slow_start_window = micros(*slow_start_s.get_ref());
        if settings.safety.slow_start_window == 0 {
            settings.safety.initial_capacity_fraction = 1.0;
        }
    }
    settings
}
