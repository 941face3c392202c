//! Command line of `lynxctl`.

use {
    crate::{
        commands,
        error::{CtlError, EXIT_CODES},
    },
    clap::{Args, Parser, Subcommand, ValueEnum},
    clap_complete::Shell,
    lynxwheel_experiment::ExperimentArgs,
    lynxwheel_load::LoadArgs,
    lynxwheel_protocol::{Kind, OperationId, PoolName, ResourceRef, VmName, WaveName},
    std::{net::SocketAddr, path::PathBuf, process::ExitCode},
    tokio::runtime::Builder,
};

/// Operators' command of lynxwheel.
#[derive(Debug, Parser)]
#[command(name = "lynxctl", version, after_help = EXIT_CODES)]
pub struct Cli {
    /// How to reach the servers.
    #[command(flatten)]
    pub connection: Connection,
    /// Form of the output.
    #[arg(short, long, global = true, value_enum, default_value_t = Output::Table)]
    pub output: Output,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// How to reach the servers.
#[derive(Args, Clone, Debug)]
pub struct Connection {
    /// Operators' address of a node; several are tried in turn.
    #[arg(
        long = "server",
        global = true,
        value_name = "IP:PORT",
        default_value = "127.0.0.1:8081"
    )]
    pub servers: Vec<SocketAddr>,
    /// File with the access token; otherwise the variable `LYNXCTL_TOKEN` is read.
    #[arg(long, global = true, value_name = "FILE")]
    pub token_file: Option<PathBuf>,
}

/// Form of the output.
#[derive(Clone, Copy, Debug, Eq, PartialEq, ValueEnum)]
pub enum Output {
    /// For people.
    Table,
    /// For programs.
    Json,
}

/// What to do.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Ask a node.
    #[command(flatten)]
    Remote(RemoteCommand),
    /// Work without an operators' address.
    #[command(flatten)]
    Local(LocalCommand),
}

/// What needs no operators' address.
#[derive(Debug, Subcommand)]
pub enum LocalCommand {
    /// Judge the decisions against baselines on seeded faults.
    Experiment(ExperimentArgs),
    /// Send requests in an open loop and check every answer.
    Load(LoadArgs),
    /// Print completions for a shell.
    Completions {
        /// Shell.
        shell: Shell,
    },
}

/// What a node is asked for.
#[derive(Debug, Subcommand)]
pub enum RemoteCommand {
    /// Declare what files say, after checking all of it.
    Apply(FileArgs),
    /// Show what `apply` would change.
    Diff(FileArgs),
    /// List a kind, or show one resource's state.
    Get {
        /// Kind.
        #[arg(value_parser = parse_kind)]
        kind: Kind,
        /// Name.
        name: Option<String>,
    },
    /// Show a resource with its declaration, conditions and status.
    Describe(ResourceArgs),
    /// Show why a resource is as it is.
    Explain(ResourceArgs),
    /// Follow a resource.
    Watch {
        /// Resource.
        #[command(flatten)]
        resource: ResourceArgs,
        /// End when what was declared holds.
        #[arg(long)]
        until_ready: bool,
        /// Longest wait, in seconds.
        #[arg(long, default_value_t = 3_600)]
        timeout_s: u64,
    },
    /// Withdraw a resource.
    Delete(ResourceArgs),
    /// Start and steer maintenance waves.
    #[command(subcommand)]
    Wave(WaveCommand),
    /// Move a VM to another pool.
    Move {
        /// VM.
        vm: VmName,
        /// Pool.
        pool: PoolName,
        /// Wait until the move is complete, in seconds.
        #[arg(long)]
        wait_s: Option<u64>,
    },
    /// Move a VM out of service, into a pool that serves nothing, within its pool's budget.
    Drain {
        /// VM.
        vm: VmName,
        /// Pool without services and jobs that takes it.
        #[arg(long, default_value = "spare")]
        into: PoolName,
        /// Wait until the move is complete, in seconds.
        #[arg(long)]
        wait_s: Option<u64>,
    },
    /// Show what became of a write, or of the latest ones.
    Operation {
        /// Operation, as the answer to a write names it.
        id: Option<OperationId>,
    },
}

/// Where declarations are.
#[derive(Args, Debug)]
pub struct FileArgs {
    /// INI file, or directory of them.
    #[arg(short = 'f', long = "file", value_name = "DIR|FILE")]
    pub path: PathBuf,
}

/// One resource.
#[derive(Args, Debug)]
pub struct ResourceArgs {
    /// Kind.
    #[arg(value_parser = parse_kind)]
    pub kind: Kind,
    /// Name.
    pub name: String,
}

impl ResourceArgs {
    /// Returns the reference.
    #[must_use]
    pub fn reference(&self) -> ResourceRef {
        ResourceRef::new(self.kind, &self.name)
    }
}

/// What to do with a wave.
#[derive(Debug, Subcommand)]
pub enum WaveCommand {
    /// Declare a wave over pools.
    Start {
        /// Wave.
        wave: WaveName,
        /// Pools, separated by commas.
        #[arg(long, required = true, value_delimiter = ',')]
        pools: Vec<PoolName>,
        /// VMs maintained before this time are due, in milliseconds since the epoch; now if
        /// left out.
        #[arg(long)]
        due_before_ms: Option<u64>,
    },
    /// Claim nothing new.
    Pause {
        /// Wave.
        wave: WaveName,
    },
    /// Go on.
    Resume {
        /// Wave.
        wave: WaveName,
    },
    /// Give up what is not yet acted on.
    Abort {
        /// Wave.
        wave: WaveName,
    },
}

fn parse_kind(text: &str) -> Result<Kind, String> {
    let kinds: Vec<&str> = Kind::ALL.iter().map(|kind| kind.as_str()).collect();
    Kind::from_text(text).ok_or_else(|| format!("must be one of {}", kinds.join(", ")))
}

/// Executes a command and returns the exit code; results go to standard output, progress and errors
/// to standard error.
#[must_use]
pub fn execute(cli: &Cli) -> ExitCode {
    // The experiment and load commands start their own runtimes.
    match &cli.command {
        Command::Local(LocalCommand::Experiment(args)) => {
            return lynxwheel_experiment::execute(args);
        }
        Command::Local(LocalCommand::Load(args)) => return lynxwheel_load::execute(args),
        _ => {}
    }
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("lynxctl: {error}");
            return ExitCode::FAILURE;
        }
    };
    let progress = |line: &str| eprintln!("{line}");
    match runtime.block_on(commands::run(cli, &progress)) {
        Ok(text) => {
            if !text.is_empty() {
                println!("{text}");
            }
            ExitCode::SUCCESS
        }
        // Differences are the result of `diff`, so they go to standard output.
        Err(CtlError::Differs { text }) => {
            println!("{text}");
            ExitCode::from(CtlError::Differs { text }.exit_code())
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(error.exit_code())
        }
    }
}
