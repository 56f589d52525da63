//! Answers calls.

use crate::call::{Asked, Unread};
use crate::figures::{ClassFigures, Figures};
use sorrelhaven_engine::Engine;
use sorrelhaven_lifecycle::{Reply, Standing};
use std::rc::Rc;
use std::time::Instant;

/// What answers the operators.
pub struct Desk {
    engine: Rc<Engine>,
    standing: Rc<Standing>,
}

impl Desk {
    /// A desk that shows what `engine` counts and does what is asked of `standing`.
    pub fn new(engine: Rc<Engine>, standing: Rc<Standing>) -> Desk {
        Desk { engine, standing }
    }

    /// The answer to a line, whole lines all of it.
    pub fn answer(&self, line: Result<Asked, Unread>, now: Instant) -> String {
        match line {
            Ok(Asked::Lifecycle(call)) => match self.standing.call(call, now) {
                Reply::Yes(holds) => format!("SUCCESS {holds}\n"),
                Reply::No(holds) => format!("FAILURE {holds}\n"),
            },
            Ok(Asked::ShowStat) => self.figures().text(),
            Err(unread) => format!("FAILURE {unread}\n"),
        }
    }

    /// The figures now.
    pub fn figures(&self) -> Figures {
        let counters = &self.engine.counters;
        let census = self.engine.desk.census();
        let classes = counters.classes().map(|(name, class)| ClassFigures {
            class: name.to_string(),
            passed: class.served.get(),
            dropped: class.throttled.get(),
            bad_gateway: class.failed.get(),
        });
        Figures {
            classes: classes.collect(),
            upstream_tries: counters.written.get(),
            in_progress: counters.in_progress(),
            known_executors: census.known,
            skipped_executors: census.skipped(),
        }
    }
}
