//! Reads a worker's response to one attempt: the head, then a JSON line for each change of the job's state.

use crate::attempt_end::AttemptEnd;
use crate::upstreams::Upstreams;
use futures_lite::future::yield_now;
use serde::Deserialize;
use serde_json::Value;
use sorrelhaven_wire::{Connection, Head, LineReader, MAX_BODY_BYTES, StartLine, WireError};
use std::borrow::Cow;

/// The most that a job line may hold: a result is a body, and JSON escapes may double its text.
const MAX_JOB_LINE_BYTES: usize = 2 * MAX_BODY_BYTES;

/// The state that a job line reports, under the protocol's words.
#[derive(Deserialize)]
#[serde(rename_all = "lowercase", tag = "state")]
enum JobState {
    Started,
    Running {
        /// The share done, from 0 to 1.
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

/// One line of a response's body.
#[derive(Deserialize)]
struct JobLine<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    /// The worker's load report, on the line that ends the attempt.
    load: Option<Value>,
    #[serde(flatten)]
    state: JobState,
}

/// What the next part of a response means for the attempt.
pub enum ResponseStep {
    /// Nothing: a blank line, which keeps the connection open.
    KeepAlive,
    /// The worker has started on the job.
    Started,
    /// This share of the job is done, from 0 to 1.
    Progress(f64),
    /// The attempt has ended.
    Ended(AttemptEnd),
}

/// A worker's response of which the head was read.
pub struct ResponseReader {
    status: u16,
    is_rejection: bool,
    keeps_alive: bool,
    lines: LineReader,
    /// The load report of the head, not parsed yet.
    head_load_report: Option<String>,
    /// The load report of the line that ended the attempt.
    line_load_report: Option<Value>,
}

impl ResponseReader {
    /// Reads the head of a response.
    ///
    /// # Errors
    ///
    /// How the attempt ends where there is no valid head.
    pub async fn read_head(connection: &mut Connection) -> Result<ResponseReader, AttemptEnd> {
        let head = connection.read_head(Head::parse_response).await.map_err(AttemptEnd::unreadable)?;
        let StartLine::Response { status } = head.start_line else { return Err(AttemptEnd::Malformed) };
        let is_rejection = matches!(status, 503 | 504) && head.get("Not-Started") == Some("1");
        let body = head.body_decoder().map_err(AttemptEnd::unreadable)?;
        Ok(ResponseReader {
            status,
            is_rejection,
            keeps_alive: head.keeps_alive(),
            lines: LineReader::new(body, MAX_JOB_LINE_BYTES),
            head_load_report: head.get_unique("Server-Load").map(str::to_string),
            line_load_report: None,
        })
    }

    /// Whether the worker states that it did not start the job.
    pub fn is_rejection(&self) -> bool {
        self.is_rejection
    }

    /// Reads up to the next step of the job `request_id`.
    pub async fn next_step(&mut self, connection: &mut Connection, request_id: &str) -> ResponseStep {
        match self.status {
            200 => {}
            _ if self.is_rejection => return ResponseStep::Ended(AttemptEnd::Rejected),
            // The job's fault, not the worker's: every other worker would say the same.
            400 | 404 => return ResponseStep::Ended(AttemptEnd::InvalidRequest),
            _ => return ResponseStep::Ended(AttemptEnd::Failed),
        }
        match self.lines.next(connection).await {
            Err(error) => self.end_and_close(AttemptEnd::unreadable(error)),
            Ok(None) => self.end_and_close(AttemptEnd::Truncated),
            Ok(Some(line)) if line.trim_ascii().is_empty() => ResponseStep::KeepAlive,
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
            JobState::Rejected => ResponseStep::Ended(AttemptEnd::Rejected),
            JobState::Killed => ResponseStep::Ended(AttemptEnd::Killed),
        }
    }

    /// Ends the attempt by a response that breaks the protocol. The bytes after it may belong to anything, so
    /// the connection is not used again.
    fn end_and_close(&mut self, end: AttemptEnd) -> ResponseStep {
        self.keeps_alive = false;
        ResponseStep::Ended(end)
    }

    /// The load report at the end of the attempt: the line's, or else the head's. Empty where there is none,
    /// or where it is malformed, which is counted: the response stands all the same.
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

    /// Reads to the end of the response; returns whether the connection can carry another request.
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
