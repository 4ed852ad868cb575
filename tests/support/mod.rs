//! Fixtures of the tests with real processes: a fleet of stand-ins and daemons on loopback
//! addresses of its own, stopped by process id when dropped.

// Each test file uses its own part, and a fixture that can't be set up fails its test.
#![allow(dead_code, clippy::expect_used)]

use std::fs;
use std::io::Read;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Longest wait for any condition; reached only if the condition never comes.
pub const LONG: Duration = Duration::from_secs(20);
const PLATFORM_PORT: u16 = 7000;
const TARGET_PORT: u16 = 8000;

static FLEETS: AtomicU8 = AtomicU8::new(1);

/// A kind of target to start: its pool label, how many, and arguments of the stand-in.
pub struct Pool {
    pub name: &'static str,
    pub count: u16,
    pub args: &'static [&'static str],
}

/// One entry VM of the fleet.
pub struct Vm {
    pub name: String,
    pub callers: SocketAddr,
    pub peers: SocketAddr,
    pub operations: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
}

/// Platform, targets and entry VMs, all processes of their own.
pub struct Fleet {
    pub ip: IpAddr,
    pub platform: SocketAddr,
    pub vms: Vec<Vm>,
    pub targets: Vec<(String, SocketAddr)>,
    dir: PathBuf,
    children: Vec<Child>,
}

/// The program next to the tool; `cargo test --workspace` builds all of them.
pub fn program(name: &str) -> PathBuf {
    let path = Path::new(env!("CARGO_BIN_EXE_saddlerail")).with_file_name(name);
    assert!(
        path.exists(),
        "{} is not built: run cargo test --workspace",
        path.display()
    );
    path
}

/// Waits until `done`, and fails the test with `what` if that does not come.
pub fn wait_until(what: &str, mut done: impl FnMut() -> bool) {
    let began = Instant::now();
    while !done() {
        assert!(began.elapsed() < LONG, "not within {LONG:?}: {what}");
        thread::sleep(Duration::from_millis(10));
    }
}

/// A caller's answer.
#[derive(Debug, Clone)]
pub struct Reply {
    pub status: u16,
    pub outcome: String,
    pub body: Value,
}

impl Reply {
    pub fn targets(&self) -> Vec<String> {
        let stages = self.body["stages"].as_array().cloned().unwrap_or_default();
        stages
            .iter()
            .map(|s| s["target"].as_str().unwrap_or_default().to_owned())
            .collect()
    }
}

/// A caller's request to one VM.
#[derive(Clone)]
pub struct Ask<'a> {
    pub service: &'a str,
    pub headers: Vec<(&'a str, String)>,
    pub body: String,
}

/// A request with the headers that are always needed.
pub fn ask(service: &str, deadline_ms: u64) -> Ask<'_> {
    let headers = vec![
        ("saddlerail-customer", "small".to_owned()),
        ("saddlerail-deadline-ms", deadline_ms.to_string()),
    ];
    Ask {
        service,
        headers,
        body: "{\"q\":1}".to_owned(),
    }
}

impl<'a> Ask<'a> {
    pub fn header(mut self, name: &'a str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    pub fn repeatable(self) -> Self {
        self.header("saddlerail-repeatable", "yes")
    }

    pub fn once(self, id: &str) -> Self {
        self.header("saddlerail-repeatable", "no")
            .header("saddlerail-request-id", id)
    }

    pub fn body(mut self, body: &str) -> Self {
        body.clone_into(&mut self.body);
        self
    }

    /// Sends it; `None` if no whole answer came, as when the VM died.
    pub fn send(&self, to: SocketAddr) -> Option<Reply> {
        let mut call = agent().post(format!("http://{to}/v1/services/{}", self.service));
        for (name, value) in &self.headers {
            call = call.header(*name, value);
        }
        let mut rx = call.send(&self.body).ok()?;
        let outcome = rx
            .headers()
            .get("saddlerail-outcome")?
            .to_str()
            .ok()?
            .to_owned();
        let text = rx.body_mut().read_to_string().ok()?;
        let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
        Some(Reply {
            status: rx.status().as_u16(),
            outcome,
            body,
        })
    }
}

/// A client that takes every status and never uses a connection twice.
pub fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(LONG))
        .max_idle_connections(0)
        .build()
        .new_agent()
}

