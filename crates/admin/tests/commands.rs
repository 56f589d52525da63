//! Commands in pieces of any size, lines that are no command, the eviction of callers, and metrics as text.

use proptest::prelude::*;
use sorrelhaven_admin::{
    AdminCommand, ClassMetrics, CommandError, CommandReader, MAX_CALLERS, MAX_LINE_BYTES, Metric, Metrics,
    next_eviction_at,
};
use sorrelhaven_lifecycle::Command;
use sorrelhaven_test_support::check_cases;
use std::time::{Duration, Instant};

/// Feeds a text to a reader in pieces of this size, and returns its command.
fn feed(text: &[u8], piece_bytes: usize) -> Option<Result<AdminCommand, CommandError>> {
    let mut reader = CommandReader::default();
    let command = text.chunks(piece_bytes).find_map(|piece| reader.push(piece));
    command.or_else(|| reader.finish())
}

#[test]
fn a_command_reads_the_same_in_pieces_of_any_size() {
    let known = [
        ("ready", AdminCommand::Lifecycle(Command::Ready)),
        ("drain", AdminCommand::Lifecycle(Command::Drain)),
        ("resume", AdminCommand::Lifecycle(Command::Resume)),
        ("show-stat", AdminCommand::ShowStat),
        ("members", AdminCommand::Members),
    ];
    check_cases(
        256,
        (0usize..4, "( |\t){0,3}", "\r?\n(ready\n)?|", 1usize..40),
        |(index, space, end, piece_bytes)| {
            let (name, command) = known[index];
            let text = format!("{space}{name}{space}{end}");
            prop_assert_eq!(feed(text.as_bytes(), piece_bytes), Some(Ok(command)));
            Ok(())
        },
    );
    check_cases(256, (prop::collection::vec(any::<u8>(), 0..600), 1usize..300), |(bytes, piece_bytes)| {
        let line = bytes.split(|&byte| byte == b'\n').next().unwrap_or_default();
        match feed(&bytes, piece_bytes) {
            None => prop_assert!(bytes.is_empty()),
            Some(Err(CommandError::TooLong)) => prop_assert!(line.len() > MAX_LINE_BYTES),
            Some(Err(CommandError::Unknown(_))) => prop_assert!(line.len() <= MAX_LINE_BYTES + 1),
            other => prop_assert!(false, "{:?} gave {:?}", bytes, other),
        }
        Ok(())
    });
}

#[test]
fn an_endless_line_is_rejected_at_its_bound_and_an_unknown_command_is_quoted_on_one_line() {
    let mut reader = CommandReader::default();
    let pushed = (1..).find(|_| reader.push(b"a").is_some()).expect("it is rejected");
    assert_eq!(pushed, MAX_LINE_BYTES + 2);
    let unknown = feed(b"Ready\n", 9).expect("a line").expect_err("no command");
    assert!(
        unknown.to_string().contains("\"Ready\"; there are ready, show-stat, drain, resume"),
        "{unknown}"
    );
    let control_bytes = feed(b"a\x00\xff\x1b\rb\n", 9).expect("a line").expect_err("no command").to_string();
    assert!(control_bytes.chars().all(|character| !character.is_control()), "{control_bytes}");
    assert_eq!(feed(b"", 1), None, "a caller that disconnects without a command gets no reply");
}

/// Hundreds of callers that send nothing delay the next one by less than a second, and each has its minimum
/// time.
#[test]
fn callers_that_send_nothing_are_evicted_in_time_for_the_next_one() {
    let start = Instant::now();
    let (mut now, mut accepted_at) = (start, Vec::new());
    for _ in 0..200 {
        if let Some(evict_at) = next_eviction_at(accepted_at.iter().copied()) {
            assert!(evict_at >= accepted_at[0] + Duration::from_millis(50), "the oldest has had its time");
            now = now.max(evict_at);
            accepted_at.remove(0);
        }
        accepted_at.push(now);
        assert!(accepted_at.len() <= MAX_CALLERS);
    }
    assert!(now - start < Duration::from_secs(1), "{:?}", now - start);
    accepted_at.truncate(MAX_CALLERS - 1);
    assert_eq!(next_eviction_at(accepted_at.iter().copied()), None, "nobody is evicted while there is room");
}

/// The names are those of the documentation, each class is shown from the start, and a label cannot break its
/// line.
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
        invariant_violations: vec![("single_run_once", 0)],
        longest_step_us: 1_200,
        longest_timer_lag_us: 900,
        long_steps: 3,
        answered_late: 4,
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
        "node_invariant_violations{name=\"single_run_once\"} 0",
        "node_longest_step_us 1200",
        "node_longest_timer_lag_us 900",
        "node_long_steps 3",
        "node_answered_late 4",
    ] {
        assert_eq!(text.lines().filter(|shown| *shown == line).count(), 1, "{line} in {text}");
    }
    assert!(text.ends_with("\nEOT\n"), "{text}");
    let is_other = |line: &&str| !line.starts_with("# TYPE node_") && !line.starts_with("node_");
    let others = text.lines().filter(is_other).count();
    assert_eq!(others, 1, "only EOT is neither a metric nor its type: {text}");
}
