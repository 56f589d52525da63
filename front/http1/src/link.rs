//! One client link, from its accept to its end.

use crate::front::Front;
use crate::intake::{self, Came, Intake, WHOLE};
use crate::read::{Draft, Read, read};
use crate::response::Response;
use event_listener::EventListener;
use futures_lite::future::{or, yield_now};
use sorrelhaven_bodies::{BLOCK, End, Spool};
use sorrelhaven_wire::{BODY_MOST, Body, Fault, Link, by};
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
const LINGER_MOST: usize = 4 * BODY_MOST;

/// One client link: requests one after the other, until either side ends it. Until it has carried a job it
/// must hurry, and gives way to others.
pub async fn client_link(front: &Front, link: &mut Link) {
    let accepted = Instant::now();
    let mut silent = Some(front.close_silent.listen());
    while arrives(front, link, accepted + WHOLE, &mut silent).await {
        let first = if silent.is_some() { accepted } else { Instant::now() };
        let read = or(front.whole(first, read(front, link)), async {
            unwanted(&mut silent).await;
            Some(Err(Fault::Closed))
        });
        let answered = match read.await {
            None => Some((Response::fault(408, "the request came too slowly"), false)),
            Some(Err(fault)) => unread(fault).map(|response| (response, false)),
            Some(Ok(Read { asked: Err(response), body, expects, keeps_alive })) => {
                let dropped = front.whole(first, drop_body(link, body, expects));
                let dropped = or(dropped, async {
                    unwanted(&mut silent).await;
                    Some(Err(Fault::Closed))
                });
                match dropped.await {
                    None => Some((Response::fault(408, "the request came too slowly"), false)),
                    Some(Err(fault)) => unread(fault).map(|response| (response, false)),
                    Some(Ok(())) => Some((response, keeps_alive)),
                }
            }
            Some(Ok(Read { asked: Ok(draft), body, expects, keeps_alive })) => {
                let job = Coming { draft, body, expects, first };
                carry(front, link, job, &mut silent)
                    .await
                    .map(|(response, whole)| (response, keeps_alive && whole))
            }
        };
        let Some((mut response, keeps_alive)) = answered else { return };
        if response.status / 100 == 4 {
            front.counters.malformed.add();
            debug!(response.status, body = %String::from_utf8_lossy(&response.body), "not taken");
        }
        response.close |= !keeps_alive || front.empties();
        let bytes = response.bytes();
        if by(Instant::now() + SLOW_READER, link.write(&bytes)).await != Some(Ok(())) {
            return;
        }
        if response.close {
            let until = Instant::now() + LINGER;
            or(async { _ = by(until, link.linger(LINGER_MOST)).await }, unwanted(&mut silent)).await;
            return;
        }
        // A client that sends without a pause must not keep the others waiting.
        yield_now().await;
    }
}

/// The answer to what could not be read; `None` where no one is there to hear it.
fn unread(fault: Fault) -> Option<Response> {
    match fault {
        Fault::Closed | Fault::Broken => None,
        Fault::Malformed => Some(Response::fault(400, "not HTTP")),
        Fault::HeadTooLarge => Some(Response::fault(431, "the head is too large")),
        Fault::BodyTooLarge => Some(Response::fault(413, "the body is too large")),
    }
}

