//! The worker list in the form that discovery sends, which is also that of the key `known` in the platform's
//! file. Discovery calls a worker a host.

use crate::deserialize::deserialize;
use crate::error::ConfigError;
use serde::Deserialize;
use sorrelhaven_dispatcher::{Lifecycle, WorkerEntry, WorkerId};
use std::net::SocketAddr;

/// The lifecycle state of a worker's process, as discovery reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerHealth {
    /// The worker accepts requests.
    InService,
    /// The worker drains: it finishes the requests that it has, and accepts no new ones.
    Terminating,
    /// The worker was removed.
    Terminated,
}

/// One worker of a [`DiscoveryList`].
#[derive(Clone, Debug, Deserialize)]
// Serde prints this type's name in errors, so a new name would change the output of `sorrelhaven check`.
pub struct DiscoveryHost {
    /// The worker's name, which is the same in the lists of all nodes.
    #[serde(rename = "host")]
    pub name: String,
    /// The address at which this node reaches the worker; may be missing only if the worker is terminated.
    #[serde(rename = "dial", default)]
    pub address: Option<SocketAddr>,
    /// The name of the worker's zone, as the settings have it.
    #[serde(rename = "site", default)]
    pub zone: String,
    /// The name of the worker's kind (its machine type), as the settings have it.
    #[serde(rename = "class", default)]
    pub kind: String,
    /// The number of the worker's cell.
    #[serde(rename = "block", default)]
    pub cell: u64,
    /// The lifecycle state of the worker's process.
    pub health: WorkerHealth,
    /// The worker's capacity, relative to that of other workers.
    #[serde(rename = "share", default = "default_weight")]
    pub weight: f64,
    /// When the worker's process last started, in milliseconds of Unix time; 0 if that was long ago.
    #[serde(rename = "born_ms", default)]
    pub started_ms: i64,
}

fn default_weight() -> f64 {
    1.0
}

/// A message of discovery: a complete worker list, or the workers that have changed.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct DiscoveryList {
    /// The version of the list after this message.
    #[serde(rename = "seq", default)]
    pub version: u64,
    /// Whether the list is complete: a worker that is not in it is gone. Otherwise it holds changes only.
    #[serde(rename = "whole", default)]
    pub complete: bool,
    /// All workers, or those that have changed.
    #[serde(rename = "hosts")]
    pub workers: Vec<DiscoveryHost>,
}

/// The names of zones and worker kinds in the settings. Discovery refers to them by name, and the
/// dispatcher by their index in these lists.
#[derive(Clone, Debug, Default)]
pub struct ZoneAndKindNames {
    /// The names of the zones; empty if the settings distinguish none.
    pub zones: Vec<String>,
    /// The names of the worker kinds; empty if the settings distinguish none.
    pub kinds: Vec<String>,
}

impl DiscoveryList {
    /// Reads a list from JSON. Does not check whether the workers have addresses, nor whether their zones and
    /// kinds are in the settings; [`DiscoveryList::check`] does.
    ///
    /// # Errors
    /// The text is not JSON of this form. The error names the key at fault.
    pub fn read(text: &[u8]) -> Result<DiscoveryList, ConfigError> {
        serde_json::from_slice(text).map_err(|error| {
            // Tracking the path of each key triples the cost, so only a list that was found invalid is read again
            // that way. It finds no key for an error behind the list.
            let read_again =
                deserialize::<DiscoveryList>("", &mut serde_json::Deserializer::from_slice(text));
            read_again.err().unwrap_or_else(|| ConfigError::new("", error))
        })
    }

    /// Checks that each worker has an address, and a zone and kind that are in the settings. See
    /// [`DiscoveryHost::entry`] for the exceptions.
    ///
    /// # Errors
    /// The error of the first invalid worker. It names the key at fault.
    pub fn check(&self, names: &ZoneAndKindNames) -> Result<(), ConfigError> {
        for (index, worker) in self.workers.iter().enumerate() {
            worker.entry(WorkerId(0), names).map_err(|error| error.within(&format!("hosts[{index}]")))?;
        }
        Ok(())
    }
}

impl DiscoveryHost {
    /// Converts the worker to the dispatcher's form, under the id `worker`.
    ///
    /// # Errors
    /// The address is missing, or the zone or kind is not in the settings. The error names the key at fault.
    /// A terminated worker needs none of them, and zones or kinds are not checked if the settings have none.
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
            kind: self.setting_index("class", &names.kinds, &self.kind)?,
            zone: self.setting_index("site", &names.zones, &self.zone)?,
            cell: self.cell,
            weight: self.weight,
        })
    }

    fn is_terminated(&self) -> bool {
        self.health == WorkerHealth::Terminated
    }

    /// The index of `name` in `names`; 0 for an unknown name if the worker is terminated or there are no
    /// names.
    fn setting_index(&self, key: &str, names: &[String], name: &str) -> Result<usize, ConfigError> {
        match names.iter().position(|other| other == name) {
            Some(index) => Ok(index),
            None if self.is_terminated() || names.is_empty() => Ok(0),
            None => Err(ConfigError::new(key, format!("{name:?} is not in the settings"))),
        }
    }
}

/// The 64-bit FNV-1a hash of a text, in UTF-8, or of bytes, which is the same at every dispatcher and in every version
/// of the program.
pub fn stable_hash<T: AsRef<[u8]> + ?Sized>(bytes: &T) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.as_ref().iter().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}
