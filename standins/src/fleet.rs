//! A fleet of real processes for tests and benchmarks: the stand-in platform, stand-in targets and
//! entry VMs, all on a loopback address of their own. Dropping the fleet kills them.

// A failed setup must end the test or benchmark at once.
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

/// Longest wait for any condition; reached only if the condition never becomes true.
pub const MAX_WAIT: Duration = Duration::from_secs(20);
/// Number of other VMs that each VM knows at least in a large fleet. A VM keeps track of all VMs of
/// its own hall and of up to this many in other halls.
const MIN_KNOWN_VMS: usize = 16;
/// Port of the platform.
const PLATFORM_PORT: u16 = 7000;
/// First port of the first pool; each pool's ports begin 100 above those of the pool before.
const TARGET_PORT: u16 = 8000;

/// Number of the next loopback address of this process.
static NEXT_ADDRESS: AtomicU8 = AtomicU8::new(1);

/// A pool of identical targets to start.
#[derive(Debug, Clone)]
pub struct Pool {
    /// Value of the `pool` label and prefix of the targets' names.
    pub name: &'static str,
    /// Number of targets; all of them run in one process.
    pub count: u16,
    /// Command line arguments of `standin-target`.
    pub args: &'static [&'static str],
}

/// One entry VM of the fleet.
#[derive(Debug)]
pub struct Vm {
    /// VM name.
    pub name: String,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for peer links.
    pub peers: SocketAddr,
    /// Address of the operations pages.
    pub operations: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

/// A platform, targets and entry VMs, each a separate process (the targets of a pool share one).
#[derive(Debug)]
pub struct Fleet {
    /// Loopback address of all processes of the fleet.
    pub ip: IpAddr,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Platform address written into the settings of VMs that are started from now on.
    pub platform_for_vms: SocketAddr,
    /// Entry VMs, in order of their first start.
    pub vms: Vec<Vm>,
    /// Names and addresses of all targets.
    pub targets: Vec<(String, SocketAddr)>,
    /// Directory of settings, configurations and logs.
    dir: PathBuf,
    /// Processes of the platform and of the targets.
    children: Vec<Child>,
}

/// Path of a program of the workspace, in the build directory of the running program.
///
/// # Panics
/// If the program is not built.
pub fn program_path(name: &str) -> PathBuf {
    let own_path = std::env::current_exe().expect("own path");
    let found = own_path.ancestors().skip(1).take(2).map(|dir| dir.join(name)).find(|p| p.exists());
    found.unwrap_or_else(|| panic!("{name} is not built: build or test the whole workspace"))
}

/// Waits until `done` returns true.
///
/// # Panics
/// With `what` after [`MAX_WAIT`].
pub fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let began = Instant::now();
    while !done() {
        assert!(began.elapsed() < MAX_WAIT, "not within {MAX_WAIT:?}: {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// An HTTP client that accepts every status and never reuses a connection.
pub fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(MAX_WAIT))
        .max_idle_connections(0)
        .build()
        .new_agent()
}

/// Sends a PUT request with a JSON body.
///
/// # Panics
/// If the status of the answer is not 200.
pub fn put_json(to: SocketAddr, path: &str, value: &Value) {
    let response = agent().put(format!("http://{to}{path}")).send(value.to_string()).expect("put");
    assert_eq!(response.status().as_u16(), 200, "PUT {path} {value}");
}

/// Fetches JSON; `None` without an answer with status 200.
pub fn get_json(from: SocketAddr, path: &str) -> Option<Value> {
    let mut response = agent().get(format!("http://{from}{path}")).call().ok()?;
    if response.status().as_u16() != 200 {
        return None;
    }
    serde_json::from_str(&response.body_mut().read_to_string().ok()?).ok()
}

fn status_of(from: SocketAddr, path: &str) -> Option<u16> {
    agent()
        .get(format!("http://{from}{path}"))
        .call()
        .ok()
        .map(|response| response.status().as_u16())
}

/// Sends a signal, named as `kill` names it, to a process that the test started.
pub fn signal(child: &Child, name: &str) {
    let status = Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
    assert!(status.expect("kill").success(), "kill -{name}");
}

/// A loopback address that no other fixture uses, in this process or another one, so that all its
/// ports are free: `127.P.P.N` with the low bytes of the process id and a count.
pub fn unique_loopback_address() -> IpAddr {
    let number = NEXT_ADDRESS.fetch_add(1, Ordering::Relaxed);
    let [.., high, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, number))
}

impl Fleet {
    /// Starts the platform and the targets, without entry VMs.
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

    /// Configuration text with the targets of all pools, alternately in hall-a and hall-b, two
    /// customers (`small` and `large`), and the given services.
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

    /// Writes a configuration to a file and applies it with the command line tool.
    pub fn apply(&self, text: &str) -> Output {
        let file = self.write_file("apply.yaml", text);
        self.run_cli(&["apply", "-f", file.to_str().unwrap_or_default()])
    }

