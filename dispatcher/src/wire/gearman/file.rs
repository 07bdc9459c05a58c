//! The front's settings: what the operators' file says, and what follows from it.

use crate::core::FleetId;
use crate::lifecycle::settings_error::ConfigError;
use roselock::settings::Site;
use roselock::{ClassId, Idempotency, Micros, SECOND, Settings, TenantId};
use roselock_backlog::{Bounds, FunctionSettings, Window};
use serde::Deserialize;
use std::collections::HashMap;
use std::net::{IpAddr, SocketAddr};
use toml::Spanned;

/// Jobs that the decisions have at a time, of a function that goes to the HTTP hosts: they know their room.
const HTTP_WINDOW: usize = 64;
/// Most functions that can be set.
const MOST_FUNCTIONS: usize = 1024;
/// Longest times that can be set, in seconds: an attempt's, and a wait's.
const LONGEST_RUN: f64 = 86_400.0;
const LONGEST_WAIT: f64 = 366.0 * 86_400.0;

/// The file, or its section, that turns the front on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct File {
    /// Where clients and workers come in.
    pub listen: SocketAddr,
    /// How long a worker that just registered counts as cold, in seconds; without it, as the settings say.
    #[serde(default)]
    pub cold_s: Option<Spanned<f64>>,
    /// Least span between two steps of the decisions of a function's workers, in milliseconds.
    #[serde(default)]
    pub tick_ms: Option<Spanned<f64>>,
    /// Most jobs of all functions, waiting or out.
    #[serde(default = "max_jobs")]
    pub max_jobs: usize,
    /// Memory for the data of these, in MiB; without it, a quarter of the process's.
    #[serde(default)]
    pub memory_mb: Option<usize>,
    /// Most data of one job, or of its result, in KiB.
    #[serde(default)]
    pub max_job_kb: Option<Spanned<usize>>,
    /// Most bytes that wait for one connection to read them, in KiB.
    #[serde(default)]
    pub outbox_kb: Option<Spanned<usize>>,
    /// How long a worker that was woken may take to ask for its job, in seconds.
    #[serde(default)]
    pub grab_s: Option<Spanned<f64>>,
    /// Whether a worker's bytes are acknowledged at once.
    #[serde(default = "yes")]
    pub quick_ack: bool,
    /// Where SUBMIT_JOB_SCHED's fields are read.
    #[serde(default)]
    pub timezone: Option<Spanned<String>>,
    /// Who may change things by administrators' lines.
    #[serde(default)]
    pub admins: Vec<IpAddr>,
    /// Most functions.
    #[serde(default = "max_functions")]
    pub max_functions: usize,
    /// For functions that are not named: they are taken as they come. Without it they are not.
    #[serde(default)]
    pub default: Option<FunctionEntry>,
    /// The functions that are taken.
    #[serde(default)]
    pub function: Vec<FunctionEntry>,
}

fn max_jobs() -> usize {
    100_000
}

fn max_functions() -> usize {
    256
}

/// A function as the file says it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FunctionEntry {
    /// Its name.
    #[serde(default)]
    pub name: Option<Spanned<String>>,
    /// The class of its jobs.
    pub class: Spanned<String>,
    /// The class of those submitted with high or low priority, where it differs.
    #[serde(default)]
    pub class_high: Option<Spanned<String>>,
    #[serde(default)]
    pub class_low: Option<Spanned<String>>,
    /// Whose jobs they are.
    #[serde(default)]
    pub tenant: Option<Spanned<String>>,
    /// How long one try of a job may take: with a queue from its release on, without one from its arrival.
    pub deadline_s: Spanned<f64>,
    /// `gearman` for workers that register it, or a path such as `/api/pay` at the HTTP hosts.
    pub target: Spanned<String>,
    /// Whether foreground jobs wait for a worker; else the decisions take or refuse them at once.
    #[serde(default = "yes")]
    pub queue: bool,
    /// Most jobs that wait: of each priority, or of high, ordinary and low.
    #[serde(default)]
    pub max_queue: Option<MaxQueue>,
    /// How long a foreground job waits for a worker, in seconds.
    #[serde(default)]
    pub wait_s: Option<Spanned<f64>>,
    /// How long a background job waits for a worker, in seconds.
    #[serde(default)]
    pub background_s: Option<Spanned<f64>>,
    /// How long one try of a background job may take, in seconds.
    #[serde(default)]
    pub background_run_s: Option<Spanned<f64>>,
}

