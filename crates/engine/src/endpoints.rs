//! One life of an endpoint: its leases and its room.

use {
    crate::{
        event::{EndpointKey, Now},
        job::{Resources, StepSpec, TaskRef},
        reports::EndpointEntry,
    },
    compact_str::CompactString,
    std::net::{IpAddr, Ipv4Addr, SocketAddr},
};

/// Share of an endpoint's clock that may be missing, in percent: its steady clock may be 2 % slow,
/// and one more is kept for what rounds and delays add.
const CLOCK_SLACK_PERCENT: u64 = 3;

/// Time added to the end of a lease before it counts as over, in milliseconds: the endpoint ends
/// its runs a moment after the deadline.
const LEASE_MARGIN_MS: u64 = 150;

/// Failed calls in a row after which an endpoint gets no more lease and nothing new.
pub const SUSPECT_AFTER_FAILED_CALLS: u32 = 2;

/// A reading of an endpoint's steady clock.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ClockReading {
    clock_ms: u64,
    at_ms: u64,
}

/// A run that takes room of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlacedRun {
    /// Task.
    pub task: TaskRef,
    /// Run.
    pub run: u32,
    /// Room taken.
    pub resources: Resources,
    /// Whether it serves users of its own.
    pub is_serving: bool,
    /// Whether it uses only what others leave.
    pub is_filler: bool,
    /// Whether it runs until it is stopped.
    pub is_long_running: bool,
    /// Bound of a serving task's tail in milliseconds; 0 for none.
    pub target_ms: u64,
    /// Tail of a serving task in milliseconds, as it was last told.
    pub tail_latency_ms: u64,
}

impl PlacedRun {
    /// Creates what a run of a step takes.
    #[must_use]
    pub fn new(task: TaskRef, run: u32, spec: &StepSpec) -> Self {
        Self {
            task,
            run,
            resources: spec.reserved_resources(),
            is_serving: spec.is_serving(),
            is_filler: spec.filler,
            is_long_running: spec.long_running,
            target_ms: spec.target_ms,
            tail_latency_ms: 0,
        }
    }
}

/// One life of an endpoint.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts about one life"
)]
pub struct Endpoint {
    /// Number of this life within one engine.
    pub key: EndpointKey,
    /// Id of this life.
    pub id: CompactString,
    /// Address for orders.
    pub(crate) address: SocketAddr,
    /// Pool.
    pub pool: CompactString,
    /// Availability zone.
    pub zone: CompactString,
    /// VM on which it runs; empty while it is not known.
    pub(crate) vm: CompactString,
    /// Room in all.
    pub capacity: Resources,
    /// Labels, the rack among them.
    pub labels: Vec<CompactString>,
    /// Whether it is leaving.
    pub is_draining: bool,
    /// Whether the registry lists it.
    pub is_registered: bool,
    /// Whether the registry has ever listed it to this owner.
    pub was_registered: bool,
    /// Whether this life is known to be over.
    pub has_ended: bool,
    /// When that became known, on the steady clock.
    pub ended_at_ms: u64,
    /// Whether it has told what runs on it, so that something new may start.
    pub is_reconciled: bool,
    /// Whether it is being emptied for a move or for maintenance.
    pub is_cordoned: bool,
    /// Place among the entries that this owner has seen being written; 0 for one that it found.
    pub registration_order: u64,
    /// Failed calls in a row.
    pub failed_calls: u32,
    /// Runs in a row that ended as failed there.
    pub failed_runs: u32,
    /// Until when nothing new starts there, on the steady clock.
    pub cooldown_until_ms: u64,
    /// Room taken by runs that may be under way.
    pub used: Resources,
    /// Part of it that long-running tasks take.
    pub used_long_running: Resources,
    /// Long-running tasks that may be under way.
    pub long_running_runs: usize,
    /// Those runs.
    pub placed_runs: Vec<PlacedRun>,
    /// Renewals sent.
    pub renewals: u64,
    /// Whether a renewal is under way.
    pub is_renewing: bool,
    /// When the next renewal is due, on the steady clock.
    pub renew_at_ms: u64,
    /// Last end taken into account.
    pub last_processed_end: u64,
    /// Last end whose effect is stored; only these are acknowledged.
    pub last_stored_end: u64,
    /// Last end that was acknowledged.
    pub last_acknowledged_end: u64,
    /// When it became empty, on the steady clock.
    pub empty_since_ms: u64,
    /// Stops sent for runs that nobody here knows, with their times.
    pub orphans: Vec<(TaskRef, u32, u64)>,
    clock: Option<ClockReading>,
    lease_end_clock_ms: u64,
    leases_end_at_ms: Option<u64>,
    /// Whether it was handed out to be changed since that was looked at last.
    pub(crate) is_changed: bool,
}

