//! Tests of a pool: filling calls by slack within the workers' room, requeueing failed pieces, and
//! releasing results.

// A fixture that can't be set up must fail its test.
#![allow(clippy::unwrap_used)]

use std::collections::HashMap;
use std::time::{Duration, Instant};

use batching::{CallEnd, FinishedPiece, PieceOutcome, Pool, Submission};
use eligibility::Halls;
use ids::HallName;
use intent::Target;
use platform_interface::calls::PieceAnswer;
use support::{CALL, LIFE, pool, submission, worker};

mod support;

/// The end of a call whose `count` pieces all have results.
fn all_stored(count: usize) -> CallEnd {
    let answer = |index| PieceAnswer::Stored(format!("127.0.0.1:9/{index}"));
    CallEnd::Answered((0..count).map(answer).collect())
}

/// The request ids of the pieces of a call.
fn request_ids(pool: &Pool, call: &batching::Call) -> Vec<String> {
    let id = |job| pool.submission(job).map(|s| s.request.to_string()).unwrap_or_default();
    call.pieces.iter().map(|(job, _)| id(*job)).collect()
}

#[test]
fn pieces_of_several_requests_share_a_call_the_earliest_due_first() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a")]);
    pool.submit(submission("late", 2, now + CALL * 20), now);
    pool.submit(submission("soon", 3, now + CALL * 4), now);

    let call = pool.next_call(now).unwrap();

    assert_eq!(request_ids(&pool, &call), ["soon", "soon", "soon", "late"]);
    assert!(pool.next_call(now).is_none(), "its only worker is busy");
}

#[test]
fn late_pieces_go_after_pieces_that_can_be_in_time() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a")]);
    pool.submit(submission("late", 4, now + CALL / 2), now);
    pool.submit(submission("soon", 4, now + CALL * 4), now);

    let call = pool.next_call(now).unwrap();

    assert_eq!(request_ids(&pool, &call), ["soon"; 4]);
}

#[test]
fn every_piece_is_finished_once() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a")]);
    let job = pool.submit(submission("r", 3, now + CALL * 4), now);
    let call = pool.next_call(now).unwrap();

    let finished = pool.call_ended(call.key, all_stored(3), now + CALL);

    let pieces: Vec<u32> = finished.iter().map(|finished| finished.piece).collect();
    assert_eq!(pieces, [0, 1, 2]);
    assert!(finished.iter().all(|f| f.job == job && matches!(f.outcome, PieceOutcome::Stored(_))));
    assert!(pool.call_ended(call.key, all_stored(3), now + CALL).is_empty(), "a call ends once");
}

#[test]
fn results_use_room_until_they_are_released_or_expire() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a")]);
    let large = |id| Submission { result_bytes: 500, ..submission(id, 2, now + CALL * 4) };
    pool.submit(large("first"), now);
    let call = pool.next_call(now).unwrap();
    pool.call_ended(call.key, all_stored(2), now);
    pool.submit(large("second"), now);
    assert!(pool.next_call(now).is_none(), "no room");

    let releases = pool.release(vec!["127.0.0.1:9/0".to_owned(), "unknown".to_owned()]);
    assert!(pool.next_call(now).is_none(), "the worker has not been notified yet");
    pool.finish_release(&releases[0], true, now);
    let call = pool.next_call(now).unwrap();

    assert_eq!(releases.len(), 1);
    assert_eq!(releases[0].handles, ["127.0.0.1:9/0"]);
    assert_eq!(call.pieces.len(), 1);
    pool.call_ended(call.key, CallEnd::Failed, now);
    let later = now + Duration::from_secs(5);
    assert_eq!(
        pool.next_call(later).unwrap().pieces.len(),
        1,
        "one piece, to find out whether the worker has recovered"
    );
}

#[test]
fn a_failed_call_is_retried_at_another_worker_and_its_pieces_fail_in_the_end() {
    let mut now = Instant::now();
    let mut pool = pool(&[worker("m", "a"), worker("n", "a")]);
    pool.submit(submission("r", 1, now + CALL * 50), now);
    let mut workers = Vec::new();
    let finished = loop {
        let call = pool.next_call(now).unwrap();
        workers.push(call.target.id.to_string());
        let finished = pool.call_ended(call.key, CallEnd::Failed, now);
        if !finished.is_empty() {
            break finished;
        }
        now += Duration::from_secs(5);
    };

    assert_ne!(workers[0], workers[1]);
    assert!(matches!(finished[..], [FinishedPiece { outcome: PieceOutcome::Failed, .. }]));
}