/// Reads past the body of what is no job.
async fn drop_body(link: &mut Link, body: Body, expects: bool) -> Result<(), Fault> {
    if matches!(body, Body::Length(n) if n > BODY_MOST) {
        return Err(Fault::BodyTooLarge);
    }
    if expects {
        link.write(CONTINUE).await?;
    }
    link.whole(body).await.map(drop)
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
    link: &mut Link,
    Coming { mut draft, body, expects, first }: Coming,
    silent: &mut Option<EventListener>,
) -> Option<(Response, bool)> {
    let bodies = &front.engine.bodies;
    let declared = match body {
        Body::Length(length) => Some(length as u64),
        _ => None,
    };
    let due = front.engine.desk.clock.instant(draft.due());
    let writer = match bodies.begin(draft.party(front), declared) {
        Ok(writer) => writer,
        Err((end, body)) => return not_whole(front, draft, body, end, silent).await,
    };
    let spool = writer.spool();
    if expects && link.write(CONTINUE).await.is_err() {
        return None;
    }
    let intake = Intake { body, writer, first, due };
    let gives_up = async {
        unwanted(silent).await;
        End::ClientBroke
    };
    let hurried = async {
        front.hurry(first).await;
        End::TooSlow
    };
    let came = or(intake.keep(front, link), async { Came::Ended(or(gives_up, hurried).await) });
    let intake = match came.await {
        Came::Whole => None,
        Came::Unkept(intake) => Some(intake),
        Came::Ended(end) => return not_whole(front, draft, spool, end, silent).await,
    };
    // A long body waits until few others are on their way; one whose time is up meanwhile is the module's to refuse.
    let place = match spool.length() {
        Some(length) if length <= BLOCK as u64 => None,
        _ => {
            let waited = or(async { Some(front.engine.places.take(due).await) }, async {
                link.ended().await;
                None
            });
            match waited.await {
                Some(place) => place,
                None => {
                    if let Some(intake) = intake {
                        intake.writer.end(End::ClientBroke);
                    }
                    return None;
                }
            }
        }
    };
    if let Some(by) = front.answer_by(Instant::now()) {
        draft.hurry(front.engine.desk.clock.micros(by));
    }
    let Some(ticket) = front.engine.take(draft.job(spool.clone(), true, place)) else {
        return Some((Response::new(409), intake.is_none()));
    };
    *silent = None;
    let rest = async {
        if let Some(intake) = intake {
            let end = intake.pass(front, link).await;
            if !end.is_whole() {
                return end;
            }
        }
        link.ended().await;
        End::ClientBroke
    };
    match or(async { Ok(ticket.answer().await) }, async { Err(rest.await) }).await {
        // An answer may come before the whole body has: what is left of it can't be told from a next request.
        Ok(answer) => {
            let whole = spool.end().is_some_and(End::is_whole);
            Some((answer.map_or(Response::new(500), Response::from), whole))
        }
        Err(end) => {
            ticket.leave();
            intake::answer(end).map(|response| (response, false))
        }
    }
}

/// The answer to a job whose body did not come whole. One that could not be kept goes to the module, which refuses it.
async fn not_whole(
    front: &Front,
    draft: Draft,
    body: Spool,
    end: End,
    silent: &mut Option<EventListener>,
) -> Option<(Response, bool)> {
    if !intake::refused(end) {
        return intake::answer(end).map(|response| (response, false));
    }
    let response = match front.engine.take(draft.job(body, false, None)) {
        None => Response::new(409),
        Some(ticket) => {
            *silent = None;
            ticket.answer().await.map_or(Response::new(500), Response::from)
        }
    };
    Some((response, false))
}

/// Waits until a link that has carried no job is to give way; for ever for one that has.
async fn unwanted(silent: &mut Option<EventListener>) {
    match silent {
        Some(asked) => asked.await,
        None => std::future::pending().await,
    }
}

/// Waits for the first byte of a request; false when the link is to be closed instead.
async fn arrives(front: &Front, link: &mut Link, hurry: Instant, silent: &mut Option<EventListener>) -> bool {
    if link.pending() > 0 {
        return true;
    }
    let until = if silent.is_some() { hurry } else { Instant::now() + IDLE };
    let leave = front.leave.listen();
    let close = async {
        // What has come before the node closes is still read.
        if !front.standing.look(|node| node.closed(Instant::now())) {
            let gives_way = async {
                match silent {
                    Some(asked) => asked.await,
                    None => front.close_idle.listen().await,
                }
            };
            or(gives_way, leave).await;
        }
        false
    };
    by(until, or(async { link.fill().await.is_ok() }, close)).await.unwrap_or(false)
}
