//! What the commands print: the one writer for it, and what happens when nobody reads any more.
//!
//! A reader that goes away (`stallmoor explain ID | head`) is no failure of the command. The lines left over
//! are dropped, nothing is said about it, and the exit code is that of the outcome: 0 where all went well,
//! 1 where `diff` found a difference. Programs that die of SIGPIPE end with the shell's 141 instead. Rust
//! programs start with that signal ignored; setting it back takes `unsafe`, would end a node that only lost the
//! reader of its first line, and under the shell's `pipefail` would fail a script by chance, as `head` may
//! go before or after the last line.

use std::fmt::Display;
use std::io::{self, ErrorKind, Write};
use std::path::{Path, PathBuf};

use snafu::ResultExt;

use crate::outcome::{CommandError, FileSnafu};

/// Takes a command's lines: standard output, or a file in its stead.
pub struct CommandOutput {
    target: Box<dyn Write>,
    /// What an error names.
    name: PathBuf,
    reader_gone: bool,
}

impl CommandOutput {
    /// Standard output.
    pub fn standard() -> Self {
        Self { target: Box::new(io::stdout()), name: PathBuf::from("standard output"), reader_gone: false }
    }

    /// A new file, or an old one that is emptied.
    ///
    /// # Errors
    ///
    /// The file can't be created.
    pub fn file(path: &Path) -> Result<Self, CommandError> {
        let file = std::fs::File::create(path).context(FileSnafu { path })?;
        Ok(Self { target: Box::new(file), name: path.to_owned(), reader_gone: false })
    }

    /// Writes a line, or drops it if nobody reads any more.
    ///
    /// # Errors
    ///
    /// The line can't be written for another reason, as on a full disk.
    pub fn line(&mut self, line: impl Display) -> Result<(), CommandError> {
        if self.reader_gone {
            return Ok(());
        }
        // In one piece: a file has no buffer, and a line's parts would each be a write.
        match self.target.write_all(format!("{line}\n").as_bytes()) {
            Err(error) if error.kind() == ErrorKind::BrokenPipe => {
                self.reader_gone = true;
                Ok(())
            }
            written => written.context(FileSnafu { path: &self.name }),
        }
    }

    /// Whether somebody may still read: a command that has more to fetch can stop if not.
    pub fn has_reader(&self) -> bool {
        !self.reader_gone
    }
}

/// Says on standard error why the program fails.
pub fn complain(complaint: impl Display) {
    // If nobody reads this either, the exit code still tells.
    let _ = writeln!(io::stderr(), "stallmoor: {complaint}");
}
