//! Listeners whose connections have bounded buffers in the kernel.

use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Connections that wait in the kernel to be accepted, at most. A host that was paused for a second accepts those of its
/// clients when it goes on.
const MAX_QUEUE: usize = 1_024;

/// Most data, in bytes, that the kernel holds for a connection. Without these bounds its buffers grow with what is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SocketBuffers {
    /// Received and not read.
    pub received: u32,
    /// Written and not taken.
    pub sent: u32,
}

impl SocketBuffers {
    pub const fn total(self) -> u64 {
        self.received as u64 + self.sent as u64
    }
}

/// Returns how many connections may wait to be accepted: not more than may be open, and with what they have sent they
/// hold at most half of `memory`, the bytes of all connections.
pub fn queue_length(memory: u64, connections: usize, received: u32) -> u32 {
    let affordable = memory / (2 * u64::from(received.max(1)));
    let length = MAX_QUEUE.min(connections).min(affordable as usize);
    length.max(1) as u32
}

/// Listens on `address`; accepted connections get `buffers`.
pub(crate) fn listen(
    address: SocketAddr,
    buffers: SocketBuffers,
    queue: u32,
) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // Lets a restarted process bind while connections of its predecessor are in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    // Linux doubles both sizes; connections inherit them.
    socket.set_recv_buffer_size(buffers.received / 2)?;
    socket.set_send_buffer_size(buffers.sent / 2)?;
    socket.bind(address)?;
    socket.listen(queue)
}
