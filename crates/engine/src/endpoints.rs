//! One incarnation of an endpoint: its leases and its resources.

use {
    crate::{
        crashes::Suspicion,
        event::{EndpointKey, Now},
        job::{Resources, StepSpec, TaskRef},
        reports::EndpointEntry,
    },
    compact_str::CompactString,
    std::net::{IpAddr, Ipv4Addr, SocketAddr},
};

/// Allowance for slow endpoint clocks, in percent: up to 2 % of drift and 1 % for rounding and
/// delays.
const CLOCK_SLACK_PERCENT: u64 = 3;

/// Age of the reading of an endpoint's clock at which another one is requested, in milliseconds. Leases
/// are shorter by the allowance for the time since the reading.
const MAX_READING_AGE_MS: u64 = 30_000;

/// Time after the end of a lease until it counts as expired, in milliseconds. Endpoints stop their
/// runs shortly after the deadline.
pub(crate) const LEASE_MARGIN_MS: u64 = 150;

/// Consecutive failed calls after which an endpoint gets no new leases or runs.
pub const SUSPECT_AFTER_FAILED_CALLS: u32 = 2;

/// A reading of an endpoint's monotonic clock.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ClockReading {
    clock_ms: u64,
    at_ms: u64,
}

/// A run that reserves resources on an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PlacedRun {
    /// Task.
    pub task: TaskRef,
    /// Run number.
    pub run: u32,
    /// Reserved resources; `None` if unknown.
    pub resources: Option<Resources>,
    /// Whether the task serves requests under a latency target.
    pub is_serving: bool,
    /// Whether the task uses only idle processor time.
    pub is_filler: bool,
    /// Whether the task runs until it is stopped.
    pub is_long_running: bool,
    /// Whether the task may crash the endpoint, and whether other runs may start beside it.
    pub(crate) suspicion: Suspicion,
    /// Limit of a serving task's tail latency, in milliseconds; 0 for none.
    pub target_ms: u64,
    /// Last reported tail latency of a serving task, in milliseconds.
    pub tail_latency_ms: u64,
}

impl PlacedRun {
    /// Creates the reservation of a run.
    #[must_use]
    pub fn new(task: TaskRef, run: u32, spec: &StepSpec) -> Self {
        Self {
            task,
            run,
            resources: Some(spec.reserved_resources()),
            is_serving: spec.is_serving(),
            is_filler: spec.filler,
            is_long_running: spec.long_running,
            suspicion: Suspicion::None,
            target_ms: spec.target_ms,
            tail_latency_ms: 0,
        }
    }

    /// Creates the reservation of a run whose job has no known description.
    #[must_use]
    pub fn new_unsized(task: TaskRef, run: u32) -> Self {
        Self {
            resources: None,
            ..Self::new(task, run, &StepSpec::default())
        }
    }

    /// Sets whether the task may crash the endpoint, and whether others may start beside it.
    #[must_use]
    pub(crate) fn with_suspicion(self, suspicion: Suspicion) -> Self {
        Self { suspicion, ..self }
    }

    pub(crate) fn is_suspect(&self) -> bool {
        self.suspicion >= Suspicion::Suspect
    }

    pub(crate) fn is_isolated(&self) -> bool {
        self.suspicion == Suspicion::Isolated
    }
}

/// A run that an endpoint lists or has just confirmed, and that this owner does not know, such as a
/// late start of a cancelled job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct UnknownRun {
    /// Task.
    pub(crate) task: TaskRef,
    /// Run number.
    pub(crate) run: u32,
    /// When a report first listed it, on the monotonic clock; `None` before that.
    pub(crate) listed_since_ms: Option<u64>,
    /// When its stop was last sent, on the monotonic clock; `None` if it never was.
    pub(crate) stopped_at_ms: Option<u64>,
    /// Number of renewals sent when it was confirmed. Only the report of a later one shows whether
    /// it is active.
    pub(crate) added_at_renewal: u64,
}

/// A start of a run that has been removed, a try of which got no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct LateStart {
    /// Task.
    pub(crate) task: TaskRef,
    /// Run number.
    pub(crate) run: u32,
    /// Until when the try may be executed, on the monotonic clock.
    pub(crate) until_ms: u64,
    /// When a stop is sent next, on the monotonic clock; `None` if this incarnation refuses the start.
    pub(crate) stop_at_ms: Option<u64>,
}

