//! Brings a view up to date with what peers send.

use std::collections::HashSet;

use ids::StoreRevision;

use crate::{
    Assembler, BatchRequest, Change, Completion, ContentRequest, History, Item, Listed, Part,
    Position, View,
};

/// What a peer is asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// What this VM lacks, in the order of keys.
    pub content: ContentRequest,
    /// What a peer of an older build sends instead: changes in the order of revisions.
    pub changes: BatchRequest,
}

/// What a peer asks for, in the form of its build.
#[derive(Debug, Clone, Copy)]
pub enum PeerRequest<'a> {
    /// What it lacks, in the order of keys.
    Content(&'a ContentRequest),
    /// Changes in the order of revisions, for an older build.
    Changes(&'a BatchRequest),
}

impl<'a> From<&'a ContentRequest> for PeerRequest<'a> {
    fn from(request: &'a ContentRequest) -> Self {
        PeerRequest::Content(request)
    }
}

impl<'a> From<&'a BatchRequest> for PeerRequest<'a> {
    fn from(request: &'a BatchRequest) -> Self {
        PeerRequest::Changes(request)
    }
}

/// A peer's reply to a [`Request`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// What was asked for, in order.
    pub parts: Vec<Part>,
    /// The peer knows every change up to this revision.
    pub as_of: StoreRevision,
    /// Nothing follows these parts.
    pub is_last: bool,
    /// Whether all keys were sent, not only those that changed.
    pub is_whole: bool,
    /// The changes that the peer knows one by one; `None` from an older build, which sends changes
    /// in the order of revisions.
    pub history: Option<History>,
}

impl Reply {
    /// Number of parts that end a value, or stand for one.
    pub fn whole_parts(&self) -> usize {
        let is_whole = |part: &&Part| match part {
            Part::Value(part) => part.ends,
            Part::Held(_) => true,
        };
        self.parts.iter().filter(is_whole).count()
    }
}

impl View {
    /// The reply to a peer, in the form that its build understands. `max_bytes` is as for
    /// [`View::next_batch`]. `None` while the content of the latest era is not complete: some of it
    /// has already replaced that of the era before.
    pub fn reply<'a>(
        &self,
        request: impl Into<PeerRequest<'a>>,
        max_bytes: usize,
    ) -> Option<Reply> {
        if self.era > self.as_of.era {
            return None;
        }
        Some(match request.into() {
            PeerRequest::Content(request) => self.reply_with_content(request, max_bytes),
            PeerRequest::Changes(request) => self.reply_with_changes(request, max_bytes),
        })
    }

    fn reply_with_content(&self, request: &ContentRequest, max_bytes: usize) -> Reply {
        let batch = self.next_content(request, max_bytes);
        Reply {
            parts: batch.parts,
            as_of: self.as_of,
            is_last: batch.is_last,
            is_whole: batch.is_whole,
            history: Some(self.history),
        }
    }

    fn reply_with_changes(&self, request: &BatchRequest, max_bytes: usize) -> Reply {
        let batch = self.next_batch(request, max_bytes);
        Reply {
            parts: batch.parts.into_iter().map(Part::Value).collect(),
            as_of: self.as_of,
            is_last: batch.is_last,
            is_whole: false,
            history: None,
        }
    }
}

/// What follows a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// The next request.
    Next,
    /// The view knows every change up to this revision once it is advanced to it.
    Complete(StoreRevision, Completion),
}

/// A transfer in progress. If a peer stops answering, another one goes on from there.
#[derive(Debug)]
pub struct CatchUp {
    /// Revision that the view knew at the start.
    known: StoreRevision,
    /// Last key that was received.
    after_key: String,
    /// Assembles the next value.
    assembler: Assembler,
    /// Ranges of keys that were received.
    listed: Vec<Listed>,
    /// Lowest revision up to which the peers that sent parts knew all changes.
    complete_to: Option<StoreRevision>,
    /// What is known of the history of these peers.
    senders: Senders,
}

/// The peers that sent parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Senders {
    /// None has yet.
    None,
    /// Peers of an older build.
    OlderBuild,
    /// Peers of this build.
    Known {
        /// The history that they have in common.
        history: History,
        /// Number of ranges of which they sent all keys.
        all_keys: usize,
        /// Number of ranges of which they sent the changes.
        changes: usize,
    },
}

impl CatchUp {
    /// Begins a transfer.
    pub fn begin(view: &View) -> Self {
        CatchUp::after(view.as_of())
    }

    fn after(known: StoreRevision) -> Self {
        CatchUp {
            known,
            after_key: String::new(),
            assembler: Assembler::after(known),
            listed: Vec::new(),
            complete_to: None,
            senders: Senders::None,
        }
    }

    /// Goes on with another peer.
    pub fn change_source(&mut self) {
        // An older build's parts are complete up to the last position if the peer knew all changes
        // up to there; only what follows depends on the next one.
        let is_older = self.senders == Senders::OlderBuild;
        if is_older && Some(self.assembler.next_request().after.revision) <= self.complete_to {
            self.complete_to = None;
        }
    }

    /// The next request; begins anew if the view knows more by now than a peer of an older build
    /// has sent.
    pub fn next_request(&mut self, view: &View) -> Request {
        let changes = self.assembler.next_request();
        let is_older = self.senders == Senders::OlderBuild;
        if is_older && changes.after < Position::after(view.as_of()) {
            *self = CatchUp::begin(view);
            return self.next_request(view);
        }
        let partial = changes.partial;
        let (known, after_key) = (self.known, self.after_key.clone());
        Request { content: ContentRequest { known, after_key, partial }, changes }
    }

