//! Decides by their versions which lists of discovery replace the one in force. Free of I/O: time is an argument.

use std::time::Instant;

/// What becomes of a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListVerdict {
    /// It replaces the list in force.
    Apply,
    /// It is older than the list in force, and its call had begun before that one arrived: a late answer.
    Late,
    /// It is older than the list in force, although its call has begun later. Discovery may have restarted its versions,
    /// or the response is from an old copy; the complete list must be fetched to distinguish them.
    Older,
}

/// The version of the list in force.
pub struct ListVersion {
    /// The version in force and when it came into force; `None` after a change of the address.
    in_force: Option<(u64, Instant)>,
    /// Whether the next call has to fetch the complete list.
    must_fetch: bool,
    /// Whether the last list was [`ListVerdict::Older`].
    seen_older: bool,
}

impl ListVersion {
    /// Creates the version of the configured list.
    pub fn new(version: u64, now: Instant) -> ListVersion {
        ListVersion { in_force: Some((version, now)), must_fetch: false, seen_older: false }
    }

    /// The version after which the next call requests changes; `None` if it fetches the complete list.
    pub fn asked_after(&self) -> Option<u64> {
        let (version, _) = self.in_force?;
        (!self.must_fetch).then_some(version)
    }

    /// Whether a call that has shown the list of this version lacks nothing of the one in force.
    pub fn is_current(&self, version: u64) -> bool {
        self.in_force.is_none_or(|(in_force, _)| version >= in_force)
    }

    /// Judges a list whose call has begun at `call_begun_at`. A complete list that is older than the one in force is
    /// applied if the list before it was older too: discovery counts anew.
    pub fn judge(
        &mut self,
        version: u64,
        complete: bool,
        call_begun_at: Instant,
        now: Instant,
    ) -> ListVerdict {
        if let Some((in_force, since)) = self.in_force
            && version < in_force
        {
            if call_begun_at < since {
                return ListVerdict::Late;
            }
            if !(complete && self.seen_older) {
                self.seen_older = true;
                self.must_fetch = true;
                return ListVerdict::Older;
            }
        }
        let since = match self.in_force {
            Some((in_force, since)) if in_force == version => since,
            _ => now,
        };
        *self = ListVersion { in_force: Some((version, since)), must_fetch: false, seen_older: false };
        ListVerdict::Apply
    }

    /// Has the complete list fetched, since discovery has sent something that is no list. The fetched one counts, unless
    /// it is the late answer to an earlier call.
    pub fn distrust(&mut self) {
        self.must_fetch = true;
        self.seen_older = true;
    }

    /// Removes the version: discovery's address has changed, and versions there may be unrelated.
    pub fn forget(&mut self) {
        *self = ListVersion { in_force: None, must_fetch: true, seen_older: false };
    }
}
