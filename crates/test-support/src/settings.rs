//! Configurations for nodes under test.

use std::net::SocketAddr;

/// A node's file that knows one box, `s-1` at `dial`, and one class, `fee`, of the given effect.
pub fn single_worker_config(dial: SocketAddr, effect: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f",
            "limits":{{"sockets":256}},
            "known":{{"seq":1,"hosts":[{{"host":"s-1","dial":"{dial}","health":"in_service"}}]}},
            "settings":{{"balancers":1,"ceilings":{{"maxAttempts":3,"dialTimeout":250000}},"invariants":{{}},
                "grades":[{{"name":"fee","aim":200000,"deadline":5000000,"effect":"{effect}"}}]}}}}"#
    )
}

/// A node's file that knows these boxes and three classes: `renewal-check` (a repeat is harmless), `licence-issue`
/// (keyed) and `fee-charge` (must not run twice).
pub fn workers_config(boxes: &[SocketAddr]) -> String {
    let host = |(i, dial): (usize, &SocketAddr)| {
        format!(r#"{{"host":"s-{i}","dial":"{dial}","health":"in_service"}}"#)
    };
    let hosts: Vec<String> = boxes.iter().enumerate().map(host).collect();
    let grade = |name: &str, effect: &str| {
        format!(r#"{{"name":"{name}","aim":300000,"deadline":5000000,"lateValue":0.5,"effect":{effect}}}"#)
    };
    let grades = [
        grade("renewal-check", r#""idempotent""#),
        grade("licence-issue", r#""deduplicated","dedupScope":"cell","repeatWindow":10000000"#),
        grade("fee-charge", r#""at_most_once""#),
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
        grades.join(",")
    )
}
