//! Hosts dispatchers on the simulator's wire: one batch of events a line in, one reply a line out.
//!
//! It translates and decides nothing. Ids are interned per instance, so what an instance does cannot
//! depend on which others share its process.

mod wire;

use sorrelhaven_config as config;
use sorrelhaven_dispatcher::{
    Action, Arrival, Dispatcher, Event, Lifecycle, Micros, Outcome, RequestId, Settings, WorkerEntry,
    WorkerId, WorkerListUpdate,
};
use std::collections::HashMap;
use std::io::{BufRead, Write};
use std::process::ExitCode;
use wire::{Batch, Message, Order, Outbox, Reply, Row};

/// A list line with the worker still by its word: lists belong to the process, numbers to an instance.
struct NamedEntry {
    worker: String,
    entry: WorkerEntry,
}

/// A request's word, and what is still to come for it.
struct Call {
    word: String,
    outstanding: u32,
    ended: bool,
}

/// One dispatcher and the words of its ids.
struct Instance {
    dispatcher: Dispatcher,
    workers: HashMap<String, WorkerId>,
    worker_words: Vec<String>,
    requests: HashMap<String, RequestId>,
    calls: HashMap<RequestId, Call>,
    next: u64,
}

impl Instance {
    fn new(settings: Settings, seed: u64) -> Self {
        Instance {
            dispatcher: Dispatcher::new(settings, seed),
            workers: HashMap::new(),
            worker_words: Vec::new(),
            requests: HashMap::new(),
            calls: HashMap::new(),
            next: 0,
        }
    }

    fn worker(&mut self, word: &str) -> WorkerId {
        if let Some(&id) = self.workers.get(word) {
            return id;
        }
        let id = WorkerId(self.worker_words.len() as u32);
        self.workers.insert(word.to_string(), id);
        self.worker_words.push(word.to_string());
        id
    }

    fn arrive(&mut self, word: &str) -> RequestId {
        let id = RequestId(self.next);
        self.next += 1;
        self.requests.insert(word.to_string(), id);
        self.calls.insert(id, Call { word: word.to_string(), outstanding: 0, ended: false });
        id
    }

    /// Forgets a request that has its final answer and no attempt outstanding.
    fn settle(&mut self, id: RequestId) {
        if let Some(call) = self.calls.get(&id)
            && call.ended
            && call.outstanding == 0
            && let Some(call) = self.calls.remove(&id)
        {
            self.requests.remove(&call.word);
        }
    }

    fn end(&mut self, id: RequestId) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.ended = true;
        }
    }

    /// Hands one event to the dispatcher and appends its actions as orders.
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>, orders: &mut Vec<Order>) {
        self.dispatcher.handle(now, event, actions);
        for action in actions.drain(..) {
            if let Some(order) = self.order(action) {
                orders.push(order);
            }
        }
    }

    fn order(&mut self, action: Action) -> Option<Order> {
        let worker_word = |w: WorkerId| self.worker_words.get(w.0 as usize).cloned();
        Some(match action {
            Action::Send { request, worker, timeout, .. } => {
                let call = self.calls.get_mut(&request)?;
                call.outstanding += 1;
                Order::Relay { call: call.word.clone(), timeout, worker: worker_word(worker)? }
            }
            Action::Cancel { request, attempt } => {
                Order::Cancel { call: self.calls.get(&request)?.word.clone(), attempt }
            }
            Action::Reject { request, retry_after } => {
                let call = self.calls.get(&request)?.word.clone();
                self.end(request);
                self.settle(request);
                Order::TurnAway { call, retry_in: retry_after }
            }
            Action::Fail { request } => {
                let call = self.calls.get(&request)?.word.clone();
                self.end(request);
                self.settle(request);
                Order::Error { call }
            }
            Action::Probe { worker } => Order::Test { worker: worker_word(worker)? },
            Action::SetTimer { delay, token } => Order::Sleep { sleep_for: delay, handle: token },
            Action::WatchWorkerList => Order::StreamChanges { enable: true },
            Action::Log(text) => Order::Record { text },
        })
    }
}

/// All instances of this process, and the lists they refer to.
#[derive(Default)]
struct Host {
    instances: HashMap<String, Instance>,
    ledgers: HashMap<usize, Vec<NamedEntry>>,
    actions: Vec<Action>,
}

impl Host {
    fn batch(&mut self, line: &str) -> Result<Reply, String> {
        let batch: Batch = serde_json::from_str(line).map_err(|e| e.to_string())?;
        let mut reply = Reply { dispatchers: Vec::new() };
        for group in batch.dispatchers {
            let mut orders = Vec::new();
            for message in group.arrivals {
                self.message(batch.sim_time, &group.dispatcher, message, &mut orders)?;
            }
            if !orders.is_empty() {
                reply.dispatchers.push(Outbox { dispatcher: group.dispatcher.into_owned(), outbox: orders });
            }
        }
        Ok(reply)
    }

