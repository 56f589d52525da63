//! Request bodies that the program stores in memory, in files or not at all: which answers and retries
//! follow, and how faulty disks, slow clients and signals affect them.

mod clients;
mod installation;
mod limits;
mod outcome_table;
mod retries;
mod signals;
mod spool_directory;
