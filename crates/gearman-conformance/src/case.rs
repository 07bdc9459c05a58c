//! Conformance cases, which are defined in TOML files.

use include_dir::{Dir, include_dir};
use serde::Deserialize;

/// The case files, embedded in the binary.
static CASE_FILES: Dir = include_dir!("$CARGO_MANIFEST_DIR/cases");

/// A conformance case: a sequence of steps and how it is selected.
///
/// Each step is a list of a connection name, an operation and its arguments. A connection is opened on first use.
/// The operations are:
///
/// - `>` sends a packet and `<` expects one: the name of its type, then its arguments;
/// - `>line` sends a line of the administration protocol and `<line` expects one; `<lines` expects a response that ends
///   with a single dot and has a line that matches each argument, `<nolines` one in which no line matches any of them;
/// - `>hex` sends bytes given as hexadecimal digits; `<end` expects the server to end the connection; `close` closes it;
/// - `until` sends a line of the administration protocol repeatedly until a line of the response matches the second
///   argument;
/// - `quiet` expects that no packet is pending: it sends an `ECHO_REQ` and the next packet must be its response;
/// - `sleep` sends `GRAB_JOB`, expects `NO_JOB` and sends `PRE_SLEEP`; `take` expects `NOOP`, sends `GRAB_JOB` and expects
///   `JOB_ASSIGN` with these arguments;
/// - `pause` waits for the given number of milliseconds.
///
/// In arguments, `$F` stands for the function of the case, `$F2` for a second one, `$U` for its unique id, `$name` for a
/// bound value, `$now+N` for the Unix time N seconds from now, and `%c*N` for a text repeated N times; anything else is
/// literal. Patterns of expected arguments may also be `*` (any value), `=name` (any value that is not empty, which is
/// bound to the name), `~text` (any value with this prefix) and `?text` (any value that contains the text).
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Case {
    /// The name of the file without its extension: a group, followed by what is checked.
    #[serde(skip)]
    pub name: String,
    /// The section of the protocol specification.
    pub section: String,
    /// The behaviour that the case checks.
    pub why: String,
    /// The timeout of each expected message, in milliseconds.
    #[serde(default = "default_within_ms")]
    pub within_ms: u64,
    /// The kind of server to which the case applies; `None` for all servers.
    #[serde(default)]
    pub only: Option<String>,
    /// The steps.
    pub steps: Vec<Vec<String>>,
}

fn default_within_ms() -> u64 {
    4000
}

/// Returns all cases, sorted by name.
///
/// # Panics
/// If an embedded file is not a valid case.
pub fn all() -> Vec<Case> {
    let mut cases: Vec<Case> = CASE_FILES
        .files()
        .filter_map(|file| {
            let stem = file.path().file_stem()?.to_str()?;
            let text = file.contents_utf8()?;
            let mut case: Case = toml::from_str(text).unwrap_or_else(|error| panic!("{stem}: {error}"));
            case.name = stem.to_owned();
            Some(case)
        })
        .collect();
    cases.sort_by(|case, other| case.name.cmp(&other.name));
    cases
}
