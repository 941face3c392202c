//! Tests that apply the sample declarations in `examples/` to a fleet.

use {
    crate::common::{Fleet, wait_until},
    lynxctl::load,
    lynxwheel_protocol::{Kind, Resource},
    std::path::{Path, PathBuf},
};

fn directory(customer: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(customer)
}

macro_rules! customers {
    ($($name:ident: $customer:expr;)*) => {
        $(#[tokio::test(flavor = "multi_thread", worker_threads = 2)] async fn $name() {
            let path = directory($customer);
            let declarations = load(&path).expect("declarations");
            let vms = declarations
                .iter()
                .filter(|declaration| declaration.resource.kind() == Kind::Vm)
                .count();
            let fleet = Fleet::start(u32::try_from(vms).expect("few VMs")).await;
            let files = path.display();
            let output = fleet.ctl_ok(&format!("apply -f {files}")).await;
            assert_eq!(output, format!("{} applied, 0 unchanged", declarations.len()));
            let again = fleet.ctl_ok(&format!("apply -f {files}")).await;
            assert_eq!(again, format!("0 applied, {} unchanged", declarations.len()));
            fleet.ctl_ok(&format!("diff -f {files}")).await;
            let node = fleet.daemon.node();
            wait_until("every pool keeps its budget", || {
                let state = node.state();
                state.pools().iter().all(|pool| pool.available >= pool.floor())
            })
            .await;
            for declaration in &declarations {
                if let Resource::Service(spec) = &declaration.resource {
                    fleet.ctl_ok(&format!("watch service {} --until-ready", spec.name)).await;
                }
            }
        })*
    };
}

customers! {
    tamsui: "tamsui";
    recarga_bella: "recarga-bella";
}
