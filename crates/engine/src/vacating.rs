//! Endpoints that take no more work, so that their VMs can move to other pools.

use {
    crate::{
        demand::{PoolLoad, load_index},
        endpoints::Endpoint,
        engine::Engine,
        event::{EndpointKey, Now},
        handover::{ReleaseCandidate, choose_vacating, shortage_cpu_millis},
        log_event::LogEvent,
    },
    compact_str::CompactString,
};

impl Engine {
    /// Updates which endpoints are vacating. `loads` are the pools of the capacity plan.
    pub(crate) fn update_vacating(&mut self, loads: &[PoolLoad], now: Now) {
        let has_standby = loads.iter().any(|load| load.is_standby);
        if !has_standby || shortage_cpu_millis(&self.capacity_plan) == 0 {
            return self.stop_vacating();
        }
        let releasable: Vec<i64> = loads.iter().map(PoolLoad::releasable_vms).collect();
        let candidates = self.release_candidates(loads, now);
        let chosen = choose_vacating(&self.capacity_plan, &releasable, candidates);
        self.set_vacating(&chosen);
    }

    /// Lets every endpoint take work again, for example while no VM may be ordered.
    pub(crate) fn stop_vacating(&mut self) {
        self.set_vacating(&[]);
    }

    /// Makes exactly these endpoints vacating, given in sorted order.
    fn set_vacating(&mut self, chosen: &[EndpointKey]) {
        // Most ticks have none, and a scan of a large fleet is a tenth of a tick.
        if chosen.is_empty() && self.vacating_count == 0 {
            return;
        }
        self.vacating_count = chosen.len();
        for is_vacating in [false, true] {
            let differing: Vec<EndpointKey> = self
                .endpoints
                .iter()
                .filter(|(key, endpoint)| {
                    let is_chosen = chosen.binary_search(key).is_ok();
                    !endpoint.has_ended
                        && endpoint.is_vacating != is_chosen
                        && is_chosen == is_vacating
                })
                .map(|(key, _)| key)
                .collect();
            let mut pools: Vec<(CompactString, usize)> = Vec::new();
            for key in differing {
                let endpoint = self.endpoints.get_mut(key);
                endpoint.is_vacating = is_vacating;
                match pools.binary_search_by(|(pool, _)| pool.cmp(&endpoint.pool)) {
                    Ok(index) => pools[index].1 += 1,
                    Err(index) => pools.insert(index, (endpoint.pool.clone(), 1)),
                }
            }
            let events = pools
                .into_iter()
                .map(|(pool, endpoints)| LogEvent::VacatingChanged {
                    pool,
                    is_vacating,
                    endpoints,
                });
            self.log_events.extend(events);
        }
    }

    /// Returns the endpoints whose VMs could move once their runs have ended. Long-running tasks
    /// keep their VM, as stopping them would interrupt their users.
    fn release_candidates(&self, loads: &[PoolLoad], now: Now) -> Vec<ReleaseCandidate> {
        let mut candidates = Vec::new();
        for (endpoint, known) in self.endpoints.iter() {
            let Some(pool_index) = load_index(loads, &known.pool) else {
                continue;
            };
            let load = &loads[pool_index];
            let is_usable = known.accepts_starts(now.steady_ms) || known.is_vacated_only();
            let may_leave = !load.is_standby
                && known.long_running_runs == 0
                && !load.requires_feature_of(&known.labels, &known.capacity);
            if is_usable && may_leave && self.accepts_vm_orders(known.vm(), now) {
                candidates.push(ReleaseCandidate {
                    endpoint,
                    pool_index,
                    cpu_millis: known.capacity.cpu_millis,
                    is_vacating: known.is_vacating,
                    busy_ms: self.busy_ms(known, now),
                });
            }
        }
        candidates
    }

    /// Returns whether a VM may be ordered now. Otherwise it would be idle until it may.
    fn accepts_vm_orders(&self, name: &str, now: Now) -> bool {
        let index = self.vm_index(name);
        index.is_ok_and(|index| self.vms[index].accepts_orders(now))
    }

    /// Returns the expected time until the runs of an endpoint have ended, in milliseconds.
    fn busy_ms(&self, endpoint: &Endpoint, now: Now) -> u64 {
        let remaining_ms = endpoint.placed_runs.iter().filter_map(|placed| {
            let job = self.jobs.get(placed.task.job)?;
            let estimated_ms = job.step_spec(&placed.task)?.estimated_ms;
            let mut attempts = job.task(&placed.task)?.attempts.iter();
            let attempt = attempts.find(|attempt| attempt.run == placed.run)?;
            Some(estimated_ms.saturating_sub(attempt.age_ms(now).unwrap_or_default()))
        });
        remaining_ms.max().unwrap_or_default()
    }
}
