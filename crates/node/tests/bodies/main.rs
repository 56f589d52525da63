//! Request bodies through the program: what each storage step means, byte for byte, and what a disk, a client
//! or a signal may do.

mod clients;
mod installation;
mod limits;
mod outcome_table;
mod retries;
mod signals;
mod spool_directory;
