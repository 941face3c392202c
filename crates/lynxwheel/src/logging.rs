//! Setup of the JSON log.

use {
    crate::{config::Config, non_blocking_log::NonBlockingAppender},
    log::LevelFilter,
    log4rs::{
        Handle,
        append::{console::ConsoleAppender, file::FileAppender},
        config::{Appender, Config as LogConfig, Root},
        encode::json::JsonEncoder,
    },
    std::str::FromStr,
};

/// Name of the only appender.
const APPENDER: &str = "lines";

/// Starts logging to the configured file, or to standard output when none is set.
///
/// # Errors
///
/// Returns an error when the file cannot be opened or a logger is installed already.
pub fn start_logging(config: &Config) -> Result<Handle, String> {
    let encoder = Box::new(JsonEncoder::new());
    let appender = if let Some(file) = &config.log_file {
        let appender = FileAppender::builder()
            .encoder(encoder)
            .build(file)
            .map_err(|error| format!("{}: {error}", file.display()))?;
        Appender::builder().build(APPENDER, Box::new(appender))
    } else {
        let appender = ConsoleAppender::builder().encoder(encoder).build();
        Appender::builder().build(APPENDER, Box::new(appender))
    };
    let level = LevelFilter::from_str(&config.log_level).unwrap_or(LevelFilter::Info);
    let log_config = LogConfig::builder()
        .appender(appender)
        .build(Root::builder().appender(APPENDER).build(level))
        .map_err(|error| error.to_string())?;
    log4rs::init_config(log_config).map_err(|error| error.to_string())
}

/// Starts logging to standard output without ever blocking the threads that log.
///
/// # Errors
///
/// Returns an error when the writer thread cannot be spawned or a logger is installed already.
pub fn start_non_blocking_logging() -> Result<Handle, String> {
    let appender = NonBlockingAppender::start().map_err(|error| error.to_string())?;
    let log_config = LogConfig::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(appender)))
        .build(Root::builder().appender(APPENDER).build(LevelFilter::Info))
        .map_err(|error| error.to_string())?;
    log4rs::init_config(log_config).map_err(|error| error.to_string())
}

/// Starts logging errors to standard error, for the development modes.
pub fn start_quiet_logging() {
    let appender = ConsoleAppender::builder()
        .encoder(Box::new(JsonEncoder::new()))
        .target(log4rs::append::console::Target::Stderr)
        .build();
    let appender = Appender::builder().build(APPENDER, Box::new(appender));
    let log_config = LogConfig::builder()
        .appender(appender)
        .build(Root::builder().appender(APPENDER).build(LevelFilter::Error));
    if let Ok(log_config) = log_config
        && log4rs::init_config(log_config).is_err()
    {
        eprintln!("a logger is installed already");
    }
}
