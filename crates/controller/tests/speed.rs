//! When a node counts as slowed, and how much of its processor is left then.

use {lynxwheel_controller::CpuSpeed, std::time::Duration};

/// Returns what is left of half a core after the work took these times, in microseconds.
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

    /// The owner's VM turns three times slower. It goes on renewing, so nobody succeeds it, and from
    /// then on nearly every job is late.
    slowed_node_has_reduced_capacity: [75, 75, 75, 225, 228, 231] => 173;

    /// The work was interrupted once, by something else on the VM.
    single_slow_sample_is_ignored: [75, 74, 76, 900, 75] => 500;

    /// The host of the VM has a quiet moment, in which the work takes half of its usual time. Taken for
    /// what is usual, it made a slowed node of a sound one, and the fleet changed its owner for nothing.
    single_fast_sample_does_not_set_the_baseline: [75, 76, 30, 75, 76, 75, 140, 140, 140] => 500;

    recovered_node_has_full_capacity: [75, 75, 75, 225, 228, 231, 76] => 500;
}
