//! Requests as PROTOCOL writes them, read into jobs.

use crate::front::Front;
use crate::response::Response;
use sorrelhaven_body_store::RequestBody;
use sorrelhaven_dispatcher::Micros;
use sorrelhaven_engine::{BodyPermit, Job, RequestPayload};
use sorrelhaven_lifecycle::Lifecycle;
use sorrelhaven_wire::{Body, Connection, Head, PeerProbe, StartLine, WireError};
use std::rc::Rc;

/// The answer must reach the client before it gives up: the way there and back comes off its time.
const CROSSING: Micros = 3_000;
/// The longest time that a client can ask the node to wait.
const LONGEST: f64 = 3_600e6;

/// A request by its head.
pub struct Read {
    /// What it asks for, or the answer to what is no job.
    pub asked: Result<Draft, Response>,
    /// How its body is framed.
    pub body: Body,
    /// The client waits to be told to send the body.
    pub expects: bool,
    /// Whether the client means to use the link again.
    pub keeps_alive: bool,
}

/// A job whose body is to come.
pub struct Draft {
    class: usize,
    tenant: usize,
    due: Micros,
    hint: Option<Micros>,
    width: f64,
    resent: bool,
    key: u64,
    id: Rc<str>,
    method: String,
    target: String,
    headers: Vec<(&'static str, String)>,
}

impl Draft {
    /// Its class and state office, as one of the parties that share the budgets of bodies.
    pub fn party(&self, front: &Front) -> usize {
        self.class * front.tenants.len().max(1) + self.tenant
    }

    /// When its client gives up.
    pub fn due(&self) -> Micros {
        self.due
    }

    /// Its answer must come by then, whatever its client allows.
    pub fn hurry(&mut self, by: Micros) {
        self.due = self.due.min(by);
    }

    /// The job with its body, all of it or what has come so far.
    pub fn job(self, body: RequestBody, sendable: bool, place: Option<BodyPermit>, client: PeerProbe) -> Job {
        let Draft { class, due, hint, width, resent, key, id, method, target, headers, .. } = self;
        let parcel = RequestPayload { id, method, target, headers, body };
        Job {
            class,
            deadline: due,
            work_hint: hint,
            slots: width,
            is_retry: resent,
            affinity_key: key,
            body_sendable: sendable,
            body_permit: place,
            client_probe: Some(client),
            payload: parcel,
        }
    }
}

/// Reads one request's head.
pub async fn read(front: &Front, link: &mut Connection) -> Result<Read, WireError> {
    let head = link.read_head(Head::parse_request).await?;
    let came = front.engine.dispatcher_loop.clock.now();
    let body = head.body()?;
    let expects =
        body != Body::Length(0) && head.get("Expect").is_some_and(|v| v.eq_ignore_ascii_case("100-continue"));
    Ok(Read { asked: parse(front, &head, came), body, expects, keeps_alive: head.keeps_alive() })
}

/// Reads a request by the protocol.
fn parse(front: &Front, head: &Head, came: Micros) -> Result<Draft, Response> {
    let StartLine::Request { method, target } = &head.start else {
        return Err(Response::fault(400, "not a request"));
    };
    match (target.split('?').next().unwrap_or_default(), method.as_str()) {
        ("/health/ready", "GET") => {
            return Err(Response::new(if front.lifecycle.read(Lifecycle::is_ready) { 200 } else { 503 }));
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
    let tenant = front.tenants.iter().position(|t| Some(t.as_str()) == head.get("Tenant"));
    let tenant = match tenant {
        None if !front.tenants.is_empty() => return Err(bad("Tenant")),
        tenant => tenant.unwrap_or(0),
    };
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
    Ok(Draft {
        class,
        tenant,
        due: came.saturating_add((wait - CROSSING).max(0)),
        hint,
        width,
        resent: head.get("Client-Retry") == Some("1"),
        key: head.get("Affinity-Key").map_or(0, sorrelhaven_config::stable_hash),
        id,
        method: method.clone(),
        target: target.clone(),
        headers,
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

/// The slots a job takes, as `slots=` in the further metrics; 1 where they do not say.
fn width(info: &str) -> Option<f64> {
    for figure in info.split(',').filter(|f| !f.trim().is_empty()) {
        let (name, value) = figure.split_once('=')?;
        if matches!(name.trim(), "slots" | "width") {
            return value.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0);
        }
    }
    Some(1.0)
}
