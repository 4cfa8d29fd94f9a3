//! Output of commands, and handling of closed pipes.
//!
//! A closed pipe (`stallmoor explain ID | head`) is not an error: remaining lines are dropped silently and the
//! exit code is that of the command. SIGPIPE stays ignored, as is the default for Rust programs. Restoring its
//! default action would require `unsafe`, terminate a node whose standard output is closed, and make scripts
//! under `pipefail` fail depending on timing.

use std::fmt::Display;
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

use snafu::ResultExt;

use crate::outcome::{CommandError, FileSnafu};

/// Line writer for standard output or a file.
pub struct CommandOutput {
    target: Box<dyn Write>,
    /// Name of the target in error messages.
    name: PathBuf,
    reader_closed: bool,
}

impl CommandOutput {
    /// Creates a writer to standard output.
    pub fn standard() -> Self {
        Self { target: Box::new(io::stdout()), name: PathBuf::from("standard output"), reader_closed: false }
    }

    /// Creates a writer to a file, truncating it if it exists.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be created.
    pub fn file(path: &Path) -> Result<Self, CommandError> {
        let file = std::fs::File::create(path).context(FileSnafu { path })?;
        Ok(Self { target: Box::new(file), name: path.to_owned(), reader_closed: false })
    }

    /// Writes a line, or drops it if the reader has closed the pipe.
    ///
    /// # Errors
    ///
    /// Fails on any other write error, such as a full disk.
    pub fn line(&mut self, line: impl Display) -> Result<(), CommandError> {
        if self.reader_closed {
            return Ok(());
        }
        // A single write: files are unbuffered, so `writeln!` could issue several system calls per line.
        match self.target.write_all(format!("{line}\n").as_bytes()) {
            Err(error) if error.kind() == ErrorKind::BrokenPipe => {
                self.reader_closed = true;
                Ok(())
            }
            written => written.context(FileSnafu { path: &self.name }),
        }
    }

    /// Returns whether the output is still open. If not, a command can stop fetching data.
    pub fn has_reader(&self) -> bool {
        !self.reader_closed
    }
}

/// Prints an error message to standard error.
pub fn print_error(message: impl Display) {
    // A write error is ignored: the exit code still reports the failure.
    let _ = writeln!(io::stderr(), "stallmoor: {message}");
}
