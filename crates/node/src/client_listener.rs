//! The listening socket for clients: inherited from the platform, or opened by this process.

use crate::environment::Environment;
use crate::start_error::StartError;
use async_io::Async;
use sorrelhaven_config::Config;
use sorrelhaven_frontend_http1::{AcceptQueue, listen};
use sorrelhaven_handover::inherited_listener;
use std::net::{SocketAddr, TcpListener};

/// The listening socket for clients.
pub struct ClientListener {
    /// The socket.
    pub socket: Async<TcpListener>,
    /// Who accepts from its queue: an inherited socket may be shared with another process of the node.
    pub queue: AcceptQueue,
}

impl ClientListener {
    /// Adopts the listener that the platform passes to this process, if there is one. Must be called before
    /// this process opens any descriptor, which could get the number of one that was not passed.
    ///
    /// # Errors
    /// `RELAY_FD` is malformed, or names a descriptor that is no listening socket.
    pub fn inherit(environment: &Environment) -> Result<Option<TcpListener>, StartError> {
        let descriptor = sorrelhaven_config::listen_fd(&|name: &str| environment.get(name));
        let Some(descriptor) = descriptor.map_err(StartError::Config)? else { return Ok(None) };
        inherited_listener(descriptor).map(Some).map_err(StartError::Inherit)
    }

    /// Takes the inherited listener into the event loop, or listens on the configured address where there is
    /// none.
    ///
    /// # Errors
    /// The socket cannot be registered with the event loop, or the address cannot be listened on.
    pub fn open(inherited: Option<TcpListener>, config: &Config) -> Result<ClientListener, StartError> {
        match inherited {
            Some(listener) => {
                let socket = Async::new(listener).map_err(StartError::RegisterInherited)?;
                Ok(ClientListener { socket, queue: AcceptQueue::Shared })
            }
            None => {
                let address = config.listen;
                let socket = listen(address).map_err(|error| StartError::Listen { address, error })?;
                Ok(ClientListener { socket, queue: AcceptQueue::Own })
            }
        }
    }

    /// The address on which clients connect; `configured` where the system does not report one.
    pub fn address(&self, configured: SocketAddr) -> SocketAddr {
        self.socket.get_ref().local_addr().unwrap_or(configured)
    }
}
