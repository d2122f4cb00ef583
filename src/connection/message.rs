//! Messages between hosts in the bodies of HTTP/2 streams.

use std::future::poll_fn;
use std::time::Duration;

use bytes::Bytes;
use h2::{RecvStream, SendStream};
use tokio::time::timeout;

use super::body::MemoryShare;
use super::orders::CallError;
use super::transfer::Deadline;

/// Memory of a call besides its message, in bytes: the state of its stream and the task that answers it.
pub(crate) const CALL_BYTES: u64 = 4 << 10;
/// Longest time in which a peer takes nothing of a message.
const MAX_SEND_PAUSE: Duration = Duration::from_secs(5);
/// Part of a message that is handed to the connection at once, in bytes.
const SENT_PART: usize = 16 << 10;

/// Memory for the replies of peers, which this host has asked for.
pub(crate) struct Unlimited;

impl MemoryShare for Unlimited {
    fn grow(&mut self, _: u64) -> bool {
        true
    }
}

/// Receives a message of up to `max_size` bytes. Each allocation is taken from `memory` before it is made.
///
/// # Errors
///
/// `NoAnswer` if the message does not arrive in time or finds no memory, `Malformed` if it is too large.
pub(crate) async fn receive<S: MemoryShare>(
    mut body: RecvStream,
    mut deadline: Deadline,
    max_size: usize,
    memory: &mut S,
) -> Result<Vec<u8>, CallError> {
    let mut message: Vec<u8> = Vec::new();
    while let Some(chunk) = deadline.wait(body.data()).await? {
        let chunk = chunk.map_err(|_| CallError::NoAnswer)?;
        let length = message.len() + chunk.len();
        if length > max_size {
            return Err(CallError::Malformed);
        }
        if length > message.capacity() {
            let capacity = (message.capacity() * 2).clamp(length, max_size);
            if !memory.grow((capacity - message.capacity()) as u64) {
                return Err(CallError::NoAnswer);
            }
            message.reserve_exact(capacity - message.len());
        }
        message.extend_from_slice(&chunk);
        body.flow_control()
            .release_capacity(chunk.len())
            .map_err(|_| CallError::NoAnswer)?;
    }
    Ok(message)
}

/// Sends a message as its receiver takes it, so that none of it waits in the connection where it would not count.
///
/// # Errors
///
/// `NoAnswer` if the stream has ended, or if its receiver takes nothing for too long.
pub(crate) async fn send_parts(
    stream: &mut SendStream<Bytes>,
    mut message: Bytes,
) -> Result<(), CallError> {
    while !message.is_empty() {
        stream.reserve_capacity(message.len().min(SENT_PART));
        if stream.capacity() == 0 {
            let granted = poll_fn(|context| stream.poll_capacity(context));
            match timeout(MAX_SEND_PAUSE, granted).await {
                Ok(Some(Ok(_))) => {}
                Ok(Some(Err(_)) | None) | Err(_) => return Err(CallError::NoAnswer),
            }
        }
        let part = message.split_to(stream.capacity().min(message.len()));
        stream
            .send_data(part, message.is_empty())
            .map_err(|_| CallError::NoAnswer)?;
    }
    Ok(())
}
