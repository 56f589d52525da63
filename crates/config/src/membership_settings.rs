//! The operators' settings for membership.

use crate::error::ConfigError;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The shortest key.
const MIN_KEY_BYTES: usize = 16;

/// The membership of the cluster's nodes, over UDP.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename = "Membership", default, deny_unknown_fields)]
pub struct MembershipSettings {
    /// The address with a port at which this node listens for others; `null`: membership is off.
    pub listen: Option<String>,
    /// The address at which others reach this node, if that is not `listen`.
    pub advertise: Option<String>,
    /// Addresses of other nodes, to join the cluster.
    pub seeds: Vec<String>,
    /// A file with the key that all nodes share, at least 16 bytes; required with `listen`.
    pub key_file: Option<PathBuf>,
    /// Each node probes one other node in this time, in milliseconds.
    #[schemars(range(min = 50, max = 60_000))]
    pub probe_period_ms: u64,
    /// A probe that is not answered in this time is repeated through other nodes, in milliseconds; less than
    /// the period.
    #[schemars(range(min = 5, max = 30_000))]
    pub probe_rtt_ms: u64,
    /// The number of nodes through which a probe is repeated.
    #[schemars(range(min = 1, max = 16))]
    pub indirect: usize,
    /// How long a suspected node has to refute the suspicion before it is declared dead, in milliseconds.
    #[schemars(range(min = 100, max = 600_000))]
    pub suspicion_ms: u64,
}

impl Default for MembershipSettings {
    fn default() -> Self {
        MembershipSettings {
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

/// The addresses and the key of membership, read and checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JoinParameters {
    /// The address at which this node listens.
    pub listen: SocketAddr,
    /// The address at which others reach it; `None` if that is `listen`.
    pub advertise: Option<SocketAddr>,
    /// The addresses at which others may be found.
    pub seeds: Vec<SocketAddr>,
    /// The key that all nodes share.
    pub key: Vec<u8>,
}

/// The values that a key may have.
struct AllowedRange {
    key: &'static str,
    value: u64,
    min: u64,
    max: u64,
}

impl MembershipSettings {
    /// The addresses and the key; `None` if membership is off. Reads the key's file.
    ///
    /// # Errors
    /// The first error, which names its key.
    pub fn join_parameters(&self) -> Result<Option<JoinParameters>, ConfigError> {
        let Some(listen) = &self.listen else { return Ok(None) };
        let listen = parse_address("listen", listen)?;
        let advertise = match &self.advertise {
            Some(advertise) => Some(parse_address("advertise", advertise)?),
            None => None,
        };
        let seeds = self.seeds.iter().enumerate();
        let seeds = seeds.map(|(index, seed)| parse_address(&format!("seeds[{index}]"), seed));
        let seeds = seeds.collect::<Result<Vec<_>, _>>()?;
        Ok(Some(JoinParameters { listen, advertise, seeds, key: self.read_key()? }))
    }

    fn read_key(&self) -> Result<Vec<u8>, ConfigError> {
        let path = self.key_file.as_ref().ok_or_else(|| error("key_file", "missing"))?;
        let key =
            std::fs::read(path).map_err(|cause| error("key_file", format!("{}: {cause}", path.display())))?;
        let key = key.trim_ascii().to_vec();
        if key.len() < MIN_KEY_BYTES {
            let problem = format!("a key of {} bytes, under {MIN_KEY_BYTES}", key.len());
            return Err(error("key_file", problem));
        }
        Ok(key)
    }

    /// All errors in the values.
    pub(crate) fn check(&self) -> Vec<ConfigError> {
        let mut errors: Vec<ConfigError> = self.join_parameters().err().into_iter().collect();
        errors.extend(self.allowed_ranges().iter().filter_map(AllowedRange::check));
        errors
    }

    fn allowed_ranges(&self) -> [AllowedRange; 4] {
        let period = self.probe_period_ms;
        let max_timeout = period.saturating_sub(1).max(5);
        [
            AllowedRange { key: "probe_period_ms", value: period, min: 50, max: 60_000 },
            AllowedRange { key: "probe_rtt_ms", value: self.probe_rtt_ms, min: 5, max: max_timeout },
            AllowedRange { key: "indirect", value: self.indirect as u64, min: 1, max: 16 },
            AllowedRange { key: "suspicion_ms", value: self.suspicion_ms, min: 100, max: 600_000 },
        ]
    }
}

impl AllowedRange {
    fn check(&self) -> Option<ConfigError> {
        let AllowedRange { key, value, min, max } = self;
        let is_allowed = (min..=max).contains(&value);
        (!is_allowed).then(|| error(key, format!("{value} is not in {min} to {max}")))
    }
}

fn error(key: &str, problem: impl std::fmt::Display) -> ConfigError {
    ConfigError::new(key, problem).within("membership")
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| error(key, format!("{text:?} is not an address with a port")))
}
