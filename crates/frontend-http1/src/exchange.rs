//! One exchange on a downstream connection: reads a request and determines the response to it.

use crate::close_reason::CloseReason;
use crate::frontend::{Frontend, ReadInterrupt};
use crate::incomplete_eviction::IncompleteEviction;
use crate::job_exchange::IncomingJob;
use crate::parsed_request::ParsedRequest;
use crate::response::Response;
use sorrelhaven_wire::{BodyDecoder, Connection, MAX_BODY_BYTES, WireError};
use std::time::Instant;

/// The interim response that tells a client which sent `Expect: 100-continue` to send its body.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// The response to one request, and whether its connection can be used for another one.
pub struct Exchange {
    /// The response to be sent.
    pub response: Response,
    /// Whether the connection can be used for another request: this one was read to its end, and the client
    /// keeps the connection open.
    pub reusable: bool,
    /// Whether the request was submitted to the engine as a job.
    pub submitted_job: bool,
}

impl Exchange {
    /// An exchange in which no job was submitted, and after which the connection is closed.
    pub fn closing(response: Response) -> Exchange {
        Exchange { response, reusable: false, submitted_job: false }
    }
}

/// Reads one request and determines the response to it. The read timeout counts from `read_started_at`.
/// `has_submitted_job`: an earlier request on the connection was submitted as a job.
///
/// # Errors
/// Why the connection is to be closed without a response, as after the client has disconnected.
pub async fn serve_request(
    frontend: &Frontend,
    connection: &mut Connection,
    read_started_at: Instant,
    has_submitted_job: bool,
) -> Result<Exchange, CloseReason> {
    let mut eviction = IncompleteEviction::new(frontend, connection, has_submitted_job);
    let read = ParsedRequest::read(frontend, connection);
    let parsed = frontend.within_read_timeout(read_started_at, &mut eviction, read).await;
    let ParsedRequest { draft, body_decoder, expects_continue, keeps_alive } = match parsed {
        Err(interrupt) => return Ok(respond_to_interrupt(interrupt)),
        Ok(Err(error)) => return respond_to_wire_error(error),
        Ok(Ok(request)) => request,
    };
    match draft {
        Ok(draft) => {
            let job = IncomingJob { draft, body_decoder, expects_continue, read_started_at };
            let exchange = job.serve(frontend, connection, eviction).await?;
            Ok(Exchange { reusable: keeps_alive && exchange.reusable, ..exchange })
        }
        Err(response) => {
            let discard = discard_body(connection, body_decoder, expects_continue);
            match frontend.within_read_timeout(read_started_at, &mut eviction, discard).await {
                Err(interrupt) => Ok(respond_to_interrupt(interrupt)),
                Ok(Err(error)) => respond_to_wire_error(error),
                Ok(Ok(())) => Ok(Exchange { response, reusable: keeps_alive, submitted_job: false }),
            }
        }
    }
}

/// The exchange for a request that was not received completely.
fn respond_to_interrupt(interrupt: ReadInterrupt) -> Exchange {
    Exchange::closing(match interrupt {
        ReadInterrupt::TimedOut => Response::request_timeout(),
        ReadInterrupt::Evicted => Response::overloaded(),
    })
}

/// The exchange for a request that could not be read.
fn respond_to_wire_error(error: WireError) -> Result<Exchange, CloseReason> {
    Response::from_wire_error(error).map(Exchange::closing).ok_or(CloseReason::ClientClosedInRequest)
}

/// Reads and discards the body of a request that is no job, so that the connection can be used for the next
/// request.
async fn discard_body(
    connection: &mut Connection,
    body_decoder: BodyDecoder,
    expects_continue: bool,
) -> Result<(), WireError> {
    if expects_continue && !matches!(body_decoder, BodyDecoder::Length(length) if length > MAX_BODY_BYTES) {
        connection.write(CONTINUE).await?;
    }
    connection.discard_body(body_decoder).await
}
