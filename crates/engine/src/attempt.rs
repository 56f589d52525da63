//! One execution: one attempt at a job on a server link, with its job lines.
//!
//! Dropping the future closes the link, which is how an execution is withdrawn.

use crate::attempt_end::AttemptEnd;
use crate::connection_pool::PooledConnection;
use crate::invariants::Written;
use crate::job::{RequestMessage, RequestPayload, RequestState};
use crate::upstreams::Upstreams;
use async_channel::Sender;
use async_io::Timer;
use futures_lite::future::yield_now;
use serde::Deserialize;
use serde_json::Value;
use sorrelhaven_body_store::BLOCK_BYTES;
use sorrelhaven_dispatcher::WorkerId;
use sorrelhaven_wire::{Connection, Head, LineReader, MAX_BODY_BYTES, StartLine, WireError, timeout_at};
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The most that a job line may hold: a result is a body, and its text may be escaped.
const LINE_MOST: usize = 2 * MAX_BODY_BYTES;
/// After the last job line the end of the answer follows at once, or the link is not worth keeping.
const ANSWER_END: Duration = Duration::from_secs(1);

/// Nothing is sent for a client that waits for less than this: the request itself takes as long to get there, and an
/// executor may drop one with so little time left without a word.
const LEAST_LEFT: Duration = Duration::from_millis(1);

/// How often an attempt whose client has gone looks whether that was told.
const GONE_LOOK: Duration = Duration::from_millis(5);

/// An answer that was written before the link broke has come by then.
const EARLY: Duration = Duration::from_millis(50);
/// A kept link that breaks within this of the request's last byte had gone before.
const AT_ONCE: Duration = Duration::from_millis(100);

/// What a job line says.
#[derive(Deserialize)]
#[serde(rename_all = "lowercase", tag = "state")]
enum News {
    Started,
    Running {
        #[serde(default)]
        share: f64,
    },
    Done {
        result: String,
    },
    Failed,
    Returned,
    Lost,
}

#[derive(Deserialize)]
struct JobLine<'a> {
    #[serde(borrow)]
    id: std::borrow::Cow<'a, str>,
    /// The executor's load, beside the news that ends an attempt.
    load: Option<Value>,
    #[serde(flatten)]
    news: News,
}

/// What the executor's answer has come to so far.
enum Step {
    Nothing,
    Started,
    Running(f64),
    Over(AttemptEnd),
}

/// Where an execution goes, and until when.
pub struct AttemptSpec {
    /// The number of the execution within its request.
    pub attempt: u32,
    /// The executor.
    pub worker: WorkerId,
    /// When the node stops waiting.
    pub deadline: Instant,
    /// From when on it must not be sent any more; no later than `deadline`.
    pub send_by: Instant,
    /// How far the request has come.
    pub request: Rc<RequestState>,
    /// Set once its last byte was written.
    pub fully_sent: Rc<Cell<bool>>,
}

impl AttemptSpec {
    /// Whether a repeat would not be dropped any more, though its client still waits.
    fn window_over(&self) -> bool {
        self.send_by < self.deadline && Instant::now() >= self.send_by
    }

    /// The request's last byte was written just now.
    fn note_written(&self, ways: &Upstreams, id: &str) {
        let fate = &self.request;
        fate.fully_sent.set(true);
        self.fully_sent.set(true);
        let client_left = fate.client_left_at.get();
        ways.counters.request_sent(client_left);
        let draining = ways.registry.draining_since(self.worker).map(|since| (since, ways.drain_grace));
        let written = Written { client_left, send_by: self.send_by, draining };
        fate.guard.written(&ways.counters.invariants, id, &written);
    }

    /// Why nothing may be sent at this moment, if that is so. A client whose connection has ended is told to the module
    /// by whoever reads from it, which may have much to read before: until then the attempt waits.
    async fn unsendable(&self) -> Option<AttemptEnd> {
        while self.request.client_gone() {
            Timer::after(GONE_LOOK).await;
        }
        if self.request.concluded.get() {
            Some(AttemptEnd::RequestConcluded)
        } else if self.window_over() {
            Some(AttemptEnd::IdempotencyWindowExpired)
        } else {
            let left = self.deadline.saturating_duration_since(Instant::now());
            (left < LEAST_LEFT).then_some(AttemptEnd::DeadlineTooClose)
        }
    }

    /// How it ends that its time is up before its last byte was written.
    fn late(&self, ending: AttemptEnd) -> AttemptEnd {
        if self.window_over() { AttemptEnd::IdempotencyWindowExpired } else { ending }
    }
}

