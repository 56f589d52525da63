//! The host group in discovery's form, as `known` and as discovery itself writes it.

use crate::{Error, read};
use serde::Deserialize;
use sorrelhaven_dispatcher::{Lifecycle, WorkerEntry, WorkerId};
use std::net::SocketAddr;

/// What discovery says of an executor's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Health {
    /// It takes work.
    InService,
    /// It finishes what it has and wants nothing new.
    Terminating,
    /// It was removed.
    Terminated,
}

/// One executor.
#[derive(Clone, Debug, Deserialize)]
pub struct DiscoveryHost {
    /// Its name, the same at every node.
    pub host: String,
    /// Where this node reaches it; of no use once it is gone.
    #[serde(default)]
    pub dial: Option<SocketAddr>,
    /// Its zone.
    #[serde(default)]
    pub site: String,
    /// Its kind of machine.
    #[serde(default)]
    pub class: String,
    /// Its cell.
    #[serde(default)]
    pub block: u64,
    /// The state of its process.
    pub health: Health,
    /// Its size beside that of others.
    #[serde(default = "one")]
    pub share: f64,
    /// Its last start, in Unix time; 0 when that is long ago.
    #[serde(default, rename = "born_ms")]
    pub started_ms: i64,
}

fn one() -> f64 {
    1.0
}

/// A whole list, or the entries that changed.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct DiscoveryList {
    /// The list's version.
    #[serde(default)]
    pub seq: u64,
    /// It replaces what was known.
    #[serde(default, rename = "whole")]
    pub complete: bool,
    /// Its entries.
    pub hosts: Vec<DiscoveryHost>,
}

/// The words of the settings whose places the decision module uses as numbers.
#[derive(Clone, Debug, Default)]
pub struct SettingNames {
    /// The zones.
    pub zones: Vec<String>,
    /// The kinds of machine.
    pub kinds: Vec<String>,
}

impl DiscoveryList {
    /// Reads a list, whole or of changes.
    ///
    /// # Errors
    /// The text is no list; the error names the key.
    pub fn read(text: &[u8]) -> Result<DiscoveryList, Error> {
        // Following the path of each key triples the cost, so that is left for lists that do not read.
        serde_json::from_slice(text).or_else(|_| read("", &mut serde_json::Deserializer::from_slice(text)))
    }

    /// Whether every entry reads in these words; the error names the key.
    pub fn check(&self, names: &SettingNames) -> Result<(), Error> {
        for (i, host) in self.hosts.iter().enumerate() {
            host.entry(WorkerId(0), names).map_err(|e| e.within(&format!("hosts[{i}]")))?;
        }
        Ok(())
    }
}

impl DiscoveryHost {
    /// The entry as the decision module takes it.
    pub fn entry(&self, worker: WorkerId, names: &SettingNames) -> Result<WorkerEntry, Error> {
        let gone = self.health == Health::Terminated;
        let place = |key: &str, words: &[String], word: &str| match words.iter().position(|w| w == word) {
            Some(place) => Ok(place),
            None if gone || words.is_empty() => Ok(0),
            None => Err(Error::new(key, format!("{word:?} is not in the settings"))),
        };
        if self.dial.is_none() && !gone {
            return Err(Error::new("dial", "missing"));
        }
        Ok(WorkerEntry {
            worker,
            name_hash: stable_hash(&self.host),
            lifecycle: match self.health {
                Health::InService => Lifecycle::Ready,
                Health::Terminating => Lifecycle::Draining,
                Health::Terminated => Lifecycle::Gone,
            },
            started_at: self.started_ms.saturating_mul(1_000),
            kind: place("class", &names.kinds, &self.class)?,
            zone: place("site", &names.zones, &self.site)?,
            cell: self.block,
            weight: self.share,
        })
    }
}

/// FNV-1a: a number that every dispatcher draws alike from a worker's word.
pub fn stable_hash(word: &str) -> u64 {
    word.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3))
}
