//! The program `sorrelhaven`: a node that dispatches jobs to workers.

mod body_directory;
mod check;
mod cli;
mod client_listener;
mod cluster_member;
mod counter_report;
mod environment;
mod logging;
mod node;
mod process_share;
mod reload;
mod signals;
mod start;
mod start_error;

use check::EXIT_INVALID;
use clap::Parser;
use cli::{Cli, Command, Common};
use client_listener::ClientListener;
use environment::Environment;
use sorrelhaven_config::{Config, OperatorSettings};
use start::StartOptions;
use start_error::StartError;
use std::net::TcpListener;
use std::process::ExitCode;

fn main() -> ExitCode {
    let cli = Cli::parse();
    let command = cli.command();
    let environment = match cli.environment() {
        Ok(environment) => environment,
        Err(error) => {
            eprintln!("sorrelhaven: {error}");
            return ExitCode::from(EXIT_INVALID);
        }
    };
    // Comes first: a descriptor that this process opens could get the number that `RELAY_FD` names.
    let inherited = match command {
        Command::Run => ClientListener::inherit(&environment),
        Command::Check { .. } | Command::Schema => Ok(None),
    };
    if let Err(error) = signals::ignore_file_size_signal() {
        eprintln!("sorrelhaven: signals: {error}");
        return ExitCode::FAILURE;
    }
    match command {
        Command::Run => run(&cli.common, environment, inherited),
        Command::Check { .. } => check::check(&environment),
        Command::Schema => print_schema(),
    }
}

fn print_schema() -> ExitCode {
    println!("{}", OperatorSettings::schema());
    ExitCode::SUCCESS
}

fn run(
    options: &Common,
    environment: Environment,
    inherited: Result<Option<TcpListener>, StartError>,
) -> ExitCode {
    if let Err(error) = logging::init(options) {
        eprintln!("sorrelhaven: --log: {error}");
        return ExitCode::from(EXIT_INVALID);
    }
    let config = match Config::load(|name| environment.get(name)) {
        Ok(config) => config,
        Err(faults) => {
            faults.iter().for_each(|fault| eprintln!("sorrelhaven: {fault}"));
            return ExitCode::FAILURE;
        }
    };
    let format = options.log_format;
    let started =
        inherited.and_then(|inherited| start::run(StartOptions { config, environment, inherited, format }));
    match started {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sorrelhaven: {error}");
            ExitCode::FAILURE
        }
    }
}