impl LateStart {
    /// Returns whether a stop is to be sent now.
    pub(crate) fn is_stop_due(&self, now: Now) -> bool {
        let is_due = self.stop_at_ms.is_some_and(|at_ms| now.steady_ms >= at_ms);
        is_due && self.until_ms > now.steady_ms
    }
}

/// One incarnation of an endpoint.
#[derive(Clone, Debug)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "independent facts about one incarnation"
)]
pub struct Endpoint {
    /// Key of this incarnation within the engine.
    pub key: EndpointKey,
    /// Id of the endpoint. Incarnations that state when they started may share one.
    pub id: CompactString,
    /// Start of this incarnation on its VM's clock, in milliseconds since the Unix epoch; `None` if
    /// unknown.
    pub born_ms: Option<u64>,
    /// Earlier incarnation with the same id, until this one has responded.
    pub(crate) predecessor: Option<EndpointKey>,
    /// Address that accepts calls.
    pub(crate) address: SocketAddr,
    /// Pool.
    pub pool: CompactString,
    /// Availability zone.
    pub zone: CompactString,
    /// VM on which it runs; empty if unknown.
    pub(crate) vm: CompactString,
    /// Total resources.
    pub capacity: Resources,
    /// Labels, including the rack.
    pub labels: Vec<CompactString>,
    /// Whether the endpoint is shutting down.
    pub is_draining: bool,
    /// Whether the registry contains it.
    pub is_registered: bool,
    /// Whether this owner has ever seen its registry entry.
    pub was_registered: bool,
    /// Whether this incarnation has ended, by proof or by inference.
    pub has_ended: bool,
    /// Whether its process has closed a connection and accepted no other one since.
    pub(crate) has_closed: bool,
    /// Whether its end is only inferred from that.
    pub(crate) is_end_inferred: bool,
    /// Whether a report is to be requested although no run is known there.
    pub(crate) needs_report: bool,
    /// When the end was detected, on the monotonic clock.
    pub ended_at_ms: u64,
    /// Whether it has reported its runs to this owner, which is required for new starts.
    pub is_reconciled: bool,
    /// Whether it is being drained for a move or for maintenance.
    pub is_cordoned: bool,
    /// Whether it takes no more work, so that its VM can move once its runs have ended.
    pub is_vacating: bool,
    /// Position among the registry entries that this owner saw being written; 0 for existing ones.
    pub registration_order: u64,
    /// Consecutive failed calls.
    pub failed_calls: u32,
    /// Consecutive failed runs.
    pub failed_runs: u32,
    /// Earliest time of new starts, on the monotonic clock.
    pub cooldown_until_ms: u64,
    /// Resources of runs that may be active.
    pub used: Resources,
    /// Part of it that long-running tasks use.
    pub used_long_running: Resources,
    /// Number of long-running tasks that may be active.
    pub long_running_runs: usize,
    /// Number of runs of unknown size that may be active; nothing starts beside them.
    pub unsized_runs: usize,
    /// Number of runs that may crash the endpoint.
    pub suspect_runs: usize,
    /// Number of runs beside which no other may start.
    pub isolated_runs: usize,
    /// Runs that may be active.
    pub placed_runs: Vec<PlacedRun>,
    /// Tasks whose runs were removed when the lease expired, sorted. They are charged if the
    /// incarnation turns out to have crashed.
    pub(crate) lost_tasks: Vec<TaskRef>,
    /// Number of renewals sent.
    pub renewals: u64,
    /// Whether a renewal is in flight.
    pub is_renewing: bool,
    /// When the next renewal is due, on the monotonic clock.
    pub renew_at_ms: u64,
    /// Number of the last processed run end.
    pub last_processed_end: u64,
    /// Number of the last run end whose effect is stored and may be acknowledged.
    pub last_stored_end: u64,
    /// Highest number up to which run ends were acknowledged.
    pub(crate) acknowledged_end: u64,
    /// Numbers of the first and the last run end in the latest report; `None` if it lists none, or
    /// if a call has failed since.
    pub(crate) listed_ends: Option<(u64, u64)>,
    /// When the last run was removed, on the monotonic clock.
    pub empty_since_ms: u64,
    /// Runs that this owner does not know, until a report omits them.
    pub(crate) unknown_runs: Vec<UnknownRun>,
    /// Starts that another incarnation with the same id may execute.
    pub(crate) late_starts: Vec<LateStart>,
    clock: Option<ClockReading>,
    lease_end_clock_ms: u64,
    leases_end_at_ms: Option<u64>,
    /// Whether it was borrowed mutably since changes were last taken.
    pub(crate) is_changed: bool,
}

