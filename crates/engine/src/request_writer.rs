//! Writes one attempt's request, head and body, to an upstream connection.

use crate::attempt_end::AttemptEnd;
use crate::attempt_spec::AttemptSpec;
use crate::job::{RequestMessage, RequestPayload};
use crate::response_reader::ResponseReader;
use crate::upstreams::Upstreams;
use async_channel::Sender;
use sorrelhaven_body_store::BLOCK_BYTES;
use sorrelhaven_wire::{Connection, timeout_at};
use std::time::{Duration, Instant};

/// How long to wait for a response that the worker may have written before it closed the connection.
const EARLY_RESPONSE_TIMEOUT: Duration = Duration::from_millis(50);

/// Writes a request on behalf of one attempt.
pub struct RequestWriter<'a> {
    /// For turns between the blocks of large bodies.
    pub upstreams: &'a Upstreams,
    /// What is sent.
    pub payload: &'a RequestPayload,
    /// The attempt's limits.
    pub spec: &'a AttemptSpec,
    /// The request's messages, which report a body that can be read only once.
    pub messages: &'a Sender<RequestMessage>,
}

impl RequestWriter<'_> {
    /// Writes the head, and the body as it comes in. `host` is the value of the `Host` header.
    ///
    /// The head states how long the client still waits, so it is made only once the first chunk of the body
    /// is there and nothing else is waited for.
    ///
    /// # Errors
    ///
    /// How the attempt ends where the request could not be sent completely. A body that breaks off leaves the
    /// message incomplete, so the worker never takes it for a valid request.
    pub async fn write(&self, host: &str, connection: &mut Connection) -> Result<(), AttemptEnd> {
        let mut body = self.payload.body.reader();
        let length = self.payload.body.length();
        let mut chunk = Vec::new();
        let mut output = Vec::new();
        let mut body_bytes = 0;
        let mut head_built = false;
        let mut consumption_reported = false;
        let mut has_more = true;
        while has_more {
            has_more = body.read_next(&mut chunk).await.map_err(AttemptEnd::BodyUnavailable)?;
            self.spec.check_sendable().await?;
            if !consumption_reported && body.is_consumer() {
                consumption_reported = true;
                let _ = self.messages.try_send(RequestMessage::BodyConsumed);
            }
            if !head_built {
                head_built = true;
                output = self.payload.head(host, self.spec.deadline, length);
            }
            body_bytes += chunk.len() as u64;
            append_body_chunk(&mut output, &mut chunk, length, has_more);
            if !output.is_empty() && connection.write(&output).await.is_err() {
                return Err(self.end_after_write_error(connection).await);
            }
            // From the last byte on the worker may run the request: nothing below may end the attempt as
            // unsent.
            if length == Some(body_bytes) {
                return Ok(());
            }
            if output.len() >= BLOCK_BYTES {
                // Large bodies must not keep small jobs waiting.
                self.upstreams.tasks.yield_to_small_requests().await;
            }
            output.clear();
        }
        Ok(())
    }

    /// How an attempt ends whose connection broke before the last byte. A worker may reject a large request
    /// by its head alone and close the connection.
    async fn end_after_write_error(&self, connection: &mut Connection) -> AttemptEnd {
        let limit = self.spec.deadline.min(Instant::now() + EARLY_RESPONSE_TIMEOUT);
        match timeout_at(limit, ResponseReader::read_head(connection)).await {
            Some(Ok(response)) if response.is_rejection() => AttemptEnd::Rejected,
            _ => AttemptEnd::ResetBeforeSent,
        }
    }
}

/// Moves a chunk of the body to `output`: unchanged where the head states the body's length, else in the
/// chunked coding. `has_more`: the body goes on after this chunk.
fn append_body_chunk(output: &mut Vec<u8>, chunk: &mut Vec<u8>, length: Option<u64>, has_more: bool) {
    if length.is_some() {
        output.append(chunk);
        return;
    }
    if !chunk.is_empty() {
        output.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        output.append(chunk);
        output.extend_from_slice(b"\r\n");
    }
    if !has_more {
        output.extend_from_slice(b"0\r\n\r\n");
    }
}