pub fn put_json(to: SocketAddr, path: &str, value: &Value) {
    let rx = agent()
        .put(format!("http://{to}{path}"))
        .send(value.to_string())
        .expect("put");
    assert_eq!(rx.status().as_u16(), 200, "PUT {path} {value}");
}

pub fn get_json(from: SocketAddr, path: &str) -> Option<Value> {
    let mut rx = agent().get(format!("http://{from}{path}")).call().ok()?;
    if rx.status().as_u16() != 200 {
        return None;
    }
    serde_json::from_str(&rx.body_mut().read_to_string().ok()?).ok()
}

fn status_of(from: SocketAddr, path: &str) -> Option<u16> {
    agent()
        .get(format!("http://{from}{path}"))
        .call()
        .ok()
        .map(|rx| rx.status().as_u16())
}

/// Sends a signal to one process that the test started.
pub fn signal(child: &Child, name: &str) {
    let status = Command::new("kill")
        .arg(format!("-{name}"))
        .arg(child.id().to_string())
        .status();
    assert!(status.expect("kill").success(), "kill -{name}");
}

impl Fleet {
    /// Platform and targets, with no entry VM yet.
    pub fn start(pools: &[Pool]) -> Fleet {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let [.., high, low] = std::process::id().to_be_bytes();
        let ip = IpAddr::V4(Ipv4Addr::new(127, high.max(1), low, number));
        let dir = std::env::temp_dir().join(format!("saddlerail-test-{ip}"));
        fs::create_dir_all(&dir).expect("temporary directory");
        let platform = SocketAddr::new(ip, PLATFORM_PORT);
        let children = vec![spawn(
            Command::new(program("standin-platform")).arg(format!("--listen={platform}")),
        )];
        let mut fleet = Fleet {
            ip,
            platform,
            vms: Vec::new(),
            targets: Vec::new(),
            dir,
            children,
        };
        let mut port = TARGET_PORT;
        for pool in pools {
            let listen = format!("--listen={}", SocketAddr::new(ip, port));
            let count = format!("--count={}", pool.count);
            let mut command = Command::new(program("standin-target"));
            fleet
                .children
                .push(spawn(command.args([listen, count]).args(pool.args)));
            for number in 0..pool.count {
                let name = format!("{}-{}", pool.name, number + 1);
                fleet
                    .targets
                    .push((name, SocketAddr::new(ip, port + number)));
            }
            port += 100;
        }
        wait_until("the platform answers", || {
            get_json(platform, "/counts").is_some()
        });
        for (name, address) in &fleet.targets {
            wait_until(&format!("{name} answers"), || {
                get_json(*address, "/record").is_some()
            });
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
        let file = self.file("apply.yaml", text);
        self.tool(&["apply", "-f", file.to_str().unwrap_or_default()])
    }

    pub fn file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.dir.join(name);
        fs::write(&path, text).expect("write");
        path
    }

    /// Runs the operators' tool.
    pub fn tool(&self, args: &[&str]) -> Output {
        let mut command = Command::new(program("saddlerail"));
        command.arg(format!("--platform={}", self.platform));
        if let Some(vm) = self.vms.first() {
            command.arg(format!("--vm={}", vm.operations));
        }
        command.args(args).output().expect("tool")
    }

    /// Starts entry VM `number` (from 1) in a hall, with further settings, and waits until it
    /// is ready.
    pub fn start_vm(&mut self, hall: &str, more: &str) -> usize {
        let index = self.start_vm_unready(hall, more);
        self.wait_ready(index);
        index
    }

    pub fn start_vm_unready(&mut self, hall: &str, more: &str) -> usize {
        let index = self.vms.len();
        let port = 9000 + 10 * u16::try_from(index).expect("few VMs");
        let address = |offset| SocketAddr::new(self.ip, port + offset);
        let name = format!("entry-{}", index + 1);
        let seeds: Vec<String> = self
            .vms
            .iter()
            .map(|vm| format!("'{}'", vm.peers))
            .collect();
        let text = format!(
            "vm: {name}\nhall: {hall}\ncallers: '{}'\npeers: '{}'\noperations: '{}'\n\
             platform: '{}'\nseeds: [{}]\nlog: debug\n{more}",
            address(0),
            address(1),
            address(2),
            self.platform,
            seeds.join(", "),
        );
        let settings = self.file(&format!("{name}.yaml"), &text);
        let (callers, peers, operations) = (address(0), address(1), address(2));
        let vm = Vm {
            name,
            callers,
            peers,
            operations,
            settings,
            child: None,
        };
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
        let mut command = Command::new(program("saddleraild"));
        command
            .arg("--settings")
            .arg(&vm.settings)
            .stderr(log)
            .stdout(Stdio::null());
        vm.child = Some(command.spawn().expect("saddleraild starts"));
    }

