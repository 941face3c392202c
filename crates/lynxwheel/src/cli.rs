//! Command line of the daemon.

use {
    crate::{config::Config, daemon, dev, logging},
    clap::{Args, Parser, Subcommand},
    lynxwheel_controller::MetricsHandle,
    lynxwheel_platform::PlatformSettings,
    metrics_exporter_prometheus::PrometheusBuilder,
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::{Path, PathBuf},
        process::ExitCode,
    },
    tokio::runtime::{Builder, Runtime},
};

/// Exit code when a command failed or a guarantee was violated.
pub const EXIT_FAILED: u8 = 1;

/// Exit code for invalid settings.
pub const EXIT_SETTINGS: u8 = 3;

/// Worker threads of the runtime.
const IO_THREADS: usize = 2;

/// Fleet capacity and maintenance manager.
#[derive(Debug, Parser)]
#[command(
    name = "lynxwheel",
    version,
    after_help = "Exit codes: 0 done, 1 failed or a promise did not hold, 2 bad command line, \
                  3 bad settings"
)]
pub struct Cli {
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Run a node until SIGTERM or SIGINT, then stop gracefully.
    Run(SettingsArgs),
    /// Run a node on the users' platform, by the settings file that the platform writes.
    Serve(PlatformArgs),
    /// Check settings and say every mistake.
    Check(SettingsArgs),
    /// Run an embedded platform with endpoints, for development.
    Dev(DevArgs),
}

/// Where the settings are.
#[derive(Args, Debug)]
pub struct SettingsArgs {
    /// INI file with the settings.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
}

/// Where the platform's settings file is.
#[derive(Args, Debug)]
pub struct PlatformArgs {
    /// Settings file that the platform writes.
    #[arg(
        long,
        value_name = "FILE",
        env = "LYNXWHEEL_CONFIG",
        default_value = "/etc/lynxwheel/settings.conf"
    )]
    pub settings: PathBuf,
    /// Say every mistake of the file and do nothing else.
    #[arg(long)]
    pub check: bool,
}

/// How to run the embedded platform.
#[derive(Args, Debug)]
pub struct DevArgs {
    /// Run the main job once and print what happened.
    #[arg(long)]
    pub once: bool,
    /// Print one JSON object instead of a table.
    #[arg(long)]
    pub json: bool,
    /// What to run apart from everything in one process.
    #[command(subcommand)]
    pub part: Option<DevPart>,
}

/// Parts of a development fleet that run as processes of their own.
#[derive(Debug, Subcommand)]
pub enum DevPart {
    /// Run only the platform with its endpoints.
    Platform {
        /// Address to listen on.
        #[arg(long, default_value_t = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 7000))]
        listen: SocketAddr,
        /// Number of VMs.
        #[arg(long, default_value_t = 12)]
        vms: u32,
        /// Time that a reboot takes, in milliseconds.
        #[arg(long, default_value_t = 500)]
        reboot_ms: u64,
    },
}

/// Executes a command and returns the exit code of the process.
#[must_use]
pub fn execute(cli: &Cli) -> ExitCode {
    match &cli.command {
        Command::Run(args) => with_settings(&args.settings, run_node),
        Command::Serve(args) => run_controller(args),
        Command::Check(args) => with_settings(&args.settings, |_| ExitCode::SUCCESS),
        Command::Dev(args) => run_dev(args),
    }
}

/// Loads the settings and runs `action` with them, or prints every error found.
fn with_settings(path: &Path, action: impl FnOnce(Config) -> ExitCode) -> ExitCode {
    match Config::load(path) {
        Ok(config) => action(config),
        Err(errors) => {
            for error in &errors {
                eprintln!("{error}");
            }
            ExitCode::from(EXIT_SETTINGS)
        }
    }
}

fn run_node(config: Config) -> ExitCode {
    if let Err(error) = logging::start_logging(&config) {
        eprintln!("{error}");
        return ExitCode::from(EXIT_SETTINGS);
    }
    let outcome = build_runtime().map(|runtime| runtime.block_on(daemon::run(config)));
    match outcome {
        Ok(Ok(())) => ExitCode::SUCCESS,
        Ok(Err(error)) => print_failure(&error.to_string()),
        Err(error) => print_failure(&error.to_string()),
    }
}

fn run_controller(args: &PlatformArgs) -> ExitCode {
    let settings = match PlatformSettings::load(&args.settings) {
        Ok(settings) => settings,
        Err(errors) => {
            for error in &errors {
                eprintln!("{error}");
            }
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if args.check {
        return ExitCode::SUCCESS;
    }
    if let Err(error) = logging::start_non_blocking_logging() {
        eprintln!("{error}");
        return ExitCode::from(EXIT_FAILED);
    }
    let metrics = match PrometheusBuilder::new().install_recorder() {
        Ok(recorder) => {
            let upkeep = recorder.clone();
            MetricsHandle::new(move || recorder.render(), move || upkeep.run_upkeep())
        }
        Err(error) => return print_failure(&error.to_string()),
    };
    // A single thread: the smallest VMs have a share of one core and little memory.
    let outcome = Builder::new_current_thread()
        .enable_all()
        .build()
        .and_then(|runtime| runtime.block_on(lynxwheel_controller::run(settings, metrics)));
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => print_failure(&error.to_string()),
    }
}

fn run_dev(args: &DevArgs) -> ExitCode {
    logging::start_quiet_logging();
    let runtime = match build_runtime() {
        Ok(runtime) => runtime,
        Err(error) => return print_failure(&error.to_string()),
    };
    let outcome = match &args.part {
        Some(DevPart::Platform {
            listen,
            vms,
            reboot_ms,
        }) => runtime.block_on(dev::run_dev_platform(*listen, *vms, *reboot_ms)),
        None if args.once => match runtime.block_on(dev::run_dev_job()) {
            Ok(report) => {
                println!(
                    "{}",
                    if args.json {
                        report.to_json()
                    } else {
                        report.to_table()
                    }
                );
                report.check()
            }
            Err(reason) => Err(reason),
        },
        None => runtime.block_on(dev::run_dev_fleet()),
    };
    // Background threads end with the process.
    runtime.shutdown_background();
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => print_failure(&reason),
    }
}

fn build_runtime() -> std::io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(IO_THREADS)
        .enable_all()
        .build()
}

fn print_failure(reason: &str) -> ExitCode {
    eprintln!("lynxwheel: {reason}");
    ExitCode::from(EXIT_FAILED)
}
