//! Case 2: discovery that must be asked is out of reach for a while; executors begin to drain at its return.

#[path = "../stand/stand.rs"]
mod stand;

use stand::*;
use std::collections::HashMap;
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const NODES: usize = 6;
const EXECUTORS: usize = 6;
/// The first of the executors begin to drain.
const DRAINING: usize = 3;
const CLIENTS_PER_NODE: usize = 6;
const CALM_MS: u64 = 5_000;
/// How long discovery is out of reach.
const OUTAGE_MS: u64 = 20_000;
/// A change counts as told at the latest this long after discovery had it and could be reached.
const TOLD_AFTER_US: u64 = 6_000_000;
const GRACE_US: u64 = 2_000_000;
/// Each time limit is this much longer.
const SLACK_US: u64 = 50_000;
const LONGEST_RUN_MS: u64 = 300;

struct World {
    record: Arc<Record>,
    /// When the drain counts as told to all nodes; 0 before it begins.
    told_at_us: AtomicU64,
    late: Mutex<Vec<String>>,
    sent_to_draining: AtomicU64,
}

fn serve(world: &World, number: usize, request: &Request, writer: &mut TcpStream) -> bool {
    let body = String::from_utf8_lossy(&request.body).into_owned();
    let mut words = body.split(' ');
    let class = words.next().unwrap_or_default().to_string();
    let run_ms: u64 = words.next().and_then(|word| word.parse().ok()).unwrap_or(20);
    let sender = words.next().unwrap_or_default().to_string();
    let name = format!("s-{number}");
    let told = world.told_at_us.load(Ordering::SeqCst);
    let mut mark = "";
    if number < DRAINING && told > 0 {
        world.sent_to_draining.fetch_add(1, Ordering::SeqCst);
        let limit = told + GRACE_US + 2 * SLACK_US;
        if request.first_byte_us > limit {
            mark = " BROKEN drain";
            let late_ms = (request.first_byte_us - told) as f64 / 1e3;
            let text = format!(
                "BROKEN drain: {sender} sent {class} {} to the draining {name} {late_ms:.0} ms after it counts as told",
                request.id
            );
            world.late.lock().unwrap().push(text);
        }
    }
    world.record.line(&format!("{name}: {class} {} from {sender} runs{mark}", request.id));
    if writer.write_all(JOB_HEAD.as_bytes()).is_err() {
        return false;
    }
    sleep_ms(run_ms);
    let done = format!("{}0\r\n\r\n", job_line(&request.id, &name, "done", Some("ok")));
    writer.write_all(done.as_bytes()).is_ok()
}

/// The settings of a small deployment whose list must be asked for.
fn config(number: usize) -> String {
    format!(
        r#"{{"name":"n{number}","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"{:x}",
      "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
      "known":{{"seq":0,"whole":true,"hosts":[]}},
      "settings":{{"balancers":{NODES},"me":{number},"zone":0,"zones":["north"],"kinds":["slab"],
        "discovery":"subscribe","round":5000,"callers":{{"marksRetry":false}},
        "ceilings":{{"cancel":false,"dialTimeout":400000,"keepalive":8000000,"maxAttempts":4,"maxRetryAfter":1000000,
          "mayProbe":false,"retryAfter":false,"secondCopies":false}},
        "familyInfo":{{"classKind":[-1,-1],"classPriority":[0,0],"classStretch":[2.0,2.5],"progress":0,
          "queueOrder":"fifo","tellsStart":false}},
        "grades":[
          {{"name":"proof","effect":"idempotent","aim":200000,"deadline":4000000,"value":2.0,"lateValue":0.4}},
          {{"name":"dispatch-note","effect":"at_most_once","aim":250000,"deadline":4000000,"value":4.0,"lateValue":0.1}}],
        "invariants":{{"answerSlack":16000,"askWithin":10000000,"cold":16000000,"drainGrace":2000000,"fall":1500000,
          "overloadFactor":2.5,"startCapacity":0.2}},
        "prices":{{"waste":0.08,"crossZone":0.02,"lateFail":0.06}},
        "projects":[]}}}}"#,
        number + 4
    )
}

