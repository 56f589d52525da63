//! HTTP/1.1 responses and their mapping from the engine's answers and from errors.

use sorrelhaven_body_store::BodyEnd;
use sorrelhaven_dispatcher::Micros;
use sorrelhaven_engine::Answer;
use sorrelhaven_wire::WireError;

/// Microseconds in a second, the unit of the `Retry-After` header.
const MICROS_PER_SECOND: f64 = 1e6;

/// A response to a client.
pub struct Response {
    /// The status code.
    pub status: u16,
    /// When the client may retry, from now on.
    pub retry_after: Option<Micros>,
    /// The value of the `Allow` header.
    pub allow: Option<&'static str>,
    /// The body.
    pub body: Vec<u8>,
    /// The connection is closed after this response.
    pub close: bool,
}

impl Response {
    /// A response without a body.
    pub fn new(status: u16) -> Response {
        Response { status, retry_after: None, allow: None, body: Vec::new(), close: false }
    }

    /// A response to a method that the path does not support.
    pub fn method_not_allowed(allow: &'static str) -> Response {
        Response { allow: Some(allow), ..Response::new(405) }
    }

    /// A response to an invalid request. Closes the connection, because the framing of what follows on it
    /// cannot be trusted.
    pub fn protocol_error(status: u16, text: &str) -> Response {
        Response { body: format!("{text}\n").into_bytes(), close: true, ..Response::new(status) }
    }

    /// The response to a request that was not received in time.
    pub fn request_timeout() -> Response {
        Response::protocol_error(408, "the request came too slowly")
    }

    /// The response to a request that could not be read; `None` where the client is no longer there.
    pub fn from_wire_error(error: WireError) -> Option<Response> {
        match error {
            WireError::Closed | WireError::Broken => None,
            WireError::Malformed => Some(Response::protocol_error(400, "not HTTP")),
            WireError::HeadTooLarge => Some(Response::protocol_error(431, "the head is too large")),
            WireError::BodyTooLarge => Some(Response::body_too_large()),
        }
    }

    /// The response of the front end itself to a body that was not received completely; `None` where the
    /// connection is closed without one. Storage failures are answered by the decision module instead, which
    /// rejects the job.
    pub fn from_body_end(end: BodyEnd) -> Option<Response> {
        match end {
            BodyEnd::TooLarge => Some(Response::body_too_large()),
            BodyEnd::TooSlow => Some(Response::request_timeout()),
            BodyEnd::ClientDisconnected | BodyEnd::RequestConcluded | BodyEnd::NeverStarted => None,
            BodyEnd::InMemory | BodyEnd::InFile | BodyEnd::Streamed => None,
            BodyEnd::DiskFull | BodyEnd::DiskFailed | BodyEnd::DiskSlow | BodyEnd::BudgetExhausted => None,
        }
    }

    /// The response to a job; status 500 where the engine has no answer.
    pub fn from_answer(answer: Option<Answer>) -> Response {
        match answer {
            None => Response::new(500),
            Some(Answer::Served(result)) => Response { body: result.into_bytes(), ..Response::new(200) },
            Some(Answer::Rejected { retry_after }) => {
                Response { retry_after: Some(retry_after).filter(|&delay| delay > 0), ..Response::new(503) }
            }
            // Not 503 or 429: those signal that a retry is harmless, and this job may have run.
            Some(Answer::Failed) => Response::new(502),
        }
    }

    fn body_too_large() -> Response {
        Response::protocol_error(413, "the body is too large")
    }

    /// The response as it is sent.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut head = format!("HTTP/1.1 {} {}\r\n", self.status, reason_phrase(self.status));
        if let Some(delay) = self.retry_after {
            head += &format!("Retry-After: {:.3}\r\n", delay as f64 / MICROS_PER_SECOND);
        }
        if let Some(method) = self.allow {
            head += &format!("Allow: {method}\r\n");
        }
        if self.close {
            head += "Connection: close\r\n";
        }
        head += &format!("Content-Length: {}\r\n\r\n", self.body.len());
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        _ => "Internal Server Error",
    }
}
