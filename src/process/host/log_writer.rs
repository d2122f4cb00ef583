//! Writes log lines to standard output on a separate thread, so that the core never waits for the
//! reader.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;
use std::time::Duration;

use tracing_subscriber::fmt::MakeWriter;

/// Maximum number of lines that wait to be written; further ones are dropped and counted.
const MAX_QUEUED_LINES: usize = 2_000;
/// Maximum size of the lines that wait to be written, in bytes; further ones are dropped and counted. Lines have a few hundred.
const MAX_QUEUED_BYTES: usize = 1 << 20;
/// Pause after the first line, in which more lines gather, so that one system call writes many.
const GATHER_TIME: Duration = Duration::from_millis(200);

/// Passes lines to the writing thread. Clones share the thread.
#[derive(Debug, Clone)]
pub struct LogWriter {
    lines: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
}

#[derive(Debug, Default)]
struct Counts {
    /// Bytes that wait to be written.
    queued: AtomicUsize,
    /// Lines dropped since the last warning.
    dropped: AtomicU64,
}

impl LogWriter {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    ///
    /// Fails if the thread cannot be started.
    pub fn spawn<W: Write + Send + 'static>(output: W) -> io::Result<Self> {
        let (lines, receiver) = sync_channel(MAX_QUEUED_LINES);
        let counts: Arc<Counts> = Arc::default();
        let counter = counts.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(output, &receiver, &counter))?;
        Ok(LogWriter { lines, counts })
    }
}

fn write_lines<W: Write>(mut output: W, lines: &Receiver<Vec<u8>>, counts: &Counts) {
    let mut buffer = Vec::new();
    while let Ok(line) = lines.recv() {
        buffer.extend_from_slice(&line);
        thread::sleep(GATHER_TIME);
        while let Ok(line) = lines.try_recv() {
            buffer.extend_from_slice(&line);
        }
        let taken = buffer.len();
        let count = counts.dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            let warning = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"count\":{count}}}\n"
            );
            buffer.extend_from_slice(warning.as_bytes());
        }
        // A write fails if the reader is gone. The process continues without its log.
        let _ = output.write_all(&buffer).and_then(|()| output.flush());
        buffer.clear();
        counts.queued.fetch_sub(taken, Ordering::Relaxed);
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let counts = &*self.counts;
        let queued = counts.queued.fetch_add(line.len(), Ordering::Relaxed);
        let is_queued =
            queued + line.len() <= MAX_QUEUED_BYTES && self.lines.try_send(line.to_vec()).is_ok();
        if !is_queued {
            counts.queued.fetch_sub(line.len(), Ordering::Relaxed);
            counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogWriter {
    type Writer = LogWriter;

    fn make_writer(&'a self) -> Self::Writer {
        self.clone()
    }
}
