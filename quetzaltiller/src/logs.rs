//! Logs: one line of key=value pairs for each event, on standard output.
//!
//! Logging an event only appends to a bounded buffer, which a task writes out periodically. When
//! the reader of standard output is slow, lines are dropped and counted instead of blocking the
//! process.

use crate::prelude::*;
use crate::scope::Scope;
use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::WriteSink;
use spdlog::{Level, LevelFilter};
use std::io::{self, Write};
use std::sync::{Mutex, PoisonError};
use tokio::io::AsyncWriteExt as _;
use tokio::time::timeout;

/// Maximum size of the buffer in bytes: with one write per `WRITE_PERIOD` this is 2.5 MB a second,
/// ten times the log volume of the users' heaviest day.
const CAPACITY_BYTES: usize = 128 << 10;
/// Interval between writes of the buffer. Each write costs a system call, so they are few.
const WRITE_PERIOD: Duration = Duration::from_millis(50);
/// Time limit to write the last lines when the process ends.
const LAST_WRITE_TIMEOUT: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Pending {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Log lines that wait to be written; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Buffer {
    pending: Arc<Mutex<Pending>>,
}

impl Write for Buffer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        if pending.bytes.len() + line.len() > CAPACITY_BYTES {
            pending.dropped += 1;
        } else {
            pending.bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Buffer {
    /// Takes the buffered bytes and the number of lines dropped since the last call.
    fn take(&self) -> (Vec<u8>, u64) {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        (std::mem::take(&mut pending.bytes), std::mem::take(&mut pending.dropped))
    }

    async fn write_out(&self) {
        let (bytes, dropped) = self.take();
        if dropped > 0 {
            warn!("log_lines_dropped", kv: { dropped });
        }
        if bytes.is_empty() {
            return;
        }
        let mut output = tokio::io::stdout();
        // A failure of standard output can't be reported anywhere.
        let _ = output.write_all(&bytes).await;
        let _ = output.flush().await;
    }
}

/// Sends logs to standard output, written by a task in `scope`; includes debug events if `verbose`.
pub fn start(scope: &Scope, verbose: bool) -> spdlog::Result<Buffer> {
    let level = if verbose { LevelFilter::All } else { LevelFilter::MoreSevereEqual(Level::Info) };
    let buffer = Buffer::default();
    let line_pattern =
        pattern!("time={date}T{time}.{millisecond}Z level={level} event={payload} {kv}{eol}");
    let sink = WriteSink::builder()
        .target(buffer.clone())
        .formatter(PatternFormatter::new(line_pattern))
        .build_arc()?;
    let logger = spdlog::Logger::builder().sink(sink).level_filter(level).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    let writer = buffer.clone();
    scope.spawn(async move {
        loop {
            tokio::time::sleep(WRITE_PERIOD).await;
            writer.write_out().await;
        }
    });
    Ok(buffer)
}

/// Writes the remaining lines before the process ends.
pub async fn finish(buffer: &Buffer) {
    let _ = timeout(LAST_WRITE_TIMEOUT, buffer.write_out()).await;
}

/// Turns logs off, for programs that print to standard output for people.
pub fn stop() {
    spdlog::default_logger().set_level_filter(LevelFilter::Off);
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_full_buffer_drops_whole_lines_and_counts_them() {
        let mut buffer = Buffer::default();
        let line = vec![b'x'; CAPACITY_BYTES / 2];

        let accepted: Vec<_> = (0..4).map(|_| buffer.write(&line).unwrap()).collect();
        let (bytes, dropped) = buffer.take();

        assert_eq!(accepted, [line.len(); 4]);
        assert_eq!((bytes.len(), dropped), (CAPACITY_BYTES, 2));
    }
}
