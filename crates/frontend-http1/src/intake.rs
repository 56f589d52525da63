//! A request's body from the client link into the spool.

use crate::front::Front;
use crate::response::Response;
use futures_lite::future::or;
use sorrelhaven_body_store::{BLOCK_BYTES, BodyEnd, BodyWriter, StorageTier};
use sorrelhaven_wire::{Body, Connection, WireError, timeout_at};
use std::time::{Duration, Instant};

/// A request must be whole so long after its first byte, the first one on a link so long after the accept; a long body
/// has the time that its length takes at the slowest pace. Guards against links that say nothing, or half of
/// something: they are owed a close within 3 s.
pub const WHOLE: Duration = Duration::from_millis(2_200);

/// So much of a body that is not kept must have come before a box is chosen for it, in bytes. Guards against clients
/// that say much and send little: each would hold a box that waits for it.
const FRONT: u64 = BLOCK_BYTES as u64 / 2;

/// A body on its way in.
pub struct Intake {
    /// How far the body has been read.
    pub body: Body,
    /// Where it goes.
    pub writer: BodyWriter,
    /// When its first byte could come.
    pub first: Instant,
    /// When its client gives up.
    pub due: Instant,
}

/// How far an intake has come.
pub enum Came {
    /// The body is whole.
    Whole,
    /// What comes from here on is not kept: it is to be passed on as it comes.
    Unkept(Intake),
    /// It has ended in some other way.
    Ended(BodyEnd),
}

impl Intake {
    /// Takes the body in until it is whole, or until it is not kept any more.
    pub async fn keep(self, front: &Front, link: &mut Connection) -> Came {
        self.run(front, link, true).await
    }

    /// Takes in the rest of a body that is not kept, as fast as it is passed on.
    pub async fn pass(self, front: &Front, link: &mut Connection) -> BodyEnd {
        match self.run(front, link, false).await {
            Came::Whole => BodyEnd::Streamed,
            Came::Ended(end) => end,
            Came::Unkept(intake) => intake.writer.end(BodyEnd::Refused),
        }
    }

    async fn run(mut self, front: &Front, link: &mut Connection, kept: bool) -> Came {
        let mut piece = Vec::new();
        loop {
            if kept && self.writer.received() >= FRONT && self.writer.body().tier() == StorageTier::NotStored
            {
                return Came::Unkept(self);
            }
            piece.clear();
            let slowest = front.engine.bodies.upload_deadline(self.first, WHOLE, self.writer.received());
            let more =
                match timeout_at(slowest.min(self.due), link.read_body_chunk(&mut self.body, &mut piece))
                    .await
                {
                    None => return Came::Ended(self.writer.end(BodyEnd::TooSlow)),
                    Some(Err(WireError::BodyTooLarge)) => {
                        return Came::Ended(self.writer.end(BodyEnd::TooLong));
                    }
                    Some(Err(_)) => return Came::Ended(self.writer.end(BodyEnd::ClientBroke)),
                    Some(Ok(more)) => more,
                };
            if !more {
                link.finish_exchange();
                self.writer.finish().await;
                return Came::Whole;
            }
            for part in piece.chunks(BLOCK_BYTES) {
                let before = Instant::now();
                // A client that leaves shows at no read while its body waits for room.
                let left = async {
                    link.peer_closed().await;
                    Err(BodyEnd::ClientBroke)
                };
                if let Err(end) = or(self.writer.push(part), left).await {
                    return Came::Ended(self.writer.end(end));
                }
                // What the node itself made it wait is not the client's slowness.
                self.first += before.elapsed();
            }
            if self.writer.received() >= BLOCK_BYTES as u64 {
                front.engine.tasks.turn().await;
            }
        }
    }
}

/// What a client is told by the protocol alone whose body has ended so; `None`: nothing, its link is closed. What the
/// node could not keep is no matter of the protocol: that goes to the module, which refuses it.
pub fn answer(end: BodyEnd) -> Option<Response> {
    match end {
        BodyEnd::TooLong => Some(Response::fault(413, "the body is too large")),
        BodyEnd::TooSlow => Some(Response::fault(408, "the request came too slowly")),
        BodyEnd::ClientBroke | BodyEnd::Refused | BodyEnd::NeverBegun => None,
        BodyEnd::InMemory | BodyEnd::InFile | BodyEnd::Streamed => None,
        BodyEnd::DiskFull | BodyEnd::DiskFailed | BodyEnd::DiskSlow | BodyEnd::BudgetGone => None,
    }
}

/// Whether the body could not be kept and such are refused.
pub fn refused(end: BodyEnd) -> bool {
    match end {
        BodyEnd::DiskFull | BodyEnd::DiskFailed | BodyEnd::DiskSlow | BodyEnd::BudgetGone => true,
        BodyEnd::InMemory | BodyEnd::InFile | BodyEnd::Streamed => false,
        BodyEnd::ClientBroke
        | BodyEnd::TooLong
        | BodyEnd::TooSlow
        | BodyEnd::Refused
        | BodyEnd::NeverBegun => false,
    }
}