    /// Merges a reply into the view; returns the changes of values and what follows.
    pub fn take(&mut self, view: &mut View, reply: Reply) -> (Vec<Change>, Step) {
        let is_other_era = |before: StoreRevision| before.era != reply.as_of.era;
        let is_other_build = match self.senders {
            Senders::None => false,
            Senders::OlderBuild => reply.history.is_some(),
            Senders::Known { .. } => reply.history.is_none(),
        };
        if is_other_build || self.complete_to.is_some_and(is_other_era) {
            *self = CatchUp::after(self.known);
            return (Vec::new(), Step::Next);
        }
        let complete_to = self.complete_to.map_or(reply.as_of, |before| before.min(reply.as_of));
        let is_last = reply.is_last;
        let changes = match reply.history {
            Some(history) => {
                if self.known.era != reply.as_of.era {
                    self.known = StoreRevision::start_of(reply.as_of.era);
                }
                self.senders = self.senders.with(history, reply.is_whole);
                match self.merge_content(view, reply) {
                    Ok(changes) => changes,
                    Err(NotHeld) => {
                        // Everything is sent with its value.
                        *self = CatchUp::after(StoreRevision::default());
                        return (Vec::new(), Step::Next);
                    }
                }
            }
            None => {
                self.senders = Senders::OlderBuild;
                merge_changes(view, &mut self.assembler, reply.parts)
            }
        };
        self.complete_to = Some(complete_to);
        let step =
            if is_last { Step::Complete(complete_to, self.completion()) } else { Step::Next };
        (changes, step)
    }

    /// Merges a range of keys, and removes those that the peer does not have.
    fn merge_content(&mut self, view: &mut View, reply: Reply) -> Result<Vec<Change>, NotHeld> {
        let Reply { parts, as_of, is_last, is_whole, .. } = reply;
        let content = assemble(view, &self.after_key, &mut self.assembler, parts)?;
        let through = (!is_last).then_some(content.last_key.as_str());
        // Of keys that did not change since, nothing was sent.
        let since = if is_whole { StoreRevision::default() } else { self.known };
        self.listed.push(Listed::between(&self.after_key, through, content.keys, since..=as_of));
        self.after_key = content.last_key;
        let mut changes = view.merge_as_of(content.items, as_of);
        // What came from elsewhere since a range was received may be older, so that all ranges are
        // looked at again at the end.
        let lacking = if is_last { 0 } else { self.listed.len() - 1 };
        changes.extend(self.listed[lacking..].iter().flat_map(|listed| view.remove_absent(listed)));
        Ok(changes)
    }

    fn completion(&self) -> Completion {
        match self.senders {
            Senders::Known { history, all_keys: 0, .. } => Completion::PeerChanges(Some(history)),
            Senders::Known { history, changes: 0, .. } => Completion::PeerContent(history),
            Senders::Known { history, .. } => {
                let since = history.with_gap_closed().since.max(self.known);
                Completion::PeerContent(History::since(since))
            }
            Senders::None | Senders::OlderBuild => Completion::PeerChanges(None),
        }
    }
}

impl Senders {
    /// Adds a peer that sent a range, of all keys or of the changes.
    fn with(self, other: History, sent_all_keys: bool) -> Self {
        let (history, all_keys, changes) = match self {
            Senders::Known { history, all_keys, changes } => {
                (history.joined_with(other), all_keys, changes)
            }
            Senders::None | Senders::OlderBuild => (other, 0, 0),
        };
        if sent_all_keys {
            Senders::Known { history, all_keys: all_keys + 1, changes }
        } else {
            Senders::Known { history, all_keys, changes: changes + 1 }
        }
    }
}

/// Merges parts of changes of an older build.
fn merge_changes(view: &mut View, assembler: &mut Assembler, parts: Vec<Part>) -> Vec<Change> {
    let items = parts.into_iter().filter_map(|part| match part {
        Part::Value(part) => assembler.push(part),
        Part::Held(_) => None,
    });
    let items: Vec<Item> = items.collect();
    view.merge(items)
}

/// The view lacks a change that the peer left out.
struct NotHeld;

/// Content that was assembled from parts.
struct Content {
    items: Vec<Item>,
    /// The keys that have a value: of the items, and those whose values the view holds.
    keys: HashSet<String>,
    /// The last key, or the one after which the parts begin.
    last_key: String,
}

/// Assembles parts of the content after a key.
fn assemble(
    view: &View,
    after_key: &str,
    assembler: &mut Assembler,
    parts: Vec<Part>,
) -> Result<Content, NotHeld> {
    let (items, keys) = (Vec::new(), HashSet::new());
    let mut content = Content { items, keys, last_key: after_key.to_owned() };
    for part in parts {
        match part {
            Part::Held(position) if !view.holds(&position) => return Err(NotHeld),
            Part::Held(Position { key, .. }) => {
                content.last_key.clone_from(&key);
                content.keys.insert(key);
            }
            Part::Value(part) => {
                let Some(item) = assembler.push(part) else { continue };
                content.last_key.clone_from(&item.key);
                if item.value.is_some() {
                    content.keys.insert(item.key.clone());
                }
                content.items.push(item);
            }
        }
    }
    Ok(content)
}
