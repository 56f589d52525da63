//! The intercepted functions. Each draws a fault from the plan, and calls the C library's function unless the
//! fault is an error.

use crate::plan::Fault;
use crate::{draw_fault, plan};
use libc::{
    c_char, c_int, c_void, clockid_t, mode_t, msghdr, nfds_t, off_t, pollfd, size_t, sockaddr, socklen_t,
    ssize_t, timespec,
};
use std::sync::OnceLock;

/// Descriptors below this are standard input, output and error, which carry the log: transfers on them
/// never fail.
const FIRST_DESCRIPTOR: c_int = 3;

/// The address of the C library's function of this name, looked up once and kept in `slot`.
fn real_function(slot: &OnceLock<usize>, name: &std::ffi::CStr) -> usize {
    // SAFETY: the name is a C string; the result is an address or null.
    *slot.get_or_init(|| unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) } as usize)
}

fn set_errno(errno: c_int) {
    // SAFETY: the location of the calling thread's errno is always valid.
    unsafe { *libc::__errno_location() = errno };
}

/// Defines one intercepted function: its C name, its name in plans, its parameters and result type, and a
/// block that handles the drawn fault before the C library is called. The block may return early with an
/// error.
macro_rules! intercept {
    ($name:ident as $plan:literal ($($arg:ident: $type:ty),*) -> $result:ty) => {
        intercept!($name as $plan ($($arg: $type),*) -> $result, |fault| {
            match fault {
                Some(Fault::Errno(errno)) => { set_errno(errno); return -1; }
                Some(Fault::ShortTransfer) | None => {}
            }
        });
    };
    ($name:ident as $plan:literal ($($arg:ident: $type:ty),*) -> $result:ty, |$fault:ident| $before:block) => {
        /// Injects the drawn fault or calls the C library's function of this name.
        ///
        /// # Safety
        /// As for the C library's function.
        #[unsafe(no_mangle)]
        #[allow(unused_mut)]
        pub unsafe extern "C" fn $name($(mut $arg: $type),*) -> $result {
            static REAL: OnceLock<usize> = OnceLock::new();
            let $fault = draw_fault($plan);
            $before
            let name = concat!(stringify!($name), "\0");
            let name = std::ffi::CStr::from_bytes_with_nul(name.as_bytes()).unwrap_or(c"");
            let address = real_function(&REAL, name);
            // SAFETY: this is the address of the C library's function, which has this signature.
            let function: unsafe extern "C" fn($($type),*) -> $result = unsafe { std::mem::transmute(address) };
            // SAFETY: the caller upholds the contract of the C library's function.
            unsafe { function($($arg),*) }
        }
    };
}

/// Whether errors may be injected into transfers on this descriptor. Excluded are the log and Unix sockets: a
/// signal handler wakes its own process through a Unix socket pair, and a non-blocking call on it is never
/// interrupted (signal(7)).
fn is_fault_allowed(fd: c_int) -> bool {
    // SAFETY: an all-zero `sockaddr_storage` is valid.
    let mut address: libc::sockaddr_storage = unsafe { std::mem::zeroed() };
    let mut size = size_of::<libc::sockaddr_storage>() as socklen_t;
    // SAFETY: the storage has room for an address of any family, and its size is passed.
    let has_address = unsafe { libc::getsockname(fd, (&raw mut address).cast(), &mut size) } == 0;
    fd >= FIRST_DESCRIPTOR && !(has_address && i32::from(address.ss_family) == libc::AF_UNIX)
}

/// Defines an intercepted transfer of bytes, which may fail or transfer at most half of the requested bytes.
macro_rules! transfer {
    ($name:ident as $plan:literal ($fd:ident, $length:ident; $($arg:ident: $type:ty),*)) => {
        intercept!($name as $plan ($($arg: $type),*) -> ssize_t, |fault| {
            match fault {
                Some(Fault::Errno(errno)) if is_fault_allowed($fd) => { set_errno(errno); return -1; }
                Some(Fault::ShortTransfer) if $length > 1 => $length /= 2,
                Some(_) | None => {}
            }
        });
    };
}

transfer!(read as "read" (fd, count; fd: c_int, buffer: *mut c_void, count: size_t));
transfer!(write as "write" (fd, count; fd: c_int, buffer: *const c_void, count: size_t));
transfer!(recv as "recv" (fd, length; fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int));
transfer!(send as "send" (fd, length; fd: c_int, buffer: *const c_void, length: size_t, flags: c_int));
transfer!(pread as "pread" (fd, count; fd: c_int, buffer: *mut c_void, count: size_t, offset: off_t));
transfer!(pread64 as "pread" (fd, count; fd: c_int, buffer: *mut c_void, count: size_t, offset: off_t));
transfer!(pwrite as "pwrite" (fd, count; fd: c_int, buffer: *const c_void, count: size_t, offset: off_t));
transfer!(pwrite64 as "pwrite" (fd, count; fd: c_int, buffer: *const c_void, count: size_t, offset: off_t));

