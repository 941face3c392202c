//! A fleet of processes whose nodes reach the platform and each other through proxies.

use {
    crate::{
        checker::{AttemptRecord, check, is_attempt_of},
        common::{
            TestNode, TestPlatform, WAIT_TIMEOUT, declare_maps, free_ports, start_node_with_peers,
        },
    },
    http::{Method, StatusCode},
    lynxwheel::audit,
    lynxwheel_coordination::Clock,
    lynxwheel_protocol::{
        LogEntry, ReadResponse, Resource, VmList, WaveAction, WaveGoal, WaveSpec, decode_record,
    },
    lynxwheel_standin::{Faults, Proxy, RunEntry},
    lynxwheel_state::FleetState,
    lynxwheel_transport::{Client, ClientRequest},
    std::{net::SocketAddr, time::Duration},
    tokio::time::Instant,
};

/// Number of VMs of the pool.
pub const VMS: u32 = 6;

/// Minimum number of available VMs; with a lower floor, the limit per availability zone alone would
/// keep enough VMs available.
const FLOOR: u32 = 5;

/// Maximum number of entries of a read.
const MAX_READ: usize = 4_096;

/// A platform, proxies and nodes.
pub struct Fleet {
    platform: TestPlatform,
    /// Proxy from each node to the platform.
    pub proxies: Vec<Proxy>,
    /// Proxy from the other nodes to each node.
    pub peer_proxies: Vec<Proxy>,
    pub nodes: Vec<TestNode>,
    ports: Vec<u16>,
    directory: &'static str,
}

impl Fleet {
    /// Starts `count` nodes and declares the pool and the service `maps`.
    pub async fn start(count: usize, directory: &'static str) -> Self {
        let platform = TestPlatform::start(VMS);
        let ports = free_ports(count * 3);
        let mut proxies = Vec::new();
        let mut peer_proxies = Vec::new();
        for own in ports.chunks(3) {
            proxies.push(start_proxy(platform.client.peer()).await);
            peer_proxies.push(start_proxy(SocketAddr::from(([127, 0, 0, 1], own[2]))).await);
        }
        let peers: Vec<SocketAddr> = peer_proxies.iter().map(Proxy::address).collect();
        let nodes: Vec<TestNode> = (0..count)
            .map(|number| {
                let platform = proxies[number].address();
                start_node_with_peers(platform, &ports, &peers, number, directory)
            })
            .collect();
        declare_maps(&nodes[0], VMS, FLOOR).await;
        for node in &nodes {
            for vm in 0..VMS {
                node.wait_ready(&format!("vm/vm-{vm}")).await;
            }
        }
        Self {
            platform,
            proxies,
            peer_proxies,
            nodes,
            ports,
            directory,
        }
    }

    /// Returns clients of the nodes' listeners for callers.
    pub fn callers(&self) -> Vec<Client> {
        self.nodes.iter().map(|node| node.callers.clone()).collect()
    }

    /// Kills a node without a graceful shutdown.
    pub fn kill(&mut self, number: usize) {
        self.nodes[number].process.signal("KILL");
    }

    /// Shuts a node down gracefully and waits until it exits.
    pub async fn stop(&mut self, number: usize) {
        self.nodes[number].process.signal("TERM");
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !self.nodes[number].process.has_ended() {
            assert!(Instant::now() < deadline, "the node did not end");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Restarts a node that exited, and waits until it is ready.
    pub async fn restart(&mut self, number: usize) {
        let platform = self.proxies[number].address();
        let peers: Vec<SocketAddr> = self.peer_proxies.iter().map(Proxy::address).collect();
        let node = start_node_with_peers(platform, &self.ports, &peers, number, self.directory);
        node.wait_until_ready().await;
        self.nodes[number] = node;
    }

    /// Sets the platform's faults.
    pub async fn set_faults(&self, faults: &Faults) {
        let body = serde_json::to_vec(faults).expect("encode");
        let request = ClientRequest::new(Method::PUT, "/faults").with_body(body);
        let response = self.platform.client.call(&request, WAIT_TIMEOUT).await;
        assert_eq!(response.expect("response").status, StatusCode::OK);
    }

    /// Starts a wave over the pool.
    pub async fn start_wave(&self, name: &str) {
        let wave = WaveSpec {
            name: name.into(),
            pools: vec!["maps".into()],
            action: WaveAction::Reboot,
            goal: WaveGoal::Run,
            due_before_ms: Clock::system().now_ms(),
            deadline_ms: 0,
        };
        self.nodes[0].declare(&Resource::Wave(wave)).await;
    }

    /// Waits until a wave has maintained at least `count` VMs, according to the last node.
    pub async fn wait_done(&self, wave: &str, count: u64) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        let node = self.nodes.last().expect("nodes");
        loop {
            let view = node.get(&format!("wave/{wave}")).await;
            if view["status"]["done"].as_u64() >= Some(count) {
                return;
            }
            assert!(Instant::now() < deadline, "the wave does not go on: {view}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the runs of the given requests.
    pub async fn runs_of(&self, records: &[&AttemptRecord]) -> Vec<RunEntry> {
        let is_selected = |run: &RunEntry| {
            records
                .iter()
                .any(|record| is_attempt_of(&run.request_id, &record.request))
        };
        self.runs().await.into_iter().filter(is_selected).collect()
    }

    async fn runs(&self) -> Vec<RunEntry> {
        let response = self.platform.client.get("/runs", WAIT_TIMEOUT).await;
        serde_json::from_slice(&response.expect("runs").body).expect("JSON")
    }

    /// Asserts that the outcomes match the runs and that the log shows no violated budget.
    pub async fn assert_guarantees(&self, records: &[AttemptRecord]) {
        let violations = check(&self.runs().await, records);
        assert!(violations.is_empty(), "{violations:#?}");
        assert!(!records.is_empty());
        for pool in audit(&self.log().await) {
            let lowest = pool.lowest_available;
            assert!(lowest >= FLOOR, "pool {} had {lowest}", pool.pool);
        }
    }

    /// Waits until a VM is claimed and returns the number of the claiming node.
    pub async fn wait_holder(&self) -> usize {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let mut state = FleetState::new();
            for entry in self.log().await {
                let record = decode_record(&entry.bytes).expect("a record");
                state.apply(entry.offset, &record);
            }
            let holder = state.vms().iter().find_map(|vm| vm.claim.as_ref());
            if let Some(claim) = holder {
                let number = claim.holder.as_str().trim_start_matches("node-");
                return number.parse().expect("a node's number");
            }
            assert!(Instant::now() < deadline, "no VM is claimed");
        }
    }

    /// Asserts that the platform restarted each VM exactly once.
    pub async fn assert_restarted_once(&self) {
        let list: VmList = self
            .platform
            .client
            .get_message("/vms", WAIT_TIMEOUT)
            .await
            .expect("the VM list");
        for vm in list.vms {
            assert_eq!(vm.incarnation, 2, "incarnation of {}", vm.name);
        }
    }

    /// Returns the whole log.
    async fn log(&self) -> Vec<LogEntry> {
        let mut entries: Vec<LogEntry> = Vec::new();
        loop {
            let from = entries.last().map_or(1, |entry| entry.offset + 1);
            let path = format!("/streams/fleet?from={from}&max={MAX_READ}");
            let response: ReadResponse = self
                .platform
                .client
                .get_message(&path, WAIT_TIMEOUT)
                .await
                .expect("the log");
            if response.entries.is_empty() {
                return entries;
            }
            entries.extend(response.entries);
        }
    }
}

async fn start_proxy(target: SocketAddr) -> Proxy {
    Proxy::start(target).await.expect("proxy")
}
