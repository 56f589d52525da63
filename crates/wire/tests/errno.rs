//! The table of `docs/errnos.md`, row by row.

use rustix::io::Errno;
use sorrelhaven_wire::{Call, Failure, classify};

const CALLS: [Call; 4] = [Call::Accept, Call::Listen, Call::Connect, Call::Transfer];

#[test]
fn each_error_means_what_the_table_says() {
    let says = |call, errno: Errno| classify(call, &errno.into());
    for call in CALLS {
        assert_eq!(says(call, Errno::INTR), Failure::Interrupted, "{call:?}");
        assert_eq!(says(call, Errno::MFILE), Failure::DescriptorLimit, "{call:?}");
        for errno in [Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::NOSPC] {
            assert_eq!(says(call, errno), Failure::Shortage, "{call:?} {errno:?}");
        }
        for errno in [Errno::CONNRESET, Errno::TIMEDOUT, Errno::HOSTUNREACH, Errno::PIPE, Errno::PROTO] {
            assert_eq!(says(call, errno), Failure::Connection, "{call:?} {errno:?}");
        }
    }
    let ways_out = [Errno::ADDRNOTAVAIL, Errno::ADDRINUSE, Errno::NETUNREACH, Errno::NETDOWN, Errno::ACCESS];
    for errno in ways_out {
        assert_eq!(says(Call::Connect, errno), Failure::Shortage, "{errno:?}: no executor's fault");
        assert_eq!(says(Call::Transfer, errno), Failure::Connection, "{errno:?}");
    }
    assert_eq!(says(Call::Connect, Errno::CONNREFUSED), Failure::Connection);
    assert_eq!(says(Call::Listen, Errno::ADDRINUSE), Failure::Connection, "a taken address is no shortage");
    assert_eq!(says(Call::Accept, Errno::CONNABORTED), Failure::Connection);
    assert_eq!(says(Call::Connect, Errno::AGAIN), Failure::Shortage, "no local port");
    assert_eq!(says(Call::Transfer, Errno::AGAIN), Failure::NotReady);
}

#[test]
fn errors_without_a_number_are_told_by_their_kind() {
    let kinds = [
        (std::io::ErrorKind::Interrupted, Failure::Interrupted),
        (std::io::ErrorKind::WouldBlock, Failure::NotReady),
        (std::io::ErrorKind::WriteZero, Failure::Connection),
    ];
    for (kind, failure) in kinds {
        assert_eq!(classify(Call::Transfer, &kind.into()), failure);
    }
}
