//! Reads a request's body from the downstream connection into the body store.

use crate::frontend::{Frontend, REQUEST_READ_TIMEOUT};
use futures_lite::future::or;
use sorrelhaven_body_store::{BLOCK_BYTES, BodyEnd, BodyWriter, StorageTier};
use sorrelhaven_wire::{BodyDecoder, Connection, WireError, timeout_at};
use std::time::{Duration, Instant};

/// A body that is not stored is streamed to a worker once this much of it has arrived. Guards against clients
/// that announce a large body and send little of it: each would occupy a worker that waits for the rest.
const MIN_STREAMED_BYTES: u64 = BLOCK_BYTES as u64 / 2;

/// A body that is being read.
pub struct BodyReader {
    /// How the rest of the body is framed.
    pub framing: BodyDecoder,
    /// Receives the body.
    pub writer: BodyWriter,
    /// When the body's first byte could arrive. Moved back by the time for which the node itself delays the
    /// client.
    pub read_started_at: Instant,
    /// When the client's timeout expires.
    pub client_deadline: Instant,
}

/// How far a body has been read.
pub enum BodyProgress {
    /// The body has been read to its end.
    Complete,
    /// The body is not stored: the rest is to be streamed to a worker as it arrives.
    NotStored(BodyReader),
    /// Reading has ended before the end of the body.
    Ended(BodyEnd),
}

/// The result of transferring one chunk.
enum Transfer {
    /// More of the body follows.
    More,
    /// The body is complete.
    Complete,
}

impl BodyReader {
    /// Reads the body until it is complete, or until it is not stored any longer and can be streamed.
    pub async fn read_while_stored(
        mut self,
        frontend: &Frontend,
        connection: &mut Connection,
    ) -> BodyProgress {
        let mut chunk = Vec::new();
        while !self.is_ready_to_stream() {
            match self.transfer_chunk(frontend, connection, &mut chunk).await {
                Ok(Transfer::More) => {}
                Ok(Transfer::Complete) => {
                    self.finish(connection).await;
                    return BodyProgress::Complete;
                }
                Err(end) => return BodyProgress::Ended(self.writer.end(end)),
            }
        }
        BodyProgress::NotStored(self)
    }

    /// Reads the rest of a body that is not stored, at the pace at which it is streamed to the worker.
    pub async fn stream_rest(mut self, frontend: &Frontend, connection: &mut Connection) -> BodyEnd {
        let mut chunk = Vec::new();
        loop {
            match self.transfer_chunk(frontend, connection, &mut chunk).await {
                Ok(Transfer::More) => {}
                Ok(Transfer::Complete) => {
                    self.finish(connection).await;
                    return BodyEnd::Streamed;
                }
                Err(end) => return self.writer.end(end),
            }
        }
    }

    /// Ends a body whose client has disconnected.
    pub fn client_disconnected(self) {
        self.writer.end(BodyEnd::ClientDisconnected);
    }

    fn is_ready_to_stream(&self) -> bool {
        self.writer.received_bytes() >= MIN_STREAMED_BYTES
            && self.writer.body().tier() == StorageTier::NotStored
    }

    async fn finish(self, connection: &mut Connection) {
        connection.shrink_buffer();
        self.writer.finish().await;
    }

    /// Moves the next chunk from the connection to the writer, with `chunk` as buffer.
    async fn transfer_chunk(
        &mut self,
        frontend: &Frontend,
        connection: &mut Connection,
        chunk: &mut Vec<u8>,
    ) -> Result<Transfer, BodyEnd> {
        chunk.clear();
        if !self.read_chunk(frontend, connection, chunk).await? {
            return Ok(Transfer::Complete);
        }
        for block in chunk.chunks(BLOCK_BYTES) {
            self.write_block(connection, block).await?;
        }
        if self.writer.received_bytes() >= BLOCK_BYTES as u64 {
            frontend.engine.tasks.yield_to_small_requests().await;
        }
        Ok(Transfer::More)
    }

    /// Reads the next chunk; false at the end of the body.
    async fn read_chunk(
        &mut self,
        frontend: &Frontend,
        connection: &mut Connection,
        chunk: &mut Vec<u8>,
    ) -> Result<bool, BodyEnd> {
        let bodies = &frontend.engine.bodies;
        let upload_deadline =
            bodies.upload_deadline(self.read_started_at, REQUEST_READ_TIMEOUT, self.writer.received_bytes());
        let deadline = upload_deadline.min(self.client_deadline);
        match timeout_at(deadline, connection.read_body_chunk(&mut self.framing, chunk)).await {
            None => Err(BodyEnd::TooSlow),
            Some(Ok(more)) => Ok(more),
            Some(Err(WireError::BodyTooLarge)) => Err(BodyEnd::TooLarge),
            Some(Err(_)) => Err(BodyEnd::ClientDisconnected),
        }
    }

    /// Passes a block to the writer, which may wait for room.
    async fn write_block(&mut self, connection: &Connection, block: &[u8]) -> Result<(), BodyEnd> {
        let waiting_since = Instant::now();
        // Nothing is read from the connection meanwhile, so a read cannot report that the client has
        // disconnected.
        let disconnected = async {
            connection.peer_closed().await;
            Err(BodyEnd::ClientDisconnected)
        };
        or(self.writer.push(block), disconnected).await?;
        self.extend_upload_deadline(waiting_since.elapsed());
        Ok(())
    }

    /// A delay that the node itself caused does not count as slowness of the client.
    fn extend_upload_deadline(&mut self, delay: Duration) {
        self.read_started_at += delay;
    }
}
