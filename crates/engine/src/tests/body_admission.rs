//! BodyAdmission for long bodies: few at once, in order, and none held for long.

use super::fixtures;
use futures_lite::future::{poll_once, zip};
use std::time::{Duration, Instant};

#[test]
fn a_slow_body_holds_a_place_for_a_while_only() {
    let engine = fixtures::engine("127.0.0.1:1".parse().expect("an address"));
    let far = Instant::now() + Duration::from_secs(60);
    fixtures::run(&engine, async {
        let places = &engine.body_admission;
        let begun = Instant::now();
        let mut slow = Vec::new();
        while let Some(Some(place)) = poll_once(places.acquire(far)).await {
            slow.push(place);
        }
        assert_eq!(slow.len(), 4, "few at once");
        assert!(places.acquire(Instant::now() + Duration::from_millis(50)).await.is_none(), "none in time");
        drop(slow.pop());
        let next = places.acquire(far).await;
        assert!(
            next.is_some() && begun.elapsed() < Duration::from_millis(900),
            "one that is done makes room"
        );
        // The three that go on slowly give theirs up all the same, to whoever has waited.
        let (a, b) = zip(places.acquire(far), places.acquire(far)).await;
        assert!(a.is_some() && b.is_some());
        let took = begun.elapsed();
        assert!(took >= Duration::from_millis(990) && took < Duration::from_secs(2), "{took:?}");
        // A place that was given up twice frees one place, not two.
        drop(slow);
        let mut got = Vec::new();
        while let Some(Some(place)) = poll_once(places.acquire(far)).await {
            got.push(place);
        }
        assert_eq!(got.len(), 1, "next, a and b hold theirs");
    });
}
