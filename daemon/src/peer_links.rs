//! Links to other VMs: an async task that runs gossip rounds, and the gRPC service that answers
//! them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ids::Revision;
use peering::peer::{Announcement, CatalogueReply, CatalogueRequest, Heard, Hello, News};
use peering::{Peer, PeerClient, PeerServer, PeerStream};
use prost::Message as _;
use slog::{Logger, debug, warn};
use telemetry::Metrics;
use tokio::net::TcpListener;
use tokio::sync::{Notify, Semaphore};
use tokio::task::JoinSet;
use tokio_stream::StreamExt;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::{Channel, Endpoint, Server};
use tonic::{Request, Response, Status};

use crate::dispatcher_messages::{Message, Round};
use crate::dispatcher_thread::{DispatcherHandle, DispatcherStopped};
use crate::peer_messages::{
    advert_from_wire, catalogue_from_reply, catalogue_reply, digest_from_hello, hello_to_wire,
    news_from_wire, news_to_wire,
};

/// Timeout of one exchange or announcement with a peer.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of connecting to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout of fetching a peer's catalogue.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);
/// Bytes on the wire per message in addition to its encoded length, on an established connection:
/// 61 for HTTP/2 and 124 for TCP/IP segments. `docs/CAPACITY.md` describes how to measure it.
const FRAMING_BYTES: u64 = 185;
/// Shortest time between two gossip rounds, even if there are changes to send at once.
const MIN_ROUND_GAP: Duration = Duration::from_millis(20);
/// Most connections that other processes may have open to this one.
const MAX_CONNECTIONS: usize = 256;
/// Largest catalogue message, in bytes.
const MAX_MESSAGE_BYTES: usize = 8 << 20;

/// State shared by all peer links.
#[derive(Clone)]
pub(crate) struct PeerLinks {
    pub(crate) dispatcher: DispatcherHandle,
    pub(crate) log: Logger,
    pub(crate) metrics: Arc<Metrics>,
    /// Starts the next gossip round early.
    pub(crate) round_trigger: Arc<Notify>,
}

/// Runs the peer service until the process ends.
pub(crate) async fn serve(links: PeerLinks, listener: TcpListener) {
    let log = links.log.clone();
    let service = PeerServer::new(links).max_encoding_message_size(MAX_MESSAGE_BYTES);
    let places = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    let incoming = TcpListenerStream::new(listener)
        .filter_map(move |accepted| PeerStream::accept(accepted, &places).transpose());
    if let Err(e) = Server::builder().add_service(service).serve_with_incoming(incoming).await {
        warn!(log, "peer service ended"; "problem" => %e);
    }
}

/// Runs gossip rounds until the process ends: at the interval that the dispatcher sets, or early
/// when there is a change to send.
pub(crate) async fn run_gossip_rounds(links: PeerLinks) {
    let mut clients = PeerClients::default();
    while let Ok(round) = links.dispatcher.ask_async(Message::StartRound).await {
        let interval = round.interval;
        let have = round.own.beat.revision;
        announce(&links, &mut clients, &round).await;
        let newest = exchange_with_partners(&links, &mut clients, round).await;
        if let Some((revision, peer)) = newest.filter(|(revision, _)| *revision > have) {
            fetch_configuration(&links, clients.client(peer), revision).await;
        }
        tokio::time::sleep(MIN_ROUND_GAP).await;
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = links.round_trigger.notified() => {}
        }
    }
}

/// Announces a new configuration to some VMs that do not have it yet.
async fn announce(links: &PeerLinks, clients: &mut PeerClients, round: &Round) {
    let announcement =
        Announcement { revision: round.own.beat.revision.0, peers: round.own.peers.to_string() };
    let mut calls = JoinSet::new();
    for mut client in round.announce_to.iter().filter_map(|a| clients.client(*a)) {
        let bytes = announcement.encoded_len() as u64 + FRAMING_BYTES;
        links.metrics.control_bytes(bytes, FRAMING_BYTES);
        let announcement = announcement.clone();
        // A peer that misses the announcement learns of the configuration in a later round.
        calls.spawn(async move {
            let _ = tokio::time::timeout(EXCHANGE_TIMEOUT, client.announce(announcement)).await;
        });
    }
    while calls.join_next().await.is_some() {}
}

/// Clients for peers by address; each connects on first use.
#[derive(Default)]
struct PeerClients {
    by_address: HashMap<SocketAddr, PeerClient<Channel>>,
}

