//! The lifecycle's transitions: every command and signal in every phase, and random sequences of them.

use proptest::prelude::*;
use sorrelhaven_lifecycle::{Command, CommandReply, Lifecycle, Phase};
use sorrelhaven_test_support::check_cases;
use std::time::{Duration, Instant};

const LONGEST_CLIENT_TIMEOUT: Duration = Duration::from_secs(6);

/// A lifecycle in each of its phases, with a label for assertion messages.
fn lifecycle_in_each_phase(now: Instant) -> Vec<(&'static str, Lifecycle)> {
    let after = |steps: &[fn(&mut Lifecycle, Instant)]| {
        let mut lifecycle = Lifecycle::default();
        steps.iter().for_each(|step| step(&mut lifecycle, now));
        lifecycle
    };
    let drain: fn(&mut Lifecycle, Instant) = |lifecycle, now| _ = lifecycle.execute(Command::Drain, now);
    vec![
        ("starting", after(&[])),
        ("starting, drain requested", after(&[drain])),
        ("serving", after(&[Lifecycle::startup_completed])),
        ("drained", after(&[Lifecycle::startup_completed, drain])),
        ("stopping", after(&[Lifecycle::startup_completed, Lifecycle::begin_shutdown])),
    ]
}

/// Checks each cell of the transition table in `docs/operations.md`: the reply, and the phase after it.
#[test]
fn each_command_in_each_phase_gives_the_documented_reply_and_phase() {
    let (then, now) = (Instant::now(), Instant::now() + Duration::from_secs(9));
    let starting = |drain_after_startup| Phase::Starting { drain_after_startup };
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
    for (command, cells) in table {
        for ((label, mut lifecycle), (success, phase)) in lifecycle_in_each_phase(then).into_iter().zip(cells)
        {
            let reply = lifecycle.execute(command, now);
            assert_eq!(
                matches!(reply, CommandReply::Success(_)),
                success,
                "{command:?} while {label}: {reply:?}"
            );
            assert_eq!(lifecycle.phase(), phase, "{command:?} while {label}");
        }
    }
}

#[test]
fn a_drain_requested_during_startup_takes_effect_once_startup_completes() {
    let now = Instant::now();
    let mut lifecycle = Lifecycle::default();
    lifecycle.execute(Command::Drain, now);
    let ready_at = now + Duration::from_secs(5);
    lifecycle.startup_completed(ready_at);
    assert_eq!(
        lifecycle.phase(),
        Phase::Drained { since: ready_at },
        "a drain requested during startup starts when clients can first connect"
    );
    lifecycle.execute(Command::Resume, ready_at);
    assert!(
        lifecycle.is_ready()
            && !lifecycle.is_draining()
            && lifecycle.idle_close_at().is_none()
            && lifecycle.request_read_deadline(LONGEST_CLIENT_TIMEOUT).is_none()
    );
}

/// The protocol requires that 4 s after the command no idle connection is open and no request has arrived in
/// the last 2 s. So requests must be read within 2 s of the command, and idle connections closed before that.
/// No connection may be closed before the load balancer has reacted: 0.1 s until its next readiness check,
/// and 0.2 s until it stops sending clients.
#[test]
fn a_drain_closes_idle_connections_after_the_balancer_noticed_and_within_the_bounds() {
    let now = Instant::now();
    let mut lifecycle = Lifecycle::default();
    lifecycle.startup_completed(now);
    lifecycle.execute(Command::Drain, now);
    let idle_close_at = lifecycle.idle_close_at().expect("idle close time of a drained node");
    let read_deadline =
        lifecycle.request_read_deadline(LONGEST_CLIENT_TIMEOUT).expect("read deadline of a drained node");
    assert!(idle_close_at - now >= Duration::from_millis(500), "idle close after {:?}", idle_close_at - now);
    assert!(
        idle_close_at < read_deadline && read_deadline - now < Duration::from_secs(2),
        "read deadline after {:?}",
        read_deadline - now
    );
    // Neither a second drain nor a SIGTERM during the drain extends the idle close time.
    lifecycle.execute(Command::Drain, now + Duration::from_secs(1));
    assert_eq!(lifecycle.idle_close_at(), Some(idle_close_at));
    lifecycle.begin_shutdown(now + Duration::from_millis(100));
    assert!(lifecycle.idle_close_at().expect("idle close time of a stopping node") < idle_close_at);
}

