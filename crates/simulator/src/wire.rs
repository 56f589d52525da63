//! The wire as it is written: one JSON value a line, ids as words, positions for classes and zones.

use serde::{Deserialize, Serialize};
use std::borrow::Cow;

/// A batch of events.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Batch<'a> {
    pub sim_time: i64,
    #[serde(borrow)]
    pub dispatchers: Vec<Group<'a>>,
}

/// The events of one instance.
#[derive(Deserialize)]
pub struct Group<'a> {
    #[serde(borrow)]
    pub dispatcher: Cow<'a, str>,
    pub arrivals: Vec<Message<'a>>,
}

/// One event.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub enum Message<'a> {
    Create {
        salt: u64,
        conf: serde_json::Value,
    },
    Kill {},
    Ledger {
        bank: usize,
        #[serde(borrow)]
        rows: Vec<Row<'a>>,
    },
    Update {
        #[serde(default)]
        bank: usize,
        mode: u8,
    },
    Inbound(#[serde(borrow)] Inbound<'a>),
    Notice {
        #[serde(borrow)]
        call: Cow<'a, str>,
        worker: Cow<'a, str>,
        kind: u8,
        #[serde(default)]
        amount: f64,
        #[serde(default, rename = "try")]
        attempt: u32,
    },
    Begun {
        #[serde(borrow)]
        call: Cow<'a, str>,
        worker: Cow<'a, str>,
        #[serde(default, rename = "try")]
        attempt: u32,
    },
    Verdict(#[serde(borrow)] Verdict<'a>),
    Lapsed {
        #[serde(borrow)]
        call: Cow<'a, str>,
    },
    #[serde(rename_all = "camelCase")]
    PingResult {
        #[serde(borrow)]
        worker: Cow<'a, str>,
        #[serde(default)]
        result: u8,
        #[serde(default)]
        metrics: Vec<f64>,
    },
    Wakeup {
        handle: u64,
    },
    Memo {},
}

/// A request.
#[derive(Deserialize)]
pub struct Inbound<'a> {
    #[serde(borrow)]
    pub call: Cow<'a, str>,
    #[serde(default)]
    pub grade: usize,
    pub due: i64,
    #[serde(default)]
    pub cost: Option<i64>,
    #[serde(default)]
    pub width: Option<f64>,
    #[serde(default)]
    pub resent: bool,
    #[serde(borrow, default)]
    pub object: Option<Cow<'a, str>>,
}

/// The end of an attempt.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Verdict<'a> {
    #[serde(borrow)]
    pub call: Cow<'a, str>,
    #[serde(default, rename = "try")]
    pub attempt: u32,
    pub result: u8,
    #[serde(default)]
    pub wait_time: i64,
    pub worker: Cow<'a, str>,
    #[serde(default)]
    pub over: bool,
    #[serde(default)]
    pub metrics: Vec<f64>,
}

/// A line of the worker list.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Row<'a> {
    #[serde(borrow)]
    pub worker: Cow<'a, str>,
    #[serde(default)]
    pub group: u64,
    #[serde(default)]
    pub lifecycle: u8,
    #[serde(default)]
    pub born: i64,
    #[serde(default)]
    pub machine: usize,
    #[serde(default)]
    pub region_part: usize,
    #[serde(default = "one")]
    pub rating: f64,
}

fn one() -> f64 {
    1.0
}

/// The reply to a batch.
#[derive(Serialize)]
pub struct Reply {
    pub dispatchers: Vec<Outbox>,
}

/// The actions of one instance.
#[derive(Serialize)]
pub struct Outbox {
    pub dispatcher: String,
    pub outbox: Vec<Order>,
}

/// One action.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
pub enum Order {
    Relay {
        call: String,
        timeout: i64,
        worker: String,
    },
    Cancel {
        call: String,
        #[serde(rename = "try")]
        attempt: u32,
    },
    #[serde(rename_all = "camelCase")]
    TurnAway {
        call: String,
        retry_in: i64,
    },
    Error {
        call: String,
    },
    Test {
        worker: String,
    },
    #[serde(rename_all = "camelCase")]
    Sleep {
        sleep_for: i64,
        handle: u64,
    },
    StreamChanges {
        enable: bool,
    },
    Record {
        text: String,
    },
}
