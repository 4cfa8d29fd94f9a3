//! Handlers for the signals that stop the process or reload its settings.

use tokio::signal::unix::{Signal, SignalKind, signal};

/// Receives SIGTERM, SIGINT and SIGHUP.
///
/// Install the handlers before any other startup work: loading the disk may take seconds, and an unhandled signal would
/// terminate the process meanwhile. Signals that arrive before [`ProcessSignals::next`] is called are not lost.
pub struct ProcessSignals {
    terminate: Signal,
    interrupt: Signal,
    reload: Signal,
}

/// Action that a signal requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalRequest {
    /// Start a graceful shutdown.
    Stop,
    /// Reload the settings.
    Reload,
}

impl ProcessSignals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// Fails if the operating system rejects a handler.
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
