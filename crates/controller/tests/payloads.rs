//! Cache of job payloads.

use {
    compact_str::CompactString,
    lynxwheel_controller::PayloadCache,
    lynxwheel_engine::JobId,
    std::sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    tokio::runtime::Builder,
};

fn job(number: u64) -> JobId {
    format!("{number:016x}").parse().expect("16 digits")
}

fn payload(bytes: usize) -> CompactString {
    "x".repeat(bytes).into()
}

#[test]
fn inserted_payload_is_cached() {
    let payloads = PayloadCache::default();
    payloads.insert(job(1), &payload(1_200));
    assert_eq!(payloads.get(job(1)), Some(payload(1_200)));
    assert_eq!(payloads.get(job(2)), None);
}

/// Guards against memory that grows with the number of submitted jobs.
#[test]
fn oldest_payloads_are_evicted() {
    let payloads = PayloadCache::default();
    for number in 0..5_000 {
        payloads.insert(job(number), &payload(1_000));
    }
    let kept = (0..5_000).filter(|&number| payloads.get(job(number)).is_some());
    assert!(kept.count() <= 2_098);
    assert!(payloads.get(job(4_999)).is_some());
}

#[test]
fn repeated_insert_is_counted_once() {
    let payloads = PayloadCache::default();
    for _ in 0..10 {
        payloads.insert(job(1), &payload(1_000_000));
    }
    payloads.insert(job(2), &payload(1_000_000));
    assert!(payloads.get(job(1)).is_some());
}

/// Guards against saturating the link when several tasks of a job start on a node at once.
#[test]
fn concurrent_starts_fetch_payload_once() {
    let payloads = PayloadCache::default();
    let fetched = Arc::new(AtomicU32::new(0));
    let runtime = Builder::new_current_thread().build().expect("a runtime");
    runtime.block_on(async {
        let starts: Vec<_> = (0..8)
            .map(|_| {
                let cell = payloads.cell(job(1));
                let fetched = Arc::clone(&fetched);
                tokio::spawn(async move {
                    let fetch = || async {
                        fetched.fetch_add(1, Ordering::Relaxed);
                        tokio::task::yield_now().await;
                        Ok::<_, String>(payload(10))
                    };
                    cell.get_or_try_init(fetch).await.cloned()
                })
            })
            .collect();
        for start in starts {
            assert_eq!(start.await.expect("a task"), Ok(payload(10)));
        }
    });
    assert_eq!(fetched.load(Ordering::Relaxed), 1);
}
