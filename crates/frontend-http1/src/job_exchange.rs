//! Serves one job on a downstream connection: reads its body, submits the job to the engine and waits for the
//! answer.

use crate::body_reader::{BodyProgress, BodyReader};
use crate::close_reason::CloseReason;
use crate::exchange::{CONTINUE, Exchange};
use crate::frontend::Frontend;
use crate::incomplete_eviction::IncompleteEviction;
use crate::request_draft::RequestDraft;
use crate::response::Response;
use futures_lite::future::or;
use sorrelhaven_body_store::{BLOCK_BYTES, BodyEnd, RequestBody};
use sorrelhaven_engine::{AdmissionError, BodyPermit, RequestHandle};
use sorrelhaven_wire::{BodyDecoder, Connection};
use std::time::Instant;

/// A job whose body has not been read yet.
pub struct IncomingJob {
    /// The fields of the job that the request's head determines.
    pub draft: RequestDraft,
    /// Decodes the body, by its declared length or in the chunked coding.
    pub body_decoder: BodyDecoder,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// The time from which the request's read timeout counts.
    pub read_started_at: Instant,
}

/// A body that has been received completely, or far enough that its rest can be streamed to a worker.
struct ReceivedBody {
    body: RequestBody,
    /// Reads the rest of a body that is to be streamed; `None` for a complete body.
    rest: Option<BodyReader>,
}

/// Why a body could not be received.
enum ReceiveError {
    /// The client has disconnected, so no response can be sent.
    ClientDisconnected,
    /// The connection's descriptor is needed for another connection.
    Evicted,
    /// Reading has stopped before the end of the body.
    Incomplete {
        /// The part of the body that was received.
        body: RequestBody,
        /// Why reading has stopped.
        end: BodyEnd,
    },
}

struct ClientDisconnected;

impl IncomingJob {
    /// Reads the body, submits the job to the engine and waits for its answer. A job whose body is not stored
    /// is submitted before all of the body has arrived, and the rest is streamed to the worker. Until the body has
    /// been received, the connection may be closed by `eviction`.
    ///
    /// # Errors
    /// Why the connection is to be closed without a response, as after the client has disconnected.
    pub async fn serve(
        self,
        frontend: &Frontend,
        connection: &mut Connection,
        mut eviction: IncompleteEviction<'_>,
    ) -> Result<Exchange, CloseReason> {
        let clock = &frontend.engine.dispatcher_loop.clock;
        let client_deadline = clock.instant(self.draft.deadline);
        let received = self.receive_body(frontend, connection, client_deadline, &mut eviction).await;
        let ReceivedBody { body, rest } = match received {
            Ok(received) => received,
            Err(ReceiveError::ClientDisconnected) => return Err(CloseReason::ClientClosedInRequest),
            Err(ReceiveError::Evicted) => return Ok(Exchange::closing(Response::overloaded())),
            Err(ReceiveError::Incomplete { body, end }) => {
                return respond_to_incomplete_body(frontend, connection, self.draft, body, end).await;
            }
        };
        drop(eviction);
        let permit = match acquire_body_permit(frontend, connection, &body, client_deadline).await {
            Ok(permit) => permit,
            Err(ClientDisconnected) => {
                if let Some(reader) = rest {
                    reader.client_disconnected();
                }
                return Err(CloseReason::ClientClosedInRequest);
            }
        };
        let mut draft = self.draft;
        if let Some(answer_deadline) = frontend.answer_deadline(Instant::now()) {
            draft.limit_deadline(clock.micros(answer_deadline));
        }
        let job = draft.into_job(body.clone(), true, permit, connection.peer_close_detector());
        let request = match frontend.engine.submit(job) {
            Ok(request) => request,
            Err(error) => return Ok(not_admitted(error, rest.is_none())),
        };
        await_answer(frontend, connection, request, &body, rest).await
    }

    /// Reads the body until it is complete, or until its rest can be streamed.
    async fn receive_body(
        &self,
        frontend: &Frontend,
        connection: &mut Connection,
        client_deadline: Instant,
        eviction: &mut IncompleteEviction<'_>,
    ) -> Result<ReceivedBody, ReceiveError> {
        let budget_group = self.draft.budget_group(frontend);
        let writer = frontend
            .engine
            .bodies
            .begin_upload(budget_group, declared_length(self.body_decoder))
            .map_err(|(end, body)| ReceiveError::Incomplete { body, end })?;
        let body = writer.body();
        if self.expects_continue && connection.write(CONTINUE).await.is_err() {
            return Err(ReceiveError::ClientDisconnected);
        }
        let reader = BodyReader::new(self.body_decoder, writer, self.read_started_at, client_deadline);
        let read = read_until_drain_deadline(frontend, connection, reader, self.read_started_at);
        let evicted = async {
            eviction.evicted().await;
            BodyProgress::Evicted
        };
        match or(read, evicted).await {
            BodyProgress::Evicted => Err(ReceiveError::Evicted),
            BodyProgress::Complete => Ok(ReceivedBody { body, rest: None }),
            BodyProgress::ReadyToStream(reader) => Ok(ReceivedBody { body, rest: Some(reader) }),
            BodyProgress::Incomplete(end) => Err(ReceiveError::Incomplete { body, end }),
        }
    }
}

