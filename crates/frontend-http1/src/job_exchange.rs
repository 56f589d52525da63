//! One job on a downstream connection: its body is read, the job is passed to the engine, and its answer is
//! awaited.

use crate::body_reader::{BodyProgress, BodyReader};
use crate::exchange::{CONTINUE, Exchange};
use crate::frontend::Frontend;
use crate::request_draft::RequestDraft;
use crate::response::Response;
use futures_lite::future::or;
use sorrelhaven_body_store::{BLOCK_BYTES, BodyEnd, RequestBody};
use sorrelhaven_engine::{BodyPermit, RequestHandle};
use sorrelhaven_wire::{BodyDecoder, Connection};
use std::time::Instant;

/// A job whose body has not been read yet.
pub struct IncomingJob {
    /// The job without its body.
    pub draft: RequestDraft,
    /// How the body is framed.
    pub framing: BodyDecoder,
    /// The client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// When the request's first byte could arrive.
    pub read_started_at: Instant,
}

/// A body that was received, or that was received so far and is to be streamed.
struct ReceivedBody {
    body: RequestBody,
    /// Reads the rest of a body that is streamed.
    unread: Option<BodyReader>,
}

/// Why a body could not be received.
enum ReceiveError {
    /// The client has closed its connection, and no response can be sent.
    ClientDisconnected,
    /// Reading has ended before the end of the body.
    Incomplete {
        /// The body as far as it was received.
        body: RequestBody,
        /// Why reading has ended.
        end: BodyEnd,
    },
}

/// The client has closed its connection.
struct ClientDisconnected;

impl IncomingJob {
    /// Reads the body, passes the job to the engine and waits for its answer. `None` where the client has
    /// disconnected or gets no response. A body that is not stored is streamed: the job is passed on before
    /// all of it has arrived.
    pub async fn serve(self, frontend: &Frontend, connection: &mut Connection) -> Option<Exchange> {
        let clock = &frontend.engine.dispatcher_loop.clock;
        let client_deadline = clock.instant(self.draft.deadline);
        let received = match self.receive_body(frontend, connection, client_deadline).await {
            Ok(received) => received,
            Err(ReceiveError::ClientDisconnected) => return None,
            Err(ReceiveError::Incomplete { body, end }) => {
                return answer_incomplete(frontend, connection, self.draft, body, end).await;
            }
        };
        let ReceivedBody { body, unread } = received;
        let permit = match acquire_body_permit(frontend, connection, &body, client_deadline).await {
            Ok(permit) => permit,
            Err(ClientDisconnected) => {
                if let Some(reader) = unread {
                    reader.client_disconnected();
                }
                return None;
            }
        };
        let mut draft = self.draft;
        if let Some(answer_deadline) = frontend.answer_deadline(Instant::now()) {
            draft.limit_deadline(clock.micros(answer_deadline));
        }
        let job = draft.into_job(body.clone(), true, permit, connection.peer_close_detector());
        let Ok(request) = frontend.engine.submit(job) else {
            return Some(duplicate_request(unread.is_none()));
        };
        await_answer(frontend, connection, request, &body, unread).await
    }

    /// Reads the body until it is complete or is to be streamed.
    async fn receive_body(
        &self,
        frontend: &Frontend,
        connection: &mut Connection,
        client_deadline: Instant,
    ) -> Result<ReceivedBody, ReceiveError> {
        let budget_index = self.draft.budget_index(frontend);
        let writer = frontend
            .engine
            .bodies
            .begin_upload(budget_index, declared_length(self.framing))
            .map_err(|(end, body)| ReceiveError::Incomplete { body, end })?;
        let body = writer.body();
        if self.expects_continue && connection.write(CONTINUE).await.is_err() {
            return Err(ReceiveError::ClientDisconnected);
        }
        let read_started_at = self.read_started_at;
        let reader = BodyReader { framing: self.framing, writer, read_started_at, client_deadline };
        match read_until_drain_deadline(frontend, connection, reader).await {
            BodyProgress::Complete => Ok(ReceivedBody { body, unread: None }),
            BodyProgress::NotStored(reader) => Ok(ReceivedBody { body, unread: Some(reader) }),
            BodyProgress::Ended(end) => Err(ReceiveError::Incomplete { body, end }),
        }
    }
}

/// The length that the client declares; `None` for a chunked body.
fn declared_length(framing: BodyDecoder) -> Option<u64> {
    match framing {
        BodyDecoder::Length(length) => Some(length as u64),
        _ => None,
    }
}

/// The outcome of a request whose id another open request has.
fn duplicate_request(reusable: bool) -> Exchange {
    Exchange { response: Response::new(409), reusable, carried_job: false }
}

/// Reads the body for as long as the lifecycle allows.
async fn read_until_drain_deadline(
    frontend: &Frontend,
    connection: &mut Connection,
    reader: BodyReader,
) -> BodyProgress {
    let read_started_at = reader.read_started_at;
    or(reader.read_while_stored(frontend, connection), async {
        frontend.drain_deadline_passed(read_started_at).await;
        BodyProgress::Ended(BodyEnd::TooSlow)
    })
    .await
}

/// Waits until few enough long bodies are being sent to workers; a short body needs no permit. Without a
/// permit by `client_deadline` the job proceeds all the same: the decision module rejects it as overdue.
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

/// Waits for the answer while the unread rest of the body is streamed.
async fn await_answer(
    frontend: &Frontend,
    connection: &mut Connection,
    request: RequestHandle,
    body: &RequestBody,
    unread: Option<BodyReader>,
) -> Option<Exchange> {
    let answer = async { Ok(request.answer().await) };
    let interrupted = async { Err(stream_until_disconnected(frontend, connection, unread).await) };
    match or(answer, interrupted).await {
        Ok(answer) => {
            // After an early answer the rest of the body cannot be distinguished from the next request.
            let reusable = body.end().is_some_and(BodyEnd::is_complete);
            Some(Exchange { response: Response::from_answer(answer), reusable, carried_job: true })
        }
        Err(end) => {
            request.client_disconnected();
            let response = Response::from_body_end(end)?;
            Some(Exchange { response, reusable: false, carried_job: true })
        }
    }
}

/// Streams the unread rest of the body, then waits for the client to disconnect. Returns why no answer is
/// awaited any longer.
async fn stream_until_disconnected(
    frontend: &Frontend,
    connection: &mut Connection,
    unread: Option<BodyReader>,
) -> BodyEnd {
    if let Some(reader) = unread {
        let end = reader.stream_rest(frontend, connection).await;
        if !end.is_complete() {
            return end;
        }
    }
    connection.read_ahead_until_closed().await;
    BodyEnd::ClientDisconnected
}

/// The outcome of a job whose body was not received completely. One that could not be stored is passed to the
/// decision module, which rejects it.
async fn answer_incomplete(
    frontend: &Frontend,
    connection: &Connection,
    draft: RequestDraft,
    body: RequestBody,
    end: BodyEnd,
) -> Option<Exchange> {
    if !is_storage_failure(end) {
        return Response::from_body_end(end).map(Exchange::closing);
    }
    let job = draft.into_job(body, false, None, connection.peer_close_detector());
    let Ok(request) = frontend.engine.submit(job) else {
        return Some(duplicate_request(false));
    };
    let response = Response::from_answer(request.answer().await);
    Some(Exchange { response, reusable: false, carried_job: true })
}

/// Whether the body could not be stored and such bodies are rejected.
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
