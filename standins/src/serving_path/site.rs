//! VMs as processes together with the stand-ins they need: a store with the default configuration,
//! and runners.

// A failed setup fails the test.
#![allow(clippy::expect_used)]

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::Duration;

use serde_json::{Value, json};

use super::HttpMessage;
use super::callers::Call;
use super::runners::{Behavior, Runner};
use super::store::Store;
use crate::fleet::{program_path, unique_loopback_address, wait_until};

/// Host of all routes of the default configuration.
pub const HOST: &str = "h.example";

/// Setting `in_force_ms` of the VMs, in milliseconds: the time within which a change in the store
/// is in force. Less than [`SETTLE_TIME`], after which tests check.
const IN_FORCE_MS: u64 = 600;

/// Ports of a VM for callers, readiness, peers and operations, on a loopback address of its own.
const PORTS: [u16; 4] = [7001, 7002, 7003, 7004];

/// A VM process. Dropping it kills the process.
pub struct Vm {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address on which load balancers query readiness.
    pub ready: SocketAddr,
    /// Address of metrics and state pages.
    pub operations: SocketAddr,
    peers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    /// Most file descriptors that the process may have; that of the tests if not given.
    descriptors: Option<u64>,
    child: Child,
}

impl Drop for Vm {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

impl Vm {
    /// Starts a VM that uses a store; `extra` is appended to its settings.
    pub fn start(name: &str, hall: &str, store: SocketAddr, extra: &str) -> Self {
        Vm::start_with_output(unique_loopback_address(), name, hall, store, extra, to_file)
    }

    /// Like [`Vm::start`], on a loopback address that is known before.
    pub fn start_at(ip: IpAddr, name: &str, store: SocketAddr, extra: &str) -> Self {
        Vm::start_with_output(ip, name, "hall-a", store, extra, to_file)
    }

    /// Address for peer links of a VM on a loopback address.
    pub fn peers_at(ip: IpAddr) -> SocketAddr {
        SocketAddr::new(ip, PORTS[2])
    }