/// After any sequence, a node is ready only if it is serving, which excludes a draining one; no command ends
/// a shutdown.
#[test]
fn any_sequence_of_commands_and_signals_follows_the_transition_table() {
    check_cases(256, prop::collection::vec(0usize..5, 0..24), |steps| {
        let start = Instant::now();
        let mut lifecycle = Lifecycle::default();
        let (mut started, mut drained, mut stopped) = (false, false, false);
        for (index, step) in steps.into_iter().enumerate() {
            let now = start + Duration::from_millis(index as u64);
            match step {
                0 => (lifecycle.startup_completed(now), started = true).1,
                1 => (lifecycle.begin_shutdown(now), stopped = true).1,
                2 => _ = lifecycle.execute(Command::Drain, now),
                3 => _ = lifecycle.execute(Command::Resume, now),
                _ => {
                    let success = matches!(lifecycle.execute(Command::Ready, now), CommandReply::Success(_));
                    prop_assert_eq!(success, lifecycle.is_ready());
                }
            }
            match step {
                2 if !stopped => drained = true,
                3 if !stopped => drained = false,
                _ => {}
            }
            prop_assert_eq!(lifecycle.is_ready(), started && !drained && !stopped);
            prop_assert_eq!(lifecycle.is_draining(), stopped || started && drained);
            prop_assert_eq!(lifecycle.idle_close_at().is_some(), lifecycle.is_draining());
        }
        Ok(())
    });
}

/// SIGKILL follows SIGTERM no earlier than 0.7 s plus the longest client timeout (at most 3 s). A request
/// received in the first 0.7 s may be cut off; a later one must be read and answered before SIGKILL.
#[test]
fn a_request_received_late_after_sigterm_must_be_answered_before_the_earliest_sigkill() {
    let now = Instant::now();
    let at = |ms: u64| now + Duration::from_millis(ms);
    let mut lifecycle = Lifecycle::default();
    lifecycle.startup_completed(now);
    assert_eq!(
        (
            lifecycle.answer_deadline(at(900), LONGEST_CLIENT_TIMEOUT),
            lifecycle.request_read_deadline(LONGEST_CLIENT_TIMEOUT)
        ),
        (None, None)
    );
    lifecycle.begin_shutdown(now);
    for (timeout_ms, earliest_kill_ms) in [(500, 1_200), (2_000, 2_700), (3_000, 3_700), (60_000, 3_700)] {
        let client_timeout = Duration::from_millis(timeout_ms);
        assert_eq!(
            lifecycle.answer_deadline(at(600), client_timeout),
            None,
            "a request received within 0.7 s of SIGTERM has only its client's timeout"
        );
        let answer_deadline =
            lifecycle.answer_deadline(at(700), client_timeout).expect("answer deadline of a late request");
        assert!(
            answer_deadline > at(700) && answer_deadline + Duration::from_millis(50) <= at(earliest_kill_ms),
            "answer deadline with a client timeout of {client_timeout:?}"
        );
        let read_deadline =
            lifecycle.request_read_deadline(client_timeout).expect("read deadline of a stopping node");
        assert!(
            read_deadline > at(550) && read_deadline + Duration::from_millis(100) <= answer_deadline,
            "read deadline with a client timeout of {client_timeout:?}"
        );
    }
    // Neither a second signal nor a drain extends the deadline.
    let answer_deadline = lifecycle.answer_deadline(at(900), LONGEST_CLIENT_TIMEOUT);
    lifecycle.begin_shutdown(at(500));
    lifecycle.execute(Command::Drain, at(600));
    assert_eq!(lifecycle.answer_deadline(at(900), LONGEST_CLIENT_TIMEOUT), answer_deadline);
}
