//! The operators' directory: what makes it unusable, and what is swept from it.

use sorrelhaven_body_store::{Directory, Disk};
use sorrelhaven_test_support::ScratchDir;
use std::os::unix::fs::{MetadataExt, symlink};
use std::path::Path;

fn fault(path: &Path) -> String {
    match Directory::open(path, "n0") {
        Ok(_) => panic!("{} was taken", path.display()),
        Err(fault) => fault.0,
    }
}

#[test]
fn a_directory_that_cannot_be_used_is_told_in_one_line() {
    let scratch = ScratchDir::new("faults");
    let at = |name: &str| scratch.path(name);
    assert!(fault(&at("none")).ends_with("there is no such directory"));
    std::fs::write(at("file"), "").expect("a file");
    assert!(fault(&at("file")).ends_with("it is not a directory"));
    std::fs::create_dir(at("real")).expect("a directory");
    symlink(at("real"), at("link")).expect("a link");
    assert!(fault(&at("link")).ends_with("link is a symbolic link"), "{}", fault(&at("link")));
    // Not writable for anyone, whatever the user: the system's own.
    let closed = fault(Path::new("/proc/self"));
    assert!(closed.starts_with("/proc/self: ") && !closed.contains('\n'), "{closed}");
}

/// A link that another user made may lead anywhere; one's own on the way is the operators' business.
#[test]
fn a_link_on_the_way_is_taken_only_from_ones_own() {
    let scratch = ScratchDir::new("way");
    std::fs::create_dir_all(scratch.path("real/in")).expect("a directory");
    symlink(scratch.path("real"), scratch.path("way")).expect("a link");
    let path = scratch.path("way/in");
    assert!(Directory::open(&path, "n0").is_ok());
    // Only root can give a link away; elsewhere that half has nothing to show.
    let root = std::fs::metadata("/proc/self").expect("a process").uid() == 0;
    if root && std::os::unix::fs::lchown(scratch.path("way"), Some(65_534), None).is_ok() {
        assert!(fault(&path).ends_with("way is a symbolic link"), "{}", fault(&path));
    }
}

/// What an earlier life of this node left is swept and counted; another node's stays, whatever its name begins with.
#[test]
fn leftovers_of_this_node_are_swept_and_no_others() {
    let scratch = ScratchDir::new("sweep");
    let others = ["sorrelhaven-body.n01.7.0.part", "sorrelhaven-body.n0%2e.7.0.part", "notes.txt"];
    let mine = ["sorrelhaven-body.n0.7.0.part", "sorrelhaven-body.n0.7.1.part"];
    for name in others.iter().chain(&mine) {
        std::fs::write(scratch.path(name), "half a bo").expect("a file");
    }
    let directory = Directory::open(scratch.root(), "n0").expect("a sound directory");
    assert_eq!(scratch.file_names(".").len(), 5, "to look at it changes nothing");
    assert_eq!((directory.sweep().expect("a listing"), directory.is_full()), (2, false));
    assert_eq!(scratch.file_names("."), ["notes.txt", others[1], others[0]]);
    let file = directory.create().expect("a file");
    file.write_at(b"a body", 0).expect("room");
    assert_eq!(scratch.file_names(".").len(), 3, "a file has no name");
    let mut back = [0; 4];
    file.read_at(&mut back, 2).expect("it is there");
    assert_eq!(&back, b"body");
    assert!(file.read_at(&mut back, 4).is_err(), "no more than was written");
    assert!(directory.free().expect("a file system") > 0);
    let other = Directory::open(scratch.root(), "n0.").expect("a sound directory");
    assert_eq!(other.sweep().expect("a listing"), 1);
}
