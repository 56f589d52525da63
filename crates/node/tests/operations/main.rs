//! Operating a running node: admin calls, metrics, drain and resume.

mod admin_calls;
mod drain;
mod node;
