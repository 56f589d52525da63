//! Tests of the network code: connections as models, checked against random steps with a fixed seed.

mod backoff;
mod births;
mod endings;
mod guard;
mod invariants;
mod load_report_fields;
mod load_reports;
mod places;
mod request;
mod server_link;
mod shared;
mod tasks;
mod watch;
mod written;