    /// Starts a VM; `out` opens the standard output, given the path of the log file.
    fn start_with_output(
        ip: IpAddr,
        name: &str,
        hall: &str,
        store: SocketAddr,
        extra: &str,
        out: fn(&PathBuf) -> Stdio,
    ) -> Self {
        let [callers, ready, peers, operations] = PORTS.map(|port| SocketAddr::new(ip, port));
        let dir = std::env::temp_dir().join(format!("saddlerail-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a directory for the test");
        let settings = dir.join("settings.yaml");
        let text = format!(
            "vm: {name}\nhall: {hall}\ncallers: {callers}\nready: {ready}\npeers: {peers}\n\
             operations: {operations}\nstore: {store}\nlog: debug\n\
             in_force_ms: {IN_FORCE_MS}\n{extra}"
        );
        std::fs::write(&settings, text).expect("settings are written");
        let log = dir.join("log");
        let child = spawn(&settings, None, out(&log));
        Vm { callers, ready, operations, peers, settings, log, descriptors: None, child }
    }

    /// Starts a VM whose process may have at most so many file descriptors. `extra` is appended to
    /// its settings.
    pub fn start_with_descriptors(
        name: &str,
        store: SocketAddr,
        descriptors: u64,
        extra: &str,
    ) -> Self {
        let mut vm = Vm::start(name, "hall-a", store, extra);
        vm.descriptors = Some(descriptors);
        vm.restart();
        vm
    }

    /// Starts a VM whose standard output, its log, is a pipe; returns the reading end, which may be
    /// read or left to fill. `extra` is appended to its settings.
    pub fn start_piped(name: &str, store: SocketAddr, extra: &str) -> (Self, ChildStdout) {
        let mut vm =
            Vm::start_with_output(unique_loopback_address(), name, "hall-a", store, extra, |_| {
                Stdio::piped()
            });
        let out = vm.child.stdout.take().expect("its standard output");
        (vm, out)
    }

    /// Address for peer links.
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Whether the VM reports that it is ready.
    pub fn is_ready(&self) -> bool {
        let answer = Call::new("GET", "ready", "/ready", "-").send(self.ready);
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// Waits until the VM is ready.
    pub fn wait_ready(&self) {
        wait_until("the VM is ready", || self.is_ready());
    }

    /// Waits until the VM is ready and knows so many runners.
    pub fn wait_for_targets(&self, runners: u64) {
        self.wait_ready();
        wait_until("the VM knows the runners", || self.targets() == runners);
    }

    /// A page of the operations address; empty without an answer.
    pub fn operations_page(&self, path: &str) -> String {
        let answer = Call::new("GET", "operations", path, "-").send(self.operations);
        answer.map(|answer| answer.text()).unwrap_or_default()
    }

    /// The VM's state dump; null without an answer.
    pub fn state(&self) -> Value {
        serde_json::from_str(&self.operations_page("/state")).unwrap_or_default()
    }

    /// A list of the state dump; empty if it is absent.
    pub fn state_list(&self, name: &str) -> Vec<Value> {
        self.state()[name].as_array().cloned().unwrap_or_default()
    }

    /// Number of targets that the VM knows.
    pub fn targets(&self) -> u64 {
        self.state()["targets"].as_u64().unwrap_or(0)
    }

    /// Number of peers with an open link.
    pub fn linked_peers(&self) -> usize {
        self.state_list("peers").iter().filter(|peer| peer["linked"] == true).count()
    }

    /// File that holds the log since the last start.
    pub fn log_path(&self) -> &std::path::Path {
        &self.log
    }

    /// The log since the last start.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends a signal to the process; `signal` is an option of `kill`, such as `-TERM`.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &pid]).status().expect("kill runs");
        assert!(sent.success());
    }

    /// Has the process stand still until [`Vm::go_on`]; returns once it does.
    pub fn stand_still(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        wait_until("the process stands still", || {
            let stat = std::fs::read_to_string(&stat).unwrap_or_default();
            stat.rsplit_once(") ").is_some_and(|(_, state)| state.starts_with('T'))
        });
    }

    /// Has a process that stands still go on.
    pub fn go_on(&self) {
        self.signal("-CONT");
    }

    /// The most memory that the process has taken so far, in megabytes; 0 if it has ended.
    pub fn peak_memory_mb(&self) -> u64 {
        self.memory_bytes("VmHWM:") / 1_000_000
    }

    /// Memory that the process takes, in bytes; 0 if it has ended.
    pub fn resident_bytes(&self) -> u64 {
        self.memory_bytes("VmRSS:")
    }

    /// A line of the process' status that is in kilobytes, in bytes.
    fn memory_bytes(&self, name: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix(name));
        let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
        kilobytes.unwrap_or(0) * 1024
    }

