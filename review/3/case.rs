//! Case 3: executors come back cold under a burst; all nodes together send them more than they can bear.

#[path = "../stand/stand.rs"]
mod stand;

use stand::*;
use std::collections::{HashMap, VecDeque};
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

const NODES: usize = 30;
/// The usual traffic as a share of what all executors can do, and the burst as a multiple of it.
const LOAD: f64 = 0.75;
const BURST: f64 = 2.4;
const BURST_MS: u64 = 10_000;
/// A kind of executor: cores, speed of a core.
const KINDS: [(&str, usize, f64); 2] = [("slab", 4, 1.4), ("block", 3, 0.8)];
/// The kind of each executor.
const EXECUTORS: [usize; 10] = [0, 0, 0, 0, 0, 1, 1, 1, 1, 0];
/// Those that die and come back cold: two of ten.
const RETURNING: [usize; 2] = [0, 1];
const QUEUE_PER_CORE: usize = 6;
/// Classes: name, share of the requests, mean work in milliseconds, the client's time.
const CLASSES: [(&str, f64, f64, u64); 3] =
    [("proof", 0.35, 215.0, 4000), ("plate", 0.35, 450.0, 8000), ("dispatch-note", 0.30, 150.0, 4000)];

/// The rule's figures.
const START_CAPACITY: f64 = 0.2;
const COLD_US: f64 = 16_000_000.0;
const OVERLOAD_FACTOR: f64 = 2.5;
const WINDOW_US: u64 = 1_500_000;

struct State {
    born_us: u64,
    told_us: u64,
    busy: usize,
    waiting: usize,
    /// Time, work in milliseconds and sender of what reached the executor since its start.
    arrivals: VecDeque<(u64, f64)>,
    broken: bool,
    worst: f64,
}

struct Machine {
    number: usize,
    cores: usize,
    speed: f64,
    state: Mutex<State>,
    free: Condvar,
}

struct World {
    record: Arc<Record>,
    broken: Mutex<Vec<String>>,
}

fn mean_work_ms() -> f64 {
    CLASSES.iter().map(|(_, share, work, _)| share * work).sum()
}

impl Machine {
    fn fraction(&self, born_us: u64, now: u64) -> f64 {
        if born_us == 0 {
            return 1.0;
        }
        let age = now.saturating_sub(born_us) as f64;
        (START_CAPACITY + (1.0 - START_CAPACITY) * age / COLD_US).min(1.0)
    }

    /// Checks the budget of a cold executor when work has reached it.
    fn count(&self, world: &World, state: &mut State, now: u64, work_ms: f64) {
        if state.told_us == 0 || now < state.told_us || self.fraction(state.born_us, now) >= 1.0 {
            return;
        }
        state.arrivals.push_back((now, work_ms));
        while state.arrivals.front().is_some_and(|(at, _)| at + WINDOW_US < now) {
            state.arrivals.pop_front();
        }
        let sent: f64 = state.arrivals.iter().map(|(_, work)| work).sum::<f64>() / mean_work_ms();
        let fraction = self.fraction(state.born_us, now);
        let can = self.cores as f64 * self.speed * fraction * WINDOW_US as f64 / 1e3 / mean_work_ms();
        let allowed = OVERLOAD_FACTOR * can;
        let limit = if allowed < 30.0 { allowed + 3.0 * allowed.sqrt() + 3.0 } else { allowed + 2.0 * allowed.sqrt() + 2.0 };
        state.worst = state.worst.max(sent / limit);
        if sent > limit && !state.broken {
            state.broken = true;
            let text = format!(
                "BROKEN failback: s-{} falls over {:.2} s after its start: in the last 1.5 s it was sent {sent:.1} requests of mean work, {:.1} times what it can do; the settings allow {allowed:.1}, with the slack {limit:.1}",
                self.number, (now - state.born_us) as f64 / 1e6, sent / can
            );
            world.record.line(&text);
            world.broken.lock().unwrap().push(text);
        }
    }
}

fn serve(world: &World, machine: &Machine, request: &Request, writer: &mut TcpStream) -> bool {
    let body = String::from_utf8_lossy(&request.body).into_owned();
    let mut words = body.split(' ');
    let class = words.next().unwrap_or_default().to_string();
    let work_ms: f64 = words.next().and_then(|word| word.parse().ok()).unwrap_or(20.0);
    let sender = words.next().unwrap_or_default().to_string();
    let name = format!("s-{}", machine.number);
    let mut state = machine.state.lock().unwrap();
    machine.count(world, &mut state, request.last_byte_us, work_ms);
    if state.busy >= machine.cores && state.waiting >= QUEUE_PER_CORE * machine.cores {
        drop(state);
        world.record.line(&format!("{name}: {class} {} ({work_ms:.0} ms) from {sender} turned away", request.id));
        return writer.write_all(NOT_STARTED.as_bytes()).is_ok();
    }
    world.record.line(&format!("{name}: {class} {} ({work_ms:.0} ms) from {sender} taken", request.id));
    state.waiting += 1;
    drop(state);
    if writer.write_all(JOB_HEAD.as_bytes()).is_err() {
        machine.state.lock().unwrap().waiting -= 1;
        return false;
    }
    let mut state = machine.free.wait_while(machine.state.lock().unwrap(), |state| state.busy >= machine.cores).unwrap();
    state.waiting -= 1;
    state.busy += 1;
    let speed = machine.speed * machine.fraction(state.born_us, now_us());
    drop(state);
    thread::sleep(Duration::from_micros((work_ms * 1e3 / speed) as u64));
    machine.state.lock().unwrap().busy -= 1;
    machine.free.notify_one();
    let done = format!("{}0\r\n\r\n", job_line(&request.id, &name, "done", Some("ok")));
    writer.write_all(done.as_bytes()).is_ok()
}

