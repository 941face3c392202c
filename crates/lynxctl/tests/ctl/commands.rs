//! Commands against a running node.

use {
    crate::common::{Fleet, files, wait_until},
    insta::assert_snapshot,
    lynxwheel_protocol::{Kind, ResourceRef},
    lynxwheel_standin::Faults,
};

const FLEET: &str = "[pool notices]\nsize = 4\nbudget.min_available = 2\n\
    [pool spare]\nsize = 0\nbudget.min_available = 0\n\
    [service map]\npool = notices\n\
    [vm vm-0]\npool = notices\n[vm vm-1]\npool = notices\n\
    [vm vm-2]\npool = notices\n[vm vm-3]\npool = notices\n";

/// Puts `N` in place of revisions, which depend on what the node reports in between.
fn masked(text: &str) -> String {
    let mut lines = Vec::new();
    for line in text.lines() {
        let words: Vec<&str> = line.split_whitespace().collect();
        let is_table = words.get(1).is_some_and(|word| word.parse::<u64>().is_ok());
        lines.push(if line.starts_with("revision ") {
            "revision N, observed at N".to_owned()
        } else if is_table {
            line.replacen(words[1], "N", 1)
        } else {
            line.to_owned()
        });
    }
    lines.join("\n")
}

async fn applied(name: &str) -> (Fleet, String) {
    let fleet = Fleet::start(4).await;
    let directory = files(name, &[("fleet.ini", FLEET)]).display().to_string();
    fleet.done(&format!("apply -f {directory}")).await;
    let node = fleet.daemon.node();
    wait_until("all VMs are available", || {
        node.state()
            .pools()
            .get("notices")
            .is_some_and(|pool| pool.available == 4)
    })
    .await;
    (fleet, directory)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tables_and_descriptions() {
    let (fleet, _) = applied("tables").await;
    assert_snapshot!("get_pool", masked(&fleet.done("get pool").await));
    assert_snapshot!(
        "describe_service",
        masked(&fleet.done("describe service map").await)
    );
    assert_snapshot!("explain_vm", fleet.done("explain vm vm-0").await);
    let json = fleet.done("get pool notices -o json").await;
    let view: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!(view["spec"]["size"], 4);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn diff_shows_what_apply_would_change() {
    let (fleet, _) = applied("diff").await;
    let changed = files(
        "diff-2",
        &[(
            "fleet.ini",
            "[pool notices]\nsize = 4\nbudget.min_available = 75%\n[vm vm-4]\npool = spare\n",
        )],
    );
    let outcome = fleet.ctl(&format!("diff -f {}", changed.display())).await;
    assert_eq!(outcome.code, 8);
    assert_snapshot!(outcome.text);
}

/// One file of two is bad. If the good one were applied, the fleet would be between two versions
/// of what is in version control.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_is_applied_when_anything_is_wrong() {
    let (fleet, _) = applied("half").await;
    let wrong = [
        (
            "a.ini",
            "[pool billing]\nsize = 3\nbudget.min_available = 1\n",
        ),
        (
            "b.ini",
            "[vm vm-0]\npool = maps\n[service refunds]\npool = refunds\n",
        ),
    ];
    let directory = files("half-2", &wrong);
    let outcome = fleet
        .ctl(&format!("apply -f {}", directory.display()))
        .await;
    let shown = outcome
        .text
        .replace(&directory.display().to_string(), "DIR");
    assert_eq!(outcome.code, 3);
    assert_snapshot!(shown);
    assert_eq!(fleet.ctl("get pool billing").await.code, 1);
}

/// The log goes down in the middle of an apply. The operator must learn what was applied and what
/// was not, and a second run must finish the rest.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_in_the_middle_says_what_was_applied() {
    let fleet = Fleet::start(0).await;
    let directory = files("middle", &[("fleet.ini", FLEET)]);
    let declarations = lynxctl::load(&directory).expect("declarations");
    let client = lynxctl::ApiClient::new(&[fleet.daemon.operator_address()]);
    let plan = lynxctl::build_plan(&client, &declarations)
        .await
        .expect("plan");
    let stopped = lynxctl::apply_plan(&client, &plan, &|line: &str| {
        if line.contains("pool/spare") {
            let faults = Faults {
                log_down: true,
                ..Faults::default()
            };
            fleet
                .platform
                .with_platform(|platform| platform.faults = faults);
        }
    })
    .await
    .expect_err("the log is down");
    assert_eq!(stopped.exit_code(), 4);
    let text = stopped.to_string();
    let lines: Vec<&str> = text
        .lines()
        .filter(|line| !line.contains("come back"))
        .collect();
    assert_snapshot!(lines.join("\n"));
    fleet
        .platform
        .with_platform(|platform| platform.faults = Faults::default());
    let again = format!("apply -f {}", directory.display());
    let node = fleet.daemon.node();
    wait_until("the node is current again", || node.is_current()).await;
    // The appender refuses for a moment after a failure.
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    assert_eq!(fleet.done(&again).await, "5 applied, 2 unchanged");
}

