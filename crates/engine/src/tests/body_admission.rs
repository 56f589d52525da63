//! Tests the permits for long bodies: how many there are, and when they are released.

use super::fixtures;
use futures_lite::future::{poll_once, zip};
use std::time::{Duration, Instant};

#[test]
fn a_slow_body_loses_its_permit_after_a_second() {
    let engine = fixtures::engine_with_unreachable_worker();
    let far_deadline = Instant::now() + Duration::from_secs(60);
    fixtures::run(&engine, async {
        let admission = &engine.body_admission;
        let started = Instant::now();
        let mut held_permits = Vec::new();
        while let Some(Some(permit)) = poll_once(admission.acquire(far_deadline)).await {
            held_permits.push(permit);
        }
        assert_eq!(held_permits.len(), 4, "number of permits that are granted at once");
        assert!(
            admission.acquire(Instant::now() + Duration::from_millis(50)).await.is_none(),
            "a permit was granted while all are held"
        );
        drop(held_permits.pop());
        let next = admission.acquire(far_deadline).await;
        assert!(
            next.is_some() && started.elapsed() < Duration::from_millis(900),
            "a dropped permit is granted again at once"
        );
        // The three permits that are still held time out, and are granted to the callers that wait.
        let (first, second) = zip(admission.acquire(far_deadline), admission.acquire(far_deadline)).await;
        assert!(first.is_some() && second.is_some());
        let elapsed = started.elapsed();
        assert!(
            elapsed >= Duration::from_millis(990) && elapsed < Duration::from_secs(2),
            "granted after {elapsed:?}"
        );
        // Dropping a permit that has timed out must not release it a second time.
        drop(held_permits);
        let mut remaining_permits = Vec::new();
        while let Some(Some(permit)) = poll_once(admission.acquire(far_deadline)).await {
            remaining_permits.push(permit);
        }
        assert_eq!(remaining_permits.len(), 1, "three of four permits are held: next, first and second");
    });
}
