//! The functions of the Gearman front end, resolved from the settings file and looked up by name.

use super::number_settings::{AllowedRange, micros_from_seconds, number_in_range};
use super::settings::{FunctionEntry, GearmanSettings, MaxQueue};
use crate::core::FleetId;
use crate::lifecycle::settings_error::ConfigError;
use roselock::settings::Site;
use roselock::{ClassId, Idempotency, Micros, SECOND, TenantId};
use roselock_backlog::{FunctionSettings, Window};
use std::collections::HashMap;
use toml::Spanned;

/// Maximum number of released jobs of a function that runs on HTTP hosts. The window is fixed because the decision logic
/// knows the capacity of these hosts.
const HTTP_WINDOW: usize = 64;
/// Maximum configurable duration of an attempt, in seconds.
const MAX_ATTEMPT_S: f64 = 86_400.0;
/// Maximum configurable wait for a worker, in seconds.
const MAX_WAIT_S: f64 = 366.0 * 86_400.0;
/// Default maximum number of queued jobs per priority.
const DEFAULT_MAX_QUEUE: usize = 20_000;
/// Maximum number of attempts of a job, even if the scheduling settings allow more.
const MAX_ATTEMPTS: u32 = 4;
/// Maximum length of a function name, in bytes.
const MAX_NAME_BYTES: usize = 512;

/// A function for which jobs can be submitted.
#[derive(Clone, Debug)]
pub struct Function {
    /// The name of the function.
    pub name: String,
    /// The classes of the jobs by priority: high, normal, low.
    pub classes: [ClassId; 3],
    /// Whether the jobs are idempotent, by priority.
    pub idempotent: [bool; 3],
    /// The tenant of the jobs.
    pub tenant: Option<TenantId>,
    /// The path at the HTTP hosts, if they run the function.
    pub path: Option<String>,
    /// The fleet that runs the function.
    pub fleet: FleetId,
    /// The queue settings.
    pub queue: FunctionSettings,
}

impl Function {
    /// Whether Gearman workers, as opposed to HTTP hosts, run the function.
    pub fn runs_on_workers(&self) -> bool {
        self.path.is_none()
    }
}

/// All functions, by index and by name. A function keeps its index for the lifetime of the process.
#[derive(Clone, Debug, Default)]
pub struct FunctionRegistry {
    /// The functions by index.
    pub functions: Vec<Function>,
    by_name: HashMap<Vec<u8>, usize>,
}

impl FunctionRegistry {
    /// Looks up the index of a function by name.
    pub fn find(&self, name: &[u8]) -> Option<usize> {
        self.by_name.get(name).copied()
    }

    /// Adds or replaces a function, and returns its index.
    pub fn insert(&mut self, function: Function) -> usize {
        if let Some(index) = self.find(function.name.as_bytes()) {
            self.functions[index] = function;
            return index;
        }
        let index = self.functions.len();
        self.by_name.insert(function.name.clone().into_bytes(), index);
        self.functions.push(function);
        index
    }
}

/// Whether a function may have this name.
pub fn is_valid_name(name: &[u8]) -> bool {
    let is_allowed = |byte: &u8| *byte != 0 && !byte.is_ascii_whitespace() && !byte.is_ascii_control();
    !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && name.iter().all(is_allowed)
        && std::str::from_utf8(name).is_ok()
}

/// Resolves the functions named in the file, and validates the default entry.
///
/// # Errors
/// If a setting is invalid.
pub fn resolve_functions(file: &GearmanSettings, site: &Site) -> Result<Vec<Function>, ConfigError> {
    let mut functions: Vec<Function> = Vec::new();
    for entry in &file.function {
        let name = entry_name(entry)?;
        if functions.iter().any(|function| function.name == *name.get_ref()) {
            let problem = format!("duplicate function {:?}", name.get_ref());
            return Err(ConfigError::new(name.span(), "name", problem, "a unique name"));
        }
        functions.push(resolve_function(entry, name.get_ref(), site)?);
    }
    if let Some(entry) = &file.default {
        check_default_entry(entry, site)?;
    }
    Ok(functions)
}

fn entry_name(entry: &FunctionEntry) -> Result<&Spanned<String>, ConfigError> {
    let Some(name) = &entry.name else {
        let span = entry.class.span();
        return Err(ConfigError::new(span, "name", "a function has no name", "name = \"...\""));
    };
    if !is_valid_name(name.get_ref().as_bytes()) {
        let problem = format!("invalid function name {:?}", name.get_ref());
        return Err(ConfigError::new(name.span(), "name", problem, "1 to 512 bytes without whitespace"));
    }
    Ok(name)
}

fn check_default_entry(entry: &FunctionEntry, site: &Site) -> Result<(), ConfigError> {
    if let Some(name) = &entry.name {
        let problem = "the default entry has a name";
        return Err(ConfigError::new(name.span(), "default.name", problem, "no name"));
    }
    if resolve_function(entry, "default", site)?.path.is_some() {
        let problem = "functions added by the default entry run on Gearman workers";
        return Err(ConfigError::new(entry.target.span(), "default.target", problem, "\"gearman\""));
    }
    Ok(())
}

