//! What is wrong with a file of settings: file, line, key and cure.

use std::ops::Range;
use std::path::Path;

/// A value that makes no sense.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    span: Option<Range<usize>>,
    key: String,
    what: String,
    cure: String,
}

/// Where a text of settings was read.
pub struct SourceLocation<'a> {
    /// The file.
    pub path: &'a Path,
    /// Its text.
    pub text: &'a str,
    /// What keys of the part begin with, such as `gearman.`.
    pub prefix: &'a str,
}

impl ConfigError {
    /// A problem of a key, with what would be right.
    pub fn new(
        span: impl Into<Option<Range<usize>>>,
        key: &str,
        what: impl ToString,
        cure: impl ToString,
    ) -> ConfigError {
        ConfigError { span: span.into(), key: key.into(), what: what.to_string(), cure: cure.to_string() }
    }

    /// In words, for a place.
    pub fn at(&self, place: &SourceLocation) -> String {
        let ConfigError { key, what, cure, .. } = self;
        let line = self.span.as_ref().map(|s| format!("line {}: ", line(place.text, s.start)));
        let (path, prefix) = (place.path.display(), place.prefix);
        format!("{path}: {}{prefix}{key}: {what}; expected: {cure}", line.unwrap_or_default())
    }
}

impl std::fmt::Display for ConfigError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}; expected: {}", self.key, self.what, self.cure)
    }
}

fn line(text: &str, at: usize) -> usize {
    text.as_bytes()[..at.min(text.len())].iter().filter(|b| **b == b'\n').count() + 1
}

/// What the parser says of a text, in the same form. Its message names the key, and the cure where there is one.
pub fn parse<T: serde::de::DeserializeOwned>(path: &Path, text: &str) -> Result<T, String> {
    toml::from_str(text).map_err(|e| {
        let at = e.span().map(|s| {
            let number = line(text, s.start);
            let key = text.lines().nth(number - 1).and_then(|l| l.split_once('=')).map(|l| l.0.trim());
            let key = key.map(|k| format!("{k}: ")).unwrap_or_default();
            format!("line {number}: {key}")
        });
        format!("{}: {}{}", path.display(), at.unwrap_or_default(), e.message())
    })
}
