//! Which answers on a connection are second copies, told by the results that they name.

use gateway::named_results::NamedResults;

#[test]
fn an_answer_that_names_a_known_result_is_not_new() {
    let mut named = NamedResults::default();

    let first = named.are_new(["a/1", "a/2"].into_iter());
    let copy = named.are_new(["a/1", "a/2"].into_iter());
    let next = named.are_new(["a/3"].into_iter());
    let mixed = named.are_new(["a/4", "a/3"].into_iter());

    assert_eq!([first, copy, next, mixed], [true, false, true, false]);
}

#[test]
fn a_result_that_an_answer_names_twice_is_not_new() {
    assert!(!NamedResults::default().are_new(["a/1", "a/1"].into_iter()));
}

#[test]
fn the_last_answers_of_a_long_connection_are_known() {
    let mut named = NamedResults::default();
    let answer = |number: u32| vec![format!("a/{number}"), format!("b/{number}")];
    let mut are_new = |answer: Vec<String>| named.are_new(answer.iter().map(String::as_str));

    let all_new = (0..10_000).all(|number| are_new(answer(number)));
    let copies = (9_950..10_000).any(|number| are_new(answer(number)));

    assert!(all_new && !copies);
}