#[test]
fn answers_of_a_worker_finish_or_requeue_their_pieces() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a")]);
    pool.submit(submission("r", 4, now + CALL * 4), now);
    let call = pool.next_call(now).unwrap();
    let answers = vec![PieceAnswer::Late, PieceAnswer::InputGone, PieceAnswer::NoRoom];

    let finished = pool.call_ended(call.key, CallEnd::Answered(answers), now);

    let outcomes: Vec<&PieceOutcome> = finished.iter().map(|finished| &finished.outcome).collect();
    assert_eq!(outcomes, [&PieceOutcome::Late, &PieceOutcome::InputGone]);
    assert!(pool.next_call(now).is_none(), "a worker without room is in backoff");
    let again = pool.next_call(now + CALL).unwrap();
    let pieces: Vec<u32> = again.pieces.iter().map(|(_, piece)| *piece).collect();
    assert_eq!(pieces, [2, 3], "one found no room, one got no answer");
}

#[test]
fn a_full_worker_uses_up_no_attempt() {
    let mut now = Instant::now();
    let mut pool = pool(&[worker("m", "a")]);
    pool.submit(submission("r", 1, now + CALL * 50), now);
    for _ in 0..20 {
        let call = pool.next_call(now).unwrap();
        assert!(pool.call_ended(call.key, CallEnd::Full, now).is_empty());
        now += Duration::from_millis(100);
    }
}

#[test]
fn a_worker_without_room_uses_up_no_attempt() {
    let mut now = Instant::now();
    let mut pool = pool(&[worker("m", "a")]);
    pool.submit(submission("r", 1, now + CALL * 50), now);
    for _ in 0..20 {
        let call = pool.next_call(now).unwrap();
        let end = CallEnd::Answered(vec![PieceAnswer::NoRoom]);
        assert!(pool.call_ended(call.key, end, now).is_empty());
        now += Duration::from_millis(200);
    }
}

#[test]
fn results_of_a_canceled_submission_are_released_at_once() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a")]);
    let job = pool.submit(submission("r", 2, now + CALL * 4), now);
    let call = pool.next_call(now).unwrap();
    pool.cancel(job);

    assert!(pool.call_ended(call.key, all_stored(2), now).is_empty());

    let releases = pool.release_queued();
    assert_eq!(releases.len(), 1);
    assert_eq!(releases[0].handles.len(), 2);
    assert!(pool.is_idle());
}

#[test]
fn pieces_wait_for_a_limited_time_for_a_worker_in_the_hall_of_their_inputs() {
    let now = Instant::now();
    let mut pool = pool(&[worker("near", "a"), worker("far", "b")]);
    let hall_a = Some(HallName::new("a").unwrap());
    let preferring_a =
        |id| Submission { preferred_hall: hall_a.clone(), ..submission(id, 4, now + CALL * 20) };
    pool.submit(preferring_a("first"), now);
    pool.submit(preferring_a("second"), now);

    let first = pool.next_call(now).unwrap();
    assert_eq!(first.target.id.as_str(), "near");
    assert!(pool.next_call(now).is_none(), "the second waits");

    let wakeup = pool.next_wakeup(now).unwrap();
    assert!(wakeup > now && wakeup <= now + CALL);
    assert_eq!(pool.next_call(wakeup).unwrap().target.id.as_str(), "far");
}

#[test]
fn leaving_workers_get_no_calls() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a")]);
    pool.set_workers([Target { leaving: true, ..worker("m", "a") }].iter());
    pool.submit(submission("r", 1, now + CALL), now);

    assert!(pool.next_call(now).is_none());
}

#[test]
fn the_queue_counts_pieces_that_can_be_in_time_and_the_rate_follows_the_number_of_workers() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a"), worker("n", "a")]);
    pool.submit(submission("late", 3, now), now);
    pool.submit(submission("soon", 5, now + CALL * 4), now);

    assert_eq!(pool.queue_counts(now).total(), 5);
    let both = pool.rate(now);
    pool.set_workers([worker("m", "a")].iter());
    assert!((both / pool.rate(now) - 2.0).abs() < 1e-9);
}

#[test]
fn inputs_are_no_longer_needed_once_every_piece_has_fetched_them() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a"), worker("n", "a")]);
    let inputs = vec!["127.0.0.1:9/in".to_owned()];
    let with_inputs =
        Submission { inputs, input_bytes: 500_000, ..submission("r", 6, now + CALL * 9) };
    let job = pool.submit(with_inputs, now);
    let first = pool.next_call(now).unwrap();
    let second = pool.next_call(now).unwrap();

    let after_first = pool.inputs_fetched(first.key);
    let after_second = pool.inputs_fetched(second.key);

    assert!(
        first.fetch_time.is_some_and(|time| time > Duration::from_secs(1)),
        "the inputs take a second over two links"
    );
    assert!(after_first.is_empty(), "two pieces have not fetched them");
    assert_eq!(after_second, [job]);
    assert!(pool.inputs_fetched(second.key).is_empty(), "reported once");
}

