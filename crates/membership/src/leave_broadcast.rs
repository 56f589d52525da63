//! The leave broadcast, by which a member announces that it leaves the cluster. It is gossiped as a custom
//! broadcast of `foca`, whose own messages don't distinguish a member that has left from one that has died.

use crate::id::MemberId;
use foca::{BroadcastHandler, Invalidates};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::fmt;
use std::rc::Rc;

/// Leave notices that are remembered; beyond that the one with the lowest incarnation is dropped.
const MAX_NOTICES: usize = 4_096;
/// The length of an incarnation, and of at least one byte of address and name.
const MIN_NOTICE_BYTES: usize = size_of::<u64>() + 1;

/// The encoded identity of a member that leaves: the incarnation as 8 bytes, big-endian, then the address, a
/// space and the name as text.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct LeaveNotice(Vec<u8>);

impl LeaveNotice {
    pub(crate) fn new(id: &MemberId) -> LeaveNotice {
        let mut bytes = id.incarnation.to_be_bytes().to_vec();
        bytes.extend_from_slice(format!("{} {}", id.address, id.name).as_bytes());
        LeaveNotice(bytes)
    }

    pub(crate) fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl Invalidates for LeaveNotice {
    fn invalidates(&self, other: &Self) -> bool {
        self == other
    }
}

/// The leave notices that this member has received. Clones share one set: `foca` holds one as its broadcast
/// handler, the member reads another.
#[derive(Clone, Default)]
pub(crate) struct LeaveNotices(Rc<RefCell<BTreeSet<LeaveNotice>>>);

impl LeaveNotices {
    /// Whether this incarnation of a member has announced that it leaves.
    pub(crate) fn has_left(&self, id: &MemberId) -> bool {
        self.0.borrow().contains(&LeaveNotice::new(id))
    }
}

/// A received broadcast that is too short to be a leave notice.
#[derive(Debug)]
pub(crate) struct MalformedNotice;

impl fmt::Display for MalformedNotice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("leave notice is too short")
    }
}

impl std::error::Error for MalformedNotice {}

impl BroadcastHandler<MemberId> for LeaveNotices {
    type Key = LeaveNotice;
    type Error = MalformedNotice;

    fn receive_item(
        &mut self,
        data: &[u8],
        _sender: Option<&MemberId>,
    ) -> Result<Option<LeaveNotice>, MalformedNotice> {
        if data.len() < MIN_NOTICE_BYTES {
            return Err(MalformedNotice);
        }
        let mut notices = self.0.borrow_mut();
        if notices.len() >= MAX_NOTICES {
            notices.pop_first();
        }
        let notice = LeaveNotice(data.to_vec());
        let is_new = notices.insert(notice.clone());
        // Only a new notice is forwarded; otherwise members would gossip it to each other forever.
        Ok(is_new.then_some(notice))
    }
}
