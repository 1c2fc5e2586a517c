//! Connects the delivery policy to the simulator: reads batches of records from standard input and writes a reply
//! frame to standard output for each.

mod host;
mod wire;

use std::io::{self, ErrorKind, Read, Write};
use std::process::ExitCode;

/// Reads the body of a frame, or `None` where the input ends between frames.
fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, String> {
    let mut length = [0; 4];
    let mut received = 0;
    while received < length.len() {
        match input.read(&mut length[received..]) {
            Ok(0) if received == 0 => return Ok(None),
            Ok(0) => return Err(format!("input ends after {received} of 4 bytes of a frame's length")),
            Ok(count) => received += count,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(format!("cannot read a frame's length: {error}")),
        }
    }
    let length = u64::from(u32::from_be_bytes(length));
    // Grows with the bytes that arrive: a corrupt length field causes no huge allocation.
    let mut body = Vec::new();
    input.take(length).read_to_end(&mut body).map_err(|error| format!("cannot read a frame: {error}"))?;
    if (body.len() as u64) < length {
        return Err(format!("input ends after {} of {length} bytes of a frame", body.len()));
    }
    Ok(Some(body))
}

/// Processes batches until the input ends.
fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), String> {
    let mut host = host::Host::default();
    let mut batch = 0_u64;
    while let Some(body) = read_frame(input).map_err(|error| format!("batch {batch}: {error}"))? {
        let (clock, records) = wire::read_batch(&body).map_err(|error| format!("batch {batch}: {error}"))?;
        let replies =
            host.process_batch(clock, records).map_err(|error| format!("batch {batch}: {error}"))?;
        let written = output.write_all(&wire::write_frame(&replies)).and_then(|()| output.flush());
        written.map_err(|error| format!("batch {batch}: cannot write the reply: {error}"))?;
        batch += 1;
    }
    Ok(())
}

fn main() -> ExitCode {
    let input = io::stdin().lock();
    match serve(&mut io::BufReader::with_capacity(1 << 16, input), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cloverstile-sim-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
