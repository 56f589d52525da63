//! Temporary directories of tests.

use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

/// A temporary directory of one test, removed with its content on drop.
pub struct ScratchDir {
    root: PathBuf,
}

impl ScratchDir {
    /// Creates a directory whose name ends with `name`, unique even among processes.
    ///
    /// # Panics
    /// If the directory can't be created in the system's directory for temporary files.
    pub fn new(name: &str) -> ScratchDir {
        static NEXT_NUMBER: AtomicU32 = AtomicU32::new(0);
        let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("sorrelhaven-{}-{number}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).expect("the scratch directory can be created");
        ScratchDir { root: path.canonicalize().expect("the scratch directory exists") }
    }

    /// The absolute path of the directory, without symbolic links.
    pub fn root(&self) -> &Path {
        &self.root
    }

    /// The path of the entry `name`, which need not exist.
    pub fn path(&self, name: &str) -> PathBuf {
        self.root.join(name)
    }

    /// Writes `text` to the file `name`, in place of any earlier content, and returns its path.
    ///
    /// # Panics
    /// If the file can't be written.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        std::fs::write(self.path(name), text).expect("the file in the scratch directory can be written");
        self.path(name)
    }

    /// The sorted names of the entries of `directory`, a path relative to the scratch directory.
    ///
    /// # Panics
    /// If the directory can't be read.
    pub fn file_names(&self, directory: &str) -> Vec<String> {
        let entries = std::fs::read_dir(self.path(directory)).expect("the directory can be read");
        let mut names: Vec<String> = entries
            .map(|entry| {
                entry.expect("the directory entry can be read").file_name().to_string_lossy().into_owned()
            })
            .collect();
        names.sort();
        names
    }
}

impl Drop for ScratchDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.root);
    }
}
