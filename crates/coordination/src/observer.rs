//! Finding out about VMs: the platform's list and probes of endpoints.
//!
//! Each VM is probed by one node. VMs in transition are probed at every tick and the others at a
//! rate that grows no further with the fleet, and the list is fetched by one node in turn, so
//! that what a node spends on it is bounded.

use {
    crate::node::Node,
    log::{debug, info},
    lynxwheel_decisions::rendezvous_rank,
    lynxwheel_protocol::{
        MAX_REPORTS_PER_RECORD, PoolName, RecordBody, VmEntry, VmList, VmListState, VmName,
        VmPhase, VmReport,
    },
    lynxwheel_state::{FleetState, VmState},
    lynxwheel_transport::Client,
    serde::Deserialize,
    std::{net::SocketAddr, time::Duration},
    tokio::task::JoinSet,
};

/// Time that a probe may take, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 1_000;

/// Time that the VM list may take, in milliseconds.
const LIST_TIMEOUT_MS: u64 = 2_000;

/// Shortest time between two fetches of the list by all nodes together, in milliseconds.
const LIST_MS: u64 = 500;

/// Time added to it for each VM, in milliseconds: the list grows with the fleet.
const LIST_MS_PER_VM: u64 = 10;

/// Shortest time between two probes of a VM that is not in transition, in milliseconds.
const QUIET_MS: u64 = 500;

/// Time added to it for each VM that the node probes, in milliseconds: 16 probes a second at
/// most.
const QUIET_MS_PER_VM: u64 = 100;

/// Endpoint's own word on its health.
#[derive(Clone, Debug, Deserialize)]
struct Health {
    vm: String,
    incarnation: u64,
    leaving: bool,
}

/// When a VM was probed last.
#[derive(Clone, Debug)]
struct Probed {
    vm: VmName,
    at_ms: u64,
}

/// Answer to a probe, or its absence.
#[derive(Debug)]
struct Finding {
    vm: VmName,
    probe_ms: u64,
    health: Option<Health>,
}

/// Observes VMs for as long as it is polled.
pub(crate) async fn observe(node: Node) {
    let platform = Client::new(node.settings().platform, 2);
    let mut probed = Vec::new();
    let mut list_turn = 0;
    loop {
        if let Some(list) = fetch_in_turn(&node, &platform, &mut list_turn).await {
            report_list(&node, list).await;
        }
        let due = due_probes(&node, &mut probed);
        report_probes(&node, due).await;
        tokio::time::sleep(Duration::from_millis(node.settings().poll_interval_ms)).await;
    }
}

/// Fetches the list when it is this node's turn.
async fn fetch_in_turn(node: &Node, platform: &Client, last_turn: &mut u64) -> Option<VmList> {
    let interval_ms = LIST_MS + LIST_MS_PER_VM * node.state().vms().len() as u64;
    let turn = node.clock().now_ms() / interval_ms;
    if turn == *last_turn || !is_first(node, &format!("vm-list/{turn}")) {
        return None;
    }
    *last_turn = turn;
    let limit = Duration::from_millis(LIST_TIMEOUT_MS);
    match platform.fetch::<VmList>("/vms", limit).await {
        Ok(list) => Some(list),
        Err(error) => {
            debug!(event = "vm_list_failed"; "{error}");
            None
        }
    }
}

fn is_first(node: &Node, subject: &str) -> bool {
    rendezvous_rank(subject, &node.settings().identity.node, &node.live_nodes()) == 0
}

/// Reports what the list says of VMs that go, and probes those in another life or place.
///
/// The list lags, and so may this node's state after a pause: a report by the list alone would
/// take a VM out of service that another node has found live in its new life. So a new life counts
/// only when the VM itself shows it.
async fn report_list(node: &Node, list: VmList) {
    let state = node.state();
    let mut probes = JoinSet::new();
    let mut reports = Vec::new();
    for entry in list.vms {
        let Some(vm) = state.vms().get(entry.name.as_str()) else {
            continue;
        };
        if entry.incarnation == vm.incarnation && entry.state == VmListState::Leaving {
            let seen_ms = list.made_ms.max(vm.evidence_ms);
            reports.push(entry_report(entry, VmPhase::Leaving, seen_ms));
        } else if is_elsewhere(vm, &entry) {
            probes.spawn(probe_entry(node.clone(), entry));
        }
    }
    while let Some(found) = probes.join_next().await {
        if let Ok(Some(report)) = found {
            reports.push(report);
        }
    }
    reports.retain(|report| {
        let vm = state.vms().get(report.vm.as_str());
        vm.is_some_and(|vm| is_news(vm, report))
    });
    propose(node, &mut reports).await;
}

fn is_elsewhere(vm: &VmState, entry: &VmEntry) -> bool {
    let is_same = vm.address == entry.address
        && vm.zone == entry.zone
        && vm.rack == entry.rack
        && vm.capacity == entry.capacity
        && vm.incarnation == entry.incarnation;
    !is_same && entry.incarnation >= vm.incarnation
}

async fn probe_entry(node: Node, entry: VmEntry) -> Option<VmReport> {
    let address = entry.address.parse::<SocketAddr>().ok()?;
    let client = node.endpoint_clients().get(address);
    let probe_ms = node.clock().now_ms();
    let health = probe(Some(&client), &entry.name).await?;
    let phase = if health.leaving {
        VmPhase::Leaving
    } else {
        VmPhase::Live
    };
    let mut report = entry_report(entry, phase, probe_ms);
    report.incarnation = health.incarnation;
    Some(report)
}

