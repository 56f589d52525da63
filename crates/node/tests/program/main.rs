//! The program as an operator starts it: its configuration, its answers, its signals and its exit.

mod configuration;
mod connections;
mod node;
mod requests;
