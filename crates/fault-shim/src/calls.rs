//! The intercepted calls. Each asks the plan first and goes on to the C library's own function.

use crate::plan::Fault;
use crate::{due, plan};
use libc::{
    c_char, c_int, c_void, clockid_t, mode_t, msghdr, nfds_t, off_t, pollfd, size_t, sockaddr, socklen_t,
    ssize_t, timespec,
};
use std::sync::OnceLock;

/// Descriptors of standard input, output and error are left alone: they carry the log.
const FIRST_DESCRIPTOR: c_int = 3;

/// The C library's own function of this name.
fn real(slot: &OnceLock<usize>, name: &std::ffi::CStr) -> usize {
    // SAFETY: the name is a C string; the result is an address or null.
    *slot.get_or_init(|| unsafe { libc::dlsym(libc::RTLD_NEXT, name.as_ptr()) } as usize)
}

fn fail(errno: c_int) {
    // SAFETY: the location of the calling thread's errno is always valid.
    unsafe { *libc::__errno_location() = errno };
}

/// Defines one intercepted call: its C name, the name in plans, its parameters and result. The body before it goes on
/// may return early.
macro_rules! intercept {
    ($name:ident as $plan:literal ($($arg:ident: $type:ty),*) -> $result:ty) => {
        intercept!($name as $plan ($($arg: $type),*) -> $result, |fault| {
            match fault {
                Some(Fault::Errno(errno)) => { fail(errno); return -1; }
                Some(Fault::Short) | None => {}
            }
        });
    };
    ($name:ident as $plan:literal ($($arg:ident: $type:ty),*) -> $result:ty, |$fault:ident| $before:block) => {
        /// The intercepted call of this name.
        ///
        /// # Safety
        /// As the C library's own.
        #[unsafe(no_mangle)]
        #[allow(unused_mut)]
        pub unsafe extern "C" fn $name($(mut $arg: $type),*) -> $result {
            static REAL: OnceLock<usize> = OnceLock::new();
            let $fault = due($plan);
            $before
            let name = concat!(stringify!($name), "\0");
            let name = std::ffi::CStr::from_bytes_with_nul(name.as_bytes()).unwrap_or(c"");
            let address = real(&REAL, name);
            // SAFETY: the address is that of the C library's function, which has this signature.
            let function: unsafe extern "C" fn($($type),*) -> $result = unsafe { std::mem::transmute(address) };
            // SAFETY: the caller keeps to the contract of the call.
            unsafe { function($($arg),*) }
        }
    };
}

/// Whether calls on this descriptor may fail: not the log, and not the local socket pair through which a signal handler
/// wakes its own process, on which a call that does not block is never interrupted (signal(7)).
fn may_fail(fd: c_int) -> bool {
    // SAFETY: an all-zero address is valid, and its size is told.
    let mut address: libc::sockaddr_storage = unsafe { std::mem::zeroed() };
    let mut size = size_of::<libc::sockaddr_storage>() as socklen_t;
    // SAFETY: the address has room for any family.
    let named = unsafe { libc::getsockname(fd, (&raw mut address).cast(), &mut size) } == 0;
    fd >= FIRST_DESCRIPTOR && !(named && i32::from(address.ss_family) == libc::AF_UNIX)
}

/// A transfer of bytes: it may fail, or move at most half of what it could.
macro_rules! transfer {
    ($name:ident as $plan:literal ($fd:ident, $length:ident; $($arg:ident: $type:ty),*)) => {
        intercept!($name as $plan ($($arg: $type),*) -> ssize_t, |fault| {
            match fault {
                Some(Fault::Errno(errno)) if may_fail($fd) => { fail(errno); return -1; }
                Some(Fault::Short) if $length > 1 => $length /= 2,
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

intercept!(recvfrom as "recvfrom" (fd: c_int, buffer: *mut c_void, length: size_t, flags: c_int, address: *mut sockaddr, size: *mut socklen_t) -> ssize_t);
intercept!(sendto as "sendto" (fd: c_int, buffer: *const c_void, length: size_t, flags: c_int, address: *const sockaddr, size: socklen_t) -> ssize_t);
intercept!(sendmsg as "sendmsg" (fd: c_int, message: *const msghdr, flags: c_int) -> ssize_t);
intercept!(accept4 as "accept" (fd: c_int, address: *mut sockaddr, size: *mut socklen_t, flags: c_int) -> c_int);
intercept!(accept as "accept" (fd: c_int, address: *mut sockaddr, size: *mut socklen_t) -> c_int);
intercept!(socket as "socket" (domain: c_int, kind: c_int, protocol: c_int) -> c_int);
intercept!(bind as "bind" (fd: c_int, address: *const sockaddr, size: socklen_t) -> c_int);
intercept!(listen as "listen" (fd: c_int, backlog: c_int) -> c_int);
intercept!(shutdown as "shutdown" (fd: c_int, how: c_int) -> c_int);
intercept!(setsockopt as "setsockopt" (fd: c_int, level: c_int, name: c_int, value: *const c_void, size: socklen_t) -> c_int);
intercept!(poll as "poll" (descriptors: *mut pollfd, count: nfds_t, timeout: c_int) -> c_int);
intercept!(ppoll as "poll" (descriptors: *mut pollfd, count: nfds_t, timeout: *const timespec, mask: *const c_void) -> c_int);
intercept!(epoll_ctl as "epoll_ctl" (fd: c_int, operation: c_int, other: c_int, event: *mut libc::epoll_event) -> c_int);
intercept!(epoll_wait as "epoll_wait" (fd: c_int, events: *mut libc::epoll_event, count: c_int, timeout: c_int) -> c_int);
intercept!(epoll_pwait as "epoll_wait" (fd: c_int, events: *mut libc::epoll_event, count: c_int, timeout: c_int, mask: *const c_void) -> c_int);
intercept!(epoll_pwait2 as "epoll_wait" (fd: c_int, events: *mut libc::epoll_event, count: c_int, timeout: *const timespec, mask: *const c_void) -> c_int);
intercept!(timerfd_settime as "timerfd_settime" (fd: c_int, flags: c_int, new: *const c_void, old: *mut c_void) -> c_int);
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
        // An interrupted connect goes on in the background (connect(2)): the caller may wait for it.
        Some(Fault::Errno(libc::EINTR)) => {
            // SAFETY: as for the call itself; the raw call leaves its own errno, which is replaced.
            unsafe { libc::syscall(libc::SYS_connect, fd, address, size) };
            fail(libc::EINTR);
            return -1;
        }
        Some(Fault::Errno(errno)) => { fail(errno); return -1; }
        Some(Fault::Short) | None => {}
    }
});

/// The wall clock with the plan's steps; all other clocks run on as they are.
///
/// # Safety
/// As the C library's own.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, to: *mut timespec) -> c_int {
    const NANOS: i64 = 1_000_000_000;
    // SAFETY: the caller gives a place for the time; the raw call checks it.
    let result = unsafe { libc::syscall(libc::SYS_clock_gettime, clock, to) } as c_int;
    if result == 0 && clock == libc::CLOCK_REALTIME {
        // SAFETY: the call has just written there.
        let time = unsafe { &mut *to };
        let stepped = time.tv_sec * NANOS + time.tv_nsec + plan().clock_step();
        time.tv_sec = stepped.div_euclid(NANOS);
        time.tv_nsec = stepped.rem_euclid(NANOS);
    }
    result
}
