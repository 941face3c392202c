//! Tests of commands against a running node.

use {
    crate::common::{Fleet, wait_until, write_files},
    insta::assert_snapshot,
    lynxwheel_protocol::{Kind, ResourceRef},
    lynxwheel_standin::Faults,
};

const FLEET: &str = "[pool notices]\nsize = 4\nbudget.min_available = 2\n\
    [pool spare]\nsize = 0\nbudget.min_available = 0\n\
    [service map]\npool = notices\n\
    [vm vm-0]\npool = notices\n[vm vm-1]\npool = notices\n\
    [vm vm-2]\npool = notices\n[vm vm-3]\npool = notices\n";

/// Replaces revisions with `N`, as they depend on the node's reports in the meantime.
fn mask_revisions(text: &str) -> String {
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

/// Starts a fleet with the declarations in [`FLEET`] and waits until its VMs are available.
async fn start_with_declarations(name: &str) -> (Fleet, String) {
    let fleet = Fleet::start(4).await;
    let directory = write_files(name, &[("fleet.ini", FLEET)])
        .display()
        .to_string();
    fleet.ctl_ok(&format!("apply -f {directory}")).await;
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
    let (fleet, _) = start_with_declarations("tables").await;
    assert_snapshot!("get_pool", mask_revisions(&fleet.ctl_ok("get pool").await));
    assert_snapshot!(
        "describe_service",
        mask_revisions(&fleet.ctl_ok("describe service map").await)
    );
    assert_snapshot!("explain_vm", fleet.ctl_ok("explain vm vm-0").await);
    let json = fleet.ctl_ok("get pool notices -o json").await;
    let view: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!(view["spec"]["size"], 4);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn diff_shows_what_apply_would_change() {
    let (fleet, _) = start_with_declarations("diff").await;
    let changed = write_files(
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

/// Guards against an apply that leaves the fleet between two versions of its declarations.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_is_applied_when_anything_is_wrong() {
    let (fleet, _) = start_with_declarations("half").await;
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
    let directory = write_files("half-2", &wrong);
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

/// Guards against an interrupted apply that does not report what it applied, or that cannot be
/// repeated.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_in_the_middle_says_what_was_applied() {
    let fleet = Fleet::start(0).await;
    let directory = write_files("middle", &[("fleet.ini", FLEET)]);
    let declarations = lynxctl::load(&directory).expect("declarations");
    let client = lynxctl::ApiClient::new(&[fleet.daemon.operator_address()]);
    let plan = lynxctl::build_plan(&client, &declarations)
        .await
        .expect("plan");
    let error = lynxctl::apply_plan(&client, &plan, &|line: &str| {
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
    assert_eq!(error.exit_code(), 4);
    let text = error.to_string();
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
    // The appender rejects proposals for a short time after a failure.
    tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    assert_eq!(fleet.ctl_ok(&again).await, "5 applied, 2 unchanged");
}

/// Guards against an apply that overwrites a concurrent change.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn apply_loses_to_a_faster_operator() {
    let (fleet, _) = start_with_declarations("race").await;
    let directory = write_files(
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
    let faster = write_files(
        "race-3",
        &[(
            "a.ini",
            "[pool notices]\nsize = 4\nbudget.min_available = 3\n",
        )],
    );
    fleet
        .ctl_ok(&format!("apply -f {}", faster.display()))
        .await;
    let error = lynxctl::apply_plan(&client, &plan, &|_| {})
        .await
        .expect_err("lost");
    assert_eq!(error.exit_code(), 6);
    let pool = ResourceRef::new(Kind::Pool, "notices");
    let view = client
        .get(&pool)
        .await
        .expect("response")
        .expect("declared");
    assert!(
        error
            .to_string()
            .contains(&format!("is at revision {}", view.revision))
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn waves_are_started_and_steered() {
    let (fleet, _) = start_with_declarations("waves").await;
    fleet
        .ctl_ok("wave start kernel --pools notices --due-before-ms 0")
        .await;
    fleet.ctl_ok("wave pause kernel").await;
    assert_eq!(
        fleet.ctl_ok("wave pause kernel").await,
        "wave kernel was told so before"
    );
    fleet.ctl_ok("wave resume kernel").await;
    fleet.ctl_ok("wave abort kernel").await;
    let output = fleet.ctl_ok("watch wave kernel --until-ready").await;
    assert_eq!(output, "wave/kernel is ready: aborted with 0 VMs due");
    assert_eq!(fleet.ctl("wave start kernel --pools notices").await.code, 6);
}

/// Guards against an explanation of a stalled wave that does not name the budget that blocks it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn wave_that_stands_still_says_which_budget_holds_it() {
    let (fleet, directory) = start_with_declarations("still").await;
    let all = FLEET.replace("budget.min_available = 2", "budget.min_available = 4");
    write_files("still", &[("fleet.ini", &all)]);
    fleet.ctl_ok(&format!("apply -f {directory}")).await;
    fleet.ctl_ok("wave start kernel --pools notices").await;
    assert_snapshot!(fleet.ctl_ok("explain wave kernel").await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drained_vm_moves_into_the_spare_pool() {
    let (fleet, _) = start_with_declarations("drain").await;
    let output = fleet.ctl_ok("drain vm-0 --wait-s 50").await;
    assert_eq!(output, "vm/vm-0 is ready: available");
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
    let (fleet, _) = start_with_declarations("needed").await;
    let outcome = fleet.ctl("delete pool notices").await;
    assert_eq!(outcome.code, 1);
    assert_snapshot!(outcome.text);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn wait_ends_with_its_time() {
    let (fleet, directory) = start_with_declarations("wait").await;
    let more = format!("{FLEET}[vm vm-9]\npool = notices\n");
    write_files("wait", &[("fleet.ini", &more)]);
    fleet.ctl_ok(&format!("apply -f {directory}")).await;
    let outcome = fleet.ctl("watch vm vm-9 --until-ready --timeout-s 1").await;
    assert_eq!(outcome.code, 7);
    assert_snapshot!(outcome.text);
    assert!(!outcome.progress.is_empty());
}

/// Guards against writes that cannot be looked up because the response with the operation id was
/// lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn latest_writes_are_listed() {
    let (fleet, _) = start_with_declarations("operations").await;
    let list = fleet.ctl_ok("operation").await;
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
    let output = fleet.ctl_ok(&format!("operation {id}")).await;
    assert!(output.starts_with("accepted at revision "), "{output}");
}

/// Guards against outdated responses of a node without access to the log that are not marked.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn answer_of_a_node_that_is_behind_is_marked() {
    let (fleet, _) = start_with_declarations("behind").await;
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
