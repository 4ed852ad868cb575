//! A fleet of real processes on loopback addresses of its own: platform, targets and entry VMs,
//! stopped by process id when dropped. For tests and benchmarks.

// A fixture that can't be set up must end its test or benchmark at once.
#![allow(clippy::expect_used)]

use std::fs;
use std::io::Read;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Longest wait for any condition; reached only if the condition never comes.
pub const MAX_WAIT: Duration = Duration::from_secs(20);
/// VMs that a VM keeps in mind whatever hall they are in.
const KEPT_AT_LEAST: usize = 16;
const PLATFORM_PORT: u16 = 7000;
const TARGET_PORT: u16 = 8000;

static FLEETS: AtomicU8 = AtomicU8::new(1);

/// A kind of target to start: its pool label, how many, and arguments of the stand-in.
#[derive(Debug, Clone)]
pub struct Pool {
    /// Value of the label "pool" and start of the targets' names.
    pub name: &'static str,
    /// Targets; all of them run in one process.
    pub count: u16,
    /// Arguments of the stand-in.
    pub args: &'static [&'static str],
}

/// One entry VM of the fleet.
#[derive(Debug)]
pub struct Vm {
    /// Name.
    pub name: String,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Its peer link.
    pub peers: SocketAddr,
    /// Its operations page.
    pub operations: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

/// Platform, targets and entry VMs, all processes of their own.
#[derive(Debug)]
pub struct Fleet {
    /// The loopback address of all its processes.
    pub ip: IpAddr,
    /// The platform's store and VM list.
    pub platform: SocketAddr,
    /// Where entry VMs started from now on look for the platform.
    pub platform_for_vms: SocketAddr,
    /// Entry VMs, in the order in which they were started.
    pub vms: Vec<Vm>,
    /// Names and addresses of all targets.
    pub targets: Vec<(String, SocketAddr)>,
    dir: PathBuf,
    children: Vec<Child>,
}

/// A program of the workspace, from the build folder of the running one.
///
/// # Panics
/// If it is not built.
pub fn program_path(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("own path");
    let found = own.ancestors().skip(1).take(2).map(|dir| dir.join(name)).find(|p| p.exists());
    found.unwrap_or_else(|| panic!("{name} is not built: build or test the whole workspace"))
}

/// Waits until `done`, and fails the test with `what` if that does not come.
pub fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let began = Instant::now();
    while !done() {
        assert!(began.elapsed() < MAX_WAIT, "not within {MAX_WAIT:?}: {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// A client that takes every status and never uses a connection twice.
pub fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(MAX_WAIT))
        .max_idle_connections(0)
        .build()
        .new_agent()
}

/// Puts JSON, which must be taken.
///
/// # Panics
/// If it is not.
pub fn put_json(to: SocketAddr, path: &str, value: &Value) {
    let rx = agent().put(format!("http://{to}{path}")).send(value.to_string()).expect("put");
    assert_eq!(rx.status().as_u16(), 200, "PUT {path} {value}");
}

/// Gets JSON; `None` if there was no answer with status 200.
pub fn get_json(from: SocketAddr, path: &str) -> Option<Value> {
    let mut rx = agent().get(format!("http://{from}{path}")).call().ok()?;
    if rx.status().as_u16() != 200 {
        return None;
    }
    serde_json::from_str(&rx.body_mut().read_to_string().ok()?).ok()
}

fn status_of(from: SocketAddr, path: &str) -> Option<u16> {
    agent().get(format!("http://{from}{path}")).call().ok().map(|rx| rx.status().as_u16())
}

/// Sends a signal to one process that the test started.
pub fn signal(child: &Child, name: &str) {
    let status = Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
    assert!(status.expect("kill").success(), "kill -{name}");
}

/// A loopback address that no other fixture has, of this process or another one, so that its
/// ports are free.
pub fn unique_loopback_address() -> IpAddr {
    let number = FLEETS.fetch_add(1, Ordering::Relaxed);
    let [.., high, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, number))
}

