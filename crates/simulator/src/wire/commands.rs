//! What the simulator is answered: the commands of each instance.

use serde::Serialize;

/// The reply to a batch.
#[derive(Serialize)]
pub struct Reply {
    /// The instances that act.
    #[serde(rename = "dispatchers")]
    pub groups: Vec<CommandGroup>,
}

/// The actions of one instance.
#[derive(Serialize)]
pub struct CommandGroup {
    /// Its name.
    #[serde(rename = "dispatcher")]
    pub instance: String,
    /// In the order in which they are to be carried out.
    #[serde(rename = "outbox")]
    pub commands: Vec<Command>,
}

/// One action.
#[derive(Serialize)]
pub enum Command {
    /// Begin an attempt.
    #[serde(rename = "relay")]
    Send {
        /// The request.
        #[serde(rename = "call")]
        request: String,
        /// In microseconds; 0 for the request's deadline.
        timeout: i64,
        /// The worker.
        worker: String,
    },
    /// Withdraw an attempt.
    #[serde(rename = "cancel")]
    Cancel {
        /// The request.
        #[serde(rename = "call")]
        request: String,
        /// The attempt.
        #[serde(rename = "try")]
        attempt: u32,
    },
    /// Answer a request: not executed.
    #[serde(rename = "turnAway")]
    Reject {
        /// The request.
        #[serde(rename = "call")]
        request: String,
        /// In microseconds.
        #[serde(rename = "retryIn")]
        retry_after: i64,
    },
    /// Answer a request: failed.
    #[serde(rename = "error")]
    Fail {
        /// The request.
        #[serde(rename = "call")]
        request: String,
    },
    /// Probe a worker.
    #[serde(rename = "test")]
    Probe {
        /// The worker.
        worker: String,
    },
    /// Set a timer.
    #[serde(rename = "sleep")]
    SetTimer {
        /// In microseconds.
        #[serde(rename = "sleepFor")]
        delay: i64,
        /// Comes back when it fires.
        #[serde(rename = "handle")]
        token: u64,
    },
    /// Subscribe to changes of the worker list.
    #[serde(rename = "streamChanges")]
    WatchWorkerList {
        /// Always true.
        enable: bool,
    },
    /// Write a log line.
    #[serde(rename = "record")]
    Log {
        /// The line.
        text: String,
    },
}
