//! Checks that each file, function and test that the documentation names exists, so that a rename or a removal in the code cannot
//! leave the audit's tables or the architecture page out of date.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

/// Folders without source files.
const SKIPPED_FOLDERS: [&str; 3] = ["target", ".git", "journal"];
/// Pages whose paths are checked. Pages of measurements are left out: they describe the builds that were measured.
const PAGES: [&str; 4] = ["README.md", "ARCHITECTURE.md", "docs/terms-audit.md", "docs/ROADMAP.md"];
/// Prefixes by which a path of the repository is recognized on a page.
const PATH_PREFIXES: [&str; 7] = ["src/", "dispatcher/", "crates/", "adapter/", "tests/", "deploy/", "docs/"];
/// Indices of the columns of code and of tests in the audit's first tables.
const CODE_COLUMN: usize = 3;
const TEST_COLUMN: usize = 4;
/// In the audit's column of tests, a word with underscores counts as the name of a test from this length on.
const MIN_TEST_NAME_LENGTH: usize = 12;

fn repository_root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

/// Collects all files below a folder, relative to the repository's root.
fn files_below(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a readable folder") {
        let path = entry.expect("a readable entry").path();
        let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        if path.is_dir() {
            if !SKIPPED_FOLDERS.contains(&name.as_str()) {
                files_below(&path, found);
            }
        } else {
            found.push(path.strip_prefix(repository_root()).expect("a path below the root").to_owned());
        }
    }
}

/// Paths and source text that the pages are checked against.
struct Repository {
    files: BTreeSet<String>,
    /// Concatenated text of all Rust files.
    source: String,
    /// Concatenated text of the Rust files that contain tests.
    tests: String,
}

impl Repository {
    fn read() -> Repository {
        let mut paths = Vec::new();
        files_below(&repository_root(), &mut paths);
        let mut repository =
            Repository { files: BTreeSet::new(), source: String::new(), tests: String::new() };
        for path in paths {
            let name = path.to_string_lossy().into_owned();
            if name.ends_with(".rs") {
                let text = fs::read_to_string(repository_root().join(&path)).expect("a readable source file");
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

    /// Whether the path of any file equals `name` or ends with it at a folder boundary.
    fn has_file(&self, name: &str) -> bool {
        self.files.iter().any(|file| file == name || file.ends_with(&format!("/{name}")))
    }

    fn has_test(&self, name: &str) -> bool {
        match name.strip_suffix('…') {
            Some(prefix) => self.tests.contains(&format!("fn {prefix}")),
            None => {
                self.tests.contains(&format!("fn {name}(")) || self.tests.contains(&format!("fn {name}<"))
            }
        }
    }

    /// Whether the source contains the word with no letter, digit or underscore next to it.
    fn contains_word(&self, word: &str) -> bool {
        let is_word_char = |c: char| c.is_alphanumeric() || c == '_';
        self.source.match_indices(word).any(|(at, _)| {
            let before = self.source[..at].chars().next_back();
            let after = self.source[at + word.len()..].chars().next();
            !before.is_some_and(is_word_char) && !after.is_some_and(is_word_char)
        })
    }
}

/// Returns the code spans of a page: the texts between backticks.
fn code_spans(text: &str) -> Vec<&str> {
    text.split('`').skip(1).step_by(2).collect()
}

fn is_identifier(word: &str) -> bool {
    !word.is_empty() && word.chars().all(|c| c.is_ascii_alphanumeric() || c == '_' || c == ':')
}

fn read_page(name: &str) -> String {
    fs::read_to_string(repository_root().join(name)).expect("a readable page")
}

#[test]
fn each_path_that_a_page_names_exists() {
    let repository = Repository::read();
    let mut missing = Vec::new();
    for name in PAGES {
        let text = read_page(name);
        for path in code_spans(&text) {
            let is_path = PATH_PREFIXES.iter().any(|prefix| path.starts_with(prefix))
                && !path.contains([' ', '*', '<']);
            if is_path && !repository.has_path(path) {
                missing.push(format!("{name}: {path}"));
            }
        }
    }
    assert!(missing.is_empty(), "paths that do not exist:\n{}", missing.join("\n"));
}

/// Returns the cells of those audit rows that have both a column of code and a column of tests.
fn audit_rows(text: &str) -> Vec<Vec<&str>> {
    let rows = text.lines().filter(|line| line.starts_with("| "));
    let cells = rows.map(|row| row.trim_matches('|').split(" | ").map(str::trim).collect::<Vec<_>>());
    cells.filter(|cells| cells.len() > TEST_COLUMN + 1).collect()
}

#[test]
fn each_test_that_the_audit_names_exists() {
    let (repository, text) = (Repository::read(), read_page("docs/terms-audit.md"));
    let (mut missing, mut found) = (Vec::new(), 0);
    for cells in audit_rows(&text) {
        for name in code_spans(cells[TEST_COLUMN]) {
            let is_file = name.ends_with(".rs");
            let base_name = name.trim_end_matches('…');
            let is_lowercase = !base_name.contains(|c: char| c.is_uppercase());
            let is_test = is_lowercase
                && base_name.contains('_')
                && is_identifier(base_name)
                && name.len() >= MIN_TEST_NAME_LENGTH;
            if is_file && !repository.has_file(name) || !is_file && is_test && !repository.has_test(name) {
                missing.push(name.to_owned());
            }
            found += usize::from(is_test);
        }
    }
    assert!(found > 50, "found only {found} names of tests in the audit's tables");
    assert!(missing.is_empty(), "tests that do not exist:\n{}", missing.join("\n"));
}

#[test]
fn each_function_that_the_audit_names_exists() {
    let (repository, text) = (Repository::read(), read_page("docs/terms-audit.md"));
    let (mut missing, mut found) = (Vec::new(), 0);
    for cells in audit_rows(&text) {
        for name in code_spans(cells[CODE_COLUMN]) {
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
            if !name.split("::").all(|word| repository.contains_word(word)) {
                missing.push(name.to_owned());
            }
        }
    }
    assert!(found > 50, "found only {found} names of code in the audit's tables");
    assert!(missing.is_empty(), "names that do not occur in the code:\n{}", missing.join("\n"));
}
