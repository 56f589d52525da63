//! A member's protocol settings.

use crate::authentication::MAX_MESSAGE_BYTES;
use foca::{Config, PeriodicParams};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// How long members that died or left stay in the member table.
const FORGET_AFTER: Duration = Duration::from_secs(3_600);
/// Messages of this member that carry the same update, at most.
const MAX_TRANSMISSIONS: u8 = 12;
/// Probe periods between announcements to a live member.
const ANNOUNCE_PERIODS: u32 = 20;
/// Probe periods between announcements to dead members.
const ANNOUNCE_TO_DEAD_PERIODS: u32 = 4;
/// Dead members that receive each such announcement.
const ANNOUNCE_TO_DEAD_MEMBERS: usize = 2;
/// Gossip rounds per probe period.
const GOSSIP_ROUNDS_PER_PERIOD: u32 = 2;
/// Members that receive the gossip of one round.
const GOSSIP_FANOUT: usize = 3;

/// A member's protocol settings: shared key, seeds and SWIM timeouts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The key that all members share to sign datagrams, at least 16 bytes.
    pub key: Vec<u8>,
    /// Addresses of members to which this one announces itself to join the cluster.
    pub seeds: Vec<SocketAddr>,
    /// SWIM's protocol period: each member probes one other member in this time.
    pub probe_period: Duration,
    /// A direct probe without an ack after this time is followed by indirect probes.
    pub probe_timeout: Duration,
    /// The number of members that are asked for an indirect probe.
    pub indirect_probes: usize,
    /// How long a suspect has to refute the suspicion before it is declared dead; local health may multiply
    /// it.
    pub suspicion_timeout: Duration,
    /// How long members that died or left stay in the member table.
    pub forget_after: Duration,
}

impl Settings {
    /// The operators' default settings, without seeds. Among hundreds of members a death is known within 3 s.
    pub fn new(key: Vec<u8>) -> Settings {
        Settings::from_config(&sorrelhaven_config::MembershipSettings::default(), key)
    }

    /// The settings in the operators' file, except the seeds: `seeds` is empty.
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

    /// These settings as `foca`'s configuration.
    pub(crate) fn protocol_config(&self) -> Config {
        Config {
            probe_period: self.probe_period,
            probe_rtt: self.probe_timeout,
            num_indirect_probes: at_least_one(self.indirect_probes),
            max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: self.suspicion_timeout,
            remove_down_after: Some(self.forget_after),
            max_packet_size: at_least_one(MAX_MESSAGE_BYTES),
            // A live member that was declared dead is told so, and can rejoin with its next incarnation.
            notify_down_members: true,
            periodic_announce: periodic_params(ANNOUNCE_PERIODS * self.probe_period, 1),
            // After a partition has healed, each side considers the other dead and does not probe it: an
            // announcement to a dead member is needed to merge them.
            periodic_announce_to_down_members: periodic_params(
                ANNOUNCE_TO_DEAD_PERIODS * self.probe_period,
                ANNOUNCE_TO_DEAD_MEMBERS,
            ),
            periodic_gossip: periodic_params(self.probe_period / GOSSIP_ROUNDS_PER_PERIOD, GOSSIP_FANOUT),
        }
    }
}

fn at_least_one(number: usize) -> NonZeroUsize {
    NonZeroUsize::new(number).unwrap_or(NonZeroUsize::MIN)
}

fn periodic_params(frequency: Duration, members: usize) -> Option<PeriodicParams> {
    Some(PeriodicParams { frequency, num_members: at_least_one(members) })
}
