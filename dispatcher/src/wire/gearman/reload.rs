//! Functions come and go: with the file, its entry for those it does not name, and administrators' lines.

use super::file::{self, File, Function};
use super::{Gearman, Tally};
use crate::core::Input;
use crate::lifecycle::settings_error::ConfigError;
use roselock::settings::{Site, fnv};
use std::sync::Arc;

impl Gearman {
    /// The index of a function that is taken; one that is not named is made where the file has an entry for such.
    pub(super) fn function_for(&self, name: &[u8]) -> Option<usize> {
        if let Some(f) = self.functions.load().find(name) {
            return Some(f);
        }
        let file = self.file.load();
        let entry = file.default.as_ref().filter(|_| file::is_name(name))?;
        let function = file::function(entry, std::str::from_utf8(name).ok()?, &self.site.load()).ok()?;
        self.make(function).ok()
    }

    /// Adds a function, with a fleet of its own where workers run it, or replaces its settings.
    ///
    /// # Errors
    /// Where there are too many, or a function that is there would go to others.
    pub fn make(&self, mut function: Function) -> Result<usize, &'static str> {
        let mut next_fleet = self.making.lock().map_err(|_| "no functions can be made")?;
        let mut registry = (*self.functions.load_full()).clone();
        if let Some(f) = registry.find(function.name.as_bytes()) {
            if registry.all[f].by_workers() != function.by_workers() {
                return Err("it goes to others from the next start on");
            }
            function.fleet = registry.all[f].fleet;
            self.jobs.lock().backlog.reconfigure(f, function.queue.clone());
            registry.put(function);
            self.functions.store(Arc::new(registry));
            return Ok(f);
        }
        if registry.all.len() >= self.figures.functions {
            return Err("there are too many functions");
        }
        function.fleet = self.http;
        if function.by_workers() {
            function.fleet = *next_fleet;
            *next_fleet += 1;
            let set = file::settings(&self.site.load(), &self.file.load());
            let seed = self.seed ^ fnv(function.name.as_bytes());
            self.inbox.post(Input::FleetAdded { fleet: function.fleet, settings: Box::new(set), seed });
        }
        let mut jobs = self.jobs.lock();
        let f = jobs.backlog.add(function.queue.clone());
        jobs.tally.push(Tally::default());
        let put = registry.put(function);
        assert_eq!(f, put, "functions have one index");
        self.functions.store(Arc::new(registry));
        Ok(f)
    }

    /// Takes no further jobs of a function. Those that wait are served.
    pub(super) fn close(&self, f: usize) {
        self.jobs.lock().backlog.close(f);
    }

    /// A file that was read again: new functions are taken, changed ones and new settings of the site, whose
    /// names are as before, are followed, other functions are closed. Returns what
    /// only a new start can change.
    ///
    /// # Errors
    /// What is wrong with it; then nothing has changed.
    pub fn reload(&self, new: File, site: Arc<Site>) -> Result<Vec<String>, ConfigError> {
        let functions = file::functions(&new, &site)?;
        let figures = file::figures(&new, self.figures.bounds.bytes)?;
        let mut later = Vec::new();
        let old = self.file.load_full();
        if old.listen != new.listen {
            later.push("another address".to_owned());
        }
        let kept = &self.figures;
        if (figures.bounds, figures.job, figures.outbox, figures.grab, figures.functions)
            != (kept.bounds, kept.job, kept.outbox, kept.grab, kept.functions)
            || (figures.admins != kept.admins)
        {
            later.push("other bounds or administrators".to_owned());
        }
        let named: Vec<String> = functions.iter().map(|f| f.name.clone()).collect();
        let open = new.default.is_some();
        self.file.store(Arc::new(new));
        self.site.store(site);
        for function in functions {
            let name = function.name.clone();
            if let Err(why) = self.make(function) {
                later.push(format!("function {name:?}: {why}"));
            }
        }
        let registry = self.functions();
        for function in registry.all.iter().filter(|f| f.by_workers()) {
            let set = file::settings(&self.site.load(), &self.file.load());
            self.inbox.post(Input::SettingsChanged { fleet: function.fleet, settings: Box::new(set) });
        }
        for (f, function) in registry.all.iter().enumerate() {
            if !open && !named.contains(&function.name) {
                self.close(f);
            }
        }
        Ok(later)
    }
}
