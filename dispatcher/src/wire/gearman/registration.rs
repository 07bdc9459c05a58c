//! Functions are added, changed and closed: by the file, by the file's entry for those that it does not name, and by
//! administrators' commands.

use super::Gearman;
use super::function::{self, Function, FunctionRegistry};
use super::resolved_settings::{ResolvedSettings, fleet_settings};
use super::settings::GearmanSettings;
use super::worker_state::WorkerCounts;
use crate::core::{FleetId, Input};
use crate::lifecycle::settings_error::ConfigError;
use roselock::settings::{Site, fnv};
use std::sync::Arc;
use thiserror::Error;

/// Why a function cannot be added or changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AddFunctionError {
    /// Adding another function has failed halfway.
    #[error("no functions can be made")]
    Unavailable,
    /// It is there with the other kind of target.
    #[error("it goes to others from the next start on")]
    TargetChanged,
    /// There are as many as are allowed.
    #[error("there are too many functions")]
    TooMany,
}

/// A change of the settings that takes effect at the next start.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum DelayedChange {
    /// Of the address.
    #[error("another address")]
    Address,
    /// Of bounds or of the administrators' addresses.
    #[error("other bounds or administrators")]
    Limits,
    /// Of a function.
    #[error("function {name:?}: {reason}")]
    Function {
        /// Its name.
        name: String,
        /// Why it cannot be changed now.
        #[source]
        reason: AddFunctionError,
    },
}

impl Gearman {
    /// The index of a function. One that is not named is added where the file has an entry for such.
    pub(super) fn function_for(&self, name: &[u8]) -> Option<usize> {
        if let Some(function) = self.functions.load().find(name) {
            return Some(function);
        }
        let file = self.file.load();
        let entry = file.default.as_ref()?;
        if !function::is_valid_name(name) {
            return None;
        }
        let name = std::str::from_utf8(name).ok()?;
        let function = function::resolve_function(entry, name, &self.site.load()).ok()?;
        self.add_function(function).ok()
    }

    /// Adds a function, with a fleet of its own where workers run it, or replaces its settings. Returns its index.
    ///
    /// # Errors
    /// There are too many functions, or the function is there with the other kind of target.
    pub fn add_function(&self, function: Function) -> Result<usize, AddFunctionError> {
        let mut next_fleet = self.next_fleet.lock().map_err(|_| AddFunctionError::Unavailable)?;
        let registry = (*self.functions.load_full()).clone();
        match registry.find(function.name.as_bytes()) {
            Some(index) => self.replace_function(registry, index, function),
            None => self.insert_function(registry, function, &mut next_fleet),
        }
    }

    fn replace_function(
        &self,
        mut registry: FunctionRegistry,
        index: usize,
        mut function: Function,
    ) -> Result<usize, AddFunctionError> {
        let current = &registry.all[index];
        if current.runs_on_workers() != function.runs_on_workers() {
            return Err(AddFunctionError::TargetChanged);
        }
        function.fleet = current.fleet;
        self.jobs.lock().backlog.reconfigure(index, function.queue.clone());
        registry.insert(function);
        self.functions.store(Arc::new(registry));
        Ok(index)
    }

    fn insert_function(
        &self,
        mut registry: FunctionRegistry,
        mut function: Function,
        next_fleet: &mut FleetId,
    ) -> Result<usize, AddFunctionError> {
        if registry.all.len() >= self.settings.max_functions {
            return Err(AddFunctionError::TooMany);
        }
        function.fleet = self.http_fleet;
        if function.runs_on_workers() {
            function.fleet = *next_fleet;
            *next_fleet += 1;
            let settings = Box::new(fleet_settings(&self.site.load(), &self.file.load()));
            let seed = self.seed ^ fnv(function.name.as_bytes());
            self.inbox.post(Input::FleetAdded { fleet: function.fleet, settings, seed });
        }
        let mut jobs = self.jobs.lock();
        let index = jobs.backlog.add(function.queue.clone());
        jobs.worker_counts.push(WorkerCounts::default());
        let registered = registry.insert(function);
        assert_eq!(index, registered, "functions have one index");
        self.functions.store(Arc::new(registry));
        Ok(index)
    }

    /// Closes a function: it accepts no further jobs; those that wait are served.
    pub(super) fn close_function(&self, function: usize) {
        self.jobs.lock().backlog.close(function);
    }

    /// Applies a file that was read again, and new settings of the decisions whose names are as before: functions are
    /// added and changed, and those that are not named any more are closed. Returns the changes that take effect at
    /// the next start.
    ///
    /// # Errors
    /// The setting that is rejected; nothing has changed then.
    pub fn reload(&self, new: GearmanSettings, site: Arc<Site>) -> Result<Vec<DelayedChange>, ConfigError> {
        let functions = function::resolve_functions(&new, &site)?;
        let settings = ResolvedSettings::resolve(&new, self.settings.bounds.bytes)?;
        let mut delayed = Vec::new();
        if self.file.load().listen != new.listen {
            delayed.push(DelayedChange::Address);
        }
        if self.settings.needs_restart_for(&settings) {
            delayed.push(DelayedChange::Limits);
        }
        let named: Vec<String> = functions.iter().map(|function| function.name.clone()).collect();
        let takes_unnamed = new.default.is_some();
        self.file.store(Arc::new(new));
        self.site.store(site);
        for function in functions {
            let name = function.name.clone();
            if let Err(reason) = self.add_function(function) {
                delayed.push(DelayedChange::Function { name, reason });
            }
        }
        self.apply_fleet_settings();
        if !takes_unnamed {
            self.close_unnamed(&named);
        }
        Ok(delayed)
    }

    fn apply_fleet_settings(&self) {
        for function in self.functions().all.iter().filter(|function| function.runs_on_workers()) {
            let settings = Box::new(fleet_settings(&self.site.load(), &self.file.load()));
            self.inbox.post(Input::SettingsChanged { fleet: function.fleet, settings });
        }
    }

    fn close_unnamed(&self, named: &[String]) {
        for (index, function) in self.functions().all.iter().enumerate() {
            if !named.contains(&function.name) {
                self.close_function(index);
            }
        }
    }
}
