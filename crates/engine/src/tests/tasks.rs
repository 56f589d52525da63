//! Tasks that can always run, beside others.

use crate::tasks::Tasks;
use async_io::block_on;
use futures_lite::future::{or, yield_now};
use std::cell::Cell;
use std::rc::Rc;

/// Far more turns than any other task may have to wait for.
const TURNS: usize = 10_000;

/// Urgent work that never ends, such as timers that are always due, lets ordinary tasks run: answers and deadlines are
/// theirs.
#[test]
fn urgent_work_without_end_lets_ordinary_tasks_run() {
    let tasks = Rc::<Tasks>::default();
    let ran = Rc::<Cell<bool>>::default();
    let (seen, done) = (ran.clone(), Rc::<Cell<Option<usize>>>::default());
    let turns = done.clone();
    tasks.spawn_urgent(async move {
        for turn in 0..TURNS {
            if seen.get() {
                turns.set(Some(turn));
                return;
            }
            yield_now().await;
        }
    });
    tasks.spawn(async move { ran.set(true) });
    let ended = async {
        for _ in 0..TURNS {
            yield_now().await;
        }
    };
    block_on(or(ended, async { match tasks.run().await {} }));
    assert!(done.get().is_some_and(|turn| turn < 100), "it ran after {:?} turns", done.get());
}
