//! The operators' settings for the bodies of requests.

use crate::error::ConfigError;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// The largest value of any key in this module: 1 TiB, or 1 TiB/s.
const MAX_SIZE_BYTES: u64 = 1 << 40;
/// How much memory the node needs in addition to the stored bodies, in megabytes.
const NODE_MEMORY_MB: u64 = 24;

/// Where the bodies of requests are stored so that requests can be retried.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[schemars(rename = "Bodies")]
pub struct BodySettings {
    /// The largest body that is accepted, in bytes; a larger one is answered 413 from its head alone. The
    /// platform's protocol allows 65536.
    #[schemars(range(max = 1_099_511_627_776u64))]
    pub largest_bytes: u64,
    /// The slowest upload of a body on average, in bytes a second, from 2.2 s after its first byte on; a
    /// slower one is answered 408.
    #[schemars(range(min = 1, max = 1_099_511_627_776u64))]
    pub slowest_bytes_per_s: u64,
    /// Bodies in memory.
    pub memory: BodyMemory,
    /// Bodies in files.
    pub files: BodyFiles,
    /// What happens to a request whose body can't be stored.
    #[serde(rename = "unkept")]
    pub not_stored: NotStoredPolicy,
}

/// Bodies in memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct BodyMemory {
    /// The largest body in memory, in bytes.
    #[schemars(range(max = 1_099_511_627_776u64))]
    pub each_bytes: u64,
    /// All bodies in memory together, in bytes. `limits.memory_mb` must leave 24 MB beside it.
    #[schemars(range(max = 1_099_511_627_776u64))]
    pub total_bytes: u64,
}

/// Bodies in files.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct BodyFiles {
    /// The directory, which must exist and be writable for the node; `null`: no files.
    pub directory: Option<PathBuf>,
    /// The largest body in a file, in bytes.
    #[schemars(range(max = 1_099_511_627_776u64))]
    pub each_bytes: u64,
    /// All bodies in files together, in bytes.
    #[schemars(range(max = 1_099_511_627_776u64))]
    pub total_bytes: u64,
    /// Files are used only while the file system has at least this many bytes free.
    #[schemars(range(max = 1_099_511_627_776u64))]
    pub leave_free_bytes: u64,
}

/// What happens to a request whose body can't be stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "Unkept")]
pub enum NotStoredPolicy {
    /// The body is streamed to one worker as it arrives, and the request can't be retried.
    Stream,
    /// The request is rejected before anything is sent.
    #[serde(rename = "refuse")]
    Reject,
}

impl Default for BodySettings {
    fn default() -> Self {
        BodySettings {
            largest_bytes: 65_536,
            slowest_bytes_per_s: 65_536,
            memory: BodyMemory::default(),
            files: BodyFiles::default(),
            not_stored: NotStoredPolicy::Stream,
        }
    }
}

impl Default for BodyMemory {
    fn default() -> Self {
        BodyMemory { each_bytes: 65_536, total_bytes: 8 << 20 }
    }
}

impl Default for BodyFiles {
    fn default() -> Self {
        BodyFiles {
            directory: None,
            each_bytes: 16 << 20,
            total_bytes: 256 << 20,
            leave_free_bytes: 64 << 20,
        }
    }
}

impl BodySettings {
    /// Checks the range of each value and the values against each other, for a process that may use
    /// `memory_mb` megabytes. The errors name keys relative to this object.
    pub(crate) fn check(&self, memory_mb: u64) -> Vec<ConfigError> {
        let mut errors = self.check_sizes();
        errors.extend(self.check_upload_rate());
        errors.extend(self.check_memory(memory_mb));
        errors.extend(self.check_files());
        errors.extend(self.check_rejection());
        errors
    }

    fn check_sizes(&self) -> Vec<ConfigError> {
        let sizes = [
            ("largest_bytes", self.largest_bytes),
            ("slowest_bytes_per_s", self.slowest_bytes_per_s),
            ("memory.each_bytes", self.memory.each_bytes),
            ("memory.total_bytes", self.memory.total_bytes),
            ("files.each_bytes", self.files.each_bytes),
            ("files.total_bytes", self.files.total_bytes),
            ("files.leave_free_bytes", self.files.leave_free_bytes),
        ];
        let too_large = sizes.into_iter().filter(|(_, size)| *size > MAX_SIZE_BYTES);
        too_large
            .map(|(key, size)| ConfigError::new(key, format!("{size} is over {MAX_SIZE_BYTES}")))
            .collect()
    }

    fn check_upload_rate(&self) -> Option<ConfigError> {
        let is_unlimited = self.slowest_bytes_per_s == 0;
        is_unlimited.then(|| ConfigError::new("slowest_bytes_per_s", "0 would let a body take for ever"))
    }

    fn check_memory(&self, memory_mb: u64) -> Vec<ConfigError> {
        let mut errors = Vec::new();
        let BodyMemory { each_bytes, total_bytes } = self.memory;
        if each_bytes > total_bytes {
            let problem = format!("{each_bytes} is over memory.total_bytes, {total_bytes}");
            errors.push(ConfigError::new("memory.each_bytes", problem));
        }
        let available = memory_mb.saturating_sub(NODE_MEMORY_MB).saturating_mul(1 << 20);
        if total_bytes > available {
            let problem = format!(
                "{total_bytes} is over {available}, what limits.memory_mb = {memory_mb} leaves beside \
                 {NODE_MEMORY_MB} MB for the node"
            );
            errors.push(ConfigError::new("memory.total_bytes", problem));
        }
        errors
    }

    fn check_files(&self) -> Vec<ConfigError> {
        let mut errors = Vec::new();
        let BodyFiles { each_bytes, total_bytes, .. } = self.files;
        if self.files.directory.is_none() {
            return errors;
        }
        if each_bytes > total_bytes {
            let problem = format!("{each_bytes} is over files.total_bytes, {total_bytes}");
            errors.push(ConfigError::new("files.each_bytes", problem));
        }
        let in_memory = self.memory.each_bytes;
        if each_bytes < in_memory {
            let problem = format!(
                "{each_bytes} is under memory.each_bytes, {in_memory}: a body that outgrows memory would \
                 fit no file"
            );
            errors.push(ConfigError::new("files.each_bytes", problem));
        }
        errors
    }

    /// Finds sizes of bodies that are accepted, but cannot be stored and are then always rejected. That is
    /// most likely a mistake.
    fn check_rejection(&self) -> Option<ConfigError> {
        let largest = self.largest_bytes;
        let largest_stored = self.largest_stored_bytes();
        if self.not_stored != NotStoredPolicy::Reject || largest <= largest_stored {
            return None;
        }
        let problem = format!(
            "{largest} is over {largest_stored}, the largest body that is stored: with bodies.unkept = \
             \"refuse\" those between would always be rejected"
        );
        Some(ConfigError::new("largest_bytes", problem))
    }

    /// The size of the largest body that can be stored, in memory or in a file.
    fn largest_stored_bytes(&self) -> u64 {
        let in_memory = self.memory.each_bytes;
        match self.files.directory {
            Some(_) => in_memory.max(self.files.each_bytes),
            None => in_memory,
        }
    }
}
