//! ProcessRegistry: how many processes of one node live, told by locks on files that all of them find.

use rustix::fs::{FlockOperation, Mode, OFlags, flock, open};
use std::fs::File;
use std::io;
use std::path::Path;

/// Processes of one node that may be told apart: an upgrade has two, and one that follows closely a third.
const SEATS: usize = 4;

/// The seat of this process, and those of others; free again when the process ends, however it does.
pub struct ProcessRegistry {
    files: Vec<File>,
    own: Option<usize>,
}

impl ProcessRegistry {
    /// Takes a seat of the node `name` in `directory`. Where all are taken it counts the others all the same.
    ///
    /// # Errors
    /// Those of the system: the directory is not there, or not to be written in.
    pub fn take(directory: &Path, name: &str) -> io::Result<ProcessRegistry> {
        let flags = OFlags::CREATE | OFlags::RDWR | OFlags::NOFOLLOW | OFlags::CLOEXEC;
        let name: String =
            name.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '_' }).take(64).collect();
        let file = |seat: usize| {
            let path = directory.join(format!("sorrelhaven-seat.{name}.{seat}"));
            Ok(File::from(open(path, flags, Mode::RUSR | Mode::WUSR)?))
        };
        let files = (0..SEATS).map(file).collect::<io::Result<Vec<File>>>()?;
        let free = |file: &File| flock(file, FlockOperation::NonBlockingLockExclusive).is_ok();
        let own = files.iter().position(free);
        Ok(ProcessRegistry { files, own })
    }

    /// How many other processes of the node live.
    pub fn others(&self) -> usize {
        let taken = |(seat, file): (usize, &File)| {
            if self.own == Some(seat) {
                return false;
            }
            // One that looks at the same moment must not be taken for one that sits there: it locks alike.
            match flock(file, FlockOperation::NonBlockingLockShared) {
                Ok(()) => {
                    let _ = flock(file, FlockOperation::Unlock);
                    false
                }
                Err(_) => true,
            }
        };
        self.files.iter().enumerate().filter(|&f| taken(f)).count()
    }
}

#[cfg(test)]
mod tests {
    use super::{ProcessRegistry, SEATS};

    #[test]
    fn each_knows_how_many_others_live() {
        let directory = std::env::temp_dir().join(format!("sorrelhaven-seats-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a directory");
        let take = |name| ProcessRegistry::take(&directory, name).expect("a directory");
        let old = take("n/0");
        assert_eq!(old.others(), 0);
        let new = take("n/0");
        assert_eq!((old.others(), new.others()), (1, 1));
        assert_eq!(take("n1").others(), 0, "another node is none of them");
        drop(old);
        assert_eq!(new.others(), 0);
        let more: Vec<ProcessRegistry> = (0..SEATS + 1).map(|_| take("n/0")).collect();
        assert_eq!(new.others(), SEATS - 1, "all that can be told apart");
        assert_eq!(more[SEATS].others(), SEATS, "one without a seat counts those that have one");
        drop(more);
        assert_eq!(new.others(), 0);
        assert!(ProcessRegistry::take(&directory.join("none"), "n0").is_err());
        std::fs::remove_dir_all(&directory).expect("a directory");
    }
}
