//! Settings of a dispatcher, which do not change while it runs.

use crate::interface::Micros;

/// The workers that recognise and drop a repeat of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All workers.
    All,
    /// Workers in the zone of the worker that received the request first.
    Zone,
    /// Workers in the cell of the worker that received the request first.
    Cell,
}

/// Whether a request may be executed more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Idempotency {
    /// Repeated execution is harmless.
    Idempotent,
    /// Requests have an idempotency key: the workers in `scope` drop repeats for `window` after the first
    /// send.
    Keyed {
        /// Workers that drop repeats.
        scope: DedupScope,
        /// Time for which they keep the key.
        window: Micros,
    },
    /// Repeated execution takes effect again.
    #[default]
    NotIdempotent,
}

/// Settings of a request class.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// Whether a request may be executed more than once.
    pub idempotency: Idempotency,
    /// Fixed part of the latency objective: an answer is in time within this duration plus
    /// `objective_stretch` times the running time of the job.
    pub latency_objective: Micros,
    /// Variable part of the latency objective, as a multiple of the running time of the job.
    pub objective_stretch: f64,
    /// Time that a client waits for an answer, including its own retries.
    pub deadline: Micros,
    /// Value of an answer in time, relative to other classes.
    pub priority_weight: f64,
    /// Fraction of that value that a late answer keeps.
    pub late_value_fraction: f64,
    /// The only worker kind that runs this class; `None` if all kinds do.
    pub worker_kind: Option<usize>,
}

/// What the platform permits a dispatcher to do.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Upper bound of the attempts of a request; 0 counts as 1.
    pub max_attempts: u32,
    /// Whether a request may have two outstanding attempts at the same time.
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub cancel: bool,
    /// Whether workers may be probed.
    pub probes: bool,
    /// Longest wait before a retry that a rejection may advise; 0 if it must not advise any.
    pub max_retry_after: Micros,
    /// Time after which an attempt to connect has failed.
    pub connect_timeout: Micros,
    /// Whether a job may have been executed although its worker rejected the attempt.
    pub rejection_may_have_run: bool,
}

/// Slow start: the reduced capacity of a worker whose process has just started.
#[derive(Clone, Debug, Default)]
pub struct SlowStartRules {
    /// Fraction of its full capacity that a worker has when it starts.
    pub initial_capacity: f64,
    /// Upper bound of the time from its start until a worker has its full capacity.
    pub duration: Micros,
    /// A worker in slow start fails if the work sent to it within `overload_window` is more than this
    /// multiple of its current capacity.
    pub overload_factor: f64,
    /// Time window of `overload_factor`.
    pub overload_window: Micros,
}

/// Deductions from the value of the answered requests, as fractions of it.
#[derive(Clone, Debug, Default)]
pub struct Penalties {
    /// Deduction if the work that led to no answer is as much as all the work that was requested.
    pub wasted_work: f64,
    /// Deduction if all requests are sent to another zone.
    pub cross_zone: f64,
}

/// Positions of values in a load report; `None` for a value that is not reported.
#[derive(Clone, Debug, Default)]
pub struct ReportFields {
    /// Fraction of the CPU in use.
    pub cpu_utilization: Option<usize>,
    /// Number of free slots.
    pub free_slots: Option<usize>,
}

/// Settings that a dispatcher gets when it starts.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Index of this dispatcher among those that share the workers, from 0.
    pub instance: u32,
    /// Number of dispatchers that share the workers.
    pub instances: u32,
    /// Zone of this dispatcher.
    pub zone: usize,
    /// Number of worker kinds, that is, machine types.
    pub worker_kinds: usize,
    /// Request classes, in the order of their indexes.
    pub classes: Vec<Class>,
    /// What the platform permits.
    pub limits: Limits,
    /// Capacity of workers that have just started.
    pub slow_start: SlowStartRules,
    /// Deductions from the value of the answered requests.
    pub penalties: Penalties,
    /// Whether clients mark their retries; if not, any request may be a retry.
    pub clients_mark_retries: bool,
    /// Whether changes of the worker list are reported only after [`crate::Action::WatchWorkerList`].
    pub worker_list_needs_watch: bool,
    /// Whether workers report the start of a job.
    pub workers_report_start: bool,
    /// Interval at which workers report the progress of a job; 0 if they do not.
    pub progress_interval: Micros,
    /// Shortest time between two events, and therefore the shortest delay of a timer.
    pub min_timer_delay: Micros,
    /// Whether the weights in the worker list are reduced by the load that the workers had at some earlier
    /// time.
    pub weights_include_load: bool,
    /// Positions of the values in a load report.
    pub report_fields: ReportFields,
}
