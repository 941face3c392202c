//! Detection of slowed nodes and their remaining CPU capacity.

use {lynxwheel_controller::CpuSpeed, std::time::Duration};

/// Returns the effective capacity of half a core after these samples, in microseconds.
fn cpu_millis_after(times_us: &[u64]) -> u32 {
    let mut speed = CpuSpeed::default();
    for &sample_us in times_us {
        speed.record(Duration::from_micros(sample_us));
    }
    speed.effective_cpu_millis(500)
}

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident: $times_us:expr => $expected:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            assert_eq!(cpu_millis_after(&$times_us), $expected);
        })*
    };
}

cases! {
    unmeasured_node_has_full_capacity: [] => 500;

    steady_node_has_full_capacity: [75, 80, 74, 90] => 500;

    /// Guards against keeping an owner whose VM has become three times slower.
    slowed_node_has_reduced_capacity: [75, 75, 75, 225, 228, 231] => 173;

    /// The benchmark was preempted once.
    single_slow_sample_is_ignored: [75, 74, 76, 900, 75] => 500;

    /// Guards against treating a healthy node as slowed after a single unusually fast sample.
    single_fast_sample_does_not_set_the_baseline: [75, 76, 30, 75, 76, 75, 140, 140, 140] => 500;

    recovered_node_has_full_capacity: [75, 75, 75, 225, 228, 231, 76] => 500;
}
