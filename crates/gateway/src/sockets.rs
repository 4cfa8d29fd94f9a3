//! Socket options by which the operating system detects unresponsive peers, and accepting connections.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Maximum time for which sent data may remain unacknowledged before the connection is closed, so that requests to an
/// unreachable peer fail.
const UNACKNOWLEDGED_DATA_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Idle time before the first keepalive probe, and the interval between probes. Idle connections whose peer is gone are
/// closed.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;
/// Maximum number of connections waiting to be accepted, large enough for bursts of callers.
const BACKLOG: u32 = 1_024;
/// Delay after a failed accept, so that a process without free file descriptors doesn't spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Opens a connection that is closed by the operating system when the peer stops responding.
///
/// # Errors
///
/// The peer is unreachable or refuses the connection.
pub async fn connect_tuned(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = new_socket(address)?;
    set_options(&socket)?;
    socket.connect(address).await
}

/// Opens a listener whose address can be reused immediately after the process ends.
///
/// # Errors
///
/// The address is in use or does not belong to this machine.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = new_socket(address)?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts the next connection. Failures, for example a lack of file descriptors or a connection that was already
/// reset, are retried indefinitely after a short delay.
pub async fn accept_next(listener: &TcpListener) -> TcpStream {
    let mut has_failed = false;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                // A plain log line, as there is no numbered event for process limits. Only the first failure in a row
                // is logged, since every accept fails while no descriptors are free.
                if !has_failed {
                    log::warn!("failed to accept a connection, retrying without further log lines: {error}");
                }
                has_failed = true;
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

fn new_socket(address: SocketAddr) -> std::io::Result<TcpSocket> {
    if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }
}

fn set_options(socket: &TcpSocket) -> std::io::Result<()> {
    socket.set_nodelay(true)?;
    let reference = socket2::SockRef::from(socket);
    reference.set_tcp_user_timeout(Some(UNACKNOWLEDGED_DATA_TIMEOUT))?;
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    reference.set_tcp_keepalive(&keepalive)
}
