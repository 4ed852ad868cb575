//! The daemons under test.

use std::collections::HashMap;
use std::fs::{File, create_dir_all, read_to_string, write};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::parent_id;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio, exit};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::call;
use crate::json::Json;

/// Bound for a change of the configuration, as the small deployments set it.
pub const CONFIG_APPLY: Duration = Duration::from_millis(2000);
/// Time without disruption after which a machine is in touch.
pub const CONTACT: Duration = Duration::from_millis(3000);

/// Addresses of one entry machine.
#[derive(Debug, Clone)]
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub control: SocketAddr,
    pub metrics: SocketAddr,
}

impl Machine {
    pub fn new(name: &str, zone: &str) -> Self {
        Machine {
            name: name.to_owned(),
            zone: zone.to_owned(),
            front: free_address(),
            ready: free_address(),
            control: free_address(),
            metrics: free_address(),
        }
    }
}

/// Every process that was started.
static STARTED: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

/// Ends the case, with all its processes, if it takes too long or the script that runs it has ended.
pub fn end_after(time: Duration) {
    let (until, script) = (Instant::now() + time, parent_id());
    std::thread::spawn(move || {
        while Instant::now() < until && parent_id() == script {
            std::thread::sleep(Duration::from_millis(100));
        }
        for child in STARTED.lock().unwrap().iter() {
            child.lock().unwrap().kill().ok();
        }
        exit(2);
    });
}

/// A daemon; it is killed when this is dropped.
pub struct Daemon {
    pub machine: Machine,
    child: Arc<Mutex<Child>>,
    log: PathBuf,
}

impl Daemon {
    /// Starts the daemon of a machine with the command of the deploy file, whose settings are made
    /// from the template.
    pub fn start(
        repository: &str,
        folder: &Path,
        machine: &Machine,
        seeds: &[Machine],
        store: SocketAddr,
    ) -> Result<Self, String> {
        create_dir_all(folder).map_err(|e| e.to_string())?;
        let template = read_to_string(format!("{repository}/deploy/settings.yaml"))
            .map_err(|e| format!("the template: {e}"))?;
        let settings = folder.join(format!("{}.yaml", machine.name));
        write(&settings, filled(&template, machine, seeds, store)).map_err(|e| e.to_string())?;
        let log = folder.join(format!("{}.log", machine.name));
        let out = File::create(&log).map_err(|e| e.to_string())?;
        let err = out.try_clone().map_err(|e| e.to_string())?;
        let child = Command::new(format!("{repository}/target/release/saddleraild"))
            .arg("serve")
            .env("SADDLERAIL_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .map_err(|e| format!("the daemon: {e}"))?;
        let child = Arc::new(Mutex::new(child));
        STARTED.lock().unwrap().push(Arc::clone(&child));
        Ok(Daemon { machine: machine.clone(), child, log })
    }

    /// Whether the daemon says that it is ready.
    pub fn is_ready(&self) -> bool {
        let request = "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let answer = call(self.machine.ready, request, Duration::from_secs(1));
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// The daemon's own figures.
    pub fn state(&self) -> Json {
        let request = "GET /state HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let answer = call(self.machine.metrics, request, Duration::from_secs(1));
        answer.map_or(Json::Null, |answer| Json::parse(&answer.text()))
    }

    /// Sends the process a SIGHUP.
    pub fn hang_up(&self) {
        let id = self.child.lock().unwrap().id();
        Command::new("kill").args(["-HUP", &id.to_string()]).status().ok();
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let mut child = self.child.lock().unwrap();
        child.kill().ok();
        child.wait().ok();
    }

    /// Lines of the log that hold a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = read_to_string(&self.log).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_owned).collect()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until something holds.
pub fn wait_until(what: &str, within: Duration, holds: impl Fn() -> bool) -> Result<(), String> {
    let until = Instant::now() + within;
    while !holds() {
        if Instant::now() > until {
            return Err(format!("not in time: {what}"));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Ok(())
}

/// A free loopback address, with a port below those that the system gives out by itself.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let first = u16::try_from(std::process::id() % 97).unwrap_or(0) * 100;
    loop {
        let port = 20_000 + (first + NEXT.fetch_add(1, Ordering::SeqCst)) % 10_000;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// Fills the template as the platform does. Each process has a port of its own for its figures, since
/// all machines share one address here.
fn filled(template: &str, machine: &Machine, seeds: &[Machine], store: SocketAddr) -> String {
    let seeds: Vec<String> = seeds.iter().map(|seed| seed.control.to_string()).collect();
    let values: HashMap<&str, String> = HashMap::from([
        ("node_name", machine.name.clone()),
        ("zone", machine.zone.clone()),
        ("zones|json", r#"{"hall-a":"amman","hall-b":"amman","hall-c":"amman"}"#.to_owned()),
        ("listen_addresses.front", machine.front.to_string()),
        ("listen_addresses.ready", machine.ready.to_string()),
        ("listen_addresses.control", machine.control.to_string()),
        ("ip_address", machine.metrics.ip().to_string()),
        ("limits.cpu_share", "0.25".to_owned()),
        ("limits.memory_mb", "260".to_owned()),
        ("limits.file_descriptors", "4200".to_owned()),
        ("seed_nodes", seeds.join(",")),
        ("platform_settings.address", store.to_string()),
        ("bounds.config_apply_ms", CONFIG_APPLY.as_millis().to_string()),
        ("bounds.retry_budget_ratio", "0.2".to_owned()),
        ("bounds.retry_budget_slack", "52".to_owned()),
        ("bounds.budget_window_s", "10".to_owned()),
        ("bounds.grace_period_s", "8".to_owned()),
    ]);
    let mut out = String::new();
    let mut rest = template;
    while let Some((before, after)) = rest.split_once("{{") {
        let Some((name, after)) = after.split_once("}}") else { break };
        out.push_str(before);
        out.push_str(values.get(name).map_or("", String::as_str));
        rest = after;
    }
    out.push_str(rest);
    out.replace(":9464", &format!(":{}", machine.metrics.port()))
}
