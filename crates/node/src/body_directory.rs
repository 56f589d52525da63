//! The directory in which request bodies are stored.

use sorrelhaven_body_store::{Directory, DirectoryError, Disk};
use sorrelhaven_config::Config;
use std::sync::Arc;
use std::{fmt, io};
use tracing::{info, warn};

/// The settings key of the directory.
const DIRECTORY_KEY: &str = "bodies.files.directory";

/// Why the body directory cannot be used. Displayed on one line that names the settings key.
#[derive(Debug)]
pub enum BodyDirectoryError {
    /// It cannot be opened or written in.
    Open(DirectoryError),
    /// Its entries cannot be listed or removed.
    Sweep(io::Error),
}

impl fmt::Display for BodyDirectoryError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            BodyDirectoryError::Open(error) => write!(formatter, "{DIRECTORY_KEY}: {error}"),
            BodyDirectoryError::Sweep(error) => {
                write!(formatter, "{DIRECTORY_KEY}: it can't be listed: {error}")
            }
        }
    }
}

impl std::error::Error for BodyDirectoryError {}

/// Opens the configured directory and tries a write; `None` where none is configured.
///
/// # Errors
/// The directory cannot be opened or written in.
pub fn open(config: &Config) -> Result<Option<Directory>, BodyDirectoryError> {
    let Some(path) = &config.operator.bodies.files.directory else { return Ok(None) };
    Directory::open(path, &config.name).map(Some).map_err(BodyDirectoryError::Open)
}

/// Opens the configured directory as the disk for bodies and removes the files that an earlier process of
/// this node left behind. A directory that is full is used as soon as it has room.
///
/// # Errors
/// The directory cannot be opened, written in or listed.
pub fn open_as_disk(config: &Config) -> Result<Option<Arc<dyn Disk>>, BodyDirectoryError> {
    let Some(directory) = open(config)? else { return Ok(None) };
    let swept = directory.delete_leftover_files().map_err(BodyDirectoryError::Sweep)?;
    info!(swept, "body directory opened");
    if directory.was_full_at_open() {
        warn!("{DIRECTORY_KEY}: it is full; files are used once there is room");
    }
    Ok(Some(Arc::new(directory)))
}
