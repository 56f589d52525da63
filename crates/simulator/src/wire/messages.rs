//! The batches of messages that the simulator sends.

use serde::Deserialize;
use std::borrow::Cow;

/// The messages to all instances at one point of simulated time.
#[derive(Deserialize)]
pub struct Batch<'a> {
    /// The simulated time, in microseconds.
    #[serde(rename = "simTime")]
    pub now: i64,
    /// The messages, grouped by instance.
    #[serde(borrow, rename = "dispatchers")]
    pub groups: Vec<MessageGroup<'a>>,
}

/// The messages to one instance.
#[derive(Deserialize)]
pub struct MessageGroup<'a> {
    /// The instance's name.
    #[serde(borrow, rename = "dispatcher")]
    pub instance: Cow<'a, str>,
    /// In the order in which they are to be handled.
    #[serde(rename = "arrivals")]
    pub messages: Vec<Message<'a>>,
}

/// A message to one instance. The host itself handles `CreateInstance`, `DropInstance` and `WorkerList`; the
/// instance gets all others. Requests and workers are identified by name.
#[derive(Deserialize)]
pub enum Message<'a> {
    /// Create the instance, in place of any other of the same name.
    #[serde(rename = "create")]
    CreateInstance {
        /// The seed of the instance's random numbers.
        #[serde(rename = "salt")]
        seed: u64,
        /// The instance's settings, in the form of `settings` in the platform's configuration file.
        #[serde(rename = "conf")]
        settings: serde_json::Value,
    },
    /// Remove the instance, as if its process was killed. Its commands from earlier messages of the group are
    /// dropped.
    #[serde(rename = "kill")]
    DropInstance {},
    /// Store a worker list for later `update` messages to any instance.
    #[serde(rename = "ledger")]
    WorkerList {
        /// The number under which it is stored; replaces the list stored there before.
        #[serde(rename = "bank")]
        list: usize,
        /// The workers of the list.
        #[serde(borrow, rename = "rows")]
        workers: Vec<WorkerRow<'a>>,
    },
    /// Discovery sends the instance an update of its worker list, or has failed.
    #[serde(rename = "update")]
    WorkerListUpdate {
        /// The number of the stored list with the update's workers; unused if discovery has failed.
        #[serde(default, rename = "bank")]
        list: usize,
        /// Whether the list holds changes only or all workers: one of the `UPDATE_` constants of
        /// `instance.rs`.
        mode: u8,
    },
    /// A request arrives.
    #[serde(rename = "inbound")]
    Arrival(#[serde(borrow)] ArrivalMessage<'a>),
    /// A worker reports that a job has started, or its progress.
    #[serde(rename = "notice")]
    JobNotice {
        /// The request that the job executes.
        #[serde(borrow, rename = "call")]
        request: Cow<'a, str>,
        /// The worker that runs the job.
        worker: Cow<'a, str>,
        /// One of the `NOTICE_` constants of `instance.rs`; other notices are ignored.
        kind: u8,
        /// The fraction of the job that is done, from 0 to 1.
        #[serde(default, rename = "amount")]
        progress: f64,
        /// The number of the attempt within the request.
        #[serde(default, rename = "try")]
        attempt: u32,
    },
    /// A worker has begun a streamed response.
    #[serde(rename = "begun")]
    ResponseStreaming {
        /// The request that the attempt belongs to.
        #[serde(borrow, rename = "call")]
        request: Cow<'a, str>,
        /// The worker that sends the response.
        worker: Cow<'a, str>,
        /// The number of the attempt within the request.
        #[serde(default, rename = "try")]
        attempt: u32,
    },
    /// An attempt has ended, with or without a response.
    #[serde(rename = "verdict")]
    AttemptEnded(#[serde(borrow)] AttemptEndMessage<'a>),
    /// The client of a request has disconnected, and needs no answer.
    #[serde(rename = "lapsed")]
    ClientDisconnected {
        /// The client's request.
        #[serde(borrow, rename = "call")]
        request: Cow<'a, str>,
    },
    /// The probe of a worker has ended.
    #[serde(rename = "pingResult")]
    ProbeEnded {
        /// The worker that was probed.
        #[serde(borrow)]
        worker: Cow<'a, str>,
        /// The probe's outcome code, which `outcome_of` in `instance.rs` maps.
        #[serde(default, rename = "result")]
        outcome: u8,
        /// The worker's load report; empty if there was none.
        #[serde(default, rename = "metrics")]
        load_report: Vec<f64>,
    },
    /// The timer of a `sleep` command has expired.
    #[serde(rename = "wakeup")]
    Timer {
        /// The token of that command.
        #[serde(rename = "handle")]
        token: u64,
    },
    /// Information that a dispatcher does not use. Ignored.
    #[serde(rename = "memo")]
    Note {},
}

/// A request that arrives.
#[derive(Deserialize)]
pub struct ArrivalMessage<'a> {
    /// The request's name.
    #[serde(borrow, rename = "call")]
    pub request: Cow<'a, str>,
    /// The index of its class in the settings.
    #[serde(default, rename = "grade")]
    pub class: usize,
    /// The simulated time at which the client stops waiting, in microseconds.
    #[serde(rename = "due")]
    pub deadline: i64,
    /// The expected running time of the job on a standard core, in microseconds; `None` if unknown.
    #[serde(default, rename = "cost")]
    pub work_hint: Option<i64>,
    /// How many of a worker's slots the job occupies; `None` means 1.
    #[serde(default, rename = "width")]
    pub slots: Option<f64>,
    /// Whether the client marks the request as a retry.
    #[serde(default, rename = "resent")]
    pub is_retry: bool,
    /// Names the data that the request works on; `None` if the request has no affinity.
    #[serde(borrow, default, rename = "object")]
    pub affinity_key: Option<Cow<'a, str>>,
}