/// Resolves one function. The fleet is 0 until the function is added to the front end.
///
/// # Errors
/// If a setting is invalid.
pub fn resolve_function(entry: &FunctionEntry, name: &str, site: &Site) -> Result<Function, ConfigError> {
    let tenant = resolve_tenant(entry, site)?;
    let path = resolve_path(&entry.target)?;
    let classes = resolve_classes(entry, site)?;
    let queue = resolve_queue(entry, path.is_some(), classes, site)?;
    let settings = &site.settings;
    let is_idempotent =
        |class: ClassId| settings.classes[class.0 as usize].idempotency == Idempotency::Idempotent;
    Ok(Function {
        name: name.to_owned(),
        classes,
        idempotent: classes.map(is_idempotent),
        tenant,
        path,
        fleet: 0,
        queue,
    })
}

fn resolve_tenant(entry: &FunctionEntry, site: &Site) -> Result<Option<TenantId>, ConfigError> {
    let Some(name) = &entry.tenant else { return Ok(None) };
    let Some(tenant) = site.tenants.get(name.get_ref()) else {
        let problem = format!("unknown tenant {:?}", name.get_ref());
        let expected = format!("one of: {}", site.tenants.names().join(", "));
        return Err(ConfigError::new(name.span(), "tenant", problem, expected));
    };
    Ok(Some(TenantId(tenant as u16)))
}

/// The path of a target at the HTTP hosts, or `None` for Gearman workers.
fn resolve_path(target: &Spanned<String>) -> Result<Option<String>, ConfigError> {
    let text = target.get_ref().as_str();
    if text == "gearman" {
        return Ok(None);
    }
    if text.starts_with('/') && text.bytes().all(|byte| byte.is_ascii_graphic()) {
        return Ok(Some(text.to_owned()));
    }
    let problem = format!("invalid target {text:?}");
    let expected = "\"gearman\", or a path such as \"/api/pay\"";
    Err(ConfigError::new(target.span(), "target", problem, expected))
}

/// The classes by priority: high, normal, low.
fn resolve_classes(entry: &FunctionEntry, site: &Site) -> Result<[ClassId; 3], ConfigError> {
    let normal = resolve_class("class", &entry.class, site)?;
    let high = match &entry.class_high {
        Some(name) => resolve_class("class_high", name, site)?,
        None => normal,
    };
    let low = match &entry.class_low {
        Some(name) => resolve_class("class_low", name, site)?,
        None => normal,
    };
    Ok([high, normal, low])
}

fn resolve_class(key: &str, name: &Spanned<String>, site: &Site) -> Result<ClassId, ConfigError> {
    let Some(class) = site.classes.get(name.get_ref()) else {
        let problem = format!("unknown class {:?}", name.get_ref());
        let expected = format!("one of: {}", site.classes.names().join(", "));
        return Err(ConfigError::new(name.span(), key, problem, expected));
    };
    Ok(ClassId(class as u16))
}

fn resolve_queue(
    entry: &FunctionEntry,
    is_http: bool,
    classes: [ClassId; 3],
    site: &Site,
) -> Result<FunctionSettings, ConfigError> {
    let attempt_range = AllowedRange { min: f64::MIN_POSITIVE, max: MAX_ATTEMPT_S };
    let run_s = number_in_range("deadline_s", Some(&entry.deadline_s), 0.0, attempt_range)?;
    let wait_range = AllowedRange { min: 0.001, max: MAX_WAIT_S };
    let background_wait_s =
        number_in_range("background_s", entry.background_s.as_ref(), 86_400.0, wait_range)?;
    let background_run_s = if is_http { run_s } else { background_run_seconds(entry, run_s)? };
    let wait_s = number_in_range("wait_s", entry.wait_s.as_ref(), 600.0, wait_range)?;
    let settings = &site.settings;
    let objectives = classes.map(|class| settings.classes[class.0 as usize].latency_objective);
    Ok(FunctionSettings {
        queued: entry.queue,
        max_queue: entry.max_queue.map_or([DEFAULT_MAX_QUEUE; 3], MaxQueue::by_priority),
        max_wait: micros_from_seconds(wait_s),
        max_wait_background: micros_from_seconds(background_wait_s),
        run_timeout: [micros_from_seconds(run_s), micros_from_seconds(background_run_s)],
        max_attempts: settings.limits.max_attempts.min(MAX_ATTEMPTS),
        window: release_window(entry.queue, is_http, objectives),
    })
}

/// How long an attempt of a background job may take on Gearman workers, in seconds. The minimum is twice `run_s`: the
/// decision logic takes a time budget much smaller than the largest of the class for a repeated attempt by an impatient
/// client.
fn background_run_seconds(entry: &FunctionEntry, run_s: f64) -> Result<f64, ConfigError> {
    let min = 2.0 * run_s;
    let allowed = AllowedRange { min, max: 2.0 * MAX_ATTEMPT_S };
    number_in_range("background_run_s", entry.background_run_s.as_ref(), min.max(3600.0), allowed)
}

fn release_window(is_queued: bool, is_http: bool, objectives: [Micros; 3]) -> Window {
    if !is_queued {
        return Window::Unlimited;
    }
    if is_http {
        return Window::Fixed(HTTP_WINDOW);
    }
    Window::Workers { latency_objective: objectives.into_iter().min().unwrap_or(SECOND / 5) }
}
