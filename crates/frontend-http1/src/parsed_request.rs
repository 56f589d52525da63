//! Reads and validates the head of a request.

use crate::frontend::Frontend;
use crate::request_draft::RequestDraft;
use crate::response::Response;
use sorrelhaven_config::stable_hash;
use sorrelhaven_dispatcher::Micros;
use sorrelhaven_lifecycle::Lifecycle;
use sorrelhaven_wire::{BodyDecoder, Connection, Head, StartLine, WireError, trim_white_space};

/// The part of the client's timeout that is left for the network round trip, so that the answer reaches the
/// client before the timeout expires.
const ROUND_TRIP_ALLOWANCE_MICROS: Micros = 3_000;
/// The longest client timeout that is accepted, one hour. A longer one counts as this.
const MAX_TIMEOUT_MICROS: f64 = 3_600e6;
/// The number of slots that a job occupies at a worker if its request does not state one.
const DEFAULT_SLOTS: f64 = 1.0;
const READINESS_PATH: &str = "/health/ready";
const JOB_PATH: &str = "/api";

/// A request whose head has been read.
pub struct ParsedRequest {
    /// The draft of a valid job, or the response to any other request.
    pub draft: Result<RequestDraft, Response>,
    /// Decodes the body, by its declared length or in the chunked coding.
    pub body_decoder: BodyDecoder,
    /// Whether the client waits for `100 Continue` before it sends the body.
    pub expects_continue: bool,
    /// Whether the client keeps the connection open for another request.
    pub keeps_alive: bool,
}

impl ParsedRequest {
    /// Reads the head of the next request on the connection.
    ///
    /// # Errors
    /// The head could not be read, or its headers that concern the connection or state the length of the body are
    /// invalid or ambiguous.
    pub async fn read(frontend: &Frontend, connection: &mut Connection) -> Result<ParsedRequest, WireError> {
        let head = connection.read_head(Head::parse_request).await?;
        let received_at = frontend.engine.dispatcher_loop.clock.now();
        let body_decoder = head.body_decoder()?;
        let has_body = body_decoder != BodyDecoder::Length(0);
        let expects_continue = has_body && expects_continue(&head)?;
        let keeps_alive = head.keeps_alive()?;
        Ok(ParsedRequest {
            draft: route(frontend, &head, received_at),
            body_decoder,
            expects_continue,
            keeps_alive,
        })
    }
}

/// Whether the client waits for `100 Continue`. Other expectations are ignored.
fn expects_continue(head: &Head) -> Result<bool, WireError> {
    let expectations = head.list("Expect")?;
    Ok(expectations.iter().any(|expectation| expectation.eq_ignore_ascii_case("100-continue")))
}

/// Routes a request by its path and method: returns the draft of a valid job, or the response to any other
/// request.
fn route(frontend: &Frontend, head: &Head, received_at: Micros) -> Result<RequestDraft, Response> {
    let StartLine::Request { method, target } = &head.start_line else {
        return Err(Response::protocol_error(400, "not a request"));
    };
    let path = target.split('?').next().unwrap_or_default();
    match (path, method.as_str()) {
        (READINESS_PATH, "GET") => Err(readiness(frontend)),
        (READINESS_PATH, _) => Err(Response::method_not_allowed("GET")),
        (JOB_PATH, "POST") => {
            let headers = JobHeaders { frontend, head };
            headers.draft(method, target, received_at)
        }
        (JOB_PATH, _) => Err(Response::method_not_allowed("POST")),
        _ => Err(Response::new(404)),
    }
}

fn readiness(frontend: &Frontend) -> Response {
    let is_ready = frontend.lifecycle.read(Lifecycle::is_ready);
    Response::new(if is_ready { 200 } else { 503 })
}

/// Validates the headers of a job one by one.
struct JobHeaders<'a> {
    frontend: &'a Frontend,
    head: &'a Head,
}

