//! The names by which the wire knows workers and requests, and the ids that a dispatcher knows them by.

use sorrelhaven_dispatcher::{RequestId, WorkerId};
use std::collections::HashMap;

/// The ids of workers, numbered in the order in which an instance hears of them.
#[derive(Default)]
pub struct WorkerNames {
    ids: HashMap<String, WorkerId>,
    names: Vec<String>,
}

impl WorkerNames {
    /// The id of this name; a new one for an unknown name.
    pub fn intern(&mut self, name: &str) -> WorkerId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let id = WorkerId(self.names.len() as u32);
        self.ids.insert(name.to_string(), id);
        self.names.push(name.to_string());
        id
    }

    /// The name of a worker.
    pub fn name(&self, id: WorkerId) -> Option<String> {
        self.names.get(id.0 as usize).cloned()
    }
}

/// A request that has no final answer or an attempt without an outcome.
struct OpenRequest {
    name: String,
    outstanding_attempts: u32,
    concluded: bool,
}

/// The requests that are open, and their ids.
#[derive(Default)]
pub struct OpenRequests {
    ids: HashMap<String, RequestId>,
    by_id: HashMap<RequestId, OpenRequest>,
    next_id: u64,
}

impl OpenRequests {
    /// A request has arrived; its id is new even if its name is not.
    pub fn open(&mut self, name: &str) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        self.ids.insert(name.to_string(), id);
        let request = OpenRequest { name: name.to_string(), outstanding_attempts: 0, concluded: false };
        self.by_id.insert(id, request);
        id
    }

    /// The id of an open request.
    pub fn id(&self, name: &str) -> Option<RequestId> {
        self.ids.get(name).copied()
    }

    /// The name of an open request.
    pub fn name(&self, id: RequestId) -> Option<String> {
        self.by_id.get(&id).map(|request| request.name.clone())
    }

    /// An attempt is outstanding.
    pub fn record_attempt_sent(&mut self, id: RequestId) {
        if let Some(request) = self.by_id.get_mut(&id) {
            request.outstanding_attempts += 1;
        }
    }

    /// An attempt has its outcome.
    pub fn record_attempt_ended(&mut self, id: RequestId) {
        if let Some(request) = self.by_id.get_mut(&id) {
            request.outstanding_attempts = request.outstanding_attempts.saturating_sub(1);
        }
    }

    /// The request has its final answer.
    pub fn conclude(&mut self, id: RequestId) {
        if let Some(request) = self.by_id.get_mut(&id) {
            request.concluded = true;
        }
    }

    /// Forgets a request that has its final answer and no attempt outstanding.
    pub fn forget_if_complete(&mut self, id: RequestId) {
        let is_complete =
            self.by_id.get(&id).is_some_and(|request| request.concluded && request.outstanding_attempts == 0);
        if is_complete && let Some(request) = self.by_id.remove(&id) {
            self.ids.remove(&request.name);
        }
    }
}
