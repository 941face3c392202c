//! Observes VMs through the platform's list and health checks of endpoints.
//!
//! Each VM is probed by one node. VMs in transition are probed in every tick, the others at a total
//! rate that does not grow with the fleet. The list is fetched by one node at a time. This bounds
//! the load on a node.

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

/// Timeout of a probe, in milliseconds.
const PROBE_TIMEOUT_MS: u64 = 1_000;

/// Timeout of a request for the VM list, in milliseconds.
const LIST_TIMEOUT_MS: u64 = 2_000;

/// Minimum interval between two fetches of the list by all nodes together, in milliseconds.
const MIN_LIST_INTERVAL_MS: u64 = 500;

/// Addition to the interval per VM of the fleet, in milliseconds.
const LIST_INTERVAL_MS_PER_VM: u64 = 10;

/// Minimum interval between two probes of a VM that is not in transition, in milliseconds.
const MIN_STABLE_PROBE_INTERVAL_MS: u64 = 500;

/// Addition to the interval per VM that the node probes, in milliseconds; limits the node to 10
/// such probes a second.
const STABLE_PROBE_INTERVAL_MS_PER_VM: u64 = 100;

/// Response of an endpoint's health check.
#[derive(Clone, Debug, Deserialize)]
struct Health {
    vm: String,
    incarnation: u64,
    leaving: bool,
}

/// Time of the last probe of a VM.
#[derive(Clone, Debug)]
struct LastProbe {
    vm: VmName,
    probed_ms: u64,
}

/// Result of a probe; `health` is `None` if the endpoint did not respond.
#[derive(Debug)]
struct ProbeResult {
    vm: VmName,
    probe_ms: u64,
    health: Option<Health>,
}

/// Observes VMs for as long as it is polled.
pub(crate) async fn observe(node: Node) {
    let platform = Client::new(node.settings().platform, 2);
    let mut last_probes = Vec::new();
    let mut last_list_period = 0;
    loop {
        if let Some(list) = fetch_list_if_due(&node, &platform, &mut last_list_period).await {
            report_list(&node, list).await;
        }
        let due = due_probes(&node, &mut last_probes);
        report_probes(&node, due).await;
        tokio::time::sleep(Duration::from_millis(node.settings().poll_interval_ms)).await;
    }
}

/// Fetches the list once per period if this node ranks first for the period.
async fn fetch_list_if_due(
    node: &Node,
    platform: &Client,
    last_period: &mut u64,
) -> Option<VmList> {
    let interval_ms =
        MIN_LIST_INTERVAL_MS + LIST_INTERVAL_MS_PER_VM * node.state().vms().len() as u64;
    let period = node.clock().now_ms() / interval_ms;
    if period == *last_period || !has_first_rank(node, &format!("vm-list/{period}")) {
        return None;
    }
    *last_period = period;
    let timeout = Duration::from_millis(LIST_TIMEOUT_MS);
    match platform.get_message::<VmList>("/vms", timeout).await {
        Ok(list) => Some(list),
        Err(error) => {
            debug!(event = "vm_list_failed"; "{error}");
            None
        }
    }
}

fn has_first_rank(node: &Node, subject: &str) -> bool {
    rendezvous_rank(subject, &node.settings().identity.node, &node.live_nodes()) == 0
}

/// Reports VMs that are leaving according to the list, and probes those whose entry has changed.
///
/// The list may be stale, and so may this node's state after a pause. Reporting a new incarnation
/// from the list alone could take a VM out of service that another node has found live, so it is
/// reported only after the VM itself has confirmed it.
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
            reports.push(report_from_entry(entry, VmPhase::Leaving, seen_ms));
        } else if has_changed(vm, &entry) {
            probes.spawn(probe_list_entry(node.clone(), entry));
        }
    }
    while let Some(result) = probes.join_next().await {
        if let Ok(Some(report)) = result {
            reports.push(report);
        }
    }
    reports.retain(|report| {
        let vm = state.vms().get(report.vm.as_str());
        vm.is_some_and(|vm| is_change(vm, report))
    });
    propose_reports(node, &mut reports).await;
}

fn has_changed(vm: &VmState, entry: &VmEntry) -> bool {
    let is_same = vm.address == entry.address
        && vm.zone == entry.zone
        && vm.rack == entry.rack
        && vm.capacity == entry.capacity
        && vm.incarnation == entry.incarnation;
    !is_same && entry.incarnation >= vm.incarnation
}

async fn probe_list_entry(node: Node, entry: VmEntry) -> Option<VmReport> {
    let address = entry.address.parse::<SocketAddr>().ok()?;
    let client = node.endpoint_clients().get(address);
    let probe_ms = node.clock().now_ms();
    let health = probe(Some(&client), &entry.name).await?;
    let phase = if health.leaving {
        VmPhase::Leaving
    } else {
        VmPhase::Live
    };
    let mut report = report_from_entry(entry, phase, probe_ms);
    report.incarnation = health.incarnation;
    Some(report)
}

