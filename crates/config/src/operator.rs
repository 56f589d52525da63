//! The operators' file: what an installation sets beside what the platform tells. JSON, every key optional.

use crate::fault::{Error, Faults, join};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The most bytes that any setting of a size takes: 1 TiB.
const SIZE_MOST: u64 = 1 << 40;
/// What the node needs beside the bodies that it keeps, in megabytes.
const BESIDE_BODIES_MB: u64 = 24;
/// The least that a key of membership holds, in bytes.
const KEY_LEAST: usize = 16;
/// How like a known key an unknown one must be to be taken for a slip of it, from 0 to 1.
const ALIKE: f64 = 0.6;

/// What the operators of an installation set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Operator {
    /// Where the bodies of requests are kept so that they can be sent again.
    pub bodies: BodySettings,
    /// Nodes that know each other, over UDP.
    pub membership: Membership,
}

/// Nodes that know each other, over UDP.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct Membership {
    /// Where this node listens for others, an address with a port; `null`: it knows no others.
    pub listen: Option<String>,
    /// The address at which others reach it, where that is another than `listen`.
    pub advertise: Option<String>,
    /// Addresses at which others may be found at first.
    pub seeds: Vec<String>,
    /// A file with the key that all nodes share, of 16 bytes at least; needed with `listen`.
    pub key_file: Option<PathBuf>,
    /// Each node probes one other in this time, in milliseconds.
    #[schemars(range(min = 50, max = 60_000))]
    pub probe_period_ms: u64,
    /// A probe that is not answered in this time is made through others, in milliseconds; under the period.
    #[schemars(range(min = 5, max = 30_000))]
    pub probe_rtt_ms: u64,
    /// Through so many others.
    #[schemars(range(min = 1, max = 16))]
    pub indirect: usize,
    /// How long a node that is suspected may take to say that it lives, in milliseconds.
    #[schemars(range(min = 100, max = 600_000))]
    pub suspicion_ms: u64,
}

impl Default for Membership {
    fn default() -> Self {
        Membership {
            listen: None,
            advertise: None,
            seeds: Vec::new(),
            key_file: None,
            probe_period_ms: 500,
            probe_rtt_ms: 150,
            indirect: 3,
            suspicion_ms: 1_200,
        }
    }
}

/// What a node needs to know others, read and checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peers {
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where others reach it; `None`: where it listens.
    pub advertise: Option<SocketAddr>,
    /// Where others may be found.
    pub seeds: Vec<SocketAddr>,
    /// The key that all share.
    pub key: Vec<u8>,
}

impl Membership {
    /// What a node needs to know others; `None` where it is to know none. Reads the file of the key.
    ///
    /// # Errors
    /// The first fault, which names its key.
    pub fn peers(&self) -> Result<Option<Peers>, Error> {
        let fault = |key: &str, text: String| Error::new(format!("membership.{key}"), text);
        let address = |key: &str, text: &String| {
            text.parse::<SocketAddr>()
                .map_err(|_| fault(key, format!("{text:?} is not an address with a port")))
        };
        let Some(listen) = &self.listen else { return Ok(None) };
        let listen = address("listen", listen)?;
        let advertise = self.advertise.as_ref().map(|a| address("advertise", a)).transpose()?;
        let seeds = self.seeds.iter().enumerate().map(|(i, s)| address(&format!("seeds[{i}]"), s));
        let seeds = seeds.collect::<Result<Vec<_>, _>>()?;
        let path = self.key_file.as_ref().ok_or_else(|| fault("key_file", "missing".into()))?;
        let key = std::fs::read(path).map_err(|e| fault("key_file", format!("{}: {e}", path.display())))?;
        let key = key.trim_ascii().to_vec();
        if key.len() < KEY_LEAST {
            return Err(fault("key_file", format!("a key of {} bytes, under {KEY_LEAST}", key.len())));
        }
        Ok(Some(Peers { listen, advertise, seeds, key }))
    }

