//! The configuration of a node, as a value.

use crate::hosts::{DiscoveryList, ZoneAndKindNames};
use crate::operator::OperatorSettings;
use crate::settings::RequestClass;
use serde_json::Value;
use sorrelhaven_dispatcher::{Micros, Settings};
use std::net::SocketAddr;

/// The configuration of a node.
#[derive(Clone, Debug)]
pub struct Config {
    /// The node's name, the same after a restart.
    pub name: String,
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address of discovery's agent.
    pub discovery: SocketAddr,
    /// The address of the admin listener; `None` if there is none.
    pub admin: Option<SocketAddr>,
    /// The seed for random numbers, new at each start.
    pub seed: u64,
    /// The descriptors that the process may hold.
    pub max_descriptors: usize,
    /// The memory that the process may hold, in megabytes.
    pub memory_mb: u64,
    /// The operators' settings.
    pub operator: OperatorSettings,
    /// The worker list as this node had it last.
    pub known_workers: DiscoveryList,
    /// The names of zones and kinds, in the settings' order.
    pub names: ZoneAndKindNames,
    /// The request classes, in the settings' order.
    pub classes: Vec<RequestClass>,
    /// The tenants; empty if there are none.
    pub tenants: Vec<String>,
    /// A worker closes a connection that has been idle for this long.
    pub idle_timeout: Micros,
    /// How long a node may send new requests to a worker after it was notified that the worker drains.
    pub drain_grace: Micros,
    /// The fields of a load report, in the report's order; empty if there are no reports.
    pub load_fields: Vec<String>,
    /// A node that polls discovery is assumed to know a change this long after it happened, whether it has
    /// polled or not; four times as long after a poll that failed.
    pub max_list_staleness: Micros,
    /// The settings of the decision module.
    pub settings: Settings,
    /// The platform's file as it was written, for a reload to compare.
    pub(crate) written: Value,
}
