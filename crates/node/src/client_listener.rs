//! The listening socket for clients: inherited from the platform through `RELAY_FD`, or opened by this
//! process.

use crate::environment::Environment;
use crate::start_error::StartError;
use async_io::Async;
use sorrelhaven_config::Config;
use sorrelhaven_frontend_http1::{AcceptQueue, listen};
use sorrelhaven_handover::inherited_listener;
use std::net::{SocketAddr, TcpListener};

/// The listening socket for clients, and which processes accept from it.
pub struct ClientListener {
    /// The socket, registered with the event loop.
    pub socket: Async<TcpListener>,
    /// Who accepts from the socket's queue: an inherited socket may be shared with another process of the
    /// node.
    pub queue: AcceptQueue,
}

impl ClientListener {
    /// Adopts the listener whose descriptor `RELAY_FD` names. `None` if the variable is not set. Must be
    /// called before this process opens any descriptor: if the platform passed no descriptor of that
    /// number, one that this process opened could have the number and would be adopted instead.
    ///
    /// # Errors
    /// `RELAY_FD` is not the number of a descriptor, or the descriptor cannot be adopted as a listening TCP
    /// socket.
    pub fn inherit(environment: &Environment) -> Result<Option<TcpListener>, StartError> {
        let descriptor = sorrelhaven_config::listen_fd(&|name: &str| environment.get(name));
        let Some(descriptor) = descriptor.map_err(StartError::Config)? else { return Ok(None) };
        inherited_listener(descriptor).map(Some).map_err(StartError::Inherit)
    }

    /// Registers the inherited listener with the event loop, or listens on the configured address if none was
    /// inherited.
    ///
    /// # Errors
    /// The socket cannot be registered with the event loop, or the process cannot listen on the address.
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

    /// The address that clients connect to, with the port that the system assigned; `configured` if the
    /// system does not report the address.
    pub fn address(&self, configured: SocketAddr) -> SocketAddr {
        self.socket.get_ref().local_addr().unwrap_or(configured)
    }
}
