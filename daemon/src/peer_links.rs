//! Links to other VMs: a task that holds rounds of exchanges, and the service that answers them.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ids::Revision;
use membership::Advert;
use peering::messages::{CatalogueReply, CatalogueRequest, Hello, News};
use peering::{Peer, PeerClient, PeerServer};
use prost::Message as _;
use slog::{Logger, debug, warn};
use telemetry::Metrics;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::{Channel, Endpoint, Server};
use tonic::{Request, Response, Status};

use crate::dispatcher::{Message, Round};
use crate::peer_messages::{
    advert_from_wire, advert_to_wire, catalogue_from_reply, catalogue_reply, known_from_wire,
    known_to_wire,
};
use crate::runtime::{Desk, Gone};

/// Longest wait for a peer's answer.
const EXCHANGE_WAIT: Duration = Duration::from_secs(1);
/// Longest wait for a connection to a peer.
const CONNECT_WAIT: Duration = Duration::from_millis(500);
/// Longest wait for a peer's catalogue.
const FETCH_WAIT: Duration = Duration::from_secs(3);
/// Bytes that the framing of a call and its answer adds to the messages on a warm link, measured
/// as `docs/CAPACITY.md` tells.
const FRAMING_BYTES: u64 = 150;
/// Shortest time between two rounds, whatever news there is.
const BREATH: Duration = Duration::from_millis(20);
/// Largest catalogue message, in bytes.
const MAX_MESSAGE: usize = 8 << 20;

/// What the links share.
#[derive(Clone)]
pub(crate) struct PeerLinks {
    pub(crate) desk: Desk,
    pub(crate) log: Logger,
    pub(crate) metrics: Arc<Metrics>,
    pub(crate) news: Arc<Notify>,
}

/// Answers peers until the process ends.
pub(crate) async fn serve(links: PeerLinks, listener: TcpListener) {
    let log = links.log.clone();
    let service = PeerServer::new(links).max_encoding_message_size(MAX_MESSAGE);
    let incoming = TcpListenerStream::new(listener);
    if let Err(e) = Server::builder().add_service(service).serve_with_incoming(incoming).await {
        warn!(log, "peer service ended"; "problem" => %e);
    }
}

/// Holds rounds until the process ends: at the pace that the dispatcher says, at once on news.
pub(crate) async fn hold_rounds(links: PeerLinks) {
    let mut channels = Channels::default();
    while let Ok(round) = links.desk.ask_async(Message::StartRound).await {
        let interval = round.interval;
        let revision = round.own.revision;
        let heard = exchange_with_all(&links, &mut channels, round).await;
        fetch_newer(&links, &mut channels, revision, &heard).await;
        tokio::time::sleep(BREATH).await;
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            () = links.news.notified() => {}
        }
    }
}

/// Connections to peers, made when first used.
#[derive(Default)]
struct Channels {
    by_address: HashMap<SocketAddr, PeerClient<Channel>>,
}

