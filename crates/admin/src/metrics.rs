//! Metrics in the Prometheus text format, followed by a line `EOT`.

use std::fmt::{self, Write};

/// The last line of each reply that has several lines.
pub(crate) const END_OF_TEXT: &str = "EOT\n";

/// The metrics of one request class.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassMetrics {
    /// The class's name.
    pub class: String,
    /// Requests served; shown as `passed`.
    pub served: u64,
    /// Requests rejected; shown as `dropped`.
    pub rejected: u64,
    /// Requests failed; shown as `bad_gateway`.
    pub failed: u64,
}

/// How a metric's value changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// It never decreases.
    Counter,
    /// It may increase and decrease.
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
    /// Its name, without the prefix that all metrics have.
    pub name: &'static str,
    /// Its kind.
    pub kind: MetricKind,
    /// Its value.
    pub value: u64,
}

impl Metric {
    /// A counter.
    pub fn counter(name: &'static str, value: u64) -> Metric {
        Metric { name, kind: MetricKind::Counter, value }
    }

    /// A gauge.
    pub fn gauge(name: &'static str, value: u64) -> Metric {
        Metric { name, kind: MetricKind::Gauge, value }
    }
}

/// All metrics at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// By class, as the settings list them.
    pub classes: Vec<ClassMetrics>,
    /// Attempts that were completely written to workers; shown as `upstream_tries`.
    pub attempts_written: u64,
    /// Requests admitted and not yet concluded.
    pub in_progress: u64,
    /// Workers in discovery's list; shown as `known_executors`.
    pub known_workers: u64,
    /// Those of them that get no requests at present; shown as `skipped_executors`.
    pub unavailable_workers: u64,
    /// Violations of each invariant, by its name.
    pub invariant_violations: Vec<(&'static str, u64)>,
    /// The longest step of the event loop, in microseconds.
    pub longest_step_us: u64,
    /// The longest delay of a timer, in microseconds.
    pub longest_timer_lag_us: u64,
    /// Steps of the event loop longer than 50 ms.
    pub long_steps: u64,
    /// Answers given after their request's deadline.
    pub answered_late: u64,
    /// Of the membership protocol; empty where it is off.
    pub membership: Vec<Metric>,
}

/// A metric of each class: the name under which it is shown, and its value.
type ClassMetric = (&'static str, fn(&ClassMetrics) -> u64);

/// The metrics of each class, as they are displayed.
const CLASS_METRICS: [ClassMetric; 3] = [
    ("passed", |class| class.served),
    ("dropped", |class| class.rejected),
    ("bad_gateway", |class| class.failed),
];

impl Metrics {
    /// The metrics as text, with `EOT` at the end.
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

    /// The metrics of the node, as they are displayed.
    fn node_metrics(&self) -> [Metric; 8] {
        [
            Metric::counter("upstream_tries", self.attempts_written),
            Metric::gauge("in_progress", self.in_progress),
            Metric::gauge("known_executors", self.known_workers),
            Metric::gauge("skipped_executors", self.unavailable_workers),
            Metric::gauge("longest_step_us", self.longest_step_us),
            Metric::gauge("longest_timer_lag_us", self.longest_timer_lag_us),
            Metric::counter("long_steps", self.long_steps),
            Metric::counter("answered_late", self.answered_late),
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

/// A label's value, escaped for the text format.
fn escaped(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}
