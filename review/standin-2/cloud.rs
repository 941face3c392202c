//! The platform's service of machines: the list, and orders of upkeep.

use {
    crate::{
        fleet::Fleet,
        http::{Handler, Request, Response, empty_response, json_response},
        json::{Json, object, text},
    },
    std::{
        sync::{Arc, Mutex},
        thread,
        time::Duration,
    },
};

const UPKEEP_MS: u64 = 2_000;

/// An order as it arrived, with its answer.
#[derive(Clone, Debug)]
pub struct Order {
    pub path: String,
    pub machine: String,
    pub holder: String,
    pub fence: u64,
    pub status: u16,
}

#[derive(Clone)]
pub struct Cloud {
    fleet: Fleet,
    pub orders: Arc<Mutex<Vec<Order>>>,
    /// Machines that have had the upkeep of a wave.
    begun: Arc<Mutex<Vec<(u64, String)>>>,
}

impl Cloud {
    pub fn new(fleet: Fleet) -> Self {
        Self { fleet, orders: Arc::default(), begun: Arc::default() }
    }

    pub fn handler(&self) -> Handler {
        let cloud = self.clone();
        Arc::new(move |request| match request.path.as_str() {
            "/machines" => json_response(200, &cloud.fleet.machine_list()),
            "/machine-upkeep" | "/machine-move" => cloud.order(request),
            _ => empty_response(404),
        })
    }

    fn order(&self, request: &Request) -> Option<Response> {
        let body = Json::parse(&String::from_utf8_lossy(&request.body))?;
        let machine = body.get("machine").str().to_string();
        let fence = request.header("Lynxwheel-Fencing-Token").and_then(|text| text.parse().ok());
        let (status, reason) = if request.path == "/machine-upkeep" {
            self.upkeep(&machine, body.get("wave").u64().unwrap_or_default())
        } else {
            (409, "busy")
        };
        let order = Order {
            path: request.path.clone(),
            machine,
            holder: request.header("Lynxwheel-Duty-Holder").unwrap_or_default().into(),
            fence: fence.unwrap_or_default(),
            status,
        };
        self.fleet.record.line(&format!("the platform gets {order:?}"));
        self.orders.lock().unwrap().push(order);
        match status {
            200 => json_response(200, &object(vec![])),
            _ => json_response(status, &object(vec![("reason", text(reason))])),
        }
    }

    fn upkeep(&self, machine: &str, wave: u64) -> (u16, &'static str) {
        let mut begun = self.begun.lock().unwrap();
        if begun.iter().any(|known| known.0 == wave && known.1 == machine) {
            return (200, "");
        }
        let world = self.fleet.lock();
        let index = world.machines.iter().position(|known| known.name == machine);
        let Some(index) = index else { return (400, "") };
        if world.machines[index].state != "up" {
            return (409, "busy");
        }
        drop(world);
        begun.push((wave, machine.to_string()));
        self.fleet.crash(index, "upkeep");
        let fleet = self.fleet.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(UPKEEP_MS));
            fleet.start(index);
        });
        (200, "")
    }

    /// Returns the orders for one machine where one with a lower fence number follows a higher one.
    pub fn stale_orders(&self) -> Vec<(Order, Order)> {
        let orders = self.orders.lock().unwrap();
        let mut stale = Vec::new();
        for (at, later) in orders.iter().enumerate() {
            let earlier = orders[..at].iter();
            let higher = earlier.filter(|known| known.machine == later.machine);
            if let Some(higher) = higher.max_by_key(|known| known.fence).filter(|known| known.fence > later.fence) {
                stale.push((higher.clone(), later.clone()));
            }
        }
        stale
    }
}