fn report_from_entry(entry: VmEntry, phase: VmPhase, evidence_ms: u64) -> VmReport {
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

/// Returns the VMs assigned to this node whose next probe is due, and records the probes.
fn due_probes(node: &Node, last_probes: &mut Vec<LastProbe>) -> Vec<VmState> {
    let state = node.state();
    let now_ms = node.clock().now_ms();
    let own_vms: Vec<&VmState> = state
        .vms()
        .iter()
        .filter(|vm| !vm.address.is_empty() && has_first_rank(node, vm.name.as_str()))
        .collect();
    let stable_interval_ms =
        MIN_STABLE_PROBE_INTERVAL_MS + STABLE_PROBE_INTERVAL_MS_PER_VM * own_vms.len() as u64;
    last_probes.retain(|last| state.vms().get(last.vm.as_str()).is_some());
    let mut due = Vec::new();
    for vm in own_vms {
        let is_stable = vm.phase == VmPhase::Live && vm.claim.is_none();
        let wait_ms = if is_stable { stable_interval_ms } else { 0 };
        let index = last_probes.binary_search_by(|last| last.vm.cmp(&vm.name));
        if index.is_ok_and(|index| now_ms < last_probes[index].probed_ms + wait_ms) {
            continue;
        }
        match index {
            Ok(index) => last_probes[index].probed_ms = now_ms,
            Err(index) => {
                let vm = vm.name.clone();
                last_probes.insert(
                    index,
                    LastProbe {
                        vm,
                        probed_ms: now_ms,
                    },
                );
            }
        }
        due.push(vm.clone());
    }
    due
}

/// Probes VMs and reports changes; returns whether there were any.
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
                // When a paused node resumes, its probes have timed out although the endpoints
                // responded. The second probe keeps it from reporting healthy VMs as failed.
                probe_ms = clock.now_ms();
                health = probe(client.as_ref(), &vm.name).await;
            }
            ProbeResult {
                vm: vm.name,
                probe_ms,
                health,
            }
        });
    }
    let mut reports = Vec::new();
    while let Some(result) = probes.join_next().await {
        if let Ok(result) = result {
            reports.extend(report_from_probe(&node.state(), &result));
        }
    }
    let has_changes = !reports.is_empty();
    propose_reports(node, &mut reports).await;
    has_changes
}

/// Probes the available VMs of a pool before a planned disruption; returns whether all of them are
/// unchanged.
///
/// A VM may have failed since its last probe, and the disruption would then take the pool below
/// its availability floor.
pub(crate) async fn verify_pool(node: &Node, pool: &PoolName) -> bool {
    let state = node.state();
    let available: Vec<VmState> = state
        .vms()
        .iter()
        .filter(|vm| vm.pool == *pool && vm.is_available())
        .cloned()
        .collect();
    !report_probes(node, available).await
}

async fn propose_reports(node: &Node, reports: &mut [VmReport]) {
    reports.sort();
    // After the failure of an availability zone all reports in one record would exceed its size
    // limit.
    for reports in reports.chunks(MAX_REPORTS_PER_RECORD) {
        info!(event = "vm_reports", count = reports.len(), offset = node.state().offset();
            "reporting changes of VMs");
        let reports = reports.to_vec();
        node.proposer()
            .propose_and_confirm(RecordBody::Report { reports })
            .await;
    }
}

async fn probe(client: Option<&Client>, vm: &VmName) -> Option<Health> {
    let timeout = Duration::from_millis(PROBE_TIMEOUT_MS);
    let response = client?.get("/healthz", timeout).await.ok()?;
    let health: Health = serde_json::from_slice(&response.body).ok()?;
    (health.vm == vm.as_str()).then_some(health)
}

/// Returns the report on a probed VM, if it changes anything.
fn report_from_probe(state: &FleetState, result: &ProbeResult) -> Option<VmReport> {
    let vm = state.vms().get(result.vm.as_str())?;
    // A leaving VM may still report itself healthy; only its next incarnation is live again.
    let is_leaving = |health: &Health| {
        health.leaving || vm.phase == VmPhase::Leaving && health.incarnation == vm.incarnation
    };
    let phase = match &result.health {
        None => VmPhase::Failed,
        Some(health) if is_leaving(health) => VmPhase::Leaving,
        Some(_) => VmPhase::Live,
    };
    let report = VmReport {
        vm: vm.name.clone(),
        incarnation: result
            .health
            .as_ref()
            .map_or(vm.incarnation, |health| health.incarnation),
        phase,
        evidence_ms: result.probe_ms,
        zone: vm.zone.clone(),
        rack: vm.rack.clone(),
        address: vm.address.clone(),
        capacity: vm.capacity,
    };
    is_change(vm, &report).then_some(report)
}

fn is_change(vm: &VmState, report: &VmReport) -> bool {
    let is_same = vm.incarnation == report.incarnation
        && vm.phase == report.phase
        && vm.zone == report.zone
        && vm.rack == report.rack
        && vm.address == report.address
        && vm.capacity == report.capacity;
    !is_same && report.incarnation >= vm.incarnation && report.evidence_ms >= vm.evidence_ms
}
