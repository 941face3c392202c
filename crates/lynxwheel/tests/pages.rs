//! The operators' page against the code.

use {
    lynxwheel::{Config, KNOWN_KEYS, NAMED_SECTIONS},
    std::{collections::BTreeSet, fs, path::Path},
};

const PAGE: &str = "../../docs/OPERATIONS.md";

const SOURCES: &str = "..";

fn page() -> String {
    fs::read_to_string(PAGE).expect("the page")
}

/// Returns the words in backquotes of the first two cells of a table's rows.
fn documented_keys(page: &str) -> BTreeSet<(String, String)> {
    let after = page.split("| section | key |").nth(1).expect("a table");
    let rows = after
        .lines()
        .skip(2)
        .take_while(|line| line.starts_with('|'));
    rows.map(|row| {
        let mut cells = row.split('|').skip(1).map(str::trim);
        let mut cell = || cells.next().expect("cell").replace('`', "");
        (cell(), cell())
    })
    .collect()
}

/// An operator looks a key up that the page does not have, or sets one that is no longer known.
#[test]
fn page_has_every_key_of_the_settings() {
    let known: BTreeSet<(String, String)> = KNOWN_KEYS
        .iter()
        .flat_map(|(section, keys)| {
            keys.iter()
                .map(|key| ((*section).to_owned(), (*key).to_owned()))
        })
        .collect();
    let documented = documented_keys(&page());
    let (named, fixed): (BTreeSet<_>, BTreeSet<_>) = documented
        .into_iter()
        .partition(|(section, _)| NAMED_SECTIONS.contains(&section.as_str()));
    assert_eq!(fixed, known);
    let sections: BTreeSet<String> = named.into_iter().map(|(section, _)| section).collect();
    assert_eq!(sections, NAMED_SECTIONS.map(str::to_owned).into());
}

/// An operator copies the page's example; apart from the token files it must be accepted.
#[test]
fn example_of_the_page_is_accepted() {
    let page = page();
    let after = page.split("```ini").nth(1).expect("an example");
    let example = after.split("```").next().expect("its end");
    let example = example
        .replace(
            "@/etc/lynxwheel/oncall.token",
            "a-token-of-the-person-on-call",
        )
        .replace(
            "@/etc/lynxwheel/dashboards.token",
            "a-token-of-the-dashboards",
        );
    let config = Config::parse("page.ini", &example).expect("a valid example");
    assert_eq!(config.peers.len(), 2);
}

/// An alert waits for an event or metric that the code no longer writes.
#[test]
fn events_and_metrics_of_the_page_exist() {
    let page = page();
    let sources = sources();
    let names = page.split('`').skip(1).step_by(2);
    let metrics = names.filter(|name| name.starts_with("lynxwheel_"));
    for metric in metrics {
        let name = metric.split('{').next().expect("a name");
        assert!(sources.contains(&format!("\"{name}\"")), "no metric {name}");
    }
    let events = page.split("| event | says |").nth(1).expect("a table");
    let rows = events
        .lines()
        .skip(2)
        .take_while(|line| line.starts_with('|'));
    for row in rows {
        let cell = row.split('|').nth(1).expect("cell");
        for event in cell.split('`').skip(1).step_by(2) {
            let written = format!("event = \"{event}\"");
            assert!(sources.contains(&written), "no event {event}");
        }
    }
}

fn sources() -> String {
    let mut text = String::new();
    for package in fs::read_dir(SOURCES).expect("packages") {
        gather(&package.expect("package").path().join("src"), &mut text);
    }
    text
}

fn gather(directory: &Path, text: &mut String) {
    let Ok(entries) = fs::read_dir(directory) else {
        return;
    };
    for entry in entries {
        let path = entry.expect("entry").path();
        if path.is_dir() {
            gather(&path, text);
        } else {
            text.push_str(&fs::read_to_string(&path).expect("source"));
        }
    }
}
