//! The table of `docs/errnos.md`, row by row.

use rustix::io::Errno;
use sorrelhaven_wire::{SocketCall, SocketFailure, classify};

const CALLS: [SocketCall; 4] =
    [SocketCall::Accept, SocketCall::Listen, SocketCall::Connect, SocketCall::Transfer];

#[test]
fn each_error_means_what_the_table_says() {
    let says = |call, errno: Errno| classify(call, &errno.into());
    for call in CALLS {
        assert_eq!(says(call, Errno::INTR), SocketFailure::Interrupted, "{call:?}");
        assert_eq!(says(call, Errno::MFILE), SocketFailure::DescriptorLimit, "{call:?}");
        for errno in [Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::NOSPC] {
            assert_eq!(says(call, errno), SocketFailure::Shortage, "{call:?} {errno:?}");
        }
        for errno in [Errno::CONNRESET, Errno::TIMEDOUT, Errno::HOSTUNREACH, Errno::PIPE, Errno::PROTO] {
            assert_eq!(says(call, errno), SocketFailure::Connection, "{call:?} {errno:?}");
        }
    }
    let ways_out = [Errno::ADDRNOTAVAIL, Errno::ADDRINUSE, Errno::NETUNREACH, Errno::NETDOWN, Errno::ACCESS];
    for errno in ways_out {
        assert_eq!(
            says(SocketCall::Connect, errno),
            SocketFailure::Shortage,
            "{errno:?}: no executor's fault"
        );
        assert_eq!(says(SocketCall::Transfer, errno), SocketFailure::Connection, "{errno:?}");
    }
    assert_eq!(says(SocketCall::Connect, Errno::CONNREFUSED), SocketFailure::Connection);
    assert_eq!(
        says(SocketCall::Listen, Errno::ADDRINUSE),
        SocketFailure::Connection,
        "a taken address is no shortage"
    );
    assert_eq!(says(SocketCall::Accept, Errno::CONNABORTED), SocketFailure::Connection);
    assert_eq!(says(SocketCall::Connect, Errno::AGAIN), SocketFailure::Shortage, "no local port");
    assert_eq!(says(SocketCall::Transfer, Errno::AGAIN), SocketFailure::NotReady);
}

#[test]
fn errors_without_a_number_are_told_by_their_kind() {
    let kinds = [
        (std::io::ErrorKind::Interrupted, SocketFailure::Interrupted),
        (std::io::ErrorKind::WouldBlock, SocketFailure::NotReady),
        (std::io::ErrorKind::WriteZero, SocketFailure::Connection),
    ];
    for (kind, failure) in kinds {
        assert_eq!(classify(SocketCall::Transfer, &kind.into()), failure);
    }
}