    fn faults(&self) -> Vec<Error> {
        let mut faults: Vec<Error> = self.peers().err().into_iter().collect();
        let period = self.probe_period_ms;
        for (key, value, least, most) in [
            ("probe_period_ms", period, 50, 60_000),
            ("probe_rtt_ms", self.probe_rtt_ms, 5, period.saturating_sub(1).max(5)),
            ("indirect", self.indirect as u64, 1, 16),
            ("suspicion_ms", self.suspicion_ms, 100, 600_000),
        ] {
            if !(least..=most).contains(&value) {
                faults.push(Error::new(
                    format!("membership.{key}"),
                    format!("{value} is not in {least} to {most}"),
                ));
            }
        }
        faults
    }
}

/// Where the bodies of requests are kept so that they can be sent again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
#[schemars(rename = "Bodies")]
pub struct BodySettings {
    /// The largest body that is taken at all, in bytes; a larger one is answered 413 from its head alone. The
    /// platform's protocol allows 65536.
    #[schemars(range(max = 1_099_511_627_776u64))]
    pub largest_bytes: u64,
    /// A body must come at this pace once it is 2.2 s old, in bytes for each second; one that is slower on the
    /// whole is answered 408.
    #[schemars(range(min = 1, max = 1_099_511_627_776u64))]
    pub slowest_bytes_per_s: u64,
    /// Bodies in memory.
    pub memory: BodyMemory,
    /// Bodies in files.
    pub files: BodyFiles,
    /// What becomes of a request whose body can be kept nowhere.
    pub unkept: Unkept,
}

/// Bodies in memory.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct BodyMemory {
    /// The most bytes of one body that are kept in memory.
    #[schemars(range(max = 1_099_511_627_776u64))]
    pub each_bytes: u64,
    /// The most bytes of all bodies together that are kept in memory. `limits.memory_mb` must leave 24 MB beside it.
    #[schemars(range(max = 1_099_511_627_776u64))]
    pub total_bytes: u64,
}

/// Bodies in files.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct BodyFiles {
    /// The directory, which must exist and be the node's to write in; `null`: no files.
    pub directory: Option<PathBuf>,
    /// The most bytes of one body that are kept in a file.
    #[schemars(range(max = 1_099_511_627_776u64))]
    pub each_bytes: u64,
    /// The most bytes of all bodies together that are kept in files.
    #[schemars(range(max = 1_099_511_627_776u64))]
    pub total_bytes: u64,
    /// Files are used only while the file system has so many bytes left.
    #[schemars(range(max = 1_099_511_627_776u64))]
    pub leave_free_bytes: u64,
}

/// What becomes of a request whose body can be kept nowhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Unkept {
    /// The body passes through to one executor as it comes, and can't be sent again.
    Stream,
    /// The request is refused before anything is sent.
    Refuse,
}

impl Default for BodySettings {
    fn default() -> Self {
        BodySettings {
            largest_bytes: 65_536,
            slowest_bytes_per_s: 65_536,
            memory: BodyMemory::default(),
            files: BodyFiles::default(),
            unkept: Unkept::Stream,
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
        let (each_bytes, total_bytes, leave_free_bytes) = (16 << 20, 256 << 20, 64 << 20);
        BodyFiles { directory: None, each_bytes, total_bytes, leave_free_bytes }
    }
}

impl Operator {
    /// Reads the file at `path`.
    ///
    /// # Errors
    /// All faults of form, or one that names `SORRELHAVEN_OPERATOR` where the file can't be read or is not JSON.
    pub fn load(path: &str) -> Result<Operator, Faults> {
        let text = std::fs::read_to_string(path)
            .map_err(|e| Error::new(crate::OPERATOR, format!("cannot read {path}: {e}")))?;
        Operator::parse(&text)
    }

    /// Reads the file's text. Each key that is unknown, and each value of the wrong form, is a fault of its own.
    ///
    /// # Errors
    /// All of those.
    pub fn parse(text: &str) -> Result<Operator, Faults> {
        let mut written: Value = serde_json::from_str(text).map_err(|e| Error::new(crate::OPERATOR, e))?;
        let model = serde_json::to_value(Operator::default()).map_err(|e| Error::new("", e))?;
        let mut faults = Vec::new();
        unknown("", &mut written, &model, &mut faults);
        loop {
            // One fault hides those behind it: the value at fault gives way to the default, and all is read again.
            match serde_path_to_error::deserialize::<_, Operator>(&written) {
                Ok(read) => return Faults::unless(faults, || read),
                Err(error) => {
                    let path = error.path().to_string();
                    faults.push(Error::new(if path == "." { "" } else { &path }, error.inner()));
                    let pointer: String =
                        path.split('.').filter(|p| !p.is_empty()).map(|p| format!("/{p}")).collect();
                    match (written.pointer_mut(&pointer), model.pointer(&pointer)) {
                        (Some(at), Some(default)) if at != default => *at = default.clone(),
                        _ => return Faults::unless(faults, || unreachable!("there is one")),
                    }
                }
            }
        }
    }

