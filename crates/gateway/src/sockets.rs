//! How the sockets of a node are set up, so that a peer that is gone without a word is found out by the system, and how
//! connections are accepted.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// How long sent bytes may stay unacknowledged before the connection counts as dead, in milliseconds: requests on a
/// connection whose peer is gone end.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_000);
/// A connection without traffic is probed after this long, and as often, in seconds: idle connections whose peer is
/// gone are closed.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection counts as dead.
const PROBES: u32 = 2;
/// Connections that wait to be accepted: a burst of callers isn't refused.
const BACKLOG: u32 = 1_024;
/// The wait after a failed accept, so that a process that is out of descriptors doesn't spin.
const ACCEPT_WAIT: Duration = Duration::from_millis(20);

/// A connection that finds out by itself that its peer is silent.
///
/// # Errors
///
/// The peer can't be reached.
pub async fn connect_tuned(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = new_socket(address)?;
    tune(&socket)?;
    socket.connect(address).await
}

/// A listener whose address may be taken again right after the process ends.
///
/// # Errors
///
/// The address is in use, or not this machine's.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = new_socket(address)?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts the next connection. Where that fails, since the process is out of descriptors or the connection broke before,
/// it is tried again after a short wait, for as long as it takes.
pub async fn accept_next(listener: &TcpListener) -> TcpStream {
    let mut has_failed = false;
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                // None of the numbered events is about the process's own limits, so this is a plain line. One of a row
                // is enough: without descriptors each try fails.
                if !has_failed {
                    log::warn!("a connection could not be accepted, and further tries are not logged: {error}");
                }
                has_failed = true;
                tokio::time::sleep(ACCEPT_WAIT).await;
            }
        }
    }
}

fn new_socket(address: SocketAddr) -> std::io::Result<TcpSocket> {
    if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }
}

fn tune(socket: &TcpSocket) -> std::io::Result<()> {
    socket.set_nodelay(true)?;
    let reference = socket2::SockRef::from(socket);
    reference.set_tcp_user_timeout(Some(UNACKNOWLEDGED_TIMEOUT))?;
    let probes = socket2::TcpKeepalive::new().with_time(PROBE_AFTER).with_interval(PROBE_AFTER).with_retries(PROBES);
    reference.set_tcp_keepalive(&probes)
}
