//! Reloads the configuration while the node runs (SIGHUP).

use crate::body_directory;
use crate::environment::Environment;
use crate::process_share::ProcessShare;
use async_channel::Sender;
use sorrelhaven_config::Config;
use sorrelhaven_engine::Engine;
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::{info, warn};

/// The configuration in force, and the parts of the node that a reload changes.
pub struct Reloader {
    config: Config,
    environment: Environment,
    engine: Rc<Engine>,
    share: Rc<ProcessShare>,
    /// Sends a changed address of discovery to the engine.
    discovery_changes: Sender<SocketAddr>,
}

impl Reloader {
    /// `config` is the configuration that the node was started with.
    pub fn new(
        config: Config,
        environment: Environment,
        engine: Rc<Engine>,
        share: Rc<ProcessShare>,
        discovery_changes: Sender<SocketAddr>,
    ) -> Reloader {
        Reloader { config, environment, engine, share, discovery_changes }
    }

    /// Reads the platform's and the operators' file again and applies the settings that can change at run
    /// time; changes that need a restart are only logged. An invalid file is logged and changes nothing.
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
        self.share.configure(&next);
        if next.discovery != self.config.discovery {
            // Cannot fail: the channel is unbounded, and its receiver lives as long as the node.
            let _ = self.discovery_changes.try_send(next.discovery);
        }
        self.config = next;
        info!(discovery = %self.config.discovery, sockets = self.config.max_descriptors, "configuration reloaded");
        if !restart_keys.is_empty() {
            warn!(keys = restart_keys.join(", "), "settings changed, restart required");
        }
    }

    /// Applies changed settings of bodies, or none of them if the directory cannot be used.
    fn apply_body_settings(&self, next: &Config) -> Result<(), body_directory::BodyDirectoryError> {
        let settings = &next.operator.bodies;
        if *settings != self.config.operator.bodies {
            let disk = body_directory::open_as_disk(next)?;
            self.engine.bodies.configure(settings, disk);
        }
        Ok(())
    }
}
