//! Answers as HTTP/1.1 writes them.

use sorrelhaven_dispatcher::Micros;
use sorrelhaven_engine::Answer;

/// An answer on the wire.
pub struct Response {
    pub status: u16,
    pub retry_after: Option<Micros>,
    pub allow: Option<&'static str>,
    pub body: Vec<u8>,
    pub close: bool,
}

impl Response {
    pub fn new(status: u16) -> Response {
        Response { status, retry_after: None, allow: None, body: Vec::new(), close: false }
    }

    /// An answer to something that can't be a request; what follows it on the link can't be trusted.
    pub fn fault(status: u16, text: &str) -> Response {
        Response { body: format!("{text}\n").into_bytes(), close: true, ..Response::new(status) }
    }

    pub fn bytes(&self) -> Vec<u8> {
        let reason = match self.status {
            200 => "OK",
            400 => "Bad Request",
            404 => "Not Found",
            405 => "Method Not Allowed",
            409 => "Conflict",
            408 => "Request Timeout",
            413 => "Content Too Large",
            431 => "Request Header Fields Too Large",
            502 => "Bad Gateway",
            503 => "Service Unavailable",
            _ => "Internal Server Error",
        };
        let mut head = format!("HTTP/1.1 {} {reason}\r\n", self.status);
        if let Some(after) = self.retry_after {
            head += &format!("Retry-After: {:.3}\r\n", after as f64 / 1e6);
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

impl From<Answer> for Response {
    fn from(answer: Answer) -> Response {
        match answer {
            Answer::Served(result) => Response { body: result.into_bytes(), ..Response::new(200) },
            Answer::Rejected { retry_after } => {
                Response { retry_after: Some(retry_after).filter(|&t| t > 0), ..Response::new(503) }
            }
            // Not 503 or 429: those say that trying again is harmless, and this job may have run.
            Answer::Failed => Response::new(502),
        }
    }
}
