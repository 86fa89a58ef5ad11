//! Log appender that never blocks the process.
//!
//! Lines are queued in a bounded buffer and written by a separate thread. Once the buffer is three
//! quarters full, only warnings and errors are accepted, so that lines about successes do not
//! displace lines about failures. Dropped lines are counted and their number is logged.

use std::io::Write;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;

use logforth::Append;
use logforth::Diagnostic;
use logforth::Error;
use logforth::Layout;
use logforth::record::Level;
use logforth::record::Record;

/// Capacity of the buffer, in lines: about one second of output of the busiest owner, some 300 KB.
const MAX_BUFFERED_LINES: usize = 1_024;
/// Number of buffered lines at which only warnings and errors are still accepted.
const MAX_BELOW_WARN: usize = MAX_BUFFERED_LINES * 3 / 4;
/// Interval at which [`flush`] checks whether the buffer is empty.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Number of checks after which [`flush`] gives up.
const MAX_FLUSH_POLLS: u32 = 40;

/// Numbers of buffered lines and of dropped lines that have not been reported yet.
#[derive(Debug, Default)]
struct Counts {
    waiting: AtomicUsize,
    dropped: AtomicU64,
}

static COUNTS: OnceLock<Arc<Counts>> = OnceLock::new();

/// Appender that writes lines to standard output on a separate thread.
#[derive(Debug)]
pub struct BoundedAppender<L> {
    layout: L,
    lines: SyncSender<Vec<u8>>,
    counts: Arc<Counts>,
}

impl<L: Layout> BoundedAppender<L> {
    /// Starts the writer thread; `None` if it cannot be spawned.
    pub fn start(layout: L) -> Option<BoundedAppender<L>> {
        let (lines, receiver) = sync_channel(MAX_BUFFERED_LINES);
        let counts = Arc::clone(COUNTS.get_or_init(Arc::default));
        let shared = Arc::clone(&counts);
        thread::Builder::new()
            .name("logs".to_owned())
            .spawn(move || write_lines(&receiver, &shared))
            .ok()?;
        Some(BoundedAppender { layout, lines, counts })
    }
}

impl<L: Layout> Append for BoundedAppender<L> {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let limit = if record.level() >= Level::Warn { MAX_BUFFERED_LINES } else { MAX_BELOW_WARN };
        if self.counts.waiting.load(Ordering::Relaxed) >= limit {
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let mut line = self.layout.format(record, diags)?;
        line.push(b'\n');
        self.counts.waiting.fetch_add(1, Ordering::Relaxed);
        if self.lines.try_send(line).is_err() {
            self.counts.waiting.fetch_sub(1, Ordering::Relaxed);
            self.counts.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        Ok(())
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>, counts: &Counts) {
    while let Ok(line) = lines.recv() {
        let mut out = std::io::stdout().lock();
        // Standard output is closed, so the error cannot be reported anywhere.
        let _ = out.write_all(&line);
        counts.waiting.fetch_sub(1, Ordering::Relaxed);
        let dropped = counts.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            let _ = writeln!(
                out,
                r#"{{"level":"WARN","message":"log lines left out","kvs":{{"count":{dropped}}}}}"#
            );
        }
    }
}

/// Waits up to 200 ms until the buffered lines are written.
pub fn flush() {
    let Some(counts) = COUNTS.get() else { return };
    for _ in 0..MAX_FLUSH_POLLS {
        if counts.waiting.load(Ordering::Relaxed) == 0 {
            return;
        }
        thread::sleep(FLUSH_POLL_INTERVAL);
    }
}
