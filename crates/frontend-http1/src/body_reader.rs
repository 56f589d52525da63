//! Reads a request's body from the downstream connection into the body store.

use crate::frontend::{Frontend, REQUEST_READ_TIMEOUT};
use async_io::Timer;
use futures_lite::future::or;
use sorrelhaven_body_store::{BLOCK_BYTES, BodyEnd, BodyWriter, StorageTier};
use sorrelhaven_wire::{BodyDecoder, Connection, PIECE_BYTES, WireError, timeout_at};
use std::time::{Duration, Instant};

/// The bytes of a body that must have arrived before it is streamed to a worker, if it is not stored: as many as
/// the body store keeps unread. Guards against clients that declare a large body and stop half way: each would
/// occupy a worker that waits for the rest.
const MIN_STREAMED_BYTES: u64 = BLOCK_BYTES as u64;

/// Reads one body from its connection and passes it to the body store.
pub struct BodyReader {
    /// Decodes the rest of the body, by its declared length or in the chunked coding.
    body_decoder: BodyDecoder,
    /// Passes the body to the body store.
    writer: BodyWriter,
    /// The time from which the upload deadline counts: when reading the request started, plus the time for
    /// which the node itself has delayed the client.
    read_started_at: Instant,
    /// The deadline of the request's answer, after which the body is not needed.
    client_deadline: Instant,
    /// The bytes that were transferred since small requests were last given a turn.
    unyielded_bytes: usize,
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
    /// A reader that decodes the body with `body_decoder` and passes it to `writer`. The upload deadline counts from
    /// `read_started_at`; after `client_deadline` the body is not needed.
    pub fn new(
        body_decoder: BodyDecoder,
        writer: BodyWriter,
        read_started_at: Instant,
        client_deadline: Instant,
    ) -> BodyReader {
        BodyReader { body_decoder, writer, read_started_at, client_deadline, unyielded_bytes: 0 }
    }

    /// Reads the body until it is complete, or until it can be streamed because it is not stored and
    /// [`MIN_STREAMED_BYTES`] of it have arrived.
    pub async fn read_until_streamable(
        mut self,
        frontend: &Frontend,
        connection: &mut Connection,
    ) -> BodyProgress {
        while !self.is_ready_to_stream() {
            match self.transfer_chunk(frontend, connection).await {
                Ok(Transfer::More) => {}
                Ok(Transfer::Complete) => {
                    self.writer.finish().await;
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
        loop {
            match self.transfer_chunk(frontend, connection).await {
                Ok(Transfer::More) => {}
                Ok(Transfer::Complete) => {
                    self.writer.finish().await;
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

    /// Reads the next chunk from the connection and passes it to the writer. The chunk is not kept while the next
    /// one is awaited, so that a client that stops half way occupies no memory but that of the body store.
    async fn transfer_chunk(
        &mut self,
        frontend: &Frontend,
        connection: &mut Connection,
    ) -> Result<Transfer, BodyEnd> {
        let mut chunk = Vec::new();
        if !self.read_chunk(frontend, connection, &mut chunk).await? {
            return Ok(Transfer::Complete);
        }
        for block in chunk.chunks(BLOCK_BYTES) {
            self.write_block(connection, block).await?;
        }
        self.unyielded_bytes += chunk.len();
        drop(chunk);
        if self.unyielded_bytes >= BLOCK_BYTES {
            self.unyielded_bytes = 0;
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
        let max_bytes = self.max_chunk_bytes();
        let read = connection.read_body_chunk(&mut self.body_decoder, chunk, max_bytes);
        match timeout_at(deadline, read).await {
            None => Err(BodyEnd::TooSlow),
            Some(Ok(more)) => Ok(more),
            Some(Err(WireError::BodyTooLarge)) => Err(BodyEnd::TooLarge),
            Some(Err(_)) => Err(BodyEnd::ClientDisconnected),
        }
    }

    /// The greatest length of the next chunk: small if the chunk may be held while the writer waits.
    fn max_chunk_bytes(&self) -> usize {
        match self.writer.body().tier() {
            StorageTier::Memory => BLOCK_BYTES,
            StorageTier::File | StorageTier::NotStored => PIECE_BYTES,
        }
    }

    /// Passes a block to the writer, which may wait for the disk or for the worker to which the body is
    /// streamed. The wait for the disk ends at the client's deadline.
    async fn write_block(&mut self, connection: &Connection, block: &[u8]) -> Result<(), BodyEnd> {
        let waiting_since = Instant::now();
        // Nothing is read from the connection during this wait, so no read reports that the client has
        // disconnected.
        let disconnected = async {
            connection.peer_closed().await;
            Err(BodyEnd::ClientDisconnected)
        };
        // A body that is streamed belongs to a request that the engine answers at its deadline.
        let is_stored = self.writer.body().tier() != StorageTier::NotStored;
        let deadline = is_stored.then_some(self.client_deadline);
        let late = async {
            match deadline {
                Some(deadline) => Timer::at(deadline).await,
                None => std::future::pending().await,
            };
            Err(BodyEnd::TooSlow)
        };
        or(self.writer.push(block), or(disconnected, late)).await?;
        self.extend_upload_deadline(waiting_since.elapsed());
        Ok(())
    }

    /// Moves the upload deadline by a `delay` that the node itself caused: it must not count against the
    /// client.
    fn extend_upload_deadline(&mut self, delay: Duration) {
        self.read_started_at += delay;
    }
}
