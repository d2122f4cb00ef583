//! A connection that writes nothing after the time of the call on it.

use std::cell::Cell;
use std::io::{Error, ErrorKind, IoSlice, Result};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use super::traffic::CountedStream;

/// What may be written for the call on a connection. Clones belong to the same connection.
#[derive(Clone, Default)]
pub(crate) struct WriteGate {
    call: Rc<Cell<CallState>>,
}

#[derive(Clone, Copy, Default)]
struct CallState {
    not_after: Option<Instant>,
    has_written: bool,
}

impl WriteGate {
    /// Begins a call of which nothing is written after `not_after`.
    pub fn begin(&self, not_after: Option<Instant>) {
        self.call.set(CallState {
            not_after,
            has_written: false,
        });
    }

    /// Whether a part of the call was written.
    pub fn has_written(&self) -> bool {
        self.call.get().has_written
    }

    pub fn is_open(&self) -> bool {
        let not_after = self.call.get().not_after;
        not_after.is_none_or(|end| Instant::now() <= end)
    }

    fn check(&self) -> Result<()> {
        match self.is_open() {
            true => Ok(()),
            false => Err(Error::new(
                ErrorKind::TimedOut,
                "the time of the call is over",
            )),
        }
    }

    fn note(&self, written: &Poll<Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(1..))) {
            let mut call = self.call.get();
            call.has_written = true;
            self.call.set(call);
        }
    }
}

/// A TCP connection whose writes fail once the time of the call is over.
pub(crate) struct GatedStream {
    pub stream: CountedStream,
    pub gate: WriteGate,
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<Result<usize>> {
        self.gate.check()?;
        let written = Pin::new(&mut self.stream).poll_write(context, data);
        self.gate.note(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        self.gate.check()?;
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.gate.note(&written);
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
