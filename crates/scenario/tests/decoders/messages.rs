//! Records, messages of peers and of the platform, snapshots and their chunks.

use {
    crate::inputs::{check_all, inputs, nested},
    lynxwheel_coordination::{SnapshotAssembler, split_snapshot},
    lynxwheel_gateway::{PeerAnswer, PeerAnswerRequest},
    lynxwheel_protocol::{
        ActionRequest, AppendRequest, AppendResponse, EndpointLoad, LogEntry, MAX_RECORD_BYTES,
        MAX_REPORTS_PER_RECORD, PeerEntries, PeerHello, PeerSnapshot, ReadResponse, Record,
        RecordBody, TaskReport, TaskStart, VmEntry, VmList, VmListState, VmPhase, VmReport,
        WriterId, decode_chunk, decode_message, decode_record, encode_chunk, encode_message,
        encode_record,
    },
    lynxwheel_state::{FleetState, decode_snapshot, encode_snapshot},
    serde::de::DeserializeOwned,
};

fn record(body: RecordBody) -> Record {
    Record {
        id: WriterId {
            incarnation: 7,
            sequence: 1,
        },
        time_ms: 1,
        body,
    }
}

fn report(index: usize) -> VmReport {
    VmReport {
        // The maximum length of names in practice.
        vm: format!("{index:0>63}").into(),
        incarnation: u64::MAX,
        phase: VmPhase::Live,
        evidence_ms: u64::MAX,
        zone: "a-zone-with-a-rather-long-name".into(),
        rack: "a-rack-with-a-rather-long-name".into(),
        address: "255.255.255.255:65535".into(),
        capacity: lynxwheel_protocol::Resources {
            cores_milli: u32::MAX,
            memory_mib: u32::MAX,
            accelerators: u32::MAX,
        },
    }
}

fn records() -> Vec<Vec<u8>> {
    let join = RecordBody::Join {
        node: "node-1".into(),
        fold_version: 1,
    };
    let reports = RecordBody::Report {
        reports: (0..4).map(report).collect(),
    };
    let intent = RecordBody::Intent {
        key: lynxwheel_protocol::RequestKey(9),
        request_digest: 1,
        holder: "node-1".into(),
    };
    [join, reports, intent]
        .into_iter()
        .map(|body| encode_record(&record(body)).expect("small"))
        .collect()
}

fn state() -> FleetState {
    let mut state = FleetState::new();
    for (offset, bytes) in (1..).zip(records()) {
        state.apply(offset, &decode_record(&bytes).expect("own record"));
    }
    state
}

fn messages() -> Vec<Vec<u8>> {
    let hello = PeerHello {
        node: "node-1".into(),
        loads: vec![EndpointLoad {
            vm: "vm-1".into(),
            incarnation: 1,
            in_progress: 3,
        }],
        ..PeerHello::default()
    };
    let entry = LogEntry {
        offset: 1,
        bytes: vec![1, 2, 3],
    };
    let read = ReadResponse {
        earliest_offset: 1,
        next_offset: 2,
        entries: vec![entry],
    };
    let list = VmList {
        made_ms: 1,
        vms: vec![VmEntry {
            name: "vm-1".into(),
            incarnation: 1,
            state: VmListState::Live,
            zone: "zone-1".into(),
            rack: "rack-1".into(),
            address: "127.0.0.1:80".into(),
            capacity: lynxwheel_protocol::Resources::default(),
        }],
    };
    vec![
        encode_message(&hello).expect("small"),
        encode_message(&read).expect("small"),
        encode_message(&list).expect("small"),
        encode_message(&AppendRequest {
            entries: vec![vec![0; 40]],
        })
        .expect("small"),
    ]
}

fn try_decode<T: DeserializeOwned>(bytes: &[u8]) {
    drop(decode_message::<T>(bytes));
}

fn decode_all_messages(bytes: &[u8]) -> bool {
    try_decode::<ActionRequest>(bytes);
    try_decode::<AppendResponse>(bytes);
    try_decode::<AppendRequest>(bytes);
    try_decode::<PeerAnswer>(bytes);
    try_decode::<PeerAnswerRequest>(bytes);
    try_decode::<PeerEntries>(bytes);
    try_decode::<PeerHello>(bytes);
    try_decode::<PeerSnapshot>(bytes);
    try_decode::<ReadResponse>(bytes);
    try_decode::<Vec<TaskReport>>(bytes);
    try_decode::<TaskStart>(bytes);
    try_decode::<VmList>(bytes);
    true
}

/// Guards against a malformed record that stops the fold on every node.
#[test]
fn random_records() {
    check_all(1, &inputs(records()), |bytes| {
        let mut state = state();
        if let Ok(record) = decode_record(&bytes) {
            state.apply(state.offset() + 1, &record);
        }
        true
    });
}

#[test]
fn random_messages() {
    check_all(2, &inputs(messages()), |bytes| decode_all_messages(&bytes));
}

#[test]
fn random_snapshots() {
    let valid = vec![encode_snapshot(&state()).expect("small")];
    check_all(3, &inputs(valid), |bytes| {
        drop(decode_snapshot(&bytes));
        true
    });
}

/// Guards against corrupted chunks that are assembled into a state.
#[test]
fn changed_chunks_are_not_assembled() {
    let state = state();
    let chunks = split_snapshot(&state, 7).expect("small");
    let valid: Vec<Vec<u8>> = chunks
        .iter()
        .map(|chunk| encode_chunk(chunk).expect("small"))
        .collect();
    check_all(4, &inputs(valid), |bytes| {
        let mut assembler = SnapshotAssembler::default();
        if let Ok(chunk) = decode_chunk(&bytes) {
            assembler.add(chunk);
        }
        assembler.latest().is_none_or(|latest| latest == state)
    });
}

#[test]
fn nested_values_are_rejected() {
    for bytes in nested() {
        assert!(decode_record(&bytes[..MAX_RECORD_BYTES]).is_err());
        assert!(decode_all_messages(&bytes));
        assert!(decode_snapshot(&bytes).is_err());
    }
}

/// Guards against a report of a whole failed zone that exceeds the record limit: it could never
/// be appended, and the failed VMs would stay live.
#[test]
fn largest_report_fits_in_a_record() {
    let reports = (0..MAX_REPORTS_PER_RECORD).map(report).collect();
    let bytes = encode_record(&record(RecordBody::Report { reports })).expect("within the bound");
    assert!(bytes.len() <= MAX_RECORD_BYTES);
}
