//! Tests for the formatting of error chains.

use super::ErrorChain;
use crate::lifecycle::load_error::{FileError, FileProblem, LoadError};
use std::path::Path;

/// Guards against a source that is missing from the output or appears twice.
#[test]
fn each_source_is_shown_once() {
    let source = "x:1".parse::<std::net::SocketAddr>().expect_err("invalid address");
    let problem = FileProblem::Address { key: "listen", value: "x:1".to_owned(), source };
    let error = LoadError::from(FileError::new(Path::new("/etc/node.json"), problem));
    let expected = "/etc/node.json: listen \"x:1\": invalid socket address syntax";
    assert_eq!(ErrorChain(&error).to_string(), expected);
}
