//! Counts the bytes on connections to other processes by purpose.

use std::cell::Cell;
use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use metrics::counter;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

pub const LINK_BYTES: &str = "jayfork_link_bytes_total";
pub const LINK_CONNECTIONS: &str = "jayfork_link_connections_total";

/// What a connection is used for at present; clones belong to the same connection.
#[derive(Clone)]
pub(crate) struct Purpose(Rc<Cell<&'static str>>);

impl Purpose {
    pub fn new(purpose: &'static str) -> Self {
        Purpose(Rc::new(Cell::new(purpose)))
    }

    pub fn set(&self, purpose: &'static str) {
        self.0.set(purpose);
    }
}

/// Counts a connection that this process opens or tries to open.
pub(crate) fn count_connection(purpose: &'static str, result: &'static str) {
    counter!(LINK_CONNECTIONS, "purpose" => purpose, "result" => result).increment(1);
}

/// A TCP connection that counts its bytes, without the headers of TCP and IP.
pub(crate) struct CountedStream {
    stream: TcpStream,
    purpose: Purpose,
}

impl CountedStream {
    pub fn new(stream: TcpStream, purpose: Purpose) -> Self {
        CountedStream { stream, purpose }
    }

    fn count(&self, direction: &'static str, bytes: usize) {
        if bytes > 0 {
            let purpose = self.purpose.0.get();
            counter!(LINK_BYTES, "purpose" => purpose, "direction" => direction)
                .increment(bytes as u64);
        }
    }

    fn count_written(&self, written: &Poll<Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.count("sent", *bytes);
        }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.count("received", buffer.filled().len() - before);
        read
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, data);
        self.count_written(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.count_written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
