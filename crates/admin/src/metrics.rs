//! Metrics as text: a line each, `name{label="value"} figure`, and a line `EOT` at the end.

use std::fmt::Write;

/// The metrics of one class.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ClassMetrics {
    /// Its name.
    pub class: String,
    /// Jobs served.
    pub passed: u64,
    /// Jobs refused.
    pub dropped: u64,
    /// Jobs failed.
    pub bad_gateway: u64,
}

/// One figure of a class.
type ByClass = fn(&ClassMetrics) -> u64;

/// All metrics at one moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// By class, in the order of the settings.
    pub classes: Vec<ClassMetrics>,
    /// Attempts written whole to executors.
    pub upstream_tries: u64,
    /// Jobs taken and not yet ended.
    pub in_progress: u64,
    /// Executors in the list.
    pub known_executors: u64,
    /// Those of them that the node now avoids.
    pub skipped_executors: u64,
    /// Violations of each invariant, by its name.
    pub invariant_violations: Vec<(&'static str, u64)>,
    /// The longest step of the event loop, in microseconds.
    pub longest_step_us: u64,
    /// The longest time by which a timer fired late, in microseconds.
    pub longest_timer_lag_us: u64,
    /// Steps of the event loop that took over 50 ms.
    pub long_steps: u64,
    /// Answers given after their request's deadline.
    pub answered_late: u64,
    /// Of the other nodes, where membership is on: name, kind and figure of each.
    pub members: Vec<(&'static str, &'static str, u64)>,
}

impl Metrics {
    /// The text, `EOT` included.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let by_class: [(&str, ByClass); 3] =
            [("passed", |c| c.passed), ("dropped", |c| c.dropped), ("bad_gateway", |c| c.bad_gateway)];
        for (name, count) in by_class {
            let _ = writeln!(text, "# TYPE node_{name} counter");
            for class in &self.classes {
                let _ =
                    writeln!(text, "node_{name}{{category=\"{}\"}} {}", escaped(&class.class), count(class));
            }
        }
        let single = [
            ("upstream_tries", "counter", self.upstream_tries),
            ("in_progress", "gauge", self.in_progress),
            ("known_executors", "gauge", self.known_executors),
            ("skipped_executors", "gauge", self.skipped_executors),
            ("longest_step_us", "gauge", self.longest_step_us),
            ("longest_timer_lag_us", "gauge", self.longest_timer_lag_us),
            ("long_steps", "counter", self.long_steps),
            ("answered_late", "counter", self.answered_late),
        ];
        for (name, kind, figure) in single.into_iter().chain(self.members.iter().copied()) {
            let _ = writeln!(text, "# TYPE node_{name} {kind}\nnode_{name} {figure}");
        }
        if !self.invariant_violations.is_empty() {
            text += "# TYPE node_invariant_violations counter\n";
        }
        for (name, count) in &self.invariant_violations {
            let _ = writeln!(text, "node_invariant_violations{{name=\"{name}\"}} {count}");
        }
        text + "EOT\n"
    }
}

/// A label's value as the text format writes it.
fn escaped(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}
