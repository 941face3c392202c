//! Settings file of a node.

use {
    ini::{Ini, ParseOption},
    lynxwheel_api::{AccessControl, AccessToken, Role},
    lynxwheel_coordination::{NodeIdentity, NodeSettings, PeerAddress},
    lynxwheel_transport::ProcessLimits,
    std::{
        error, fmt, fs,
        net::SocketAddr,
        path::{Path, PathBuf},
        str::FromStr,
    },
};

/// Sections and their allowed keys.
pub const KNOWN_KEYS: [(&str, &[&str]); 9] = [
    ("node", &["name", "zone"]),
    ("listen", &["callers", "operators", "peers"]),
    ("platform", &["address", "stream", "appends_per_s"]),
    ("peers", &[]),
    ("tokens", &[]),
    (
        "timing",
        &[
            "propose_timeout_ms",
            "tick_ms",
            "rank_delay_ms",
            "action_timeout_ms",
            "drain_ms",
        ],
    ),
    ("limits", &["memory_mb", "max_descriptors", "body_stall_ms"]),
    ("snapshots", &["records", "period_ms"]),
    ("log", &["level", "file"]),
];

/// Sections whose keys are names chosen by the operator.
pub const NAMED_SECTIONS: [&str; 2] = ["peers", "tokens"];

/// Minimum length of an access token, which makes guessing infeasible.
const MIN_TOKEN_CHARS: usize = 16;

/// Accepted log levels.
const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];

/// One error in the settings.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigError {
    /// The file cannot be read.
    Unreadable {
        /// File.
        file: PathBuf,
        /// Reason.
        reason: String,
    },
    /// A section or key is missing, unknown, duplicated or has an invalid value.
    InvalidKey {
        /// File.
        file: PathBuf,
        /// Section.
        section: String,
        /// Key; empty when the error concerns the whole section.
        key: String,
        /// Reason.
        reason: String,
    },
}

impl fmt::Display for ConfigError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable { file, reason } => write!(formatter, "{}: {reason}", file.display()),
            Self::InvalidKey {
                file,
                section,
                key,
                reason,
            } => {
                write!(
                    formatter,
                    "{}: section {section}, key {key}: {reason}",
                    file.display()
                )
            }
        }
    }
}

impl error::Error for ConfigError {}

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct Config {
    /// `[node] name`: unique name of the node.
    pub node_name: String,
    /// `[node] zone`: availability zone.
    pub zone: String,
    /// `[listen] callers`: address for callers, `/livez` and `/readyz`.
    pub caller_address: SocketAddr,
    /// `[listen] operators`: address for the resource API and `/metrics`.
    pub operator_address: SocketAddr,
    /// `[listen] peers`: address for the other nodes.
    pub peer_listen_address: SocketAddr,
    /// `[tokens]`: operators' access, `name = role:token` or `name = role:@file`.
    pub access: AccessControl,
    /// `[platform] address`: address of the platform's services.
    pub platform_address: SocketAddr,
    /// `[platform] stream`: name of the fleet's stream; `fleet` by default.
    pub stream: String,
    /// `[peers]`: the other nodes, `name = ip:port` of each peer listener.
    pub peers: Vec<PeerAddress>,
    /// `[timing] propose_timeout_ms`: time after which a proposal's outcome counts as unknown;
    /// 3000 by default.
    pub propose_timeout_ms: u64,
    /// `[timing] tick_ms`: interval at which VMs and jobs are polled; 200 by default.
    pub poll_interval_ms: u64,
    /// `[timing] rank_delay_ms`: time that each rank waits for the one before; 300 by default.
    pub join_retry_ms: u64,
    /// `[timing] action_timeout_ms`: time limit for an action of a VM; 600000 by default.
    pub action_timeout_ms: u64,
    /// `[timing] drain_ms`: time between reporting not ready and closing the listeners; 1000 by
    /// default.
    pub drain_delay_ms: u64,
    /// `[platform] appends_per_s`: maximum appends per second of all nodes together; 360 by
    /// default.
    pub max_appends_per_s: u32,
    /// `[limits]`: `memory_mb` and `max_descriptors` that the process may use, 256 and 4096 by
    /// default, and `body_stall_ms`, the time without data after which a body is given up, 10000 by
    /// default.
    pub process_limits: ProcessLimits,
    /// `[snapshots] records`: records after which a snapshot is due; 20000 by default.
    pub snapshot_interval_records: u64,
    /// `[snapshots] period_ms`: time after which a snapshot is due; 600000 by default.
    pub snapshot_interval_ms: u64,
    /// `[log] level`: least severe level that is logged; `info` by default.
    pub log_level: String,
    /// `[log] file`: log file; standard output by default.
    pub log_file: Option<PathBuf>,
}