    pub fn wait_ready(&self, index: usize) {
        let vm = &self.vms[index];
        wait_until(&format!("{} is ready", vm.name), || {
            status_of(vm.operations, "/ready") == Some(200)
        });
    }

    /// Waits until every VM has heard of every other one.
    pub fn wait_acquainted(&self) {
        let others = self.vms.len() - 1;
        for vm in &self.vms {
            wait_until(&format!("{} knows all", vm.name), || {
                let state = get_json(vm.operations, "/state").unwrap_or_default();
                let vms = state["vms"].as_array().cloned().unwrap_or_default();
                vms.iter().filter(|v| v["age"] == "fresh").count() == others
            });
        }
    }

    pub fn revision(&self, index: usize) -> Option<u64> {
        get_json(self.vms[index].operations, "/state")?["revision"].as_u64()
    }

    pub fn signal(&self, index: usize, name: &str) {
        signal(self.vms[index].child.as_ref().expect("runs"), name);
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
        wait_until("the process has ended", || {
            child.try_wait().expect("wait").is_some()
        });
        began.elapsed()
    }

    pub fn set_faults(&self, target: &str, switches: &Value) {
        put_json(self.target(target), "/faults", switches);
    }

    pub fn set_platform(&self, faults: &Value) {
        put_json(self.platform, "/faults", faults);
    }

    /// Puts all targets and VMs on the platform's list, those named as leaving.
    pub fn list_vms(&self, leaving: &[&str]) {
        let state = |name: &str| {
            if leaving.contains(&name) {
                "leaving"
            } else {
                "live"
            }
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

    pub fn target(&self, name: &str) -> SocketAddr {
        self.targets
            .iter()
            .find(|(n, _)| n == name)
            .expect("a target")
            .1
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
        fs::File::open(path)
            .and_then(|mut f| f.read_to_string(&mut text))
            .expect("log");
        text
    }
}

fn spawn(command: &mut Command) -> Child {
    command
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("stand-in starts")
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

/// A service of two plain stages and one of four with a stream at the end.
pub const SERVICES: &str = "\
service: {name: hold, priority: interactive, stages: [{name: place, select: {all: {pool: plain}}}]}
---
service:
  name: check
  stages:
    - {name: encode, select: {all: {pool: plain}}}
    - {name: retrieve, select: {all: {pool: plain}}}
    - {name: rerank, select: {all: {pool: plain}}}
    - {name: generate, select: {all: {pool: engine}}, streams: true}
";

/// Plain targets and engines enough for [`SERVICES`].
pub fn usual_pools() -> [Pool; 2] {
    [
        Pool {
            name: "plain",
            count: 4,
            args: &["--service-ms=2"],
        },
        Pool {
            name: "engine",
            count: 2,
            args: &[
                "--mode=engine",
                "--slots=8",
                "--service-ms=2",
                "--token-ms=2",
                "--tokens=16",
            ],
        },
    ]
}

/// A fleet with the usual pools and services, entry VMs in hall-a and hall-b by turns, listed
/// and acquainted.
pub fn usual_fleet(vms: usize) -> Fleet {
    let mut fleet = Fleet::start(&usual_pools());
    let applied = fleet.apply(&fleet.catalogue(SERVICES));
    assert!(
        applied.status.success(),
        "{}",
        String::from_utf8_lossy(&applied.stderr)
    );
    for index in 0..vms {
        let hall = if index % 2 == 0 { "hall-a" } else { "hall-b" };
        fleet.start_vm(hall, "limits: {notice_ms: 200}\n");
    }
    fleet.list_vms(&[]);
    fleet.wait_acquainted();
    fleet
}
