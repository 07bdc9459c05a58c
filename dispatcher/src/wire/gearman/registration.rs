//! Adds, reconfigures and closes functions: from the settings file, on first use through the default entry, and by
//! administrators' commands.

use super::Gearman;
use super::function::{self, Function, FunctionRegistry};
use super::resolved_settings::{ResolvedSettings, fleet_settings};
use super::settings::GearmanSettings;
use super::worker_state::WorkerCounts;
use crate::core::{FleetId, Input};
use crate::lifecycle::settings_error::ConfigError;
use roselock::settings::{Site, fnv1a};
use std::sync::Arc;
use thiserror::Error;

/// The reason why a function cannot be added or changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AddFunctionError {
    /// An earlier addition panicked and may be incomplete.
    #[error("functions can no longer be added: an earlier addition panicked")]
    Unavailable,
    /// The function exists with the other kind of target.
    #[error("the target changes between Gearman workers and HTTP hosts")]
    TargetChanged,
    /// The maximum number of functions is reached.
    #[error("too many functions")]
    TooMany,
}

/// A change of the settings that takes effect after a restart.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DelayedChange {
    /// The listen address.
    #[error("listen address")]
    Address,
    /// The limits or the administrators' addresses.
    #[error("limits or administrators")]
    Limits,
    /// The settings of a function.
    #[error("function {name:?}: {reason}")]
    Function {
        /// The name of the function.
        name: String,
        /// The reason why it cannot be changed at runtime.
        #[source]
        reason: AddFunctionError,
    },
}

impl Gearman {
    /// Returns the index of a function, adding an unknown one if the file has a default entry.
    pub(super) fn find_or_add_function(&self, name: &[u8]) -> Option<usize> {
        if let Some(function) = self.function_registry.load().find(name) {
            return Some(function);
        }
        let file = self.file_settings.load();
        let entry = file.default.as_ref()?;
        if !function::is_valid_name(name) {
            return None;
        }
        let name = std::str::from_utf8(name).ok()?;
        let function = function::resolve_function(entry, name, &self.site.load()).ok()?;
        self.add_function(function).ok()
    }

    /// Adds a function, or replaces its settings if it exists. A function that runs on workers gets its own fleet.
    /// Returns the index.
    ///
    /// # Errors
    /// If there are too many functions, if the function exists with the other kind of target, or if an earlier addition
    /// panicked.
    pub fn add_function(&self, function: Function) -> Result<usize, AddFunctionError> {
        let mut next_fleet_id = self.next_fleet_id.lock().map_err(|_| AddFunctionError::Unavailable)?;
        let registry = (*self.function_registry.load_full()).clone();
        match registry.find(function.name.as_bytes()) {
            Some(index) => self.replace_function(registry, index, function),
            None => self.insert_function(registry, function, &mut next_fleet_id),
        }
    }

    fn replace_function(
        &self,
        mut registry: FunctionRegistry,
        index: usize,
        mut function: Function,
    ) -> Result<usize, AddFunctionError> {
        let current = &registry.functions[index];
        if current.runs_on_workers() != function.runs_on_workers() {
            return Err(AddFunctionError::TargetChanged);
        }
        function.fleet = current.fleet;
        self.jobs.lock().backlog.reconfigure(index, function.queue.clone());
        registry.insert(function);
        self.function_registry.store(Arc::new(registry));
        Ok(index)
    }

    fn insert_function(
        &self,
        mut registry: FunctionRegistry,
        mut function: Function,
        next_fleet_id: &mut FleetId,
    ) -> Result<usize, AddFunctionError> {
        if registry.functions.len() >= self.settings.max_functions {
            return Err(AddFunctionError::TooMany);
        }
        function.fleet = self.http_fleet;
        if function.runs_on_workers() {
            function.fleet = *next_fleet_id;
            *next_fleet_id += 1;
            let settings = Box::new(fleet_settings(&self.site.load(), &self.file_settings.load()));
            let seed = self.seed ^ fnv1a(function.name.as_bytes());
            self.inbox.post(Input::FleetAdded { fleet: function.fleet, settings, seed });
        }
        let mut jobs = self.jobs.lock();
        let index = jobs.backlog.add(function.queue.clone());
        jobs.worker_counts.push(WorkerCounts::default());
        let registry_index = registry.insert(function);
        assert_eq!(index, registry_index, "backlog and registry index a function differently");
        self.function_registry.store(Arc::new(registry));
        Ok(index)
    }

    /// Closes a function: further jobs are rejected, and waiting ones are still served.
    pub(super) fn close_function(&self, function: usize) {
        self.jobs.lock().backlog.close(function);
    }

    /// Applies a reloaded file, and scheduling settings with unchanged names: adds and reconfigures functions. Functions
    /// that are no longer named are closed unless there is a default entry. Returns the changes that take effect after a
    /// restart.
    ///
    /// # Errors
    /// If a setting is invalid. Nothing has changed then.
    pub fn reload(&self, new: GearmanSettings, site: Arc<Site>) -> Result<Vec<DelayedChange>, ConfigError> {
        let functions = function::resolve_functions(&new, &site)?;
        let settings = ResolvedSettings::resolve(&new, self.settings.bounds.max_bytes)?;
        let mut delayed = Vec::new();
        if self.file_settings.load().listen != new.listen {
            delayed.push(DelayedChange::Address);
        }
        if self.settings.needs_restart_for(&settings) {
            delayed.push(DelayedChange::Limits);
        }
        let named: Vec<String> = functions.iter().map(|function| function.name.clone()).collect();
        let has_default_entry = new.default.is_some();
        self.file_settings.store(Arc::new(new));
        self.site.store(site);
        for function in functions {
            let name = function.name.clone();
            if let Err(reason) = self.add_function(function) {
                delayed.push(DelayedChange::Function { name, reason });
            }
        }
        self.apply_fleet_settings();
        if !has_default_entry {
            self.close_unnamed_functions(&named);
        }
        Ok(delayed)
    }

    fn apply_fleet_settings(&self) {
        for function in
            self.function_registry().functions.iter().filter(|function| function.runs_on_workers())
        {
            let settings = Box::new(fleet_settings(&self.site.load(), &self.file_settings.load()));
            self.inbox.post(Input::SettingsChanged { fleet: function.fleet, settings });
        }
    }

    fn close_unnamed_functions(&self, named: &[String]) {
        for (index, function) in self.function_registry().functions.iter().enumerate() {
            if !named.contains(&function.name) {
                self.close_function(index);
            }
        }
    }
}
