//! Every story in `scripts`, played against its expected output.

use lynxwheel_scenario::Simulation;

macro_rules! stories {
    ($($name:ident)*) => {
        $(#[test] fn $name() {
            let path = concat!("tests/scripts/", stringify!($name));
            goldenscript::run(&mut Simulation::new(), path).expect("the story's end");
        })*

        /// A script that nobody plays proves nothing.
        #[test]
        fn every_script_is_played() {
            let mut played = vec![$(stringify!($name).to_owned()),*];
            played.sort();
            let mut scripts: Vec<String> = std::fs::read_dir("tests/scripts")
                .expect("scripts")
                .map(|entry| entry.expect("entry").file_name().into_string().expect("UTF-8"))
                .collect();
            scripts.sort();
            assert_eq!(played, scripts);
        }
    };
}

stories! {
    append_answer_lost
    append_applied_late
    bad_rack_is_left_alone
    budget_tightened
    cancellation_wave
    clock_ahead
    declared_size_is_wrong
    endpoint_leaves_before_dispatch
    job_fails_everywhere
    job_fits_nowhere
    jobs_keep_off_the_wave
    list_read_by_a_woken_node
    log_down_long
    log_trimmed_under_reader
    move_hands_over_once
    move_no_longer_wanted
    no_endpoint_left
    node_from_old_snapshot
    node_frozen_before_action
    node_killed_before_answer
    quota_holds
    rack_fails_in_wave
    requests_beyond_the_slots
    slots_when_a_node_is_lost
    snapshot_half_written
    snapshots_interleaved
    task_lease_lapses
    two_operators
    two_planners
    two_versions
    urgent_work_makes_room
    vm_back_with_new_life
    vm_fails_while_neighbours_drain
    vm_list_behind
    wave_aborted
    wave_forecast_is_honest
    wave_halts_on_failures
    wave_paused
    worker_fails_everything
    zone_cut_from_log
    zone_cut_from_peers
}