fn yes() -> bool {
    true
}

/// One bound, or one for each priority.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(untagged)]
pub enum MaxQueue {
    /// The same for each.
    All(usize),
    /// High, ordinary, low.
    Each([usize; 3]),
}

/// Most that wait of one priority, unless the file says otherwise.
const MAX_QUEUE: usize = 20_000;

impl MaxQueue {
    /// By priority.
    pub fn each(self) -> [usize; 3] {
        match self {
            MaxQueue::All(n) => [n; 3],
            MaxQueue::Each(n) => n,
        }
    }
}

/// A function that is taken.
#[derive(Clone, Debug)]
pub struct Function {
    /// Its name.
    pub name: String,
    /// Its classes: high, ordinary, low.
    pub classes: [ClassId; 3],
    /// Whether a repeat of its jobs is harmless, likewise.
    pub safe: [bool; 3],
    /// Whose jobs they are.
    pub tenant: Option<TenantId>,
    /// The path at the HTTP hosts, where it goes there.
    pub path: Option<String>,
    /// Its fleet.
    pub fleet: FleetId,
    /// How its jobs wait.
    pub queue: FunctionSettings,
}

impl Function {
    /// Whether Gearman workers run it.
    pub fn by_workers(&self) -> bool {
        self.path.is_none()
    }
}

/// The functions by index and by name. An index stays its function's for the life of the process.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    /// By index.
    pub all: Vec<Function>,
    by_name: HashMap<Vec<u8>, usize>,
}

impl Registry {
    /// The index of a function.
    pub fn find(&self, name: &[u8]) -> Option<usize> {
        self.by_name.get(name).copied()
    }
    /// Adds or replaces one; its index.
    pub fn put(&mut self, function: Function) -> usize {
        match self.find(function.name.as_bytes()) {
            Some(f) => {
                self.all[f] = function;
                f
            }
            None => {
                self.by_name.insert(function.name.clone().into_bytes(), self.all.len());
                self.all.push(function);
                self.all.len() - 1
            }
        }
    }
}

/// The front's figures that are no function's.
#[derive(Clone, Debug)]
pub struct Figures {
    /// Bounds on waiting jobs.
    pub bounds: Bounds,
    /// Most bytes of one job's data.
    pub job: usize,
    /// Most bytes that wait for one connection.
    pub outbox: usize,
    /// How long a woken worker may take to ask.
    pub grab: Micros,
    /// Where fields of set times are read.
    pub zone: jiff::tz::TimeZone,
    /// Whether a worker's bytes are acknowledged at once.
    pub quick_ack: bool,
    /// Who may change things.
    pub admins: Vec<IpAddr>,
    /// Most functions.
    pub functions: usize,
}

fn micros(seconds: f64) -> Micros {
    (seconds * SECOND as f64) as Micros
}

/// A number between bounds.
fn within(
    key: &str,
    value: &Option<Spanned<f64>>,
    default: f64,
    (least, most): (f64, f64),
) -> Result<f64, ConfigError> {
    let Some(told) = value else { return Ok(default) };
    let x = *told.get_ref();
    if x >= least && x <= most {
        return Ok(x);
    }
    Err(ConfigError::new(
        told.span(),
        key,
        format!("{x} is out of range"),
        format!("between {least} and {most}"),
    ))
}

fn kib(key: &str, value: &Option<Spanned<usize>>, default: usize, most: usize) -> Result<usize, ConfigError> {
    let Some(told) = value else { return Ok(default << 10) };
    let n = *told.get_ref();
    if (1..=most).contains(&n) {
        return Ok(n << 10);
    }
    Err(ConfigError::new(
        told.span(),
        key,
        format!("{n} is out of range"),
        format!("between 1 and {most} KiB"),
    ))
}

