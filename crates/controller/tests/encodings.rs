//! Encodings of messages between nodes and of the ownership log, compared with fixed bytes.
//!
//! Nodes of different builds exchange them, so any change would break a rolling upgrade: requests
//! would be refused, or outcomes misread.

use {
    lynxwheel_controller::{
        CallResult, CallerRequest, ConfigRequest, DelegateReply, DelegateRequest, DelegateResults,
        DelegatedCall, EndpointCall, Member, OwnerRequest, OwnerResponse, OwnershipAction,
        OwnershipKind, OwnershipRecord, OwnershipRequest, OwnershipResponse, StandbyRecord,
    },
    lynxwheel_engine::{
        CallOutcome, CallerLimits, ClientAccount, ClientAccounts, EndKind, EndedTask,
        EndpointAddress, EndpointReport, FleetConfig, JobSpec, JobState, KeyDigest, Pool, Queue,
        Refusal, Resources, RunningTask, StartOrder, StepSpec, TaskRef,
    },
    lynxwheel_protocol::{CodecError, decode_message, encode_compact_message, encode_message},
    serde::{Serialize, de::DeserializeOwned},
    std::{fmt::Debug, net::SocketAddr},
};

/// Hexadecimal digits per line in a failure's message.
const LINE_DIGITS: usize = 90;

fn hex(bytes: &[u8]) -> String {
    let digits = bytes.iter().flat_map(|byte| [byte >> 4, byte & 15]);
    let digits = digits.filter_map(|digit| char::from_digit(digit.into(), 16));
    digits.collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let pairs = (0..hex.len()).step_by(2).map(|at| &hex[at..at + 2]);
    let bytes = pairs.map(|pair| u8::from_str_radix(pair, 16).expect("two hexadecimal digits"));
    bytes.collect()
}

/// Compares an encoding with the expected bytes and prints it as a literal if it differs.
fn assert_held(encoded: &[u8], held: &str) {
    let encoded = hex(encoded);
    let starts = (0..encoded.len()).step_by(LINE_DIGITS);
    let lines = starts.map(|at| &encoded[at..encoded.len().min(at + LINE_DIGITS)]);
    let lines: Vec<&str> = lines.collect();
    assert!(encoded == held, "encoded as\n{}", lines.join("\\\n"));
}

/// Checks that a message encodes to the expected bytes, and that decoding them returns the message.
fn check<T: Debug + DeserializeOwned + Serialize>(
    message: &T,
    held: &str,
    encode: impl Fn(&T) -> Result<Vec<u8>, CodecError>,
) {
    assert_held(&encode(message).expect("a small message"), held);
    let decoded: T = decode_message(&bytes(held)).expect("a message");
    assert_eq!(format!("{decoded:?}"), format!("{message:?}"));
    assert_held(&encode(&decoded).expect("a small message"), held);
}

/// Checks a message that is encoded with field names.
fn named<T: Debug + DeserializeOwned + Serialize>(message: &T, held: &str) {
    check(message, held, encode_message);
}

/// Checks a message that is encoded without field names.
fn compact<T: Debug + DeserializeOwned + Serialize>(message: &T, held: &str) {
    check(message, held, encode_compact_message);
}

/// Checks a record of the ownership log.
fn logged(record: &OwnershipRecord, held: &str) {
    assert_held(&record.encode(), held);
    let decoded = OwnershipRecord::decode(&bytes(held));
    assert_eq!(decoded.as_ref(), Some(record));
}

/// Checks a record of standbys in the ownership log.
fn logged_standbys(record: &StandbyRecord, held: &str) {
    assert_held(&record.encode(), held);
    let decoded = StandbyRecord::decode(&bytes(held));
    assert_eq!(decoded.as_ref(), Some(record));
}

