//! The watch on the host group against an agent that answers, breaks off, talks nonsense and falls silent.

use super::shared;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use stepusher::WorkerId;

/// Reads one request and gives its target.
fn target(stream: &mut TcpStream) -> String {
    let mut got = Vec::new();
    while !got.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        assert_eq!(stream.read(&mut byte).expect("a request"), 1, "the node asks");
        got.push(byte[0]);
    }
    let text = String::from_utf8(got).expect("text");
    text.split(' ').nth(1).expect("a target").to_string()
}

fn list(seq: u64, whole: bool, hosts: &str) -> String {
    format!("{{\"seq\":{seq},\"whole\":{whole},\"hosts\":[{hosts}]}}\n")
}

fn host(name: &str, port: u16) -> String {
    format!(r#"{{"host":"{name}","dial":"127.0.0.1:{port}","health":"in_service"}}"#)
}

fn say(stream: &mut TcpStream, line: &str) {
    stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).expect("the node reads");
}

const OPEN: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

#[test]
fn a_watch_that_ends_is_asked_for_again_and_the_old_list_kept() {
    let agent = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = agent.local_addr().expect("its address");
    let agent = std::thread::spawn(move || {
        let next = || agent.accept().expect("the node comes").0;
        // It goes on from the list in the configuration, and takes an odd entry for what it is.
        let mut stream = next();
        assert_eq!(target(&mut stream), "/registry/instances?watch=1&after=1");
        stream.write_all(OPEN).expect("the node reads");
        let odd = r#"{"host":"s-odd","health":"in_service"}"#;
        say(&mut stream, &list(5, false, &format!("{odd},{}", host("s-2", 2))));
        say(&mut stream, "\n");
        drop(stream);
        // A watch that breaks goes on from what it had; after nonsense nothing it had can be trusted.
        let mut stream = next();
        assert_eq!(target(&mut stream), "/registry/instances?watch=1&after=5");
        stream.write_all(OPEN).expect("the node reads");
        say(&mut stream, "{\"seq\":6,\n");
        let mut stream = next();
        assert_eq!(target(&mut stream), "/registry/instances");
        let whole = list(7, true, &host("s-3", 3));
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{whole}", whole.len());
        stream.write_all(head.as_bytes()).expect("the node reads");
        assert_eq!(target(&mut stream), "/registry/instances?watch=1&after=7");
        // A watch that says nothing at all is given up as well.
        stream.write_all(OPEN).expect("the node reads");
        let mut again = next();
        assert_eq!(target(&mut again), "/registry/instances?watch=1&after=7");
    });
    let engine = shared::engine("127.0.0.1:1".parse().expect("an address"));
    let (done, stop) = async_channel::bounded::<()>(1);
    let waiter = std::thread::spawn(move || {
        let end = agent.join();
        drop(done);
        end
    });
    let (_moves, never) = async_channel::unbounded();
    let at = engine.clone();
    engine.tasks.spawn_urgent(async move { at.watch(address, 1, never).await });
    shared::run(&engine, async { _ = stop.recv().await });
    waiter.join().expect("the waiter").expect("the agent saw what it should");
    let port = |n: u32| engine.ways.host_group.address(WorkerId(n)).map(|a| a.port());
    assert_eq!([port(0), port(1), port(2), port(3)], [Some(1), Some(2), Some(3), None]);
    assert_eq!(engine.counters.lists.get(), 2);
}
