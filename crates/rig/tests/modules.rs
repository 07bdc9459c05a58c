//! Checks that the modules of the rig have no dependency cycle.

use rstest::rstest;
use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;

/// For each module, the modules of the crate that its paths name.
type Dependencies = BTreeMap<String, BTreeSet<String>>;

/// The modules that follow `crate::` in a source: a single one, or those of a group in braces.
fn dependencies(source: &str) -> BTreeSet<String> {
    let word = |text: &str| text.chars().take_while(|c| c.is_alphanumeric() || *c == '_').collect::<String>();
    let mut names = BTreeSet::new();
    for path in source.split("crate::").skip(1) {
        match path.strip_prefix('{') {
            None => _ = names.insert(word(path)),
            Some(group) => {
                let group = group.split('}').next().unwrap_or("");
                names.extend(group.split(',').map(|part| word(part.trim())));
            }
        }
    }
    names
}

/// The modules in cycles and those that depend on them: what is left after modules without remaining dependencies are
/// removed repeatedly.
fn cycles(mut modules: Dependencies) -> Vec<String> {
    loop {
        let names: BTreeSet<String> = modules.keys().cloned().collect();
        let before = modules.len();
        modules.retain(|module, dependencies| {
            dependencies.iter().any(|name| name != module && names.contains(name))
        });
        if modules.len() == before {
            return modules.into_keys().collect();
        }
    }
}

/// Adds the dependencies of the sources in a folder, by top-level module.
fn read(folder: &Path, top: Option<&str>, into: &mut Dependencies) {
    for entry in std::fs::read_dir(folder).expect("the sources") {
        let path = entry.expect("an entry").path();
        let stem = path.file_stem().and_then(|s| s.to_str()).expect("a name").to_owned();
        let module = top.unwrap_or(&stem);
        if path.is_dir() {
            read(&path, Some(module), into);
        } else if !matches!(module, "lib" | "main") {
            let source = std::fs::read_to_string(&path).expect("a source");
            into.entry(module.to_owned()).or_default().extend(dependencies(&source));
        }
    }
}

#[rstest]
fn modules_have_no_dependency_cycle() {
    let mut modules = Dependencies::new();
    read(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"), None, &mut modules);
    assert!(
        modules["run"].contains("test_environment") && modules["test_environment"].contains("list"),
        "{modules:?}"
    );
    assert_eq!(cycles(modules), Vec::<String>::new());
}

#[rstest]
#[case::chain(&[("a", "use crate::b::X;"), ("b", "")], &[])]
#[case::cycle_of_two(&[("a", "use crate::b::X;"), ("b", "use crate::{c, a};"), ("c", "")], &["a", "b"])]
fn dependency_cycle_is_detected(#[case] sources: &[(&str, &str)], #[case] expected: &[&str]) {
    let modules =
        sources.iter().map(|(module, source)| ((*module).to_owned(), dependencies(source))).collect();
    assert_eq!(cycles(modules), expected);
}
