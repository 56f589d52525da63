//! Deadlines of a drain and of a shutdown, relative to their beginning.

use std::time::{Duration, Instant};

/// Time from the drain command until idle connections are closed. New clients stop arriving 0.2 s after the
/// first negative readiness check, and a connection used before this delay has passed is closed with its
/// answer. A request that arrives 2 s after the command counts as a failed drain.
const DRAIN_IDLE_CLOSE_DELAY: Duration = Duration::from_millis(1_500);
/// Time from the drain command until every request that has begun must have been read: no request may arrive
/// 2 s after the command.
const DRAIN_REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(1_900);
/// Time from SIGTERM until idle connections are closed. Clients may still arrive for 0.4 s after SIGTERM; a
/// request that arrives 0.7 s after it might find the process killed before it is answered.
const SHUTDOWN_IDLE_CLOSE_DELAY: Duration = Duration::from_millis(550);
/// A request received later than this after SIGTERM must be answered before the process may be killed. One
/// received earlier may be cut off. The platform's bound is 0.7 s; the difference is a safety margin.
const SHUTDOWN_LATE_REQUEST_DELAY: Duration = Duration::from_millis(650);
/// The platform waits this long, and the longest client timeout on top of it, between SIGTERM and SIGKILL.
const KILL_GRACE_PERIOD: Duration = Duration::from_millis(700);
/// The longest client timeout that the platform adds to [`KILL_GRACE_PERIOD`].
const MAX_KILL_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// The last answers are sent this long before the earliest SIGKILL, so that they are transmitted in time.
const ANSWER_MARGIN_BEFORE_KILL: Duration = Duration::from_millis(100);
/// The last requests have been read this long before the earliest SIGKILL, so that there is time left to
/// serve them.
const REQUEST_READ_MARGIN_BEFORE_KILL: Duration = Duration::from_millis(300);

/// When idle connections of a node drained since `since` are closed.
pub(crate) fn drain_idle_close_at(since: Instant) -> Instant {
    since + DRAIN_IDLE_CLOSE_DELAY
}

/// When requests that have begun must have been read by a node drained since `since`.
pub(crate) fn drain_request_read_deadline(since: Instant) -> Instant {
    since + DRAIN_REQUEST_READ_TIMEOUT
}

/// When idle connections of a node stopping since `since` are closed.
pub(crate) fn shutdown_idle_close_at(since: Instant) -> Instant {
    since + SHUTDOWN_IDLE_CLOSE_DELAY
}

/// When requests that have begun must have been read by a node stopping since `since`.
pub(crate) fn shutdown_request_read_deadline(since: Instant, longest_client_timeout: Duration) -> Instant {
    since + earliest_kill_delay(longest_client_timeout) - REQUEST_READ_MARGIN_BEFORE_KILL
}

/// Whether a request received at `received_at` is too late to be cut off by SIGKILL.
pub(crate) fn is_late_request(since: Instant, received_at: Instant) -> bool {
    received_at >= since + SHUTDOWN_LATE_REQUEST_DELAY
}

/// When late requests must have been answered by a node stopping since `since`.
pub(crate) fn shutdown_answer_deadline(since: Instant, longest_client_timeout: Duration) -> Instant {
    since + earliest_kill_delay(longest_client_timeout) - ANSWER_MARGIN_BEFORE_KILL
}

/// The shortest time between SIGTERM and SIGKILL.
fn earliest_kill_delay(longest_client_timeout: Duration) -> Duration {
    longest_client_timeout.min(MAX_KILL_CLIENT_TIMEOUT) + KILL_GRACE_PERIOD
}
