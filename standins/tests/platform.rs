//! The stand-in platform implements the compare-and-swap of the platform's protocol.

use std::process::{Child, Command};

/// A child process that is killed when dropped.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn a_write_needs_the_expected_version() {
    let [.., high, low] = std::process::id().to_be_bytes();
    let address = format!("127.{}.{low}.250:7000", high.max(1));
    let mut command = Command::new(env!("CARGO_BIN_EXE_standin-platform"));
    let _running = Running(command.arg(format!("--listen={address}")).spawn().expect("starts"));
    let agent = ureq::Agent::config_builder().http_status_as_error(false).build().new_agent();
    let url = |query: &str| format!("http://{address}/kv/a/b{query}");
    let mut tries = 0;
    while agent.get(url("")).call().is_err() {
        tries += 1;
        assert!(tries < 1000, "does not answer");
        std::thread::sleep(std::time::Duration::from_millis(10));
    }

    let put = |expect: u64, value: &str| {
        let response = agent.put(url(&format!("?expect={expect}"))).send(value).expect("an answer");
        response.status().as_u16()
    };
    assert_eq!(put(1, "x"), 409);
    assert_eq!(put(0, "x"), 200);
    assert_eq!(put(0, "y"), 409);
    assert_eq!(put(1, "y"), 200);

    let mut read = agent.get(url("")).call().expect("an answer");
    assert_eq!(read.headers()["x-version"], "2");
    assert_eq!(read.body_mut().read_to_string().expect("text"), "y");
}
