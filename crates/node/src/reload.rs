//! Reloads the configuration while the node runs.

use crate::body_directory;
use crate::descriptor_share::DescriptorShare;
use crate::environment::Environment;
use async_channel::Sender;
use sorrelhaven_config::Config;
use sorrelhaven_engine::Engine;
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::{info, warn};

/// The configuration in force, and what a reload changes.
pub struct Reloader {
    config: Config,
    environment: Environment,
    engine: Rc<Engine>,
    descriptors: Rc<DescriptorShare>,
    /// Receives the address of discovery whenever it changes.
    discovery_changes: Sender<SocketAddr>,
}

impl Reloader {
    /// A reloader of `config`, which the node was started with.
    pub fn new(
        config: Config,
        environment: Environment,
        engine: Rc<Engine>,
        descriptors: Rc<DescriptorShare>,
        discovery_changes: Sender<SocketAddr>,
    ) -> Reloader {
        Reloader { config, environment, engine, descriptors, discovery_changes }
    }

    /// Reads both files again and applies what can change at run time. A file at fault changes nothing.
    pub fn reload(&mut self) {
        let (next, restart_keys) = match self.config.reloaded(|name| self.environment.get(name)) {
            Ok(reloaded) => reloaded,
            Err(error) => return warn!(%error, "reload rejected, configuration unchanged"),
        };
        if let Err(error) = self.apply_body_settings(&next) {
            let error = error.to_string();
            return warn!(error, "reload rejected, configuration unchanged");
        }
        if self.config.operator.membership != next.operator.membership {
            warn!("membership settings changed, restart required");
        }
        self.descriptors.set_node_limit(next.max_descriptors);
        if next.discovery != self.config.discovery {
            // The receiver lives as long as the node, so the channel cannot be closed.
            let _ = self.discovery_changes.try_send(next.discovery);
        }
        self.config = next;
        info!(discovery = %self.config.discovery, sockets = self.config.max_descriptors, "configuration reloaded");
        if !restart_keys.is_empty() {
            warn!(keys = restart_keys.join(", "), "settings changed, restart required");
        }
    }

    /// Applies changed settings of bodies. Where the directory cannot be used, none of them is applied.
    fn apply_body_settings(&self, next: &Config) -> Result<(), body_directory::BodyDirectoryError> {
        let settings = &next.operator.bodies;
        if *settings != self.config.operator.bodies {
            let disk = body_directory::open_as_disk(next)?;
            self.engine.bodies.configure(settings, disk);
        }
        Ok(())
    }
}