/// Runs one execution and reports to the request's mailbox; the last report is how it ended.
pub async fn run(
    ways: Rc<Upstreams>,
    parcel: Rc<RequestPayload>,
    order: AttemptSpec,
    mail: Sender<RequestMessage>,
) {
    let AttemptSpec { attempt, worker, deadline, .. } = order;
    let report = |m: RequestMessage| {
        // A request stays until its executions have ended, so there is always someone to read it.
        let _ = mail.try_send(m);
    };
    let end = |ending: AttemptEnd| {
        report(RequestMessage::AttemptEnded { attempt, end: ending, load_report: Vec::new() })
    };
    let mut server_link = match begin(&ways, &parcel, &order, &mail).await {
        Ok(link) => link,
        Err(ending) => return end(ending),
    };
    order.note_written(&ways, &parcel.id);
    if parcel.body.length().is_none_or(|length| length > BLOCK_BYTES as u64) {
        report(RequestMessage::RequestSent { attempt });
    }
    let (idle, written) = (server_link.idle, Instant::now());
    let link = &mut server_link.connection;
    let mut answer = match timeout_at(deadline, Answer::begin(link)).await {
        None => return end(AttemptEnd::ResponseTimeout),
        Some(Err(AttemptEnd::Reset | AttemptEnd::Truncated))
            if let Some(idle) = idle
                && written.elapsed() < AT_ONCE =>
        {
            ways.pool.record_stale(idle);
            return end(AttemptEnd::StaleConnection);
        }
        Some(Err(ending)) => return end(ending),
        Some(Ok(answer)) => answer,
    };
    loop {
        match timeout_at(deadline, answer.step(link, &parcel.id)).await {
            None => return end(AttemptEnd::ResponseTimeout),
            Some(Step::Nothing) => {}
            Some(Step::Started) => report(RequestMessage::AttemptStarted { attempt }),
            Some(Step::Running(share)) => report(RequestMessage::AttemptProgress { attempt, share }),
            Some(Step::Over(ending)) => {
                report(RequestMessage::AttemptEnded {
                    attempt,
                    end: ending,
                    load_report: answer.load(&ways),
                });
                break;
            }
        }
        // One that says something without a pause must not keep the others waiting.
        yield_now().await;
    }
    if timeout_at(Instant::now() + ANSWER_END, answer.rest(link)).await == Some(true) {
        ways.pool.check_in(worker, server_link);
    }
}

/// Writes the request to a link, kept or new. Until its last byte is written it has never run.
///
/// A link may take its time to come up. What has changed meanwhile counts: nothing is sent for a client that has left,
/// also where attempts can't be called off, nothing to an executor that was told to leave, and no repeat once it would
/// not be dropped.
async fn begin(
    ways: &Upstreams,
    parcel: &RequestPayload,
    order: &AttemptSpec,
    mail: &Sender<RequestMessage>,
) -> Result<PooledConnection, AttemptEnd> {
    let AttemptSpec { worker, send_by: before, .. } = *order;
    let up_by = before.min(Instant::now() + ways.connect_timeout);
    let up = timeout_at(up_by, ways.connection(worker)).await;
    let (address, mut link) = up.ok_or_else(|| order.late(AttemptEnd::ConnectTimeout))??;
    if !ways.registry.accepts_work(worker) {
        return Err(AttemptEnd::Draining);
    }
    if let Some(ending) = order.unsendable().await {
        ways.pool.check_in(worker, link);
        return Err(ending);
    }
    let host = address.to_string();
    timeout_at(before, write(ways, parcel, &host, order, &mut link.connection, mail))
        .await
        .ok_or_else(|| order.late(AttemptEnd::TimeoutBeforeSent))??;
    Ok(link)
}

/// Writes the head, and the body as it is given out. A body that ends before its time leaves the message incomplete:
/// the executor sees a broken request, never a whole one. The head tells how long the client waits, so it is made when
/// the first piece of the body is there and nothing else is waited for.
async fn write(
    ways: &Upstreams,
    parcel: &RequestPayload,
    host: &str,
    order: &AttemptSpec,
    link: &mut Connection,
    mail: &Sender<RequestMessage>,
) -> Result<(), AttemptEnd> {
    let mut body = parcel.body.reader();
    let length = parcel.body.length();
    let (mut piece, mut out, mut written) = (Vec::new(), Vec::new(), 0);
    let (mut begun, mut passing, mut more) = (false, false, true);
    while more {
        more = body.next(&mut piece).await.map_err(AttemptEnd::BodyUnavailable)?;
        if let Some(ending) = order.unsendable().await {
            return Err(ending);
        }
        if !passing && body.consumes() {
            passing = true;
            let _ = mail.try_send(RequestMessage::BodyConsumed);
        }
        if !std::mem::replace(&mut begun, true) {
            out = parcel.head(host, order.deadline, length);
        }
        written += piece.len() as u64;
        frame(&mut out, &mut piece, length, more);
        if !out.is_empty() && link.write(&out).await.is_err() {
            return Err(early(link, order.deadline).await);
        }
        // Once the last byte is written the executor may run the request: nothing below may end the attempt as unsent.
        if length == Some(written) {
            return Ok(());
        }
        if out.len() >= BLOCK_BYTES {
            // Large bodies must not keep small jobs waiting.
            ways.tasks.turn().await;
        }
        out.clear();
    }
    Ok(())
}