impl Endpoint {
    pub(crate) fn new(key: EndpointKey, id: CompactString, now_ms: u64) -> Self {
        Self {
            key,
            id,
            born_ms: None,
            predecessor: None,
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
            has_closed: false,
            is_end_inferred: false,
            needs_report: false,
            ended_at_ms: 0,
            is_reconciled: false,
            is_cordoned: false,
            is_vacating: false,
            registration_order: 0,
            failed_calls: 0,
            failed_runs: 0,
            cooldown_until_ms: 0,
            used: Resources::default(),
            used_long_running: Resources::default(),
            long_running_runs: 0,
            unsized_runs: 0,
            suspect_runs: 0,
            isolated_runs: 0,
            placed_runs: Vec::new(),
            lost_tasks: Vec::new(),
            renewals: 0,
            is_renewing: false,
            renew_at_ms: 0,
            last_processed_end: 0,
            last_stored_end: 0,
            acknowledged_end: 0,
            listed_ends: None,
            empty_since_ms: now_ms,
            unknown_runs: Vec::new(),
            late_starts: Vec::new(),
            clock: None,
            lease_end_clock_ms: 0,
            leases_end_at_ms: None,
            is_changed: false,
        }
    }

    /// Returns the address that accepts calls.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the VM on which it runs; empty if unknown.
    #[must_use]
    pub fn vm(&self) -> &CompactString {
        &self.vm
    }

    /// Creates a placeholder for removed incarnations.
    pub(crate) fn forgotten() -> Self {
        Self {
            has_ended: true,
            ..Self::new(EndpointKey::MAX, CompactString::default(), 0)
        }
    }

    /// Applies a registry entry, except for the address and the VM.
    pub(crate) fn update(&mut self, entry: &EndpointEntry) {
        self.pool.clone_from(&entry.pool);
        self.zone.clone_from(&entry.zone);
        self.capacity = entry.capacity;
        self.labels.clone_from(&entry.labels);
        self.is_draining = entry.is_draining;
        self.is_registered = true;
        self.was_registered = true;
    }

    /// Resumes calls to an incarnation whose end was inferred and that has shown to be active.
    /// Nothing starts there before it has reported its runs.
    pub(crate) fn resume(&mut self, now: Now) {
        self.has_ended = false;
        self.is_end_inferred = false;
        self.has_closed = false;
        self.is_reconciled = false;
        self.needs_report = true;
        self.renew_at_ms = now.steady_ms;
    }

    /// Returns whether this incarnation is known to have ended by more than an inference.
    pub(crate) fn is_end_proved(&self) -> bool {
        self.has_ended && !self.is_end_inferred
    }

    /// Returns whether the endpoint can be called.
    #[must_use]
    pub fn is_reachable(&self) -> bool {
        !self.has_ended && self.address.port() != 0
    }

    /// Returns whether a renewal is to be sent now.
    #[must_use]
    pub fn is_renewal_due(&self, now: Now) -> bool {
        // Nothing is active any more once the lease is over.
        let may_have_runs =
            (self.needs_report || !self.unknown_runs.is_empty()) && !self.is_lease_expired(now);
        let is_needed = !self.placed_runs.is_empty()
            || may_have_runs
            || self.acknowledgeable_end() > 0
            || (self.is_registered
                && (!self.is_reconciled || self.failed_calls > 0 || self.is_reading_old(now)));
        is_needed && !self.is_renewing && now.steady_ms >= self.renew_at_ms && self.is_reachable()
    }

