//! Runs every script in `scripts` and compares its output with the expected one.

use lynxwheel_scenario::Simulation;

macro_rules! scripts {
    ($($name:ident)*) => {
        $(#[test] fn $name() {
            let path = concat!("tests/scripts/", stringify!($name));
            goldenscript::run(&mut Simulation::new(), path).expect("the expected output");
        })*

        /// Guards against scripts that no test runs.
        #[test]
        fn every_script_has_a_test() {
            let mut tested = vec![$(stringify!($name).to_owned()),*];
            tested.sort();
            let mut scripts: Vec<String> = std::fs::read_dir("tests/scripts")
                .expect("scripts")
                .map(|entry| entry.expect("entry").file_name().into_string().expect("UTF-8"))
                .collect();
            scripts.sort();
            assert_eq!(tested, scripts);
        }
    };
}

scripts! {
    append_response_lost
    append_applied_late
    failed_rack_is_excluded
    budget_tightened
    cancellation_wave
    clock_ahead
    declared_size_is_wrong
    endpoint_leaves_before_dispatch
    job_fails_everywhere
    job_larger_than_any_worker
    jobs_avoid_vms_of_a_wave
    vm_list_read_by_a_stale_node
    long_log_outage
    log_trimmed_under_reader
    move_hands_over_once
    move_no_longer_wanted
    no_endpoint_left
    node_from_old_snapshot
    node_frozen_before_action
    node_killed_before_response
    quota_holds
    rack_fails_in_wave
    requests_beyond_the_slots
    slots_when_a_node_is_lost
    incomplete_snapshot
    snapshots_interleaved
    task_lease_expires
    two_operators
    two_planners
    two_versions
    urgent_job_preempts_batch_job
    request_for_a_replaced_vm
    vm_fails_while_neighbours_drain
    vm_list_behind
    wave_aborted
    forecast_shows_missed_deadline
    wave_halts_on_failures
    wave_paused
    worker_fails_every_task
    zone_cut_from_log
    zone_cut_from_peers
}
