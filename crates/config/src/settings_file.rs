//! The object `settings` of the platform's file. Its keys are mapped to the names of this repository by serde
//! attributes in this module only. Unknown keys are ignored. Times are in microseconds.

use serde::Deserialize;
use sorrelhaven_dispatcher::Micros;

const DEFAULT_IDLE_TIMEOUT: Micros = 15_000_000;
const DEFAULT_DRAIN_GRACE: Micros = 1_000_000;
const DEFAULT_MAX_LIST_STALENESS: Micros = 10_000_000;

fn one() -> f64 {
    1.0
}

fn default_idle_timeout() -> Micros {
    DEFAULT_IDLE_TIMEOUT
}

fn default_drain_grace() -> Micros {
    DEFAULT_DRAIN_GRACE
}

fn default_max_list_staleness() -> Micros {
    DEFAULT_MAX_LIST_STALENESS
}

/// The settings of one dispatcher. For a field without a description, see the field of the same name in
/// [`Settings`](sorrelhaven_dispatcher::Settings) or [`Config`](crate::Config), or the type of the field.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct SettingsFile {
    /// The number of dispatchers that share the workers.
    #[serde(rename = "balancers")]
    pub(crate) instances: u32,
    /// The index of this dispatcher among them, from 0.
    #[serde(rename = "me", default)]
    pub(crate) instance: u32,
    /// The index in `zones` of the zone of this dispatcher.
    #[serde(default)]
    pub(crate) zone: usize,
    /// How changes of the worker list arrive: `automatic`, or `subscribe` if the dispatcher must subscribe to
    /// them first.
    #[serde(default)]
    pub(crate) discovery: String,
    #[serde(rename = "kinds", default)]
    pub(crate) worker_kinds: Vec<String>,
    #[serde(default)]
    pub(crate) zones: Vec<String>,
    #[serde(rename = "projects", default)]
    pub(crate) tenants: Vec<TenantEntry>,
    #[serde(rename = "grades")]
    pub(crate) classes: Vec<ClassEntry>,
    #[serde(rename = "ceilings")]
    pub(crate) limits: LimitsEntry,
    #[serde(rename = "invariants")]
    pub(crate) rules: RulesEntry,
    #[serde(rename = "familyInfo", default)]
    pub(crate) service: ServiceEntry,
    #[serde(rename = "report", default)]
    pub(crate) load_report: LoadReportEntry,
    #[serde(rename = "prices", default)]
    pub(crate) penalties: PenaltiesEntry,
    #[serde(rename = "callers", default)]
    pub(crate) clients: ClientsEntry,
    /// The least delay of a timer that the dispatcher sets.
    #[serde(rename = "round", default)]
    pub(crate) min_timer_delay: Micros,
    /// `live` if the weights of workers are lowered by the load that they had at some earlier time.
    #[serde(default)]
    pub(crate) weights: String,
}

/// A request class. See [`Class`](sorrelhaven_dispatcher::Class) for the fields without a description.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct ClassEntry {
    #[serde(default)]
    pub(crate) name: String,
    #[serde(rename = "aim")]
    pub(crate) latency_objective: Micros,
    #[serde(rename = "aimStretch", default)]
    pub(crate) objective_stretch: Option<f64>,
    pub(crate) deadline: Micros,
    /// `idempotent`, `at_most_once` or `deduplicated`.
    #[serde(rename = "effect")]
    pub(crate) idempotency: String,
    /// The workers that recognise a repeated idempotency key of a `deduplicated` class: `all`, or those in
    /// the `zone` or the `cell` of the worker that received the request first.
    #[serde(default)]
    pub(crate) dedup_scope: String,
    #[serde(rename = "repeatWindow", default)]
    pub(crate) idempotency_window: Micros,
    #[serde(rename = "value", default = "one")]
    pub(crate) priority_weight: f64,
    #[serde(rename = "lateValue", default)]
    pub(crate) late_value_fraction: f64,
}