intercept!(recvfrom as "recvfrom" (
    fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int, address: *mut sockaddr, size: *mut
    socklen_t
) -> ssize_t);
intercept!(sendto as "sendto" (
    fd: c_int, buffer: *const c_void, length: size_t, flags: c_int, address: *const sockaddr, size:
    socklen_t
) -> ssize_t);
intercept!(sendmsg as "sendmsg" (fd: c_int, message: *const msghdr, flags: c_int) -> ssize_t);
intercept!(accept4 as "accept" (
    fd: c_int, address: *mut sockaddr, size: *mut socklen_t, flags: c_int
) -> c_int);
intercept!(accept as "accept" (fd: c_int, address: *mut sockaddr, size: *mut socklen_t) -> c_int);
intercept!(socket as "socket" (domain: c_int, kind: c_int, protocol: c_int) -> c_int);
intercept!(bind as "bind" (fd: c_int, address: *const sockaddr, size: socklen_t) -> c_int);
intercept!(listen as "listen" (fd: c_int, backlog: c_int) -> c_int);
intercept!(shutdown as "shutdown" (fd: c_int, how: c_int) -> c_int);
intercept!(setsockopt as "setsockopt" (
    fd: c_int, level: c_int, name: c_int, value: *const c_void, size: socklen_t
) -> c_int);
intercept!(poll as "poll" (descriptors: *mut pollfd, count: nfds_t, timeout: c_int) -> c_int);
intercept!(ppoll as "poll" (
    descriptors: *mut pollfd, count: nfds_t, timeout: *const timespec, mask: *const c_void
) -> c_int);
intercept!(epoll_ctl as "epoll_ctl" (
    fd: c_int, operation: c_int, other: c_int, event: *mut libc::epoll_event
) -> c_int);
intercept!(epoll_wait as "epoll_wait" (
    fd: c_int, events: *mut libc::epoll_event, count: c_int, timeout: c_int
) -> c_int);
intercept!(epoll_pwait as "epoll_wait" (
    fd: c_int, events: *mut libc::epoll_event, count: c_int, timeout: c_int, mask: *const c_void
) -> c_int);
intercept!(epoll_pwait2 as "epoll_wait" (
    fd: c_int, events: *mut libc::epoll_event, count: c_int, timeout: *const timespec, mask: *const
    c_void
) -> c_int);
intercept!(timerfd_settime as "timerfd_settime" (
    fd: c_int, flags: c_int, new: *const c_void, old: *mut c_void
) -> c_int);
intercept!(open as "open" (path: *const c_char, flags: c_int, mode: mode_t) -> c_int);
intercept!(open64 as "open" (path: *const c_char, flags: c_int, mode: mode_t) -> c_int);
intercept!(openat as "open" (at: c_int, path: *const c_char, flags: c_int, mode: mode_t) -> c_int);
intercept!(openat64 as "open" (at: c_int, path: *const c_char, flags: c_int, mode: mode_t) -> c_int);
intercept!(unlinkat as "unlink" (at: c_int, path: *const c_char, flags: c_int) -> c_int);
intercept!(unlink as "unlink" (path: *const c_char) -> c_int);
intercept!(fsync as "fsync" (fd: c_int) -> c_int);
intercept!(fdatasync as "fsync" (fd: c_int) -> c_int);
intercept!(fstatvfs as "fstatvfs" (fd: c_int, to: *mut c_void) -> c_int);
intercept!(fstatvfs64 as "fstatvfs" (fd: c_int, to: *mut c_void) -> c_int);

intercept!(connect as "connect" (fd: c_int, address: *const sockaddr, size: socklen_t) -> c_int, |fault| {
    match fault {
        // An interrupted connect continues in the background (connect(2)), so the real call is made too: the
        // caller may wait for its completion.
        Some(Fault::Errno(libc::EINTR)) => {
            // SAFETY: as for the intercepted call. The errno of the raw call is replaced below.
            unsafe { libc::syscall(libc::SYS_connect, fd, address, size) };
            set_errno(libc::EINTR);
            return -1;
        }
        Some(Fault::Errno(errno)) => { set_errno(errno); return -1; }
        Some(Fault::ShortTransfer) | None => {}
    }
});

/// Reads a clock, and adds the steps of the plan to the wall clock. Other clocks are unchanged.
///
/// # Safety
/// As for the C library's function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, to: *mut timespec) -> c_int {
    const NANOS_PER_SECOND: i64 = 1_000_000_000;
    // SAFETY: the caller passes a valid pointer, which the kernel checks.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, to) } as c_int;
    if result == 0 && clock == libc::CLOCK_REALTIME {
        // SAFETY: the call succeeded, so the pointer is valid and the time is written.
        let time = unsafe { &mut *to };
        let stepped = time.tv_sec * NANOS_PER_SECOND + time.tv_nsec + plan().clock_offset_nanos();
        time.tv_sec = stepped.div_euclid(NANOS_PER_SECOND);
        time.tv_nsec = stepped.rem_euclid(NANOS_PER_SECOND);
    }
    result
}
