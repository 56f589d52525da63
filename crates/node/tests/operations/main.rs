//! Admin commands to a running node: metrics, drain, resume and malformed commands.

mod admin_calls;
mod drain;
mod node;