    /// Number of file descriptors that the process has open; 0 if it has ended.
    pub fn open_descriptors(&self) -> usize {
        let open = std::fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        open.map_or(0, Iterator::count)
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the end of the process; returns the exit code.
    pub fn wait_exit(&mut self) -> Option<i32> {
        let mut code = None;
        wait_until("the VM has ended", || match self.child.try_wait() {
            Ok(Some(status)) => {
                code = Some(status.code());
                true
            }
            _ => false,
        });
        code.flatten()
    }

    /// Kills the process and starts another one with the same settings.
    pub fn restart(&mut self) {
        self.kill();
        self.start_again();
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Starts another process with the same settings, after the end of the one before.
    pub fn start_again(&mut self) {
        self.child = spawn(&self.settings, self.descriptors, to_file(&self.log));
    }
}

fn to_file(log: &PathBuf) -> Stdio {
    Stdio::from(std::fs::File::create(log).expect("a log file"))
}

fn spawn(settings: &PathBuf, descriptors: Option<u64>, out: Stdio) -> Child {
    let program = program_path("saddleraild");
    let mut command = match descriptors {
        None => Command::new(program),
        Some(descriptors) => {
            let mut shell = Command::new("sh");
            let limited = format!("ulimit -n {descriptors} && exec \"$0\" \"$@\"");
            shell.arg("-c").arg(limited).arg(program);
            shell
        }
    };
    command
        .arg("serve")
        .arg("--settings")
        .arg(settings)
        .stdout(out)
        .stderr(Stdio::inherit())
        .spawn()
        .expect("saddleraild starts")
}

/// The default configuration. Its routes: `/repeat/` and `/once/` to a plain service, repeatable
/// and not; `/keyed/`, which needs an API key; `/stream/` and `/resumed/`, streams of an engine,
/// the second one resumable; `/chain/`, two stages in a pool before an engine; `/fragile/`,
/// whose service has no runners unless a test starts some; and `/fork/`, two stages that need a third
/// one before an engine.
pub fn default_configuration(version: u64) -> Value {
    let route = |path: &str, kind: &str, service: &str| {
        json!({"name": path.trim_matches('/'), "host": HOST, "path_prefix": path, "kind": kind,
            "timeout_ms": 3000, "target_latency_ms": 300, "priority": 1, "service": service,
            "max_attempts": 2, "public": true, "stages": [], "stream_resumption": false})
    };
    let mut resumed = route("/resumed/", "streaming", "engine");
    resumed["stream_resumption"] = json!(true);
    let mut chain = route("/chain/", "streaming", "engine");
    chain["target_latency_ms"] = json!(2000);
    chain["stages"] = json!([
        {"service": "pool", "after_revision": [], "bytes": 1000},
        {"service": "pool", "after_revision": [0], "bytes": 1000}]);
    let mut fork = route("/fork/", "streaming", "engine");
    fork["target_latency_ms"] = json!(2000);
    fork["stages"] = json!([
        {"service": "pool", "after_revision": [], "bytes": 1000},
        {"service": "pool", "after_revision": [0], "bytes": 1000},
        {"service": "pool", "after_revision": [0], "bytes": 1000}]);
    let mut keyed = route("/keyed/", "idempotent", "plain");
    keyed["public"] = json!(false);
    let service =
        |name: &str| json!({"name": name, "health_check_path": "/health", "connection_limit": 50});
    let mut pool = service("pool");
    pool["pieces"] = json!({"slots": 1, "queue": 2, "batch": 8, "call_ms": 20.0, "item_ms": 1.0,
        "headroom_mb": 1.0, "handle_s": 4.0, "link_mbps": 1000});
    let mut engine = service("engine");
    engine["inference_engine"] = json!({"slots": 8, "kv_cache_tokens": 100_000});
    json!({"version": version, "routes": [
            route("/repeat/", "idempotent", "plain"),
            route("/once/", "non_idempotent", "plain"),
            route("/stream/", "streaming", "engine"),
            resumed, chain, keyed, route("/fragile/", "idempotent", "fragile"), fork],
        "services": [service("plain"), pool, engine, service("fragile")],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "quipu", "api_keys": ["key-1"]}]})
}

/// A store with the default configuration and two runners for each service.
pub struct Site {
    /// The store.
    pub store: Store,
    /// Runners of the service `plain`.
    pub plain: Vec<Runner>,
    /// Runners of the service `engine`.
    pub engines: Vec<Runner>,
    /// Runners of the service `pool`.
    pub pool: Vec<Runner>,
}

impl Site {
    /// Starts the store and the runners, all in hall-a.
    pub fn start() -> Self {
        Site::start_in(["hall-a", "hall-a"])
    }

