//! Runs dispatcher instances for an external simulator. Each line of standard input is a JSON batch of
//! messages, which is answered by one line on standard output. This program only translates between the
//! simulator's messages and the dispatcher's events and actions; all decisions are the dispatcher's.

mod error;
mod host;
mod instance;
mod names;
mod wire;

use error::SimulatorError;
use host::Host;
use std::io::{BufRead, Write};
use std::process::ExitCode;
use wire::Reply;

/// Answers each batch with a reply until the input ends, or until a batch cannot be handled.
fn run(mut input: impl BufRead, mut output: impl Write) -> Result<(), SimulatorError> {
    let mut host = Host::default();
    let mut text = String::new();
    let mut line = 0u64;
    loop {
        text.clear();
        line += 1;
        let length = input.read_line(&mut text).map_err(|source| SimulatorError::Read { line, source })?;
        if length == 0 {
            return Ok(());
        }
        let reply = host.handle_batch(&text).map_err(|source| SimulatorError::Batch { line, source })?;
        write_reply(&mut output, &reply).map_err(SimulatorError::Write)?;
    }
}

/// Writes one reply line and flushes it, since the simulator sends no batch before it has read the reply.
fn write_reply(output: &mut impl Write, reply: &Reply) -> std::io::Result<()> {
    serde_json::to_writer(&mut *output, reply)?;
    output.write_all(b"\n")?;
    output.flush()
}

fn main() -> ExitCode {
    let output = std::io::BufWriter::new(std::io::stdout().lock());
    match run(std::io::stdin().lock(), output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sorrelhaven-simulator: {error}");
            ExitCode::FAILURE
        }
    }
}
