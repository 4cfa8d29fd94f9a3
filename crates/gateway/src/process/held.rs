//! Waits for what another process still holds when this one starts: a data folder, or an address.
//!
//! A process that was killed may still be in its last sync while its successor starts. A successor that ended instead of
//! waiting might not be started again soon.

use std::fmt::Display;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use snafu::ResultExt;
use stallmoor_core::log_event::LogEvent;
use tokio::net::TcpListener;
use tokio::time::Instant;

use super::{ProcessError, SystemSnafu};
use crate::observe::journal::{Field, record};
use crate::sockets::listen;

/// Interval between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between two log lines about the same wait.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Opens a TCP listener on an address from the settings. Waits while another socket uses the address, or this machine
/// does not have it yet.
///
/// # Errors
///
/// The listener cannot be opened for another reason.
pub(super) async fn open_listener(address: SocketAddr) -> Result<TcpListener, ProcessError> {
    let is_held =
        |error: &io::Error| matches!(error.kind(), io::ErrorKind::AddrInUse | io::ErrorKind::AddrNotAvailable);
    let opened = open_when_free(format!("address {address}"), || listen(address), is_held).await;
    opened.context(SystemSnafu { operation: "opening a TCP listener" })
}

/// Opens a resource, and waits while `is_held` is true of the error. The first attempt is logged if it fails, then one of
/// them each few seconds.
///
/// # Errors
///
/// The first error of which `is_held` is false.
pub(super) async fn open_when_free<T, E: Display>(
    resource: String,
    mut open: impl FnMut() -> Result<T, E>,
    is_held: impl Fn(&E) -> bool,
) -> Result<T, E> {
    let started = Instant::now();
    let mut reported: Option<Instant> = None;
    loop {
        let error = match open() {
            Err(error) if is_held(&error) => error.to_string(),
            result => return result,
        };
        if reported.is_none_or(|at| at.elapsed() >= REPORT_INTERVAL) {
            reported = Some(Instant::now());
            let waited = started.elapsed().as_millis() as u64;
            let fields =
                [Field::text("resource", &resource), Field::text("detail", error), Field::number("waited_ms", waited)];
            record(LogEvent::StartWaits, &fields);
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}
