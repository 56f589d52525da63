//! What keeps the decision module readable: the size of its files, and that the deploy file names each of them.

use std::path::{Path, PathBuf};

/// The most lines of one file that are not blank.
const MAX_LINES: usize = 250;
/// The most characters of one line.
const MAX_LINE_CHARACTERS: usize = 110;
/// Files of the package that decide nothing: plain types and re-exports.
const NOT_DECIDING: [&str; 8] = [
    "crates/dispatcher/src/interface.rs",
    "crates/dispatcher/src/interface/actions.rs",
    "crates/dispatcher/src/interface/events.rs",
    "crates/dispatcher/src/interface/ids.rs",
    "crates/dispatcher/src/interface/settings.rs",
    "crates/dispatcher/src/interface/status.rs",
    "crates/dispatcher/src/interface/worker_list.rs",
    "crates/dispatcher/src/lib.rs",
];

/// The source files in a directory and below it.
fn sources(directory: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(directory).expect("a directory").flatten().map(|entry| entry.path());
    entries.flat_map(|path| if path.is_dir() { sources(&path) } else { vec![path] }).collect()
}

#[test]
fn decision_module_has_small_files_that_the_deploy_file_names() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").canonicalize().expect("the repository");
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("the deploy file");
    let policy = deploy.split("policy = [").nth(1).and_then(|rest| rest.split(']').next());
    let mut named: Vec<&str> = policy.expect("the policy files").split('"').skip(1).step_by(2).collect();
    let mut deciding: Vec<String> = sources(&root.join("crates/dispatcher/src"))
        .iter()
        .map(|path| path.strip_prefix(&root).expect("below the root").display().to_string())
        .filter(|name| !NOT_DECIDING.contains(&name.as_str()))
        .collect();
    named.sort_unstable();
    deciding.sort_unstable();
    assert_eq!(named, deciding);
    for name in deciding {
        let text = std::fs::read_to_string(root.join(&name)).expect("a source");
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(lines <= MAX_LINES, "{name} has {lines} lines");
        let widest = text.lines().map(|line| line.chars().count()).max().unwrap_or(0);
        assert!(widest <= MAX_LINE_CHARACTERS, "{name} has a line of {widest} characters");
    }
}