fn entry_report(entry: VmEntry, phase: VmPhase, evidence_ms: u64) -> VmReport {
    VmReport {
        vm: entry.name,
        incarnation: entry.incarnation,
        phase,
        evidence_ms,
        zone: entry.zone,
        rack: entry.rack,
        address: entry.address,
        capacity: entry.capacity,
    }
}

/// Returns the VMs of this node whose next probe is due, and notes that they are probed.
fn due_probes(node: &Node, probed: &mut Vec<Probed>) -> Vec<VmState> {
    let state = node.state();
    let now_ms = node.clock().now_ms();
    let own: Vec<&VmState> = state
        .vms()
        .iter()
        .filter(|vm| !vm.address.is_empty() && is_first(node, vm.name.as_str()))
        .collect();
    let quiet_ms = QUIET_MS + QUIET_MS_PER_VM * own.len() as u64;
    probed.retain(|row| state.vms().get(row.vm.as_str()).is_some());
    let mut due = Vec::new();
    for vm in own {
        let is_quiet = vm.phase == VmPhase::Live && vm.claim.is_none();
        let wait_ms = if is_quiet { quiet_ms } else { 0 };
        let row = probed.binary_search_by(|row| row.vm.cmp(&vm.name));
        if row.is_ok_and(|row| now_ms < probed[row].at_ms + wait_ms) {
            continue;
        }
        match row {
            Ok(row) => probed[row].at_ms = now_ms,
            Err(row) => {
                let vm = vm.name.clone();
                probed.insert(row, Probed { vm, at_ms: now_ms });
            }
        }
        due.push(vm.clone());
    }
    due
}

/// Probes VMs and reports what is news; tells whether anything was.
async fn report_probes(node: &Node, vms: Vec<VmState>) -> bool {
    let mut probes = JoinSet::new();
    for vm in vms {
        let clients = node.endpoint_clients().clone();
        let clock = node.clock().clone();
        probes.spawn(async move {
            let client = vm.address.parse::<SocketAddr>();
            let client = client.map(|address| clients.get(address)).ok();
            let mut probe_ms = clock.now_ms();
            let mut health = probe(client.as_ref(), &vm.name).await;
            if health.is_none() {
                // A node that was paused finds its probes timed out when it wakes, though the
                // endpoints answered. Without a second look it would report sound VMs as failed.
                probe_ms = clock.now_ms();
                health = probe(client.as_ref(), &vm.name).await;
            }
            Finding {
                vm: vm.name,
                probe_ms,
                health,
            }
        });
    }
    let mut reports = Vec::new();
    while let Some(found) = probes.join_next().await {
        if let Ok(finding) = found {
            reports.extend(probe_report(&node.state(), &finding));
        }
    }
    let is_news = !reports.is_empty();
    propose(node, &mut reports).await;
    is_news
}

/// Asks the available VMs of a pool right before a planned step; tells whether all of them are
/// there.
///
/// A VM may have failed since its last probe. Without a fresh look a planned step would take the
/// pool below its floor for as long as the failure is not noticed.
pub(crate) async fn confirm_pool(node: &Node, pool: &PoolName) -> bool {
    let state = node.state();
    let available: Vec<VmState> = state
        .vms()
        .iter()
        .filter(|vm| vm.pool == *pool && vm.is_available())
        .cloned()
        .collect();
    !report_probes(node, available).await
}

async fn propose(node: &Node, reports: &mut [VmReport]) {
    reports.sort();
    // After a zone's failure the reports of a whole fleet would exceed a record's bound and be
    // refused again and again.
    for reports in reports.chunks(MAX_REPORTS_PER_RECORD) {
        info!(event = "vm_reports", count = reports.len(), offset = node.state().offset(); "");
        let reports = reports.to_vec();
        node.proposer()
            .propose_and_confirm(RecordBody::Report { reports })
            .await;
    }
}

async fn probe(client: Option<&Client>, vm: &VmName) -> Option<Health> {
    let limit = Duration::from_millis(PROBE_TIMEOUT_MS);
    let answer = client?.get("/healthz", limit).await.ok()?;
    let health: Health = serde_json::from_slice(&answer.body).ok()?;
    (health.vm == vm.as_str()).then_some(health)
}

/// Returns what to report of a probed VM, if it is news.
fn probe_report(state: &FleetState, finding: &Finding) -> Option<VmReport> {
    let vm = state.vms().get(finding.vm.as_str())?;
    // A VM that announced that it goes may still answer well; only its next life is live again.
    let is_leaving = |health: &Health| {
        health.leaving || vm.phase == VmPhase::Leaving && health.incarnation == vm.incarnation
    };
    let phase = match &finding.health {
        None => VmPhase::Failed,
        Some(health) if is_leaving(health) => VmPhase::Leaving,
        Some(_) => VmPhase::Live,
    };
    let report = VmReport {
        vm: vm.name.clone(),
        incarnation: finding
            .health
            .as_ref()
            .map_or(vm.incarnation, |health| health.incarnation),
        phase,
        evidence_ms: finding.probe_ms,
        zone: vm.zone.clone(),
        rack: vm.rack.clone(),
        address: vm.address.clone(),
        capacity: vm.capacity,
    };
    is_news(vm, &report).then_some(report)
}

fn is_news(vm: &VmState, report: &VmReport) -> bool {
    let is_same = vm.incarnation == report.incarnation
        && vm.phase == report.phase
        && vm.zone == report.zone
        && vm.rack == report.rack
        && vm.address == report.address
        && vm.capacity == report.capacity;
    !is_same && report.incarnation >= vm.incarnation && report.evidence_ms >= vm.evidence_ms
}