impl JobHeaders<'_> {
    /// The draft of the job, or the response that names the first missing or invalid header.
    fn draft(&self, method: &str, target: &str, received_at: Micros) -> Result<RequestDraft, Response> {
        let id = self.required("Request-Id")?.into();
        let class = self.class()?;
        let tenant = self.tenant()?;
        let timeout = self.timeout()?;
        let work_hint = self.work_hint()?;
        let slots = self.slots()?;
        if self.frontend.classes[class].requires_idempotency_key {
            self.required("Idempotency-Key")?;
        }
        Ok(RequestDraft {
            class,
            tenant,
            deadline: received_at.saturating_add((timeout - ROUND_TRIP_ALLOWANCE_MICROS).max(0)),
            work_hint,
            slots,
            is_retry: self.text("Client-Retry")? == Some("1"),
            affinity_key: self.value("Affinity-Key")?.map_or(0, stable_hash),
            id,
            method: method.to_string(),
            target: target.to_string(),
            headers: self.forwarded()?,
        })
    }

    /// The value of a header, byte for byte; `None` without one. Two values are invalid because the worker or
    /// another recipient might read the other one.
    fn value(&self, name: &str) -> Result<Option<&[u8]>, Response> {
        self.head.value(name).map_err(|_| invalid_header(name))
    }

    /// The value of a header as text; `None` without one.
    fn text(&self, name: &str) -> Result<Option<&str>, Response> {
        self.head.text(name).map_err(|_| invalid_header(name))
    }

    /// The value of a header that must be present exactly once and be printable ASCII without spaces.
    fn required(&self, name: &str) -> Result<&str, Response> {
        match self.text(name)? {
            Some(value) if !value.is_empty() && value.bytes().all(|byte| byte.is_ascii_graphic()) => {
                Ok(value)
            }
            _ => Err(invalid_header(name)),
        }
    }

    /// The class, named byte for byte as in the settings.
    fn class(&self) -> Result<usize, Response> {
        let name = self.value("Request-Class")?;
        let class = self.frontend.classes.iter().position(|class| Some(class.name.as_bytes()) == name);
        class.ok_or_else(|| invalid_header("Request-Class"))
    }

    /// The tenant, named byte for byte as in the settings. Without tenants in the settings the header is ignored.
    fn tenant(&self) -> Result<usize, Response> {
        if self.frontend.tenants.is_empty() {
            return Ok(0);
        }
        let name = self.value("Tenant")?;
        let tenant = self.frontend.tenants.iter().position(|tenant| Some(tenant.as_bytes()) == name);
        tenant.ok_or_else(|| invalid_header("Tenant"))
    }

    fn timeout(&self) -> Result<Micros, Response> {
        parse_timeout(self.required("Request-Timeout")?).ok_or_else(|| invalid_header("Request-Timeout"))
    }

    fn work_hint(&self) -> Result<Option<Micros>, Response> {
        let Some(text) = self.text("Work-Hint")? else { return Ok(None) };
        text.parse::<Micros>().map(Some).map_err(|_| invalid_header("Work-Hint"))
    }

    fn slots(&self) -> Result<f64, Response> {
        let figures = self.head.list("Request-Info").map_err(|_| invalid_header("Request-Info"))?;
        parse_slots(&figures).ok_or_else(|| invalid_header("Request-Info"))
    }

    /// The headers that are forwarded to the worker, byte for byte.
    fn forwarded(&self) -> Result<Vec<(&'static str, Vec<u8>)>, Response> {
        let mut forwarded = Vec::new();
        for name in ["Idempotency-Key", "Content-Type"] {
            if let Some(value) = self.value(name)? {
                forwarded.push((name, value.to_vec()));
            }
        }
        Ok(forwarded)
    }
}

fn invalid_header(name: &str) -> Response {
    Response::protocol_error(400, &format!("{name} is missing or does not read"))
}

/// Parses a duration: a number with the unit `m` (milliseconds) or `u` (microseconds).
fn parse_timeout(text: &str) -> Option<Micros> {
    let micros = match (text.strip_suffix('m'), text.strip_suffix('u')) {
        (Some(number), _) => number.parse::<f64>().ok()? * 1e3,
        (None, Some(number)) => number.parse::<f64>().ok()?,
        (None, None) => return None,
    };
    let is_valid = micros.is_finite() && micros >= 0.0;
    is_valid.then(|| micros.min(MAX_TIMEOUT_MICROS) as Micros)
}

/// Parses the slots that a job occupies: `slots=`, or its alias `width=`, among the figures of `Request-Info`.
/// Returns [`DEFAULT_SLOTS`] if neither is present, and `None` if that figure or one before it is malformed.
fn parse_slots(figures: &[&str]) -> Option<f64> {
    for figure in figures {
        let (name, value) = figure.split_once('=')?;
        if matches!(trim_white_space(name), "slots" | "width") {
            let slots = trim_white_space(value).parse::<f64>().ok()?;
            return (slots.is_finite() && slots >= 0.0).then_some(slots);
        }
    }
    Some(DEFAULT_SLOTS)
}
