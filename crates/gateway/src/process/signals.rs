//! The signals that a process gets from whoever runs it. Owns their handlers; what follows is the process's.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// The signals to stop and to read the settings again.
///
/// A signal without a handler ends the process, so this comes first of all: reading a disk may take seconds, and the
/// settings may change meanwhile. What arrives before anybody waits for it is kept.
pub struct ProcessSignals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

/// What a signal asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    /// A planned stop.
    Stop,
    /// The settings may have changed.
    Reload,
}

impl ProcessSignals {
    /// Installs the handlers.
    ///
    /// # Errors
    ///
    /// The system refused one.
    pub fn install() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            reload: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) -> SignalRequest {
        tokio::select! {
            _ = self.terminate.recv() => SignalRequest::Stop,
            _ = self.interrupt.recv() => SignalRequest::Stop,
            _ = self.reload.recv() => SignalRequest::Reload,
        }
    }
}
