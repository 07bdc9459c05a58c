//! Fault injection by a library that is preloaded into a dispatcher: system calls fail as Linux documents, the wall clock is
//! stepped, and writes are delayed (see `faults.c`). Each test binary builds the library once with the system's C compiler.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// The faults to inject, as environment variables of `faults.c`.
#[derive(Clone, Debug, Default)]
pub struct Faults(pub Vec<(&'static str, String)>);

impl Faults {
    /// No faults.
    pub fn new() -> Faults {
        Faults::default()
    }
    /// Adds a variable.
    pub fn with(mut self, variable: &'static str, value: impl ToString) -> Faults {
        self.0.push((variable, value.to_string()));
        self
    }
    /// These variables and `LD_PRELOAD` with the library; nothing without faults.
    pub fn environment(&self) -> Vec<(String, String)> {
        let preload = ("LD_PRELOAD", library().display().to_string());
        let all = self.0.iter().cloned().chain([preload]).filter(|_| !self.0.is_empty());
        all.map(|(variable, value)| (variable.to_owned(), value)).collect()
    }
    /// Adds the environment to a command.
    pub fn apply(&self, command: &mut Command) {
        command.envs(self.environment());
    }
}

/// The path of the library. It is built on first use.
fn library() -> &'static Path {
    static BUILT: OnceLock<PathBuf> = OnceLock::new();
    BUILT.get_or_init(|| {
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let built = folder.join(format!("faults-{}.so", std::process::id()));
        let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/common/faults/faults.c");
        let mut compiler = Command::new("cc");
        compiler
            .args(["-O1", "-Wall", "-Werror", "-shared", "-fPIC", "-o"])
            .arg(&built)
            .arg(source)
            .arg("-ldl");
        assert!(compiler.status().expect("cannot run the C compiler").success(), "faults.c");
        built
    })
}
