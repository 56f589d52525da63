//! Two small deployments: settings, executors and requests. `asks` is that of deploy/sites/asks.toml, `lesen-kl-main`
//! that of the operators' site file.
#![allow(dead_code)]

use crate::stand::{Case, Discovery, Entry, Executor, ExecutorPlan, Random, Request, list_json};
use std::sync::Arc;

/// The nodes of either deployment.
pub const NODES: usize = 3;
pub const ASKS_EXECUTORS: usize = 10;
pub const LESEN_EXECUTORS: usize = 9;
/// The executors of a cell of `lesen-kl-main` are those whose numbers leave the same remainder.
pub const LESEN_CELLS: usize = 3;

/// Starts executors named s-00, s-01 and so on.
pub fn start_executors(case: &Arc<Case>, count: usize, plan: &ExecutorPlan) -> Vec<Arc<Executor>> {
    (0..count).map(|index| Executor::start(case, &format!("s-{index:02}"), plan.clone())).collect()
}

fn entries(
    executors: &[Arc<Executor>],
    place: impl Fn(usize) -> (&'static str, &'static str, u64),
) -> Vec<Entry> {
    let entry = |(index, executor): (usize, &Arc<Executor>)| {
        let (site, class, block) = place(index);
        Entry {
            host: executor.name.clone(),
            dial: executor.address,
            site: site.to_string(),
            class: class.to_string(),
            block,
            health: "in_service",
            share: 1.0,
        }
    };
    executors.iter().enumerate().map(entry).collect()
}

pub fn asks_entries(executors: &[Arc<Executor>]) -> Vec<Entry> {
    entries(executors, |index| {
        (["north", "south"][index % 2], ["slab", "block"][index / 2 % 2], index as u64 / 3)
    })
}

pub fn lesen_entries(executors: &[Arc<Executor>]) -> Vec<Entry> {
    let zones = ["dc-shah-alam", "dc-cyberjaya", "dc-bangsar"];
    let kinds = ["new-large", "old-standard", "old-small"];
    entries(executors, |index| (zones[index % LESEN_CELLS], kinds[index / 3], (index % LESEN_CELLS) as u64))
}

/// The configuration of a node of `asks`: the list has to be asked for.
pub fn asks_config(index: usize, discovery: &Discovery, entries: &[Entry]) -> String {
    format!(
        r#"{{"name":"n{index}","listen":"127.0.0.1:0","discovery":"{}","seed":"{:x}",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{},
        "settings":{{"balancers":{NODES},"me":{index},"zone":{},"zones":["north","south"],"kinds":["slab","block"],
        "discovery":"subscribe","round":5000,"weights":"nominal","worthBy":"work","callers":{{"marksRetry":false}},
        "report":{{"fields":[],"how":"none"}},
        "ceilings":{{"cancel":false,"dialTimeout":400000,"keepalive":8000000,"maxAttempts":4,"maxRetryAfter":1000000,
          "mayProbe":false,"retryAfter":false,"secondCopies":false}},
        "familyInfo":{{"classKind":[-1,-1,-1],"classPriority":[0,0,0],"classStretch":[2.0,1.5,2.5],"progress":0,
          "queueOrder":"fifo","tellsStart":false}},
        "grades":[
          {{"name":"proof","effect":"idempotent","aim":200000,"deadline":4000000,"value":2.0,"lateValue":0.4}},
          {{"name":"plate","effect":"deduplicated","dedupScope":"zone","repeatWindow":6000000,"aim":400000,
            "deadline":8000000,"value":6.0,"lateValue":0.3}},
          {{"name":"dispatch-note","effect":"at_most_once","aim":250000,"deadline":4000000,"value":4.0,"lateValue":0.1}}],
        "invariants":{{"askWithin":10000000,"cold":16000000,"drainGrace":2000000,"fall":1500000,"overloadFactor":2.5,
          "startCapacity":0.2}},
        "prices":{{"waste":0.08,"crossZone":0.02,"lateFail":0.06}},"projects":[]}}}}"#,
        discovery.address,
        0x51 + index,
        list_json(1, true, entries),
        index % 2,
    )
}

