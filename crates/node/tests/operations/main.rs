//! Admin calls to a running node: metrics, drain, resume and malformed calls.

mod admin_calls;
mod drain;
mod node;
