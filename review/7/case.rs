//! An id that ends with white space outside ASCII is changed on its way: an executor gets a request under an id that no
//! client sent. See claim.txt.

#[path = "../stand-2/sites.rs"]
mod sites;
#[path = "../stand-2/stand.rs"]
mod stand;

use sites::{LESEN_EXECUTORS, NODES};
use stand::{Case, Clients, Discovery, ExecutorPlan, Node, Random, Traffic, read_message};
use std::collections::HashSet;
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

const TRAFFIC_END: f64 = 10.0;
/// White space outside ASCII, in UTF-8: no-break space, next line, en quad, line separator, ideographic space.
const SPACES: [&str; 5] = ["\u{a0}", "\u{85}", "\u{2000}", "\u{2028}", "\u{3000}"];

fn main() {
    let case = Case::new();
    let plan = ExecutorPlan { slots: 4, queue: 40, tells_start: true, ..ExecutorPlan::default() };
    let executors = sites::start_executors(&case, LESEN_EXECUTORS, &plan);
    let entries = sites::lesen_entries(&executors);
    let discovery = Discovery::start(&case, entries.clone());
    let start =
        |index| Node::start(&case, &format!("n{index}"), &sites::lesen_config(index, &discovery, &entries));
    let mut nodes: Vec<Node> = (0..NODES).map(start).collect();
    let clients = nodes.iter().map(|node| Clients::new(node.address)).collect();
    let traffic =
        Traffic::start(&case, clients, (case.now() + 0.5, TRAFFIC_END), |_| 40.0, sites::lesen_request, 58);

    // The bad clients: one request on each connection, whose id can't be read as one.
    let mut sent: HashSet<String> = HashSet::new();
    let mut served = 0;
    for number in 0..20 {
        thread::sleep(Duration::from_millis(300));
        let space = if case.trouble { SPACES[number % SPACES.len()] } else { "" };
        let mut bad =
            sites::lesen_request(0xbad0_0000 + number as u64, &mut Random::new(900 + number as u64));
        bad.id += space;
        // Compared byte by byte: each byte is a character here, as in the executors' record.
        sent.insert(bad.id.bytes().map(char::from).collect());
        let Ok(mut stream) = TcpStream::connect(nodes[number % NODES].address) else { continue };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(7)));
        case.log(&format!("bad client sends id={:?} class={}", bad.id, bad.class));
        let _ = stream.write_all(&bad.bytes());
        let status = read_message(&mut BufReader::new(stream)).map_or(0, |answer| answer.status());
        served += u32::from(status == 200);
        case.log(&format!("bad client id={:?} is answered {status}", bad.id));
    }
    traffic.wait(&case, TRAFFIC_END + 8.0);

    for outcome in traffic.outcomes.lock().unwrap().iter() {
        sent.insert(outcome.request.id.clone());
    }
    let mut unknown = 0;
    for executor in &executors {
        for run in executor.runs.lock().unwrap().iter() {
            if !sent.contains(&run.id) {
                unknown += 1;
                case.log(&format!("NO CLIENT SENT THIS ID: id={:?} at {}", run.id, run.executor));
            }
        }
    }
    let summary = format!(
        "{unknown} requests reached an executor under an id that no client sent; {served} of 20 of the bad clients' \
         requests were served ({})",
        traffic.counts()
    );
    case.finish(&mut nodes, unknown > 0, &summary)
}
