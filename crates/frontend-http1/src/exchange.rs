//! One exchange on a downstream connection: reads a request and determines the response to it.

use crate::frontend::Frontend;
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
/// Returns `None` if the connection is to be closed without a response, as after the client has disconnected.
pub async fn serve_request(
    frontend: &Frontend,
    connection: &mut Connection,
    read_started_at: Instant,
) -> Option<Exchange> {
    let parsed =
        frontend.within_read_timeout(read_started_at, ParsedRequest::read(frontend, connection)).await;
    let ParsedRequest { draft, body_decoder, expects_continue, keeps_alive } = match parsed {
        None => return Some(Exchange::closing(Response::request_timeout())),
        Some(Err(error)) => return Response::from_wire_error(error).map(Exchange::closing),
        Some(Ok(request)) => request,
    };
    match draft {
        Ok(draft) => {
            let job = IncomingJob { draft, body_decoder, expects_continue, read_started_at };
            let exchange = job.serve(frontend, connection).await?;
            Some(Exchange { reusable: keeps_alive && exchange.reusable, ..exchange })
        }
        Err(response) => {
            let discarded = discard_body(connection, body_decoder, expects_continue);
            let discarded = frontend.within_read_timeout(read_started_at, discarded).await;
            respond_without_job(response, discarded, keeps_alive)
        }
    }
}

/// The exchange for a request that is no job. `discarded` is the result of reading past the request's body,
/// `None` after a timeout; `response` is sent only if that succeeded.
fn respond_without_job(
    response: Response,
    discarded: Option<Result<(), WireError>>,
    keeps_alive: bool,
) -> Option<Exchange> {
    match discarded {
        None => Some(Exchange::closing(Response::request_timeout())),
        Some(Err(error)) => Response::from_wire_error(error).map(Exchange::closing),
        Some(Ok(())) => Some(Exchange { response, reusable: keeps_alive, submitted_job: false }),
    }
}

/// Reads and discards the body of a request that is no job, so that the connection can be used for the next
/// request.
async fn discard_body(
    connection: &mut Connection,
    body_decoder: BodyDecoder,
    expects_continue: bool,
) -> Result<(), WireError> {
    if matches!(body_decoder, BodyDecoder::Length(length) if length > MAX_BODY_BYTES) {
        return Err(WireError::BodyTooLarge);
    }
    if expects_continue {
        connection.write(CONTINUE).await?;
    }
    connection.read_body(body_decoder).await.map(drop)
}
