//! The program as a separate process: its configuration, client connections, requests, signals and exit.

mod configuration;
mod connections;
mod header_fields;
mod node;
mod requests;
