//! Access tokens in the settings.

use {
    lynxwheel::{Config, ConfigError},
    std::{fs, path::Path},
};

fn settings(operators: &str, tokens: &str) -> Result<Config, Vec<ConfigError>> {
    let text = format!(
        "[node]\nname = node-1\nzone = zone-1\n[listen]\ncallers = 0.0.0.0:8080\n\
         operators = {operators}\npeers = 0.0.0.0:8082\n[platform]\naddress = 127.0.0.1:7000\n\
         {tokens}"
    );
    Config::parse("node-1.ini", &text)
}

macro_rules! refused {
    ($($(#[$doc:meta])* $name:ident: $operators:expr, $tokens:expr => $reason:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let errors = settings($operators, $tokens).expect_err("errors");
            let errors: Vec<String> = errors.iter().map(ToString::to_string).collect();
            assert_eq!(errors.join("\n"), concat!("node-1.ini: ", $reason));
        })*
    };
}

refused! {
    /// Guards against an operator API that anybody on the network can use.
    network_address_without_tokens: "10.0.0.7:8081", "" => "section listen, key operators: without [tokens], \
        operators may listen on loopback addresses only";
    unspecified_address_without_tokens: "0.0.0.0:0", "[tokens]\n" => "section listen, key operators: without \
        [tokens], operators may listen on loopback addresses only";
    unknown_role: "127.0.0.1:8081", "[tokens]\ndesk = write:0123456789abcdef\n" =>
        "section tokens, key desk: the role must be one of read, operate, administer";
    /// Guards against errors that reveal the token.
    no_role: "127.0.0.1:8081", "[tokens]\ndesk = 0123456789abcdef\n" =>
        "section tokens, key desk: must be role:token or role:@file";
    short_token: "127.0.0.1:8081", "[tokens]\ndesk = read:12345\n" =>
        "section tokens, key desk: a token has at least 16 characters";
    missing_file: "127.0.0.1:8081", "[tokens]\ndesk = read:@/nowhere/token\n" =>
        "section tokens, key desk: /nowhere/token: No such file or directory (os error 2)";
}

#[test]
fn token_is_read_from_its_file_and_never_shown() {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join("desk.token");
    fs::write(&path, "0123456789abcdef\n").expect("write a file");
    let tokens = format!("[tokens]\ndesk = operate:@{}\n", path.display());
    let config = settings("10.0.0.7:8081", &tokens).expect("settings");
    assert!(!config.access.is_open());
    assert!(!format!("{config:?}").contains("0123456789abcdef"));
}

#[test]
fn loopback_needs_no_token() {
    let config = settings("127.0.0.1:8081", "").expect("settings");
    assert!(config.access.is_open());
}
