//! VMs of the serving path as processes, before the stand-ins of this folder.

// A fixture that can't be set up fails its test.
#![allow(clippy::expect_used)]

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::Duration;

use serde_json::{Value, json};

use super::HttpMessage;
use super::callers::Call;
use super::runners::{Behavior, Runner};
use super::store::Store;
use crate::fleet::{program_path, unique_loopback_address, wait_until};

/// Host that the usual configuration serves.
pub const HOST: &str = "h.example";

/// Time within which the VMs of a test have a change in force, in milliseconds; less than
/// [`SETTLE_TIME`], after which tests look.
const IN_FORCE_MS: u64 = 600;

/// Ports of a VM, on a loopback address of its own: callers, ready, peers, operations.
const PORTS: [u16; 4] = [7001, 7002, 7003, 7004];

/// A VM's process; killed when dropped.
pub struct Vm {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks.
    pub ready: SocketAddr,
    /// Where metrics and state are served.
    pub operations: SocketAddr,
    peers: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Drop for Vm {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

impl Vm {
    /// Starts a VM before a store; `extra` are further lines of its settings.
    pub fn start(name: &str, hall: &str, store: SocketAddr, extra: &str) -> Self {
        Vm::start_to(name, hall, store, extra, to_file)
    }

    /// The same; `out` gives its standard output, from the path of its log file.
    fn start_to(
        name: &str,
        hall: &str,
        store: SocketAddr,
        extra: &str,
        out: fn(&PathBuf) -> Stdio,
    ) -> Self {
        let ip = unique_loopback_address();
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
        let child = spawn(&settings, out(&log));
        Vm { callers, ready, operations, peers, settings, log, child }
    }

    /// Starts a VM like [`Vm::start`] whose standard output is a pipe; gives its end, to be read or
    /// left to fill.
    pub fn start_piped(name: &str, store: SocketAddr) -> (Self, ChildStdout) {
        let mut vm = Vm::start_to(name, "hall-a", store, "", |_| Stdio::piped());
        let out = vm.child.stdout.take().expect("its standard output");
        (vm, out)
    }

    /// Where it takes links.
    pub fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// Whether it says that it is ready.
    pub fn is_ready(&self) -> bool {
        let answer = Call::new("GET", "ready", "/ready", "-").send(self.ready);
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// Waits until it is ready.
    pub fn wait_ready(&self) {
        wait_until("the VM is ready", || self.is_ready());
    }

    /// Waits until it is ready and knows so many runners.
    pub fn wait_for_targets(&self, runners: u64) {
        self.wait_ready();
        wait_until("the VM knows the runners", || self.targets() == runners);
    }

    /// A page of its operations address.
    pub fn operations_page(&self, path: &str) -> String {
        let answer = Call::new("GET", "operations", path, "-").send(self.operations);
        answer.map(|answer| answer.text()).unwrap_or_default()
    }

    /// Its state dump.
    pub fn state(&self) -> Value {
        serde_json::from_str(&self.operations_page("/state")).unwrap_or_default()
    }

    /// What its state lists under a name.
    pub fn state_list(&self, name: &str) -> Vec<Value> {
        self.state()[name].as_array().cloned().unwrap_or_default()
    }

    /// Targets that it knows.
    pub fn targets(&self) -> u64 {
        self.state()["targets"].as_u64().unwrap_or(0)
    }

    /// Peers that it is linked to.
    pub fn linked_peers(&self) -> usize {
        self.state_list("peers").iter().filter(|peer| peer["linked"] == true).count()
    }

    /// Its log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends its process a signal.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &pid]).status().expect("kill runs");
        assert!(sent.success());
    }

    /// Waits for its end; gives the exit code.
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

    /// Kills its process and starts another one with the same settings.
    pub fn restart(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
        self.child = spawn(&self.settings, to_file(&self.log));
    }
}

fn to_file(log: &PathBuf) -> Stdio {
    Stdio::from(std::fs::File::create(log).expect("a log file"))
}

fn spawn(settings: &PathBuf, out: Stdio) -> Child {
    Command::new(program_path("saddleraild"))
        .arg("serve")
        .arg("--settings")
        .arg(settings)
        .stdout(out)
        .stderr(Stdio::inherit())
        .spawn()
        .expect("saddleraild starts")
}

/// The usual configuration: a plain service that may be repeated and one that may not, one that has no
/// runners unless a test starts some, streams that may be resumed and others, and a chain of two stages
/// before an engine.
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
            resumed, chain, keyed, route("/fragile/", "idempotent", "fragile")],
        "services": [service("plain"), pool, engine, service("fragile")],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        "tenants": [{"name": "quipu", "api_keys": ["key-1"]}]})
}

