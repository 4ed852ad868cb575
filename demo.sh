#!/usr/bin/env bash
# Demonstration on one machine: builds the workspace, starts stand-ins for the platform and the
# targets and three entry VMs in two data halls, sends requests to three services, then moves a
# label between targets and shows that the traffic follows. On exit it stops the processes that it
# started, by process id.
set -euo pipefail
cd "$(dirname "$0")"

export SADDLERAIL_PLATFORM=127.0.0.1:17000 SADDLERAIL_VM=127.0.0.1:17021
bin=${CARGO_TARGET_DIR:-target}/release
run=demo-run
pids=()

stop_all() {
    trap - EXIT INT TERM
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}
trap stop_all EXIT
trap 'stop_all; exit 130' INT
trap 'stop_all; exit 143' TERM

start() { # arguments: name, program, its arguments; runs it in the background
    local name=$1
    shift
    "$@" >"$run/$name.log" 2>&1 &
    pids+=($!)
}

wait_ready() { # arguments: address, path; waits up to 5 s for a successful answer
    for _ in $(seq 100); do
        curl -sf -o /dev/null "http://$1$2" && return 0
        sleep 0.05
    done
    echo "demo: $1$2 did not answer within 5 s; see the logs in $run" >&2
    return 1
}

send_request() { # arguments: service, deadline in ms, body, further arguments of curl
    local service=$1 deadline=$2 body=$3
    shift 3
    curl -sS -N "http://127.0.0.1:17001/v1/services/$service" -d "$body" \
        -H "saddlerail-customer: biblioteca-nacional" -H "saddlerail-deadline-ms: $deadline" \
        -w '\n  -> status %{http_code} in %{time_total} s\n' "$@"
}

put_vm_list() { # puts the three entry VMs on the platform's list
    local list='' vm hall
    for vm in 1 2 3; do
        hall=lim-a
        [ "$vm" = 3 ] && hall=lim-b
        list+="{\"name\":\"entry-$vm\",\"hall\":\"$hall\",\"address\":\"127.0.0.1:1701$vm\",\"entry\":true,\"state\":\"live\"},"
    done
    curl -sf -o /dev/null -X PUT "http://127.0.0.1:17000/vms" -d "[${list%,}]"
}

count_by_target() { # argument: number of requests to send; counts how many each engine served
    local n=$1 i
    for i in $(seq "$n"); do
        curl -sS "http://127.0.0.1:17001/v1/services/heading-check" -d "{\"heading\":\"quipus $i\"}" \
            -H "saddlerail-customer: sala-lectura" -H "saddlerail-deadline-ms: 3000"
        echo
    done | grep -o '"target":"modelo-[0-9]"' | sort | uniq -c
}

echo "== build"
cargo build --release --workspace --quiet
rm -rf "$run" && mkdir "$run"

echo "== start the stand-ins and three entry VMs"
start platform $bin/standin-platform --listen 127.0.0.1:17000
# Pools of two targets each; these are the middle digits of their ports in the catalogue.
for pool in 10 11 12 13; do
    start "pool-$pool" $bin/standin-target --listen "127.0.0.1:17${pool}1" --count 2 --service-ms 4
done
start modelo $bin/standin-target --listen 127.0.0.1:17141 --count 3 --mode engine --slots 8 \
    --service-ms 20 --token-ms 5 --tokens 24
wait_ready 127.0.0.1:17000 /counts
$bin/saddlerail apply -f examples/quipu/catalogue.yaml | tail -n 1
for vm in 1 2 3; do
    start "entry-$vm" $bin/saddleraild --settings "examples/quipu/vm-$vm.yaml"
done
for vm in 1 2 3; do wait_ready "127.0.0.1:1702$vm" /ready; done
wait_discovered() { # waits until the VM at SADDLERAIL_VM knows the other two, or for 100 tries
    for _ in $(seq 100); do
        [ "$($bin/saddlerail state | grep -c 'vm=entry-')" = 2 ] && return 0
        sleep 0.05
    done
}
put_vm_list
wait_discovered

echo "== a heading check (plain answer)"
send_request heading-check 1000 '{"heading":"Quipus -- Peru"}' -H "saddlerail-repeatable: yes"
echo "== a record enrichment (streamed; the last event is the outcome)"
send_request record-enrichment 10000 '{"record":4711}' -H "accept: text/event-stream" \
    -H "saddlerail-request-id: enrich-4711" -H "saddlerail-repeatable: yes" | tail -n 5
echo "== a hold, which must run at most once, sent twice under one id"
for _ in 1 2; do
    send_request hold 1000 '{"copy":12}' -H "saddlerail-request-id: hold-12" \
        -H "saddlerail-repeatable: no"
done
echo "== targets chosen for the enrichment"
$bin/saddlerail explain enrich-4711

echo "== heading checks by target, before the label moves"
count_by_target 30
echo "== move the label: modelo-3 becomes v1, modelo-1 becomes v2"
$bin/saddlerail label target/modelo-3 version=v1 --wait
$bin/saddlerail label target/modelo-1 version=v2 --wait
echo "== heading checks by target, after the label has moved"
count_by_target 30

echo "== stop"
