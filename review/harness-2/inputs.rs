//! Two stages need the results of a third one. A worker that holds these results crashes, and the
//! process that fills the calls of one of the two stages is killed while the results are made anew.

use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::daemon::{Daemon, Machine, wait_until};
use crate::http::{Message, call};
use crate::json::Json;
use crate::record::Record;
use crate::runners::{Run, Runner, StageTimes, World};
use crate::store::Store;

/// Times and queue of the stages of a small deployment.
const TIMES: StageTimes =
    StageTimes { call: Duration::from_millis(240), item: Duration::from_millis(17), queue: 2 };
/// The request that is looked at.
const MAIN: &str = "9c41d07be2a35f68";
/// Time from an input found gone to the kill.
const KILL_AFTER: Duration = Duration::from_millis(150);

pub fn run(repository: &str, trouble: bool, record: &Record) -> Result<Vec<String>, String> {
    let store = Store::start();
    let world = World::new(&store, record);
    store.put("op/config", &config());
    let start = |pool: &str| Runner::start(&world, pool, "hall-a", Some(TIMES), false);
    let first: Vec<Runner> = (0..2).map(|_| start("first")).collect();
    let _others = [start("second"), start("third")];
    let _model = Runner::start(&world, "model", "hall-a", None, true);
    let machines: Vec<Machine> =
        (1..=3).map(|number| Machine::new(&format!("front-{number}"), "hall-a")).collect();
    let folder = std::env::temp_dir().join(format!("cases-2-{}", std::process::id()));
    let mut daemons = Vec::new();
    for machine in &machines {
        daemons.push(Daemon::start(repository, &folder, machine, &machines, store.address)?);
    }
    wait_until("all are ready", Duration::from_secs(20), || daemons.iter().all(Daemon::is_ready))?;
    // The machines find each other.
    sleep(Duration::from_secs(4));

    let state = daemons[0].state();
    let filled_by = |pool: &str| {
        let pools = state.get("pools").items().iter();
        let name = pools.clone().find(|p| p.get("pool").text() == Some(pool));
        name.and_then(|p| p.get("filled_by").text()).unwrap_or_default().to_owned()
    };
    let owner = match filled_by("second").as_str() {
        "this VM" => machines[0].name.clone(),
        other => other.to_owned(),
    };
    record.line(&format!("{owner} fills the calls of the stage `second`"));
    let owner = machines.iter().position(|m| m.name == owner).ok_or("no owner is known")?;
    // The request comes to another machine than the one that is killed.
    let front = machines[(owner + 1) % machines.len()].front;
    record.line(&format!("the requests go to {}", machines[(owner + 1) % machines.len()].name));

    let answers: Arc<Mutex<Vec<(String, Option<Message>)>>> = Arc::default();
    let send = |path: &str, id: &str, pieces: &str| {
        let (request, id) = (request(path, id, pieces), id.to_owned());
        let (answers, record) = (Arc::clone(&answers), record.clone());
        record.line(&format!("request {id} is sent"));
        spawn(move || {
            let answer = call(front, &request, Duration::from_secs(20));
            let told = answer.as_ref().map(|a| format!("{}, whole {}", a.status(), a.whole));
            record.line(&format!("request {id} is answered: {told:?}"));
            answers.lock().unwrap().push((id, answer));
        });
    };
    // The pools of the two stages are busy: each of these fills a call.
    for number in 0..4 {
        send("/second/", &format!("b{number:015x}"), "12");
        if number < 2 {
            send("/third/", &format!("c{number:015x}"), "12");
        }
        sleep(Duration::from_millis(5));
    }
    sleep(Duration::from_millis(30));
    send("/chain/", MAIN, "2,1,1");
    let holder = || {
        let made = world.made.lock().unwrap();
        let handle = made.iter().find(|(_, of)| of.0 == MAIN && of.1 == 0)?.0.clone();
        first.iter().find(|runner| handle.starts_with(&runner.address.to_string()))
    };
    wait_until("the first stage is done", Duration::from_secs(5), || holder().is_some())?;
    // Its pool is busy too.
    for number in 0..3 {
        send("/first/", &format!("a{number:015x}"), "12");
        sleep(Duration::from_millis(5));
    }
    if trouble {
        sleep(Duration::from_millis(50));
        let holder = holder().ok_or("nobody holds the results")?;
        record.line(&format!("{} crashes", holder.id));
        holder.crash();
        let is_gone =
            || world.gone.lock().unwrap().iter().any(|(id, stage)| id == MAIN && *stage == 2);
        wait_until("an input is found gone", Duration::from_secs(5), is_gone)?;
        sleep(KILL_AFTER);
        record.line(&format!("{} is killed", daemons[owner].machine.name));
        daemons[owner].kill();
    }
    let is_answered = || answers.lock().unwrap().iter().any(|(id, _)| id == MAIN);
    wait_until("the request is answered", Duration::from_secs(25), is_answered)?;
    sleep(Duration::from_millis(500));
    for daemon in &daemons {
        for line in daemon.log_lines(MAIN) {
            record.line(&format!("log of {}: {line}", daemon.machine.name));
        }
    }
    std::fs::remove_dir_all(&folder).ok();
    let runs = world.runs.lock().unwrap().clone();
    Ok(runs.iter().filter_map(|run| wrong_inputs(run, &world)).collect())
}