/// A tenant, of which only the name is used.
#[derive(Deserialize)]
pub(crate) struct TenantEntry {
    #[serde(default)]
    pub(crate) name: String,
}

/// What the platform permits. See [`Limits`](sorrelhaven_dispatcher::Limits) for the fields without a
/// description, and [`Config`](crate::Config) for `idle_timeout`.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct LimitsEntry {
    #[serde(default)]
    pub(crate) cancel: bool,
    #[serde(rename = "dialTimeout", default)]
    pub(crate) connect_timeout: Micros,
    #[serde(rename = "keepalive", default = "default_idle_timeout")]
    pub(crate) idle_timeout: Micros,
    pub(crate) max_attempts: u32,
    #[serde(default)]
    pub(crate) max_retry_after: Micros,
    #[serde(rename = "mayProbe", default)]
    pub(crate) probes: bool,
    /// Whether a rejected client gets a `Retry-After`; if not, `max_retry_after` is ignored.
    #[serde(rename = "retryAfter", default)]
    pub(crate) sends_retry_after: bool,
    #[serde(rename = "secondCopies", default)]
    pub(crate) hedging: bool,
}

/// The parameters of the platform's rules: slow start of workers, draining, staleness of the worker list, and
/// whether a rejected job may have run. See [`SlowStartRules`](sorrelhaven_dispatcher::SlowStartRules),
/// [`Limits`](sorrelhaven_dispatcher::Limits) and [`Config`](crate::Config) for the fields without a
/// description.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct RulesEntry {
    /// The longest time from the start of a worker's process until the worker has its full capacity.
    #[serde(rename = "cold", default)]
    pub(crate) slow_start: Micros,
    #[serde(rename = "askWithin", default = "default_max_list_staleness")]
    pub(crate) max_list_staleness: Micros,
    #[serde(default = "default_drain_grace")]
    pub(crate) drain_grace: Micros,
    #[serde(rename = "fall", default)]
    pub(crate) overload_window: Micros,
    #[serde(default = "one")]
    pub(crate) overload_factor: f64,
    #[serde(rename = "startCapacity", default = "one")]
    pub(crate) initial_capacity: f64,
    #[serde(rename = "busyIsNoProof", default)]
    pub(crate) rejection_may_have_run: bool,
}

/// Properties of the service that the workers provide. See [`Settings`](sorrelhaven_dispatcher::Settings) for
/// the fields without a description.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct ServiceEntry {
    /// For each class, the index in `worker_kinds` of the only kind that runs it; negative if all kinds do.
    pub(crate) class_kind: Vec<i64>,
    /// For each class, its objective stretch, which takes precedence over `ClassEntry::objective_stretch`.
    pub(crate) class_stretch: Vec<f64>,
    #[serde(rename = "progress")]
    pub(crate) progress_interval: Micros,
    /// A description of the load report's field `x0`.
    pub(crate) report_x0: String,
    #[serde(rename = "tellsStart")]
    pub(crate) workers_report_start: bool,
}

/// How clients behave.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct ClientsEntry {
    /// Whether clients mark a request that they send again as a retry.
    pub(crate) marks_retry: bool,
}

/// The deductions in the platform's score of a dispatcher. See
/// [`Penalties`](sorrelhaven_dispatcher::Penalties).
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct PenaltiesEntry {
    #[serde(rename = "waste")]
    pub(crate) wasted_work: f64,
    pub(crate) cross_zone: f64,
}

/// The form of the workers' load reports.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct LoadReportEntry {
    /// The names of a report's values, in their order.
    fields: Vec<String>,
    /// How reports arrive: `answers` if workers attach them to responses.
    how: String,
}

impl LoadReportEntry {
    /// The index in a report of the value with this name.
    pub(crate) fn field_index(&self, name: &str) -> Option<usize> {
        self.fields.iter().position(|field| field == name)
    }

    /// The names of the values in a report, in their order; empty if responses carry no reports.
    pub(crate) fn fields_in_responses(&self) -> Vec<String> {
        if self.how == "answers" { self.fields.clone() } else { Vec::new() }
    }
}
