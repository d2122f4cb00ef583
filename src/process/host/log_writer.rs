//! Log lines on standard output, written by a thread of its own so that nothing waits for a reader.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::thread;
use std::time::Duration;

use tracing_subscriber::fmt::MakeWriter;

/// Lines that wait for the reader of standard output; further ones are dropped and counted.
const MAX_LINES: usize = 2_000;
/// Pause in which lines gather, so that one system call writes many.
const GATHER_TIME: Duration = Duration::from_millis(200);

/// Hands lines to the writing thread; clones share it.
#[derive(Debug, Clone)]
pub struct LogWriter {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
}

impl LogWriter {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    ///
    /// The thread could not be started.
    pub fn spawn<W: Write + Send + 'static>(output: W) -> io::Result<Self> {
        let (lines, receiver) = sync_channel(MAX_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let counter = dropped.clone();
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(output, &receiver, &counter))?;
        Ok(LogWriter { lines, dropped })
    }
}

fn write_lines<W: Write>(mut output: W, lines: &Receiver<Vec<u8>>, dropped: &AtomicU64) {
    let mut buffer = Vec::new();
    while let Ok(line) = lines.recv() {
        buffer.extend_from_slice(&line);
        thread::sleep(GATHER_TIME);
        while let Ok(line) = lines.try_recv() {
            buffer.extend_from_slice(&line);
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            let note = format!(
                "{{\"level\":\"WARN\",\"message\":\"log lines dropped\",\"count\":{count}}}\n"
            );
            buffer.extend_from_slice(note.as_bytes());
        }
        // Nothing can be done if the reader is gone; the process goes on without its log.
        let _ = output.write_all(&buffer).and_then(|()| output.flush());
        buffer.clear();
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.lines.try_send(line.to_vec()) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                self.dropped.fetch_add(1, Ordering::Relaxed);
            }
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
