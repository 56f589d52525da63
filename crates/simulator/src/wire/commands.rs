//! The reply to a batch: commands that the simulator is to carry out for each instance.

use serde::Serialize;

/// The reply to a [`Batch`](super::Batch).
#[derive(Serialize)]
pub struct Reply {
    /// One group for each group of the batch that has led to commands, in the same order.
    #[serde(rename = "dispatchers")]
    pub groups: Vec<CommandGroup>,
}

/// The commands of one instance.
#[derive(Serialize)]
pub struct CommandGroup {
    /// The instance's name.
    #[serde(rename = "dispatcher")]
    pub instance: String,
    /// In the order in which they are to be carried out.
    #[serde(rename = "outbox")]
    pub commands: Vec<Command>,
}

/// One action of a dispatcher. Requests and workers are identified by name.
#[derive(Serialize)]
pub enum Command {
    /// Send an attempt of a request to a worker.
    #[serde(rename = "relay")]
    Send {
        /// The request to send.
        #[serde(rename = "call")]
        request: String,
        /// The timeout of the attempt, in microseconds; 0: only the request's deadline applies.
        timeout: i64,
        /// The worker to send it to.
        worker: String,
    },
    /// Cancel an attempt.
    #[serde(rename = "cancel")]
    Cancel {
        /// The request that the attempt belongs to.
        #[serde(rename = "call")]
        request: String,
        /// The attempt's number within the request.
        #[serde(rename = "try")]
        attempt: u32,
    },
    /// Answer a request as rejected: it was not executed, or a retry is harmless.
    #[serde(rename = "turnAway")]
    Reject {
        /// The request to answer.
        #[serde(rename = "call")]
        request: String,
        /// How long the client should wait before it retries, in microseconds; 0: no advice.
        #[serde(rename = "retryIn")]
        retry_after: i64,
    },
    /// Answer a request as failed: it may have taken effect.
    #[serde(rename = "error")]
    Fail {
        /// The request to answer.
        #[serde(rename = "call")]
        request: String,
    },
    /// Probe the health of a worker.
    #[serde(rename = "test")]
    Probe {
        /// The worker to probe.
        worker: String,
    },
    /// Send a `wakeup` message after a delay.
    #[serde(rename = "sleep")]
    SetTimer {
        /// The delay, in microseconds.
        #[serde(rename = "sleepFor")]
        delay: i64,
        /// Returned in the `wakeup` message.
        #[serde(rename = "handle")]
        token: u64,
    },
    /// Send an `update` message for each change of the worker list.
    #[serde(rename = "streamChanges")]
    WatchWorkerList {
        /// Always true: a watch is never ended.
        enable: bool,
    },
    /// Write a line to the simulator's log.
    #[serde(rename = "record")]
    Log {
        /// The text of the line.
        text: String,
    },
}