/// The configuration of a node of `lesen-kl-main`: the list is pushed to the node's agent.
pub fn lesen_config(index: usize, discovery: &Discovery, entries: &[Entry]) -> String {
    format!(
        r#"{{"name":"n{index}","listen":"127.0.0.1:0","discovery":"{}","seed":"{:x}",
        "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{},
        "settings":{{"balancers":{NODES},"me":{index},"zone":{index},"zones":["dc-shah-alam","dc-cyberjaya","dc-bangsar"],
        "kinds":["new-large","old-standard","old-small"],"discovery":"automatic","round":4000,"weights":"nominal",
        "worthBy":"work","callers":{{"marksRetry":true}},"report":{{"fields":[],"how":"none"}},
        "ceilings":{{"cancel":true,"dialTimeout":250000,"keepalive":15000000,"maxAttempts":6,"maxRetryAfter":2000000,
          "mayProbe":true,"retryAfter":true,"secondCopies":true}},
        "familyInfo":{{"classKind":[-1,-1],"classPriority":[0,1],"classStretch":[2.0,2.5],"progress":0,
          "queueOrder":"priority","tellsStart":true}},
        "grades":[
          {{"name":"fee-charge","effect":"at_most_once","aim":300000,"deadline":5000000,"value":10.0,"lateValue":0.5}},
          {{"name":"licence-issue","effect":"deduplicated","dedupScope":"cell","repeatWindow":10000000,"aim":500000,
            "deadline":6000000,"value":30.0,"lateValue":0.2}}],
        "invariants":{{"cold":24000000,"drainGrace":1000000,"fall":1000000,"overloadFactor":3.0,"startCapacity":0.12}},
        "prices":{{"waste":0.25,"crossZone":0.08,"lateFail":0.022,"probe":0.002}},
        "projects":[{{"name":"pahang"}},{{"name":"perak"}},{{"name":"terengganu"}}]}}}}"#,
        discovery.address,
        0x31 + index,
        list_json(1, true, entries),
    )
}

pub fn asks_request(number: u64, random: &mut Random) -> Request {
    let draw = random.unit();
    let (class, timeout_ms, work) = match draw {
        _ if draw < 0.35 => ("proof", 4000, random.between(100.0, 300.0)),
        _ if draw < 0.70 => ("plate", 8000, random.between(200.0, 700.0)),
        _ => ("dispatch-note", 4000, random.between(80.0, 250.0)),
    };
    let id = format!("{:08x}{number:08x}", random.next() as u32);
    Request {
        idempotency_key: (class == "plate").then(|| format!("{id}{id}")),
        id,
        class: class.to_string(),
        tenant: None,
        timeout_ms,
        hint_us: (work * 1e3 * random.between(0.7, 1.4)) as u64,
        key: None,
        body: format!("class={class};work_ms={work:.0}"),
    }
}

pub fn lesen_request(number: u64, random: &mut Random) -> Request {
    let is_charge = random.unit() < 0.54;
    let work = match is_charge {
        true => random.exponential(190.0).clamp(10.0, 1500.0),
        false => random.exponential(380.0).clamp(20.0, 2500.0),
    };
    let id = format!("{:08x}{number:08x}", random.next() as u32);
    Request {
        idempotency_key: (!is_charge).then(|| format!("{id}{id}")),
        id,
        class: if is_charge { "fee-charge" } else { "licence-issue" }.to_string(),
        tenant: Some(["pahang", "perak", "terengganu"][(random.next() % 3) as usize].to_string()),
        timeout_ms: if is_charge { 5000 } else { 6000 },
        hint_us: (work * 1e3) as u64,
        key: None,
        body: format!("work_ms={work:.0}"),
    }
}
