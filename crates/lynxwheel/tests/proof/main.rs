//! Failures that only real processes show, under load and with a checker.

#[path = "../common/mod.rs"]
mod common;

mod balancer;
mod checker;
mod fleet;
mod load;

use {
    checker::{Told, Verdict},
    fleet::Fleet,
    http::Method,
    load::{Load, ask_once},
    lynxwheel_standin::Faults,
    lynxwheel_transport::ClientRequest,
    std::time::Duration,
};

/// Requests that must be answered between two blows.
const SOME: u64 = 100;

/// Time after which nodes that hear nothing take each other for dead, and some more.
const PEERS_TAKEN_FOR_DEAD: Duration = Duration::from_secs(7);

/// Two nodes are killed one after the other while callers ask all of them; each comes back empty.
/// A caller that lost its answer asks the next node with the same key. No charge runs twice, and
/// nobody is told "did not run" of a request that ran.
#[tokio::test(flavor = "multi_thread")]
async fn killed_nodes_double_nothing() {
    let mut fleet = Fleet::start(3, "killed_nodes").await;
    let load = Load::start(&fleet.callers(), 6);
    load.wait_answered(SOME).await;
    for number in [1, 2] {
        fleet.kill(number);
        load.wait_answered(SOME).await;
        fleet.restart(number).await;
        load.wait_answered(SOME).await;
    }
    fleet.assert_proper(&load.stop().await).await;
}

/// A node is frozen with charges under way, so their callers time out and ask other nodes with
/// the same keys. Thawed, it goes on where it stood. The charges run once, and whoever asked
/// again was told that the outcome is unknown.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_node_doubles_nothing() {
    let fleet = Fleet::start(3, "frozen_node").await;
    let load = Load::start(&fleet.callers(), 6);
    load.wait_answered(SOME).await;
    for _ in 0..2 {
        fleet.nodes[1].process.signal("STOP");
        load.wait_answered(SOME / 2).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        fleet.nodes[1].process.signal("CONT");
        load.wait_answered(SOME).await;
    }
    fleet.assert_proper(&load.stop().await).await;
}

/// The platform's log is down for seconds. Idempotent requests go on with the last state and all
/// of them are answered. A charge is refused at once, and a refused one did not run. When the
/// log is back, charges are taken again.
#[tokio::test(flavor = "multi_thread")]
async fn outage_of_the_log_stops_no_idempotent_request() {
    let fleet = Fleet::start(2, "log_outage").await;
    let node = &fleet.nodes[0].callers;
    fleet
        .set_faults(&Faults {
            log_down: true,
            ..Faults::default()
        })
        .await;
    let mut told = Vec::new();
    for number in 0..100 {
        let id = format!("read-{number}");
        let request = ClientRequest::new(Method::GET, "/maps/work?ms=2");
        let answer = ask_once(node, request, &id, 0).await;
        assert_eq!(answer.verdict, Verdict::Answered, "{id}");
        told.push(answer);
    }
    for number in 0..5 {
        let id = format!("charge-{number}");
        let answer = ask_once(node, charge(&id), &id, 0).await;
        assert_ne!(
            answer.verdict,
            Verdict::Answered,
            "{id} ran without the log"
        );
        told.push(answer);
    }
    fleet.set_faults(&Faults::default()).await;
    let load = Load::start(&fleet.callers(), 4);
    load.wait_answered(SOME).await;
    told.extend(load.stop().await);
    fleet.assert_proper(&told).await;
}

/// All nodes are replaced one after the other by planned stops while callers ask through a
/// balancer, which leaves out nodes that say they are not ready. Nothing is cut off, each process
/// ends by itself, and what was declared is still in force at the end.
#[tokio::test(flavor = "multi_thread")]
async fn rolling_replacement_loses_nothing() {
    let mut fleet = Fleet::start(3, "rolling_replacement").await;
    let load = Load::start(&fleet.callers(), 6);
    load.wait_answered(SOME).await;
    for number in 0..3 {
        fleet.stop(number).await;
        load.wait_answered(SOME).await;
        fleet.restart(number).await;
        load.wait_answered(SOME).await;
    }
    let told = load.stop().await;
    let cut: Vec<&Told> = told
        .iter()
        .filter(|told| matches!(told.verdict, Verdict::Unknown(_)))
        .collect();
    let runs = fleet.runs_of(&cut).await;
    assert!(
        cut.is_empty(),
        "cut off by a planned stop: {cut:#?}, which ran as {runs:#?}"
    );
    fleet.assert_proper(&told).await;
    let pool = fleet.nodes[2].get("pool/maps").await;
    assert_eq!(pool["spec"]["size"], fleet::VMS, "{pool}");
}

/// A zone is cut from the platform: its node sees the callers but not the log. It may go on with
/// idempotent requests but must accept nothing that needs the log, and after the cut what was
/// under way comes through late. Nothing is doubled and the floors hold.
#[tokio::test(flavor = "multi_thread")]
async fn zone_cut_from_the_platform_doubles_nothing() {
    let fleet = Fleet::start(3, "zone_cut").await;
    let load = Load::start(&fleet.callers(), 6);
    load.wait_answered(SOME).await;
    fleet.relays[1].interrupt();
    load.wait_answered(SOME).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let id = "charge-in-the-cut";
    let answer = ask_once(&fleet.nodes[1].callers, charge(id), id, 0).await;
    assert_ne!(
        answer.verdict,
        Verdict::Answered,
        "a charge without the log"
    );
    fleet.relays[1].resume();
    load.wait_answered(SOME).await;
    let mut told = load.stop().await;
    told.push(answer);
    fleet.assert_proper(&told).await;
}

