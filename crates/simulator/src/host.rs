//! The dispatcher instances of this process, and the worker lists that `update` messages refer to.

use crate::error::BatchError;
use crate::instance::Instance;
use crate::wire::{Batch, Command, CommandGroup, Message, MessageGroup, Reply, WorkerRow};
use sorrelhaven_config::{settings_from_json, stable_hash};
use sorrelhaven_dispatcher::{Lifecycle, Micros, WorkerEntry, WorkerId};
use std::collections::HashMap;

/// The worker lists that the simulator has sent, by the number that it gave them (`bank`).
pub type WorkerLists = HashMap<usize, Vec<ListedWorker>>;

/// A worker of a worker list. It is identified by its name, since all instances share the lists but each
/// instance assigns its own worker ids.
pub struct ListedWorker {
    /// The name in the simulator's messages.
    pub name: String,
    /// The worker's properties. [`WorkerEntry::worker`] is a placeholder, which each instance replaces by its
    /// own id.
    pub entry: WorkerEntry,
}

/// Creates and removes instances, stores worker lists, and passes all other messages to their instance.
#[derive(Default)]
pub struct Host {
    instances: HashMap<String, Instance>,
    lists: WorkerLists,
}

impl Host {
    /// Handles the messages of one batch in order, and returns the resulting commands. Groups without
    /// commands are left out of the reply.
    ///
    /// # Errors
    /// The line is not a valid batch, or a message in it is invalid. The messages before it remain handled.
    pub fn handle_batch(&mut self, line: &str) -> Result<Reply, BatchError> {
        let batch: Batch = serde_json::from_str(line).map_err(BatchError::Malformed)?;
        let mut reply = Reply { groups: Vec::new() };
        for group in batch.groups {
            let group = self.handle_group(batch.now, group)?;
            if !group.commands.is_empty() {
                reply.groups.push(group);
            }
        }
        Ok(reply)
    }

    fn handle_group(&mut self, now: Micros, group: MessageGroup<'_>) -> Result<CommandGroup, BatchError> {
        let instance = group.instance.into_owned();
        let mut commands = Vec::new();
        for message in group.messages {
            self.handle_message(now, &instance, message, &mut commands)?;
        }
        Ok(CommandGroup { instance, commands })
    }

    fn handle_message(
        &mut self,
        now: Micros,
        name: &str,
        message: Message<'_>,
        commands: &mut Vec<Command>,
    ) -> Result<(), BatchError> {
        match message {
            Message::CreateInstance { seed, settings } => {
                let settings = settings_from_json("conf", settings).map_err(BatchError::InvalidSettings)?;
                self.instances.insert(name.to_string(), Instance::new(settings, seed));
                Ok(())
            }
            Message::DropInstance {} => {
                self.instances.remove(name);
                commands.clear();
                Ok(())
            }
            Message::WorkerList { list, workers } => {
                let workers = workers.into_iter().map(listed_worker).collect::<Result<_, _>>()?;
                self.lists.insert(list, workers);
                Ok(())
            }
            message => {
                let instance = self
                    .instances
                    .get_mut(name)
                    .ok_or_else(|| BatchError::UnknownInstance(name.to_string()))?;
                instance.handle(now, message, &self.lists, commands)
            }
        }
    }
}

fn listed_worker(row: WorkerRow<'_>) -> Result<ListedWorker, BatchError> {
    let entry = WorkerEntry {
        worker: WorkerId(0),
        name_hash: stable_hash(row.name.as_ref()),
        lifecycle: lifecycle_of(row.lifecycle)?,
        started_at: row.started_at,
        kind: row.kind,
        zone: row.zone,
        cell: row.cell,
        weight: row.weight,
    };
    Ok(ListedWorker { name: row.name.into_owned(), entry })
}

fn lifecycle_of(code: u8) -> Result<Lifecycle, BatchError> {
    match code {
        0 => Ok(Lifecycle::Gone),
        1 => Ok(Lifecycle::Ready),
        2 => Ok(Lifecycle::Draining),
        _ => Err(BatchError::UnknownLifecycle(code)),
    }
}
