//! The checker: what clients asked and heard, held against what the boxes ran.

use crate::client::TestRequest;
use crate::fake_workers::{ExecutedRequest, checksum};
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A class whose jobs must not run twice.
pub const AT_MOST_ONCE_CLASS: &str = "fee-charge";

#[derive(Debug)]
struct Asked {
    once: bool,
    length: usize,
    sum: u64,
    answers: Vec<u16>,
}

/// What clients asked and heard, from any number of threads.
#[derive(Default)]
pub struct Checker(Mutex<BTreeMap<String, Asked>>);

impl Checker {
    fn asked_so_far(&self) -> MutexGuard<'_, BTreeMap<String, Asked>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A client asks this; to be told before the first byte is sent.
    pub fn asked(&self, ask: &TestRequest) {
        let (once, length, sum) = (ask.class == AT_MOST_ONCE_CLASS, ask.body.len(), checksum(&ask.body));
        self.asked_so_far().insert(ask.id.clone(), Asked { once, length, sum, answers: Vec::new() });
    }

    /// A client has heard this status for that id.
    pub fn answered(&self, id: &str, status: u16) {
        if let Some(asked) = self.asked_so_far().get_mut(id) {
            asked.answers.push(status);
        }
    }

    /// Requests asked, and those answered with 200.
    pub fn counts(&self) -> (usize, usize) {
        let asked = self.asked_so_far();
        (asked.len(), asked.values().filter(|a| a.answers.contains(&200)).count())
    }

    /// Each broken rule, a line each: a run of what no one asked, or of half a body; a payment that ran twice, or ran
    /// and was refused; a request with two answers, or served and not run.
    pub fn faults(&self, runs: &[ExecutedRequest]) -> Vec<String> {
        let asked = self.asked_so_far();
        let mut faults = Vec::new();
        let mut count: BTreeMap<&str, usize> = BTreeMap::new();
        for run in runs {
            *count.entry(&run.id).or_default() += 1;
            match asked.get(&run.id) {
                None => faults.push(format!("{} ran and no one asked", run.id)),
                Some(a) if (a.length, a.sum) != (run.length, run.sum) => {
                    faults.push(format!("{} ran with another body, {} bytes", run.id, run.length));
                }
                Some(_) => {}
            }
        }
        for (id, a) in asked.iter() {
            let runs = count.get(id.as_str()).copied().unwrap_or(0);
            if a.once && runs > 1 {
                faults.push(format!("{id} must not run twice and ran {runs} times"));
            }
            if a.answers.len() > 1 {
                faults.push(format!("{id} has {} answers", a.answers.len()));
            }
            if a.answers.contains(&200) && runs == 0 {
                faults.push(format!("{id} was served and did not run"));
            }
            if a.once && runs > 0 && a.answers.iter().any(|s| matches!(s, 429 | 503)) {
                faults.push(format!("{id} was refused and ran"));
            }
        }
        faults
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A checker that finds nothing proves nothing: each rule, broken once.
    #[test]
    fn every_broken_rule_is_found() {
        let run = |id: &str, body: &[u8]| ExecutedRequest {
            id: id.into(),
            at: 0,
            length: body.len(),
            sum: checksum(body),
        };
        let case = |answers: &[u16], runs: &[ExecutedRequest]| {
            let checker = Checker::default();
            checker.asked(&TestRequest::new("q", AT_MOST_ONCE_CLASS, b"body".to_vec()));
            answers.iter().for_each(|s| checker.answered("q", *s));
            checker.faults(runs)
        };
        let ran = run("q", b"body");
        assert_eq!(case(&[200], std::slice::from_ref(&ran)), [""; 0]);
        assert_eq!(case(&[502], std::slice::from_ref(&ran)), [""; 0], "a plain failure may have run");
        assert_eq!(case(&[503], &[]), [""; 0]);
        assert_eq!(case(&[200], &[ran.clone(), ran.clone()]), ["q must not run twice and ran 2 times"]);
        assert_eq!(case(&[200], &[run("q", b"bo")]), ["q ran with another body, 2 bytes"]);
        assert_eq!(case(&[200], &[]), ["q was served and did not run"]);
        assert_eq!(case(&[503], std::slice::from_ref(&ran)), ["q was refused and ran"]);
        assert_eq!(case(&[502, 502], &[]), ["q has 2 answers"]);
        assert_eq!(case(&[], &[run("r", b"body")]), ["r ran and no one asked"]);
    }
}
