//! Reads a worker's response to one attempt: the head, then one JSON line per state change of the job.

use crate::attempt_end::AttemptEnd;
use crate::upstreams::Upstreams;
use futures_lite::future::yield_now;
use serde::Deserialize;
use serde_json::Value;
use sorrelhaven_wire::{Connection, Head, LineReader, MAX_BODY_BYTES, StartLine, WireError};
use std::borrow::Cow;

/// The most bytes of a job line. Its result may be as long as a body, and JSON escapes may double the length.
const MAX_JOB_LINE_BYTES: usize = 2 * MAX_BODY_BYTES;

/// The job state that a line reports, under the names of the protocol.
#[derive(Deserialize)]
#[serde(rename_all = "lowercase", tag = "state")]
enum JobState {
    Started,
    Running {
        /// The fraction of the job that is done, from 0 to 1.
        #[serde(default)]
        share: f64,
    },
    Done {
        result: String,
    },
    Failed,
    #[serde(rename = "returned")]
    Rejected,
    #[serde(rename = "lost")]
    Killed,
}

/// One line of a response body.
#[derive(Deserialize)]
struct JobLine<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    /// The worker's load report, which only the line that ends the attempt has.
    load: Option<Value>,
    #[serde(flatten)]
    state: JobState,
}

/// The meaning of the next line of a response for the attempt.
pub enum ResponseStep {
    /// A blank line, which the worker sends to keep the connection alive; it says nothing about the job.
    KeepAlive,
    /// The worker has started the job.
    Started,
    /// The worker has done this fraction of the job, from 0 to 1.
    Progress(f64),
    /// The attempt ended in this way.
    Ended(AttemptEnd),
}

/// A worker's response whose head has been read.
pub struct ResponseReader {
    status: u16,
    is_rejection: bool,
    keeps_alive: bool,
    lines: LineReader,
    /// The load report in the head, as JSON text.
    head_load_report: Option<Vec<u8>>,
    /// The load report in the last job line that was read.
    line_load_report: Option<Value>,
}

impl ResponseReader {
    /// Reads the head of a response.
    ///
    /// # Errors
    ///
    /// How the attempt ends if no valid head could be read.
    pub async fn read_head(connection: &mut Connection) -> Result<ResponseReader, AttemptEnd> {
        let head = connection.read_head(Head::parse_response).await.map_err(AttemptEnd::unreadable)?;
        let StartLine::Response { status } = head.start_line else { return Err(AttemptEnd::Malformed) };
        let is_rejection = matches!(status, 503 | 504) && head.text("Not-Started") == Ok(Some("1"));
        let body = head.body_decoder().map_err(AttemptEnd::unreadable)?;
        Ok(ResponseReader {
            status,
            is_rejection,
            // A `Connection` header that can't be read doesn't concern the job, but may have said `close`.
            keeps_alive: head.keeps_alive().unwrap_or(false),
            lines: LineReader::new(body, MAX_JOB_LINE_BYTES, connection.new_reservation()),
            head_load_report: head.value("Server-Load").ok().flatten().map(<[u8]>::to_vec),
            line_load_report: None,
        })
    }

    /// Whether the head states that the worker did not start the job.
    pub fn is_rejection(&self) -> bool {
        self.is_rejection
    }

    /// Reads the next line about the job `request_id`, or evaluates the status if it is not 200: such a response names
    /// no request.
    pub async fn next_step(&mut self, connection: &mut Connection, request_id: &str) -> ResponseStep {
        match self.status {
            200 => {}
            _ if self.is_rejection => return self.end_and_close(AttemptEnd::Rejected),
            // The request itself is invalid: every other worker would respond the same.
            400 | 404 => return self.end_and_close(AttemptEnd::InvalidRequest),
            _ => return self.end_and_close(AttemptEnd::Failed),
        }
        match self.lines.next(connection).await {
            Err(error) => self.end_and_close(AttemptEnd::unreadable(error)),
            Ok(None) => self.end_and_close(AttemptEnd::Truncated),
            Ok(Some(line)) if is_blank(&line) => ResponseStep::KeepAlive,
            Ok(Some(line)) => self.read_job_line(&line, request_id),
        }
    }

    fn read_job_line(&mut self, line: &[u8], request_id: &str) -> ResponseStep {
        let Ok(line) = serde_json::from_slice::<JobLine<'_>>(line) else {
            return self.end_and_close(AttemptEnd::Malformed);
        };
        if line.id != request_id {
            return self.end_and_close(AttemptEnd::WrongRequestId);
        }
        self.line_load_report = line.load;
        match line.state {
            JobState::Started => ResponseStep::Started,
            JobState::Running { share } => ResponseStep::Progress(share),
            JobState::Done { result } if result.len() > MAX_BODY_BYTES => {
                self.end_and_close(AttemptEnd::ResponseTooLarge)
            }
            JobState::Done { result } => ResponseStep::Ended(AttemptEnd::Completed(result)),
            JobState::Failed => ResponseStep::Ended(AttemptEnd::Failed),
            JobState::Rejected => self.end_and_close(AttemptEnd::Rejected),
            JobState::Killed => ResponseStep::Ended(AttemptEnd::Killed),
        }
    }

    /// Ends the attempt and the use of its connection. Where the next response would begin is unknown after one that
    /// broke off or violates the protocol. A second copy of one that names no request would be taken for the answer to
    /// the next request, and a second copy of a rejection for the answer to the next attempt of the same request.
    fn end_and_close(&mut self, end: AttemptEnd) -> ResponseStep {
        self.keeps_alive = false;
        ResponseStep::Ended(end)
    }

    /// Parses the load report of the last job line or, if it has none, of the head. Returns an empty list if
    /// there is none or it is malformed. Counts valid and malformed reports; a malformed one does not affect
    /// the response.
    pub fn load_report(&self, upstreams: &Upstreams) -> Vec<f64> {
        let report = match (&self.head_load_report, &self.line_load_report) {
            (_, Some(value)) => upstreams.load_report_fields.parse_value(value),
            (Some(text), None) => upstreams.load_report_fields.parse_text(text),
            (None, None) => return Vec::new(),
        };
        match report {
            Some(report) => {
                upstreams.counters.load_reports.increment();
                report
            }
            None => {
                upstreams.counters.load_reports_malformed.increment();
                Vec::new()
            }
        }
    }

    /// Reads and discards the rest of the response. Returns whether the connection can be reused.
    pub async fn read_to_end(&mut self, connection: &mut Connection) -> bool {
        while self.keeps_alive {
            match self.lines.next(connection).await {
                Ok(Some(_)) => yield_now().await,
                Ok(None) => return true,
                Err(WireError::Closed | WireError::Broken | WireError::Malformed) => return false,
                Err(WireError::HeadTooLarge | WireError::BodyTooLarge) => return false,
            }
        }
        false
    }
}

/// Whether a line holds nothing but the white space that JSON has (RFC 8259, section 2).
fn is_blank(line: &[u8]) -> bool {
    line.iter().all(|byte| matches!(byte, b' ' | b'\t' | b'\r'))
}
