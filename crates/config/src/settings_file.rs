//! The settings as the platform writes them. The platform's keys are mapped to the names of this repository
//! here, and nowhere else. Unknown keys are ignored. Times are in microseconds.

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

/// The settings of one dispatcher.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct SettingsFile {
    /// The number of dispatchers.
    #[serde(rename = "balancers")]
    pub(crate) instances: u32,
    /// The index of this dispatcher among them.
    #[serde(rename = "me", default)]
    pub(crate) instance: u32,
    /// The index of this dispatcher's zone.
    #[serde(default)]
    pub(crate) zone: usize,
    /// How the worker list arrives: `automatic` or `subscribe`.
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
    /// The time between two ticks.
    #[serde(rename = "round", default)]
    pub(crate) tick: Micros,
    /// Whether the weights of workers include their load: `live` if so.
    #[serde(default)]
    pub(crate) weights: String,
}

/// A request class.
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
    /// Where the idempotency keys of a `deduplicated` class are known: `all`, `zone` or `cell`.
    #[serde(default)]
    pub(crate) dedup_scope: String,
    #[serde(rename = "repeatWindow", default)]
    pub(crate) idempotency_window: Micros,
    #[serde(rename = "value", default = "one")]
    pub(crate) priority_weight: f64,
    #[serde(rename = "lateValue", default)]
    pub(crate) late_fraction: f64,
}

/// A tenant.
#[derive(Deserialize)]
pub(crate) struct TenantEntry {
    #[serde(default)]
    pub(crate) name: String,
}

/// What the platform permits.
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
    #[serde(rename = "retryAfter", default)]
    pub(crate) sends_retry_after: bool,
    #[serde(rename = "secondCopies", default)]
    pub(crate) hedging: bool,
}

/// The parameters of the platform's rules.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct RulesEntry {
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

/// Facts about this kind of service.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct ServiceEntry {
    /// The worker kind that each class prefers; negative for none.
    pub(crate) class_kind: Vec<i64>,
    /// The objective stretch of each class, before that of the class itself.
    pub(crate) class_stretch: Vec<f64>,
    #[serde(rename = "progress")]
    pub(crate) progress_interval: Micros,
    /// What the field `x0` of a load report means.
    pub(crate) report_x0: String,
    #[serde(rename = "tellsStart")]
    pub(crate) reports_start: bool,
}

/// Properties of the clients.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct ClientsEntry {
    pub(crate) marks_retry: bool,
}

/// The penalties in the platform's score.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct PenaltiesEntry {
    #[serde(rename = "waste")]
    pub(crate) wasted_work: f64,
    pub(crate) cross_zone: f64,
}

/// The load reports of workers.
#[derive(Deserialize, Default)]
#[serde(default)]
pub(crate) struct LoadReportEntry {
    fields: Vec<String>,
    /// How reports arrive: `answers` if responses carry them.
    how: String,
}

impl LoadReportEntry {
    /// The index of a field.
    pub(crate) fn field_index(&self, name: &str) -> Option<usize> {
        self.fields.iter().position(|field| field == name)
    }

    /// The fields that responses carry, in the report's order; none if responses carry no reports.
    pub(crate) fn fields_in_responses(&self) -> Vec<String> {
        if self.how == "answers" { self.fields.clone() } else { Vec::new() }
    }
}
