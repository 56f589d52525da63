//! What the simulator sends: batches of messages.

use serde::Deserialize;
use std::borrow::Cow;

/// A batch of events.
#[derive(Deserialize)]
pub struct Batch<'a> {
    /// The time of all its events, in microseconds.
    #[serde(rename = "simTime")]
    pub now: i64,
    /// Grouped by instance.
    #[serde(borrow, rename = "dispatchers")]
    pub groups: Vec<MessageGroup<'a>>,
}

/// The messages to one instance.
#[derive(Deserialize)]
pub struct MessageGroup<'a> {
    /// Its name.
    #[serde(borrow, rename = "dispatcher")]
    pub instance: Cow<'a, str>,
    /// In the order in which they are to be handled.
    #[serde(rename = "arrivals")]
    pub messages: Vec<Message<'a>>,
}

/// A message to an instance, or to the process about it.
#[derive(Deserialize)]
pub enum Message<'a> {
    /// An instance starts.
    #[serde(rename = "create")]
    CreateInstance {
        /// The seed of its random numbers.
        #[serde(rename = "salt")]
        seed: u64,
        /// Its settings, as the deploy file has them.
        #[serde(rename = "conf")]
        settings: serde_json::Value,
    },
    /// An instance is killed.
    #[serde(rename = "kill")]
    DropInstance {},
    /// A worker list that later updates refer to.
    #[serde(rename = "ledger")]
    WorkerList {
        /// The number of the list.
        #[serde(rename = "bank")]
        list: usize,
        /// Its workers.
        #[serde(borrow, rename = "rows")]
        workers: Vec<WorkerRow<'a>>,
    },
    /// An instance gets an update of its worker list.
    #[serde(rename = "update")]
    WorkerListUpdate {
        /// The number of the list that holds it.
        #[serde(default, rename = "bank")]
        list: usize,
        /// How the list is to be taken.
        mode: u8,
    },
    /// A request arrives.
    #[serde(rename = "inbound")]
    Arrival(#[serde(borrow)] ArrivalMessage<'a>),
    /// A job has started or makes progress.
    #[serde(rename = "notice")]
    JobNotice {
        /// The request.
        #[serde(borrow, rename = "call")]
        request: Cow<'a, str>,
        /// The worker.
        worker: Cow<'a, str>,
        /// Start or progress.
        kind: u8,
        /// The fraction done.
        #[serde(default, rename = "amount")]
        progress: f64,
        /// The attempt.
        #[serde(default, rename = "try")]
        attempt: u32,
    },
    /// A streamed answer has begun.
    #[serde(rename = "begun")]
    ResponseStreaming {
        /// The request.
        #[serde(borrow, rename = "call")]
        request: Cow<'a, str>,
        /// The worker.
        worker: Cow<'a, str>,
        /// The attempt.
        #[serde(default, rename = "try")]
        attempt: u32,
    },
    /// An attempt ended.
    #[serde(rename = "verdict")]
    AttemptEnded(#[serde(borrow)] AttemptEndMessage<'a>),
    /// A client has disconnected.
    #[serde(rename = "lapsed")]
    ClientDisconnected {
        /// The request.
        #[serde(borrow, rename = "call")]
        request: Cow<'a, str>,
    },
    /// A probe ended.
    #[serde(rename = "pingResult")]
    ProbeEnded {
        /// The worker.
        #[serde(borrow)]
        worker: Cow<'a, str>,
        /// How it ended.
        #[serde(default, rename = "result")]
        outcome: u8,
        /// The worker's load report.
        #[serde(default, rename = "metrics")]
        load_report: Vec<f64>,
    },
    /// A timer has fired.
    #[serde(rename = "wakeup")]
    Timer {
        /// Its token.
        #[serde(rename = "handle")]
        token: u64,
    },
    /// A note that needs no action.
    #[serde(rename = "memo")]
    Note {},
}

/// A request that arrives.
#[derive(Deserialize)]
pub struct ArrivalMessage<'a> {
    /// Its name.
    #[serde(borrow, rename = "call")]
    pub request: Cow<'a, str>,
    /// Its class.
    #[serde(default, rename = "grade")]
    pub class: usize,
    /// When the client stops waiting, in microseconds.
    #[serde(rename = "due")]
    pub deadline: i64,
    /// Its expected running time, in microseconds.
    #[serde(default, rename = "cost")]
    pub work_hint: Option<i64>,
    /// The slots that it takes.
    #[serde(default, rename = "width")]
    pub slots: Option<f64>,
    /// The client marks it as a retry.
    #[serde(default, rename = "resent")]
    pub is_retry: bool,
    /// What it is about.
    #[serde(borrow, default, rename = "object")]
    pub affinity_key: Option<Cow<'a, str>>,
}

/// The end of an attempt.
#[derive(Deserialize)]
pub struct AttemptEndMessage<'a> {
    /// The request.
    #[serde(borrow, rename = "call")]
    pub request: Cow<'a, str>,
    /// The attempt.
    #[serde(default, rename = "try")]
    pub attempt: u32,
    /// How it ended.
    #[serde(rename = "result")]
    pub outcome: u8,
    /// The time since it was sent, in microseconds.
    #[serde(default, rename = "waitTime")]
    pub elapsed: i64,
    /// The worker.
    pub worker: Cow<'a, str>,
    /// The request has its final answer.
    #[serde(default, rename = "over")]
    pub request_concluded: bool,
    /// The worker's load report.
    #[serde(default, rename = "metrics")]
    pub load_report: Vec<f64>,
}

/// A worker of a worker list.
#[derive(Deserialize)]
pub struct WorkerRow<'a> {
    /// Its name.
    #[serde(borrow, rename = "worker")]
    pub name: Cow<'a, str>,
    /// Its cell.
    #[serde(default, rename = "group")]
    pub cell: u64,
    /// The state of its process.
    #[serde(default)]
    pub lifecycle: u8,
    /// When it last started, in microseconds; 0 for long ago.
    #[serde(default, rename = "born")]
    pub started_at: i64,
    /// Its kind of machine.
    #[serde(default, rename = "machine")]
    pub kind: usize,
    /// Its zone.
    #[serde(default, rename = "regionPart")]
    pub zone: usize,
    /// Its capacity, relative to other workers.
    #[serde(default = "default_weight", rename = "rating")]
    pub weight: f64,
}

fn default_weight() -> f64 {
    1.0
}
