//! Socket errors are classified as the table in `docs/errnos.md` states.

use rustix::io::Errno;
use sorrelhaven_wire::{SocketCall, SocketFailure, classify};

const CALLS: [SocketCall; 4] =
    [SocketCall::Accept, SocketCall::Listen, SocketCall::Connect, SocketCall::Transfer];

#[test]
fn each_call_and_error_is_classified_as_in_the_table() {
    let failure_of = |call, errno: Errno| classify(call, &errno.into());
    for call in CALLS {
        assert_eq!(failure_of(call, Errno::INTR), SocketFailure::Interrupted, "{call:?}");
        assert_eq!(failure_of(call, Errno::MFILE), SocketFailure::DescriptorLimit, "{call:?}");
        for errno in [Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::NOSPC] {
            assert_eq!(failure_of(call, errno), SocketFailure::Shortage, "{call:?} {errno:?}");
        }
        for errno in [Errno::CONNRESET, Errno::TIMEDOUT, Errno::HOSTUNREACH, Errno::PIPE, Errno::PROTO] {
            assert_eq!(failure_of(call, errno), SocketFailure::Connection, "{call:?} {errno:?}");
        }
    }
    let local_errors =
        [Errno::ADDRNOTAVAIL, Errno::ADDRINUSE, Errno::NETUNREACH, Errno::NETDOWN, Errno::ACCESS];
    for errno in local_errors {
        assert_eq!(
            failure_of(SocketCall::Connect, errno),
            SocketFailure::Shortage,
            "{errno:?} is not the peer's fault"
        );
        assert_eq!(failure_of(SocketCall::Transfer, errno), SocketFailure::Connection, "{errno:?}");
    }
    assert_eq!(failure_of(SocketCall::Connect, Errno::CONNREFUSED), SocketFailure::Connection);
    assert_eq!(
        failure_of(SocketCall::Listen, Errno::ADDRINUSE),
        SocketFailure::Connection,
        "for a listener an address in use is permanent"
    );
    assert_eq!(failure_of(SocketCall::Accept, Errno::CONNABORTED), SocketFailure::Connection);
    assert_eq!(
        failure_of(SocketCall::Connect, Errno::AGAIN),
        SocketFailure::Shortage,
        "EAGAIN of connect means that no local port is free"
    );
    assert_eq!(failure_of(SocketCall::Transfer, Errno::AGAIN), SocketFailure::NotReady);
}

#[test]
fn errors_without_a_number_are_classified_by_their_kind() {
    let kinds = [
        (std::io::ErrorKind::Interrupted, SocketFailure::Interrupted),
        (std::io::ErrorKind::WouldBlock, SocketFailure::NotReady),
        (std::io::ErrorKind::WriteZero, SocketFailure::Connection),
    ];
    for (kind, failure) in kinds {
        assert_eq!(classify(SocketCall::Transfer, &kind.into()), failure);
    }
}
