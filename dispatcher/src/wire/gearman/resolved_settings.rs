//! The validated settings of the whole front end in internal units, and the scheduling settings of worker fleets.

use super::number_settings::{AllowedRange, bytes_from_kib, micros_from_seconds, number_in_range};
use super::settings::GearmanSettings;
use crate::lifecycle::settings_error::ConfigError;
use roselock::settings::Site;
use roselock::{Micros, Settings};
use roselock_backlog::Bounds;
use std::net::IpAddr;

/// Maximum configurable number of functions.
const MAX_FUNCTIONS: usize = 1024;
/// Maximum configurable slow start, in seconds.
const MAX_SLOW_START_S: f64 = 86_400.0;
/// Default scheduling tick of worker fleets, in microseconds.
const DEFAULT_TICK: Micros = 200;
/// Number of jobs that a worker runs at a time.
const SLOTS_PER_WORKER: f64 = 1.0;

/// The settings of the whole front end.
#[derive(Clone, Debug)]
pub struct ResolvedSettings {
    /// Limits on the jobs of all functions.
    pub bounds: Bounds,
    /// Maximum size of a job's data, in bytes.
    pub max_job_bytes: usize,
    /// Maximum number of bytes queued for sending per connection.
    pub max_outbox_bytes: usize,
    /// Timeout for a worker to grab its reserved job after being woken, in microseconds.
    pub grab_timeout: Micros,
    /// The time zone of the calendar fields in SUBMIT_JOB_SCHED.
    pub time_zone: jiff::tz::TimeZone,
    /// Whether bytes from workers are acknowledged immediately.
    pub quick_ack: bool,
    /// The IP addresses from which administrators may send privileged commands.
    pub admins: Vec<IpAddr>,
    /// Maximum number of functions.
    pub max_functions: usize,
}

impl ResolvedSettings {
    /// Validates the settings of the whole front end. `default_job_bytes` is the memory limit for jobs if the file sets
    /// none.
    ///
    /// # Errors
    /// If a setting is invalid.
    pub fn resolve(
        file: &GearmanSettings,
        default_job_bytes: usize,
    ) -> Result<ResolvedSettings, ConfigError> {
        let time_zone = resolve_time_zone(file)?;
        check_max_functions(file)?;
        if file.max_jobs == 0 {
            return Err(ConfigError::new(None, "max_jobs", "no job would be accepted", "at least 1"));
        }
        let slow_start_range = AllowedRange { min: 0.0, max: MAX_SLOW_START_S };
        number_in_range("cold_s", file.cold_s.as_ref(), 0.0, slow_start_range)?;
        let tick_range = AllowedRange { min: 0.05, max: 100.0 };
        number_in_range("tick_ms", file.tick_ms.as_ref(), 0.2, tick_range)?;
        let job_bytes = file.memory_mb.map_or(default_job_bytes, |mebibytes| mebibytes << 20);
        let max_job_bytes = bytes_from_kib("max_job_kb", file.max_job_kb.as_ref(), 1024, 64 << 10)?;
        let max_outbox_bytes = bytes_from_kib("outbox_kb", file.outbox_kb.as_ref(), 4096, 1 << 20)?;
        let grab_timeout_range = AllowedRange { min: 0.01, max: 3600.0 };
        let grab_timeout_s = number_in_range("grab_s", file.grab_s.as_ref(), 1.0, grab_timeout_range)?;
        Ok(ResolvedSettings {
            bounds: Bounds { max_jobs: file.max_jobs, max_bytes: job_bytes },
            max_job_bytes,
            max_outbox_bytes,
            grab_timeout: micros_from_seconds(grab_timeout_s),
            time_zone,
            quick_ack: file.quick_ack,
            admins: file.admins.clone(),
            max_functions: file.max_functions,
        })
    }

    /// Whether `new` differs in a setting that takes effect only after a restart.
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
        return Err(ConfigError::new(None, "max_functions", "fewer than the named functions", expected));
    }
    if file.max_functions > MAX_FUNCTIONS {
        let expected = format!("at most {MAX_FUNCTIONS}");
        return Err(ConfigError::new(
            None,
            "max_functions",
            "too many, as each has its own scheduler",
            expected,
        ));
    }
    Ok(())
}

/// The scheduling settings of a function's worker fleet. Its workers connect to this process only, and each runs one job
/// at a time.
pub fn fleet_settings(site: &Site, file: &GearmanSettings) -> Settings {
    let mut settings = site.settings.clone();
    settings.fleet_size = 1;
    settings.instance_index = 0;
    settings.watch_required = false;
    settings.initial_slots = SLOTS_PER_WORKER;
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
    // A tick follows each arrival and each worker that becomes free.
    settings.tick =
        file.tick_ms.as_ref().map_or(DEFAULT_TICK, |tick_ms| (*tick_ms.get_ref() * 1000.0) as Micros);
    if let Some(slow_start_s) = &file.cold_s {
        settings.safety.slow_start_window = micros_from_seconds(*slow_start_s.get_ref());
        if settings.safety.slow_start_window == 0 {
            settings.safety.initial_capacity_fraction = 1.0;
        }
    }
    settings
}
