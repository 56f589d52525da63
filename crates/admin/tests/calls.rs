//! Lines in pieces of any size, and what is no call.

use proptest::prelude::*;
use sorrelhaven_admin::{Asked, ClassMetrics, Incoming, LINE_MOST, Metrics, PLACES, Unread, gives_way};
use sorrelhaven_lifecycle::Command;
use sorrelhaven_test_support::check_cases;
use std::time::{Duration, Instant};

/// Feeds a text in pieces of this size; what it came to, and whether that was before its end.
fn feed(text: &[u8], piece: usize) -> Option<Result<Asked, Unread>> {
    let mut incoming = Incoming::default();
    let whole = text.chunks(piece).find_map(|piece| incoming.push(piece));
    whole.or_else(|| incoming.end())
}

#[test]
fn a_line_reads_the_same_however_it_is_cut() {
    let known = [
        ("ready", Asked::Lifecycle(Command::Ready)),
        ("drain", Asked::Lifecycle(Command::Drain)),
        ("resume", Asked::Lifecycle(Command::Resume)),
        ("show-stat", Asked::ShowStat),
        ("members", Asked::Members),
    ];
    check_cases(256, (0usize..4, "( |\t){0,3}", "\r?\n(ready\n)?|", 1usize..40), |(i, space, end, piece)| {
        let (name, asked) = known[i];
        let text = format!("{space}{name}{space}{end}");
        prop_assert_eq!(feed(text.as_bytes(), piece), Some(Ok(asked)));
        Ok(())
    });
    check_cases(256, (prop::collection::vec(any::<u8>(), 0..600), 1usize..300), |(bytes, piece)| {
        let line = bytes.split(|&b| b == b'\n').next().unwrap_or_default();
        match feed(&bytes, piece) {
            None => prop_assert!(bytes.is_empty()),
            Some(Err(Unread::TooLong)) => prop_assert!(line.len() > LINE_MOST),
            Some(Err(Unread::Unknown(_))) => prop_assert!(line.len() <= LINE_MOST + 1),
            other => prop_assert!(false, "{:?} gave {:?}", bytes, other),
        }
        Ok(())
    });
}

#[test]
fn an_endless_line_is_given_up_at_its_bound_and_an_unknown_call_is_shown_on_one_line() {
    let mut incoming = Incoming::default();
    let taken = (1..).find(|_| incoming.push(b"a").is_some()).expect("it is given up");
    assert_eq!(taken, LINE_MOST + 2);
    let unknown = feed(b"Ready\n", 9).expect("a line").expect_err("no call");
    assert!(
        unknown.to_string().contains("\"Ready\"; there are ready, show-stat, drain, resume"),
        "{unknown}"
    );
    let odd = feed(b"a\x00\xff\x1b\rb\n", 9).expect("a line").expect_err("no call").to_string();
    assert!(odd.chars().all(|c| !c.is_control()), "{odd}");
    assert_eq!(feed(b"", 1), None, "a caller that says nothing and goes is owed nothing");
}

/// Hundreds that say nothing hold the next caller up for less than a second, and each is left alone for a moment.
#[test]
fn a_crowd_that_says_nothing_makes_way_in_time() {
    let start = Instant::now();
    let (mut now, mut held) = (start, Vec::new());
    for _ in 0..200 {
        if let Some(at) = gives_way(held.iter().copied()) {
            assert!(at >= held[0] + Duration::from_millis(50), "the oldest has had its moment");
            now = now.max(at);
            held.remove(0);
        }
        held.push(now);
        assert!(held.len() <= PLACES);
    }
    assert!(now - start < Duration::from_secs(1), "{:?}", now - start);
    held.truncate(PLACES - 1);
    assert_eq!(gives_way(held.iter().copied()), None, "a free place waits for no one");
}

/// The names are the page's; each class is there from the start; a label can't break its line.
#[test]
fn figures_are_written_by_the_page() {
    let class = |class: &str, passed, dropped, bad_gateway| {
        let class = class.to_string();
        ClassMetrics { class, passed, dropped, bad_gateway }
    };
    let metrics = Metrics {
        classes: vec![class("fee", 812, 3, 1), class("a\"b\\c\nd", 0, 0, 0)],
        upstream_tries: 820,
        in_progress: 14,
        known_executors: 9,
        skipped_executors: 2,
        invariant_violations: vec![("single_run_once", 0)],
        longest_step_us: 1_200,
        longest_timer_lag_us: 900,
        long_steps: 3,
        answered_late: 4,
        members: vec![("members_alive", "gauge", 5)],
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
        assert_eq!(text.lines().filter(|l| *l == line).count(), 1, "{line} in {text}");
    }
    assert!(text.ends_with("\nEOT\n"), "{text}");
    let odd = text.lines().filter(|l| !l.starts_with("# TYPE node_") && !l.starts_with("node_")).count();
    assert_eq!(odd, 1, "only EOT is neither a figure nor its type: {text}");
}
