//! Bytes before the end of an answer's head are bounded on a connection.

use gateway::head_limit::{HeadAllowance, HeadLimited, MAX_HEAD_BYTES};
use tokio::io::{AsyncReadExt, repeat};

/// Bytes that are read at a time.
const PIECE: usize = 4096;

/// Reads pieces until one fails; returns the number of bytes read, at most `most`.
async fn read_up_to(most: usize, allowance: &HeadAllowance) -> usize {
    let mut endless = HeadLimited::new(repeat(b'x'), allowance);
    let mut buf = [0; PIECE];
    let mut read = 0;
    while read < most && endless.read_exact(&mut buf).await.is_ok() {
        read += buf.len();
    }
    read
}

#[tokio::test]
async fn a_head_without_an_end_ends_its_connection() {
    let allowance = HeadAllowance::default();
    allowance.begin();

    let read = read_up_to(100 * MAX_HEAD_BYTES, &allowance).await;

    assert!((MAX_HEAD_BYTES..3 * MAX_HEAD_BYTES).contains(&read), "{read}");
}

#[tokio::test]
async fn what_follows_a_head_is_not_bounded_here() {
    let allowance = HeadAllowance::default();
    allowance.begin();
    allowance.end();

    let read = read_up_to(100 * MAX_HEAD_BYTES, &allowance).await;

    assert_eq!(read, 100 * MAX_HEAD_BYTES);
}
