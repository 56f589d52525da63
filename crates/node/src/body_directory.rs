//! Opens the directory that holds the files of request bodies.

use sorrelhaven_body_store::{Directory, DirectoryError, Disk};
use sorrelhaven_config::Config;
use std::sync::Arc;
use std::{fmt, io};
use tracing::{info, warn};

/// The settings key of the directory, which begins each error and warning about it.
const DIRECTORY_KEY: &str = "bodies.files.directory";

/// Why the directory for bodies cannot be used. `Display` writes one line that begins with the settings key.
#[derive(Debug)]
pub enum BodyDirectoryError {
    /// The directory cannot be opened, or the test write in it failed.
    Open(DirectoryError),
    /// Files of an earlier process cannot be listed or deleted.
    DeleteLeftoverFiles(io::Error),
}

impl fmt::Display for BodyDirectoryError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyDirectoryError::Open(error) => write!(formatter, "{DIRECTORY_KEY}: {error}"),
            BodyDirectoryError::DeleteLeftoverFiles(error) => {
                write!(formatter, "{DIRECTORY_KEY}: it can't be listed: {error}")
            }
        }
    }
}

impl std::error::Error for BodyDirectoryError {}

/// Opens the configured directory and tries a write in it. `None` if no directory is configured.
///
/// # Errors
/// The directory cannot be opened, or the test write fails for another reason than a full file system.
pub fn open(config: &Config) -> Result<Option<Directory>, BodyDirectoryError> {
    let Some(path) = &config.operator.bodies.files.directory else { return Ok(None) };
    Directory::open(path, &config.name).map(Some).map_err(BodyDirectoryError::Open)
}

/// Opens the configured directory as the disk for bodies, and deletes the files that an earlier process of
/// this node left in it. `None` if no directory is configured. A directory on a full file system is accepted:
/// bodies are stored in files once there is room.
///
/// # Errors
/// Those of [`open`], and a failure to list the directory or to delete a file.
pub fn open_as_disk(config: &Config) -> Result<Option<Arc<dyn Disk>>, BodyDirectoryError> {
    let Some(directory) = open(config)? else { return Ok(None) };
    let swept = directory.delete_leftover_files().map_err(BodyDirectoryError::DeleteLeftoverFiles)?;
    info!(swept, "body directory opened");
    if directory.was_full_at_open() {
        warn!("{DIRECTORY_KEY}: the file system is full; bodies are stored in files once there is room");
    }
    Ok(Some(Arc::new(directory)))
}
