//! A daemon and its platform within the test's process, and `lynxctl` against it.

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

/// Time within which anything waited for must happen; far above what it takes.
pub const LIMIT: Duration = Duration::from_mins(1);

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

    /// Runs `lynxctl` with these words; progress follows the result.
    pub async fn ctl(&self, words: &str) -> Outcome {
        run(&format!(
            "--server {} {words}",
            self.daemon.operator_address()
        ))
        .await
    }

    /// Runs `lynxctl`, which must succeed, and returns what it printed.
    pub async fn done(&self, words: &str) -> String {
        let outcome = self.ctl(words).await;
        assert_eq!(outcome.code, 0, "{words}: {}", outcome.text);
        outcome.text
    }
}

/// What a command came to.
pub struct Outcome {
    pub code: u8,
    pub text: String,
    pub progress: Vec<String>,
}

pub async fn run(words: &str) -> Outcome {
    let words = std::iter::once("lynxctl").chain(words.split_whitespace());
    let cli = Cli::try_parse_from(words).expect("command line");
    let progress = Mutex::new(Vec::new());
    let lock = || progress.lock().unwrap_or_else(PoisonError::into_inner);
    let told = lynxctl::run(&cli, &|line: &str| lock().push(line.to_owned())).await;
    let (code, text) = match told {
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

pub async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + LIMIT;
    while !holds() {
        assert!(Instant::now() < until, "never: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Writes files into a fresh directory of the test.
pub fn files(name: &str, files: &[(&str, &str)]) -> PathBuf {
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    // It may be left from an earlier run.
    drop(fs::remove_dir_all(&directory));
    fs::create_dir_all(&directory).expect("make a directory");
    for (file, text) in files {
        fs::write(directory.join(file), text).expect("write a file");
    }
    directory
}
