//! Requests as PROTOCOL writes them, read into jobs.

use crate::front::Front;
use crate::response::Response;
use sorrelhaven_engine::{Job, Parcel};
use sorrelhaven_wire::{BODY_MOST, Body, Fault, Head, Link, Start};
use stepusher::Micros;

/// The answer must reach the client before it gives up: the way there and back comes off its time.
const CROSSING: Micros = 3_000;
/// The longest time that a client can ask the node to wait.
const LONGEST: f64 = 3_600e6;

/// What was read: a job, or the answer to what is none.
pub struct Read {
    /// The job, or the answer that needs none.
    pub parsed: Result<Job, Response>,
    /// Whether the client means to use the link again.
    pub keeps_alive: bool,
}

/// Reads one request.
pub async fn read(front: &Front, link: &mut Link) -> Result<Read, Fault> {
    let head = link.head(Head::request).await?;
    let came = front.engine.desk.clock.now();
    let framing = head.body()?;
    // A length that is too large is answered from the head: neither asked for nor read.
    if matches!(framing, Body::Length(n) if n > BODY_MOST) {
        return Err(Fault::BodyTooLarge);
    }
    if framing != Body::Length(0)
        && head.get("Expect").is_some_and(|v| v.eq_ignore_ascii_case("100-continue"))
    {
        link.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let body = link.whole(framing).await?;
    let keeps_alive = head.keeps_alive();
    Ok(Read { parsed: parse(front, &head, body, came), keeps_alive })
}

/// Reads a request by the protocol.
fn parse(front: &Front, head: &Head, body: Vec<u8>, came: Micros) -> Result<Job, Response> {
    let Start::Request { method, target } = &head.start else {
        return Err(Response::fault(400, "not a request"));
    };
    match (target.split('?').next().unwrap_or_default(), method.as_str()) {
        ("/health/ready", "GET") => {
            // The listener opens only once the list is loaded; a node that closes wants no new clients.
            return Err(Response::new(if front.closing() { 503 } else { 200 }));
        }
        ("/health/ready", _) => return Err(Response { allow: Some("GET"), ..Response::new(405) }),
        ("/api", "POST") => {}
        ("/api", _) => return Err(Response { allow: Some("POST"), ..Response::new(405) }),
        _ => return Err(Response::new(404)),
    }
    let bad = |name: &str| Response::fault(400, &format!("{name} is missing or does not read"));
    // What travels on must be plain text, and given once: an executor might read another of two.
    let need = |name: &str| match head.only(name) {
        Some(value) if !value.is_empty() && value.bytes().all(|b| b.is_ascii_graphic()) => Ok(value),
        _ => Err(bad(name)),
    };
    let id = need("Request-Id")?.into();
    let class_name = need("Request-Class")?;
    let class =
        front.classes.iter().position(|c| c.name == class_name).ok_or_else(|| bad("Request-Class"))?;
    if !front.tenants.is_empty() && !front.tenants.iter().any(|t| Some(t.as_str()) == head.get("Tenant")) {
        return Err(bad("Tenant"));
    }
    let wait = duration(need("Request-Timeout")?).ok_or_else(|| bad("Request-Timeout"))?;
    let hint = match head.get("Work-Hint") {
        Some(text) => Some(text.parse::<Micros>().map_err(|_| bad("Work-Hint"))?),
        None => None,
    };
    let width = width(head.get("Request-Info").unwrap_or_default()).ok_or_else(|| bad("Request-Info"))?;
    let mut headers = Vec::new();
    if front.classes[class].keyed {
        need("Idempotency-Key")?;
    }
    for name in ["Idempotency-Key", "Content-Type"] {
        headers.extend(head.get(name).map(|value| (name, value.to_string())));
    }
    Ok(Job {
        class,
        due: came.saturating_add((wait - CROSSING).max(0)),
        hint,
        width,
        resent: head.get("Client-Retry") == Some("1"),
        key: head.get("Affinity-Key").map_or(0, sorrelhaven_config::key),
        parcel: Parcel { id, method: method.clone(), target: target.clone(), headers, body },
    })
}

/// A number and a unit: `m` milliseconds or `u` microseconds.
fn duration(text: &str) -> Option<Micros> {
    let micros = match (text.strip_suffix('m'), text.strip_suffix('u')) {
        (Some(number), _) => number.parse::<f64>().ok()? * 1e3,
        (None, Some(number)) => number.parse::<f64>().ok()?,
        (None, None) => return None,
    };
    (micros.is_finite() && micros >= 0.0).then(|| micros.min(LONGEST) as Micros)
}

/// The slots a job takes, as `slots=` in the further figures; 1 where they do not say.
fn width(info: &str) -> Option<f64> {
    for figure in info.split(',').filter(|f| !f.trim().is_empty()) {
        let (name, value) = figure.split_once('=')?;
        if matches!(name.trim(), "slots" | "width") {
            return value.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0);
        }
    }
    Some(1.0)
}
