//! One request on a downstream connection and its response.

use crate::frontend::Frontend;
use crate::job_exchange::IncomingJob;
use crate::parsed_request::ParsedRequest;
use crate::response::Response;
use sorrelhaven_wire::{BodyDecoder, Connection, MAX_BODY_BYTES, WireError};
use std::time::Instant;

/// The interim response to a client that waits before it sends its body.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// The outcome of one request.
pub struct Exchange {
    /// The response to be sent.
    pub response: Response,
    /// The connection can carry another request: this one was read to its end, and the client keeps the
    /// connection open.
    pub reusable: bool,
    /// The request was passed to the engine as a job.
    pub carried_job: bool,
}

impl Exchange {
    /// The outcome of a request that the front end answers itself, on a connection that cannot be used again.
    pub fn closing(response: Response) -> Exchange {
        Exchange { response, reusable: false, carried_job: false }
    }
}

/// Reads one request, whose first byte could arrive at `read_started_at`, and obtains its response. `None`
/// where the client has disconnected.
pub async fn serve_request(
    frontend: &Frontend,
    connection: &mut Connection,
    read_started_at: Instant,
) -> Option<Exchange> {
    let parsed =
        frontend.within_read_timeout(read_started_at, ParsedRequest::read(frontend, connection)).await;
    let ParsedRequest { draft, body, expects_continue, keeps_alive } = match parsed {
        None => return Some(Exchange::closing(Response::request_timeout())),
        Some(Err(error)) => return Response::from_wire_error(error).map(Exchange::closing),
        Some(Ok(request)) => request,
    };
    match draft {
        Ok(draft) => {
            let job = IncomingJob { draft, framing: body, expects_continue, read_started_at };
            let exchange = job.serve(frontend, connection).await?;
            Some(Exchange { reusable: keeps_alive && exchange.reusable, ..exchange })
        }
        Err(response) => {
            let discarded = discard_body(connection, body, expects_continue);
            let discarded = frontend.within_read_timeout(read_started_at, discarded).await;
            answer_without_job(response, discarded, keeps_alive)
        }
    }
}

/// The outcome of a request that the front end answers itself, by how reading past its body ended.
fn answer_without_job(
    response: Response,
    discarded: Option<Result<(), WireError>>,
    keeps_alive: bool,
) -> Option<Exchange> {
    match discarded {
        None => Some(Exchange::closing(Response::request_timeout())),
        Some(Err(error)) => Response::from_wire_error(error).map(Exchange::closing),
        Some(Ok(())) => Some(Exchange { response, reusable: keeps_alive, carried_job: false }),
    }
}

/// Reads past the body of a request that the front end answers itself.
async fn discard_body(
    connection: &mut Connection,
    body: BodyDecoder,
    expects_continue: bool,
) -> Result<(), WireError> {
    if matches!(body, BodyDecoder::Length(length) if length > MAX_BODY_BYTES) {
        return Err(WireError::BodyTooLarge);
    }
    if expects_continue {
        connection.write(CONTINUE).await?;
    }
    connection.read_body(body).await.map(drop)
}
