//! Tests that urgent tasks do not starve ordinary ones.

use crate::tasks::Tasks;
use async_io::block_on;
use futures_lite::future::{or, yield_now};
use std::cell::Cell;
use std::rc::Rc;

/// The number of polls after which the urgent task ends; far more than an ordinary task may have to wait for.
const MAX_POLLS: usize = 10_000;

/// Endless urgent work, such as timers that are always due, must not prevent requests, whose tasks are
/// ordinary, from being answered by their deadlines.
#[test]
fn urgent_work_without_end_lets_ordinary_tasks_run() {
    let tasks = Rc::<Tasks>::default();
    let ran = Rc::<Cell<bool>>::default();
    let urgent_polls_before = Rc::<Cell<Option<usize>>>::default();
    let (seen, polls) = (ran.clone(), urgent_polls_before.clone());
    tasks.spawn_urgent(async move {
        for poll in 0..MAX_POLLS {
            if seen.get() {
                polls.set(Some(poll));
                return;
            }
            yield_now().await;
        }
    });
    tasks.spawn(async move { ran.set(true) });
    let ended = async {
        for _ in 0..MAX_POLLS {
            yield_now().await;
        }
    };
    block_on(or(ended, async { match tasks.run().await {} }));
    let polls = urgent_polls_before.get();
    assert!(
        polls.is_some_and(|count| count < 100),
        "the ordinary task ran after {polls:?} polls of the urgent one"
    );
}