    /// Writes a file into the fleet's directory and returns its path.
    pub fn write_file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.dir.join(name);
        fs::write(&path, text).expect("the file is written");
        path
    }

    /// Runs the `saddlerail` command line tool.
    pub fn run_cli(&self, args: &[&str]) -> Output {
        let mut command = Command::new(program_path("saddlerail"));
        command.arg(format!("--platform={}", self.platform));
        if let Some(vm) = self.vms.first() {
            command.arg(format!("--vm={}", vm.operations));
        }
        command.args(args).output().expect("tool")
    }

    /// Starts a further entry VM in a hall and waits until it is ready. `extra` is appended to its
    /// settings. Returns its index.
    pub fn start_vm(&mut self, hall: &str, extra: &str) -> usize {
        let index = self.start_vm_without_waiting(hall, extra);
        self.wait_ready(index);
        index
    }

    /// Starts a further entry VM without waiting for it; returns its index.
    pub fn start_vm_without_waiting(&mut self, hall: &str, extra: &str) -> usize {
        let index = self.vms.len();
        let port = 9000 + 10 * u16::try_from(index).expect("few VMs");
        let address = |offset| SocketAddr::new(self.ip, port + offset);
        let name = format!("entry-{}", index + 1);
        let seeds: Vec<String> = self.vms.iter().map(|vm| format!("'{}'", vm.peers)).collect();
        let text = format!(
            "vm: {name}\nhall: {hall}\ncallers: '{}'\npeers: '{}'\noperations: '{}'\n\
             platform: '{}'\nseeds: [{}]\nlog: debug\n{extra}",
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

    /// Waits until a VM reports that it is ready.
    pub fn wait_ready(&self, index: usize) {
        let vm = &self.vms[index];
        wait_until(&format!("{} is ready", vm.name), || {
            status_of(vm.operations, "/ready") == Some(200)
        });
    }

    /// Waits until every VM lists every other one as fresh, or `MIN_KNOWN_VMS` of them in a large
    /// fleet.
    pub fn wait_for_peer_discovery(&self) {
        let others = (self.vms.len() - 1).min(MIN_KNOWN_VMS);
        for vm in &self.vms {
            wait_until(&format!("{} knows the other VMs", vm.name), || {
                let state = get_json(vm.operations, "/state").unwrap_or_default();
                let vms = state["vms"].as_array().cloned().unwrap_or_default();
                vms.iter().filter(|v| v["age"] == "fresh").count() >= others
            });
        }
    }

    /// The configuration revision in force on a VM; `None` if the VM doesn't answer.
    pub fn revision(&self, index: usize) -> Option<u64> {
        get_json(self.vms[index].operations, "/state")?["revision"].as_u64()
    }

    /// Sends a signal to a VM's process.
    pub fn signal(&self, index: usize, name: &str) {
        signal(self.vms[index].child.as_ref().expect("the VM runs"), name);
    }

    /// Process id of a running VM.
    pub fn pid(&self, index: usize) -> u32 {
        self.vms[index].child.as_ref().expect("the VM runs").id()
    }

    /// Kills a VM's process with SIGKILL and waits for its end.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.vms[index].child.take() {
            child.kill().expect("kill");
            child.wait().expect("wait");
        }
    }

    /// Stops a VM with SIGTERM and waits for its end; returns the time that took.
    pub fn stop(&mut self, index: usize) -> Duration {
        let began = Instant::now();
        self.signal(index, "TERM");
        let mut child = self.vms[index].child.take().expect("the VM runs");
        wait_until("the process has ended", || child.try_wait().expect("wait").is_some());
        began.elapsed()
    }

    /// Sets the latencies and faults of a target.
    pub fn set_faults(&self, target: &str, settings: &Value) {
        put_json(self.target(target), "/faults", settings);
    }

    /// Sets the faults of the platform.
    pub fn set_platform_faults(&self, faults: &Value) {
        put_json(self.platform, "/faults", faults);
    }

    /// Publishes all targets and VMs on the platform's VM list; those in `leaving` with the state
    /// leaving.
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

    /// Address of a target, by name.
    pub fn target(&self, name: &str) -> SocketAddr {
        self.targets.iter().find(|(n, _)| n == name).expect("the fleet has a target of this name").1
    }

    /// The calls that a target recorded.
    pub fn record(&self, target: &str) -> Vec<Value> {
        let record = get_json(self.target(target), "/record").expect("record");
        record.as_array().cloned().unwrap_or_default()
    }

    /// The calls that all targets recorded, each with its target's name.
    pub fn records(&self) -> Vec<(String, Value)> {
        let calls_of = |name: &String| {
            self.record(name).into_iter().map({
                let name = name.clone();
                move |call| (name.clone(), call)
            })
        };
        self.targets.iter().flat_map(|(name, _)| calls_of(name)).collect()
    }

    /// The log of a VM, across restarts.
    pub fn log(&self, index: usize) -> String {
        let mut text = String::new();
        let path = self.dir.join(format!("{}.log", self.vms[index].name));
        fs::File::open(path)
            .and_then(|mut f| f.read_to_string(&mut text))
            .expect("the VM's log is readable");
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
