//! How a member behaves.

use crate::authentication::MAX_MESSAGE_BYTES;
use foca::{Config, PeriodicParams};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// How long a member that has died or left is remembered.
const FORGET_AFTER: Duration = Duration::from_secs(3_600);
/// How many messages carry the same update.
const MAX_TRANSMISSIONS: u8 = 12;
/// Probe periods between announcements to a member that is alive.
const ANNOUNCE_PERIODS: u32 = 20;
/// Probe periods between announcements to members that are dead.
const ANNOUNCE_TO_DEAD_PERIODS: u32 = 4;
/// Dead members that each such announcement goes to.
const ANNOUNCE_TO_DEAD_MEMBERS: usize = 2;
/// Rounds of gossip in a probe period.
const GOSSIPS_PER_PERIOD: u32 = 2;
/// Members that each round of gossip goes to.
const GOSSIP_MEMBERS: usize = 3;

/// How a member behaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The key that all members share, at least 16 bytes.
    pub key: Vec<u8>,
    /// The addresses at which other members may be found at first.
    pub seeds: Vec<SocketAddr>,
    /// Each member probes one other member in this time.
    pub probe_period: Duration,
    /// A probe that is not answered in this time is repeated through other members.
    pub probe_timeout: Duration,
    /// The number of members through which it is repeated.
    pub indirect_probes: usize,
    /// How long a suspect has to refute the suspicion before it is declared dead.
    pub suspicion_timeout: Duration,
    /// How long members that have died or left are remembered.
    pub forget_after: Duration,
}

impl Settings {
    /// The operators' defaults: among hundreds of members a death is known within 3 s.
    pub fn new(key: Vec<u8>) -> Settings {
        Settings::from_config(&sorrelhaven_config::MembershipSettings::default(), key)
    }

    /// The settings of the operators' file, without seeds.
    pub fn from_config(settings: &sorrelhaven_config::MembershipSettings, key: Vec<u8>) -> Settings {
        Settings {
            key,
            seeds: Vec::new(),
            probe_period: Duration::from_millis(settings.probe_period_ms),
            probe_timeout: Duration::from_millis(settings.probe_rtt_ms),
            indirect_probes: settings.indirect,
            suspicion_timeout: Duration::from_millis(settings.suspicion_ms),
            forget_after: FORGET_AFTER,
        }
    }

    /// The same in the terms of the protocol's implementation.
    pub(crate) fn protocol_config(&self) -> Config {
        Config {
            probe_period: self.probe_period,
            probe_rtt: self.probe_timeout,
            num_indirect_probes: at_least_one(self.indirect_probes),
            max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: self.suspicion_timeout,
            remove_down_after: Some(self.forget_after),
            max_packet_size: at_least_one(MAX_MESSAGE_BYTES),
            // A member that was declared dead is told so, and can continue as its next incarnation.
            notify_down_members: true,
            periodic_announce: periodically(ANNOUNCE_PERIODS * self.probe_period, 1),
            // Both sides of a partition that has healed have declared each other dead: one of them has to
            // ask.
            periodic_announce_to_down_members: periodically(
                ANNOUNCE_TO_DEAD_PERIODS * self.probe_period,
                ANNOUNCE_TO_DEAD_MEMBERS,
            ),
            periodic_gossip: periodically(self.probe_period / GOSSIPS_PER_PERIOD, GOSSIP_MEMBERS),
        }
    }
}

fn at_least_one(number: usize) -> NonZeroUsize {
    NonZeroUsize::new(number).unwrap_or(NonZeroUsize::MIN)
}

fn periodically(frequency: Duration, members: usize) -> Option<PeriodicParams> {
    Some(PeriodicParams { frequency, num_members: at_least_one(members) })
}