macro_rules! held {
    ($check:ident; $($(#[$guard:meta])* $name:ident: $value:expr => $held:expr;)*) => {
        $($(#[$guard])* #[test] fn $name() { $check(&$value, $held); })*
    };
}

fn address(port: u16) -> SocketAddr {
    ([10, 0, 0, 1], port).into()
}

fn job() -> String {
    "5c0e7a21d94b36f8".into()
}

fn task() -> TaskRef {
    "5c0e7a21d94b36f8.3.1.300".parse().expect("a task's name")
}

fn resources(cpu_millis: u64) -> Resources {
    Resources {
        cpu_millis,
        memory_mb: 2_048,
        gpus: 1,
    }
}

fn queue() -> Queue {
    Queue {
        host: "maps.example".into(),
        path_prefix: "/maps/".into(),
        pool: "maps".into(),
        priority: 3,
        max_attempts: 4,
        stretch: 1.6,
        target_latency_ms: 600,
        advised: true,
        is_public: true,
    }
}

fn step(depends_on: Vec<u16>) -> StepSpec {
    StepSpec {
        count: 300,
        resources: resources(1_500),
        estimated_ms: 90_000,
        depends_on,
        saves_progress: true,
        gang: true,
        same_rack: true,
        required_label: "gpu".into(),
        data_rack: "rack-7".into(),
        max_per_endpoint: 2,
        concurrent_copies: true,
        long_running: true,
        image: "tiles".into(),
        target_ms: 40,
        filler: true,
        max_unavailable: 5,
    }
}

fn spec() -> JobSpec {
    JobSpec {
        payload: "z=7&x=3".into(),
        steps: vec![step(Vec::new()), step(vec![0])],
        repeat_count: 6,
        interval_ms: 60_000,
        first_due_ms: 1_700_000_000_000,
    }
}

fn member() -> Member {
    Member {
        address: address(7_060),
        zone: "zone-1".into(),
        cpu_millis: 500,
        link_mbps: 1_000,
    }
}

fn owner_request(caller_request: CallerRequest) -> OwnerRequest {
    OwnerRequest {
        epoch: 70_000,
        config_version: 12,
        caller_request,
        sender: Some(member()),
    }
}

fn submit() -> CallerRequest {
    CallerRequest::Submit {
        job: job(),
        queue: queue(),
        spec: Box::new(spec()),
        account: "account-1".into(),
        origin: Some(address(7_061)),
    }
}

fn config() -> FleetConfig {
    let account = |name: &str| ClientAccount {
        name: name.into(),
        keys: vec![KeyDigest::new(name.as_bytes())],
        weight: 2.5,
        quota: resources(64_000),
    };
    FleetConfig {
        version: 12,
        queues: vec![queue()],
        pools: vec![Pool {
            name: "maps".into(),
            is_standby: true,
            checks_admission: true,
        }],
        limits: CallerLimits {
            max_body_bytes: 300_000,
            max_header_bytes: 20_000,
            header_timeout_ms: 2_000,
        },
        accounts: ClientAccounts::new(vec![account("account-1"), account("account-2")]),
    }
}

held! {
    named;

    member_alone: member() => "\
        84a76164647265737381a2563492940a000001cd1b94a47a6f6e65a67a6f6e652d31aa6370755f6d696c6c6973\
        cd01f4a96c696e6b5f6d627073cd03e8";

    owner_request_submit: owner_request(submit()) => "\
        84a565706f6368ce00011170ae636f6e6669675f76657273696f6e0ca361736b81a65375626d697485a36a6f62\
        b035633065376132316439346233366638a5717565756589a4686f7374ac6d6170732e6578616d706c65ab7061\
        74685f707265666978a62f6d6170732fa4706f6f6ca46d617073a87072696f7269747903ac6d61785f61747465\
        6d70747304a773747265746368cb3ff999999999999ab17461726765745f6c6174656e63795f6d73cd0258a761\
        647669736564c3a969735f7075626c6963c3a47370656385a77061796c6f6164a77a3d3726783d33a573746570\
        7392de0010a5636f756e74cd012ca4726f6f6d83aa6370755f6d696c6c6973cd05dca96d656d6f72795f6d62cd\
        0800a46770757301ac657374696d617465645f6d73ce00015f90a5616674657290ae73617665735f70726f6772\
        657373c3a467616e67c3a973616d655f7261636bc3ae72657175697265645f6c6162656ca3677075a964617461\
        5f7261636ba67261636b2d37b06d61785f7065725f656e64706f696e7402b1636f6e63757272656e745f636f70\
        696573c3ac6c6f6e675f72756e6e696e67c3a5696d616765a574696c6573a97461726765745f6d7328a566696c\
        6c73c3af6d61785f756e617661696c61626c6505de0010a5636f756e74cd012ca4726f6f6d83aa6370755f6d69\
        6c6c6973cd05dca96d656d6f72795f6d62cd0800a46770757301ac657374696d617465645f6d73ce00015f90a5\
        61667465729100ae73617665735f70726f6772657373c3a467616e67c3a973616d655f7261636bc3ae72657175\
        697265645f6c6162656ca3677075a9646174615f7261636ba67261636b2d37b06d61785f7065725f656e64706f\
        696e7402b1636f6e63757272656e745f636f70696573c3ac6c6f6e675f72756e6e696e67c3a5696d616765a574\
        696c6573a97461726765745f6d7328a566696c6c73c3af6d61785f756e617661696c61626c6505ac7265706561\
        745f636f756e7406ab696e74657276616c5f6d73cdea60ac66697273745f6475655f6d73cf0000018bcfe56800\
        a76163636f756e74a96163636f756e742d31a66f726967696e81a2563492940a000001cd1b95a673656e646572\
        84a76164647265737381a2563492940a000001cd1b94a47a6f6e65a67a6f6e652d31aa6370755f6d696c6c6973\
        cd01f4a96c696e6b5f6d627073cd03e8";

    owner_request_cancel: owner_request(CallerRequest::Cancel {
        job: job(),
        account: "account-1".into(),
    }) => "\
        84a565706f6368ce00011170ae636f6e6669675f76657273696f6e0ca361736b81a643616e63656c82a36a6f62\
        b035633065376132316439346233366638a76163636f756e74a96163636f756e742d31a673656e64657284a761\
        64647265737381a2563492940a000001cd1b94a47a6f6e65a67a6f6e652d31aa6370755f6d696c6c6973cd01f4\
        a96c696e6b5f6d627073cd03e8";

    owner_request_state: owner_request(CallerRequest::State {
        job: job(),
        account: "account-1".into(),
    }) => "\
        84a565706f6368ce00011170ae636f6e6669675f76657273696f6e0ca361736b81a5537461746582a36a6f62b0\
        35633065376132316439346233366638a76163636f756e74a96163636f756e742d31a673656e64657284a76164\
        647265737381a2563492940a000001cd1b94a47a6f6e65a67a6f6e652d31aa6370755f6d696c6c6973cd01f4a9\
        6c696e6b5f6d627073cd03e8";

    owner_request_pending: owner_request(CallerRequest::Pending { queue: queue() }) => "\
        84a565706f6368ce00011170ae636f6e6669675f76657273696f6e0ca361736b81a750656e64696e6781a57175\
        65756589a4686f7374ac6d6170732e6578616d706c65ab706174685f707265666978a62f6d6170732fa4706f6f\
        6ca46d617073a87072696f7269747903ac6d61785f617474656d70747304a773747265746368cb3ff999999999\
        999ab17461726765745f6c6174656e63795f6d73cd0258a761647669736564c3a969735f7075626c6963c3a673\
        656e64657284a76164647265737381a2563492940a000001cd1b94a47a6f6e65a67a6f6e652d31aa6370755f6d\
        696c6c6973cd01f4a96c696e6b5f6d627073cd03e8";

    /// The owner's own node sends requests without a sender.
    owner_request_without_sender: OwnerRequest {
        sender: None,
        ..owner_request(CallerRequest::Pending { queue: queue() })
    } => "\
        84a565706f6368ce00011170ae636f6e6669675f76657273696f6e0ca361736b81a750656e64696e6781a57175\
        65756589a4686f7374ac6d6170732e6578616d706c65ab706174685f707265666978a62f6d6170732fa4706f6f\
        6ca46d617073a87072696f7269747903ac6d61785f617474656d70747304a773747265746368cb3ff999999999\
        999ab17461726765745f6c6174656e63795f6d73cd0258a761647669736564c3a969735f7075626c6963c3a673\
        656e646572c0";

    owner_response_accepted: OwnerResponse::Accepted => "a84163636570746564";

    owner_response_cancelled: OwnerResponse::Cancelled => "a943616e63656c6c6564";

    owner_response_queued: OwnerResponse::State(JobState::Queued) => "81a55374617465a6517565756564";

    owner_response_running: OwnerResponse::State(JobState::Running) => "81a55374617465a752756e6e696e67";

    owner_response_completed: OwnerResponse::State(JobState::Completed) =>
        "81a55374617465a9436f6d706c65746564";

    owner_response_failed: OwnerResponse::State(JobState::Failed) => "81a55374617465a64661696c6564";

    owner_response_state_cancelled: OwnerResponse::State(JobState::Cancelled) =>
        "81a55374617465a943616e63656c6c6564";

    owner_response_pending: OwnerResponse::Pending(300) => "81a750656e64696e67cd012c";

    owner_response_unknown: OwnerResponse::Unknown => "a7556e6b6e6f776e";

    owner_response_refused: OwnerResponse::Refused => "a752656675736564";

    owner_response_over_quota: OwnerResponse::OverQuota => "a94f76657251756f7461";

    owner_response_overloaded:
        OwnerResponse::Overloaded { retry_after_ms: 1_600, is_over_share: true } => "81aa4f7665726c6f6164656482ae72657472795f61667465725f6d73cd0640ad69735f6f7665725f7368617265c3";

    owner_response_other_account: OwnerResponse::OtherAccount => "ac4f746865724163636f756e74";

    owner_response_newer_config: OwnerResponse::NewerConfig => "ab4e65776572436f6e666967";

    owner_response_not_owner: OwnerResponse::NotOwner => "a84e6f744f776e6572";

    owner_response_unclear: OwnerResponse::Unclear => "a7556e636c656172";

    config_request: ConfigRequest { version: 12 } => "81a776657273696f6e0c";

    config_response: Some(config()) => "\
        85a776657273696f6e0ca67175657565739189a4686f7374ac6d6170732e6578616d706c65ab706174685f7072\
        65666978a62f6d6170732fa4706f6f6ca46d617073a87072696f7269747903ac6d61785f617474656d70747304\
        a773747265746368cb3ff999999999999ab17461726765745f6c6174656e63795f6d73cd0258a7616476697365\
        64c3a969735f7075626c6963c3a5706f6f6c739183a46e616d65a46d617073aa69735f7374616e646279c3b063\
        6865636b735f61646d697373696f6ec3a66c696d69747383ae6d61785f626f64795f6279746573ce000493e0b0\
        6d61785f6865616465725f6279746573cd4e20b16865616465725f74696d656f75745f6d73cd07d0a86163636f\
        756e747382a86163636f756e74739284a46e616d65a96163636f756e742d31a46b65797391dc002007cce9cc98\
        012c1137ccdecccdccf3ccefccbbccb1ccc3ccee6d79ccb01563cc8cccbc197bccdbcccccce1cc875dcce4ccfa\
        ccada6776569676874cb4004000000000000a571756f746183aa6370755f6d696c6c6973cdfa00a96d656d6f72\
        795f6d62cd0800a4677075730184a46e616d65a96163636f756e742d32a46b65797391dc0020703039cce8cc81\
        cc85cc964b380eccf6cced7dccef54cc8a2d3cccbd7fcc90412e2bccaccca114ccdf5acca3ccc65ba677656967\
        6874cb4004000000000000a571756f746183aa6370755f6d696c6c6973cdfa00a96d656d6f72795f6d62cd0800\
        a46770757301a46b6579739292dc002007cce9cc98012c1137ccdecccdccf3ccefccbbccb1ccc3ccee6d79ccb0\
        1563cc8cccbc197bccdbcccccce1cc875dcce4ccfaccad0092dc0020703039cce8cc81cc85cc964b380eccf6cc\
        ed7dccef54cc8a2d3cccbd7fcc90412e2bccaccca114ccdf5acca3ccc65b01";

    /// Sent by a node without a newer configuration.
    config_response_none: None::<FleetConfig> => "c0";

    ownership_request_probe: OwnershipRequest {
        epoch: 70_000,
        action: OwnershipAction::Probe,
    } => "82a565706f6368ce00011170a361736ba5416c697665";

    ownership_request_yield: OwnershipRequest {
        epoch: 70_000,
        action: OwnershipAction::Yield,
    } => "82a565706f6368ce00011170a361736ba55969656c64";

    ownership_response_alive: OwnershipResponse::Alive => "a5416c697665";

    ownership_response_unheard: OwnershipResponse::Unheard => "a7556e6865617264";

    ownership_response_yielded: OwnershipResponse::Yielded => "a75969656c646564";

    ownership_response_not_owner: OwnershipResponse::NotOwner => "a84e6f744f776e6572";

    delegate_reply_accepted: DelegateReply::Accepted => "a554616b656e";

    delegate_reply_refused: DelegateReply::Refused => "a84e6f7454616b656e";
}

fn delegate_request(call: EndpointCall) -> DelegateRequest {
    DelegateRequest {
        epoch: 70_000,
        owner: address(7_060),
        calls: vec![DelegatedCall {
            number: 300,
            to: EndpointAddress {
                id: "i-1".into(),
                address: address(9_000),
            },
            call,
        }],
    }
}

fn start() -> EndpointCall {
    EndpointCall::Start(Box::new(StartOrder {
        endpoint: 17,
        task: task(),
        run: 2,
        payload: "z=7&x=3".into(),
        origin: Some(address(7_061)),
        deadline_ms: 2_506_000,
        checkpoint: "half".into(),
        ticket: "ticket-1".into(),
    }))
}

fn delegate_results(result: CallResult) -> DelegateResults {
    DelegateResults {
        epoch: 70_000,
        delegate: address(7_061),
        results: vec![(300, result)],
    }
}

fn run_outcome(outcome: CallOutcome<u64>) -> DelegateResults {
    delegate_results(CallResult::Ordered(outcome))
}

fn renewal_outcome(outcome: CallOutcome<EndpointReport>) -> DelegateResults {
    delegate_results(CallResult::Renewed(outcome))
}

/// Returns a report with one end of each kind.
fn report() -> EndpointReport {
    let kinds = [
        EndKind::Done,
        EndKind::Failed,
        EndKind::Stopped,
        EndKind::Lapsed,
        EndKind::Broken,
        EndKind::Alone,
        EndKind::Unknown,
    ];
    let ended = kinds.map(|kind| EndedTask {
        number: 40,
        task: task(),
        run: 2,
        kind,
        checkpoint: "half".into(),
    });
    EndpointReport {
        clock_ms: 2_500_000,
        running: vec![RunningTask {
            task: task(),
            run: 2,
            checkpoint: "half".into(),
            percent: 60,
            usage: Some(750),
        }],
        ended: ended.to_vec(),
        is_partial: true,
        born_ms: None,
    }
}

held! {
    compact;

    delegate_request_start: delegate_request(start()) => "\
        93ce0001117081a2563492940a000001cd1b949193cd012c92a3692d3181a2563492940a000001cd232881a553\
        74617274981194dc0010356330653761323164393462333666380301cd012c02a77a3d3726783d3381a2563492\
        940a000001cd1b95ce00263d10a468616c66a87469636b65742d31";

    delegate_request_stop: delegate_request(EndpointCall::Stop(task(), 2)) => "\
        93ce0001117081a2563492940a000001cd1b949193cd012c92a3692d3181a2563492940a000001cd232881a453\
        746f709294dc0010356330653761323164393462333666380301cd012c02";

    delegate_request_renew: delegate_request(EndpointCall::Renew {
        deadline_ms: Some(2_506_000),
        acknowledged: 40,
        wait_ms: 300,
    }) => "\
        93ce0001117081a2563492940a000001cd1b949193cd012c92a3692d3181a2563492940a000001cd232881a552\
        656e657793ce00263d1028cd012c";

    /// Requests a report without renewing the lease.
    delegate_request_renew_without_lease: delegate_request(EndpointCall::Renew {
        deadline_ms: None,
        acknowledged: 40,
        wait_ms: 300,
    }) => "\
        93ce0001117081a2563492940a000001cd1b949193cd012c92a3692d3181a2563492940a000001cd232881a552\
        656e657793c028cd012c";

    delegate_request_pace: delegate_request(EndpointCall::Pace(task(), 2, 50)) => "\
        93ce0001117081a2563492940a000001cd1b949193cd012c92a3692d3181a2563492940a000001cd232881a450\
        6163659394dc0010356330653761323164393462333666380301cd012c0232";

    delegate_results_done: run_outcome(CallOutcome::Done(2_500_000)) =>
        "93ce0001117081a2563492940a000001cd1b959192cd012c81a74f72646572656481a4446f6e65ce002625a0";

    delegate_results_other_incarnation: run_outcome(CallOutcome::OtherLife) =>
        "93ce0001117081a2563492940a000001cd1b959192cd012c81a74f726465726564a94f746865724c696665";

    delegate_results_fenced: run_outcome(CallOutcome::Fenced) =>
        "93ce0001117081a2563492940a000001cd1b959192cd012c81a74f726465726564a646656e636564";

    delegate_results_old_run: run_outcome(CallOutcome::Refused(Refusal::OldRun)) => "\
        93ce0001117081a2563492940a000001cd1b959192cd012c81a74f72646572656481a752656675736564a64f6c\
        6452756e";

    delegate_results_late: run_outcome(CallOutcome::Refused(Refusal::Late)) => "\
        93ce0001117081a2563492940a000001cd1b959192cd012c81a74f72646572656481a752656675736564a44c61\
        7465";

    delegate_results_no_room: run_outcome(CallOutcome::Refused(Refusal::NoRoom)) => "\
        93ce0001117081a2563492940a000001cd1b959192cd012c81a74f72646572656481a752656675736564a64e6f\
        526f6f6d";

    delegate_results_ticket: run_outcome(CallOutcome::Refused(Refusal::Ticket)) => "\
        93ce0001117081a2563492940a000001cd1b959192cd012c81a74f72646572656481a752656675736564a65469\
        636b6574";

    delegate_results_unhealthy: run_outcome(CallOutcome::Refused(Refusal::Unhealthy)) => "\
        93ce0001117081a2563492940a000001cd1b959192cd012c81a74f72646572656481a752656675736564a9556e\
        6865616c746879";

    delegate_results_invalid: run_outcome(CallOutcome::Refused(Refusal::Invalid)) => "\
        93ce0001117081a2563492940a000001cd1b959192cd012c81a74f72646572656481a752656675736564a7496e\
        76616c6964";

    /// The call was certainly not made, so it may be repeated.
    delegate_results_unsent: run_outcome(CallOutcome::Unsent) =>
        "93ce0001117081a2563492940a000001cd1b959192cd012c81a74f726465726564a6556e73656e74";

    /// The call may still arrive: mistaken for an unsent one, a task would run twice.
    delegate_results_unknown: run_outcome(CallOutcome::Unknown) =>
        "93ce0001117081a2563492940a000001cd1b959192cd012c81a74f726465726564a7556e6b6e6f776e";

    /// An endpoint that keeps its id states when it started.
    delegate_results_report_of_an_incarnation: renewal_outcome(CallOutcome::Done(EndpointReport {
        clock_ms: 2_500_000,
        born_ms: Some(1_778_976_836_179),
        ..EndpointReport::default()
    })) => "\
        93ce0001117081a2563492940a000001cd1b959192cd012c81a752656e6577656481a4446f6e6595ce002625a0\
        9090c2cf0000019e33484a53";

    delegate_results_report: renewal_outcome(CallOutcome::Done(report())) => "\
        93ce0001117081a2563492940a000001cd1b959192cd012c81a752656e6577656481a4446f6e6594ce002625a0\
        919594dc0010356330653761323164393462333666380301cd012c02a468616c663ccd02ee97952894dc001035\
        6330653761323164393462333666380301cd012c02a4446f6e65a468616c66952894dc00103563306537613231\
        64393462333666380301cd012c02a64661696c6564a468616c66952894dc001035633065376132316439346233\
        3666380301cd012c02a753746f70706564a468616c66952894dc00103563306537613231643934623336663803\
        01cd012c02a64c6170736564a468616c66952894dc0010356330653761323164393462333666380301cd012c02\
        a642726f6b656ea468616c66952894dc0010356330653761323164393462333666380301cd012c02a5416c6f6e\
        65a468616c66952894dc0010356330653761323164393462333666380301cd012c02a7556e6b6e6f776ea46861\
        6c66c3";

    delegate_results_renewal_unknown: renewal_outcome(CallOutcome::Unknown) =>
        "93ce0001117081a2563492940a000001cd1b959192cd012c81a752656e65776564a7556e6b6e6f776e";

    delegate_results_paced: delegate_results(CallResult::Paced(true)) =>
        "93ce0001117081a2563492940a000001cd1b959192cd012c81a55061636564c3";
}

fn record(kind: OwnershipKind) -> OwnershipRecord {
    OwnershipRecord {
        kind,
        epoch: 70_000,
        incarnation: 1_700_000_000_123,
        address: address(7_060),
        cpu_millis: 250,
        stored_end: 69_990,
    }
}

held! {
    logged;

    ownership_claim: record(OwnershipKind::Claim) =>
        "96a5436c61696dce00011170cf0000018bcfe5687b81a2563492940a000001cd1b94ccface00011166";

    ownership_renewal: record(OwnershipKind::Renewal) =>
        "96a752656e6577616cce00011170cf0000018bcfe5687b81a2563492940a000001cd1b94ccface00011166";

    ownership_release: record(OwnershipKind::Release) =>
        "96a752656c65617365ce00011170cf0000018bcfe5687b81a2563492940a000001cd1b94ccface00011166";
}

held! {
    logged_standbys;

    ownership_standbys: StandbyRecord { epoch: 70_000, standbys: vec![address(7_060)] } =>
        "92ce000111709181a2563492940a000001cd1b94";
}
