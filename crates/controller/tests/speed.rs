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
    ($($(#[$story:meta])* $name:ident: $times_us:expr => $expected:expr;)*) => {
        $($(#[$story])* #[test] fn $name() {
            assert_eq!(cpu_millis_after(&$times_us), $expected);
        })*
    };
}

cases! {
    node_that_was_never_measured_is_sound: [] => 500;

    sound_node_has_all: [75, 80, 74, 90] => 500;

    /// The owner's VM turns three times slower. It goes on renewing, so nobody succeeds it, and from
    /// then on nearly every job is late.
    slowed_node_has_a_third: [75, 75, 75, 225, 228, 231] => 173;

    /// The work was interrupted once, by something else on the VM.
    single_long_time_says_nothing: [75, 74, 76, 900, 75] => 500;

    /// The host of the VM has a quiet moment, in which the work takes half of its usual time. Taken for
    /// what is usual, it made a slowed node of a sound one, and the fleet changed its owner for nothing.
    single_short_time_is_not_usual: [75, 76, 30, 75, 76, 75, 140, 140, 140] => 500;

    node_that_has_recovered_has_all: [75, 75, 75, 225, 228, 231, 76] => 500;
}
