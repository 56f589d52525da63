//! Serves one connection of the admin listener, from its accept to its close.

use crate::command::{AdminCommand, CommandError, CommandReader};
use crate::service::AdminService;
use sorrelhaven_wire::{BufferBudget, Connection, WireError, timeout_at};
use std::net::TcpStream;
use std::time::{Duration, Instant};
use tracing::debug;

/// The time within which a command must have been received, counted from the accept.
const COMMAND_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// The time within which the reply must have been written to the connection.
const REPLY_WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long the connection's input is drained after the reply. Closing a socket that has unread input resets
/// the connection, and the client may then lose the reply.
const LINGER_TIMEOUT: Duration = Duration::from_millis(500);
/// The most input that is drained after the reply.
const MAX_LINGER_BYTES: usize = 64 * 1024;

/// Reads one command from `stream`, executes it and sends the reply. Sends no reply if the client closes the
/// connection before it has sent anything, or if the connection fails.
pub async fn serve_connection(service: &AdminService, stream: TcpStream) {
    let Ok(mut connection) = Connection::accepted(stream, &BufferBudget::unlimited()).await else { return };
    let read_deadline = Instant::now() + COMMAND_READ_TIMEOUT;
    let command = match timeout_at(read_deadline, read_command(&mut connection)).await {
        Some(Some(command)) => command,
        Some(None) => return,
        None => Err(CommandError::ReadTimeout),
    };
    debug!(line = ?command, "admin command");
    let reply = service.execute(command, Instant::now());
    let write_deadline = Instant::now() + REPLY_WRITE_TIMEOUT;
    if timeout_at(write_deadline, connection.write(reply.as_bytes())).await == Some(Ok(())) {
        let linger_deadline = Instant::now() + LINGER_TIMEOUT;
        _ = timeout_at(linger_deadline, connection.drain_input(MAX_LINGER_BYTES)).await;
    }
}

/// Reads the line and returns the command, or why the line is not a command. Returns `None` if the client has
/// closed the connection before it sent anything, or if the connection failed.
async fn read_command(connection: &mut Connection) -> Option<Result<AdminCommand, CommandError>> {
    let mut reader = CommandReader::default();
    loop {
        match connection.fill().await {
            Err(WireError::Closed) => return reader.finish(),
            Err(_) => return None,
            Ok(()) => {}
        }
        if let Some(command) = reader.push(&connection.take_buffered()) {
            return Some(command);
        }
    }
}