    /// What does not go together, where the process may hold `memory_mb` megabytes.
    pub fn faults(&self, memory_mb: u64) -> Vec<Error> {
        let BodySettings { largest_bytes, slowest_bytes_per_s, memory, files, unkept } = &self.bodies;
        let mut faults = self.membership.faults();
        let mut fault = |key: &str, text: String| faults.push(Error::new(format!("bodies.{key}"), text));
        for (key, size) in [
            ("largest_bytes", *largest_bytes),
            ("slowest_bytes_per_s", *slowest_bytes_per_s),
            ("memory.each_bytes", memory.each_bytes),
            ("memory.total_bytes", memory.total_bytes),
            ("files.each_bytes", files.each_bytes),
            ("files.total_bytes", files.total_bytes),
            ("files.leave_free_bytes", files.leave_free_bytes),
        ] {
            if size > SIZE_MOST {
                fault(key, format!("{size} is over {SIZE_MOST}"));
            }
        }
        if *slowest_bytes_per_s == 0 {
            fault("slowest_bytes_per_s", "0 would let a body take for ever".into());
        }
        if memory.each_bytes > memory.total_bytes {
            fault(
                "memory.each_bytes",
                format!("{} is over memory.total_bytes, {}", memory.each_bytes, memory.total_bytes),
            );
        }
        let room = memory_mb.saturating_sub(BESIDE_BODIES_MB).saturating_mul(1 << 20);
        if memory.total_bytes > room {
            let text = format!(
                "{} is over {room}, what limits.memory_mb = {memory_mb} leaves beside {BESIDE_BODIES_MB} MB for the node",
                memory.total_bytes
            );
            fault("memory.total_bytes", text);
        }
        let mut kept = memory.each_bytes;
        if files.directory.is_some() {
            kept = kept.max(files.each_bytes);
            if files.each_bytes > files.total_bytes {
                fault(
                    "files.each_bytes",
                    format!("{} is over files.total_bytes, {}", files.each_bytes, files.total_bytes),
                );
            }
            if files.each_bytes < memory.each_bytes {
                let text = format!(
                    "{} is under memory.each_bytes, {}: a body that outgrows memory would fit no file",
                    files.each_bytes, memory.each_bytes
                );
                fault("files.each_bytes", text);
            }
        }
        if *unkept == Unkept::Refuse && *largest_bytes > kept {
            let text = format!(
                "{largest_bytes} is over {kept}, the largest body that is kept: with bodies.unkept = \"refuse\" those between would always be refused"
            );
            fault("largest_bytes", text);
        }
        faults
    }

    /// The JSON Schema (2020-12) of the file.
    pub fn schema() -> String {
        let schema = schemars::schema_for!(Operator);
        // A schema is a tree of plain values, so it can always be written.
        serde_json::to_string_pretty(&schema).unwrap_or_default()
    }
}

/// Notes the keys of `written` that `model` does not have, and takes them out.
fn unknown(parent: &str, written: &mut Value, model: &Value, faults: &mut Vec<Error>) {
    let (Value::Object(written), Value::Object(model)) = (written, model) else { return };
    written.retain(|key, value| {
        let Some(known) = model.get(key) else {
            let near =
                model.keys().map(|k| (strsim::jaro_winkler(k, key), k)).max_by(|a, b| a.0.total_cmp(&b.0));
            let hint = match near {
                Some((alike, near)) if alike >= ALIKE => format!("unknown key; did you mean {near:?}?"),
                _ => {
                    let known: Vec<&str> = model.keys().map(String::as_str).collect();
                    format!("unknown key; known are {}", known.join(", "))
                }
            };
            faults.push(Error::new(join(parent, key), hint));
            return false;
        };
        unknown(&join(parent, key), value, known, faults);
        true
    });
}