    fn message(
        &mut self,
        now: Micros,
        name: &str,
        message: Message,
        orders: &mut Vec<Order>,
    ) -> Result<(), String> {
        match message {
            Message::Create { salt, conf } => {
                let settings = config::settings_from("conf", conf).map_err(|e| e.to_string())?;
                self.instances.insert(name.to_string(), Instance::new(settings, salt));
                return Ok(());
            }
            Message::Kill {} => {
                self.instances.remove(name);
                orders.clear();
                return Ok(());
            }
            Message::Ledger { bank, rows } => {
                let rows = rows.into_iter().map(named_entry).collect::<Result<_, _>>()?;
                self.ledgers.insert(bank, rows);
                return Ok(());
            }
            _ => {}
        }
        let instance = self.instances.get_mut(name).ok_or_else(|| format!("event for unknown {name}"))?;
        let mut settled = None;
        let event = match message {
            Message::Update { bank, mode } => {
                let mut entries = Vec::new();
                if mode != 3 {
                    let rows = self.ledgers.get(&bank).ok_or_else(|| format!("no ledger {bank}"))?;
                    for row in rows {
                        let worker = instance.worker(&row.worker);
                        entries.push(WorkerEntry { worker, ..row.entry.clone() });
                    }
                }
                Event::WorkerList(match mode {
                    0 => WorkerListUpdate::Delta(entries),
                    1 => WorkerListUpdate::Full(entries),
                    2 => WorkerListUpdate::Cached(entries),
                    3 => WorkerListUpdate::Failed,
                    _ => return Err(format!("update of unknown mode {mode}")),
                })
            }
            Message::Inbound(m) => Event::Arrival(Arrival {
                request: instance.arrive(&m.call),
                class: m.grade,
                deadline: m.due,
                work_hint: m.cost,
                slots: m.width.unwrap_or(1.0),
                is_retry: m.resent,
                affinity_key: m.object.map_or(0, |word| sorrelhaven_config::stable_hash(&word)),
                body_sendable: true,
            }),
            Message::Notice { call, worker, kind, amount, attempt } => {
                let Some(&request) = instance.requests.get(&*call) else { return Ok(()) };
                let worker = instance.worker(&worker);
                match kind {
                    1 => Event::AttemptStarted { request, attempt, worker },
                    2 => Event::AttemptProgress { request, attempt, worker, share: amount },
                    _ => return Ok(()),
                }
            }
            Message::Begun { call, worker, attempt } => {
                let Some(&request) = instance.requests.get(&*call) else { return Ok(()) };
                Event::ResponseStreaming { request, attempt, worker: instance.worker(&worker) }
            }
            Message::Verdict(v) => {
                let Some(&request) = instance.requests.get(&*v.call) else { return Ok(()) };
                if let Some(call) = instance.calls.get_mut(&request) {
                    call.outstanding = call.outstanding.saturating_sub(1);
                }
                if v.over {
                    instance.end(request);
                }
                settled = Some(request);
                Event::AttemptEnded {
                    request,
                    attempt: v.attempt,
                    worker: instance.worker(&v.worker),
                    outcome: outcome(v.result)?,
                    elapsed: v.wait_time,
                    request_concluded: v.over,
                    load_report: v.metrics,
                }
            }
            Message::Lapsed { call } => {
                let Some(&request) = instance.requests.get(&*call) else { return Ok(()) };
                instance.end(request);
                settled = Some(request);
                Event::ClientDisconnected(request)
            }
            Message::PingResult { worker, result, metrics } => Event::ProbeEnded {
                worker: instance.worker(&worker),
                outcome: outcome(result)?,
                load_report: metrics,
            },
            Message::Wakeup { handle } => Event::Timer(handle),
            Message::Memo {} | Message::Create { .. } | Message::Kill {} | Message::Ledger { .. } => {
                return Ok(());
            }
        };
        instance.handle(now, event, &mut self.actions, orders);
        if let Some(request) = settled {
            instance.settle(request);
        }
        Ok(())
    }
}

fn outcome(code: u8) -> Result<Outcome, String> {
    Ok(match code {
        0 => Outcome::Ok,
        1 => Outcome::Error,
        2 => Outcome::Rejected,
        3 => Outcome::Timeout,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::NotSent,
        _ => return Err(format!("unknown outcome {code}")),
    })
}

fn named_entry(row: Row) -> Result<NamedEntry, String> {
    let lifecycle = match row.lifecycle {
        0 => Lifecycle::Gone,
        1 => Lifecycle::Ready,
        2 => Lifecycle::Draining,
        other => return Err(format!("unknown lifecycle {other}")),
    };
    let entry = WorkerEntry {
        worker: WorkerId(0),
        name_hash: config::stable_hash(&row.worker),
        lifecycle,
        started_at: row.born,
        kind: row.machine,
        zone: row.region_part,
        cell: row.group,
        weight: row.rating,
    };
    Ok(NamedEntry { worker: row.worker.into_owned(), entry })
}

fn run() -> Result<(), String> {
    let mut host = Host::default();
    let mut input = std::io::stdin().lock();
    let mut output = std::io::BufWriter::new(std::io::stdout().lock());
    let mut line = String::new();
    let mut number = 0u64;
    loop {
        line.clear();
        number += 1;
        if input.read_line(&mut line).map_err(|e| format!("cannot read line {number}: {e}"))? == 0 {
            return Ok(());
        }
        let reply = host.batch(line.trim_end()).map_err(|e| format!("line {number}: {e}"))?;
        serde_json::to_writer(&mut output, &reply).map_err(|e| format!("cannot write: {e}"))?;
        output.write_all(b"\n").and_then(|()| output.flush()).map_err(|e| format!("cannot write: {e}"))?;
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("sorrelhaven-simulator: {message}");
            ExitCode::FAILURE
        }
    }
}
