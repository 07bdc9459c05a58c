//! A library that a test preloads into a dispatcher: system calls fail as Linux documents, the wall clock is stepped, and
//! writes are held up (`faults.c` says how). It is built once a test binary, with the C compiler that the linker comes with.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// The environment of a dispatcher whose system calls fail.
#[derive(Clone, Debug, Default)]
pub struct Faults(pub Vec<(&'static str, String)>);

impl Faults {
    /// None yet.
    pub fn new() -> Faults {
        Faults::default()
    }
    /// Adds a variable of `faults.c`.
    pub fn with(mut self, variable: &'static str, value: impl ToString) -> Faults {
        self.0.push((variable, value.to_string()));
        self
    }
    /// The variables, with the library that heeds them; none where nothing fails.
    pub fn environment(&self) -> Vec<(String, String)> {
        let preload = ("LD_PRELOAD", library().display().to_string());
        let all = self.0.iter().cloned().chain([preload]).filter(|_| !self.0.is_empty());
        all.map(|(variable, value)| (variable.to_owned(), value)).collect()
    }
    /// Preloads the library into a command.
    pub fn apply(&self, command: &mut Command) {
        command.envs(self.environment());
    }
}

/// The library, built on first use.
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
        assert!(compiler.status().expect("a C compiler").success(), "faults.c");
        built
    })
}