impl Fleet {
    /// Platform and targets, with no entry VM yet.
    pub fn start(pools: &[Pool]) -> Fleet {
        let ip = unique_loopback_address();
        let dir = std::env::temp_dir().join(format!("saddlerail-test-{ip}"));
        fs::create_dir_all(&dir).expect("temporary directory");
        let platform = SocketAddr::new(ip, PLATFORM_PORT);
        let children = vec![spawn(
            Command::new(program_path("standin-platform")).arg(format!("--listen={platform}")),
        )];
        let mut fleet = Fleet {
            ip,
            platform,
            platform_for_vms: platform,
            vms: Vec::new(),
            targets: Vec::new(),
            dir,
            children,
        };
        let mut port = TARGET_PORT;
        for pool in pools {
            let listen = format!("--listen={}", SocketAddr::new(ip, port));
            let count = format!("--count={}", pool.count);
            let mut command = Command::new(program_path("standin-target"));
            fleet.children.push(spawn(command.args([listen, count]).args(pool.args)));
            for number in 0..pool.count {
                let name = format!("{}-{}", pool.name, number + 1);
                fleet.targets.push((name, SocketAddr::new(ip, port + number)));
            }
            port += 100;
        }
        wait_until("the platform answers", || get_json(platform, "/counts").is_some());
        for (name, address) in &fleet.targets {
            wait_until(&format!("{name} answers"), || get_json(*address, "/record").is_some());
        }
        fleet
    }

    /// Targets of the pools in hall-a and hall-b by turns, two customers and the services.
    pub fn catalogue(&self, services: &str) -> String {
        let mut text = "customer: {name: small}\n---\ncustomer: {name: large}\n".to_owned();
        for (index, (name, address)) in self.targets.iter().enumerate() {
            let hall = if index % 2 == 0 { "hall-a" } else { "hall-b" };
            let pool = name.split('-').next().unwrap_or_default();
            text += &format!(
                "---\ntarget: {{name: {name}, hall: {hall}, address: '{address}', \
                 labels: {{pool: {pool}}}}}\n"
            );
        }
        format!("{text}---\n{services}")
    }

    /// Writes the text to a file and applies it.
    pub fn apply(&self, text: &str) -> Output {
        let file = self.write_file("apply.yaml", text);
        self.run_cli(&["apply", "-f", file.to_str().unwrap_or_default()])
    }

