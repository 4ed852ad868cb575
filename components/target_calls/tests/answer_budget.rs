//! Memory that answers take together while they are read.

use std::cell::RefCell;
use std::io::{Read, repeat};

use target_calls::AnswerBudget;

/// Largest answer.
const LIMIT: usize = 1 << 20;
/// Memory of all answers beyond what each may take in any case.
const BUDGET: usize = 1 << 18;
/// Size of a small answer.
const SMALL: u64 = 60 * 1024;

/// Reads an answer without an end, and `other` of the same budget once a part of it was read.
fn read_beside_endless(budget: &AnswerBudget, other: u64) -> (bool, Option<bool>) {
    let beside = RefCell::new(None);
    let read_other = || budget.read(repeat(b'x').take(other), LIMIT).is_ok();
    let mut parts = 0;
    let endless = Endless(|buf: &mut [u8]| {
        parts += 1;
        if parts == 10 {
            beside.replace(Some(read_other()));
        }
        buf.fill(b'x');
        buf.len()
    });
    let is_read = budget.read(endless, LIMIT).is_ok();
    (is_read, beside.into_inner())
}

struct Endless<F>(F);

impl<F: FnMut(&mut [u8]) -> usize> Read for Endless<F> {
    fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
        Ok((self.0)(buf))
    }
}

/// Guards against sound answers that are given up for others without an end.
#[test]
fn small_answers_are_read_beside_one_without_an_end() {
    let budget = AnswerBudget::new(BUDGET);

    assert_eq!(read_beside_endless(&budget, SMALL), (false, Some(true)));
    assert_eq!(read_beside_endless(&budget, LIMIT as u64), (false, Some(false)));
}

#[test]
fn memory_is_given_back_after_answers_that_failed() {
    let budget = AnswerBudget::new(BUDGET);
    for _ in 0..20 {
        assert!(budget.read(repeat(b'x'), LIMIT).is_err());
    }

    let whole = budget.read(repeat(b'y').take(BUDGET as u64), LIMIT);

    assert_eq!(whole.map(|bytes| bytes.len()), Ok(BUDGET));
}
