//! Deadlines of a drain and of a shutdown, relative to the drain command or SIGTERM.

use std::time::{Duration, Instant};

/// Time from the drain command until idle connections are closed. New clients stop arriving 0.2 s after the
/// first failed readiness check. A connection that is used before this time is closed with its answer. A
/// request that arrives 2 s after the command counts as a failed drain.
const DRAIN_IDLE_CLOSE_DELAY: Duration = Duration::from_millis(1_500);
/// Time from the drain command until every request that has begun must be read completely, because no request
/// may arrive 2 s after the command.
const DRAIN_REQUEST_READ_TIMEOUT: Duration = Duration::from_millis(1_900);
/// Time from SIGTERM until idle connections are closed. Clients may still arrive for 0.4 s after SIGTERM. If
/// a request arrives 0.7 s after SIGTERM, the process might be killed before the answer.
const SHUTDOWN_IDLE_CLOSE_DELAY: Duration = Duration::from_millis(550);
/// A request received this long after SIGTERM, or later, must be answered before the process may be killed.
/// An earlier one may be cut off by SIGKILL. The platform's limit is 0.7 s; the difference is a safety
/// margin.
const SHUTDOWN_LATE_REQUEST_DELAY: Duration = Duration::from_millis(650);
/// Between SIGTERM and SIGKILL, the platform waits this long plus the longest client timeout.
const KILL_GRACE_PERIOD: Duration = Duration::from_millis(700);
/// The longest client timeout that the platform adds to [`KILL_GRACE_PERIOD`].
const MAX_KILL_CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// Answers must be available this long before the earliest SIGKILL, which leaves time to transmit them.
const ANSWER_MARGIN_BEFORE_KILL: Duration = Duration::from_millis(100);
/// Requests must be read completely this long before the earliest SIGKILL, which leaves time to serve them.
const REQUEST_READ_MARGIN_BEFORE_KILL: Duration = Duration::from_millis(300);

/// When a node that has been drained since `since` closes idle connections.
pub(crate) fn drain_idle_close_at(since: Instant) -> Instant {
    since + DRAIN_IDLE_CLOSE_DELAY
}

/// When a node that has been drained since `since` must have read the requests that have begun.
pub(crate) fn drain_request_read_deadline(since: Instant) -> Instant {
    since + DRAIN_REQUEST_READ_TIMEOUT
}

/// When a node that has been stopping since `since` closes idle connections.
pub(crate) fn shutdown_idle_close_at(since: Instant) -> Instant {
    since + SHUTDOWN_IDLE_CLOSE_DELAY
}

/// When a node that has been stopping since `since` must have read the requests that have begun.
pub(crate) fn shutdown_request_read_deadline(since: Instant, longest_client_timeout: Duration) -> Instant {
    since + earliest_kill_delay(longest_client_timeout) - REQUEST_READ_MARGIN_BEFORE_KILL
}

/// Whether a request was received so late after the SIGTERM at `since` that it must be answered before
/// SIGKILL.
pub(crate) fn is_late_request(since: Instant, received_at: Instant) -> bool {
    received_at >= since + SHUTDOWN_LATE_REQUEST_DELAY
}

/// When a node that has been stopping since `since` must have answered late requests.
pub(crate) fn shutdown_answer_deadline(since: Instant, longest_client_timeout: Duration) -> Instant {
    since + earliest_kill_delay(longest_client_timeout) - ANSWER_MARGIN_BEFORE_KILL
}

/// The shortest possible time between SIGTERM and SIGKILL.
fn earliest_kill_delay(longest_client_timeout: Duration) -> Duration {
    longest_client_timeout.min(MAX_KILL_CLIENT_TIMEOUT) + KILL_GRACE_PERIOD
}
