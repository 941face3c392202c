//! JSON log lines.

use {
    crate::{config::Config, ring_log::RingAppender},
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

/// Starts the log as the settings say.
///
/// # Errors
///
/// Returns the reason when the log's file cannot be opened.
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

/// Starts a log of decisions on standard output that never blocks.
///
/// # Errors
///
/// Returns the reason when its thread cannot be started or a log was started before.
pub fn start_ring_logging() -> Result<Handle, String> {
    let ring = RingAppender::start().map_err(|error| error.to_string())?;
    let log_config = LogConfig::builder()
        .appender(Appender::builder().build(APPENDER, Box::new(ring)))
        .build(Root::builder().appender(APPENDER).build(LevelFilter::Info))
        .map_err(|error| error.to_string())?;
    log4rs::init_config(log_config).map_err(|error| error.to_string())
}

/// Starts a log of warnings and errors on standard error, for development.
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
        eprintln!("the log was started before");
    }
}