/// Checks the front's figures, given the bytes that it may take for jobs.
pub fn figures(file: &File, bytes: usize) -> Result<Figures, ConfigError> {
    let zone = match &file.timezone {
        None => jiff::tz::TimeZone::UTC,
        Some(name) => roselock_backlog::time_zone(name.get_ref()).map_err(|e| {
            ConfigError::new(name.span(), "timezone", e, "a name such as UTC or Europe/Madrid")
        })?,
    };
    if file.max_functions == 0 || file.max_functions < file.function.len() {
        let cure = format!("at least {}", file.function.len().max(1));
        return Err(ConfigError::new(None, "max_functions", "fewer than the file names", cure));
    }
    if file.max_functions > MOST_FUNCTIONS {
        let cure = format!("at most {MOST_FUNCTIONS}");
        return Err(ConfigError::new(None, "max_functions", "each has its own decisions", cure));
    }
    if file.max_jobs == 0 {
        return Err(ConfigError::new(None, "max_jobs", "no job would be taken", "at least 1"));
    }
    within("cold_s", &file.cold_s, 0.0, (0.0, LONGEST_RUN))?;
    within("tick_ms", &file.tick_ms, 0.2, (0.05, 100.0))?;
    Ok(Figures {
        bounds: Bounds { jobs: file.max_jobs, bytes: file.memory_mb.map_or(bytes, |m| m << 20) },
        job: kib("max_job_kb", &file.max_job_kb, 1024, 64 << 10)?,
        outbox: kib("outbox_kb", &file.outbox_kb, 4096, 1 << 20)?,
        grab: micros(within("grab_s", &file.grab_s, 1.0, (0.01, 3600.0))?),
        zone,
        quick_ack: file.quick_ack,
        admins: file.admins.clone(),
        functions: file.max_functions,
    })
}

/// Checks one function against the settings. It gets the HTTP fleet until one of its own is made.
pub fn function(entry: &FunctionEntry, name: &str, site: &Site) -> Result<Function, ConfigError> {
    let class = |key: &str, told: &Spanned<String>| {
        let known = site.classes.known(told.get_ref()).map(|c| ClassId(c as u16));
        known.ok_or_else(|| {
            let cure = format!("one of: {}", site.classes.names().join(", "));
            ConfigError::new(told.span(), key, format!("unknown class {:?}", told.get_ref()), cure)
        })
    };
    let tenant = match &entry.tenant {
        Some(told) => Some(site.tenants.known(told.get_ref()).ok_or_else(|| {
            let cure = format!("one of: {}", site.tenants.names().join(", "));
            ConfigError::new(told.span(), "tenant", format!("unknown tenant {:?}", told.get_ref()), cure)
        })?),
        None => None,
    };
    let path = match entry.target.get_ref().as_str() {
        "gearman" => None,
        path if path.starts_with('/') && path.bytes().all(|b| b.is_ascii_graphic()) => Some(path.to_owned()),
        other => {
            let cure = "\"gearman\", or a path such as \"/api/pay\"";
            return Err(ConfigError::new(
                entry.target.span(),
                "target",
                format!("{other:?} is neither"),
                cure,
            ));
        }
    };
    let ordinary = class("class", &entry.class)?;
    let classes = [
        entry.class_high.as_ref().map_or(Ok(ordinary), |c| class("class_high", c))?,
        ordinary,
        entry.class_low.as_ref().map_or(Ok(ordinary), |c| class("class_low", c))?,
    ];
    let deadline =
        within("deadline_s", &Some(entry.deadline_s.clone()), 0.0, (f64::MIN_POSITIVE, LONGEST_RUN))?;
    let span =
        |key: &str, told, default: f64, least: f64, most: f64| within(key, told, default, (least, most));
    let background_s = span("background_s", &entry.background_s, 86_400.0, 0.001, LONGEST_WAIT)?;
    // The decisions take a budget much below the largest of its class for a later try of an impatient client.
    let run = match path {
        Some(_) => deadline,
        None => {
            let least = 2.0 * deadline;
            span("background_run_s", &entry.background_run_s, least.max(3600.0), least, 2.0 * LONGEST_RUN)?
        }
    };
    let set = &site.settings;
    let aims = classes.map(|c| set.classes[c.0 as usize].latency_objective);
    let queue = FunctionSettings {
        queued: entry.queue,
        max_queue: entry.max_queue.map_or([MAX_QUEUE; 3], MaxQueue::each),
        max_wait: micros(span("wait_s", &entry.wait_s, 600.0, 0.001, LONGEST_WAIT)?),
        max_wait_background: micros(background_s),
        run_timeout: [micros(deadline), micros(run)],
        max_attempts: set.limits.max_attempts.min(4),
        window: match (&path, entry.queue) {
            (_, false) => Window::Unlimited,
            (Some(_), true) => Window::Fixed(HTTP_WINDOW),
            (None, true) => Window::Workers { aim: aims.into_iter().min().unwrap_or(SECOND / 5) },
        },
    };
    Ok(Function {
        name: name.to_owned(),
        classes,
        safe: classes.map(|c| set.classes[c.0 as usize].idempotency == Idempotency::Idempotent),
        tenant: tenant.map(|t| TenantId(t as u16)),
        path,
        fleet: 0,
        queue,
    })
}

