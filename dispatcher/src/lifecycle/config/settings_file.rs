//! TOML settings files.

use crate::lifecycle::load_error::{FileError, FileProblem};
use crate::lifecycle::settings_error::{ConfigError, line_number, line_prefix};
use serde::de::DeserializeOwned;
use std::ops::Range;
use std::path::Path;

/// A settings file that has been read.
pub struct SettingsFile<'a> {
    path: &'a Path,
    text: String,
}

impl<'a> SettingsFile<'a> {
    /// Reads the file at `path`.
    ///
    /// # Errors
    /// Fails if the file cannot be read.
    pub fn read(path: &'a Path) -> Result<SettingsFile<'a>, FileError> {
        let text = std::fs::read_to_string(path).map_err(|error| FileError::new(path, error))?;
        Ok(SettingsFile { path, text })
    }

    /// Parses the file.
    ///
    /// # Errors
    /// Fails if the file is not valid TOML, has an unknown key or a value of the wrong type.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, FileError> {
        toml::from_str(&self.text).map_err(|error| {
            let position = error.span().map_or_else(String::new, |span| self.position(&span));
            let message = error.message().to_owned();
            FileError::new(self.path, FileProblem::Toml { position, message })
        })
    }

    /// Adds this file's path and the line number to `error`, and `prefix` (such as `gearman.`) to its key.
    pub fn locate(&self, prefix: &str, error: ConfigError) -> FileError {
        FileError::new(self.path, error.locate(&self.text, prefix))
    }

    /// The line number of a span, and the key on that line if there is one, each followed by `: `.
    fn position(&self, span: &Range<usize>) -> String {
        let number = line_number(&self.text, span.start);
        let line = self.text.lines().nth(number - 1).unwrap_or_default();
        let key = line.split_once('=').map(|(key, _)| format!("{}: ", key.trim()));
        format!("{}{}", line_prefix(Some(number)), key.unwrap_or_default())
    }
}
