//! One client link, from its accept to its end.

use crate::front::Front;
use crate::intake::{self, Came, Intake, WHOLE};
use crate::read::{Draft, Read, read};
use crate::response::Response;
use futures_lite::future::{or, yield_now};
use sorrelhaven_body_store::{BLOCK_BYTES, BodyEnd, RequestBody};
use sorrelhaven_wire::{Body, Connection, MAX_BODY_BYTES, PeerProbe, WireError, timeout_at};
use std::time::{Duration, Instant};
use tracing::debug;

/// What a client that asks whether to send its body is told.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// A client must have taken its answer by then.
const SLOW_READER: Duration = Duration::from_secs(10);
/// A client link that has carried a request may stand idle for so long until the next.
const IDLE: Duration = Duration::from_secs(120);
/// How long a link that is given up is read on, so that the client sees the answer and not a reset.
const LINGER: Duration = Duration::from_millis(500);
/// The most that is still taken from such a link, in bytes.
const LINGER_MOST: usize = 4 * MAX_BODY_BYTES;

/// One client link: requests one after the other, until either side ends it. Until it has carried a job it
/// must hurry, and gives way to others as long as nothing has come on it.
pub async fn client_link(front: &Front, link: &mut Connection) {
    let accepted = Instant::now();
    let mut carried = false;
    while arrives(front, link, (!carried).then_some(accepted + WHOLE)).await {
        let first = if carried { Instant::now() } else { accepted };
        let Some((mut response, keeps_alive)) = exchange(front, link, first, &mut carried).await else {
            return;
        };
        if response.status / 100 == 4 {
            front.counters.malformed.add();
            debug!(response.status, body = %String::from_utf8_lossy(&response.body), "request rejected by the protocol");
        }
        response.close |= !keeps_alive || link.is_overrun() || front.empties();
        let bytes = response.bytes();
        if timeout_at(Instant::now() + SLOW_READER, link.write(&bytes)).await != Some(Ok(())) {
            return;
        }
        if response.close {
            _ = timeout_at(Instant::now() + LINGER, link.drain_input(LINGER_MOST)).await;
            return;
        }
        // A client that sends without a pause must not keep the others waiting.
        yield_now().await;
    }
}

/// Reads one request, of which the first byte could come at `first`, and finds its answer; with it comes whether the
/// connection can carry another. `None` where no one is there to hear it. `carried` is set once it is a job.
async fn exchange(
    front: &Front,
    link: &mut Connection,
    first: Instant,
    carried: &mut bool,
) -> Option<(Response, bool)> {
    let request = match front.whole(first, read(front, link)).await {
        None => return Some((Response::fault(408, "the request came too slowly"), false)),
        Some(Err(fault)) => return unread(fault).map(|response| (response, false)),
        Some(Ok(request)) => request,
    };
    let Read { asked, body, expects, keeps_alive } = request;
    match asked {
        Err(response) => match front.whole(first, drop_body(link, body, expects)).await {
            None => Some((Response::fault(408, "the request came too slowly"), false)),
            Some(Err(fault)) => unread(fault).map(|response| (response, false)),
            Some(Ok(())) => Some((response, keeps_alive)),
        },
        Ok(draft) => {
            let job = Coming { draft, body, expects, first };
            let (response, whole) = carry(front, link, job, carried).await?;
            Some((response, keeps_alive && whole))
        }
    }
}

/// The answer to what could not be read; `None` where no one is there to hear it.
fn unread(fault: WireError) -> Option<Response> {
    match fault {
        WireError::Closed | WireError::Broken => None,
        WireError::Malformed => Some(Response::fault(400, "not HTTP")),
        WireError::HeadTooLarge => Some(Response::fault(431, "the head is too large")),
        WireError::BodyTooLarge => Some(Response::fault(413, "the body is too large")),
    }
}

/// Reads past the body of what is no job.
async fn drop_body(link: &mut Connection, body: Body, expects: bool) -> Result<(), WireError> {
    if matches!(body, Body::Length(n) if n > MAX_BODY_BYTES) {
        return Err(WireError::BodyTooLarge);
    }
    if expects {
        link.write(CONTINUE).await?;
    }
    link.read_body(body).await.map(drop)
}

/// A job whose body is to come.
struct Coming {
    draft: Draft,
    body: Body,
    expects: bool,
    first: Instant,
}

