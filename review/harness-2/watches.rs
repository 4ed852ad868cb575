//! The channels on which the store's watches wait fall silent for good at all machines, while new
//! channels, and those on which calls were answered lately, work. Later a key is taken away.

use std::thread::sleep;
use std::time::Duration;

use crate::daemon::{CONFIG_APPLY, CONTACT, Daemon, Machine, wait_until};
use crate::http::call;
use crate::record::Record;
use crate::runners::{Runner, World};
use crate::store::{Proxy, Store};

/// Rest after which an open channel falls silent. A lease is renewed each 1.9 s.
const REST: Duration = Duration::from_millis(2500);
/// Time from the silence to the change of the configuration.
const CHANGE_AFTER: Duration = Duration::from_millis(4500);
/// Time for which requests are sent after the change.
const OBSERVED: Duration = Duration::from_millis(9000);

pub fn run(repository: &str, trouble: bool, record: &Record) -> Result<Vec<String>, String> {
    let store = Store::start();
    let world = World::new(&store, record);
    store.put("op/config", &config(7, r#""key-one","key-two""#));
    let _runners: Vec<Runner> =
        (0..2).map(|_| Runner::start(&world, "gate", "hall-a", None, false)).collect();
    let machines: Vec<Machine> =
        (1..=3).map(|number| Machine::new(&format!("front-{number}"), "hall-a")).collect();
    let folder = std::env::temp_dir().join(format!("cases-2-{}", std::process::id()));
    let (mut daemons, mut proxies) = (Vec::new(), Vec::new());
    for machine in &machines {
        let proxy = Proxy::start(store.address);
        daemons.push(Daemon::start(repository, &folder, machine, &machines, proxy.address)?);
        proxies.push(proxy);
    }
    wait_until("all are ready", Duration::from_secs(20), || daemons.iter().all(Daemon::is_ready))?;
    // The machines find each other, and their watches wait.
    sleep(Duration::from_millis(6000));
    if trouble {
        for (proxy, machine) in proxies.iter().zip(&machines) {
            let silent = proxy.silence(REST);
            record.line(&format!("{silent} channels of {} to the store fall silent", machine.name));
        }
    }
    sleep(CHANGE_AFTER);
    store.put("op/config", &config(8, r#""key-one""#));
    let confirmed = record.now();
    record.line("version 8, without key-two, is confirmed");
    let in_force = confirmed + CONFIG_APPLY.as_secs_f64();
    debug_assert!(CHANGE_AFTER > CONTACT);
    let mut broken = Vec::new();
    let mut number = 0u64;
    while record.now() < confirmed + OBSERVED.as_secs_f64() {
        for machine in &machines {
            for key in ["key-one", "key-two"] {
                number += 1;
                let id = format!("{number:016x}");
                let sent = record.now();
                let answer = call(machine.front, &request(&id, key), Duration::from_secs(3));
                let status = answer.map_or(0, |answer| answer.status());
                record.line(&format!(
                    "request {id} with {key}, sent at {sent:.3} s to {}: {status}",
                    machine.name
                ));
                let has_run = world.runs.lock().unwrap().iter().any(|run| run.request == id);
                if key == "key-two" && has_run && sent > in_force {
                    broken.push(format!(
                        "CONFIG: request {id} with the dropped key, sent {:.3} s after the confirmation to {}, has run: {status}",
                        sent - confirmed,
                        machine.name
                    ));
                }
            }
        }
        sleep(Duration::from_millis(100));
    }
    for daemon in &daemons {
        for line in daemon.log_lines("configuration in force") {
            record.line(&format!("log of {}: {line}", daemon.machine.name));
        }
    }
    std::fs::remove_dir_all(&folder).ok();
    Ok(broken)
}

fn request(id: &str, key: &str) -> String {
    format!(
        "GET /loan/1 HTTP/1.1\r\nHost: jepu9.example\r\nRequest-Id: {id}\r\nDeadline-Milliseconds: 2000\r\nAuthorization: Bearer {key}\r\n\r\n"
    )
}

fn config(version: u64, keys: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-loan","host":"jepu9.example","path_prefix":"/loan/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"gate","max_attempts":2,"stages":[],"public":false}}],"services":[{{"name":"gate","health_check_path":"/health","connection_limit":96,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"bozi300","api_keys":[{keys}],"priority":1}}]}}"#
    )
}
