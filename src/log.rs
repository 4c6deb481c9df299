//! Logs: one line of key=value pairs for each event.

use std::{io, time::SystemTime};

use log::LevelFilter;
use snafu::Snafu;

use crate::settings::LogSettings;

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
        None => dispatch.chain(io::stderr()),
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

fn parse_level(level: &str) -> Result<LevelFilter, LogError> {
    level.parse().map_err(|_| LogError::Level {
        level: level.into(),
    })
}
