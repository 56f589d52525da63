//! Reads, checks and defaults all configuration of a node.
//!
//! A node reads its [`Config`] from the platform's file, the environment and the operators' file
//! ([`OperatorSettings`]). The simulator reads only the settings of the decision module, which have the same form in
//! its messages. Every error names its key. Unknown keys are ignored in the platform's file, and are errors
//! in the operators' file.
//!
//! | module | concern |
//! | --- | --- |
//! | `config`, `load` | the configuration of a node; reading it at the start and at a reload |
//! | `platform_file` | the platform's file and environment variables |
//! | `settings_file` | the settings as the platform writes them: maps its keys to the names used here |
//! | `settings` | checks the settings, and converts them to those of the decision module |
//! | `hosts` | the worker list as discovery sends it |
//! | `operator`, `unknown_keys` | the operators' file |
//! | `body_settings`, `membership_settings` | its two sections |
//! | `error`, `deserialize` | errors that name the key |

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
pub use hosts::{DiscoveryList, DiscoveryWorker, WorkerHealth, ZoneAndKindNames, stable_hash};
pub use membership_settings::{JoinParameters, MembershipSettings};
pub use operator::OperatorSettings;
pub use platform_file::listen_fd;
pub use settings::{RequestClass, settings_from_json};
