use std::io::{Error, ErrorKind, IoSlice, Result};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use super::answer::Unwritten;

/// Longest time for which input is discarded after the last answer.
const LINGER: Duration = Duration::from_secs(2);
const DISCARD_BYTES: usize = 16 << 10;

/// Socket of a caller. It tells when answers are written, cuts callers that do not read, and
/// discards input before it closes: the kernel resets a connection that is closed with unread
/// input, and the caller may then lose an answer that it has not yet read.
pub struct Socket {
    io: TokioIo<TcpStream>,
    unwritten: Rc<Unwritten>,
    /// Longest time without progress of a write.
    answer_time: Duration,
    timer: Option<Pin<Box<Sleep>>>,
    is_shut: bool,
}

impl Socket {
    pub fn new(stream: TcpStream, unwritten: Rc<Unwritten>, answer_time: Duration) -> Self {
        Socket {
            io: TokioIo::new(stream),
            unwritten,
            answer_time,
            timer: None,
            is_shut: false,
        }
    }

    fn check_progress(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<Result<usize>>,
    ) -> Poll<Result<usize>> {
        if written.is_ready() {
            self.timer = None;
            return written;
        }
        ready!(self.poll_timer(cx, self.answer_time));
        Poll::Ready(Err(Error::from(ErrorKind::TimedOut)))
    }

    fn poll_timer(&mut self, cx: &mut Context<'_>, time: Duration) -> Poll<()> {
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(time)));
        timer.as_mut().poll(cx)
    }

    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<Result<()>> {
        let mut bytes = [MaybeUninit::uninit(); DISCARD_BYTES];
        let mut buffer = ReadBuf::uninit(&mut bytes);
        ready!(Pin::new(&mut self.io).poll_read(cx, buffer.unfilled()))?;
        if buffer.filled().is_empty() {
            return Poll::Ready(Err(Error::from(ErrorKind::UnexpectedEof)));
        }
        Poll::Ready(Ok(()))
    }
}

impl Read for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buffer)
    }
}

impl Write for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write(cx, bytes);
        self.check_progress(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.io).poll_write_vectored(cx, slices);
        self.check_progress(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    /// hyper flushes only when its own buffer is empty.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        ready!(Pin::new(&mut self.io).poll_flush(cx))?;
        self.unwritten.written();
        Poll::Ready(Ok(()))
    }

    /// Ends the sending half, then discards input until the caller closes or the time is over.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        if !self.is_shut {
            ready!(Pin::new(&mut self.io).poll_shutdown(cx))?;
            self.is_shut = true;
            self.timer = None;
        }
        loop {
            if self.poll_timer(cx, LINGER).is_ready() {
                return Poll::Ready(Ok(()));
            }
            if ready!(self.poll_discard(cx)).is_err() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}
