//! The operators' settings for cluster membership.

use crate::error::ConfigError;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

/// The least length of the shared key.
const MIN_KEY_BYTES: usize = 16;

/// The membership of the cluster's nodes, over UDP.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
// `rename` keeps the title in the JSON schema, `expecting` the text of errors about a value of another type.
#[serde(rename = "Membership", expecting = "struct Membership", default, deny_unknown_fields)]
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

/// What a node needs to join the cluster: the addresses and the key of [`MembershipSettings`], read and
/// checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JoinParameters {
    /// The address at which this node listens.
    pub listen: SocketAddr,
    /// The address at which other nodes reach this node; `None` if that is `listen`.
    pub advertise: Option<SocketAddr>,
    /// Addresses of other nodes, through which this node joins the cluster.
    pub seeds: Vec<SocketAddr>,
    /// The key that all nodes share, without white space around it.
    pub key: Vec<u8>,
}

/// A value, and the range that it must be in.
struct RangeCheck {
    key: &'static str,
    value: u64,
    min: u64,
    max: u64,
}

impl MembershipSettings {
    /// Parses the addresses, and reads the key from its file. Returns `None` if membership is off.
    ///
    /// # Errors
    /// An address is malformed, or the key's file is not set, cannot be read, or holds too short a key. The
    /// error is the first one found, and names the key at fault.
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
        let path = self.key_file.as_ref().ok_or_else(|| membership_error("key_file", "missing"))?;
        let key = std::fs::read(path)
            .map_err(|cause| membership_error("key_file", format!("{}: {cause}", path.display())))?;
        let key = key.trim_ascii().to_vec();
        if key.len() < MIN_KEY_BYTES {
            let problem = format!("a key of {} bytes, under {MIN_KEY_BYTES}", key.len());
            return Err(membership_error("key_file", problem));
        }
        Ok(key)
    }

    /// Returns the first error in the addresses and the key, and all values that are out of their range.
    pub(crate) fn check(&self) -> Vec<ConfigError> {
        let mut errors: Vec<ConfigError> = self.join_parameters().err().into_iter().collect();
        errors.extend(self.range_checks().iter().filter_map(RangeCheck::check));
        errors
    }

    fn range_checks(&self) -> [RangeCheck; 4] {
        let period = self.probe_period_ms;
        let max_timeout = period.saturating_sub(1).max(5);
        [
            RangeCheck { key: "probe_period_ms", value: period, min: 50, max: 60_000 },
            RangeCheck { key: "probe_rtt_ms", value: self.probe_rtt_ms, min: 5, max: max_timeout },
            RangeCheck { key: "indirect", value: self.indirect as u64, min: 1, max: 16 },
            RangeCheck { key: "suspicion_ms", value: self.suspicion_ms, min: 100, max: 600_000 },
        ]
    }
}

impl RangeCheck {
    fn check(&self) -> Option<ConfigError> {
        let RangeCheck { key, value, min, max } = self;
        let is_allowed = (min..=max).contains(&value);
        (!is_allowed).then(|| membership_error(key, format!("{value} is not in {min} to {max}")))
    }
}

fn membership_error(key: &str, problem: impl std::fmt::Display) -> ConfigError {
    ConfigError::new(key, problem).within("membership")
}

fn parse_address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| membership_error(key, format!("{text:?} is not an address with a port")))
}