/// Moves a piece of a body to what is written: as it is where its length was told, else as a chunk.
fn frame(out: &mut Vec<u8>, piece: &mut Vec<u8>, length: Option<u64>, more: bool) {
    if length.is_some() {
        out.append(piece);
        return;
    }
    if !piece.is_empty() {
        out.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
        out.append(piece);
        out.extend_from_slice(b"\r\n");
    }
    if !more {
        out.extend_from_slice(b"0\r\n\r\n");
    }
}

/// How an execution ended whose link broke before the last byte: an executor may turn a large request away by its head
/// alone, and end the connection.
async fn early(link: &mut Connection, deadline: Instant) -> AttemptEnd {
    let until = deadline.min(Instant::now() + EARLY);
    match timeout_at(until, Answer::begin(link)).await {
        Some(Ok(answer)) if answer.returned => AttemptEnd::Rejected,
        _ => AttemptEnd::ResetBeforeSent,
    }
}

/// An executor's answer as it is read.
struct Answer {
    status: u16,
    returned: bool,
    keeps_alive: bool,
    lines: LineReader,
    /// The load report of its head, and of the line that ended the attempt.
    loads: (Option<String>, Option<Value>),
}

impl Answer {
    async fn begin(link: &mut Connection) -> Result<Answer, AttemptEnd> {
        let head = link.read_head(Head::parse_response).await.map_err(AttemptEnd::unreadable)?;
        let StartLine::Response { status } = head.start else { return Err(AttemptEnd::Malformed) };
        let returned = matches!(status, 503 | 504) && head.get("Not-Started") == Some("1");
        let lines = LineReader::new(head.body().map_err(AttemptEnd::unreadable)?, LINE_MOST);
        let loads = (head.only("Server-Load").map(str::to_string), None);
        Ok(Answer { status, returned, keeps_alive: head.keeps_alive(), lines, loads })
    }

    async fn step(&mut self, link: &mut Connection, id: &str) -> Step {
        match self.status {
            200 => {}
            _ if self.returned => return Step::Over(AttemptEnd::Rejected),
            // The job's fault, not the executor's: any other would say the same.
            400 | 404 => return Step::Over(AttemptEnd::InvalidRequest),
            _ => return Step::Over(AttemptEnd::Failed),
        }
        match self.lines.next(link).await {
            Err(fault) => self.distrust(AttemptEnd::unreadable(fault)),
            Ok(None) => self.distrust(AttemptEnd::Truncated),
            Ok(Some(line)) if line.trim_ascii().is_empty() => Step::Nothing,
            Ok(Some(line)) => self.read(&line, id),
        }
    }

    /// The end of an answer that breaks the protocol: what else comes on the link may belong to anything,
    /// so it is not used again.
    fn distrust(&mut self, ending: AttemptEnd) -> Step {
        self.keeps_alive = false;
        Step::Over(ending)
    }

    /// Reads one job line.
    fn read(&mut self, line: &[u8], id: &str) -> Step {
        let Ok(line) = serde_json::from_slice::<JobLine<'_>>(line) else {
            return self.distrust(AttemptEnd::Malformed);
        };
        if line.id != id {
            return self.distrust(AttemptEnd::WrongRequestId);
        }
        self.loads.1 = line.load;
        match line.news {
            News::Started => Step::Started,
            News::Running { share } => Step::Running(share),
            News::Done { result } if result.len() > MAX_BODY_BYTES => {
                self.distrust(AttemptEnd::ResponseTooLarge)
            }
            News::Done { result } => Step::Over(AttemptEnd::Completed(result)),
            News::Failed => Step::Over(AttemptEnd::Failed),
            News::Returned => Step::Over(AttemptEnd::Rejected),
            News::Lost => Step::Over(AttemptEnd::Killed),
        }
    }

    /// The load report that came with the end of the attempt, the line's before the head's. One that does not read is
    /// dropped: the answer stands.
    fn load(&self, ways: &Upstreams) -> Vec<f64> {
        let read = match &self.loads {
            (_, Some(line)) => ways.load_fields.object(line),
            (Some(head), None) => ways.load_fields.text(head),
            (None, None) => return Vec::new(),
        };
        let count = if read.is_some() { &ways.counters.loads } else { &ways.counters.load_reports_malformed };
        count.add();
        read.unwrap_or_default()
    }

    /// Reads to the end of the answer; whether the link can carry another request.
    async fn rest(&mut self, link: &mut Connection) -> bool {
        while self.keeps_alive {
            match self.lines.next(link).await {
                Ok(Some(_)) => yield_now().await,
                Ok(None) => return true,
                Err(WireError::Closed | WireError::Broken | WireError::Malformed) => return false,
                Err(WireError::HeadTooLarge | WireError::BodyTooLarge) => return false,
            }
        }
        false
    }
}