#[test]
fn requeued_pieces_need_their_inputs_again() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a"), worker("n", "a")]);
    let inputs = vec!["127.0.0.1:9/in".to_owned()];
    let with_inputs = Submission { inputs, input_bytes: 1, ..submission("r", 4, now + CALL * 9) };
    let job = pool.submit(with_inputs, now);
    let first = pool.next_call(now).unwrap();
    let after_first = pool.inputs_fetched(first.key);
    pool.call_ended(first.key, CallEnd::Failed, now);
    let second = pool.next_call(now).unwrap();

    let after_second = pool.inputs_fetched(second.key);

    assert_eq!(after_first, [job]);
    assert_eq!(second.pieces.len(), 4);
    assert_eq!(after_second, [job]);
}

#[test]
fn less_room_is_used_after_a_result_found_none() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a")]);
    let sized =
        |id, pieces| Submission { result_bytes: 220, ..submission(id, pieces, now + CALL * 9) };
    pool.submit(sized("first", 4), now);
    let full = pool.next_call(now).unwrap();
    let three_made = (0..4).map(|piece| match piece {
        3 => PieceAnswer::NoRoom,
        _ => PieceAnswer::Stored(format!("127.0.0.1:9/{piece}")),
    });

    pool.call_ended(full.key, CallEnd::Answered(three_made.collect()), now);

    let later = now + LIFE;
    pool.submit(sized("more", 3), later);
    let one = pool.next_call(later).unwrap();
    assert_eq!(one.pieces.len(), 4, "an empty worker may use all of its room");
    pool.call_ended(one.key, all_stored(1), later);
    pool.submit(sized("second", 4), later);
    let next = pool.next_call(later + CALL * 9).unwrap();
    assert_eq!(next.pieces.len(), 3, "970 of 1,000 bytes are used, 220 of them already");
}

#[test]
fn workers_of_an_unreachable_hall_get_no_calls_and_a_call_there_uses_up_no_attempt() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a"), worker("n", "b")]);
    let mut halls = Halls::default();
    halls.set_unreachable([HallName::new("a").unwrap()].into());
    let job = pool.submit(submission("r", 2, now + CALL * 9), now);
    for _ in 0..8 {
        pool.set_halls(Halls::default());
        let call = pool.next_call(now).unwrap();
        assert!(pool.call_ended(call.key, CallEnd::HallUnreachable, now).is_empty(), "not failed");
    }

    pool.set_halls(halls);
    let call = pool.next_call(now).unwrap();

    assert_eq!(call.target.id.as_str(), "n");
    assert!(pool.submission(job).is_some());
    pool.submit(submission("other", 2, now + CALL * 9), now);
    assert!(pool.next_call(now).is_none(), "the only reachable worker is busy");
}

#[test]
fn waiting_pieces_whose_inputs_are_gone_finish_with_that_outcome() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a")]);
    let job = pool.submit(submission("r", 6, now + CALL * 9), now);
    let call = pool.next_call(now).unwrap();

    let finished = pool.finish_waiting(job, &PieceOutcome::InputGone);

    let gone: Vec<u32> = finished.iter().map(|finished| finished.piece).collect();
    assert_eq!(gone, [4, 5], "those in a call end with it");
    assert!(finished.iter().all(|finished| finished.outcome == PieceOutcome::InputGone));
    assert_eq!(pool.call_ended(call.key, all_stored(4), now + CALL).len(), 4);
    assert!(pool.is_idle());
}

#[test]
fn spare_results_are_kept_until_room_is_scarce() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a")]);
    let sized =
        |id, pieces| Submission { result_bytes: 200, ..submission(id, pieces, now + CALL * 9) };
    pool.submit(sized("first", 2), now);
    let call = pool.next_call(now).unwrap();
    pool.call_ended(call.key, all_stored(2), now);

    pool.release_if_scarce(&["127.0.0.1:9/0".to_owned()]);
    let while_room = pool.release_queued();
    pool.submit(sized("second", 1), now);
    pool.next_call(now).unwrap();
    let when_scarce = pool.release_queued();

    assert!(while_room.is_empty(), "400 of 1,000 bytes are used");
    assert_eq!(when_scarce.len(), 1, "600 of 1,000 bytes are used");
    assert_eq!(when_scarce[0].handles, ["127.0.0.1:9/0"]);
}