impl Channels {
    fn to(&mut self, address: SocketAddr) -> Option<PeerClient<Channel>> {
        if let Some(client) = self.by_address.get(&address) {
            return Some(client.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}")).ok()?;
        let channel = endpoint.connect_timeout(CONNECT_WAIT).connect_lazy();
        let client = PeerClient::new(channel).max_decoding_message_size(MAX_MESSAGE);
        self.by_address.insert(address, client.clone());
        Some(client)
    }

    /// Drops connections to peers that failed; a restarted VM has a new address or listener.
    fn drop_failed(&mut self, failed: &[SocketAddr]) {
        self.by_address.retain(|address, _| !failed.contains(address));
    }
}

async fn exchange_with_all(
    links: &PeerLinks,
    channels: &mut Channels,
    round: Round,
) -> Vec<Advert> {
    let hello = Hello {
        own: Some(advert_to_wire(round.own)),
        known: round.known.into_iter().map(known_to_wire).collect(),
    };
    let mut exchanges = JoinSet::new();
    for address in round.partners {
        if let Some(client) = channels.to(address) {
            exchanges.spawn(exchange(client, address, hello.clone()));
        }
    }
    let mut heard = Vec::new();
    let mut failed = Vec::new();
    let (mut sent, mut received) = (0, 0);
    while let Some(joined) = exchanges.join_next().await {
        match joined {
            Ok((_, Ok(news))) => {
                sent += hello.encoded_len() as u64 + FRAMING_BYTES;
                received += news.encoded_len() as u64 + FRAMING_BYTES;
                heard.extend(news.own.into_iter().chain(news.others).filter_map(advert_from_wire));
            }
            Ok((address, Err(status))) => {
                debug!(links.log, "peer silent"; "peer" => %address,
                    "problem" => status.message());
                failed.push(address);
            }
            Err(_) => {}
        }
    }
    channels.drop_failed(&failed);
    links.metrics.control_bytes(sent, received);
    // What this VM answers to others in a round is as much again, on average.
    let bytes = 2 * (sent + received);
    links.desk.tell(Message::Heard { adverts: heard.clone(), bytes });
    heard
}

async fn exchange(
    mut client: PeerClient<Channel>,
    address: SocketAddr,
    hello: Hello,
) -> (SocketAddr, Result<News, Status>) {
    let timed = tokio::time::timeout(EXCHANGE_WAIT, client.exchange(hello)).await;
    let result = match timed {
        Ok(result) => result.map(Response::into_inner),
        Err(_) => Err(Status::deadline_exceeded("no answer in time")),
    };
    (address, result)
}

/// Takes a newer configuration from a peer that has one, whether or not the store answers.
async fn fetch_newer(links: &PeerLinks, channels: &mut Channels, have: Revision, heard: &[Advert]) {
    let newer = heard.iter().filter(|a| a.revision > have);
    let Some(peer) = newer.max_by_key(|a| a.revision) else {
        return;
    };
    let Some(mut client) = channels.to(peer.peers) else {
        return;
    };
    let Ok((current, _)) = links.desk.ask_async(|tx| Message::Current(have, tx)).await else {
        return;
    };
    let have = current.as_ref().map_or(Revision(0), |c| c.revision);
    if have >= peer.revision {
        return;
    }
    let request = client.fetch_catalogue(CatalogueRequest { have: have.0 });
    let fetched = match tokio::time::timeout(FETCH_WAIT, request).await {
        Ok(Ok(reply)) => reply.into_inner(),
        Ok(Err(_)) | Err(_) => return,
    };
    links.metrics.control_bytes(FRAMING_BYTES, fetched.encoded_len() as u64 + FRAMING_BYTES);
    match catalogue_from_reply(&fetched, current.as_deref()) {
        Ok(offered) => links.desk.tell(Message::Offer(Box::new(offered))),
        Err(e) => warn!(links.log, "peer's catalogue not taken"; "peer" => %peer.vm,
            "problem" => %e),
    }
}

#[tonic::async_trait]
impl Peer for PeerLinks {
    async fn exchange(&self, request: Request<Hello>) -> Result<Response<News>, Status> {
        let hello = request.into_inner();
        let received = hello.encoded_len() as u64 + FRAMING_BYTES;
        let known = hello.known.iter().filter_map(known_from_wire).collect();
        let adverts: Vec<Advert> = hello.own.into_iter().filter_map(advert_from_wire).collect();
        let (own, others) = self
            .desk
            .ask_async(|reply| Message::NewsFor(known, reply))
            .await
            .map_err(|Gone| ending())?;
        let newer = adverts.iter().any(|a| a.revision > own.revision);
        self.desk.tell(Message::Answered(adverts));
        if newer {
            // The caller knows a newer configuration: hold a round now to fetch it.
            self.news.notify_one();
        }
        let news = News {
            own: Some(advert_to_wire(own)),
            others: others.into_iter().map(advert_to_wire).collect(),
        };
        self.metrics.control_bytes(news.encoded_len() as u64 + FRAMING_BYTES, received);
        Ok(Response::new(news))
    }

    async fn fetch_catalogue(
        &self,
        request: Request<CatalogueRequest>,
    ) -> Result<Response<CatalogueReply>, Status> {
        let have = Revision(request.into_inner().have);
        let (current, old) = self
            .desk
            .ask_async(|reply| Message::Current(have, reply))
            .await
            .map_err(|Gone| ending())?;
        let current = current.ok_or_else(|| Status::not_found("no configuration in force"))?;
        let reply = catalogue_reply(&current, old.as_deref());
        self.metrics.control_bytes(reply.encoded_len() as u64 + FRAMING_BYTES, FRAMING_BYTES);
        Ok(Response::new(reply))
    }
}

fn ending() -> Status {
    Status::unavailable("the process is ending")
}
