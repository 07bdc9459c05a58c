//! The pages name files, functions and tests of the code. Each of them has to exist, so that a rename or a removal cannot leave the
//! audit's table or the architecture page behind.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Folders that hold no source.
const SKIPPED_FOLDERS: [&str; 3] = ["target", ".git", "journal"];
/// The pages whose paths are checked; the measurements tell of builds of their day.
const PAGES: [&str; 4] = ["README.md", "ARCHITECTURE.md", "docs/terms-audit.md", "docs/ROADMAP.md"];
/// Folders of the repository that a path on a page may begin with.
const ROOTS: [&str; 7] = ["src/", "dispatcher/", "crates/", "adapter/", "tests/", "deploy/", "docs/"];
/// Columns of the audit's first tables, by their place.
const CODE_COLUMN: usize = 3;
const TEST_COLUMN: usize = 4;
/// A word with underscores of at least this length in the table's column of tests is the name of a test.
const SHORTEST_TEST_NAME: usize = 12;

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

/// All files below a folder, relative to the repository's root.
fn files_below(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a readable folder") {
        let path = entry.expect("a readable entry").path();
        let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        if path.is_dir() {
            if !SKIPPED_FOLDERS.contains(&name.as_str()) {
                files_below(&path, found);
            }
        } else {
            found.push(path.strip_prefix(root()).expect("a path below the root").to_owned());
        }
    }
}

/// The repository as the pages are checked against it.
struct Repository {
    files: BTreeSet<String>,
    /// The text of all Rust files.
    source: String,
    /// The text of those that hold tests.
    tests: String,
}

impl Repository {
    fn read() -> Repository {
        let mut paths = Vec::new();
        files_below(&root(), &mut paths);
        let mut repository =
            Repository { files: BTreeSet::new(), source: String::new(), tests: String::new() };
        for path in paths {
            let name = path.to_string_lossy().into_owned();
            if name.ends_with(".rs") {
                let text = fs::read_to_string(root().join(&path)).expect("a readable source file");
                if name.contains("tests/") || name.contains("_tests.rs") {
                    repository.tests.push_str(&text);
                }
                repository.source.push_str(&text);
            }
            repository.files.insert(name);
        }
        repository
    }

    fn has_path(&self, path: &str) -> bool {
        let folder = path.trim_end_matches('/');
        self.files.iter().any(|file| file == folder || file.starts_with(&format!("{folder}/")))
    }

    /// Whether some file's path ends with these parts.
    fn has_file(&self, name: &str) -> bool {
        self.files.iter().any(|file| file == name || file.ends_with(&format!("/{name}")))
    }

    fn has_test(&self, name: &str) -> bool {
        match name.strip_suffix('…') {
            Some(start) => self.tests.contains(&format!("fn {start}")),
            None => {
                self.tests.contains(&format!("fn {name}(")) || self.tests.contains(&format!("fn {name}<"))
            }
        }
    }

    /// Whether a word stands in the source as a whole word.
    fn has_word(&self, word: &str) -> bool {
        let is_part = |c: char| c.is_alphanumeric() || c == '_';
        self.source.match_indices(word).any(|(at, _)| {
            let before = self.source[..at].chars().next_back();
            let after = self.source[at + word.len()..].chars().next();
            !before.is_some_and(is_part) && !after.is_some_and(is_part)
        })
    }
}

/// What stands between backticks in a text.
fn quoted(text: &str) -> Vec<&str> {
    text.split('`').skip(1).step_by(2).collect()
}

fn is_identifier(word: &str) -> bool {
    !word.is_empty() && word.chars().all(|c| c.is_ascii_alphanumeric() || c == '_' || c == ':')
}

fn page(name: &str) -> String {
    fs::read_to_string(root().join(name)).expect("a readable page")
}

#[test]
fn each_path_that_a_page_names_exists() {
    let repository = Repository::read();
    let mut missing = Vec::new();
    for name in PAGES {
        let text = page(name);
        for path in quoted(&text) {
            let is_path =
                ROOTS.iter().any(|start| path.starts_with(start)) && !path.contains([' ', '*', '<']);
            if is_path && !repository.has_path(path) {
                missing.push(format!("{name}: {path}"));
            }
        }
    }
    assert!(missing.is_empty(), "paths that do not exist:\n{}", missing.join("\n"));
}

/// The cells of the audit's rows that have a column of code and one of tests.
fn audit_rows(text: &str) -> Vec<Vec<&str>> {
    let rows = text.lines().filter(|line| line.starts_with("| "));
    let cells = rows.map(|row| row.trim_matches('|').split(" | ").map(str::trim).collect::<Vec<_>>());
    cells.filter(|cells| cells.len() > TEST_COLUMN + 1).collect()
}

#[test]
fn each_test_that_the_audit_names_exists() {
    let (repository, text) = (Repository::read(), page("docs/terms-audit.md"));
    let (mut missing, mut found) = (Vec::new(), 0);
    for cells in audit_rows(&text) {
        for name in quoted(cells[TEST_COLUMN]) {
            let is_file = name.ends_with(".rs");
            let bare = name.trim_end_matches('…');
            let is_lowercase = !bare.contains(|c: char| c.is_uppercase());
            let is_test =
                is_lowercase && bare.contains('_') && is_identifier(bare) && name.len() >= SHORTEST_TEST_NAME;
            if is_file && !repository.has_file(name) || !is_file && is_test && !repository.has_test(name) {
                missing.push(name.to_owned());
            }
            found += usize::from(is_test);
        }
    }
    assert!(found > 50, "only {found} names of tests were found in the table");
    assert!(missing.is_empty(), "tests that do not exist:\n{}", missing.join("\n"));
}

#[test]
fn each_function_that_the_audit_names_exists() {
    let (repository, text) = (Repository::read(), page("docs/terms-audit.md"));
    let (mut missing, mut found) = (Vec::new(), 0);
    for cells in audit_rows(&text) {
        for name in quoted(cells[CODE_COLUMN]) {
            if name.ends_with(".rs") {
                if !repository.has_file(name) {
                    missing.push(name.to_owned());
                }
                continue;
            }
            if !is_identifier(name) {
                continue;
            }
            found += 1;
            if !name.split("::").all(|word| repository.has_word(word)) {
                missing.push(name.to_owned());
            }
        }
    }
    assert!(found > 50, "only {found} names were found in the table");
    assert!(missing.is_empty(), "names that the code does not hold:\n{}", missing.join("\n"));
}