/// Answers of the log service are lost and appends take effect late, again and again, while
/// callers send charges. The node sends the records again; the fold takes each once.
#[tokio::test(flavor = "multi_thread")]
async fn lost_and_late_appends_double_nothing() {
    let fleet = Fleet::start(2, "lost_appends").await;
    let load = Load::start(&fleet.callers(), 6);
    for _ in 0..3 {
        load.wait_answered(SOME / 2).await;
        fleet
            .set_faults(&Faults {
                lose_answers: 5,
                late_appends: 5,
                late_ms: 700,
                ..Faults::default()
            })
            .await;
    }
    load.wait_answered(SOME).await;
    fleet.assert_proper(&load.stop().await).await;
}

/// An endpoint answers after the caller's deadline, on a connection that the node keeps. The late
/// answer must not be given to the next caller on that connection.
#[tokio::test(flavor = "multi_thread")]
async fn late_answer_reaches_nobody_else() {
    let fleet = Fleet::start(1, "late_answer").await;
    let node = &fleet.nodes[0].callers;
    let mut told = Vec::new();
    for number in 0..20 {
        let late = ClientRequest::new(Method::POST, "/maps/charge?ms=150")
            .with_header("lynxwheel-deadline-ms", "50");
        let id = format!("late-{number}");
        let answer = ask_once(node, late, &id, 0).await;
        assert_ne!(answer.verdict, Verdict::Answered, "{id}");
        told.push(answer);
        let id = format!("next-{number}");
        let request = ClientRequest::new(Method::GET, "/maps/work?ms=1");
        let answer = ask_once(node, request, &id, 0).await;
        assert_eq!(answer.verdict, Verdict::Answered, "{id}");
        told.push(answer);
    }
    fleet.assert_proper(&told).await;
}

/// An endpoint breaks its answer off half way. The caller must not take the part for the whole:
/// the answer is broken for it too, or it is told that nobody knows.
#[tokio::test(flavor = "multi_thread")]
async fn broken_answer_is_never_whole() {
    let fleet = Fleet::start(1, "broken_answer").await;
    let node = &fleet.nodes[0].callers;
    let mut told = Vec::new();
    for number in 0..10 {
        let id = format!("broken-{number}");
        let request = ClientRequest::new(Method::POST, "/maps/charge?break=1");
        let answer = ask_once(node, request, &id, 0).await;
        assert!(matches!(answer.verdict, Verdict::Unknown(_)), "{answer:?}");
        told.push(answer);
    }
    fleet.assert_proper(&told).await;
}

/// A node is killed while it carries out a wave's claims, and comes back. The wave goes on and
/// every VM is restarted, and at no offset of the log is the pool below its floor.
#[tokio::test(flavor = "multi_thread")]
async fn wave_survives_its_holder() {
    let mut fleet = Fleet::start(3, "wave_holder").await;
    let load = Load::start(&fleet.callers(), 4);
    load.wait_answered(SOME).await;
    fleet.start_wave("kernel").await;
    for number in 0..3 {
        fleet.wait_done("kernel", 1 + number).await;
        let number = usize::try_from(number).expect("small");
        fleet.kill(number);
        load.wait_answered(SOME / 2).await;
        fleet.restart(number).await;
    }
    fleet.nodes[0].wait_ready("wave/kernel").await;
    fleet.assert_proper(&load.stop().await).await;
    fleet.assert_restarted_once().await;
}

/// The node that holds a wave's claims is frozen, between acceptance and action at some of them.
/// The others take its claims over and end the wave without it. Thawed, it still believes in its
/// claims. Every VM is restarted once all the same, and the pool stays at its floor.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_holder_restarts_nothing_twice() {
    let fleet = Fleet::start(3, "frozen_holder").await;
    let load = Load::start(&fleet.callers(), 4);
    fleet.start_wave("kernel").await;
    let holder = fleet.wait_holder().await;
    fleet.nodes[holder].process.signal("STOP");
    let other = &fleet.nodes[(holder + 1) % fleet.nodes.len()];
    other.wait_ready("wave/kernel").await;
    fleet.nodes[holder].process.signal("CONT");
    load.wait_answered(SOME).await;
    fleet.assert_proper(&load.stop().await).await;
    fleet.assert_restarted_once().await;
}

/// The nodes see the log but not each other, in the middle of a wave, so each takes the others for
/// dead, plans for itself and takes their claims over. The log's order decides: every VM is
/// restarted once, the pool stays at its floor, and charges run once.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_cut_from_each_other_break_no_budget() {
    let fleet = Fleet::start(3, "peers_cut").await;
    let load = Load::start(&fleet.callers(), 4);
    load.wait_answered(SOME).await;
    for relay in &fleet.peer_relays {
        relay.interrupt();
    }
    tokio::time::sleep(PEERS_TAKEN_FOR_DEAD).await;
    fleet.start_wave("kernel").await;
    load.wait_answered(SOME).await;
    fleet.nodes[2].wait_ready("wave/kernel").await;
    for relay in &fleet.peer_relays {
        relay.resume();
    }
    load.wait_answered(SOME).await;
    fleet.assert_proper(&load.stop().await).await;
    fleet.assert_restarted_once().await;
}

fn charge(key: &str) -> ClientRequest {
    ClientRequest::new(Method::POST, "/maps/charge?ms=5").with_header("idempotency-key", key)
}
