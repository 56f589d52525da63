//! Eviction of connections whose clients do not send a command.

use sorrelhaven_admin::{MAX_CONNECTIONS, next_eviction_at};
use std::time::{Duration, Instant};

/// 200 clients that connect at once and send nothing delay the last of them by less than a second. Each
/// connection stays open for the minimum time of 50 ms.
#[test]
fn callers_that_send_nothing_are_evicted_in_time_for_the_next_one() {
    let start = Instant::now();
    let (mut now, mut accepted_at) = (start, Vec::new());
    for _ in 0..200 {
        if let Some(evict_at) = next_eviction_at(accepted_at.iter().copied()) {
            assert!(
                evict_at >= accepted_at[0] + Duration::from_millis(50),
                "the oldest connection is evicted before its minimum time"
            );
            now = now.max(evict_at);
            accepted_at.remove(0);
        }
        accepted_at.push(now);
        assert!(accepted_at.len() <= MAX_CONNECTIONS);
    }
    assert!(now - start < Duration::from_secs(1), "{:?}", now - start);
    accepted_at.truncate(MAX_CONNECTIONS - 1);
    assert_eq!(
        next_eviction_at(accepted_at.iter().copied()),
        None,
        "a connection is evicted although there is room"
    );
}
