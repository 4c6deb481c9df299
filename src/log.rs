//! Sets up logging, with one line of key=value pairs for each event.
//!
//! Lines for standard output are written by a separate thread, so that request
//! handling never waits for a slow reader.

use std::{
    fmt::{self, Display, Write as _},
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{self, SyncSender},
    },
    time::{Duration, Instant, SystemTime},
};

use log::LevelFilter;
use snafu::Snafu;

use crate::settings::LogSettings;

/// Maximum number of lines queued for the writer thread; enough for a burst of
/// several hundred requests. Further lines are dropped and counted, so that requests
/// never wait for standard output.
const MAX_QUEUED_LINES: usize = 2_048;

/// How long a process that exits waits for its last lines to be written: short compared
/// with the time that platforms grant for a stop.
pub const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval between checks whether all lines have been written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Longest text from outside that is logged whole, in characters.
const MAX_TEXT_CHARS: usize = 256;

/// Number of lines in the queue or being written.
static LINES_TO_WRITE: AtomicU64 = AtomicU64::new(0);

/// Waits until all lines logged so far have been written, for at most `timeout`. To be
/// called before the process exits, which ends the writer thread.
pub fn flush(timeout: Duration) {
    let deadline = Instant::now() + timeout;
    while LINES_TO_WRITE.load(Ordering::Relaxed) > 0 && Instant::now() < deadline {
        std::thread::sleep(FLUSH_POLL_INTERVAL);
    }
}

/// Text from outside, such as a name or an id, as the value of one pair of a line.
pub struct Shown<T>(T);

/// Returns a text from outside for a log line: as it is, or quoted and escaped if it could be
/// taken for more than one value. A long text is shortened.
pub fn shown<T: AsRef<str>>(text: T) -> Shown<T> {
    Shown(text)
}

impl<T: AsRef<str>> Display for Shown<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = self.0.as_ref();
        let end = text.char_indices().nth(MAX_TEXT_CHARS);
        let start = end.map_or(text, |(end, _)| &text[..end]);
        let is_plain = |b: u8| b.is_ascii_graphic() && !matches!(b, b'"' | b'\\');
        if !start.is_empty() && start.bytes().all(is_plain) {
            f.write_str(start)?;
        } else {
            write!(f, "{start:?}")?;
        }
        if end.is_some() {
            f.write_str("...")
        } else {
            Ok(())
        }
    }
}

/// Writes a message without line breaks and other control characters, so that it stays one line
/// whatever text from outside it holds.
struct OneLine<'a>(&'a fmt::Arguments<'a>);

impl Display for OneLine<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(Escaper(f), "{}", self.0)
    }
}

struct Escaper<'a, 'b>(&'a mut fmt::Formatter<'b>);

impl fmt::Write for Escaper<'_, '_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        let is_break = |c: char| c.is_control() || matches!(c, '\u{2028}' | '\u{2029}');
        for part in text.split_inclusive(is_break) {
            match part.char_indices().next_back() {
                Some((at, c)) if is_break(c) => {
                    write!(self.0, "{}{}", &part[..at], c.escape_default())?;
                }
                _ => self.0.write_str(part)?,
            }
        }
        Ok(())
    }
}

/// Error of setting up logging.
#[derive(Debug, Snafu)]
pub enum LogError {
    /// A level in the settings is unknown.
    #[snafu(display("step=log_level: unknown level {level:?}"))]
    UnknownLevel {
        /// Level in the settings.
        level: Box<str>,
    },
    /// The log file cannot be opened, or the writer thread cannot be started.
    #[snafu(display("step=open_log file={file}: {source}"))]
    Open {
        /// Path of the file, or `standard output`.
        file: Box<str>,
        /// Cause reported by the operating system.
        source: io::Error,
    },
    /// Logging is already set up in this process.
    #[snafu(display("step=install_log: logging is already set up"))]
    AlreadySetUp,
}

/// Sets up logging for the process. Each line contains the instance's name,
/// `instance`.
///
/// # Errors
/// Returns an error if a level is unknown, the file cannot be opened, the writer
/// thread cannot be started, or logging is already set up.
pub fn install(settings: &LogSettings, instance: impl Into<Box<str>>) -> Result<(), LogError> {
    let instance = shown(instance.into()).to_string();
    let level = settings.level.as_deref().unwrap_or("info");
    let mut dispatch = fern::Dispatch::new()
        .level(parse_level(level)?)
        .level_for("hyper", LevelFilter::Warn)
        .format(move |out, message, record| {
            out.finish(format_args!(
                "time={} instance={instance} level={} module={} {}",
                humantime::format_rfc3339_millis(SystemTime::now()),
                record.level(),
                record.target(),
                OneLine(message),
            ));
        });
    for (module, level) in &settings.modules {
        dispatch = dispatch.level_for(module.to_string(), parse_level(level)?);
    }
    let dispatch = match &settings.file {
        None => {
            let queue = spawn_writer(io::stdout()).map_err(|source| LogError::Open {
                file: "standard output".into(),
                source,
            })?;
            dispatch.chain(fern::Output::call(move |record| queue.push_or_drop(record)))
        }
        Some(file) => {
            let opened = fern::log_file(&**file).map_err(|source| LogError::Open {
                file: file.clone(),
                source,
            })?;
            dispatch.chain(opened)
        }
    };
    dispatch.apply().map_err(|_| LogError::AlreadySetUp)
}

/// Queue of lines for the writer thread, and the number of dropped lines.
struct LineQueue {
    tx: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    /// Adds a line to the queue, or counts it as dropped if the queue is full.
    fn push_or_drop(&self, record: &log::Record<'_>) {
        LINES_TO_WRITE.fetch_add(1, Ordering::Relaxed);
        if self.tx.try_send(record.args().to_string()).is_err() {
            LINES_TO_WRITE.fetch_sub(1, Ordering::Relaxed);
            self.dropped.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("bluebell_log_lines_dropped").increment(1);
        }
    }
}

/// Starts a thread that writes the queued lines to `out`, and after them the
/// number of lines dropped since the last write, if any.
fn spawn_writer(mut out: impl Write + Send + 'static) -> io::Result<LineQueue> {
    let (tx, rx) = mpsc::sync_channel::<String>(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let writer_dropped = dropped.clone();
    let write = move || {
        for first in &rx {
            let mut text = first;
            text.push('\n');
            let mut lines = 1;
            for line in rx.try_iter().take(MAX_QUEUED_LINES) {
                text.push_str(&line);
                text.push('\n');
                lines += 1;
            }
            let dropped = writer_dropped.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                text.push_str("event=log_lines_dropped count=");
                text.push_str(&dropped.to_string());
                text.push('\n');
            }
            // If standard output fails, there is no other place to report it.
            let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
            LINES_TO_WRITE.fetch_sub(lines, Ordering::Relaxed);
        }
    };
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(write)?;
    Ok(LineQueue { tx, dropped })
}

fn parse_level(level: &str) -> Result<LevelFilter, LogError> {
    level.parse().map_err(|_| LogError::UnknownLevel {
        level: level.into(),
    })
}