fn main() {
    let record = Record::open(&std::env::args().nth(1).unwrap_or_else(|| cannot_run("no record file")));
    let world = Arc::new(World {
        record: record.clone(),
        told_at_us: AtomicU64::new(0),
        late: Mutex::default(),
        sent_to_draining: AtomicU64::new(0),
    });
    let mut hosts = Vec::new();
    let mut executors = Vec::new();
    for number in 0..EXECUTORS {
        let world = world.clone();
        let executor =
            Executor::start(&format!("s-{number}"), move |request, writer| serve(&world, number, request, writer));
        hosts.push(Host {
            name: format!("s-{number}"),
            dial: executor.address,
            site: "north".into(),
            class: "slab".into(),
            block: (number / 2) as u64,
            health: "in_service",
            share: 1.0,
            born_ms: 0,
        });
        executors.push(executor);
    }
    let discovery = Discovery::start(hosts, &record);
    let folder = temporary_folder();
    let nodes: Vec<Node> = (0..NODES)
        .map(|number| Node::start(&folder, &format!("n{number}"), &config(number), discovery.address))
        .collect();
    record.say(&format!("{NODES} nodes are ready"));
    let answers: Arc<Mutex<HashMap<u16, u64>>> = Arc::default();
    let stop = Arc::new(AtomicU64::new(u64::MAX));
    let mut clients = Vec::new();
    for number in 0..NODES * CLIENTS_PER_NODE {
        let node = &nodes[number % NODES];
        let (record, address, answers, stop) = (record.clone(), node.address, answers.clone(), stop.clone());
        let name = node.name.clone();
        clients.push(thread::spawn(move || {
            let mut rng = Rng::new(500 + number as u64);
            let mut client = Client::new(address);
            sleep_ms(rng.below(500));
            while now_us() < stop.load(Ordering::SeqCst) {
                let class = if rng.share() < 0.5 { "proof" } else { "dispatch-note" };
                let id = format!("{:016x}", rng.next());
                let run_ms = 50 + rng.below(LONGEST_RUN_MS - 50);
                let job = Job {
                    id: &id,
                    class,
                    tenant: None,
                    key: None,
                    timeout_ms: 4000,
                    hint_us: Some(run_ms * 1000),
                    body: &format!("{class} {run_ms} {name}"),
                };
                record.line(&format!("client {number}: sends {class} {id} to {name}"));
                let answer = client.exchange(&job.text(), Duration::from_millis(5000));
                let status = answer.map_or(0, |(status, _)| status);
                record.line(&format!("client {number}: {id} answered {status}"));
                *answers.lock().unwrap().entry(status).or_default() += 1;
                sleep_ms(100 + rng.below(300));
            }
        }));
    }
    sleep_ms(CALM_MS);
    if trouble() {
        record.say("discovery goes out of reach: its connections are reset, new ones are refused");
        discovery.die();
        sleep_ms(OUTAGE_MS);
    } else {
        sleep_ms(OUTAGE_MS);
    }
    for number in 0..DRAINING {
        discovery.set_health(&format!("s-{number}"), "terminating");
    }
    if trouble() {
        discovery.restart();
    }
    let told = now_us() + TOLD_AFTER_US + SLACK_US;
    world.told_at_us.store(told, Ordering::SeqCst);
    record.say(&format!("discovery can be reached and has the drain of {DRAINING} executors; told at {} ms at the latest", told / 1000));
    // All that was sent in time has run by then; the drained executors leave.
    let leave = told + GRACE_US + 2 * SLACK_US + (LONGEST_RUN_MS + 200) * 1000;
    sleep_ms((leave - now_us()) / 1000);
    let before_leave = answers.lock().unwrap().get(&502).copied().unwrap_or(0);
    for executor in &executors[..DRAINING] {
        executor.die();
        discovery.set_health(&executor.name, "terminated");
    }
    record.say("the drained executors have left");
    sleep_ms(5_000);
    stop.store(0, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    if let Some(node) = nodes.iter().find(|node| !node.runs()) {
        record.say(&format!("{} has ended by itself", node.name));
        finish(1);
    }
    let late = world.late.lock().unwrap();
    for text in late.iter() {
        record.line(text);
    }
    let mut by_node: HashMap<&str, u64> = HashMap::new();
    for text in late.iter() {
        *by_node.entry(text.split(' ').nth(2).unwrap_or_default()).or_default() += 1;
    }
    if let Some(last) = late.last() {
        record.say(last);
    }
    let answers = answers.lock().unwrap();
    let lost = answers.get(&502).copied().unwrap_or(0) - before_leave;
    record.say(&format!(
        "answers {answers:?}; sent to draining executors after the time allowed: {} requests, by node {by_node:?}; failed when these left: {lost}",
        late.len()
    ));
    finish(if late.is_empty() { 0 } else { 1 })
}
