//! How far the answer of one attempt has come, and which parts of the prompt its target has survived.

use std::rc::Rc;
use std::time::{Duration, Instant};

use quarantine::Suspect;

/// A target that still answers so long after the first event of its answer has survived the parts of
/// the prompt.
const START_SURVIVAL: Duration = Duration::from_millis(250);

/// The progress of one attempt's answer.
pub(crate) struct AnswerProgress {
    /// Parts of the request's prompt that may crash the target.
    prompt_parts: Rc<[Suspect]>,
    /// Events that arrived.
    events: u64,
    /// When the first of them arrived.
    answering_since: Option<Instant>,
    /// Whether the target has survived the start of its answer.
    start_survived: bool,
}

impl AnswerProgress {
    pub(crate) fn new(prompt_parts: &Rc<[Suspect]>) -> Self {
        AnswerProgress {
            prompt_parts: Rc::clone(prompt_parts),
            events: 0,
            answering_since: None,
            start_survived: false,
        }
    }

    /// Records an event. Returns the parts of the prompt if it shows that the target has survived
    /// them; they are returned once.
    pub(crate) fn record_event(&mut self, now: Instant) -> Option<&[Suspect]> {
        self.events += 1;
        let answering_since = *self.answering_since.get_or_insert(now);
        if self.start_survived || now - answering_since < START_SURVIVAL {
            return None;
        }
        self.start_survived = true;
        Some(&self.prompt_parts)
    }

    /// Number of events that arrived.
    pub(crate) fn events(&self) -> u64 {
        self.events
    }

    /// Parts of the prompt that may be at fault if the target crashes now.
    pub(crate) fn suspected_parts(&self) -> &[Suspect] {
        if self.start_survived { &[] } else { &self.prompt_parts }
    }
}