/// A store with the usual configuration and two runners for each service.
pub struct Site {
    /// The store.
    pub store: Store,
    /// Runners of the plain service.
    pub plain: Vec<Runner>,
    /// Engines.
    pub engines: Vec<Runner>,
    /// Runners of the pool.
    pub pool: Vec<Runner>,
}

impl Site {
    /// Starts the stand-ins, all runners in hall-a.
    pub fn start() -> Self {
        Site::start_in(["hall-a", "hall-a"])
    }

    /// Starts the stand-ins; the first runner of each service stands in the first hall, the second in the
    /// other.
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

    /// The services and their runners.
    pub fn services(&self) -> [(&'static str, &[Runner]); 3] {
        [("plain", &self.plain), ("engine", &self.engines), ("pool", &self.pool)]
    }

    /// Writes a runner's entry, as one that is cold for some time yet.
    pub fn register_runner(&self, runner: &Runner, service: &str, hall: &str, cold: Duration) {
        let mut entry = runner.entry(service, hall, "ready");
        entry["cold_remaining_ms"] = json!(u64::try_from(cold.as_millis()).unwrap_or(u64::MAX));
        self.store.put(&format!("servers/{}", runner.id), &entry);
    }

    /// Takes the runners of a hall out of service, as operators do.
    pub fn evacuate(&self, hall: &str) {
        self.store.put(&format!("op/evacuate/{hall}"), &json!({}));
    }

    /// Takes them back.
    pub fn end_evacuation(&self, hall: &str) {
        self.store.remove(&format!("op/evacuate/{hall}"));
    }

    /// Starts a VM and waits until it is ready and knows all runners.
    pub fn start_vm(&self, name: &str, extra: &str) -> Vm {
        let vm = Vm::start(name, "hall-a", self.store.address, extra);
        self.wait_for_all_runners(&vm);
        vm
    }

    /// The same, where some entries name no runner; waits until it knows so many.
    pub fn start_vm_expecting(&self, name: &str, runners: u64) -> Vm {
        let vm = Vm::start(name, "hall-a", self.store.address, "");
        vm.wait_for_targets(runners);
        vm
    }

    /// Waits until a VM knows all runners.
    pub fn wait_for_all_runners(&self, vm: &Vm) {
        vm.wait_for_targets(self.store.keys("servers/").len() as u64);
    }

    /// How often a request ran, over all runners that answer requests.
    pub fn runs(&self, id: &str) -> usize {
        let all = self.plain.iter().chain(&self.engines);
        all.map(|runner| runner.ran().iter().filter(|ran| *ran == id).count()).sum()
    }

    /// Lets the next requests at all runners of a list be answered so.
    pub fn queue_behavior(runners: &[Runner], act: &Behavior) {
        runners.iter().for_each(|runner| runner.queue_behaviors(std::slice::from_ref(act)));
    }
}

/// Pause that lets what should not happen show itself.
pub const SETTLE_TIME: Duration = Duration::from_millis(700);

/// A request with no body to a path of the usual host.
pub fn get(path: &str, id: &str) -> Call {
    Call::new("GET", HOST, path, id).with_header("Deadline-Milliseconds", "2000")
}

/// A request with a body to a path of the usual host.
pub fn post(path: &str, id: &str) -> Call {
    Call::new("POST", HOST, path, id).with_header("Deadline-Milliseconds", "2000").body(b"a body")
}

/// The answer of a VM.
///
/// # Panics
/// If there is none.
pub fn send_expecting_answer(call: &Call, vm: &Vm) -> HttpMessage {
    call.send(vm.callers).expect("an answer")
}

/// Numbers of the events of a stream's answer.
pub fn event_ids(answer: &HttpMessage) -> Vec<u64> {
    let text = answer.text();
    text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect()
}
