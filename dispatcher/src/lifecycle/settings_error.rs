//! Errors of single settings: the line, the key, the problem and the expected value.

use std::ops::Range;
use thiserror::Error;

/// A setting has an invalid value.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{key}: {problem}; expected: {expected}")]
pub struct ConfigError {
    /// Byte range of the value in the file.
    span: Option<Range<usize>>,
    key: String,
    problem: String,
    expected: String,
}

impl ConfigError {
    /// Creates the error of a key from what is wrong with its value and what is expected instead.
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

    /// Adds the line number in `text`, the content of the file, and the key's prefix, such as `gearman.`.
    #[must_use]
    pub fn locate(self, text: &str, prefix: &str) -> LocatedConfigError {
        let line = self.span.as_ref().map(|span| line_number(text, span.start));
        LocatedConfigError { line, prefix: prefix.to_owned(), error: self }
    }
}

/// A [`ConfigError`] with its line number in the file and its key's prefix.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}{prefix}{error}", line_prefix(*line))]
pub struct LocatedConfigError {
    line: Option<usize>,
    prefix: String,
    // Not a `source`, because this error's message already contains it.
    error: ConfigError,
}

/// `line 7: `, or an empty string if the line is unknown.
pub fn line_prefix(line: Option<usize>) -> String {
    line.map_or_else(String::new, |line| format!("line {line}: "))
}

/// The line number, starting at 1, of a byte position in a text.
pub fn line_number(text: &str, position: usize) -> usize {
    let before = &text.as_bytes()[..position.min(text.len())];
    before.iter().filter(|byte| **byte == b'\n').count() + 1
}
