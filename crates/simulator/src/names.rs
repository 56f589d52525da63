//! Maps the names of workers and requests in the simulator's messages to the dispatcher's ids, and back.

use sorrelhaven_dispatcher::{RequestId, WorkerId};
use std::collections::HashMap;

/// The ids of workers, numbered from 0 in the order in which an instance's messages first name them. Workers
/// are never removed.
#[derive(Default)]
pub struct WorkerNames {
    ids: HashMap<String, WorkerId>,
    names: Vec<String>,
}

impl WorkerNames {
    /// The worker's id; assigns the next one to a name that was not seen before.
    pub fn intern(&mut self, name: &str) -> WorkerId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let id = WorkerId(self.names.len() as u32);
        self.ids.insert(name.to_string(), id);
        self.names.push(name.to_string());
        id
    }

    /// The name that has this id; `None` if the id was never assigned.
    pub fn name(&self, id: WorkerId) -> Option<String> {
        self.names.get(id.0 as usize).cloned()
    }
}

/// A request that is not concluded, or has an attempt whose end was not reported yet.
struct OpenRequest {
    name: String,
    outstanding_attempts: u32,
    concluded: bool,
}

/// The open requests of an instance: those that are not concluded, or have outstanding attempts.
#[derive(Default)]
pub struct OpenRequests {
    ids: HashMap<String, RequestId>,
    by_id: HashMap<RequestId, OpenRequest>,
    next_id: u64,
}

impl OpenRequests {
    /// Adds a request, and returns its id. A name that is used again gets a new id.
    pub fn open(&mut self, name: &str) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        self.ids.insert(name.to_string(), id);
        let request = OpenRequest { name: name.to_string(), outstanding_attempts: 0, concluded: false };
        self.by_id.insert(id, request);
        id
    }

    /// The id of the open request of this name; the latest one if several have it.
    pub fn id(&self, name: &str) -> Option<RequestId> {
        self.ids.get(name).copied()
    }

    /// The name of the open request with this id.
    pub fn name(&self, id: RequestId) -> Option<String> {
        self.by_id.get(&id).map(|request| request.name.clone())
    }

    /// Adds one outstanding attempt.
    pub fn record_attempt_sent(&mut self, id: RequestId) {
        if let Some(request) = self.by_id.get_mut(&id) {
            request.outstanding_attempts += 1;
        }
    }

    /// Removes one outstanding attempt.
    pub fn record_attempt_ended(&mut self, id: RequestId) {
        if let Some(request) = self.by_id.get_mut(&id) {
            request.outstanding_attempts = request.outstanding_attempts.saturating_sub(1);
        }
    }

    /// Records that the request is concluded: it has its answer, or its client has disconnected.
    pub fn conclude(&mut self, id: RequestId) {
        if let Some(request) = self.by_id.get_mut(&id) {
            request.concluded = true;
        }
    }

    /// Removes the request if it is concluded and has no outstanding attempt. Its name then has no id,
    /// even if a newer request has the same name.
    pub fn remove_if_complete(&mut self, id: RequestId) {
        let is_complete =
            self.by_id.get(&id).is_some_and(|request| request.concluded && request.outstanding_attempts == 0);
        if is_complete && let Some(request) = self.by_id.remove(&id) {
            self.ids.remove(&request.name);
        }
    }
}
