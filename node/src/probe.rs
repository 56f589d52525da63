//! A probe: one question to an executor whether it lives.

use crate::deadline::by;
use crate::ending::Ending;
use crate::http::{Head, Start};
use crate::node::Node;
use std::rc::Rc;
use std::time::{Duration, Instant};
use stepusher::{Event, WorkerId};

/// A probe that has not answered by then tells as much as one that fails.
const WAIT: Duration = Duration::from_millis(500);

/// Probes an executor and tells the module what came of it.
pub async fn run(node: Rc<Node>, worker: WorkerId) {
    node.counters.probes.add();
    let ending = by(Instant::now() + WAIT, probe(&node, worker)).await.unwrap_or(Ending::Silent);
    node.desk.tell(Event::Probed { worker, outcome: ending.outcome(), report: Vec::new() });
}

async fn probe(node: &Node, worker: WorkerId) -> Ending {
    let Some(address) = node.host_group.address(worker) else { return Ending::NoAddress };
    let mut server_link = match node.links.take(worker, address) {
        Some(link) => link,
        None => match node.links.open(address, &node.counters).await {
            Ok(link) => link,
            Err(ending) => return ending,
        },
    };
    let link = &mut server_link.link;
    let request = format!("GET /health/live HTTP/1.1\r\nHost: {address}\r\n\r\n");
    if link.write(request.as_bytes()).await.is_err() {
        return Ending::BrokenUnwritten;
    }
    let head = match link.head(Head::answer).await {
        Ok(head) => head,
        Err(fault) => return Ending::unreadable(fault),
    };
    let body = match head.body() {
        Ok(body) => link.whole(body).await,
        Err(fault) => Err(fault),
    };
    match (body, &head.start) {
        (Err(fault), _) => Ending::unreadable(fault),
        (Ok(_), Start::Answer { status: 200 }) => {
            if head.keeps_alive() {
                node.links.put(worker, server_link);
            }
            Ending::Done(String::new())
        }
        (Ok(_), _) => Ending::Failed,
    }
}
