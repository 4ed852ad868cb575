//! Encodes and decodes what VMs tell each other of the store's content: transfers, histories and
//! digests.

use bytes::Bytes;
use ids::StoreRevision;
use peering::work::{self, Ask, News, StoreContent, StoreItem};
use store_view::{
    BatchRequest, ContentDigest, ContentRequest, Gap, History, Item, ItemPart, KnownContent, Part,
    PartialChange, Position, Reply, Request, View,
};

use crate::app::App;

/// Most bytes of changes in one message. They take 26 ms on a link of 10 Mbit/s, a fraction of the
/// interval between two heartbeats, which wait behind them.
const PART_BYTES: usize = 32 * 1024;

/// What this VM knows of the store, for its heartbeats.
pub(crate) fn own_content(app: &App) -> StoreContent {
    app.state.with(|shared, _| StoreContent {
        hash: shared.view.digest().map(|digest| digest.hash),
        history: Some(encode_history(shared.view.history())),
        confirmed: shared.is_content_confirmed(),
    })
}

/// The content that a peer knows at its revision; `None` if it tells no digest.
pub(crate) fn decode_content(content: &StoreContent, as_of: StoreRevision) -> Option<KnownContent> {
    let digest = ContentDigest { as_of, hash: content.hash? };
    Some(KnownContent { digest, is_confirmed: content.confirmed })
}

fn encode_history(history: History) -> work::History {
    let gap = |gap: Gap| work::Gap { after: gap.after.number, until: gap.until.number };
    work::History { since: history.since.number, gap: history.gap.map(gap) }
}

/// Decodes a peer's history of the given era.
pub(crate) fn decode_history(history: Option<&work::History>, era: u64) -> Option<History> {
    let revision = |number| StoreRevision { era, number };
    let gap = |gap: &work::Gap| Gap { after: revision(gap.after), until: revision(gap.until) };
    let decode = |history: &work::History| History {
        since: revision(history.since),
        gap: history.gap.as_ref().map(gap),
    };
    history.map(decode)
}

pub(crate) fn encode_request(request: Request) -> Ask {
    let Request { content, changes } = request;
    let era = changes.after.revision.era;
    let known = if content.known.era == era { content.known.number } else { 0 };
    Ask {
        known_revision: changes.after.revision.number,
        known_key: changes.after.key,
        begun_revision: changes.partial.revision.number,
        begun_bytes: changes.partial.bytes as u64,
        era: Some(era),
        known_to: Some(known),
        after_key: content.after_key,
    }
}

/// The reply to a peer's request; `None` if this VM can't tell the peer anything now.
pub(crate) fn answer(view: &View, ask: Ask) -> Option<News> {
    let as_of = view.as_of();
    // An older build may know no eras.
    let era = ask.era.unwrap_or(as_of.era);
    let revision = |number| StoreRevision { era, number };
    let bytes = usize::try_from(ask.begun_bytes).unwrap_or(usize::MAX);
    let partial = PartialChange { revision: revision(ask.begun_revision), bytes };
    let reply = match ask.known_to {
        Some(known) => {
            let (known, after_key) = (revision(known), ask.after_key);
            view.reply(&ContentRequest { known, after_key, partial }, PART_BYTES)?
        }
        None => {
            let after = Position { revision: revision(ask.known_revision), key: ask.known_key };
            view.reply(&BatchRequest { after, partial }, PART_BYTES)?
        }
    };
    Some(News {
        items: reply.parts.into_iter().map(encode_part).collect(),
        as_of: as_of.number,
        is_last: reply.is_last,
        era: Some(as_of.era),
        history: reply.history.map(encode_history),
        whole: reply.is_whole,
    })
}

fn encode_part(part: Part) -> StoreItem {
    match part {
        Part::Value(ItemPart { item, offset, ends }) => StoreItem {
            key: item.key,
            revision: item.revision.number,
            removed: item.value.is_none(),
            value: item.value.map(|value| value.to_vec()).unwrap_or_default(),
            offset: offset as u64,
            goes_on: !ends,
            held: false,
        },
        Part::Held(Position { revision, key }) => {
            StoreItem { key, revision: revision.number, held: true, ..StoreItem::default() }
        }
    }
}

/// Decodes a peer's reply to a VM that knows the content of era `known`. `None` if the reply is of
/// an era before the latest one that is known of, `latest`.
pub(crate) fn decode_reply(news: News, known: u64, latest: u64) -> Option<Reply> {
    let era = news.era.unwrap_or(known);
    (era >= latest).then(|| Reply {
        parts: news.items.into_iter().map(|item| decode_part(item, era)).collect(),
        as_of: StoreRevision { era, number: news.as_of },
        is_last: news.is_last,
        is_whole: news.whole,
        history: decode_history(news.history.as_ref(), era),
    })
}

fn decode_part(item: StoreItem, era: u64) -> Part {
    let revision = StoreRevision { era, number: item.revision };
    if item.held {
        return Part::Held(Position { revision, key: item.key });
    }
    let value = (!item.removed).then(|| Bytes::from(item.value));
    Part::Value(ItemPart {
        item: Item { key: item.key, revision, value },
        offset: usize::try_from(item.offset).unwrap_or(usize::MAX),
        ends: !item.goes_on,
    })
}
