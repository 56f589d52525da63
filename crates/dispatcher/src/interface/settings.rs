//! What a dispatcher knows from its start on.

use crate::interface::Micros;

/// The workers that recognise a keyed request as a repeat, and drop it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All workers.
    All,
    /// The workers in the zone of the worker that received the request first.
    Zone,
    /// The workers in the cell of the worker that received the request first.
    Cell,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// A repeat is harmless.
    Idempotent,
    /// The request has an idempotency key: the workers in `scope` drop repeats for `window` after the first
    /// send.
    Keyed {
        /// The workers that drop a repeat.
        scope: DedupScope,
        /// How long they remember the key.
        window: Micros,
    },
    /// A repeat takes effect again.
    #[default]
    NotIdempotent,
}

/// A request class.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
    /// The latency objective: an answer is in time within this duration...
    pub latency_objective: Micros,
    /// ...plus this multiple of the job's own running time.
    pub objective_stretch: f64,
    /// How long the client waits, over all of its attempts.
    pub deadline: Micros,
    /// The value of one request, relative to those of other classes.
    pub priority_weight: f64,
    /// The fraction of its value that a late answer has.
    pub late_value_fraction: f64,
    /// The one kind of worker that runs the class, if not all do.
    pub worker_kind: Option<usize>,
}

/// What the site permits.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// The most attempts of a request.
    pub max_attempts: u32,
    /// A request may have two outstanding attempts at once.
    pub hedging: bool,
    /// Attempts may be cancelled.
    pub cancel: bool,
    /// Workers may be probed.
    pub probes: bool,
    /// The longest time that a rejected client can be asked to wait before it retries; 0 for no such advice.
    pub max_retry_after: Micros,
    /// A connection that is not made within this time has failed.
    pub connect_timeout: Micros,
    /// A worker's rejection does not prove that the attempt was not executed.
    pub rejection_may_have_run: bool,
}

/// Slow start: how much work a worker whose process has just started can take.
#[derive(Clone, Debug, Default)]
pub struct SlowStartRules {
    /// The fraction of its capacity that a worker has when it starts...
    pub initial_capacity: f64,
    /// ...and how long it takes, at most, to reach all of it.
    pub duration: Micros,
    /// A worker in slow start fails if it is sent more than this multiple of its present capacity...
    pub overload_factor: f64,
    /// ...within this window.
    pub overload_window: Micros,
}

/// What is deducted from the value of the requests served, as fractions of it.
#[derive(Clone, Debug, Default)]
pub struct Penalties {
    /// For work that served no answer, where it is as much as was asked for.
    pub wasted_work: f64,
    /// For attempts that cross zones, where all requests do.
    pub cross_zone: f64,
}

/// The positions of the values in a load report.
#[derive(Clone, Debug, Default)]
pub struct ReportFields {
    /// The fraction of the CPU in use.
    pub cpu_utilization: Option<usize>,
    /// The free slots.
    pub free_slots: Option<usize>,
}

/// All that a dispatcher knows when it starts.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// The number of this dispatcher among those that share the workers, from 0.
    pub instance: u32,
    /// The number of dispatchers that share the workers.
    pub instances: u32,
    /// The zone of this dispatcher.
    pub zone: usize,
    /// How many kinds of machine there are.
    pub worker_kinds: usize,
    /// The request classes.
    pub classes: Vec<Class>,
    /// What the site permits.
    pub limits: Limits,
    /// The slow start of workers.
    pub slow_start: SlowStartRules,
    /// What is deducted from the value of the requests served.
    pub penalties: Penalties,
    /// Clients mark their retries.
    pub clients_mark_retries: bool,
    /// Changes of the worker list come only after [`crate::Action::WatchWorkerList`].
    pub worker_list_needs_watch: bool,
    /// Workers report when a job starts.
    pub workers_report_start: bool,
    /// The interval at which workers report the progress of a job; 0 if they do not.
    pub progress_interval: Micros,
    /// The least time between two events.
    pub min_timer_delay: Micros,
    /// The weights in the worker list are lowered by the load that the workers had at some earlier time.
    pub weights_include_load: bool,
    /// What a load report contains.
    pub report_fields: ReportFields,
}