impl Config {
    /// Reads settings from a file.
    ///
    /// # Errors
    ///
    /// Returns every error found.
    pub fn load(path: &Path) -> Result<Self, Vec<ConfigError>> {
        let text = fs::read_to_string(path).map_err(|error| {
            vec![ConfigError::Unreadable {
                file: path.into(),
                reason: error.to_string(),
            }]
        })?;
        Self::parse(path, &text)
    }

    /// Parses settings; `file` is the name that errors show.
    ///
    /// # Errors
    ///
    /// Returns every error found.
    pub fn parse(file: impl AsRef<Path>, text: &str) -> Result<Self, Vec<ConfigError>> {
        let file = file.as_ref();
        // Backslashes are literal, as in paths.
        let option = ParseOption {
            enabled_escape: false,
            ..ParseOption::default()
        };
        let ini = Ini::load_from_str_opt(text, option).map_err(|error| {
            vec![ConfigError::Unreadable {
                file: file.into(),
                reason: error.to_string(),
            }]
        })?;
        let mut reader = Reader {
            file,
            ini: &ini,
            errors: Vec::new(),
        };
        reader.check_keys();
        let config = Self {
            node_name: reader.required("node", "name"),
            zone: reader.required("node", "zone"),
            caller_address: reader.address("listen", "callers"),
            operator_address: reader.address("listen", "operators"),
            peer_listen_address: reader.address("listen", "peers"),
            access: reader.access(),
            platform_address: reader.address("platform", "address"),
            stream: reader
                .text("platform", "stream")
                .unwrap_or("fleet")
                .to_owned(),
            peers: reader.peers(),
            propose_timeout_ms: reader.number("timing", "propose_timeout_ms", 3_000),
            poll_interval_ms: reader.number("timing", "tick_ms", 200),
            join_retry_ms: reader.number("timing", "rank_delay_ms", 300),
            action_timeout_ms: reader.number("timing", "action_timeout_ms", 600_000),
            drain_delay_ms: reader.number("timing", "drain_ms", 1_000),
            max_appends_per_s: reader.number_u32("platform", "appends_per_s", 360),
            process_limits: reader.process_limits(),
            snapshot_interval_records: reader.number("snapshots", "records", 20_000),
            snapshot_interval_ms: reader.number("snapshots", "period_ms", 600_000),
            log_level: reader.log_level(),
            log_file: reader.text("log", "file").map(PathBuf::from),
        };
        if reader.errors.is_empty() {
            reader.check_open_access(&config);
        }
        if reader.errors.is_empty() {
            Ok(config)
        } else {
            Err(reader.errors)
        }
    }

    /// Returns the settings of the node's coordination.
    #[must_use]
    pub fn node_settings(&self) -> NodeSettings {
        let identity = NodeIdentity::new(&self.node_name, &self.zone);
        let mut settings =
            NodeSettings::new(identity, self.platform_address).with_peers(self.peers.clone());
        settings.stream.clone_from(&self.stream);
        settings.propose_timeout_ms = self.propose_timeout_ms;
        settings.poll_interval_ms = self.poll_interval_ms;
        settings.join_retry_ms = self.join_retry_ms;
        settings.action_timeout_ms = self.action_timeout_ms;
        settings.max_appends_per_s = self.max_appends_per_s;
        settings.snapshot_interval_records = self.snapshot_interval_records;
        settings.snapshot_interval_ms = self.snapshot_interval_ms;
        settings
    }
}

/// Reads values and collects every error.
struct Reader<'a> {
    file: &'a Path,
    ini: &'a Ini,
    errors: Vec<ConfigError>,
}

impl<'a> Reader<'a> {
    fn add_error(&mut self, section: &str, key: &str, reason: impl Into<String>) {
        self.errors.push(ConfigError::InvalidKey {
            file: self.file.into(),
            section: section.into(),
            key: key.into(),
            reason: reason.into(),
        });
    }

    fn check_keys(&mut self) {
        for (section, properties) in self.ini {
            let name = section.unwrap_or("");
            let known = KNOWN_KEYS.iter().find(|(known, _)| *known == name);
            if known.is_none() && (section.is_some() || !properties.is_empty()) {
                self.add_error(name, "", "no such section");
                continue;
            }
            let Some((_, keys)) = known else {
                continue;
            };
            let mut seen: Vec<&str> = Vec::new();
            for (key, _) in properties {
                if !NAMED_SECTIONS.contains(&name) && !keys.contains(&key) {
                    self.add_error(name, key, "no such key");
                }
                if seen.contains(&key) {
                    self.add_error(name, key, "is given twice");
                }
                seen.push(key);
            }
        }
    }

