//! Test fixture that runs a daemon and a platform in-process, and `lynxctl` against them.

use {
    clap::Parser,
    lynxctl::{CtlError, cli::Cli},
    lynxwheel::{Config, Daemon},
    lynxwheel_standin::{PlatformServer, VmTemplate},
    std::{
        fs,
        net::SocketAddr,
        path::PathBuf,
        sync::{Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Time limit for each condition that is waited for.
pub const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

pub struct Fleet {
    pub platform: PlatformServer,
    pub daemon: Daemon,
}

impl Fleet {
    pub async fn start(vms: u32) -> Self {
        let templates: Vec<VmTemplate> = (0..vms).map(VmTemplate::numbered).collect();
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = PlatformServer::start(address, &templates, 100)
            .await
            .expect("start the platform");
        let text = format!(
            "[node]\nname = node-1\nzone = zone-1\n[listen]\ncallers = 127.0.0.1:0\n\
             operators = 127.0.0.1:0\npeers = 127.0.0.1:0\n[platform]\naddress = {}\n\
             [timing]\ntick_ms = 50\nrank_delay_ms = 100\ndrain_ms = 1\npropose_timeout_ms = 1000\n",
            platform.address()
        );
        let config = Config::parse("node-1.ini", &text).expect("settings");
        let daemon = Daemon::start(&config).await.expect("start the daemon");
        let node = daemon.node();
        wait_until("the node is current", || {
            node.is_current() && node.state().writers().get(node.incarnation()).is_some()
        })
        .await;
        Self { platform, daemon }
    }

    /// Runs `lynxctl` with the given arguments against the daemon.
    pub async fn ctl(&self, arguments: &str) -> Outcome {
        run(&format!(
            "--server {} {arguments}",
            self.daemon.operator_address()
        ))
        .await
    }

    /// Runs `lynxctl`, asserts that it succeeds and returns its output.
    pub async fn ctl_ok(&self, arguments: &str) -> String {
        let outcome = self.ctl(arguments).await;
        assert_eq!(outcome.code, 0, "{arguments}: {}", outcome.text);
        outcome.text
    }
}

/// Exit code, output and progress messages of a command.
pub struct Outcome {
    pub code: u8,
    pub text: String,
    pub progress: Vec<String>,
}

/// Runs `lynxctl` with the given arguments.
pub async fn run(arguments: &str) -> Outcome {
    let arguments = std::iter::once("lynxctl").chain(arguments.split_whitespace());
    let cli = Cli::try_parse_from(arguments).expect("command line");
    let progress = Mutex::new(Vec::new());
    let lock = || progress.lock().unwrap_or_else(PoisonError::into_inner);
    let result = lynxctl::run(&cli, &|line: &str| lock().push(line.to_owned())).await;
    let (code, text) = match result {
        Ok(text) => (0, text),
        Err(error) => (CtlError::exit_code(&error), error.to_string()),
    };
    let progress = lock().clone();
    Outcome {
        code,
        text,
        progress,
    }
}

/// Waits until a condition is fulfilled, which the assertion calls `what`.
pub async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Writes files into an empty directory and returns its path.
pub fn write_files(name: &str, files: &[(&str, &str)]) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    // An earlier run may have left the directory.
    drop(fs::remove_dir_all(&directory));
    fs::create_dir_all(&directory).expect("make a directory");
    for (file, text) in files {
        fs::write(directory.join(file), text).expect("write a file");
    }
    directory
}
