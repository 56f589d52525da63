//! All dispatchers of this process, and the worker lists that their updates refer to.

use crate::error::BatchError;
use crate::instance::Instance;
use crate::wire::{Batch, Command, CommandGroup, Message, MessageGroup, Reply, WorkerRow};
use sorrelhaven_config::{settings_from_json, stable_hash};
use sorrelhaven_dispatcher::{Lifecycle, Micros, WorkerEntry, WorkerId};
use std::collections::HashMap;

/// The worker lists of the process, by number.
pub type WorkerLists = HashMap<usize, Vec<ListedWorker>>;

/// A worker of a list by its name: lists belong to the process, worker ids to an instance.
pub struct ListedWorker {
    /// Its name.
    pub name: String,
    /// What the list says of it; its id stands open.
    pub entry: WorkerEntry,
}

/// The instances of this process.
#[derive(Default)]
pub struct Host {
    instances: HashMap<String, Instance>,
    lists: WorkerLists,
}

impl Host {
    /// Handles one batch of events, and returns what the instances do about them.
    ///
    /// # Errors
    /// If the line is not a batch, or an event in it is invalid.
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
        name_hash: stable_hash(&row.name),
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