#[test]
fn results_whose_workers_may_not_know_of_the_release_use_room_until_they_expire() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a")]);
    let large = |id| Submission { result_bytes: 500, ..submission(id, 2, now + CALL * 90) };
    pool.submit(large("first"), now);
    let call = pool.next_call(now).unwrap();
    pool.call_ended(call.key, all_stored(2), now);
    pool.submit(large("second"), now);
    let releases = pool.release(vec!["127.0.0.1:9/0".to_owned()]);

    pool.finish_release(&releases[0], false, now);

    assert!(pool.next_call(now).is_none(), "the result may still be stored");
    assert_eq!(pool.next_call(now + LIFE).unwrap().pieces.len(), 2);
}

#[test]
fn results_of_a_call_without_an_answer_use_room_until_they_expire() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a")]);
    let large = |id| Submission { result_bytes: 300, ..submission(id, 3, now + CALL * 90) };
    pool.submit(large("first"), now);
    let call = pool.next_call(now).unwrap();

    pool.call_ended(call.key, CallEnd::Failed, now);

    let after_backoff = now + LIFE / 2;
    assert!(pool.next_call(after_backoff).is_none(), "all three results may be stored there");
    assert_eq!(
        pool.next_call(now + LIFE).unwrap().pieces.len(),
        1,
        "one piece, to find out whether the worker has recovered"
    );
}

#[test]
fn room_used_by_unknown_results_is_learned_from_pieces_that_found_none() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a")]);
    let sized = |id| Submission { result_bytes: 100, ..submission(id, 8, now + CALL * 90) };
    pool.submit(sized("first"), now);
    let call = pool.next_call(now).unwrap();
    let made_two = (0..4).map(|piece| match piece {
        0 | 1 => PieceAnswer::Stored(format!("127.0.0.1:9/{piece}")),
        _ => PieceAnswer::NoRoom,
    });

    pool.call_ended(call.key, CallEnd::Answered(made_two.collect()), now);

    let soon = pool.next_call(now + LIFE / 4).unwrap();
    assert_eq!(soon.pieces.len(), 2, "unknown results used about 700 bytes, of which 525 remain");
    pool.call_ended(soon.key, CallEnd::Full, now + LIFE / 4);
    let late = pool.next_call(now + LIFE).unwrap();
    assert_eq!(late.pieces.len(), 4, "all unknown results have expired");
}

#[test]
fn a_piece_that_is_late_by_its_own_due_time_goes_last_whatever_its_urgency() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a")]);
    let less_urgent = Submission { urgency: 2, ..submission("late", 4, now + CALL / 2) };
    let late = pool.submit(less_urgent, now);
    let in_time = pool.submit(submission("in-time", 4, now + CALL * 8), now);

    let first = pool.next_call(now).unwrap();

    assert!(first.pieces.iter().all(|(job, _)| *job == in_time), "{late:?} can't be in time");
}

#[test]
fn a_more_urgent_piece_goes_before_one_that_is_due_a_little_earlier() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a")]);
    pool.submit(Submission { urgency: 1, ..submission("less", 4, now + CALL * 3) }, now);
    let urgent = pool.submit(submission("urgent", 4, now + CALL * 4), now);

    let first = pool.next_call(now).unwrap();

    assert!(first.pieces.iter().all(|(job, _)| *job == urgent));
}

#[test]
fn workers_of_an_evacuated_hall_get_no_calls_and_calls_in_progress_there_end_as_usual() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a"), worker("n", "b")]);
    pool.submit(submission("r", 1, now + CALL * 9), now);
    let in_progress = pool.next_call(now).unwrap();
    let mut halls = Halls::default();
    halls.evacuate(in_progress.target.hall.clone());

    pool.set_halls(halls);
    pool.submit(submission("other", 4, now + CALL * 9), now);
    let elsewhere = pool.next_call(now).unwrap();
    let made = vec![PieceAnswer::Stored("m/1".to_owned())];
    let finished = pool.call_ended(in_progress.key, CallEnd::Answered(made), now);

    assert_ne!(elsewhere.target.hall, in_progress.target.hall);
    assert_eq!(finished[0].outcome, PieceOutcome::Stored("m/1".to_owned()));
    pool.submit(submission("third", 1, now + CALL * 9), now);
    assert!(pool.next_call(now).is_none(), "the only worker in service is busy");
}

