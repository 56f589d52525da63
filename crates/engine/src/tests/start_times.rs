//! Tests the estimates of the start times of workers with wall clocks that are wrong.

use crate::start_times::StartTimes;
use sorrelhaven_dispatcher::{Micros, WorkerId};

const SECOND: Micros = 1_000_000;
/// The true time at which the node starts.
const NOW: Micros = 1_800_000_000 * SECOND;
const HOUR: Micros = 3_600 * SECOND;

/// The starts that a list reports, in the order of the workers, and when the list is read.
#[derive(Clone, Copy)]
struct ReportedList<'a> {
    read_at: Micros,
    reported_starts: &'a [Micros],
}

/// Returns the ages of the workers at the true time `at`, as estimated by a node whose clock is ahead by
/// `clock_error`; `Micros::MAX` for a worker that started long ago. The first list is that of the
/// configuration.
fn ages(clock_error: Micros, lists: &[ReportedList<'_>], at: Micros) -> Vec<Micros> {
    let mut start_times = StartTimes::default();
    let mut starts = Vec::new();
    for ReportedList { read_at, reported_starts } in lists {
        let now = read_at + clock_error;
        start_times.begin_list(reported_starts.iter().copied(), now);
        let evaluate = |(worker, reported): (usize, &Micros)| {
            start_times.started_at(WorkerId(worker as u32), *reported, now)
        };
        starts = reported_starts.iter().enumerate().map(evaluate).collect();
        start_times.end_list(now);
    }
    starts.iter().map(|start| if *start == 0 { Micros::MAX } else { at + clock_error - start }).collect()
}

#[test]
fn the_age_of_a_worker_that_has_just_started_is_not_overestimated_by_a_wrong_wall_clock() {
    let list = ReportedList { read_at: NOW, reported_starts: &[0, NOW - 100 * SECOND, NOW - 2 * SECOND] };
    for clock_error in [0, HOUR, -HOUR, 7 * SECOND, -7 * SECOND] {
        let ages = ages(clock_error, &[list, list], NOW + 10 * SECOND);
        assert_eq!(ages[0], Micros::MAX, "a worker without a reported start has started long ago");
        assert!(ages[2] <= 12 * SECOND, "the node's clock is ahead by {clock_error} us: {ages:?}");
        assert!(
            ages[1] >= 100 * SECOND,
            "the node's clock is ahead by {clock_error} us, and the worker is known to be older: {ages:?}"
        );
    }
}

#[test]
fn a_worker_whose_reported_start_changes_has_started_after_the_previous_list() {
    let initial = ReportedList { read_at: NOW, reported_starts: &[0, NOW - 1_000 * SECOND] };
    // The clock of the worker's machine is an hour behind, an hour ahead, and right.
    for reported in [NOW - HOUR, NOW + HOUR, NOW + 4 * SECOND] {
        let change = ReportedList { read_at: NOW + 5 * SECOND, reported_starts: &[0, reported] };
        let ages = ages(0, &[initial, initial, change], NOW + 5 * SECOND);
        assert!(
            (0..=5 * SECOND).contains(&ages[1]),
            "reported start {} us after `NOW`: {ages:?}",
            reported - NOW
        );
    }
}

#[test]
fn a_reported_start_is_evaluated_once_and_one_in_the_future_makes_no_worker_older() {
    let initial = ReportedList { read_at: NOW, reported_starts: &[NOW - 3 * SECOND, NOW - 500 * SECOND] };
    let change = ReportedList { read_at: NOW + 4 * SECOND, reported_starts: &[NOW - 3 * SECOND, NOW + HOUR] };
    let ages = ages(0, &[initial, initial, change], NOW + 5 * SECOND);
    assert!(ages[0] <= 8 * SECOND, "the slow start of the first worker continues: {ages:?}");
}

#[test]
fn the_first_list_of_discovery_corrects_the_configured_one() {
    let configured =
        ReportedList { read_at: NOW, reported_starts: &[NOW - 900 * SECOND, NOW - 950 * SECOND] };
    let first = ReportedList { read_at: NOW + SECOND, reported_starts: &[NOW - 900 * SECOND, NOW - SECOND] };
    let ages = ages(0, &[configured, first], NOW + SECOND);
    assert!(ages[0] >= 800 * SECOND && ages[1] <= 2 * SECOND, "{ages:?}");
}
