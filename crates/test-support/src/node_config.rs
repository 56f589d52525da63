//! Configuration files of nodes under test, as the platform writes them.

use std::net::SocketAddr;

/// The configuration of a node with one known worker, `s-1` at `worker`, and one class, `fee`, with this
/// `effect`.
pub fn single_worker_config(worker: SocketAddr, effect: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f",
            "limits":{{"sockets":256}},
            "known":{{"seq":1,"hosts":[{{"host":"s-1","dial":"{worker}","health":"in_service"}}]}},
            "settings":{{"balancers":1,"ceilings":{{"maxAttempts":3,"dialTimeout":250000}},"invariants":{{}},
                "grades":[{{"name":"fee","aim":200000,"deadline":5000000,"effect":"{effect}"}}]}}}}"#
    )
}

/// The configuration of a node with these known workers, named `s-0`, `s-1` and so on, and three classes:
/// `renewal-check` (idempotent), `licence-issue` (deduplicated by key) and `fee-charge` (at most once).
pub fn workers_config(workers: &[SocketAddr]) -> String {
    let host = |(number, dial): (usize, &SocketAddr)| {
        format!(r#"{{"host":"s-{number}","dial":"{dial}","health":"in_service"}}"#)
    };
    let hosts: Vec<String> = workers.iter().enumerate().map(host).collect();
    let class = |name: &str, effect: &str| {
        format!(r#"{{"name":"{name}","aim":300000,"deadline":5000000,"lateValue":0.5,"effect":{effect}}}"#)
    };
    let classes = [
        class("renewal-check", r#""idempotent""#),
        class("licence-issue", r#""deduplicated","dedupScope":"cell","repeatWindow":10000000"#),
        class("fee-charge", r#""at_most_once""#),
    ];
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f",
            "limits":{{"sockets":1024,"memory_mb":192}},
            "known":{{"seq":1,"hosts":[{}]}},
            "settings":{{"balancers":1,
                "ceilings":{{"maxAttempts":3,"dialTimeout":250000,"cancel":true,"retryAfter":true,
                    "maxRetryAfter":2000000}},
                "invariants":{{}},"familyInfo":{{"tellsStart":true}},"grades":[{}]}}}}"#,
        hosts.join(","),
        classes.join(",")
    )
}
