//! Logs: one line of key=value pairs for each event, on standard output.
//!
//! Whoever logs only appends to a bounded buffer; a task writes it out from time to time. When the
//! reader of standard output is slow, lines are dropped and counted instead of blocking anyone.

use crate::prelude::*;
use crate::scope::Scope;
use spdlog::formatter::{PatternFormatter, pattern};
use spdlog::sink::WriteSink;
use spdlog::{Level, LevelFilter};
use std::io::{self, Write};
use std::sync::{Mutex, PoisonError};
use tokio::io::AsyncWriteExt as _;
use tokio::time::timeout;

/// Most bytes that wait: at the period below, 2.5 MB a second, ten times what the heaviest day of the
/// users logs.
const CAPACITY: usize = 128 << 10;
/// How often the buffer is written out; few writes, as each costs a system call.
const PERIOD: Duration = Duration::from_millis(50);
/// Time for the last lines when the process ends.
const LAST_WRITE: Duration = Duration::from_millis(100);

#[derive(Debug, Default)]
struct Pending {
    bytes: Vec<u8>,
    dropped: u64,
}

/// Lines that wait to be written.
#[derive(Clone, Debug, Default)]
pub struct Buffer {
    pending: Arc<Mutex<Pending>>,
}

impl Write for Buffer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        if pending.bytes.len() + line.len() > CAPACITY {
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
    /// Takes what waits, and the number of lines that were dropped since.
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
        // There is nowhere to report that standard output is gone.
        let _ = output.write_all(&bytes).await;
        let _ = output.flush().await;
    }
}

/// Sends logs to standard output, written by a task in `scope`; debugging events too if `verbose`.
pub fn start(scope: &Scope, verbose: bool) -> spdlog::Result<Buffer> {
    let level = if verbose { LevelFilter::All } else { LevelFilter::MoreSevereEqual(Level::Info) };
    let buffer = Buffer::default();
    let form =
        pattern!("time={date}T{time}.{millisecond}Z level={level} event={payload} {kv}{eol}");
    let sink = WriteSink::builder()
        .target(buffer.clone())
        .formatter(PatternFormatter::new(form))
        .build_arc()?;
    let logger = spdlog::Logger::builder().sink(sink).level_filter(level).build()?;
    spdlog::set_default_logger(Arc::new(logger));
    let writer = buffer.clone();
    scope.spawn(async move {
        loop {
            tokio::time::sleep(PERIOD).await;
            writer.write_out().await;
        }
    });
    Ok(buffer)
}

/// Writes the last lines before the process ends.
pub async fn finish(buffer: &Buffer) {
    let _ = timeout(LAST_WRITE, buffer.write_out()).await;
}

/// Turns logs off, for programs whose output is for people.
pub fn stop() {
    spdlog::default_logger().set_level_filter(LevelFilter::Off);
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_full_buffer_drops_whole_lines_and_counts_them() {
        let mut buffer = Buffer::default();
        let line = vec![b'x'; CAPACITY / 2];

        let accepted: Vec<_> = (0..4).map(|_| buffer.write(&line).unwrap()).collect();
        let (bytes, dropped) = buffer.take();

        assert_eq!(accepted, [line.len(); 4]);
        assert_eq!((bytes.len(), dropped), (CAPACITY, 2));
    }
}
