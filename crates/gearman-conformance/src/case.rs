//! Conformance cases as data.

use include_dir::{Dir, include_dir};
use serde::Deserialize;

/// The files of the cases, which are part of the program.
static CASES: Dir = include_dir!("$CARGO_MANIFEST_DIR/cases");

/// A transcript.
///
/// Each step is a list of a connection, an operation and its arguments. The connection is a name; it is opened on first use.
/// The operations:
///
/// - `>` sends a packet, `<` expects one: the name of its type, then its arguments;
/// - `>line` sends an administrator's line, `<line` expects one; `<lines` expects an answer up to a single dot that has each
///   of the arguments as a line; `<nolines` one that has none of them;
/// - `>hex` sends bytes; `<end` expects the end of the connection; `close` closes it;
/// - `until` sends an administrator's line repeatedly until its answer has the second argument as a line;
/// - `quiet` expects that no packet is in flight: the next one is the echo of a request sent now;
/// - `sleep` as a worker asks for a job, receives `NO_JOB` and sleeps; `take` expects to be woken, asks for a job, and
///   expects the assignment with these arguments;
/// - `pause` waits for a number of milliseconds.
///
/// Arguments that are sent: `$F` is the function of the case (`$F2` another one), `$U` its unique id, `$name` a bound value,
/// `$now+N` the Unix time in N seconds, `%c*N` a character N times; any other text is literal. Expected arguments may also
/// be: `*` anything, `=name` anything that is not empty, bound to a name, `~text` anything with this prefix, `?text` anything
/// that contains the text.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Case {
    /// Its name: its group and what it checks, from the name of its file.
    #[serde(skip)]
    pub name: String,
    /// The section of the specification.
    pub section: String,
    /// Why it is checked.
    pub why: String,
    /// The time limit for each expected message, in milliseconds.
    #[serde(default = "default_within_ms")]
    pub within_ms: u64,
    /// The kind of server to which the case applies; none: to all.
    #[serde(default)]
    pub only: Option<String>,
    /// The steps.
    pub steps: Vec<Vec<String>>,
}

fn default_within_ms() -> u64 {
    4000
}

/// All cases, by name.
///
/// # Panics
/// If a file is not a valid case: the files are part of the program.
pub fn all() -> Vec<Case> {
    let mut cases: Vec<Case> = CASES
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
