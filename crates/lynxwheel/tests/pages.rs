//! Consistency of the documentation with the code.

use {
    lynxwheel::{Config, KNOWN_KEYS, NAMED_SECTIONS},
    std::{fs, path::Path},
};

const OPERATIONS: &str = "../../docs/OPERATIONS.md";

const PROOF: &str = "../../docs/PROOF.md";

const PACKAGES: &str = "..";

const SCRIPTS: &str = "../scenario/tests/scripts";

/// Section and key of a setting.
#[derive(Debug, Eq, Ord, PartialEq, PartialOrd)]
struct SettingKey {
    section: String,
    key: String,
}

fn page(path: &str) -> String {
    fs::read_to_string(path).expect("the page")
}

/// Returns the parts of a text that are in backquotes.
fn quoted(text: &str) -> impl Iterator<Item = &str> {
    text.split('`').skip(1).step_by(2)
}

/// Returns the cells of each row of the table that starts with `header`.
fn table<'a>(page: &'a str, header: &str) -> Vec<Vec<&'a str>> {
    let after = page.split(header).nth(1).expect("a table");
    after
        .lines()
        .skip(2)
        .take_while(|line| line.starts_with('|'))
        .map(|row| row.split('|').skip(1).map(str::trim).collect())
        .collect()
}

/// Guards against settings without documentation, and documented ones that no longer exist.
#[test]
fn page_has_every_key_of_the_settings() {
    let page = page(OPERATIONS);
    let documented = table(&page, "| section | key |");
    let mut fixed: Vec<SettingKey> = Vec::new();
    let mut named: Vec<&str> = Vec::new();
    for cells in &documented {
        let section = cells[0].trim_matches('`');
        if NAMED_SECTIONS.contains(&section) {
            named.push(section);
        } else {
            fixed.push(SettingKey {
                section: section.into(),
                key: cells[1].trim_matches('`').into(),
            });
        }
    }
    let mut known: Vec<SettingKey> = Vec::new();
    for (section, keys) in KNOWN_KEYS {
        known.extend(keys.iter().map(|key| SettingKey {
            section: section.into(),
            key: (*key).into(),
        }));
    }
    fixed.sort();
    known.sort();
    assert_eq!(fixed, known);
    assert_eq!(named, NAMED_SECTIONS);
}

/// Guards against a documented example that the daemon rejects; the token files are replaced.
#[test]
fn example_of_the_page_is_accepted() {
    let page = page(OPERATIONS);
    let after = page.split("```ini").nth(1).expect("an example");
    let example = after.split("```").next().expect("its end");
    let example = example
        .replace(
            "@/etc/lynxwheel/oncall.token",
            "the-token-of-who-is-on-call",
        )
        .replace(
            "@/etc/lynxwheel/dashboards.token",
            "the-token-of-dashboards",
        );
    let config = Config::parse("page.ini", &example).expect("a valid example");
    assert_eq!(config.peers.len(), 2);
}

/// Guards against documented events and metrics that the code no longer has.
#[test]
fn events_and_metrics_of_the_page_exist() {
    let page = page(OPERATIONS);
    let sources = sources("src");
    for metric in quoted(&page).filter(|name| name.starts_with("lynxwheel_")) {
        let name = metric.split('{').next().expect("a name");
        assert!(sources.contains(&format!("\"{name}\"")), "no metric {name}");
    }
    for cells in table(&page, "| event | says |") {
        for event in quoted(cells[0]) {
            let written = format!("event = \"{event}\"");
            assert!(sources.contains(&written), "no event {event}");
        }
    }
}

/// Guards against documented guarantees whose script or test no longer exists, and scripts that no
/// guarantee names.
#[test]
fn proofs_of_the_page_exist() {
    let page = page(PROOF);
    let tests = sources("tests");
    let proofs = page.split("## Not proved").next().expect("the tables");
    let names = quoted(proofs).filter(|name| {
        name.contains('_') && name.chars().all(|c| c.is_ascii_lowercase() || c == '_')
    });
    for name in names.filter(|name| *name != "key_keep_ms" && *name != "drain_ms") {
        let is_script = Path::new(SCRIPTS).join(name).exists();
        let is_test = tests.contains(&format!("fn {name}("));
        assert!(is_script || is_test, "no script or test {name}");
    }
    for script in fs::read_dir(SCRIPTS).expect("scripts") {
        let name = script.expect("script").file_name();
        let name = name.to_str().expect("UTF-8");
        assert!(
            quoted(proofs).any(|word| word == name),
            "no guarantee names {name}"
        );
    }
}

/// Returns the text of all files under `directory` in every package.
fn sources(directory: &str) -> String {
    let mut text = String::new();
    for package in fs::read_dir(PACKAGES).expect("packages") {
        let path = package.expect("package").path().join(directory);
        append_files(&path, &mut text);
    }
    text
}

/// Appends the text of all files under a directory.
fn append_files(directory: &Path, text: &mut String) {
    let Ok(entries) = fs::read_dir(directory) else {
        return;
    };
    for entry in entries {
        let path = entry.expect("entry").path();
        if path.is_dir() {
            append_files(&path, text);
        } else {
            text.push_str(&fs::read_to_string(&path).expect("text"));
        }
    }
}