/// What is wrong with the inputs of a piece of the two stages: it needs one result of each of the two
/// pieces of the first stage of its request.
fn wrong_inputs(run: &Run, world: &World) -> Option<String> {
    let (stage, piece) = run.piece?;
    if run.request != MAIN || stage == 0 {
        return None;
    }
    let made = world.made.lock().unwrap();
    let mut of: Vec<_> = run.inputs.iter().map(|handle| made.get(handle).cloned()).collect();
    of.sort();
    let wanted: Vec<_> = (0..2).map(|piece| Some((MAIN.to_owned(), 0, piece))).collect();
    (of != wanted).then(|| {
        format!(
            "MIXED: at {:.3} s {} was given stage {stage} piece {piece} of request {MAIN} with {} of its 2 inputs, key {}",
            run.at, run.runner, run.inputs.len(), run.has_key
        )
    })
}

fn request(path: &str, id: &str, pieces: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: pule25.example\r\nRequest-Id: {id}\r\nModel: m\r\nToken-Counts: 1460,80\r\nPrompt-Prefix: 5c1e07a2:800,{}:660\r\nPieces: {pieces}\r\nPiece-Key: k{id}\r\nDeadline-Milliseconds: 15000\r\nContent-Length: 5\r\n\r\nhello",
        &id[..8]
    )
}

/// A configuration with the bounds of a small deployment.
fn config() -> String {
    let pool = |name: &str| {
        format!(
            r#"{{"name":"{name}","health_check_path":"/health","connection_limit":360,"protocol":"h1","tls":false,"pieces":{{"slots":1,"queue":2,"batch":12,"call_ms":240.0,"item_ms":17.0,"headroom_mb":14.0,"handle_s":4.0,"link_mbps":10000}}}}"#
        )
    };
    let route = |name: &str, stages: &str| {
        format!(
            r#"{{"name":"r-{name}","host":"pule25.example","path_prefix":"/{name}/","kind":"streaming","timeout_ms":15000,"target_latency_ms":2500,"priority":1,"service":"model","max_attempts":1,"stages":[{stages}],"public":true,"stream_resumption":false,"target_gap_ms":400}}"#
        )
    };
    let stage = |pool: &str, after: &str| {
        format!(r#"{{"service":"{pool}","after_revision":[{after}],"bytes":8000}}"#)
    };
    let chain = [stage("first", ""), stage("second", "0"), stage("third", "0")].join(",");
    let routes = [
        route("chain", &chain),
        route("first", &stage("first", "")),
        route("second", &stage("second", "")),
        route("third", &stage("third", "")),
    ];
    let model = r#"{"name":"model","health_check_path":"/health","connection_limit":360,"protocol":"h1","tls":false,"inference_engine":{"slots":64,"kv_cache_tokens":621758}}"#;
    let text = format!(
        r#"{{"version":7,"routes":[{}],"services":[{model},{},{},{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(","),
        pool("first"),
        pool("second"),
        pool("third")
    );
    Json::parse(&text).to_string()
}
