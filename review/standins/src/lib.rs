//! What the cases share: a small deployment of entry VMs as processes of their own, started with the
//! command of the deploy file, and the record of what was seen.

pub mod store;

use std::fs::File;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use standins::serving_path::callers::Call;
use standins::serving_path::{HttpConnection, HttpMessage};

/// Exit code if the rule held.
pub const HELD: u8 = 0;
/// Exit code if the rule was broken.
pub const BROKEN: u8 = 1;
/// Exit code if the case could not run.
pub const NOT_RUN: u8 = 2;

/// Writes `record.txt`, each line with the seconds since the start.
pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Creates the file that the variable `RECORD` names.
    pub fn create() -> Record {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
        let file = File::create(&path).expect("record.txt can be written");
        Record { began: Instant::now(), file: Mutex::new(file) }
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("the record");
        writeln!(file, "{at:9.3} {text}").expect("record.txt can be written");
    }
}

/// Whether the case runs with its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// An entry VM: a process of `saddleraild serve`. Dropping it kills the process.
pub struct Vm {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub operations: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

/// The folder for settings and logs.
fn folder() -> PathBuf {
    PathBuf::from(std::env::var("FOLDER").expect("FOLDER names a temporary folder"))
}

/// The root of the repository.
fn root() -> PathBuf {
    PathBuf::from(std::env::var("ROOT").expect("ROOT names the repository"))
}

/// A free port of a loopback address.
pub fn free_address(ip: &str) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("its address")
}

/// Fills the gaps of the deploy file's template that a small deployment sets.
fn settings_text(
    name: &str,
    hall: &str,
    halls: &[&str],
    at: &[SocketAddr; 4],
    store: SocketAddr,
    seeds: &[SocketAddr],
    extra: &str,
) -> String {
    let [callers, ready, peers, operations] = at;
    let regions: Vec<String> = halls.iter().map(|hall| format!("\"{hall}\": \"here\"")).collect();
    let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
    format!(
        "vm: {name}\nhall: {hall}\nregions: {{{}}}\ncallers: {callers}\nready: {ready}\n\
         peers: {peers}\noperations: {operations}\ncores: 0.25\nseeds: [{}]\nstore: {store}\n\
         in_force_ms: 2000\nrepeats:\n  ratio: 0.2\n  slack: 54\n  window_s: 10\n\
         stop:\n  grace_s: 8\n{extra}",
        regions.join(", "),
        seeds.join(", ")
    )
}

/// Addresses of a VM: for callers, readiness, peers and operations.
pub fn vm_addresses(ip: &str) -> [SocketAddr; 4] {
    [(); 4].map(|()| free_address(ip))
}

impl Vm {
    /// Starts a VM on these addresses.
    pub fn start(
        name: &str,
        hall: &str,
        halls: &[&str],
        at: &[SocketAddr; 4],
        store: SocketAddr,
        seeds: &[SocketAddr],
        extra: &str,
    ) -> Vm {
        let settings = folder().join(format!("{name}.yaml"));
        let text = settings_text(name, hall, halls, at, store, seeds, extra);
        std::fs::write(&settings, text).expect("settings are written");
        let log = folder().join(format!("{name}.log"));
        let child = spawn(&settings, &log);
        let [callers, ready, _, operations] = *at;
        Vm { name: name.to_owned(), callers, ready, operations, settings, log, child }
    }

    /// Whether it reports that it is ready.
    pub fn is_ready(&self) -> bool {
        let answer = Call::new("GET", "ready", "/ready", "-").send(self.ready);
        answer.is_some_and(|answer| answer.status() == 200)
    }

    /// Its page of the operations address.
    pub fn page(&self, path: &str) -> String {
        let answer = Call::new("GET", "operations", path, "-").send(self.operations);
        answer.map(|answer| answer.text()).unwrap_or_default()
    }

    /// Number of targets that it knows.
    pub fn targets(&self) -> u64 {
        let state: serde_json::Value =
            serde_json::from_str(&self.page("/state")).unwrap_or_default();
        state["targets"].as_u64().unwrap_or(0)
    }

    /// Number of peers with an open link.
    pub fn linked_peers(&self) -> usize {
        let state: serde_json::Value =
            serde_json::from_str(&self.page("/state")).unwrap_or_default();
        let peers = state["peers"].as_array().cloned().unwrap_or_default();
        peers.iter().filter(|peer| peer["linked"] == true).count()
    }

    /// Sends a signal to the process; `signal` is an option of `kill`.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        drop(Command::new("kill").args([signal, &pid]).status());
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Starts the process again with the same settings.
    pub fn start_again(&mut self) {
        self.child = spawn(&self.settings, &self.log);
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// Its log.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let out = File::options().create(true).append(true).open(log).expect("a log file");
    Command::new(root().join("target/release/saddleraild"))
        .arg("serve")
        .current_dir(root())
        .env_clear()
        .env("SADDLERAIL_NODE_FILE", settings)
        .stdout(out)
        .stderr(Stdio::inherit())
        .spawn()
        .expect("saddleraild starts")
}

/// Waits until `done` holds; false after `limit`.
pub fn wait_until(limit: Duration, done: impl Fn() -> bool) -> bool {
    let began = Instant::now();
    while !done() {
        if began.elapsed() > limit {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    true
}

/// Accepts connections on a free port of a loopback address and serves each on a thread.
pub fn serve(ip: &str, handle: impl Fn(HttpConnection) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let address = listener.local_addr().expect("its address");
    let handle = std::sync::Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = std::sync::Arc::clone(&handle);
            std::thread::spawn(move || handle(HttpConnection::new(stream)));
        }
    });
    address
}

/// An answer with a length, as bytes.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len()).into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a call on a new connection; `None` without an answer.
pub fn send(call: &Call, to: SocketAddr) -> Option<HttpMessage> {
    let stream = TcpStream::connect(to).ok()?;
    call.send_on(&mut HttpConnection::new(stream))
}

/// Ends the program with an exit code of a case.
pub fn exit(code: u8) -> ExitCode {
    ExitCode::from(code)
}

/// Sends a call on a new connection; `None` if there is no answer within `limit`, when the caller
/// leaves.
pub fn send_within(call: &Call, to: SocketAddr, limit: Duration) -> Option<HttpMessage> {
    let stream = TcpStream::connect(to).ok()?;
    let closing = stream.try_clone().ok()?;
    let (done, is_done) = std::sync::mpsc::channel();
    let watch = std::thread::spawn(move || {
        if is_done.recv_timeout(limit).is_err() {
            drop(closing.shutdown(std::net::Shutdown::Both));
        }
    });
    let answer = call.send_on(&mut HttpConnection::new(stream));
    let _ = done.send(());
    drop(watch.join());
    answer.filter(|answer| answer.is_complete)
}
