//! A platform and nodes within one process, for the development modes.

use {
    crate::{config::Config, daemon::Daemon},
    http::{Method, StatusCode},
    lynxwheel_coordination::PeerAddress,
    lynxwheel_protocol::{LogEntry, Resource},
    lynxwheel_standin::{PlatformServer, VmTemplate},
    lynxwheel_state::FleetState,
    lynxwheel_transport::{Client, ClientRequest, ProcessLimits},
    std::{
        io,
        net::{Ipv4Addr, SocketAddr, TcpListener},
        sync::Arc,
        time::Duration,
    },
    tokio::time::Instant,
};

/// Number of nodes.
const NODES: u32 = 2;

/// Reboot time of a VM, in milliseconds.
const REBOOT_MS: u64 = 300;

/// Time limit for each condition that is waited for.
const WAIT_TIMEOUT: Duration = Duration::from_mins(2);

/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time limit for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A platform and its nodes within this process.
pub(crate) struct Fleet {
    pub(crate) platform: PlatformServer,
    pub(crate) daemons: Vec<Daemon>,
}

impl Fleet {
    /// Starts a platform of `vms` VMs with nodes, and waits until the nodes are current.
    pub(crate) async fn start(vms: u32) -> Result<Self, String> {
        let templates: Vec<VmTemplate> = (0..vms).map(VmTemplate::numbered).collect();
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = PlatformServer::start(any_port, &templates, REBOOT_MS)
            .await
            .map_err(|error| error.to_string())?;
        let nodes = find_peer_addresses().map_err(|error| error.to_string())?;
        let mut daemons = Vec::new();
        for number in 1..=NODES {
            let config = build_config(number, platform.address(), &nodes);
            daemons.push(
                Daemon::start(&config)
                    .await
                    .map_err(|error| error.to_string())?,
            );
        }
        let fleet = Self { platform, daemons };
        fleet.wait_until_current().await?;
        Ok(fleet)
    }

    async fn wait_until_current(&self) -> Result<(), String> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !self.daemons.iter().all(|daemon| daemon.node().is_current()) {
            if Instant::now() > deadline {
                return Err("timed out waiting until the nodes are current".into());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns the first node's state.
    pub(crate) fn state(&self) -> Arc<FleetState> {
        self.daemons[0].node().state()
    }

    /// Declares resources through the first node's API, in order.
    pub(crate) async fn declare(&self, resources: &[Resource]) -> Result<(), String> {
        let operators = Client::new(self.daemons[0].operator_address(), 4);
        for resource in resources {
            let body = serde_json::to_vec(resource).map_err(|error| error.to_string())?;
            let path = format!("/v1/{}/{}", resource.kind(), resource.name());
            let request = ClientRequest::new(Method::PUT, path).with_body(body);
            let response = operators
                .call(&request, CALL_TIMEOUT)
                .await
                .map_err(|error| error.to_string())?;
            if response.status != StatusCode::OK {
                let text = String::from_utf8_lossy(&response.body);
                return Err(format!("{}: {text}", resource.reference()));
            }
        }
        Ok(())
    }

    /// Waits until the first node's state fulfils a condition, which errors call `what`.
    pub(crate) async fn wait_until(
        &self,
        what: &str,
        condition: impl Fn(&FleetState) -> bool,
    ) -> Result<(), String> {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !condition(&self.state()) {
            if Instant::now() > deadline {
                return Err(format!("timed out waiting until {what}"));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Returns all log entries of the fleet's stream.
    pub(crate) fn entries(&self) -> Vec<LogEntry> {
        self.platform
            .with_platform(|platform| platform.log.read("fleet", 1, usize::MAX).entries)
    }
}

/// Finds a free address for each node's peer listener, which is part of the other nodes' settings.
fn find_peer_addresses() -> io::Result<Vec<PeerAddress>> {
    let listeners: Vec<TcpListener> = (0..NODES)
        .map(|_| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)))
        .collect::<io::Result<_>>()?;
    (1..)
        .zip(&listeners)
        .map(|(number, listener)| {
            Ok(PeerAddress {
                node: node_name(number).as_str().into(),
                address: listener.local_addr()?,
            })
        })
        .collect()
}

fn build_config(number: u32, platform: SocketAddr, nodes: &[PeerAddress]) -> Config {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let name = node_name(number);
    let (own, peers): (Vec<PeerAddress>, Vec<PeerAddress>) = nodes
        .iter()
        .cloned()
        .partition(|peer| peer.node.as_str() == name);
    Config {
        node_name: node_name(number),
        zone: format!("zone-{number}"),
        caller_address: any_port,
        operator_address: any_port,
        peer_listen_address: own.first().map_or(any_port, |own| own.address),
        access: lynxwheel_api::AccessControl::default(),
        platform_address: platform,
        stream: "fleet".into(),
        peers,
        propose_timeout_ms: 3_000,
        poll_interval_ms: 50,
        join_retry_ms: 100,
        action_timeout_ms: 60_000,
        drain_delay_ms: 100,
        max_appends_per_s: 360,
        process_limits: ProcessLimits::default(),
        snapshot_interval_records: 20_000,
        snapshot_interval_ms: 600_000,
        log_level: "error".into(),
        log_file: None,
    }
}

fn node_name(number: u32) -> String {
    format!("node-{number}")
}
