//! Cases of the review that are scripts: `cases NAME RECORD FOLDER`. The exit status is 1 if the rule
//! was broken, 0 if it held and 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.

#![allow(dead_code, reason = "some fields are only printed")]

mod cloud;
mod fleet;
mod foreign;
mod gang;
mod given_up;
mod http;
mod json;
mod link;
mod nodes;
mod record;
mod stale_order;
mod store;

use {record::Record, std::{env, process::exit}};

pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

pub struct Case {
    pub record: Record,
    pub folder: String,
    pub has_trouble: bool,
}

fn main() {
    let arguments: Vec<String> = env::args().collect();
    let [_, name, record, folder] = &arguments[..] else {
        eprintln!("usage: cases NAME RECORD FOLDER");
        exit(2);
    };
    let case = Case {
        record: Record::create(record),
        folder: folder.clone(),
        has_trouble: env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let verdict = match name.as_str() {
        "gang" => gang::run(&case),
        "foreign" => foreign::run(&case),
        "given-up" => given_up::run(&case),
        "stale-order" => stale_order::run(&case),
        _ => Verdict::NotRun(format!("no case {name}")),
    };
    let (line, status) = match verdict {
        Verdict::Held => ("held".to_string(), 0),
        Verdict::Broken(what) => (format!("broken: {what}"), 1),
        Verdict::NotRun(why) => (format!("not run: {why}"), 2),
    };
    case.record.line(&line);
    println!("{line}");
    exit(status);
}
