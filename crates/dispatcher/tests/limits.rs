//! What keeps the decision module readable: the size of its files, and that the deploy file names each of them.

use std::path::{Path, PathBuf};

/// Lines of one file that hold something, and characters of one line.
const LINES_MOST: usize = 250;
const WIDTH_MOST: usize = 110;
/// Files of the package that decide nothing.
const BESIDE: [&str; 2] = ["crates/dispatcher/src/interface.rs", "crates/dispatcher/src/lib.rs"];

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
        .filter(|name| !BESIDE.contains(&name.as_str()))
        .collect();
    named.sort_unstable();
    deciding.sort_unstable();
    assert_eq!(named, deciding);
    for name in deciding {
        let text = std::fs::read_to_string(root.join(&name)).expect("a source");
        let lines = text.lines().filter(|line| !line.trim().is_empty()).count();
        assert!(lines <= LINES_MOST, "{name} has {lines} lines");
        let widest = text.lines().map(|line| line.chars().count()).max().unwrap_or(0);
        assert!(widest <= WIDTH_MOST, "{name} has a line of {widest} characters");
    }
}