/// The length in bytes that the client declares; `None` for a body in the chunked coding.
fn declared_length(body_decoder: BodyDecoder) -> Option<u64> {
    match body_decoder {
        BodyDecoder::Length(length) => Some(length as u64),
        _ => None,
    }
}

/// The exchange for a request that the engine did not admit.
fn not_admitted(error: AdmissionError, reusable: bool) -> Exchange {
    let status = match error {
        // Not 503 in either case: an earlier request with this id may have run.
        AdmissionError::DuplicateId => 409,
        AdmissionError::ClaimsUnavailable => 500,
    };
    Exchange { response: Response::new(status), reusable, submitted_job: false }
}

/// Reads the body until the read deadline of a drain or shutdown at the latest.
async fn read_until_drain_deadline(
    frontend: &Frontend,
    connection: &mut Connection,
    reader: BodyReader,
    read_started_at: Instant,
) -> BodyProgress {
    or(reader.read_until_streamable(frontend, connection), async {
        frontend.drain_deadline_passed(read_started_at).await;
        BodyProgress::Incomplete(BodyEnd::TooSlow)
    })
    .await
}

/// Waits for the permit to send a long body to a worker; a body of at most [`BLOCK_BYTES`] needs none.
/// Without a permit by `client_deadline` the job is submitted anyway, and the dispatcher rejects it as
/// overdue.
async fn acquire_body_permit(
    frontend: &Frontend,
    connection: &mut Connection,
    body: &RequestBody,
    client_deadline: Instant,
) -> Result<Option<BodyPermit>, ClientDisconnected> {
    if body.length().is_some_and(|length| length <= BLOCK_BYTES as u64) {
        return Ok(None);
    }
    let acquired = async { Ok(frontend.engine.body_admission.acquire(client_deadline).await) };
    let disconnected = async {
        connection.read_ahead_until_closed_in_body().await;
        Err(ClientDisconnected)
    };
    or(acquired, disconnected).await
}

/// Waits for the answer and meanwhile streams the `rest` of the body.
async fn await_answer(
    frontend: &Frontend,
    connection: &mut Connection,
    request: RequestHandle,
    body: &RequestBody,
    rest: Option<BodyReader>,
) -> Result<Exchange, CloseReason> {
    let answer = async { Ok(request.answer().await) };
    let interrupted = async { Err(stream_until_disconnected(frontend, connection, rest).await) };
    match or(answer, interrupted).await {
        Ok(answer) => {
            // If the answer came before the end of the body, the rest of the body is still to arrive and
            // could be taken for the next request.
            let reusable = body.end().is_some_and(BodyEnd::is_complete);
            Ok(Exchange { response: Response::from_answer(answer), reusable, submitted_job: true })
        }
        Err(end) => {
            request.client_disconnected();
            let response = Response::from_body_end(end).ok_or(CloseReason::ClientClosedInRequest)?;
            Ok(Exchange { response, reusable: false, submitted_job: true })
        }
    }
}

/// Streams the `rest` of the body, then waits for the client to disconnect. Returns why the wait for the
/// answer ends: how the body failed, or that the client has disconnected.
async fn stream_until_disconnected(
    frontend: &Frontend,
    connection: &mut Connection,
    rest: Option<BodyReader>,
) -> BodyEnd {
    if let Some(reader) = rest {
        let end = reader.stream_rest(frontend, connection).await;
        if !end.is_complete() {
            return end;
        }
    }
    connection.read_ahead_until_closed().await;
    BodyEnd::ClientDisconnected
}

/// The exchange for a job whose body was not received completely. If the body could not be stored, the job is
/// submitted for the dispatcher to reject it.
async fn respond_to_incomplete_body(
    frontend: &Frontend,
    connection: &Connection,
    draft: RequestDraft,
    body: RequestBody,
    end: BodyEnd,
) -> Result<Exchange, CloseReason> {
    if !is_storage_failure(end) {
        let response = Response::from_body_end(end).ok_or(CloseReason::ClientClosedInRequest)?;
        return Ok(Exchange::closing(response));
    }
    let job = draft.into_job(body, false, None, connection.peer_close_detector());
    let request = match frontend.engine.submit(job) {
        Ok(request) => request,
        Err(error) => return Ok(not_admitted(error, false)),
    };
    let response = Response::from_answer(request.answer().await);
    Ok(Exchange { response, reusable: false, submitted_job: true })
}

/// Whether the body could not be stored and the settings reject such requests.
fn is_storage_failure(end: BodyEnd) -> bool {
    match end {
        BodyEnd::DiskFull | BodyEnd::DiskFailed | BodyEnd::DiskSlow | BodyEnd::BudgetExhausted => true,
        BodyEnd::InMemory | BodyEnd::InFile | BodyEnd::Streamed => false,
        BodyEnd::ClientDisconnected
        | BodyEnd::TooLarge
        | BodyEnd::TooSlow
        | BodyEnd::RequestConcluded
        | BodyEnd::NeverStarted => false,
    }
}
