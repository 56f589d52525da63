//! Checks the delivery rules: compares what clients sent and received with what workers executed.

use crate::client::TestRequest;
use crate::fake_workers::{ExecutedRequest, checksum};
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// The at-most-once class in the configuration of [`workers_config`](crate::workers_config): its jobs must
/// not run twice.
pub const AT_MOST_ONCE_CLASS: &str = "fee-charge";

/// What a client sent in one request, and the answers to it.
#[derive(Debug)]
struct ClientRecord {
    at_most_once: bool,
    body_length: usize,
    body_checksum: u64,
    /// The status code of each answer that the client received.
    statuses: Vec<u16>,
}

/// Numbers of recorded requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTotals {
    /// Requests that clients sent or were about to send.
    pub requested: usize,
    /// Requests that were answered with status 200.
    pub served: usize,
}

/// Records what clients send and receive, on any number of threads, and finds violations of the delivery
/// rules.
#[derive(Default)]
pub struct DeliveryChecker {
    /// By request id.
    records: Mutex<BTreeMap<String, ClientRecord>>,
}

impl DeliveryChecker {
    fn records(&self) -> MutexGuard<'_, BTreeMap<String, ClientRecord>> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a request. Must be called before its first byte is sent: from then on a worker may execute it.
    pub fn record_request(&self, request: &TestRequest) {
        let record = ClientRecord {
            at_most_once: request.class == AT_MOST_ONCE_CLASS,
            body_length: request.body.len(),
            body_checksum: checksum(&request.body),
            statuses: Vec::new(),
        };
        self.records().insert(request.id.clone(), record);
    }

    /// Records that the client of the recorded request `id` received an answer with this status code.
    pub fn record_response(&self, id: &str, status: u16) {
        if let Some(record) = self.records().get_mut(id) {
            record.statuses.push(status);
        }
    }

    /// Counts the requests recorded so far.
    pub fn totals(&self) -> RequestTotals {
        let records = self.records();
        let served = records.values().filter(|record| record.statuses.contains(&200)).count();
        RequestTotals { requested: records.len(), served }
    }

    /// Compares the recorded requests with the executions, and returns one line for each violation:
    /// - an execution without a request, or with another body than was sent;
    /// - an at-most-once request that ran more than once, or that ran and was answered with 429 or 503;
    /// - a request with more than one answer, or answered with 200 without an execution.
    pub fn violations(&self, executed: &[ExecutedRequest]) -> Vec<String> {
        let records = self.records();
        let mut violations = Vec::new();
        let mut runs_by_id: BTreeMap<&str, usize> = BTreeMap::new();
        for run in executed {
            *runs_by_id.entry(&run.id).or_default() += 1;
            violations.extend(run_violation(run, records.get(&run.id)));
        }
        for (id, record) in records.iter() {
            let runs = runs_by_id.get(id.as_str()).copied().unwrap_or(0);
            record.add_violations(id, runs, &mut violations);
        }
        violations
    }
}

/// The violation of a single execution, if any; `record` is that of its request, if there is one.
fn run_violation(run: &ExecutedRequest, record: Option<&ClientRecord>) -> Option<String> {
    let Some(record) = record else {
        return Some(format!("{} ran without a request", run.id));
    };
    if (record.body_length, record.body_checksum) != (run.body_length, run.body_checksum) {
        return Some(format!("{} ran with another body, {} bytes", run.id, run.body_length));
    }
    None
}

impl ClientRecord {
    /// Adds the violations of this request, which workers ran `runs` times.
    fn add_violations(&self, id: &str, runs: usize, violations: &mut Vec<String>) {
        if self.at_most_once && runs > 1 {
            violations.push(format!("{id} must not run twice and ran {runs} times"));
        }
        if self.statuses.len() > 1 {
            violations.push(format!("{id} has {} answers", self.statuses.len()));
        }
        if self.statuses.contains(&200) && runs == 0 {
            violations.push(format!("{id} was served and did not run"));
        }
        let was_rejected = self.statuses.iter().any(|status| matches!(status, 429 | 503));
        if self.at_most_once && runs > 0 && was_rejected {
            violations.push(format!("{id} was rejected and ran"));
        }
    }
}

#[cfg(test)]
mod tests {
    use super::{AT_MOST_ONCE_CLASS, DeliveryChecker};
    use crate::client::TestRequest;
    use crate::fake_workers::{ExecutedRequest, checksum};

    /// Guards against a checker that overlooks violations: each rule is violated once.
    #[test]
    fn every_violated_rule_is_found() {
        let run = |id: &str, body: &[u8]| ExecutedRequest {
            id: id.into(),
            worker: 0,
            body_length: body.len(),
            body_checksum: checksum(body),
        };
        let case = |statuses: &[u16], executed: &[ExecutedRequest]| {
            let checker = DeliveryChecker::default();
            checker.record_request(&TestRequest::new("q", AT_MOST_ONCE_CLASS, b"body".to_vec()));
            statuses.iter().for_each(|status| checker.record_response("q", *status));
            checker.violations(executed)
        };
        let ran = run("q", b"body");
        assert_eq!(case(&[200], std::slice::from_ref(&ran)), [""; 0]);
        assert_eq!(
            case(&[502], std::slice::from_ref(&ran)),
            [""; 0],
            "a request answered with 502 may have run"
        );
        assert_eq!(case(&[503], &[]), [""; 0]);
        assert_eq!(case(&[200], &[ran.clone(), ran.clone()]), ["q must not run twice and ran 2 times"]);
        assert_eq!(case(&[200], &[run("q", b"bo")]), ["q ran with another body, 2 bytes"]);
        assert_eq!(case(&[200], &[]), ["q was served and did not run"]);
        assert_eq!(case(&[503], std::slice::from_ref(&ran)), ["q was rejected and ran"]);
        assert_eq!(case(&[502, 502], &[]), ["q has 2 answers"]);
        assert_eq!(case(&[], &[run("r", b"body")]), ["r ran without a request"]);
    }
}