    /// Returns the number of the last run end that may be acknowledged; 0 for none.
    ///
    /// Only ends that the latest report lists are acknowledged, and none after a failed call: another
    /// incarnation with the same id numbers its ends anew, and would discard them unreported.
    pub(crate) fn acknowledgeable_end(&self) -> u64 {
        match self.listed_ends {
            Some((first, last)) if first <= self.last_stored_end => last.min(self.last_stored_end),
            _ => 0,
        }
    }

    /// Returns whether this incarnation has the id of another one and was started after it.
    pub(crate) fn is_later_start_of(&self, other: &Self) -> bool {
        self.id == other.id && self.born_ms > other.born_ms
    }

    /// Returns whether a report is of another incarnation with the same id.
    pub(crate) fn is_replaced_by(&self, born_ms: Option<u64>) -> bool {
        matches!((self.born_ms, born_ms), (Some(known), Some(other)) if known != other)
    }

    /// Returns whether new runs may start there.
    #[must_use]
    pub fn accepts_starts(&self, now_ms: u64) -> bool {
        !self.is_vacating && self.is_usable() && now_ms >= self.cooldown_until_ms
    }

    /// Returns whether the endpoint would accept starts if it were not vacating.
    pub(crate) fn is_vacated_only(&self) -> bool {
        self.is_vacating && self.is_usable()
    }

    fn is_usable(&self) -> bool {
        self.is_registered
            && !self.has_ended
            && !self.is_draining
            && !self.is_cordoned
            && self.is_reconciled
            && self.failed_calls == 0
            && self.unsized_runs == 0
    }

