//! The operators' directory: what makes it unusable, and which files are swept from it.

use sorrelhaven_body_store::{Directory, Disk};
use sorrelhaven_test_support::ScratchDir;
use std::os::unix::fs::{MetadataExt, symlink};
use std::path::Path;

fn open_error(path: &Path) -> String {
    match Directory::open(path, "n0") {
        Ok(_) => panic!("{} was accepted", path.display()),
        Err(error) => error.to_string(),
    }
}

#[test]
fn an_unusable_directory_gives_an_error_of_one_line() {
    let scratch = ScratchDir::new("open-errors");
    let at = |name: &str| scratch.path(name);
    assert!(open_error(&at("none")).ends_with("there is no such directory"));
    std::fs::write(at("file"), "").expect("a file");
    assert!(open_error(&at("file")).ends_with("it is not a directory"));
    std::fs::create_dir(at("real")).expect("a directory");
    symlink(at("real"), at("link")).expect("a link");
    assert!(open_error(&at("link")).ends_with("link is a symbolic link"), "{}", open_error(&at("link")));
    // Not writable for anyone, whatever the user: the system's own.
    let closed = open_error(Path::new("/proc/self"));
    assert!(closed.starts_with("/proc/self: ") && !closed.contains('\n'), "{closed}");
}

/// A symbolic link on the path that another user made may lead anywhere; a link of the same user is allowed.
#[test]
fn a_link_on_the_path_is_accepted_only_from_the_same_user() {
    let scratch = ScratchDir::new("way");
    std::fs::create_dir_all(scratch.path("real/in")).expect("a directory");
    symlink(scratch.path("real"), scratch.path("way")).expect("a link");
    let path = scratch.path("way/in");
    assert!(Directory::open(&path, "n0").is_ok());
    // Only root can change the owner of a link; other users can't run this half.
    let root = std::fs::metadata("/proc/self").expect("a process").uid() == 0;
    if root && std::os::unix::fs::lchown(scratch.path("way"), Some(65_534), None).is_ok() {
        assert!(open_error(&path).ends_with("way is a symbolic link"), "{}", open_error(&path));
    }
}

/// What an earlier process of this node left is swept and counted; files of other nodes stay, whatever their
/// names begin with.
#[test]
fn leftovers_of_this_node_are_swept_and_no_others() {
    let scratch = ScratchDir::new("sweep");
    let others = ["sorrelhaven-body.n01.7.0.part", "sorrelhaven-body.n0%2e.7.0.part", "notes.txt"];
    let own = ["sorrelhaven-body.n0.7.0.part", "sorrelhaven-body.n0.7.1.part"];
    for name in others.iter().chain(&own) {
        std::fs::write(scratch.path(name), "a partial bo").expect("a file");
    }
    let directory = Directory::open(scratch.root(), "n0").expect("a usable directory");
    assert_eq!(scratch.file_names(".").len(), 5, "opening it deletes nothing");
    assert_eq!(
        (directory.delete_leftover_files().expect("a listing"), directory.was_full_at_open()),
        (2, false)
    );
    assert_eq!(scratch.file_names("."), ["notes.txt", others[1], others[0]]);
    let file = directory.create_file().expect("a file");
    file.write_at(b"a body", 0).expect("room");
    assert_eq!(scratch.file_names(".").len(), 3, "a file has no name");
    let mut back = [0; 4];
    file.read_at(&mut back, 2).expect("it was written");
    assert_eq!(&back, b"body");
    assert!(file.read_at(&mut back, 4).is_err(), "no more than was written");
    assert!(directory.free_bytes().expect("a file system") > 0);
    let other = Directory::open(scratch.root(), "n0.").expect("a usable directory");
    assert_eq!(other.delete_leftover_files().expect("a listing"), 1);
}