#[test]
fn a_pool_whose_workers_are_all_out_of_service_fails_its_waiting_pieces() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a"), worker("n", "b")]);
    let mut halls = Halls::default();
    halls.evacuate(HallName::new("a").unwrap());
    pool.set_halls(halls.clone());
    assert!(!pool.is_closed(now));

    halls.evacuate(HallName::new("b").unwrap());
    pool.set_halls(halls.clone());
    pool.submit(submission("r", 3, now + CALL * 9), now);
    let failed = pool.fail_unservable(now);

    assert!(pool.is_closed(now));
    assert!(pool.next_call(now).is_none());
    assert_eq!(failed.len(), 3);
    assert!(failed.iter().all(|finished| finished.outcome == PieceOutcome::Failed));
    halls.restore(&HallName::new("b").unwrap());
    pool.set_halls(halls);
    assert!(!pool.is_closed(now));
}

#[test]
fn the_rate_follows_the_size_of_calls_that_leave_pieces_waiting() {
    let now = Instant::now();
    let mut pool = pool(&[worker("m", "a")]);
    let nominal = pool.rate(now);
    // With results of 600 of 1,000 bytes, a call has room for one piece only.
    let large = Submission { result_bytes: 600, ..submission("r", 40, now + CALL * 900) };
    pool.submit(large, now);
    for number in 0..40 {
        let at = now + (LIFE + CALL) * number;
        let call = pool.next_call(at).unwrap();
        assert_eq!(call.pieces.len(), 1);
        let made = PieceAnswer::Stored(format!("m/{number}"));
        pool.call_ended(call.key, CallEnd::Answered(vec![made]), at + CALL);
    }
    let backlogged = pool.rate(now + LIFE * 60);

    for number in 0..60 {
        let at = now + LIFE * 70 + CALL * number;
        pool.submit(submission(&format!("s-{number}"), 1, at + CALL * 9), at);
        let call = pool.next_call(at).unwrap();
        let made = vec![PieceAnswer::Stored(format!("n/{number}"))];
        pool.call_ended(call.key, CallEnd::Answered(made), at);
    }
    let free = pool.rate(now + LIFE * 90);

    assert!(backlogged < nominal * 0.6, "{backlogged} of {nominal}");
    assert!(free > nominal * 0.9, "{free} of {nominal}");
}

#[test]
fn a_piece_that_fails_its_calls_shares_only_two_of_them_with_other_requests() {
    let mut now = Instant::now();
    let workers: Vec<Target> = (0..4).map(|n| worker(&format!("m-{n}"), "a")).collect();
    let mut pool = pool(&workers);
    let ids = ["fatal", "b", "c", "d"];
    for id in ids {
        pool.submit(submission(id, 1, now + CALL * 90), now);
    }

    let mut failed_calls: HashMap<String, u32> = HashMap::new();
    while let Some(call) = pool.next_call(now) {
        let members = request_ids(&pool, &call);
        now += CALL * 10;
        if members.iter().any(|id| id == "fatal") {
            members.into_iter().for_each(|id| *failed_calls.entry(id).or_default() += 1);
            pool.call_ended(call.key, CallEnd::Failed, now);
        } else {
            pool.call_ended(call.key, all_stored(members.len()), now);
        }
    }

    assert_eq!(failed_calls["fatal"], 4, "all attempts of the piece");
    assert!(ids[1..].iter().all(|id| failed_calls[*id] == 2), "{failed_calls:?}");
}

#[test]
fn a_worker_that_restarted_under_its_id_holds_no_earlier_results() {
    let now = Instant::now();
    let born = |at: u64| Target { born: Some(at), ..worker("m", "a") };
    let mut pool = pool(&[born(1)]);
    pool.submit(submission("r", 4, now + CALL * 9), now);
    let call = pool.next_call(now).unwrap();
    pool.call_ended(call.key, all_stored(4), now);
    let handles: Vec<String> = (0..4).map(|index| format!("127.0.0.1:9/{index}")).collect();
    pool.submit(submission("under-way", 4, now + CALL * 9), now);
    let in_progress = pool.next_call(now).unwrap();

    pool.set_workers([born(2)].iter());
    let earlier_releases = pool.release(handles);
    let finished = pool.call_ended(in_progress.key, CallEnd::Failed, now);
    let call = pool.next_call(now).unwrap();

    assert!(earlier_releases.is_empty(), "nothing is released at the restarted worker");
    assert!(finished.is_empty(), "the pieces of the call are requeued");
    assert_eq!((call.target.born, call.pieces.len()), (Some(2), 4));
    assert_eq!(call.room_used, 40, "only its own results");
}