    fn text(&self, section: &str, key: &str) -> Option<&'a str> {
        self.ini.section(Some(section))?.get(key)
    }

    fn required(&mut self, section: &str, key: &str) -> String {
        match self.text(section, key) {
            Some(text) if !text.is_empty() => text.to_owned(),
            _ => {
                self.add_error(section, key, "is required");
                String::new()
            }
        }
    }

    fn address(&mut self, section: &str, key: &str) -> SocketAddr {
        let text = self.required(section, key);
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        if text.is_empty() {
            return unspecified;
        }
        SocketAddr::from_str(&text).unwrap_or_else(|_| {
            self.add_error(section, key, format!("must be ip:port, not {text}"));
            unspecified
        })
    }

    fn number_u32(&mut self, section: &str, key: &str, default: u32) -> u32 {
        let number = self.number(section, key, default.into());
        u32::try_from(number).unwrap_or_else(|_| {
            self.add_error(section, key, "is too large");
            default
        })
    }

    fn number(&mut self, section: &str, key: &str, default: u64) -> u64 {
        let Some(text) = self.text(section, key) else {
            return default;
        };
        match text.parse() {
            Ok(number) if number > 0 => number,
            _ => {
                let reason = format!("must be a whole number above 0, not {text}");
                self.add_error(section, key, reason);
                default
            }
        }
    }

    fn process_limits(&mut self) -> ProcessLimits {
        let default = ProcessLimits::default();
        ProcessLimits {
            memory_mb: self.number_u32("limits", "memory_mb", default.memory_mb),
            max_descriptors: self.number_u32("limits", "max_descriptors", default.max_descriptors),
            body_stall_timeout_ms: self.number_u32(
                "limits",
                "body_stall_ms",
                default.body_stall_timeout_ms,
            ),
        }
    }

    fn peers(&mut self) -> Vec<PeerAddress> {
        let Some(section) = self.ini.section(Some("peers")) else {
            return Vec::new();
        };
        let mut peers = Vec::new();
        for (name, text) in section {
            match text.parse() {
                Ok(address) => peers.push(PeerAddress {
                    node: name.into(),
                    address,
                }),
                Err(_) => self.add_error("peers", name, format!("must be ip:port, not {text}")),
            }
        }
        peers.sort();
        peers
    }

    fn access(&mut self) -> AccessControl {
        let Some(section) = self.ini.section(Some("tokens")) else {
            return AccessControl::default();
        };
        let mut tokens = Vec::new();
        for (name, text) in section {
            match parse_access_token(name, text) {
                Ok(token) => tokens.push(token),
                Err(reason) => self.add_error("tokens", name, reason),
            }
        }
        AccessControl::new(tokens)
    }

    /// Rejects a listener for operators that requires no token and is not on a loopback address.
    fn check_open_access(&mut self, config: &Config) {
        let is_open = self
            .ini
            .section(Some("tokens"))
            .is_none_or(ini::Properties::is_empty);
        if is_open && !config.operator_address.ip().is_loopback() {
            let reason = "without [tokens], operators may listen on loopback addresses only";
            self.add_error("listen", "operators", reason);
        }
    }

    fn log_level(&mut self) -> String {
        let level = self.text("log", "level").unwrap_or("info").to_owned();
        if !LOG_LEVELS.contains(&level.as_str()) {
            self.add_error(
                "log",
                "level",
                format!("must be one of {}", LOG_LEVELS.join(", ")),
            );
        }
        level
    }
}

/// Parses `role:token` or `role:@file`; errors never contain the token.
fn parse_access_token(name: &str, text: &str) -> Result<AccessToken, String> {
    let (role, token) = text
        .split_once(':')
        .ok_or("must be role:token or role:@file")?;
    let role =
        Role::from_text(role.trim()).ok_or("the role must be one of read, operate, administer")?;
    let token = match token.trim().strip_prefix('@') {
        Some(file) => fs::read_to_string(file).map_err(|error| format!("{file}: {error}"))?,
        None => token.into(),
    };
    let token = token.trim();
    if token.chars().count() < MIN_TOKEN_CHARS {
        return Err(format!("a token has at least {MIN_TOKEN_CHARS} characters"));
    }
    Ok(AccessToken::new(name, role, token))
}
