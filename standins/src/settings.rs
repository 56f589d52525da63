//! Configurations for nodes under test.

use std::net::SocketAddr;

/// A node's file that knows one box, `s-1` at `dial`, and one class, `fee`, of the given effect.
pub fn one_box(dial: SocketAddr, effect: &str) -> String {
    format!(
        r#"{{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f",
            "limits":{{"sockets":256}},
            "known":{{"seq":1,"hosts":[{{"host":"s-1","dial":"{dial}","health":"in_service"}}]}},
            "settings":{{"balancers":1,"ceilings":{{"maxAttempts":3,"dialTimeout":250000}},"invariants":{{}},
                "grades":[{{"name":"fee","aim":200000,"deadline":5000000,"effect":"{effect}"}}]}}}}"#
    )
}