fn config(number: usize) -> String {
    format!(
        r#"{{"name":"n{number}","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"{:x}",
      "limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
      "known":{{"seq":0,"whole":true,"hosts":[]}},
      "settings":{{"balancers":{NODES},"me":{number},"zone":0,"zones":["north"],"kinds":["slab","block"],
        "discovery":"subscribe","round":5000,"callers":{{"marksRetry":false}},"weights":"nominal",
        "ceilings":{{"cancel":false,"dialTimeout":400000,"keepalive":8000000,"maxAttempts":4,"maxRetryAfter":1000000,
          "mayProbe":false,"retryAfter":false,"secondCopies":false}},
        "familyInfo":{{"classKind":[-1,-1,-1],"classPriority":[0,0,0],"classStretch":[2.0,1.5,2.5],"progress":0,
          "queueOrder":"fifo","tellsStart":false}},
        "grades":[
          {{"name":"proof","effect":"idempotent","aim":200000,"deadline":4000000,"value":2.0,"lateValue":0.4}},
          {{"name":"plate","effect":"deduplicated","dedupScope":"zone","repeatWindow":6000000,"aim":400000,
            "deadline":8000000,"value":6.0,"lateValue":0.3}},
          {{"name":"dispatch-note","effect":"at_most_once","aim":250000,"deadline":4000000,"value":4.0,"lateValue":0.1}}],
        "invariants":{{"answerSlack":16000,"askWithin":10000000,"cold":16000000,"drainGrace":2000000,"fall":1500000,
          "overloadFactor":2.5,"startCapacity":0.2}},
        "prices":{{"waste":0.08,"crossZone":0.02,"lateFail":0.06}},
        "projects":[]}}}}"#,
        number + 17
    )
}