/// Whether a name may be a function's.
pub fn is_name(name: &[u8]) -> bool {
    let fine = |b: &u8| *b != 0 && !b.is_ascii_whitespace() && !b.is_ascii_control();
    !name.is_empty() && name.len() <= 512 && name.iter().all(fine) && std::str::from_utf8(name).is_ok()
}

/// Checks all functions that the file names.
pub fn functions(file: &File, site: &Site) -> Result<Vec<Function>, ConfigError> {
    let mut functions: Vec<Function> = Vec::new();
    for entry in &file.function {
        let Some(name) = &entry.name else {
            return Err(ConfigError::new(
                entry.class.span(),
                "name",
                "a function has none",
                "name = \"...\"",
            ));
        };
        if !is_name(name.get_ref().as_bytes()) {
            let cure = "1 to 512 bytes without blanks";
            return Err(ConfigError::new(
                name.span(),
                "name",
                format!("{:?} is no function's name", name.get_ref()),
                cure,
            ));
        }
        if functions.iter().any(|f| f.name == *name.get_ref()) {
            let what = format!("{:?} is named twice", name.get_ref());
            return Err(ConfigError::new(name.span(), "name", what, "leave one of the two out"));
        }
        functions.push(function(entry, name.get_ref(), site)?);
    }
    if let Some(entry) = &file.default {
        if let Some(name) = &entry.name {
            let what = "the entry for functions that are not named has one";
            return Err(ConfigError::new(name.span(), "default.name", what, "leave it out"));
        }
        if function(entry, "default", site)?.path.is_some() {
            let what = "functions that are not named go to Gearman workers";
            return Err(ConfigError::new(entry.target.span(), "default.target", what, "\"gearman\""));
        }
    }
    Ok(functions)
}

/// What the decisions of a function's own fleet are told: its workers come to us alone, and take one job each.
pub fn settings(site: &Site, file: &File) -> Settings {
    let mut set = site.settings.clone();
    (set.fleet_size, set.instance_index, set.watch_required, set.units_fall_with_load) = (1, 0, false, false);
    (set.reports_start, set.limits.health_checks_allowed, set.limits.max_streams) = (true, false, 1);
    (set.costs.cross_zone, set.costs.handshake, set.costs.origin_fetch) = (0.0, 0.0, 0.0);
    set.classes.iter_mut().for_each(|c| c.kind = None);
    // A step follows each arrival and each worker that becomes free.
    set.tick = file.tick_ms.as_ref().map_or(200, |t| (*t.get_ref() * 1000.0) as Micros);
    if let Some(cold) = file.cold_s.as_ref().map(|c| *c.get_ref()) {
        set.safety.slow_start_window = micros(cold);
        if set.safety.slow_start_window == 0 {
            set.safety.initial_capacity_fraction = 1.0;
        }
    }
    set
}
