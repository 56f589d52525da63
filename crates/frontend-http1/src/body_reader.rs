//! Reads a request's body from the downstream connection into the body store.

use crate::frontend::{Frontend, REQUEST_READ_TIMEOUT};
use futures_lite::future::or;
use sorrelhaven_body_store::{BLOCK_BYTES, BodyEnd, BodyWriter, StorageTier};
use sorrelhaven_wire::{BodyDecoder, Connection, WireError, timeout_at};
use std::time::{Duration, Instant};

/// The bytes of a body that must have arrived before it is streamed to a worker, if it is not stored. Guards
/// against clients that declare a large body and send little of it: each would occupy a worker that waits for
/// the rest.
const MIN_STREAMED_BYTES: u64 = BLOCK_BYTES as u64 / 2;

/// Reads one body from its connection and passes it to the body store.
pub struct BodyReader {
    /// Decodes the rest of the body, by its declared length or in the chunked coding.
    pub body_decoder: BodyDecoder,
    /// Passes the body to the body store.
    pub writer: BodyWriter,
    /// The time from which the upload deadline counts: when reading the request started, plus the time for
    /// which the node itself has delayed the client.
    pub read_started_at: Instant,
    /// The deadline of the request's answer, after which the body is not needed.
    pub client_deadline: Instant,
}

/// The result of reading a body until it is complete or can be streamed.
pub enum BodyProgress {
    /// The body has been read to its end.
    Complete,
    /// The body is not stored, and enough of it has arrived: the rest is to be streamed to a worker.
    ReadyToStream(BodyReader),
    /// Reading has stopped before the end of the body, for this reason.
    Incomplete(BodyEnd),
    /// Reading has stopped because the connection's descriptor is needed for another connection.
    Evicted,
}

/// Whether a body continues after a transferred chunk.
enum Transfer {
    More,
    Complete,
}

impl BodyReader {
    /// Reads the body until it is complete, or until it can be streamed because it is not stored and
    /// [`MIN_STREAMED_BYTES`] of it have arrived.
    pub async fn read_until_streamable(
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
                Err(end) => return BodyProgress::Incomplete(self.writer.end(end)),
            }
        }
        BodyProgress::ReadyToStream(self)
    }

    /// Reads the rest of a body that is not stored, no faster than it is sent to the worker. Returns how the
    /// upload ended.
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

    /// Ends the upload because the client has disconnected.
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

    /// Reads the next chunk from the connection and passes it to the writer. `chunk` is the buffer, which is
    /// reused from call to call.
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

    /// Reads the next chunk; returns false at the end of the body.
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
        match timeout_at(deadline, connection.read_body_chunk(&mut self.body_decoder, chunk)).await {
            None => Err(BodyEnd::TooSlow),
            Some(Ok(more)) => Ok(more),
            Some(Err(WireError::BodyTooLarge)) => Err(BodyEnd::TooLarge),
            Some(Err(_)) => Err(BodyEnd::ClientDisconnected),
        }
    }

    /// Passes a block to the writer, which may wait for the disk or for the worker to which the body is
    /// streamed.
    async fn write_block(&mut self, connection: &Connection, block: &[u8]) -> Result<(), BodyEnd> {
        let waiting_since = Instant::now();
        // Nothing is read from the connection during this wait, so no read reports that the client has
        // disconnected.
        let disconnected = async {
            connection.peer_closed().await;
            Err(BodyEnd::ClientDisconnected)
        };
        or(self.writer.push(block), disconnected).await?;
        self.extend_upload_deadline(waiting_since.elapsed());
        Ok(())
    }

    /// Moves the upload deadline by a `delay` that the node itself caused: it must not count against the
    /// client.
    fn extend_upload_deadline(&mut self, delay: Duration) {
        self.read_started_at += delay;
    }
}