impl PeerClients {
    /// The client for this address; `None` if the address is not valid in a URI.
    fn client(&mut self, address: SocketAddr) -> Option<PeerClient<Channel>> {
        if let Some(client) = self.by_address.get(&address) {
            return Some(client.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
        let channel = endpoint.connect_timeout(CONNECT_TIMEOUT).connect_lazy();
        let client = PeerClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
        self.by_address.insert(address, client.clone());
        Some(client)
    }

    /// Drops the clients of peers that failed, because a restarted VM has a new address or
    /// listener.
    fn drop_failed(&mut self, failed: &[SocketAddr]) {
        self.by_address.retain(|address, _| !failed.contains(address));
    }
}

/// Runs one exchange with each partner and returns the newest revision that one of them has, with
/// its address.
async fn exchange_with_partners(
    links: &PeerLinks,
    clients: &mut PeerClients,
    round: Round,
) -> Option<(Revision, SocketAddr)> {
    let hello = hello_to_wire(round.own, &round.digest);
    let mut exchanges = JoinSet::new();
    for address in round.partners {
        if let Some(client) = clients.client(address) {
            exchanges.spawn(exchange(client, address, hello.clone()));
        }
    }
    let (mut newest, mut failed) = (None, Vec::new());
    let (mut sent, mut received) = (0, 0);
    while let Some(joined) = exchanges.join_next().await {
        match joined {
            Ok((address, Ok(news))) => {
                sent += hello.encoded_len() as u64 + FRAMING_BYTES;
                received += news.encoded_len() as u64 + FRAMING_BYTES;
                let own = news.own.as_ref().and_then(|own| own.beat.as_ref());
                newest = newest.max(own.map(|beat| (Revision(beat.revision), address)));
                links.dispatcher.tell(Message::PeerDelta(news_from_wire(news)));
            }
            Ok((address, Err(status))) => {
                debug!(links.log, "peer exchange failed"; "peer" => %address,
                    "problem" => status.message());
                failed.push(address);
            }
            Err(_) => {}
        }
    }
    clients.drop_failed(&failed);
    links.metrics.control_bytes(sent, received);
    // Answering the exchanges of other VMs costs as much again on average, hence the factor 2.
    links.dispatcher.tell(Message::RoundBytes(2 * (sent + received)));
    newest
}

/// Runs one exchange with a peer.
async fn exchange(
    mut client: PeerClient<Channel>,
    address: SocketAddr,
    hello: Hello,
) -> (SocketAddr, Result<News, Status>) {
    let timed = tokio::time::timeout(EXCHANGE_TIMEOUT, client.exchange(hello)).await;
    let result = match timed {
        Ok(result) => result.map(Response::into_inner),
        Err(_) => Err(Status::deadline_exceeded("no answer in time")),
    };
    (address, result)
}

/// Fetches a newer configuration from a peer; this works while the platform's store is unreachable.
async fn fetch_configuration(
    links: &PeerLinks,
    client: Option<PeerClient<Channel>>,
    revision: Revision,
) {
    let Some(mut client) = client else { return };
    let configurations =
        links.dispatcher.ask_async(|tx| Message::Configurations(Revision(0), tx)).await;
    let Ok((current, _)) = configurations else { return };
    let have = current.as_ref().map_or(Revision(0), |c| c.revision);
    if have >= revision {
        return;
    }
    let request = client.fetch_catalogue(CatalogueRequest { have: have.0 });
    let reply = match tokio::time::timeout(FETCH_TIMEOUT, request).await {
        Ok(Ok(reply)) => reply.into_inner(),
        Ok(Err(_)) | Err(_) => return,
    };
    links.metrics.control_bytes(FRAMING_BYTES, reply.encoded_len() as u64 + FRAMING_BYTES);
    match catalogue_from_reply(&reply, current.as_deref()) {
        Ok(offered) => links.dispatcher.tell(Message::OfferConfiguration(Box::new(offered))),
        Err(e) => warn!(links.log, "peer's catalogue rejected"; "problem" => %e),
    }
}

#[tonic::async_trait]
impl Peer for PeerLinks {
    async fn exchange(&self, request: Request<Hello>) -> Result<Response<News>, Status> {
        let hello = request.into_inner();
        let received = hello.encoded_len() as u64 + FRAMING_BYTES;
        let digest = digest_from_hello(&hello);
        let adverts = hello.own.into_iter().filter_map(advert_from_wire).collect();
        let (own, delta) = self
            .dispatcher
            .ask_async(|reply| Message::DeltaFor(digest, reply))
            .await
            .map_err(|DispatcherStopped| stopping_status())?;
        self.dispatcher
            .tell(Message::PeerDelta(membership::Delta { adverts, heartbeats: Vec::new() }));
        let news = news_to_wire(own, delta);
        self.metrics.control_bytes(news.encoded_len() as u64 + FRAMING_BYTES, received);
        Ok(Response::new(news))
    }

    async fn announce(&self, request: Request<Announcement>) -> Result<Response<Heard>, Status> {
        let announcement = request.into_inner();
        let received = announcement.encoded_len() as u64 + FRAMING_BYTES;
        self.metrics.control_bytes(FRAMING_BYTES, received);
        let bad = |_| Status::invalid_argument("peers: expected an address");
        let peer: SocketAddr = announcement.peers.parse().map_err(bad)?;
        let links = self.clone();
        tokio::spawn(async move {
            let client = PeerClients::default().client(peer);
            fetch_configuration(&links, client, Revision(announcement.revision)).await;
        });
        Ok(Response::new(Heard {}))
    }

    async fn fetch_catalogue(
        &self,
        request: Request<CatalogueRequest>,
    ) -> Result<Response<CatalogueReply>, Status> {
        let have = Revision(request.into_inner().have);
        let (current, old) = self
            .dispatcher
            .ask_async(|reply| Message::Configurations(have, reply))
            .await
            .map_err(|DispatcherStopped| stopping_status())?;
        let current = current.ok_or_else(|| Status::not_found("no configuration in force"))?;
        let reply = catalogue_reply(&current, old.as_deref());
        self.metrics.control_bytes(reply.encoded_len() as u64 + FRAMING_BYTES, FRAMING_BYTES);
        Ok(Response::new(reply))
    }
}

/// The gRPC status while the process stops.
fn stopping_status() -> Status {
    Status::unavailable("the process is ending")
}
