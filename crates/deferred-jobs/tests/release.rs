//! Order, shares and pace on a simulated clock.

use proptest::prelude::*;
use sorrelhaven_deferred_jobs::{Pace, Release, Rules};
use sorrelhaven_test_support::check_cases;
use std::collections::BTreeMap;

const MS: i64 = 1_000;

fn rules(parties: usize, window: (f64, f64)) -> Rules {
    Rules { step: 100 * MS, most: 5, weights: vec![1; parties], window }
}

/// Whatever comes, a job is let go before every job of its party that fell due more than the bound after it.
#[test]
fn no_fresh_job_passes_one_that_has_waited_for_the_bound() {
    let jobs = prop::collection::vec((0..3_000i64, 0usize..3, 0u32..8), 1..120);
    check_cases(500, (jobs, 1u64..6), |(mut jobs, pace)| {
        jobs.sort_by_key(|j| j.0);
        let mut release = Release::new(rules(3, (1.0, 1.0)));
        let bound = release.bound();
        let (mut order, mut at) = (Vec::new(), 0);
        let mut now = 0;
        while at < jobs.len() || release.waiting() > 0 {
            while let Some(&(due, party, priority)) = jobs.get(at).filter(|j| j.0 * MS <= now) {
                release.due(due * MS, at as u64, party, priority);
                at += 1;
            }
            if let Some(id) = release.let_go() {
                order.push(id as usize);
                release.ended(Pace::Silent);
            }
            now += pace as i64 * 7 * MS;
        }
        prop_assert_eq!(order.len(), jobs.len(), "each is let go once");
        let place: BTreeMap<usize, usize> = order.iter().enumerate().map(|(p, j)| (*j, p)).collect();
        for (a, old) in jobs.iter().enumerate() {
            for (b, fresh) in jobs.iter().enumerate() {
                if old.1 == fresh.1 && fresh.0 * MS > old.0 * MS + bound {
                    prop_assert!(place[&a] < place[&b], "{:?} before {:?}", fresh, old);
                }
            }
        }
        Ok(())
    });
}

/// A stream of fresh high-priority jobs for as long as you like: the oldest low one starts within the bound.
#[test]
fn the_oldest_low_job_starts_within_the_bound() {
    let mut release = Release::new(rules(1, (1.0, 1.0)));
    release.due(0, 0, 0, 0);
    // One fresh job of the highest priority for each that is let go.
    for i in 1..100_000u64 {
        let now = i as i64 * MS;
        release.due(now, i, 0, 5);
        let id = release.let_go().expect("one may be out");
        release.ended(Pace::InTime);
        if id == 0 {
            assert!(now <= release.bound() + MS, "after {now} us");
            return;
        }
    }
    panic!("it starves");
}

/// Each party has its share by weight while it has something to let go; one that was idle starts level.
#[test]
fn parties_are_let_go_by_their_shares() {
    let mut release = Release::new(Rules { weights: vec![1, 1, 3], ..rules(3, (1e6, 1e6)) });
    let mut id = 0;
    let mut fill = |release: &mut Release, party: usize, n: usize| {
        for _ in 0..n {
            release.due(0, id * 10 + party as u64, party, 0);
            id += 1;
        }
    };
    fill(&mut release, 0, 1_000);
    fill(&mut release, 2, 1_000);
    let count = |release: &mut Release, n: usize| {
        let mut counts = [0; 3];
        for _ in 0..n {
            counts[release.let_go().expect("there is more") as usize % 10] += 1;
        }
        counts
    };
    assert_eq!(count(&mut release, 400), [100, 0, 300]);
    fill(&mut release, 1, 1_000);
    let counts = count(&mut release, 500);
    assert!(counts.iter().zip([100, 100, 300]).all(|(c, e): (&i32, i32)| (c - e).abs() <= 1), "{counts:?}");
}

/// The window finds what the boxes can do and stays near it: 5,000 jobs due in one second, and boxes that finish 40
/// at a time and turn the rest away.
#[test]
fn the_pace_follows_what_the_boxes_finish() {
    let mut release = Release::new(rules(4, (4.0, 1_000.0)));
    for id in 0..5_000 {
        release.due(0, id, id as usize % 4, 0);
    }
    let (mut out, mut turned, mut rounds, mut widest) = (0, 0, 0, 0.0f64);
    while release.waiting() > 0 || out > 0 {
        while release.let_go().is_some() {
            out += 1;
        }
        widest = widest.max(release.window());
        // One round of the boxes: 40 are in time, what is beyond them is turned away.
        let ends = std::mem::take(&mut out);
        for i in 0..ends {
            release.ended(if i < 40 { Pace::InTime } else { Pace::Pressed });
            turned += usize::from(i >= 40);
        }
        rounds += 1;
    }
    assert!(widest < 60.0, "{widest}");
    assert!(turned < 500, "{turned} of 5,000 turned away");
    assert!(rounds < 5_000 / 40 * 2, "{rounds} rounds, where 125 would be the least");
}

/// What is withdrawn is not let go, and is found by what it came with.
#[test]
fn a_job_that_is_withdrawn_is_not_let_go() {
    let mut release = Release::new(rules(2, (9.0, 9.0)));
    release.due(5, 1, 1, 9);
    release.due(5, 2, 1, 9);
    assert!(release.withdraw(5, 1, 1, 9) && !release.withdraw(5, 1, 1, 9));
    assert_eq!((release.let_go(), release.let_go(), release.waiting()), (Some(2), None, 0));
}
