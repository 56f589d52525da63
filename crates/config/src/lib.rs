//! Reads, checks and defaults all configuration of a node.
//!
//! A node reads its [`Config`] from the platform's file, the environment and the operators' file
//! ([`OperatorSettings`]). The simulator's messages hold only the platform's settings, in the same form;
//! [`settings_from_json`] reads the dispatcher's settings from them. Every error names the key at fault.
//! Unknown keys are ignored in the platform's file, and are errors in the operators' file.
//!
//! | module | concern |
//! | --- | --- |
//! | `config`, `load` | the configuration of a node; reading it at start-up and at a reload |
//! | `platform_file` | the platform's file and environment variables |
//! | `settings_file` | the object `settings` in the platform's file: maps its keys to the names used here |
//! | `settings` | checks that object, and converts it to the settings of the dispatcher and the node |
//! | `hosts` | the worker list as discovery sends it |
//! | `operator`, `unknown_keys` | the operators' file |
//! | `body_settings`, `membership_settings` | the two objects in the operators' file |
//! | `error`, `deserialize` | errors that name the key at fault |

mod body_settings;
mod config;
mod deserialize;
mod error;
mod hosts;
mod load;
mod membership_settings;
mod operator;
mod platform_file;
mod settings;
mod settings_file;
mod unknown_keys;

pub use body_settings::{BodyFiles, BodyMemory, BodySettings, NotStoredPolicy};
pub use config::Config;
pub use error::{ConfigError, ConfigErrors};
pub use hosts::{DiscoveryHost, DiscoveryList, WorkerHealth, ZoneAndKindNames, stable_hash};
pub use membership_settings::{JoinParameters, MembershipSettings};
pub use operator::OperatorSettings;
pub use platform_file::listen_fd;
pub use settings::{RequestClass, settings_from_json};
