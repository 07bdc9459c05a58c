//! What is wrong with a setting: the file, the line, the key and what is expected.

use std::ops::Range;
use thiserror::Error;

/// A setting with a value that is not allowed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{key}: {problem}; expected: {expected}")]
pub struct ConfigError {
    /// Where the value stands in the text of the file, in bytes.
    span: Option<Range<usize>>,
    key: String,
    problem: String,
    expected: String,
}

impl ConfigError {
    /// What is wrong with the value of a key, and what is expected in its place.
    pub fn new(
        span: impl Into<Option<Range<usize>>>,
        key: &str,
        problem: impl ToString,
        expected: impl ToString,
    ) -> ConfigError {
        ConfigError {
            span: span.into(),
            key: key.to_owned(),
            problem: problem.to_string(),
            expected: expected.to_string(),
        }
    }

    /// Adds the line in the text of the file, and what the keys of the part begin with, such as `gearman.`.
    #[must_use]
    pub fn locate(self, text: &str, prefix: &str) -> LocatedConfigError {
        let line = self.span.as_ref().map(|span| line_number(text, span.start));
        LocatedConfigError { line, prefix: prefix.to_owned(), error: self }
    }
}

/// A [`ConfigError`] with its line in the file and the key's section.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}{prefix}{error}", line_prefix(*line))]
pub struct LocatedConfigError {
    line: Option<usize>,
    prefix: String,
    // Shown as a part of this one, so it is no source.
    error: ConfigError,
}

/// `line 7: `, or nothing where the line is not known.
pub fn line_prefix(line: Option<usize>) -> String {
    line.map_or_else(String::new, |line| format!("line {line}: "))
}

/// The line, from 1 on, of a position in a text.
pub fn line_number(text: &str, position: usize) -> usize {
    let before = &text.as_bytes()[..position.min(text.len())];
    before.iter().filter(|byte| **byte == b'\n').count() + 1
}