/// An attempt that has ended, with its outcome.
#[derive(Deserialize)]
pub struct AttemptEndMessage<'a> {
    /// The request that the attempt belongs to.
    #[serde(borrow, rename = "call")]
    pub request: Cow<'a, str>,
    /// The number of the attempt within the request.
    #[serde(default, rename = "try")]
    pub attempt: u32,
    /// The outcome code, which `outcome_of` in `instance.rs` maps.
    #[serde(rename = "result")]
    pub outcome: u8,
    /// The time since the attempt was sent, in microseconds.
    #[serde(default, rename = "waitTime")]
    pub elapsed: i64,
    /// The worker that the attempt was sent to.
    pub worker: Cow<'a, str>,
    /// Whether the request has its final answer.
    #[serde(default, rename = "over")]
    pub request_concluded: bool,
    /// The worker's load report; empty if there was none.
    #[serde(default, rename = "metrics")]
    pub load_report: Vec<f64>,
}

/// A worker of a worker list.
#[derive(Deserialize)]
pub struct WorkerRow<'a> {
    /// The worker's name.
    #[serde(borrow, rename = "worker")]
    pub name: Cow<'a, str>,
    /// The number of its cell.
    #[serde(default, rename = "group")]
    pub cell: u64,
    /// Its lifecycle code, which `lifecycle_of` in `host.rs` maps.
    #[serde(default)]
    pub lifecycle: u8,
    /// The simulated time of its last start, in microseconds; 0 if that was long ago.
    #[serde(default, rename = "born")]
    pub started_at: i64,
    /// The index of its worker kind in the settings.
    #[serde(default, rename = "machine")]
    pub kind: usize,
    /// The index of its zone in the settings.
    #[serde(default, rename = "regionPart")]
    pub zone: usize,
    /// Its capacity relative to other workers.
    #[serde(default = "default_weight", rename = "rating")]
    pub weight: f64,
}

fn default_weight() -> f64 {
    1.0
}
