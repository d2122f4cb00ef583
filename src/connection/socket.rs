use std::io::{Error, ErrorKind, IoSlice, Result};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::{Sleep, sleep};

/// Maximum time for which input is discarded after the last answer.
const DISCARD_TIME: Duration = Duration::from_secs(2);
/// Bytes discarded per read.
const DISCARD_BYTES: usize = 16 << 10;

/// Learns what becomes of the answers on a connection.
pub(crate) trait AnswerWatch {
    /// All answers so far have been written.
    fn answers_written(&self);
}

/// Socket of a caller. It reports written answers to its watch and fails if the caller
/// does not read. Before it closes, it discards input: if unread input is left, the kernel resets
/// the connection, and the caller may lose an answer that it has not read yet.
pub(crate) struct Socket<S, W> {
    io: TokioIo<S>,
    watch: W,
    /// Maximum time without progress of a write.
    answer_timeout: Duration,
    timer: Option<Pin<Box<Sleep>>>,
    /// Whether the sending half is closed.
    is_shut: bool,
}

impl<S: AsyncRead + AsyncWrite + Unpin, W: AnswerWatch + Unpin> Socket<S, W> {
    pub fn new(stream: S, watch: W, answer_timeout: Duration) -> Self {
        Socket {
            io: TokioIo::new(stream),
            watch,
            answer_timeout,
            timer: None,
            is_shut: false,
        }
    }

    /// Passes on the result of a write, or an error if it made no progress for `answer_timeout`.
    fn check_progress(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<Result<usize>>,
    ) -> Poll<Result<usize>> {
        if written.is_ready() {
            self.timer = None;
            return written;
        }
        ready!(self.poll_timer(cx, self.answer_timeout));
        Poll::Ready(Err(Error::from(ErrorKind::TimedOut)))
    }

    fn poll_timer(&mut self, cx: &mut Context<'_>, time: Duration) -> Poll<()> {
        let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(time)));
        timer.as_mut().poll(cx)
    }

    /// Discards input; an error means that there is no more.
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

impl<S: AsyncRead + Unpin, W: Unpin> Read for Socket<S, W> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buffer)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin, W: AnswerWatch + Unpin> Write for Socket<S, W> {
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

    /// hyper calls this only when its own buffer is empty, so a flush means that all answers are
    /// written.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        ready!(Pin::new(&mut self.io).poll_flush(cx))?;
        self.watch.answers_written();
        Poll::Ready(Ok(()))
    }

    /// Closes the sending half, then discards input until the caller closes the connection or
    /// `DISCARD_TIME` has passed.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        if !self.is_shut {
            ready!(Pin::new(&mut self.io).poll_shutdown(cx))?;
            self.is_shut = true;
            self.timer = None;
        }
        loop {
            if self.poll_timer(cx, DISCARD_TIME).is_ready() {
                return Poll::Ready(Ok(()));
            }
            if ready!(self.poll_discard(cx)).is_err() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}
