//! The counters of a member.

/// What a member has counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Probes made.
    pub probes: u64,
    /// Members that came under suspicion, by this member's own probes or by the messages of others.
    pub suspicions: u64,
    /// Suspects that turned out to be alive.
    pub refutations: u64,
    /// Times that this member was declared dead and continued as its next incarnation.
    pub declared_dead: u64,
    /// Times that this member was paused for longer than a probe period.
    pub pauses: u64,
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Bytes in the datagrams sent.
    pub bytes_sent: u64,
    /// Datagrams dropped: too short, too long, or of another version.
    pub malformed: u64,
    /// Datagrams dropped: not signed with the key.
    pub unauthenticated: u64,
    /// Datagrams dropped: received before.
    pub replayed: u64,
    /// Datagrams that were signed with the key but that the protocol rejected.
    pub protocol_errors: u64,
}