fn main() {
    let record = Record::open(&std::env::args().nth(1).unwrap_or_else(|| cannot_run("no record file")));
    let world = Arc::new(World { record: record.clone(), broken: Mutex::default() });
    let mut hosts = Vec::new();
    let mut machines = Vec::new();
    let mut executors = Vec::new();
    for (number, &kind) in EXECUTORS.iter().enumerate() {
        let (kind_name, cores, speed) = KINDS[kind];
        let machine = Arc::new(Machine {
            number,
            cores,
            speed,
            state: Mutex::new(State { born_us: 0, told_us: 0, busy: 0, waiting: 0, arrivals: VecDeque::new(), broken: false, worst: 0.0 }),
            free: Condvar::new(),
        });
        let (world, served) = (world.clone(), machine.clone());
        let executor = Executor::start(&format!("s-{number}"), move |request, writer| serve(&world, &served, request, writer));
        hosts.push(Host {
            name: format!("s-{number}"),
            dial: executor.address,
            site: "north".into(),
            class: kind_name.into(),
            block: (number / 3) as u64,
            health: "in_service",
            share: cores as f64 * speed,
            born_ms: 0,
        });
        machines.push(machine);
        executors.push(executor);
    }
    let capacity: f64 = machines.iter().map(|machine| machine.cores as f64 * machine.speed).sum::<f64>() * 1e3 / mean_work_ms();
    let discovery = Discovery::start(hosts, &record);
    let folder = temporary_folder();
    let nodes: Vec<Node> =
        (0..NODES).map(|number| Node::start(&folder, &format!("n{number}"), &config(number), discovery.address)).collect();
    record.say(&format!("{NODES} nodes are ready; the executors can do {capacity:.0} requests of mean work a second"));
    let rate = Arc::new(AtomicU64::new((LOAD * capacity * 1e3) as u64));
    let stop = Arc::new(AtomicBool::new(false));
    let answers: Arc<Mutex<HashMap<u16, u64>>> = Arc::default();
    let idle: Arc<Vec<Mutex<Vec<Client>>>> = Arc::new(nodes.iter().map(|_| Mutex::default()).collect());
    let sender = {
        let (rate, stop, answers, record, idle) = (rate.clone(), stop.clone(), answers.clone(), record.clone(), idle.clone());
        let addresses: Vec<_> = nodes.iter().map(|node| node.address).collect();
        thread::spawn(move || {
            let mut rng = Rng::new(4711);
            let mut next = now_us() as f64;
            while !stop.load(Ordering::SeqCst) {
                next += -(1.0 - rng.share()).ln() * 1e9 / rate.load(Ordering::SeqCst) as f64;
                let wait = next - now_us() as f64;
                if wait > 0.0 {
                    thread::sleep(Duration::from_micros(wait as u64));
                }
                let pick = rng.share();
                let class = if pick < 0.35 { 0 } else if pick < 0.7 { 1 } else { 2 };
                let (name, _, mean_ms, timeout_ms) = CLASSES[class];
                // Mean 1 and a coefficient of variation of about 0.8.
                let work_ms = (mean_ms * (0.1 + 0.9 * -(1.0 - rng.share()).ln())).min(6.0 * mean_ms);
                let hint_us = (work_ms * 1e3 * (0.7 + 0.6 * rng.share())) as u64;
                let id = format!("{:016x}", rng.next());
                let key = format!("{:016x}", rng.next());
                let wait_ms = 20 + rng.below(80);
                let to = rng.below(addresses.len() as u64) as usize;
                let address = addresses[to];
                let (answers, record, idle) = (answers.clone(), record.clone(), idle.clone());
                let client = thread::Builder::new().stack_size(128 * 1024).spawn(move || {
                    let mut client = idle[to].lock().unwrap().pop().unwrap_or_else(|| Client::new(address));
                    let job = Job {
                        id: &id,
                        class: name,
                        tenant: None,
                        key: (class == 1).then_some(key.as_str()),
                        timeout_ms,
                        hint_us: Some(hint_us),
                        body: &format!("{name} {work_ms:.1} n{to}"),
                    };
                    let mut answer = client.exchange(&job.text(), Duration::from_millis(timeout_ms + 1000));
                    if matches!(answer, Ok((503, _))) {
                        // One retry after a wait, with a new id.
                        sleep_ms(wait_ms);
                        let again = Job { id: &format!("{id}r"), ..job };
                        record.line(&format!("client: {name} {id} to n{to} answered 503, sent again as {}", again.id));
                        answer = client.exchange(&again.text(), Duration::from_millis(timeout_ms + 1000));
                    }
                    let status = answer.map_or(0, |(status, _)| status);
                    record.line(&format!("client: {name} {id} to n{to} answered {status}"));
                    *answers.lock().unwrap().entry(status).or_default() += 1;
                    idle[to].lock().unwrap().push(client);
                });
                if client.is_err() {
                    cannot_run("no thread for a client");
                }
            }
        })
    };
    sleep_ms(12_000);
    if trouble() {
        for number in RETURNING {
            executors[number].die();
            record.say(&format!("s-{number} dies"));
        }
        sleep_ms(4_000);
        for number in RETURNING {
            discovery.set_health(&format!("s-{number}"), "terminated");
        }
        sleep_ms(4_000);
        record.say(&format!("traffic jumps to {BURST} times the usual"));
        rate.store((LOAD * BURST * capacity * 1e3) as u64, Ordering::SeqCst);
        sleep_ms(4_000);
        for number in RETURNING {
            executors[number].restart();
            let mut state = machines[number].state.lock().unwrap();
            state.born_us = now_us();
            state.busy = 0;
            state.waiting = 0;
        }
        let born_ms = unix_ms();
        record.say("they come back cold");
        sleep_ms(600);
        for number in RETURNING {
            let mut state = machines[number].state.lock().unwrap();
            state.told_us = now_us();
            drop(state);
            let (kind_name, cores, speed) = KINDS[EXECUTORS[number]];
            discovery.add(Host {
                name: format!("s-{number}"),
                dial: executors[number].address,
                site: "north".into(),
                class: kind_name.into(),
                block: (number / 3) as u64,
                health: "in_service",
                share: cores as f64 * speed,
                born_ms,
            });
        }
        record.say("discovery tells of their start");
        let burst_over = now_us() + (BURST_MS - 4_600) * 1000;
        let end = burst_over + 8_000_000;
        let mut down = [false; EXECUTORS.len()];
        let mut in_burst = true;
        while now_us() < end {
            for number in RETURNING {
                // One that falls over stays down: what it had is lost.
                if !down[number] && machines[number].state.lock().unwrap().broken {
                    down[number] = true;
                    executors[number].die();
                }
            }
            if in_burst && now_us() >= burst_over {
                in_burst = false;
                rate.store((LOAD * capacity * 1e3) as u64, Ordering::SeqCst);
                record.say("the burst is over");
            }
            sleep_ms(2);
        }
    } else {
        sleep_ms(26_000);
    }
    stop.store(true, Ordering::SeqCst);
    let _ = sender.join();
    sleep_ms(500);
    if let Some(node) = nodes.iter().find(|node| !node.runs()) {
        record.say(&format!("{} has ended by itself", node.name));
        finish(1);
    }
    for number in RETURNING {
        let worst = machines[number].state.lock().unwrap().worst;
        record.say(&format!("s-{number}: at most {worst:.2} of the limit"));
    }
    let broken = world.broken.lock().unwrap();
    for text in broken.iter() {
        record.say(text);
    }
    record.say(&format!("answers {:?}", answers.lock().unwrap()));
    finish(if broken.is_empty() { 0 } else { 1 })
}
