//! The metrics that `show-stat` shows: in the Prometheus text format, followed by a line `EOT`.

use std::fmt::{self, Write};

/// The last line of the replies to `show-stat` and `members`, which have any number of lines.
pub(crate) const END_OF_TEXT: &str = "EOT\n";

/// The number of answered requests of one request class since the node started, by answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassMetrics {
    /// The name of the class in the settings.
    pub class: String,
    /// Requests answered with a worker's result; shown as `passed`.
    pub served: u64,
    /// Requests rejected; shown as `dropped`.
    pub rejected: u64,
    /// Requests that failed; shown as `bad_gateway`.
    pub failed: u64,
}

/// The type of a metric in the Prometheus text format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// The value never decreases while the node runs.
    Counter,
    /// The value can increase and decrease.
    Gauge,
}

impl fmt::Display for MetricKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            MetricKind::Counter => "counter",
            MetricKind::Gauge => "gauge",
        })
    }
}

/// One metric without labels.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Metric {
    /// The name, without the prefix `node_` that all metrics have.
    pub name: &'static str,
    /// Whether the value can decrease.
    pub kind: MetricKind,
    /// The value at the time of the `show-stat` command.
    pub value: u64,
}

impl Metric {
    /// A metric whose value never decreases.
    pub fn counter(name: &'static str, value: u64) -> Metric {
        Metric { name, kind: MetricKind::Counter, value }
    }

    /// A metric whose value can increase and decrease.
    pub fn gauge(name: &'static str, value: u64) -> Metric {
        Metric { name, kind: MetricKind::Gauge, value }
    }
}

/// The values of all metrics of a node at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// The metrics of each request class, in the order of the settings.
    pub classes: Vec<ClassMetrics>,
    /// Attempts whose request was written to its worker up to the last byte; shown as `upstream_tries`.
    pub attempts_written: u64,
    /// Requests admitted and not yet concluded.
    pub in_progress: u64,
    /// Workers in the worker list; shown as `known_executors`.
    pub known_workers: u64,
    /// Workers in the worker list that get no new work at present; shown as `skipped_executors`.
    pub unavailable_workers: u64,
    /// Workers that accept new work and are in slow start; shown as `slow_start_executors`.
    pub workers_in_slow_start: u64,
    /// The number of violations that were found at run time, for each invariant by name.
    pub invariant_violations: Vec<(&'static str, u64)>,
    /// The longest step of the event loop (one poll of one task), in microseconds.
    pub longest_step_us: u64,
    /// The longest time by which a dispatcher timer fired late, in microseconds.
    pub longest_timer_lag_us: u64,
    /// Steps of the event loop longer than 50 ms.
    pub long_steps: u64,
    /// Requests answered after their deadline.
    pub answered_late: u64,
    /// Physical memory that the process uses, in bytes.
    pub resident_bytes: u64,
    /// The most physical memory that the process has used, in bytes.
    pub peak_resident_bytes: u64,
    /// The metrics of the membership protocol; empty if it is off.
    pub membership: Vec<Metric>,
}

/// A metric that each request class has: the name under which it is shown, and where its value is read.
type ClassMetric = (&'static str, fn(&ClassMetrics) -> u64);

/// The metrics of each request class, in the order in which they are shown.
const CLASS_METRICS: [ClassMetric; 3] = [
    ("passed", |class| class.served),
    ("dropped", |class| class.rejected),
    ("bad_gateway", |class| class.failed),
];

impl Metrics {
    /// The metrics in the Prometheus text format, with the line `EOT` at the end.
    pub fn text(&self) -> String {
        let mut text = String::new();
        self.write_classes(&mut text);
        for metric in self.node_metrics().iter().chain(&self.membership) {
            let Metric { name, kind, value } = metric;
            let _ = writeln!(text, "# TYPE node_{name} {kind}\nnode_{name} {value}");
        }
        self.write_invariant_violations(&mut text);
        text + END_OF_TEXT
    }

    fn write_classes(&self, text: &mut String) {
        for (name, value) in CLASS_METRICS {
            let _ = writeln!(text, "# TYPE node_{name} counter");
            for class in &self.classes {
                let label = escaped(&class.class);
                let _ = writeln!(text, "node_{name}{{category=\"{label}\"}} {}", value(class));
            }
        }
    }

    /// The metrics of the node as a whole, in the order in which they are shown.
    fn node_metrics(&self) -> [Metric; 11] {
        [
            Metric::counter("upstream_tries", self.attempts_written),
            Metric::gauge("in_progress", self.in_progress),
            Metric::gauge("known_executors", self.known_workers),
            Metric::gauge("skipped_executors", self.unavailable_workers),
            Metric::gauge("slow_start_executors", self.workers_in_slow_start),
            Metric::gauge("longest_step_us", self.longest_step_us),
            Metric::gauge("longest_timer_lag_us", self.longest_timer_lag_us),
            Metric::counter("long_steps", self.long_steps),
            Metric::counter("answered_late", self.answered_late),
            Metric::gauge("resident_bytes", self.resident_bytes),
            Metric::gauge("peak_resident_bytes", self.peak_resident_bytes),
        ]
    }

    fn write_invariant_violations(&self, text: &mut String) {
        if self.invariant_violations.is_empty() {
            return;
        }
        text.push_str("# TYPE node_invariant_violations counter\n");
        for (name, count) in &self.invariant_violations {
            let _ = writeln!(text, "node_invariant_violations{{name=\"{name}\"}} {count}");
        }
    }
}

/// Escapes a label's value for the Prometheus text format.
fn escaped(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}
