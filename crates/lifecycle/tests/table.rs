//! Every call and signal in every state, and any of them in any order.

use proptest::prelude::*;
use sorrelhaven_lifecycle::{Command, CommandReply, Lifecycle, Phase};
use sorrelhaven_test_support::check_cases;
use std::time::{Duration, Instant};

const LONGEST: Duration = Duration::from_secs(6);

/// A node brought to each of its states, and what it is called.
fn states(now: Instant) -> Vec<(&'static str, Lifecycle)> {
    let made = |steps: &[fn(&mut Lifecycle, Instant)]| {
        let mut node = Lifecycle::default();
        steps.iter().for_each(|step| step(&mut node, now));
        node
    };
    let drain: fn(&mut Lifecycle, Instant) = |node, now| _ = node.call(Command::Drain, now);
    vec![
        ("starting", made(&[])),
        ("starting, drain asked", made(&[drain])),
        ("serving", made(&[Lifecycle::loaded])),
        ("drained", made(&[Lifecycle::loaded, drain])),
        ("stopping", made(&[Lifecycle::loaded, Lifecycle::stop])),
    ]
}

/// Each cell of the page's table: the answer, and the state after it.
#[test]
fn each_call_has_its_answer_in_each_state() {
    let (then, now) = (Instant::now(), Instant::now() + Duration::from_secs(9));
    let starting = |drain| Phase::Starting { drain };
    let (drained, stopping) = (Phase::Drained { since: then }, Phase::Stopping { since: then });
    let table = [
        (
            Command::Ready,
            [
                (false, starting(false)),
                (false, starting(true)),
                (true, Phase::Serving),
                (false, drained),
                (false, stopping),
            ],
        ),
        (
            Command::Drain,
            [
                (true, starting(true)),
                (true, starting(true)),
                (true, Phase::Drained { since: now }),
                (true, drained),
                (true, stopping),
            ],
        ),
        (
            Command::Resume,
            [
                (true, starting(false)),
                (true, starting(false)),
                (true, Phase::Serving),
                (true, Phase::Serving),
                (false, stopping),
            ],
        ),
    ];
    for (call, cells) in table {
        for ((name, mut node), (yes, phase)) in states(then).into_iter().zip(cells) {
            let reply = node.call(call, now);
            assert_eq!(matches!(reply, CommandReply::Success(_)), yes, "{call:?} while {name}: {reply:?}");
            assert_eq!(node.phase(), phase, "{call:?} while {name}");
        }
    }
}

#[test]
fn a_drain_asked_for_before_the_node_is_up_holds_from_then_on() {
    let now = Instant::now();
    let mut node = Lifecycle::default();
    node.call(Command::Drain, now);
    let up = now + Duration::from_secs(5);
    node.loaded(up);
    assert_eq!(node.phase(), Phase::Drained { since: up }, "its links count from when they could come");
    node.call(Command::Resume, up);
    assert!(
        node.ready() && !node.empties() && node.idle_until().is_none() && node.whole_by(LONGEST).is_none()
    );
}

/// The page's bounds: 4 s after the call nothing idle is held and no job is younger than 2 s, so requests end before
/// 2 s, idle links before those; and nobody is sent away before the front has heard (0.1 s to ask, 0.2 s to stop).
#[test]
fn a_drain_leaves_time_to_be_heard_and_ends_in_time() {
    let now = Instant::now();
    let mut node = Lifecycle::default();
    node.loaded(now);
    node.call(Command::Drain, now);
    let (idle, whole) = (node.idle_until().expect("a time"), node.whole_by(LONGEST).expect("a time"));
    assert!(idle - now >= Duration::from_millis(500), "{:?}", idle - now);
    assert!(idle < whole && whole - now < Duration::from_secs(2), "{:?}", whole - now);
    // Another drain does not put it off, nor does a SIGTERM in its midst.
    node.call(Command::Drain, now + Duration::from_secs(1));
    assert_eq!(node.idle_until(), Some(idle));
    node.stop(now + Duration::from_millis(100));
    assert!(node.idle_until().expect("a time") < idle);
}

/// In any order: ready is said only by one that serves, stopping is for good, and emptying is not ready.
#[test]
fn any_order_of_calls_keeps_to_the_table() {
    check_cases(256, prop::collection::vec(0usize..5, 0..24), |steps| {
        let start = Instant::now();
        let (mut node, mut up, mut drained, mut stopped) = (Lifecycle::default(), false, false, false);
        for (i, step) in steps.into_iter().enumerate() {
            let now = start + Duration::from_millis(i as u64);
            match step {
                0 => (node.loaded(now), up = true).1,
                1 => (node.stop(now), stopped = true).1,
                2 => _ = node.call(Command::Drain, now),
                3 => _ = node.call(Command::Resume, now),
                _ => {
                    let yes = matches!(node.call(Command::Ready, now), CommandReply::Success(_));
                    prop_assert_eq!(yes, node.ready());
                }
            }
            match step {
                2 if !stopped => drained = true,
                3 if !stopped => drained = false,
                _ => {}
            }
            prop_assert_eq!(node.ready(), up && !drained && !stopped);
            prop_assert_eq!(node.empties(), stopped || up && drained);
            prop_assert_eq!(node.idle_until().is_some(), node.empties());
        }
        Ok(())
    });
}

/// SIGKILL comes 0.7 s and the longest wait after SIGTERM at the earliest, the wait counted as 3 s at most. What came in
/// the first 0.7 s may be cut off; what came later must have its answer before, and be whole in time for one.
#[test]
fn what_comes_late_after_sigterm_is_answered_before_the_node_may_be_killed() {
    let now = Instant::now();
    let at = |ms: u64| now + Duration::from_millis(ms);
    let mut node = Lifecycle::default();
    node.loaded(now);
    assert_eq!((node.answer_by(at(900), LONGEST), node.whole_by(LONGEST)), (None, None));
    node.stop(now);
    for (longest, killed) in [(500, 1_200), (2_000, 2_700), (3_000, 3_700), (60_000, 3_700)] {
        let longest = Duration::from_millis(longest);
        assert_eq!(
            node.answer_by(at(600), longest),
            None,
            "what came early has the time that its client gives"
        );
        let answer = node.answer_by(at(700), longest).expect("a time");
        assert!(answer > at(700) && answer + Duration::from_millis(50) <= at(killed), "{longest:?}");
        let whole = node.whole_by(longest).expect("a time");
        assert!(whole > at(550) && whole + Duration::from_millis(100) <= answer, "{longest:?}");
    }
    // A second signal puts nothing off, nor does a drain.
    let answer = node.answer_by(at(900), LONGEST);
    node.stop(at(500));
    node.call(Command::Drain, at(600));
    assert_eq!(node.answer_by(at(900), LONGEST), answer);
}