    /// Starts the store and the runners; the first runner of each service is in the first hall, the
    /// second one in the other.
    pub fn start_in(halls: [&str; 2]) -> Self {
        let store = Store::start().expect("the store starts");
        store.put("op/config", &default_configuration(1));
        let runners = |service: &str, usual: &Behavior| -> Vec<Runner> {
            let start = |number| {
                let id = format!("i-{service}-{number}");
                Runner::start(&id, usual.clone()).expect("a runner starts")
            };
            (1..=2).map(start).collect()
        };
        let site = Site {
            plain: runners("plain", &Behavior::Answer),
            engines: runners("engine", &Behavior::Stream(5)),
            pool: runners("pool", &Behavior::Answer),
            store,
        };
        for (service, runners) in site.services() {
            for (runner, hall) in runners.iter().zip(halls) {
                site.register_runner(runner, service, hall, Duration::ZERO);
            }
        }
        site
    }

    /// Names of the services with their runners.
    pub fn services(&self) -> [(&'static str, &[Runner]); 3] {
        [("plain", &self.plain), ("engine", &self.engines), ("pool", &self.pool)]
    }

    /// Writes a runner's store entry, with the remaining cold start time.
    pub fn register_runner(&self, runner: &Runner, service: &str, hall: &str, cold: Duration) {
        let mut entry = runner.entry(service, hall, "ready");
        entry["cold_remaining_ms"] = json!(u64::try_from(cold.as_millis()).unwrap_or(u64::MAX));
        self.store.put(&format!("servers/{}", runner.id), &entry);
    }

    /// Evacuates a hall, as operators do.
    pub fn evacuate(&self, hall: &str) {
        self.store.put(&format!("op/evacuate/{hall}"), &json!({}));
    }

    /// Ends the evacuation of a hall.
    pub fn end_evacuation(&self, hall: &str) {
        self.store.remove(&format!("op/evacuate/{hall}"));
    }

    /// Starts a VM in hall-a and waits until it is ready and knows all runners.
    pub fn start_vm(&self, name: &str, extra: &str) -> Vm {
        let vm = Vm::start(name, "hall-a", self.store.address, extra);
        self.wait_for_all_runners(&vm);
        vm
    }

    /// Like [`Site::start_vm`], for a store with invalid runner entries: waits until the VM knows
    /// so many runners.
    pub fn start_vm_expecting(&self, name: &str, runners: u64) -> Vm {
        let vm = Vm::start(name, "hall-a", self.store.address, "");
        vm.wait_for_targets(runners);
        vm
    }

    /// Waits until a VM knows all runners in the store.
    pub fn wait_for_all_runners(&self, vm: &Vm) {
        vm.wait_for_targets(self.store.keys("servers/").len() as u64);
    }

    /// How often a request ran, over all plain runners and engines.
    pub fn runs(&self, id: &str) -> usize {
        let all = self.plain.iter().chain(&self.engines);
        all.map(|runner| runner.runs_of(id)).sum()
    }

    /// Sets the behavior of each of these runners for its next request.
    pub fn queue_behavior(runners: &[Runner], behavior: &Behavior) {
        runners.iter().for_each(|runner| runner.queue_behaviors(std::slice::from_ref(behavior)));
    }
}

/// Time to wait before checking that something did not happen.
pub const SETTLE_TIME: Duration = Duration::from_millis(700);

/// A GET request to a path of [`HOST`], with a deadline of 2 s.
pub fn get(path: &str, id: &str) -> Call {
    Call::new("GET", HOST, path, id).with_header("Deadline-Milliseconds", "2000")
}

/// A POST request with a body to a path of [`HOST`], with a deadline of 2 s.
pub fn post(path: &str, id: &str) -> Call {
    Call::new("POST", HOST, path, id).with_header("Deadline-Milliseconds", "2000").body(b"a body")
}

/// Sends a request to a VM and returns the answer.
///
/// # Panics
/// If there is no answer.
pub fn send_expecting_answer(call: &Call, vm: &Vm) -> HttpMessage {
    call.send(vm.callers).expect("an answer")
}

/// Ids of the events in a stream's answer.
pub fn event_ids(answer: &HttpMessage) -> Vec<u64> {
    let text = answer.text();
    text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}
