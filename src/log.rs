//! Logs: one line of key=value pairs for each event.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{self, SyncSender},
    },
    time::SystemTime,
};

use log::LevelFilter;
use snafu::Snafu;

use crate::settings::LogSettings;

/// Lines that may wait for the writer: a burst of some hundred requests. More
/// are dropped and counted, so that traffic never waits for a log.
const LINES_WAITING: usize = 2_048;

/// Logging that could not be set up.
#[derive(Debug, Snafu)]
pub enum LogError {
    /// A level is none of the known ones.
    #[snafu(display("step=log_level: unknown level {level:?}"))]
    Level {
        /// The level given.
        level: Box<str>,
    },
    /// The file cannot be opened.
    #[snafu(display("step=open_log file={file}: {source}"))]
    Open {
        /// Path of the file.
        file: Box<str>,
        /// What the system said.
        source: io::Error,
    },
    /// Logging was set up before.
    #[snafu(display("step=install_log: set up twice"))]
    Twice,
}

/// Sets up logging for the process; each line names the instance.
///
/// # Errors
/// A level is unknown, or the file cannot be opened.
pub fn install(settings: &LogSettings, instance: impl Into<Box<str>>) -> Result<(), LogError> {
    let instance: Box<str> = instance.into();
    let level = settings.level.as_deref().unwrap_or("info");
    let mut dispatch = fern::Dispatch::new()
        .level(parse_level(level)?)
        .level_for("hyper", LevelFilter::Warn)
        .format(move |out, message, record| {
            out.finish(format_args!(
                "time={} instance={instance} level={} module={} {message}",
                humantime::format_rfc3339_millis(SystemTime::now()),
                record.level(),
                record.target(),
            ));
        });
    for (module, level) in &settings.modules {
        dispatch = dispatch.level_for(module.to_string(), parse_level(level)?);
    }
    let dispatch = match &settings.file {
        None => {
            let lines = spawn_writer(io::stdout()).map_err(|source| LogError::Open {
                file: "standard output".into(),
                source,
            })?;
            dispatch.chain(fern::Output::call(move |record| lines.put(record)))
        }
        Some(file) => {
            let opened = fern::log_file(&**file).map_err(|source| LogError::Open {
                file: file.clone(),
                source,
            })?;
            dispatch.chain(opened)
        }
    };
    dispatch.apply().map_err(|_| LogError::Twice)
}

/// Lines on their way to a writer that may be slow.
struct Lines {
    tx: SyncSender<String>,
    dropped: Arc<AtomicU64>,
}

impl Lines {
    /// Hands a line over, or counts it as dropped; never waits.
    fn put(&self, record: &log::Record<'_>) {
        if self.tx.try_send(record.args().to_string()).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("bluebell_log_lines_dropped").increment(1);
        }
    }
}

/// Starts a thread that writes lines, and says how many it had to leave out.
fn spawn_writer(mut out: impl Write + Send + 'static) -> io::Result<Lines> {
    let (tx, rx) = mpsc::sync_channel::<String>(LINES_WAITING);
    let dropped = Arc::new(AtomicU64::new(0));
    let missed = dropped.clone();
    let write = move || {
        for first in &rx {
            let mut text = first;
            text.push('\n');
            for line in rx.try_iter().take(LINES_WAITING) {
                text.push_str(&line);
                text.push('\n');
            }
            let missed = missed.swap(0, Ordering::Relaxed);
            if missed > 0 {
                text.push_str("event=log_lines_dropped count=");
                text.push_str(&missed.to_string());
                text.push('\n');
            }
            // Without a reader of standard output there is nowhere to tell.
            let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
        }
    };
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(write)?;
    Ok(Lines { tx, dropped })
}

fn parse_level(level: &str) -> Result<LevelFilter, LogError> {
    level.parse().map_err(|_| LogError::Level {
        level: level.into(),
    })
}
