//! Checks that the files with decision logic are short, and that `deploy/balancer.toml` lists each of them.

use std::path::{Path, PathBuf};

/// Upper bound of the lines of one file, without blank lines.
const MAX_LINES: usize = 250;
/// Upper bound of the length of one line, in characters.
const MAX_LINE_CHARACTERS: usize = 110;
/// Source files of the package without decision logic: plain types and re-exports.
const FILES_WITHOUT_DECISIONS: [&str; 8] = [
    "crates/dispatcher/src/interface.rs",
    "crates/dispatcher/src/interface/actions.rs",
    "crates/dispatcher/src/interface/events.rs",
    "crates/dispatcher/src/interface/ids.rs",
    "crates/dispatcher/src/interface/settings.rs",
    "crates/dispatcher/src/interface/status.rs",
    "crates/dispatcher/src/interface/worker_list.rs",
    "crates/dispatcher/src/lib.rs",
];

/// Returns all files in a directory and its subdirectories.
fn sources(directory: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(directory)
        .expect("the source directory can be listed")
        .flatten()
        .map(|entry| entry.path());
    entries.flat_map(|path| if path.is_dir() { sources(&path) } else { vec![path] }).collect()
}

#[test]
fn decision_module_has_small_files_that_the_deploy_file_names() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .canonicalize()
        .expect("the root of the repository exists");
    let deploy =
        std::fs::read_to_string(root.join("deploy/balancer.toml")).expect("deploy/balancer.toml can be read");
    let policy = deploy.split("policy = [").nth(1).and_then(|rest| rest.split(']').next());
    let mut listed: Vec<&str> = policy
        .expect("deploy/balancer.toml has a list of policy files")
        .split('"')
        .skip(1)
        .step_by(2)
        .collect();
    let mut decision_files: Vec<String> = sources(&root.join("crates/dispatcher/src"))
        .iter()
        .map(|path| {
            path.strip_prefix(&root).expect("the source file is in the repository").display().to_string()
        })
        .filter(|name| !FILES_WITHOUT_DECISIONS.contains(&name.as_str()))
        .collect();
    listed.sort_unstable();
    decision_files.sort_unstable();
    assert_eq!(listed, decision_files);
    for name in decision_files {
        let text = std::fs::read_to_string(root.join(&name)).expect("the source file can be read");
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(lines <= MAX_LINES, "{name} has {lines} lines that are not blank, more than {MAX_LINES}");
        let longest_line = text.lines().map(|line| line.chars().count()).max().unwrap_or(0);
        assert!(
            longest_line <= MAX_LINE_CHARACTERS,
            "{name} has a line of {longest_line} characters, more than {MAX_LINE_CHARACTERS}"
        );
    }
}
