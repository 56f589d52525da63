//! Files that the processes of one node share.

use rustix::fs::{Mode, OFlags, open};
use std::fs::File;
use std::io;
use std::path::Path;

/// How many characters of the node's name are part of a file's name.
const MAX_NAME_CHARS: usize = 64;

/// Opens the file `prefix`.`node_name``suffix` in `directory`, which is created if it does not exist. Characters of the
/// node's name that may not be valid in a file name are replaced.
pub(crate) fn open_node_file(
    directory: &Path,
    prefix: &str,
    node_name: &str,
    suffix: &str,
) -> io::Result<File> {
    let name: String = node_name.chars().map(portable_char).take(MAX_NAME_CHARS).collect();
    let path = directory.join(format!("{prefix}.{name}{suffix}"));
    let flags = OFlags::CREATE | OFlags::RDWR | OFlags::NOFOLLOW | OFlags::CLOEXEC;
    Ok(File::from(open(path, flags, Mode::RUSR | Mode::WUSR)?))
}

fn portable_char(character: char) -> char {
    if character.is_ascii_alphanumeric() { character } else { '_' }
}