    /// Writes a file into the fleet's folder.
    pub fn write_file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.dir.join(name);
        fs::write(&path, text).expect("write");
        path
    }

    /// Runs the operators' tool.
    pub fn run_cli(&self, args: &[&str]) -> Output {
        let mut command = Command::new(program_path("saddlerail"));
        command.arg(format!("--platform={}", self.platform));
        if let Some(vm) = self.vms.first() {
            command.arg(format!("--vm={}", vm.operations));
        }
        command.args(args).output().expect("tool")
    }

    /// Starts entry VM `number` (from 1) in a hall, with further settings, and waits until it
    /// is ready.
    pub fn start_vm(&mut self, hall: &str, more: &str) -> usize {
        let index = self.start_vm_without_waiting(hall, more);
        self.wait_ready(index);
        index
    }

    /// Starts an entry VM without waiting for it.
    pub fn start_vm_without_waiting(&mut self, hall: &str, more: &str) -> usize {
        let index = self.vms.len();
        let port = 9000 + 10 * u16::try_from(index).expect("few VMs");
        let address = |offset| SocketAddr::new(self.ip, port + offset);
        let name = format!("entry-{}", index + 1);
        let seeds: Vec<String> = self.vms.iter().map(|vm| format!("'{}'", vm.peers)).collect();
        let text = format!(
            "vm: {name}\nhall: {hall}\ncallers: '{}'\npeers: '{}'\noperations: '{}'\n\
             platform: '{}'\nseeds: [{}]\nlog: debug\n{more}",
            address(0),
            address(1),
            address(2),
            self.platform_for_vms,
            seeds.join(", "),
        );
        let settings = self.write_file(&format!("{name}.yaml"), &text);
        let (callers, peers, operations) = (address(0), address(1), address(2));
        let vm = Vm { name, callers, peers, operations, settings, child: None };
        self.vms.push(vm);
        self.restart(index);
        index
    }

    /// Starts the process of a VM that is not running.
    pub fn restart(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.dir.join(format!("{}.log", vm.name)))
            .expect("log file");
        let mut command = Command::new(program_path("saddleraild"));
        command.arg("--settings").arg(&vm.settings).stderr(log).stdout(Stdio::null());
        vm.child = Some(command.spawn().expect("saddleraild starts"));
    }

    /// Waits until a VM says that it is ready.
    pub fn wait_ready(&self, index: usize) {
        let vm = &self.vms[index];
        wait_until(&format!("{} is ready", vm.name), || {
            status_of(vm.operations, "/ready") == Some(200)
        });
    }

    /// Waits until every VM has heard of every other one, or of as many as it keeps at least.
    pub fn wait_for_peer_discovery(&self) {
        let others = (self.vms.len() - 1).min(KEPT_AT_LEAST);
        for vm in &self.vms {
            wait_until(&format!("{} knows all", vm.name), || {
                let state = get_json(vm.operations, "/state").unwrap_or_default();
                let vms = state["vms"].as_array().cloned().unwrap_or_default();
                vms.iter().filter(|v| v["age"] == "fresh").count() >= others
            });
        }
    }

    /// The revision in force on a VM, if it answers.
    pub fn revision(&self, index: usize) -> Option<u64> {
        get_json(self.vms[index].operations, "/state")?["revision"].as_u64()
    }

    /// Sends a signal to a VM's process.
    pub fn signal(&self, index: usize, name: &str) {
        signal(self.vms[index].child.as_ref().expect("runs"), name);
    }

    /// Process id of a VM.
    pub fn pid(&self, index: usize) -> u32 {
        self.vms[index].child.as_ref().expect("runs").id()
    }

    /// Kills a VM's process at once.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.vms[index].child.take() {
            child.kill().expect("kill");
            child.wait().expect("wait");
        }
    }

    /// Asks a VM to stop and waits until it has; the time it took.
    pub fn stop(&mut self, index: usize) -> Duration {
        let began = Instant::now();
        self.signal(index, "TERM");
        let mut child = self.vms[index].child.take().expect("runs");
        wait_until("the process has ended", || child.try_wait().expect("wait").is_some());
        began.elapsed()
    }

    /// Sets the switches of a target.
    pub fn set_faults(&self, target: &str, switches: &Value) {
        put_json(self.target(target), "/faults", switches);
    }

    /// Sets the faults of the platform.
    pub fn set_platform_faults(&self, faults: &Value) {
        put_json(self.platform, "/faults", faults);
    }

    /// Puts all targets and VMs on the platform's list, those named as leaving.
    pub fn publish_vm_list(&self, leaving: &[&str]) {
        let state = |name: &str| {
            if leaving.contains(&name) { "leaving" } else { "live" }
        };
        let targets = self.targets.iter().map(|(name, address)| {
            json!({ "name": name, "hall": "hall-a", "address": address, "state": state(name) })
        });
        let vms = self.vms.iter().map(|vm| {
            json!({ "name": vm.name, "hall": "hall-a", "address": vm.peers, "entry": true,
                "state": state(&vm.name) })
        });
        put_json(self.platform, "/vms", &targets.chain(vms).collect());
    }

    /// Address of a target.
    pub fn target(&self, name: &str) -> SocketAddr {
        self.targets.iter().find(|(n, _)| n == name).expect("a target").1
    }

    /// The calls that a target ran.
    pub fn record(&self, target: &str) -> Vec<Value> {
        let record = get_json(self.target(target), "/record").expect("record");
        record.as_array().cloned().unwrap_or_default()
    }

    /// The calls that all targets ran, each with its target's name.
    pub fn records(&self) -> Vec<(String, Value)> {
        let of = |name: &String| {
            self.record(name).into_iter().map({
                let name = name.clone();
                move |call| (name.clone(), call)
            })
        };
        self.targets.iter().flat_map(|(name, _)| of(name)).collect()
    }

    /// Everything that a VM logged.
    pub fn log(&self, index: usize) -> String {
        let mut text = String::new();
        let path = self.dir.join(format!("{}.log", self.vms[index].name));
        fs::File::open(path).and_then(|mut f| f.read_to_string(&mut text)).expect("log");
        text
    }
}

fn spawn(command: &mut Command) -> Child {
    command.stdout(Stdio::null()).stderr(Stdio::null()).spawn().expect("stand-in starts")
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let vms = self.vms.iter_mut().filter_map(|vm| vm.child.take());
        for mut child in vms.chain(self.children.drain(..)) {
            let _ = child.kill();
            let _ = child.wait();
        }
        if !thread::panicking() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}
