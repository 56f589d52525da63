//! Permits for long bodies: a few at once, in order, and none for long.

use super::fixtures;
use futures_lite::future::{poll_once, zip};
use std::time::{Duration, Instant};

#[test]
fn a_slow_body_loses_its_permit_after_a_second() {
    let engine = fixtures::engine_without_worker();
    let distant = Instant::now() + Duration::from_secs(60);
    fixtures::run(&engine, async {
        let admission = &engine.body_admission;
        let started = Instant::now();
        let mut slow = Vec::new();
        while let Some(Some(permit)) = poll_once(admission.acquire(distant)).await {
            slow.push(permit);
        }
        assert_eq!(slow.len(), 4, "a few at once");
        assert!(
            admission.acquire(Instant::now() + Duration::from_millis(50)).await.is_none(),
            "none in time"
        );
        drop(slow.pop());
        let next = admission.acquire(distant).await;
        assert!(
            next.is_some() && started.elapsed() < Duration::from_millis(900),
            "a permit that is returned is free at once"
        );
        // The three slow ones lose their permits all the same, to those that wait.
        let (first, second) = zip(admission.acquire(distant), admission.acquire(distant)).await;
        assert!(first.is_some() && second.is_some());
        let elapsed = started.elapsed();
        assert!(elapsed >= Duration::from_millis(990) && elapsed < Duration::from_secs(2), "{elapsed:?}");
        // A permit that timed out and is then dropped frees one place, not two.
        drop(slow);
        let mut rest = Vec::new();
        while let Some(Some(permit)) = poll_once(admission.acquire(distant)).await {
            rest.push(permit);
        }
        assert_eq!(rest.len(), 1, "next, first and second hold theirs");
    });
}
