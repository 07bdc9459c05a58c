//! Formats an error and its sources as one line.

use std::error::Error;
use std::fmt;

/// Displays an error followed by its chain of sources, separated by `: `.
pub struct ErrorChain<'a>(pub &'a dyn Error);

impl fmt::Display for ErrorChain<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.0)?;
        let mut source = self.0.source();
        while let Some(error) = source {
            write!(formatter, ": {error}")?;
            source = error.source();
        }
        Ok(())
    }
}

#[cfg(test)]
#[path = "error_chain_tests.rs"]
mod tests;
