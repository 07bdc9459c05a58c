//! A TOML file of settings.

use crate::lifecycle::load_error::{FileError, FileProblem};
use crate::lifecycle::settings_error::{ConfigError, line_number, line_prefix};
use serde::de::DeserializeOwned;
use std::ops::Range;
use std::path::Path;

/// A file of settings that was read.
pub struct SettingsFile<'a> {
    path: &'a Path,
    text: String,
}

impl<'a> SettingsFile<'a> {
    /// Reads a file.
    ///
    /// # Errors
    /// It cannot be read.
    pub fn read(path: &'a Path) -> Result<SettingsFile<'a>, FileError> {
        let text = std::fs::read_to_string(path).map_err(|error| FileError::new(path, error))?;
        Ok(SettingsFile { path, text })
    }

    /// Parses it.
    ///
    /// # Errors
    /// It is no TOML, or has an unknown key or a value of a wrong type.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, FileError> {
        toml::from_str(&self.text).map_err(|error| {
            let position = error.span().map_or_else(String::new, |span| self.position(&span));
            let message = error.message().to_owned();
            FileError::new(self.path, FileProblem::Toml { position, message })
        })
    }

    /// The error of a setting in this file. `prefix` is what the keys of its part begin with, such as `gearman.`.
    pub fn locate(&self, prefix: &str, error: ConfigError) -> FileError {
        FileError::new(self.path, error.locate(&self.text, prefix))
    }

    /// The line of a part of the text, and its key, if it has one.
    fn position(&self, span: &Range<usize>) -> String {
        let number = line_number(&self.text, span.start);
        let line = self.text.lines().nth(number - 1).unwrap_or_default();
        let key = line.split_once('=').map(|(key, _)| format!("{}: ", key.trim()));
        format!("{}{}", line_prefix(Some(number)), key.unwrap_or_default())
    }
}