    /// Returns the free resources.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.capacity.saturating_sub(&self.used)
    }

    /// Returns whether a placed run fits beside all others, which it may not after the capacity has
    /// shrunk.
    #[must_use]
    pub fn has_room_for(&self, task: &TaskRef, run: u32) -> bool {
        let mut placed_runs = self.placed_runs.iter();
        let placed = placed_runs.find(|placed| placed.task == *task && placed.run == run);
        placed
            .and_then(|placed| placed.resources)
            .is_none_or(|resources| {
                let others = self.used.saturating_sub(&resources);
                let free = self.capacity.saturating_sub(&others);
                free.can_fit(&resources)
            })
    }

    /// Returns whether the endpoint has a label.
    #[must_use]
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|known| known == label)
    }

    /// Records a reading of the endpoint's clock.
    pub fn read_clock(&mut self, clock_ms: u64, now: Now) {
        self.clock = Some(ClockReading {
            clock_ms,
            at_ms: now.steady_ms,
        });
        self.failed_calls = 0;
        self.has_closed = false;
    }

    /// Returns whether the endpoint has responded to a call recently.
    #[must_use]
    pub fn has_responded_within(&self, ms: u64, now: Now) -> bool {
        self.clock
            .is_some_and(|reading| now.steady_ms <= reading.at_ms + ms)
    }

    /// Returns whether the last reading of the clock is too old to grant leases by it.
    fn is_reading_old(&self, now: Now) -> bool {
        self.silent_ms(now)
            .is_some_and(|age_ms| age_ms >= MAX_READING_AGE_MS)
    }

    /// Returns the time since the last response, in milliseconds; `None` if there was none.
    pub(crate) fn silent_ms(&self, now: Now) -> Option<u64> {
        let reading = self.clock?;
        Some(now.steady_ms.saturating_sub(reading.at_ms))
    }

    /// Grants a lease that begins now, and returns its end on the endpoint's clock, which may be slow.
    #[must_use]
    pub fn grant_lease(&mut self, now: Now, lease_ms: u64) -> Option<u64> {
        let reading = self.clock?;
        let passed_ms = now.steady_ms.saturating_sub(reading.at_ms);
        let passed_ms = passed_ms * (100 - CLOCK_SLACK_PERCENT) / 100;
        let deadline_ms = reading.clock_ms + passed_ms + lease_ms;
        self.lease_end_clock_ms = self.lease_end_clock_ms.max(deadline_ms);
        Some(deadline_ms)
    }

    /// Accounts for leases that a previous owner may have granted until now.
    pub fn inherit_leases(&mut self, lease_ms: u64) {
        if let Some(reading) = self.clock {
            let bound_ms = reading.clock_ms + lease_ms;
            self.lease_end_clock_ms = self.lease_end_clock_ms.max(bound_ms);
        }
        self.leases_end_at_ms = None;
    }

    /// Sets the latest end of all leases of an endpoint whose clock is unknown.
    pub fn bound_unknown_leases(&mut self, at_ms: u64) {
        if self.clock.is_none() {
            self.leases_end_at_ms = Some(at_ms);
        }
    }

    /// Returns whether every granted lease has expired, so that nothing can run there any more.
    ///
    /// This covers starts that take effect late, as each carries the deadline of a granted lease.
    #[must_use]
    pub fn is_lease_expired(&self, now: Now) -> bool {
        if let Some(at_ms) = self.leases_end_at_ms {
            return now.steady_ms > at_ms;
        }
        let Some(reading) = self.clock else {
            return false;
        };
        let remaining_ms =
            (self.lease_end_clock_ms + LEASE_MARGIN_MS).saturating_sub(reading.clock_ms);
        let wait_ms = remaining_ms * (100 + CLOCK_SLACK_PERCENT) / 100;
        now.steady_ms > reading.at_ms + wait_ms
    }

    /// Reserves the resources of a run.
    pub fn add_run(&mut self, placed: PlacedRun) {
        let resources = placed.resources.unwrap_or_default();
        self.used.add(&resources);
        if placed.is_long_running {
            self.used_long_running.add(&resources);
            self.long_running_runs += 1;
        }
        self.unsized_runs += usize::from(placed.resources.is_none());
        self.suspect_runs += usize::from(placed.is_suspect());
        self.isolated_runs += usize::from(placed.is_isolated());
        self.placed_runs.push(placed);
    }

    /// Changes whether a placed run may crash the endpoint, and whether others may start beside it.
    pub(crate) fn set_suspicion(&mut self, task: &TaskRef, run: u32, suspicion: Suspicion) {
        let mut placed_runs = self.placed_runs.iter_mut();
        let placed = placed_runs.find(|placed| placed.task == *task && placed.run == run);
        if let Some(placed) = placed {
            self.suspect_runs -= usize::from(placed.is_suspect());
            self.isolated_runs -= usize::from(placed.is_isolated());
            placed.suspicion = suspicion;
            self.suspect_runs += usize::from(placed.is_suspect());
            self.isolated_runs += usize::from(placed.is_isolated());
        }
    }

    /// Adds a start that another incarnation with the same id may execute, and forgets those that none
    /// executes any more.
    pub(crate) fn add_late_start(&mut self, start: LateStart, now: Now) {
        self.late_starts
            .retain(|known| known.until_ms > now.steady_ms);
        self.late_starts.push(start);
    }

    /// Returns whether a stop of a start that this incarnation may execute is to be sent now.
    pub(crate) fn has_late_stop_due(&self, now: Now) -> bool {
        self.is_reachable()
            && self.failed_calls < SUSPECT_AFTER_FAILED_CALLS
            && self.late_starts.iter().any(|start| start.is_stop_due(now))
    }

    /// Adds a task whose run was removed when the lease expired.
    pub(crate) fn add_lost_task(&mut self, task: TaskRef) {
        if let Err(index) = self.lost_tasks.binary_search(&task) {
            self.lost_tasks.insert(index, task);
        }
    }

    /// Releases the resources of a run.
    pub fn remove_run(&mut self, task: &TaskRef, run: u32, now_ms: u64) {
        let index = self
            .placed_runs
            .iter()
            .position(|placed| placed.task == *task && placed.run == run);
        if let Some(index) = index {
            let placed = self.placed_runs.swap_remove(index);
            let resources = placed.resources.unwrap_or_default();
            self.used = self.used.saturating_sub(&resources);
            if placed.is_long_running {
                self.used_long_running = self.used_long_running.saturating_sub(&resources);
                self.long_running_runs -= 1;
            }
            self.unsized_runs -= usize::from(placed.resources.is_none());
            self.suspect_runs -= usize::from(placed.is_suspect());
            self.isolated_runs -= usize::from(placed.is_isolated());
            if self.placed_runs.is_empty() {
                self.empty_since_ms = now_ms;
            }
        }
    }
}
