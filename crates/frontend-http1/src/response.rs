//! HTTP/1.1 responses to clients, and which response an answer of the engine or an error becomes.

use sorrelhaven_body_store::BodyEnd;
use sorrelhaven_dispatcher::Micros;
use sorrelhaven_engine::Answer;
use sorrelhaven_wire::WireError;

/// Microseconds in a second. The `Retry-After` header is in seconds.
const MICROS_PER_SECOND: f64 = 1e6;

/// The status of the response to a request that was not received in time.
pub const REQUEST_TIMEOUT_STATUS: u16 = 408;

/// The status of a rejection: nothing was run, and a retry is harmless.
pub const REJECTED_STATUS: u16 = 503;

/// The final response to a client's request.
pub struct Response {
    /// The HTTP status code.
    pub status: u16,
    /// The value of the `Retry-After` header: the delay after which the client may retry.
    pub retry_after: Option<Micros>,
    /// The value of the `Allow` header, the method that the path supports; only with status 405.
    pub allow: Option<&'static str>,
    /// The body: a worker's result, or a line of text on what is wrong with the request.
    pub body: Vec<u8>,
    /// Whether the connection is closed after this response.
    pub close: bool,
}

impl Response {
    /// A response without a body and without optional headers.
    pub fn new(status: u16) -> Response {
        Response { status, retry_after: None, allow: None, body: Vec::new(), close: false }
    }

    /// The response to a request with a method other than `allow`, the only one that its path supports.
    pub fn method_not_allowed(allow: &'static str) -> Response {
        Response { allow: Some(allow), ..Response::new(405) }
    }

    /// The response to an invalid request, with `text` as its body. Closes the connection, because the end of
    /// the request, where the next one would begin, is uncertain.
    pub fn protocol_error(status: u16, text: &str) -> Response {
        Response { body: format!("{text}\n").into_bytes(), close: true, ..Response::new(status) }
    }

    /// The response to a request that was not received within the read timeout.
    pub fn request_timeout() -> Response {
        Response::protocol_error(REQUEST_TIMEOUT_STATUS, "the request came too slowly")
    }

    /// The response to an incomplete request whose connection is needed for another one. The rest of the request may be
    /// on its way, and its client must get an answer all the same.
    pub fn overloaded() -> Response {
        Response::protocol_error(REJECTED_STATUS, "too many connections")
    }

    /// The response to a request that could not be read; `None` if the connection is closed or has failed.
    pub fn from_wire_error(error: WireError) -> Option<Response> {
        match error {
            WireError::Closed | WireError::Broken => None,
            WireError::Malformed => Some(Response::protocol_error(400, "not HTTP")),
            WireError::HeadTooLarge => Some(Response::protocol_error(431, "the head is too large")),
            WireError::BodyTooLarge => Some(Response::body_too_large()),
        }
    }

    /// The response to a request whose body was not received completely; `None` if the connection is closed
    /// without a response. For a body that could not be stored it is `None` too: the dispatcher rejects that
    /// job.
    pub fn from_body_end(end: BodyEnd) -> Option<Response> {
        match end {
            BodyEnd::TooLarge => Some(Response::body_too_large()),
            BodyEnd::TooSlow => Some(Response::request_timeout()),
            BodyEnd::ClientDisconnected | BodyEnd::RequestConcluded | BodyEnd::NeverStarted => None,
            BodyEnd::InMemory | BodyEnd::InFile | BodyEnd::Streamed => None,
            BodyEnd::DiskFull | BodyEnd::DiskFailed | BodyEnd::DiskSlow | BodyEnd::BudgetExhausted => None,
        }
    }

    /// The response that carries the answer to a job; status 500 if the request's task ended without one.
    pub fn from_answer(answer: Option<Answer>) -> Response {
        match answer {
            None => Response::new(500),
            Some(Answer::Served(result)) => Response { body: result.into_bytes(), ..Response::new(200) },
            Some(Answer::Rejected { retry_after }) => {
                Response { retry_after: Some(retry_after).filter(|&delay| delay > 0), ..Response::new(503) }
            }
            // Not 503 or 429, because those statuses signal that a retry is harmless. This job may have run.
            Some(Answer::Failed) => Response::new(502),
        }
    }

    fn body_too_large() -> Response {
        Response::protocol_error(413, "the body is too large")
    }

    /// The response in the format of HTTP/1.1: status line, headers and body.
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
        REQUEST_TIMEOUT_STATUS => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        _ => "Internal Server Error",
    }
}
