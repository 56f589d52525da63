//! One client link, from its accept to its end.

use crate::front::Front;
use crate::read::{Read, read};
use crate::response::Response;
use event_listener::EventListener;
use futures_lite::future::{or, yield_now};
use sorrelhaven_wire::{Fault, Link, by};
use std::time::{Duration, Instant};
use tracing::debug;

/// A request must be whole so long after its first byte, the first one on a link so long after the accept.
/// Guards against links that say nothing, or half of something: they are owed a close within 3 s.
const WHOLE: Duration = Duration::from_millis(2_200);
/// A client must have taken its answer by then.
const SLOW_READER: Duration = Duration::from_secs(10);
/// A client link that has carried a request may stand idle for so long until the next.
const IDLE: Duration = Duration::from_secs(120);
/// How long a link that is given up is read on, so that the client sees the answer and not a reset.
const LINGER: Duration = Duration::from_millis(500);

/// One client link: requests one after the other, until either side ends it. Until it has carried a job it
/// must hurry, and gives way to others.
pub async fn client_link(front: &Front, link: &mut Link) {
    let hurry = Instant::now() + WHOLE;
    let mut silent = Some(front.close_silent.listen());
    while arrives(front, link, hurry, &mut silent).await {
        let whole_by = if silent.is_some() { hurry } else { Instant::now() + WHOLE };
        let read = or(by(whole_by, read(front, link)), async {
            unwanted(&mut silent).await;
            Some(Err(Fault::Closed))
        });
        let (mut response, keeps_alive) = match read.await {
            None => (Response::fault(408, "the request came too slowly"), false),
            Some(Err(Fault::Closed | Fault::Broken)) => return,
            Some(Err(Fault::Malformed)) => (Response::fault(400, "not HTTP"), false),
            Some(Err(Fault::HeadTooLarge)) => (Response::fault(431, "the head is too large"), false),
            Some(Err(Fault::BodyTooLarge)) => (Response::fault(413, "the body is too large"), false),
            Some(Ok(Read { parsed: Err(response), keeps_alive })) => (response, keeps_alive),
            Some(Ok(Read { parsed: Ok(job), keeps_alive })) => match front.engine.take(job) {
                None => (Response::new(409), keeps_alive),
                Some(ticket) => {
                    silent = None;
                    let answer = or(async { Some(ticket.answer().await) }, async {
                        link.ended().await;
                        None
                    });
                    match answer.await {
                        Some(Some(answer)) => (answer.into(), keeps_alive),
                        Some(None) => (Response::new(500), false),
                        None => {
                            ticket.leave();
                            return;
                        }
                    }
                }
            },
        };
        if response.status / 100 == 4 {
            front.counters.malformed.add();
            debug!(response.status, body = %String::from_utf8_lossy(&response.body), "not taken");
        }
        response.close |= !keeps_alive || front.closing();
        let bytes = response.bytes();
        if by(Instant::now() + SLOW_READER, link.write(&bytes)).await != Some(Ok(())) {
            return;
        }
        if response.close {
            let until = Instant::now() + LINGER;
            or(async { _ = by(until, link.linger()).await }, unwanted(&mut silent)).await;
            return;
        }
        // A client that sends without a pause must not keep the others waiting.
        yield_now().await;
    }
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
    let close = async {
        // What has come before the node closes is still read.
        if !front.closing() {
            match silent {
                Some(asked) => asked.await,
                None => front.close_idle.listen().await,
            }
        }
        false
    };
    by(until, or(async { link.fill().await.is_ok() }, close)).await.unwrap_or(false)
}
