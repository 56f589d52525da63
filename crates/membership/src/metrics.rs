//! The counters of a member.

/// Counts of events since the member's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Direct probes started, one per probe period; repetitions and indirect probes are not counted.
    pub probes: u64,
    /// Suspicions raised by this member's own probes; each failed probe of a member that is suspect already
    /// counts again. Suspicions received by gossip are not counted.
    pub suspicions: u64,
    /// Suspicions, raised by any member, that were refuted. One that begins and ends between two updates of
    /// the member table is not counted.
    pub refutations: u64,
    /// How often this member was declared dead and rejoined with its next incarnation.
    pub declared_dead: u64,
    /// How often this member's process was paused for longer than a probe period.
    pub pauses: u64,
    /// Datagrams sent, whether or not they arrived.
    pub datagrams_sent: u64,
    /// Bytes of the datagrams sent, without the headers of UDP and IP.
    pub bytes_sent: u64,
    /// Datagrams dropped as shorter or longer than any valid one, or of another version.
    pub malformed: u64,
    /// Datagrams dropped because they were not signed with the shared key.
    pub unauthenticated: u64,
    /// Datagrams dropped because they were received before, or too old for the replay filter to tell.
    pub replayed: u64,
    /// Calls of `foca` that failed: as a rule because it rejected a datagram that was signed with the shared
    /// key.
    pub protocol_errors: u64,
}