/// Another operator changes the pool between the look and the write. The write must not undo it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn apply_loses_to_a_faster_operator() {
    let (fleet, _) = applied("race").await;
    let directory = files(
        "race-2",
        &[(
            "a.ini",
            "[pool notices]\nsize = 4\nbudget.min_available = 1\n",
        )],
    );
    let declarations = lynxctl::load(&directory).expect("declarations");
    let client = lynxctl::ApiClient::new(&[fleet.daemon.operator_address()]);
    let plan = lynxctl::build_plan(&client, &declarations)
        .await
        .expect("plan");
    let faster = files(
        "race-3",
        &[(
            "a.ini",
            "[pool notices]\nsize = 4\nbudget.min_available = 3\n",
        )],
    );
    fleet.done(&format!("apply -f {}", faster.display())).await;
    let stopped = lynxctl::apply_plan(&client, &plan, &|_| {})
        .await
        .expect_err("lost");
    assert_eq!(stopped.exit_code(), 6);
    let pool = ResourceRef::new(Kind::Pool, "notices");
    let view = client.get(&pool).await.expect("answer").expect("declared");
    assert!(
        stopped
            .to_string()
            .contains(&format!("is at revision {}", view.revision))
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn waves_are_started_and_steered() {
    let (fleet, _) = applied("waves").await;
    fleet
        .done("wave start kernel --pools notices --due-before-ms 0")
        .await;
    fleet.done("wave pause kernel").await;
    assert_eq!(
        fleet.done("wave pause kernel").await,
        "wave kernel was told so before"
    );
    fleet.done("wave resume kernel").await;
    fleet.done("wave abort kernel").await;
    let told = fleet.done("watch wave kernel --until-ready").await;
    assert_eq!(told, "wave/kernel is ready: aborted with 0 VMs due");
    assert_eq!(fleet.ctl("wave start kernel --pools notices").await.code, 6);
}

/// A wave stands still for hours. The operator needs to see that a budget holds it up, and whose.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn wave_that_stands_still_says_which_budget_holds_it() {
    let (fleet, directory) = applied("still").await;
    let all = FLEET.replace("budget.min_available = 2", "budget.min_available = 4");
    files("still", &[("fleet.ini", &all)]);
    fleet.done(&format!("apply -f {directory}")).await;
    fleet.done("wave start kernel --pools notices").await;
    assert_snapshot!(fleet.done("explain wave kernel").await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drained_vm_moves_into_the_spare_pool() {
    let (fleet, _) = applied("drain").await;
    let told = fleet.done("drain vm-0 --wait-s 50").await;
    assert_eq!(told, "vm/vm-0 is ready: available");
    let state = fleet.daemon.node().state();
    assert_eq!(
        state.vms().get("vm-0").map(|vm| vm.pool.to_string()),
        Some("spare".into())
    );
    let refused = fleet.ctl("drain vm-1 --into notices").await;
    assert_eq!(
        (refused.code, refused.text.as_str()),
        (1, "drain: pool notices is used by service/map")
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn what_is_still_needed_is_not_withdrawn() {
    let (fleet, _) = applied("needed").await;
    let outcome = fleet.ctl("delete pool notices").await;
    assert_eq!(outcome.code, 1);
    assert_snapshot!(outcome.text);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn wait_ends_with_its_time() {
    let (fleet, directory) = applied("wait").await;
    let more = format!("{FLEET}[vm vm-9]\npool = notices\n");
    files("wait", &[("fleet.ini", &more)]);
    fleet.done(&format!("apply -f {directory}")).await;
    let outcome = fleet.ctl("watch vm vm-9 --until-ready --timeout-s 1").await;
    assert_eq!(outcome.code, 7);
    assert_snapshot!(outcome.text);
    assert!(!outcome.progress.is_empty());
}

/// A write got no answer, so the operator has no operation to ask for; the list of the latest
/// writes shows it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn latest_writes_are_listed() {
    let (fleet, _) = applied("operations").await;
    let list = fleet.done("operation").await;
    let resources: Vec<&str> = list
        .lines()
        .filter_map(|line| line.split_whitespace().nth(1))
        .collect();
    assert_eq!(resources[..2], ["RESOURCE", "service/map"]);
    let id = list
        .lines()
        .nth(1)
        .and_then(|line| line.split_whitespace().next())
        .expect("an operation");
    let told = fleet.done(&format!("operation {id}")).await;
    assert!(told.starts_with("accepted at revision "), "{told}");
}

/// A node that is cut from the log shows the past. An operator who is not told acts on it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_of_a_node_that_is_behind_is_marked() {
    let (fleet, _) = applied("behind").await;
    assert_eq!(fleet.ctl("get pool notices").await.progress, [""; 0]);
    let faults = Faults {
        log_down: true,
        ..Faults::default()
    };
    fleet
        .platform
        .with_platform(|platform| platform.faults = faults);
    let node = fleet.daemon.node();
    wait_until("the node knows that it is behind", || !node.is_current()).await;
    let outcome = fleet.ctl("get pool notices").await;
    assert_eq!((outcome.code, outcome.progress.len()), (0, 1));
}

#[tokio::test]
async fn completions_are_printed() {
    let outcome = crate::common::run("completions bash").await;
    assert!(outcome.text.contains("_lynxctl()"), "{}", outcome.text);
}
