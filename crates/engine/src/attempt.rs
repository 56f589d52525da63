//! Runs one attempt: sends the request to a worker, and reports the job's progress and how the attempt ended.
//!
//! Dropping the future cancels the attempt: it closes the connection.

use crate::attempt_end::AttemptEnd;
use crate::attempt_spec::AttemptSpec;
use crate::connection_pool::PooledConnection;
use crate::job::{RequestMessage, RequestPayload};
use crate::request_writer::RequestWriter;
use crate::response_reader::{ResponseReader, ResponseStep};
use crate::upstreams::Upstreams;
use async_channel::Sender;
use futures_lite::future::yield_now;
use sorrelhaven_body_store::BLOCK_BYTES;
use sorrelhaven_wire::timeout_at;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// If the response does not end within this time after its last job line, its connection is closed instead of
/// reused.
const RESPONSE_END_TIMEOUT: Duration = Duration::from_secs(1);

/// If a reused connection breaks within this time after the request's last byte was written, the worker is
/// assumed to have closed it before the request arrived.
const STALE_CONNECTION_WINDOW: Duration = Duration::from_millis(100);

/// Runs one attempt and reports to its request through `messages`. The last message states how the attempt
/// ended.
pub async fn run(
    upstreams: Rc<Upstreams>,
    payload: Rc<RequestPayload>,
    spec: AttemptSpec,
    messages: Sender<RequestMessage>,
) {
    let attempt = Attempt { upstreams, payload, spec, messages };
    if let Err(end) = attempt.exchange().await {
        attempt.report_end(end, Vec::new());
    }
}

struct Attempt {
    upstreams: Rc<Upstreams>,
    payload: Rc<RequestPayload>,
    spec: AttemptSpec,
    messages: Sender<RequestMessage>,
}

impl Attempt {
    /// Sends the request and reads the response.
    ///
    /// If the response states how the attempt ended, that is reported at once, before the connection is
    /// returned to the pool; any other end is the error.
    async fn exchange(&self) -> Result<(), AttemptEnd> {
        let mut upstream = self.send_request().await?;
        self.spec.record_fully_sent(&self.upstreams, &self.payload.id);
        if self.body_is_long() {
            self.report(RequestMessage::RequestSent { attempt: self.spec.attempt });
        }
        let mut response = self.read_response_head(&mut upstream).await?;
        self.follow_job(&mut response, &mut upstream).await?;
        let limit = Instant::now() + RESPONSE_END_TIMEOUT;
        let reusable = timeout_at(limit, response.read_to_end(&mut upstream.connection)).await;
        if reusable == Some(true) {
            self.upstreams.pool.check_in(self.spec.worker, upstream);
        }
        Ok(())
    }

    /// Writes the request to a pooled or a new connection. An error proves that the job has not run, because
    /// the request's last byte was not written.
    ///
    /// Connecting takes time, so the conditions for sending are checked again afterwards: nothing is sent if
    /// the client has disconnected, the worker is draining, or the idempotency window has ended.
    async fn send_request(&self) -> Result<PooledConnection, AttemptEnd> {
        let AttemptSpec { worker, send_by, .. } = self.spec;
        let connect_by = send_by.min(Instant::now() + self.upstreams.connect_timeout);
        let mut upstream = timeout_at(connect_by, self.upstreams.connection(worker))
            .await
            .ok_or_else(|| self.spec.unsent_timeout(AttemptEnd::ConnectTimeout))??;
        if !self.upstreams.registry.accepts_work(worker) {
            return Err(AttemptEnd::Draining);
        }
        if let Err(end) = self.spec.check_sendable().await {
            self.upstreams.pool.check_in(worker, upstream);
            return Err(end);
        }
        let writer = RequestWriter {
            upstreams: &self.upstreams,
            payload: &self.payload,
            spec: &self.spec,
            messages: &self.messages,
        };
        let host = upstream.address.to_string();
        timeout_at(send_by, writer.write(&host, &mut upstream.connection))
            .await
            .ok_or_else(|| self.spec.unsent_timeout(AttemptEnd::TimeoutBeforeSent))??;
        Ok(upstream)
    }

    /// Whether the body is so long (more than one block, or of unknown length) that its transfer time is
    /// reported to the dispatcher, which excludes it from the worker's time.
    fn body_is_long(&self) -> bool {
        self.payload.body.length().is_none_or(|length| length > BLOCK_BYTES as u64)
    }

    async fn read_response_head(
        &self,
        upstream: &mut PooledConnection,
    ) -> Result<ResponseReader, AttemptEnd> {
        let sent_at = Instant::now();
        let head = ResponseReader::read_head(&mut upstream.connection);
        match timeout_at(self.spec.deadline, head).await {
            None => Err(AttemptEnd::ResponseTimeout),
            Some(Err(AttemptEnd::Reset | AttemptEnd::Truncated))
                if let Some(idle_time) = upstream.idle_time
                    && sent_at.elapsed() < STALE_CONNECTION_WINDOW =>
            {
                self.upstreams.pool.record_stale(idle_time);
                Err(AttemptEnd::StaleConnection)
            }
            Some(result) => result,
        }
    }

    /// Reports the job's start and progress as they arrive, and then its end with the worker's load report.
    async fn follow_job(
        &self,
        response: &mut ResponseReader,
        upstream: &mut PooledConnection,
    ) -> Result<(), AttemptEnd> {
        let AttemptSpec { attempt, deadline, .. } = self.spec;
        loop {
            let step = response.next_step(&mut upstream.connection, &self.payload.id);
            match timeout_at(deadline, step).await.ok_or(AttemptEnd::ResponseTimeout)? {
                ResponseStep::KeepAlive => {}
                ResponseStep::Started => self.report(RequestMessage::AttemptStarted { attempt }),
                ResponseStep::Progress(completed_fraction) => {
                    self.report(RequestMessage::AttemptProgress { attempt, completed_fraction });
                }
                ResponseStep::Ended(end) => {
                    self.report_end(end, response.load_report(&self.upstreams));
                    return Ok(());
                }
            }
            // A worker that sends lines without a pause must not block other tasks.
            yield_now().await;
        }
    }

    fn report_end(&self, end: AttemptEnd, load_report: Vec<f64>) {
        self.report(RequestMessage::AttemptEnded { attempt: self.spec.attempt, end, load_report });
    }

    fn report(&self, message: RequestMessage) {
        // The request's task runs until all its attempts have ended, so the receiver exists.
        let _ = self.messages.try_send(message);
    }
}