/// Takes a job's body in, hands the job to the engine and waits for its answer. With the answer comes whether the
/// request has been read whole; `None` where the client has gone. A body that is not kept is passed on as it comes, so
/// its server is chosen before it is whole.
async fn carry(
    front: &Front,
    link: &mut Connection,
    Coming { mut draft, body, expects, first }: Coming,
    carried: &mut bool,
) -> Option<(Response, bool)> {
    let bodies = &front.engine.bodies;
    let declared = match body {
        Body::Length(length) => Some(length as u64),
        _ => None,
    };
    let due = front.engine.dispatcher_loop.clock.instant(draft.due());
    let writer = match bodies.begin(draft.party(front), declared) {
        Ok(writer) => writer,
        Err((end, body)) => return not_whole(front, draft, body, end, link.peer_probe(), carried).await,
    };
    let spool = writer.body();
    if expects && link.write(CONTINUE).await.is_err() {
        return None;
    }
    let intake = Intake { body, writer, first, due };
    let hurried = async {
        front.hurry(first).await;
        BodyEnd::TooSlow
    };
    let came = or(intake.keep(front, link), async { Came::Ended(hurried.await) });
    let intake = match came.await {
        Came::Whole => None,
        Came::Unkept(intake) => Some(intake),
        Came::Ended(end) => return not_whole(front, draft, spool, end, link.peer_probe(), carried).await,
    };
    // A long body waits until few others are on their way; one whose time is up meanwhile is the module's to refuse.
    let place = match spool.length() {
        Some(length) if length <= BLOCK_BYTES as u64 => None,
        _ => {
            let waited = or(async { Some(front.engine.body_admission.acquire(due).await) }, async {
                link.read_ahead_until_closed_in_body().await;
                None
            });
            match waited.await {
                Some(place) => place,
                None => {
                    if let Some(intake) = intake {
                        intake.writer.end(BodyEnd::ClientBroke);
                    }
                    return None;
                }
            }
        }
    };
    if let Some(by) = front.answer_by(Instant::now()) {
        draft.hurry(front.engine.dispatcher_loop.clock.micros(by));
    }
    let Some(ticket) = front.engine.take(draft.job(spool.clone(), true, place, link.peer_probe())) else {
        return Some((Response::new(409), intake.is_none()));
    };
    *carried = true;
    let rest = async {
        if let Some(intake) = intake {
            let end = intake.pass(front, link).await;
            if !end.is_whole() {
                return end;
            }
        }
        link.read_ahead_until_closed().await;
        BodyEnd::ClientBroke
    };
    match or(async { Ok(ticket.answer().await) }, async { Err(rest.await) }).await {
        // An answer may come before the whole body has: what is left of it can't be told from a next request.
        Ok(answer) => {
            let whole = spool.end().is_some_and(BodyEnd::is_whole);
            Some((answer.map_or(Response::new(500), Response::from), whole))
        }
        Err(end) => {
            ticket.client_disconnected();
            intake::answer(end).map(|response| (response, false))
        }
    }
}

/// The answer to a job whose body did not come whole. One that could not be kept goes to the module, which refuses it.
async fn not_whole(
    front: &Front,
    draft: Draft,
    body: RequestBody,
    end: BodyEnd,
    client: PeerProbe,
    carried: &mut bool,
) -> Option<(Response, bool)> {
    if !intake::refused(end) {
        return intake::answer(end).map(|response| (response, false));
    }
    let response = match front.engine.take(draft.job(body, false, None, client)) {
        None => Response::new(409),
        Some(ticket) => {
            *carried = true;
            ticket.answer().await.map_or(Response::new(500), Response::from)
        }
    };
    Some((response, false))
}

/// Waits for the first byte of a request; false when the link is to be closed instead. One that has carried no job yet
/// is closed at `hurry`. A link on which something has come is never closed unread: what comes between the last read and
/// the close is looked for once more.
async fn arrives(front: &Front, link: &mut Connection, hurry: Option<Instant>) -> bool {
    if link.buffered() > 0 {
        return true;
    }
    let eviction = if hurry.is_some() { &front.close_silent } else { &front.close_idle };
    let leave = front.leave.listen();
    let closed = async {
        if !front.lifecycle.read(|lifecycle| lifecycle.closes_idle_immediately(Instant::now())) {
            leave.await;
        }
        Wake::Close
    };
    let evicted = async {
        eviction.listen().await;
        Wake::Evicted
    };
    let came = async { if link.fill().await.is_ok() { Wake::Input } else { Wake::Gone } };
    let until = hurry.unwrap_or_else(|| Instant::now() + IDLE);
    match timeout_at(until, or(came, or(evicted, closed))).await {
        Some(Wake::Input) => true,
        Some(Wake::Gone) => false,
        Some(Wake::Evicted) if link.has_input() => {
            // Another one gives way in its place.
            eviction.notify_additional(1);
            true
        }
        Some(Wake::Evicted) => {
            front.counters.evicted.add();
            false
        }
        Some(Wake::Close) | None => link.has_input(),
    }
}

/// What a client link that waits for a request meets.
enum Wake {
    /// The first bytes of a request.
    Input,
    /// Its end.
    Gone,
    /// It is to give way to others.
    Evicted,
    /// The node ends links that stand idle.
    Close,
}
