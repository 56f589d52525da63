//! The configuration of a node, read and checked.

use crate::hosts::{DiscoveryList, ZoneAndKindNames};
use crate::operator::OperatorSettings;
use crate::settings::RequestClass;
use serde_json::Value;
use sorrelhaven_dispatcher::{Micros, Settings};
use std::net::SocketAddr;

/// The configuration of a node, from the platform's file, the environment and the operators' file. All values
/// are checked.
#[derive(Clone, Debug)]
pub struct Config {
    /// The node's name, which a restart does not change.
    pub name: String,
    /// The address of the listener for clients.
    pub listen: SocketAddr,
    /// The address of the discovery agent, from which the node gets the worker list.
    pub discovery: SocketAddr,
    /// The address of the admin listener; `None` to open none.
    pub admin: Option<SocketAddr>,
    /// The seed for random numbers. The platform changes it at each start of the node.
    pub seed: u64,
    /// How many file descriptors the process may hold open.
    pub max_descriptors: usize,
    /// How much memory the process may use, in megabytes.
    pub memory_mb: u64,
    /// The settings in the operators' file; the defaults if there is no file.
    pub operator: OperatorSettings,
    /// The last worker list of this node's previous run, which it uses until discovery sends one.
    pub known_workers: DiscoveryList,
    /// The names of the zones and of the worker kinds.
    pub names: ZoneAndKindNames,
    /// The request classes, in the order of [`Settings::classes`].
    pub classes: Vec<RequestClass>,
    /// The names of the tenants; empty if requests belong to none.
    pub tenants: Vec<String>,
    /// How long a worker keeps an idle connection open.
    pub idle_timeout: Micros,
    /// How long a node may still send new requests to a worker after it was notified that the worker drains.
    pub drain_grace: Micros,
    /// The names of the values in the load report of a response, in their order; empty if responses carry no
    /// load reports.
    pub load_fields: Vec<String>,
    /// How long the worker list of a node that polls discovery may be out of date. The platform treats the
    /// node as notified of a change once the change is this old, whether or not the node has polled; if a
    /// poll has failed, once it is four times as old.
    pub max_list_staleness: Micros,
    /// The settings of the dispatcher.
    pub settings: Settings,
    /// The platform's file as parsed JSON. A reload compares it with the new file to find the keys that have
    /// changed.
    pub(crate) platform_json: Value,
}
