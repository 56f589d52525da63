//! Writes the head and body of one attempt's request to an upstream connection.

use crate::attempt_end::AttemptEnd;
use crate::attempt_spec::AttemptSpec;
use crate::job::{RequestMessage, RequestPayload};
use crate::response_reader::ResponseReader;
use crate::upstreams::Upstreams;
use async_channel::Sender;
use sorrelhaven_body_store::BLOCK_BYTES;
use sorrelhaven_wire::{Connection, timeout_at};
use std::time::{Duration, Instant};

/// After a write error, how long to wait for a response that the worker may have sent before it closed the
/// connection.
const EARLY_RESPONSE_TIMEOUT: Duration = Duration::from_millis(50);

/// Writes a request on behalf of one attempt.
pub struct RequestWriter<'a> {
    /// Its executor runs other tasks between the blocks of large bodies.
    pub upstreams: &'a Upstreams,
    /// The request to write.
    pub payload: &'a RequestPayload,
    /// The parameters of the attempt.
    pub spec: &'a AttemptSpec,
    /// Reports to the request that a body that can be read only once has been consumed.
    pub messages: &'a Sender<RequestMessage>,
}

impl RequestWriter<'_> {
    /// Writes the head, then the body as it arrives from the client. `host` is the value of the `Host`
    /// header.
    ///
    /// The head states how long the client still waits, so it is built only when the first chunk of the body
    /// is available and the head can be written at once.
    ///
    /// # Errors
    ///
    /// How the attempt ends if the request could not be written completely. If the body ends early, the
    /// message stays incomplete, so the worker does not accept it as a valid request.
    pub async fn write(&self, host: &str, connection: &mut Connection) -> Result<(), AttemptEnd> {
        let mut body = self.payload.body.reader();
        let length = self.payload.body.length();
        let mut chunk = Vec::new();
        let mut output = Vec::new();
        let mut body_bytes = 0;
        let mut unyielded_bytes = 0;
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
            // Once the last byte is written, the worker may run the job, so the attempt must not end as
            // unsent. Returning here skips the wait below and the checks of another iteration.
            if length == Some(body_bytes) {
                return Ok(());
            }
            unyielded_bytes += output.len();
            if unyielded_bytes >= BLOCK_BYTES {
                unyielded_bytes = 0;
                // Large bodies must not delay small requests.
                self.upstreams.tasks.yield_to_small_requests().await;
            }
            output.clear();
        }
        Ok(())
    }

    /// How the attempt ends after a write error, before the last byte was written. A worker may reject a
    /// large request after reading only its head, and close the connection.
    async fn end_after_write_error(&self, connection: &mut Connection) -> AttemptEnd {
        let limit = self.spec.deadline.min(Instant::now() + EARLY_RESPONSE_TIMEOUT);
        match timeout_at(limit, ResponseReader::read_head(connection)).await {
            Some(Ok(response)) if response.is_rejection() => AttemptEnd::Rejected,
            _ => AttemptEnd::ResetBeforeSent,
        }
    }
}

/// Moves a chunk of the body to `output`: unchanged if the head states the body's length, otherwise in the
/// chunked transfer coding. `has_more`: the body continues after this chunk.
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
