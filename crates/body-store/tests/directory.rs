//! The configured directory: what makes it unusable, and which leftover files are deleted from it.

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
    std::fs::write(at("file"), "").expect("the file can be written");
    assert!(open_error(&at("file")).ends_with("it is not a directory"));
    std::fs::create_dir(at("real")).expect("the directory can be created");
    symlink(at("real"), at("link")).expect("the link can be created");
    assert!(open_error(&at("link")).ends_with("link is a symbolic link"), "{}", open_error(&at("link")));
    // No user, not even root, can create files in the proc file system.
    let not_writable = open_error(Path::new("/proc/self"));
    assert!(not_writable.starts_with("/proc/self: ") && !not_writable.contains('\n'), "{not_writable}");
}

/// A symbolic link that another user made could redirect the node's files, so it is rejected in any component
/// of the path. A link of the node's own user is accepted before the last component.
#[test]
fn a_link_on_the_path_is_accepted_only_from_the_same_user() {
    let scratch = ScratchDir::new("link-owner");
    std::fs::create_dir_all(scratch.path("real/in")).expect("the directory can be created");
    symlink(scratch.path("real"), scratch.path("link")).expect("the link can be created");
    let path = scratch.path("link/in");
    assert!(Directory::open(&path, "n0").is_ok());
    // Only root can change the owner of a link, so other users skip this part.
    let is_root = std::fs::metadata("/proc/self").expect("the process has a proc entry").uid() == 0;
    if is_root && std::os::unix::fs::lchown(scratch.path("link"), Some(65_534), None).is_ok() {
        assert!(open_error(&path).ends_with("link is a symbolic link"), "{}", open_error(&path));
    }
}

/// Files that an earlier process of this node has left are deleted and counted. Files of other nodes stay,
/// also those of nodes whose names begin with this node's name.
#[test]
fn leftover_files_of_this_node_are_deleted_and_no_others() {
    let scratch = ScratchDir::new("sweep");
    let others = ["sorrelhaven-body.n01.7.0.part", "sorrelhaven-body.n0%2e.7.0.part", "notes.txt"];
    let own = ["sorrelhaven-body.n0.7.0.part", "sorrelhaven-body.n0.7.1.part"];
    for name in others.iter().chain(&own) {
        std::fs::write(scratch.path(name), "a partial bo").expect("the file can be written");
    }
    let directory = Directory::open(scratch.root(), "n0").expect("the directory is usable");
    assert_eq!(scratch.file_names(".").len(), 5, "opening the directory deletes no file");
    assert_eq!(
        (
            directory.delete_leftover_files().expect("the directory can be listed"),
            directory.was_full_at_open()
        ),
        (2, false)
    );
    assert_eq!(scratch.file_names("."), ["notes.txt", others[1], others[0]]);
    let file = directory.create_file().expect("the file can be created");
    file.write_at(b"a body", 0).expect("the file system has room");
    assert_eq!(scratch.file_names(".").len(), 3, "a created file has no name");
    let mut read = [0; 4];
    file.read_at(&mut read, 2).expect("the bytes were written");
    assert_eq!(&read, b"body");
    assert!(file.read_at(&mut read, 4).is_err(), "a read beyond the end of the file fails");
    assert!(directory.free_bytes().expect("the file system reports its free space") > 0);
    let other = Directory::open(scratch.root(), "n0.").expect("the directory is usable");
    assert_eq!(other.delete_leftover_files().expect("the directory can be listed"), 1);
}
