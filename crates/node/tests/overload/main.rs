//! Clients that use much memory or many turns: the node must keep to its limits, and go on answering others.

mod bystander;
mod crowd;
mod departure;
mod eviction;
mod flood;
mod memory;
mod node;
mod turns;
