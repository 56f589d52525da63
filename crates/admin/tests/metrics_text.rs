//! The text of the metrics that `show-stat` shows.

use sorrelhaven_admin::{ClassMetrics, Metric, Metrics};

/// Guards against metrics under undocumented names, classes that are missing until their first request, and
/// class names whose quotes, backslashes or line ends break the format.
#[test]
fn metrics_are_written_under_their_documented_names() {
    let class = |name: &str, served, rejected, failed| ClassMetrics {
        class: name.to_string(),
        served,
        rejected,
        failed,
    };
    let metrics = Metrics {
        classes: vec![class("fee", 812, 3, 1), class("a\"b\\c\nd", 0, 0, 0)],
        attempts_written: 820,
        in_progress: 14,
        known_workers: 9,
        unavailable_workers: 2,
        workers_in_slow_start: 1,
        invariant_violations: vec![("single_run_once", 0)],
        longest_step_us: 1_200,
        longest_timer_lag_us: 900,
        long_steps: 3,
        answered_late: 4,
        resident_bytes: 9_000_000,
        peak_resident_bytes: 9_500_000,
        membership: vec![Metric::gauge("members_alive", 5)],
    };
    let text = metrics.text();
    for line in [
        "node_passed{category=\"fee\"} 812",
        "node_dropped{category=\"fee\"} 3",
        "node_bad_gateway{category=\"fee\"} 1",
        "node_passed{category=\"a\\\"b\\\\c\\nd\"} 0",
        "node_members_alive 5",
        "node_upstream_tries 820",
        "node_in_progress 14",
        "node_known_executors 9",
        "node_skipped_executors 2",
        "node_slow_start_executors 1",
        "node_invariant_violations{name=\"single_run_once\"} 0",
        "node_longest_step_us 1200",
        "node_longest_timer_lag_us 900",
        "node_long_steps 3",
        "node_answered_late 4",
        "node_resident_bytes 9000000",
        "node_peak_resident_bytes 9500000",
    ] {
        assert_eq!(text.lines().filter(|shown| *shown == line).count(), 1, "{line} in {text}");
    }
    assert!(text.ends_with("\nEOT\n"), "{text}");
    let is_other = |line: &&str| !line.starts_with("# TYPE node_") && !line.starts_with("node_");
    let others = text.lines().filter(is_other).count();
    assert_eq!(others, 1, "a line other than EOT is neither a metric nor its type: {text}");
}
