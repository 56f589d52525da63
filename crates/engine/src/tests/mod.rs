//! Tests of the engine: the network code against models with random steps from a fixed seed, and each part by
//! itself.

mod attempt_ends;
mod backoff;
mod body_admission;
mod discovery_watch;
mod fixtures;
mod invariants;
mod load_report_fields;
mod load_reports;
mod overdue_request;
mod pooled_connection;
mod request_sent;
mod request_task;
mod start_times;
mod tasks;
