//! Tests of the parser for declaration files.

use {
    insta::assert_snapshot,
    lynxctl::{DeclarationError, field_texts, parse},
    lynxwheel_protocol::{Kind, fields},
    proptest::{prelude::ProptestConfig, prop_assert, proptest},
    std::fmt::Write,
};

macro_rules! invalid_declarations {
    ($($(#[$doc:meta])* $name:ident: $text:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() {
            let errors = parse("fleet.ini", $text).expect_err("errors");
            let errors: Vec<String> = errors.iter().map(DeclarationError::to_string).collect();
            assert_snapshot!(stringify!($name), errors.join("\n"));
        })*
    };
}

invalid_declarations! {
    /// Guards against a parser that reports only the first of several errors.
    all_at_once: "[pool notices]\nsize = ten\nbudget.min_avail = 70%\n\
        [service map]\npool = notices\nslots_per_endpoint = 0\ndeadline_ms = -1\n";
    /// Guards against a duplicated section that is silently ignored.
    declared_twice: "[vm vm-0]\npool = notices\n[vm vm-0]\npool = billing\n";
    key_given_twice: "[vm vm-0]\npool = notices\npool = billing\n";
    section_without_name: "[pool]\nsize = 3\n";
    unknown_kind: "[pols notices]\nsize = 3\n";
    bad_name: "[pool no/tices]\nsize = 3\n";
    name_as_key: "[vm vm-0]\nname = vm-1\npool = notices\n";
    keys_before_sections: "size = 3\n[vm vm-0]\npool = notices\n";
    budget_above_the_size: "[pool notices]\nsize = 3\nbudget.min_available = 4\n";
    budget_above_all: "[pool notices]\nsize = 3\nbudget.min_available = 101%\n";
    wave_names_a_pool_twice: "[wave kernel]\npools = b, a, b\ndue_before_ms = 1\n";
    no_ini: "[pool notices\nsize = 3\n";
}

#[test]
fn defaults_stand_in_for_keys_left_out() {
    let text =
        "[service map]\npool = maps\n[job refresh]\npool = maps\nteam = desk\nrun_time_ms = 5\n";
    let declarations = parse("fleet.ini", text).expect("declarations");
    let mut shown = String::new();
    for declaration in &declarations {
        writeln!(shown, "[{}]", declaration.resource.reference()).expect("text");
        for (field, text) in field_texts(&declaration.resource) {
            writeln!(shown, "{field} = {text}").expect("text");
        }
    }
    assert_snapshot!(shown);
}

#[test]
fn what_is_shown_can_be_read_again() {
    let text = "[pool notices]\nsize = 10\nbudget.min_available = 70%\n\
        [wave kernel]\npools = notices, billing\ngoal = pause\ndue_before_ms = 5\n";
    let declarations = parse("fleet.ini", text).expect("declarations");
    for declaration in declarations {
        let reference = declaration.resource.reference();
        let mut again = format!("[{} {}]\n", reference.kind, reference.name);
        for (field, text) in field_texts(&declaration.resource) {
            writeln!(again, "{field} = {text}").expect("text");
        }
        let read = parse("fleet.ini", &again).expect("the same declaration");
        assert_eq!(read, [declaration]);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    /// Any input is either valid or has errors that name the file.
    #[test]
    fn any_text_is_answered(text in "(?s).{0,400}") {
        if let Err(errors) = parse("fleet.ini", &text) {
            prop_assert!(!errors.is_empty());
            prop_assert!(errors.iter().all(|error| error.file == "fleet.ini"));
        }
    }

    /// Inputs with the structure of a declaration get past the syntax check; the number of their
    /// errors is bounded by the fields of the kind.
    #[test]
    fn any_declaration_is_answered(
        kind in 0..Kind::ALL.len(),
        field in 0_usize..16,
        name in "[a-z/ .%-]{0,9}",
        value in "[0-9a-z%,. -]{0,24}",
    ) {
        let kind = Kind::ALL[kind];
        let fields = fields(kind);
        let key = fields[field % fields.len()].path;
        let text = format!("[{kind} {name}]\n{key} = {value}\n");
        if let Err(errors) = parse("fleet.ini", &text) {
            prop_assert!((1..=fields.len() + 1).contains(&errors.len()), "{errors:?}");
        }
    }
}
