//! The worker list in the form in which discovery sends it, and in which `known` holds it.

use crate::deserialize::deserialize;
use crate::error::ConfigError;
use serde::Deserialize;
use sorrelhaven_dispatcher::{Lifecycle, WorkerEntry, WorkerId};
use std::net::SocketAddr;

/// The state of a worker's process, as discovery reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerHealth {
    /// It accepts requests.
    InService,
    /// It drains: it finishes the requests that it has, and accepts no new ones.
    Terminating,
    /// It was removed.
    Terminated,
}

/// One worker.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename = "DiscoveryHost")]
pub struct DiscoveryWorker {
    /// Its name, the same at every node.
    #[serde(rename = "host")]
    pub name: String,
    /// The address at which this node reaches it; may be missing once it is terminated.
    #[serde(rename = "dial", default)]
    pub address: Option<SocketAddr>,
    /// Its zone.
    #[serde(rename = "site", default)]
    pub zone: String,
    /// Its kind of machine.
    #[serde(rename = "class", default)]
    pub kind: String,
    /// Its cell.
    #[serde(rename = "block", default)]
    pub cell: u64,
    /// The state of its process.
    pub health: WorkerHealth,
    /// Its capacity relative to that of other workers.
    #[serde(rename = "share", default = "default_weight")]
    pub weight: f64,
    /// Its last start, in milliseconds of Unix time; 0 if that was long ago.
    #[serde(rename = "born_ms", default)]
    pub started_ms: i64,
}

fn default_weight() -> f64 {
    1.0
}

/// A complete worker list, or the entries that have changed.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct DiscoveryList {
    /// The version of the list.
    #[serde(rename = "seq", default)]
    pub version: u64,
    /// Whether it replaces all that was known.
    #[serde(rename = "whole", default)]
    pub complete: bool,
    /// Its entries.
    #[serde(rename = "hosts")]
    pub workers: Vec<DiscoveryWorker>,
}

/// The names of the settings whose indexes the decision module uses as numbers.
#[derive(Clone, Debug, Default)]
pub struct ZoneAndKindNames {
    /// The zones.
    pub zones: Vec<String>,
    /// The kinds of machine.
    pub kinds: Vec<String>,
}

impl DiscoveryList {
    /// Reads a list, complete or of changes.
    ///
    /// # Errors
    /// The text is not a list; the error names the key.
    pub fn read(text: &[u8]) -> Result<DiscoveryList, ConfigError> {
        // Tracking the path of each key triples the cost, so it is done only for a list that can't be read.
        serde_json::from_slice(text)
            .or_else(|_| deserialize("", &mut serde_json::Deserializer::from_slice(text)))
    }

    /// Checks every entry against the names of the settings.
    ///
    /// # Errors
    /// The first entry that is not valid; the error names the key.
    pub fn check(&self, names: &ZoneAndKindNames) -> Result<(), ConfigError> {
        for (index, host) in self.workers.iter().enumerate() {
            host.entry(WorkerId(0), names).map_err(|error| error.within(&format!("hosts[{index}]")))?;
        }
        Ok(())
    }
}

impl DiscoveryWorker {
    /// The entry in the form that the decision module takes.
    ///
    /// # Errors
    /// A zone or a kind is not in the settings, or the address is missing; the error names the key.
    pub fn entry(&self, worker: WorkerId, names: &ZoneAndKindNames) -> Result<WorkerEntry, ConfigError> {
        if self.address.is_none() && !self.is_terminated() {
            return Err(ConfigError::new("dial", "missing"));
        }
        Ok(WorkerEntry {
            worker,
            name_hash: stable_hash(&self.name),
            lifecycle: match self.health {
                WorkerHealth::InService => Lifecycle::Ready,
                WorkerHealth::Terminating => Lifecycle::Draining,
                WorkerHealth::Terminated => Lifecycle::Gone,
            },
            started_at: self.started_ms.saturating_mul(1_000),
            kind: self.index_in("class", &names.kinds, &self.kind)?,
            zone: self.index_in("site", &names.zones, &self.zone)?,
            cell: self.cell,
            weight: self.weight,
        })
    }

    fn is_terminated(&self) -> bool {
        self.health == WorkerHealth::Terminated
    }

    /// The index of a name in the settings. A worker that is terminated may have any name.
    fn index_in(&self, key: &str, names: &[String], name: &str) -> Result<usize, ConfigError> {
        match names.iter().position(|other| other == name) {
            Some(index) => Ok(index),
            None if self.is_terminated() || names.is_empty() => Ok(0),
            None => Err(ConfigError::new(key, format!("{name:?} is not in the settings"))),
        }
    }
}

/// FNV-1a: a hash of a text that is the same at every dispatcher and in every version.
pub fn stable_hash(text: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    text.bytes().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(PRIME))
}