impl Endpoint {
    pub(crate) fn new(key: EndpointKey, id: CompactString, now_ms: u64) -> Self {
        Self {
            key,
            id,
            address: SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0),
            pool: CompactString::default(),
            zone: CompactString::default(),
            vm: CompactString::default(),
            capacity: Resources::default(),
            labels: Vec::new(),
            is_draining: false,
            is_registered: false,
            was_registered: false,
            has_ended: false,
            ended_at_ms: 0,
            is_reconciled: false,
            is_cordoned: false,
            registration_order: 0,
            failed_calls: 0,
            failed_runs: 0,
            cooldown_until_ms: 0,
            used: Resources::default(),
            used_long_running: Resources::default(),
            long_running_runs: 0,
            placed_runs: Vec::new(),
            renewals: 0,
            is_renewing: false,
            renew_at_ms: 0,
            last_processed_end: 0,
            last_stored_end: 0,
            last_acknowledged_end: 0,
            empty_since_ms: now_ms,
            orphans: Vec::new(),
            clock: None,
            lease_end_clock_ms: 0,
            leases_end_at_ms: None,
            is_changed: false,
        }
    }

    /// Returns the address for orders.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the VM on which it runs; empty while it is not known.
    #[must_use]
    pub fn vm(&self) -> &CompactString {
        &self.vm
    }

    /// Creates what stands for a life that has been forgotten.
    pub(crate) fn forgotten() -> Self {
        Self {
            has_ended: true,
            ..Self::new(EndpointKey::MAX, CompactString::default(), 0)
        }
    }

    /// Takes over what the registry says, but for where the endpoint is.
    pub(crate) fn update(&mut self, entry: &EndpointEntry) {
        self.pool.clone_from(&entry.pool);
        self.zone.clone_from(&entry.zone);
        self.capacity = entry.capacity;
        self.labels.clone_from(&entry.labels);
        self.is_draining = entry.is_draining;
        self.is_registered = true;
        self.was_registered = true;
    }

    /// Tells whether calls go to it.
    #[must_use]
    pub fn is_reachable(&self) -> bool {
        !self.has_ended && self.address.port() != 0
    }

    /// Tells whether its lease is to be renewed, or its report asked for, now.
    #[must_use]
    pub fn is_renewal_due(&self, now: Now) -> bool {
        let is_needed = !self.placed_runs.is_empty()
            || !self.orphans.is_empty()
            || self.last_stored_end > self.last_acknowledged_end
            || (!self.is_reconciled && self.is_registered);
        is_needed && !self.is_renewing && now.steady_ms >= self.renew_at_ms && self.is_reachable()
    }

    /// Tells whether something new may start there.
    #[must_use]
    pub fn takes_starts(&self, now_ms: u64) -> bool {
        self.is_registered
            && !self.has_ended
            && !self.is_draining
            && !self.is_cordoned
            && self.is_reconciled
            && self.failed_calls == 0
            && now_ms >= self.cooldown_until_ms
    }

    /// Returns the room that is left.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.capacity.saturating_sub(&self.used)
    }

    /// Tells whether the endpoint has a label.
    #[must_use]
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|known| known == label)
    }

    /// Takes in a reading of the endpoint's clock.
    pub fn read_clock(&mut self, clock_ms: u64, now: Now) {
        self.clock = Some(ClockReading {
            clock_ms,
            at_ms: now.steady_ms,
        });
        self.failed_calls = 0;
    }

    /// Grants a lease that begins now; returns its end on the endpoint's clock.
    #[must_use]
    pub fn grant_lease(&mut self, now: Now, lease_ms: u64) -> Option<u64> {
        let reading = self.clock?;
        let passed_ms = now.steady_ms.saturating_sub(reading.at_ms);
        let deadline_ms = reading.clock_ms + passed_ms + lease_ms;
        self.lease_end_clock_ms = self.lease_end_clock_ms.max(deadline_ms);
        Some(deadline_ms)
    }

    /// Reckons with leases that an earlier owner may have granted until now.
    pub fn inherit_leases(&mut self, lease_ms: u64) {
        if let Some(reading) = self.clock {
            let bound_ms = reading.clock_ms + lease_ms;
            self.lease_end_clock_ms = self.lease_end_clock_ms.max(bound_ms);
        }
        self.leases_end_at_ms = None;
    }

    /// Says when every lease is over at the latest for an endpoint whose clock is not known.
    pub fn bound_unknown_leases(&mut self, at_ms: u64) {
        if self.clock.is_none() {
            self.leases_end_at_ms = Some(at_ms);
        }
    }

    /// Tells whether every lease granted is over, so that nothing can run there any more.
    ///
    /// An order that is carried out late is covered too: it carries its own deadline, which is
    /// among those granted.
    #[must_use]
    pub fn is_lease_expired(&self, now: Now) -> bool {
        if let Some(at_ms) = self.leases_end_at_ms {
            return now.steady_ms > at_ms;
        }
        let Some(reading) = self.clock else {
            return false;
        };
        let left_ms = (self.lease_end_clock_ms + LEASE_MARGIN_MS).saturating_sub(reading.clock_ms);
        let wait_ms = left_ms * (100 + CLOCK_SLACK_PERCENT) / 100;
        now.steady_ms > reading.at_ms + wait_ms
    }

    /// Takes room for a run.
    pub fn add_run(&mut self, placed: PlacedRun) {
        self.used.add(&placed.resources);
        if placed.is_long_running {
            self.used_long_running.add(&placed.resources);
            self.long_running_runs += 1;
        }
        self.placed_runs.push(placed);
    }

    /// Gives a run's room back.
    pub fn remove_run(&mut self, task: &TaskRef, run: u32, now_ms: u64) {
        let index = self
            .placed_runs
            .iter()
            .position(|placed| placed.task == *task && placed.run == run);
        if let Some(index) = index {
            let placed = self.placed_runs.swap_remove(index);
            self.used = self.used.saturating_sub(&placed.resources);
            if placed.is_long_running {
                self.used_long_running = self.used_long_running.saturating_sub(&placed.resources);
                self.long_running_runs -= 1;
            }
            if self.placed_runs.is_empty() {
                self.empty_since_ms = now_ms;
            }
        }
    }
}
