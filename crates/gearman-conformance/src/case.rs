//! Cases as data.

use include_dir::{Dir, include_dir};
use serde::Deserialize;

static CASES: Dir = include_dir!("$CARGO_MANIFEST_DIR/cases");

/// A transcript.
///
/// Each step is a list: who, what, and its arguments. Who is a name of a connection, opened when first named. What:
///
/// - `>` sends a packet, `<` awaits one: the type's name, then its arguments;
/// - `>line` sends an administrator's line, `<line` awaits one; `<lines` awaits an answer up to a single dot in which
///   each of the arguments is a line; `<nolines` one in which none of them is;
/// - `>hex` sends bytes; `<end` awaits the end of the connection; `close` ends it;
/// - `until` asks an administrator's line over and over until one of its answer's lines is the second argument;
/// - `quiet` awaits that nothing is under way: the next packet is the echo of one sent now;
/// - `sleep` as a worker asks for a job, is told there is none, and sleeps; `take` is woken, asks, and awaits the
///   assignment with these arguments;
/// - `pause` lets so many milliseconds pass.
///
/// Arguments to be sent: `$F` is the case's own function (`$F2` another), `$U` its unique id, `$name` what was bound,
/// `$now+N` the time in N seconds as the Unix epoch counts, `%c*N` N times a character; anything else stands for
/// itself. Arguments that are awaited also: `*` anything, `=name` anything but nothing, bound to a name, `~text`
/// anything that begins so, `?text` anything that has it in it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Case {
    /// What it is called: its group and what it shows.
    #[serde(skip)]
    pub name: String,
    /// The section of the specification.
    pub section: String,
    /// Why it matters.
    pub why: String,
    /// Milliseconds within which whatever is awaited comes.
    #[serde(default = "within")]
    pub within_ms: u64,
    /// Only servers of this kind have it.
    #[serde(default)]
    pub only: Option<String>,
    /// The steps.
    pub steps: Vec<Vec<String>>,
}

fn within() -> u64 {
    4000
}

/// All cases, by name.
///
/// # Panics
/// Where a file is no case: they are part of the program.
pub fn all() -> Vec<Case> {
    let mut cases: Vec<Case> = CASES
        .files()
        .filter_map(|file| {
            let stem = file.path().file_stem()?.to_str()?;
            let text = file.contents_utf8()?;
            let mut case: Case = toml::from_str(text).unwrap_or_else(|e| panic!("{stem}: {e}"));
            case.name = stem.to_owned();
            Some(case)
        })
        .collect();
    cases.sort_by(|a, b| a.name.cmp(&b.name));
    cases
}
